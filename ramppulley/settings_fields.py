"""Validates a settings object field by field: the first missing, misplaced or unsupported field is named in the error.

A router with invalid settings stops at startup with a one-line error rather than run on guessed values. Only the standard
library is used: the bench adapter has no other dependency, and the platform's router has no room for a validation library.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Any, TypeVar, cast

T = TypeVar("T")
Reader = Callable[[str, Any], T]  # converts a value, given the field's full name and the value; raises SettingError

REQUIRED: Any = object()  # in place of a default
MAX_SHOWN_LENGTH = 40


class SettingError(ValueError):
    """An unsupported or missing setting; the message is one line that names the field."""


class Fields:
    """An object within the settings, and its path there.

    >>> fields = Fields({"Rules": {"ColdS": 14.0}})
    >>> fields.at("Rules.ColdS", number()), fields.at("Tenants", objects, []), fields.at("Rules.Slack", number(), 0.5)
    (14.0, [], 0.5)
    """

    def __init__(self, values: Any, name: str = "settings") -> None:
        if not isinstance(values, dict):
            raise SettingError(f"{name}: an object is needed, not {truncated_repr(values)}")
        self.values, self.name = values, name

    def at(self, path: str, read: Reader[T], default: Any = REQUIRED) -> T:
        """The value of the field at a dotted path, or the default where it is absent or null. Raises SettingError."""
        key, _, rest = path.partition(".")
        value, name = self.values.get(key), f"{self.name}.{key}" if self.name else key
        if value is not None:
            return Fields(value, name).at(rest, read, default) if rest else read(name, value)
        if default is REQUIRED:
            raise SettingError(f"{name} is missing")
        return cast(T, default)


def truncated_repr(value: Any) -> str:
    """The start of a value's `repr`, for an error message.

    >>> truncated_repr("a" * 99)
    "'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
    """
    return repr(value)[:MAX_SHOWN_LENGTH]


def number(minimum: float = 0.0, maximum: float = 1e9, over: bool = False, whole: bool = False) -> Reader[float]:
    """Reads a number within bounds. `over`: the lower bound is exclusive; `whole`: the number must be an integer."""

    def read(name: str, value: Any) -> float:
        if not _is_number(value) or not minimum <= value <= maximum or (over and value == minimum):
            bounds = f"{'over' if over else 'from'} {minimum:g} to {maximum:g}"
            raise SettingError(f"{name}: a number {bounds} is needed, not {truncated_repr(value)}")
        if whole and value != int(value):
            raise SettingError(f"{name}: a whole number is needed, not {truncated_repr(value)}")
        return cast(float, value)

    return read


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def boolean(name: str, value: Any) -> bool:
    """Reads true or false."""
    if not isinstance(value, bool):
        raise SettingError(f"{name}: true or false is needed, not {truncated_repr(value)}")
    return value


def string(name: str, value: Any) -> str:
    """Reads a string."""
    if not isinstance(value, str):
        raise SettingError(f"{name}: a text is needed, not {truncated_repr(value)}")
    return value


def one_of(choices: Collection[str]) -> Reader[str]:
    """Reads one of the given strings."""

    def read(name: str, value: Any) -> str:
        if not isinstance(value, str) or value not in choices:
            raise SettingError(f"{name}: {truncated_repr(value)} has no meaning here, only {', '.join(choices)}")
        return value

    return read


def mapped(choices: Mapping[str, T]) -> Reader[T]:
    """Reads one of the keys of a table, as its value there."""
    read_key = one_of(choices)

    def read(name: str, value: Any) -> T:
        return choices[read_key(name, value)]

    return read


def list_of(read: Reader[T], same_length: tuple[str, int] | None = None) -> Reader[list[T]]:
    """Reads a list, of which `read` reads each entry. `same_length`: (name, count) of the list that it must match in length,
    unless it is empty."""

    def read_all(name: str, value: Any) -> list[T]:
        if not isinstance(value, list):
            raise SettingError(f"{name}: a list is needed, not {truncated_repr(value)}")
        if same_length and value and len(value) != same_length[1]:
            raise SettingError(f"{name}: {len(value)} entries for {same_length[1]} of {same_length[0]}")
        return [read(f"{name}[{i}]", entry) for i, entry in enumerate(value)]

    return read_all


def objects(name: str, value: Any) -> list[Fields]:
    """Reads a list of objects."""
    return list_of(lambda path, entry: Fields(entry, path))(name, value)
