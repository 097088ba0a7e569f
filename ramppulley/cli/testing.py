"""The command that checks the repository itself: test."""

import subprocess
import sys
from pathlib import Path

import typer

from ramppulley.cli.app import app

ROOT = Path(__file__).parents[2]
TESTS = ["pytest", "-n", "3", "--dist", "loadfile"]  # three processes; the tests of one file run in one of them
CHECKS = [
    ["ruff", "format", "--check", "--quiet", "."],
    ["ruff", "check", "."],
    ["mypy"],
    ["lint-imports"],
]


def run_step(command: list[str]) -> None:
    """Runs a program of the environment in the repository; ends the command with its status if it fails."""
    if command[0] == "lint-imports":  # it has no module for `-m`
        program = [str(Path(sys.executable).parent / command[0])]
    else:
        program = [sys.executable, "-m", command[0]]
    result = subprocess.run([*program, *command[1:]], cwd=ROOT)
    if result.returncode:
        raise typer.Exit(result.returncode)


@app.command(context_settings={"allow_extra_args": True, "ignore_unknown_options": True})
def test(context: typer.Context) -> None:
    """Check format, lint, types and layers, then run all tests; further arguments are passed to pytest."""
    for step in [["pytest", *context.args]] if context.args else [*CHECKS, TESTS]:
        run_step(step)
