"""Validates JSON5 files against a schema; errors name file, line, field and a hint."""

import re

import pyjson5
from pydantic import ValidationError

HINTS = {
    "extra_forbidden": "no such field here; take it out or mend its name",
    "missing": "add this field",
    "literal_error": "use one of the values named",
    "float_parsing": "write a number",
    "int_parsing": "write a whole number",
    "string_type": "write a text in quotes",
}


class InvalidFileError(ValueError):
    """An invalid file; the message has one line per error."""


def line_of(text, path):
    """The line of a field, found by searching the names of its path in order; 1 if unknown.

    >>> line_of('{\\n a: {\\n  b: 1 } }', ("a", "b"))
    3
    """
    at = 0
    for name in path:
        if isinstance(name, int):
            for _ in range(name + 1):
                step, end = text.find("{", at + 1), text.find("]", at)
                at = step if 0 < step < end else at  # otherwise a list of plain values, usually on one line
            continue
        found = re.compile(rf"""(?<![\w-])["']?{re.escape(str(name))}["']?\s*:""").search(text, at)
        if not found:
            break
        at = found.start()
    return text.count("\n", 0, at) + 1


def read(path, model):
    """Reads and validates a file; raises InvalidFileError or OSError."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    return parse(text, model, str(path))


def parse(text, model, name="<text>"):
    """Like `read`, from a string."""
    try:
        content = pyjson5.decode(text)
    except pyjson5.Json5Exception as fault:
        message = str(fault.args[0])
        position = re.search(r"near (\d+)", message)
        at, character = int(position.group(1)) if position else len(text), re.search(r"U\+([0-9A-F]+)", message)
        if character:  # the unexpected character comes after the position that the parser reports
            at = max(at, text.find(chr(int(character.group(1), 16)), at))
        line = text.count("\n", 0, at) + 1
        raise InvalidFileError(f"{name}:{line}: not JSON5: {message}") from fault
    try:
        return model.model_validate(content)
    except ValidationError as error:
        lines = []
        for fault in error.errors():
            at = [p for p in fault["loc"] if not str(p).startswith("function-")]
            hint = HINTS.get(fault["type"], "")
            lines.append(
                f"{name}:{line_of(text, at)}: {'.'.join(map(str, at)) or 'file'}: {fault['msg']}"
                + (f" ({hint})" if hint else "")
            )
        raise InvalidFileError("\n".join(lines)) from error
