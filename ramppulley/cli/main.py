"""The command line, `./rp`: importing the other modules of this package registers their commands."""

from ramppulley.cli import inspecting, measuring, playing, serving, soaking, testing
from ramppulley.cli.app import app

__all__ = ["app", "inspecting", "measuring", "playing", "serving", "soaking", "testing"]
