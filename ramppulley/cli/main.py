"""The command line, `./rp`: each module beside this one registers its commands with the application."""

from ramppulley.cli import inspecting, measuring, playing, serving, soaking, testing
from ramppulley.cli.app import app

__all__ = ["app", "inspecting", "measuring", "playing", "serving", "soaking", "testing"]
