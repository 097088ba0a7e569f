"""The configuration file of a router on the platform: loaded and validated before anything is created from it."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from ramppulley.daemon.platform.limits import max_descriptors
from ramppulley.profile import Profile
from ramppulley.settings_fields import Fields, Reader, SettingError, T, number
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage

DEFAULT_DESCRIPTORS = 1024
MAX_SHOWN_NAME_LENGTH = 40


class ConfigurationError(Exception):
    """An invalid configuration; the message is one line."""


class Configuration(NamedTuple):
    """The configuration of a starting router."""

    listen: platform.Address
    discovery: platform.Address
    profile: Profile
    seed: int
    descriptors: int  # maximum number of open file descriptors
    memory_mb: float  # limit on the memory of the process; 0 = none
    known_endpoints: platform.EndpointUpdate | None  # initial list, used until discovery sends one


class ReloadedConfiguration(NamedTuple):
    """The fields that a running router takes from a replaced configuration."""

    discovery: platform.Address
    profile: Profile


def load_object(path: str) -> dict[str, Any]:
    """Loads the JSON object of a configuration file; raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            content = platform.decode(file.read())
    except OSError as fault:
        raise ConfigurationError(f"configuration {path}: {fault.strerror}") from fault
    except BadMessage as fault:
        raise ConfigurationError(f"configuration {path}: {fault}") from fault
    if not isinstance(content, dict):
        raise ConfigurationError(f"configuration {path}: no object")
    return content


def parse_configuration(content: dict[str, Any]) -> Configuration:
    """Parses the configuration of a starting router; raises ConfigurationError."""
    try:
        fields = Fields(content, "")
        return Configuration(
            listen=fields.at("listen", read_address),
            discovery=fields.at("discovery", read_address),
            profile=parse_profile(content.get("settings")),
            seed=fields.at("seed", read_hexadecimal, 0),
            descriptors=max_descriptors(int(fields.at("limits.sockets", number(-1e9), 0)) or DEFAULT_DESCRIPTORS),
            memory_mb=float(fields.at("limits.memory_mb", number(), 0)),
            known_endpoints=fields.at("known", read_endpoints, None),
        )
    except SettingError as fault:
        raise ConfigurationError(f"configuration: {fault}") from fault


def parse_reloaded(content: dict[str, Any], current: Profile) -> ReloadedConfiguration:
    """Parses a replaced configuration; without settings, the `current` ones stay in force.

    Raises ConfigurationError, SettingError or BadMessage.
    """
    if "discovery" not in content:
        raise ConfigurationError("discovery is missing")
    discovery = platform.parse_address(content["discovery"])
    profile = parse_profile(content["settings"]) if "settings" in content else current
    return ReloadedConfiguration(discovery, profile)


def parse_profile(settings: object) -> Profile:
    """Parses the settings for a router on sockets; raises SettingError.

    On sockets, classes, tenants, kinds and zones are identified by name, so each needs a unique name.
    """
    profile = Profile(settings)
    if not profile.kinds:
        raise SettingError("settings.Kinds is missing")
    if not profile.connect_timeout:
        raise SettingError("settings.Bounds.ConnectTimeoutS: a number over 0 is needed")
    _check_names((f"settings.Lanes[{i}].Name", name) for i, name in enumerate(profile.class_names))
    _check_names((f"settings.Tenants[{i}].Name", name) for i, name in enumerate(profile.tenant_names))
    _check_names((f"settings.Kinds[{i}]", name) for i, name in enumerate(profile.kinds))
    _check_names((f"settings.Azs[{i}]", name) for i, name in enumerate(profile.zones))
    return profile


def _check_names(named_fields: Iterable[tuple[str, str]]) -> None:
    """Raises SettingError for an empty or duplicate name. `named_fields`: (field, name) pairs."""
    known = set()
    for field, name in named_fields:
        if not name:
            raise SettingError(f"{field} is missing")
        if name in known:
            raise SettingError(f"{field}: {name[:MAX_SHOWN_NAME_LENGTH]!r} is named twice")
        known.add(name)


def _field_reader(parse: Callable[[Any], T]) -> Reader[T]:
    """Returns a field reader (see `Fields.at`) that uses `parse` and turns its errors into SettingError."""

    def read_field(name: str, value: Any) -> T:
        try:
            return parse(value)
        except (BadMessage, ValueError) as fault:
            raise SettingError(f"{name}: {fault}") from fault

    return read_field


read_address = _field_reader(platform.parse_address)
read_endpoints = _field_reader(lambda value: platform.update_from(value) if value else None)
read_hexadecimal = _field_reader(lambda value: int(str(value or 0), 16))
