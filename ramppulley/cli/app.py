"""The application that all commands are registered with, and their shared error exit and settings reader."""

from pathlib import Path
from typing import NoReturn

import typer

from ramppulley.daemon import json5
from ramppulley.daemon.orders import RouterSettings

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="A router for language-model serving.",
    pretty_exceptions_enable=False,
)


def fail(text: str) -> NoReturn:
    """Ends the command with one line on standard error and status 2."""
    typer.echo(text, err=True)
    raise typer.Exit(2)


def settings_of(path: Path) -> RouterSettings:
    """Reads and validates a settings file; ends the command if it cannot be used."""
    try:
        return json5.read(path, RouterSettings)
    except OSError as error:
        fail(f"{path}: {error.strerror}")
    except json5.InvalidFileError as error:
        fail(str(error))
