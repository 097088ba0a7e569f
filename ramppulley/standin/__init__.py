"""Stand-ins for engines: a pure model, with servers and faults around it. Their speeds are of no real machine."""

from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("shim.c")
