"""Stand-ins for engines: a pure model, and servers and faults around it. Nothing here measures a real machine."""

from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("shim.c")
