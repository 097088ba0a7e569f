"""Tests of each field of the settings: absent, null, of another type."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from settings_rig import BOUNDED, SETTINGS, with_changes

from ramppulley.profile import Profile
from ramppulley.settings_fields import SettingError

#: The default of each optional field, given explicitly.
DEFAULTS = {
    ("DomainType",): "twostage",
    ("Discovery",): "pushed",
    ("Azs",): [],
    ("Tenants",): [],
    ("OverShareWorth",): 1.0,  # requests beyond the tenant's share keep their full value
    ("Report", "Fields"): [],
    ("Bounds", "RetryAfter"): False,  # a capability is off unless the settings grant it
    ("Bounds", "MaxRetryAfterS"): 0,
    ("Bounds", "MayDuplicate"): False,
    ("Bounds", "Probing"): False,
    ("Bounds", "Cancel"): False,
    ("Bounds", "ConnectTimeoutS"): 0,  # rejected by the router on sockets, which requires it
    ("Bounds", "ConnIdleS"): 0,
    ("Bounds", "MaxOpen"): 0,  # limited only by the router's own descriptors
    ("Lanes", 0, "Name"): "",  # rejected by the router on sockets, which looks classes up by name
    ("Lanes", 0, "KeyScope"): "all",  # of a class that may be retried at any worker
    ("Lanes", 2, "WindowS"): 0,  # workers drop no repeated request, so no retry is sent
    ("Tenants", 0, "Name"): "",
    ("Specifics", "MayReserve"): False,
    ("Specifics", "MemoryTokens"): [],
    ("Specifics", "AimUsPer1000PromptTokens"): [0, 0, 0],
    ("Specifics", "TokenAimS"): [0, 0, 0],
    ("Specifics", "ReportX0"): "share of memory that is held",
    ("Specifics", "ReportX1"): "thousands of prompt tokens waiting to be read or fetched",
}
REQUIRED_FIELDS = [
    ("NInstances",),
    ("MyZone",),
    ("Lanes",),
    ("ResolutionS",),
    ("Report", "How"),
    ("Bounds", "SendCap"),
    ("Specifics", "RoleByKind"),
    ("Specifics", "ReleaseS"),
    ("Tenants", 0, "QuotaPerS"),
    ("Lanes", 2, "KeyScope"),  # of a guarded class
    *[("Lanes", 0, field) for field in ("AimS", "GiveUpS", "Credit", "Effect")],
    *[("Rules", field) for field in ("DrainGraceS", "ColdFrom", "ColdS", "FallMultiple", "FallS")],
]
WHOLE_NUMBERS = {("NInstances",), ("MyZone",), ("Bounds", "SendCap"), ("Bounds", "MaxOpen")}


def field_name(path):
    return "settings" + "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)


def value_at(path, value=SETTINGS):
    for key in path:
        value = value[key] if isinstance(key, int) else value.get(key)
    return value


def without(path):
    settings_object = with_changes((path, None))
    del value_at(path[:-1], settings_object)[path[-1]]
    return settings_object


def wrong_values(path):
    """A value of each JSON type that the field does not have, and one of its own type that is not supported."""
    valid = DEFAULTS.get(path, value_at(path))
    wrong = {bool: True, float: -1.5, str: "what?", list: [None], dict: {"a": 1}}
    wrong.pop(bool) if isinstance(valid, bool) else None
    wrong.pop(str) if path[-1] == "Name" else None
    return [*wrong.values(), *([1.5] if path in WHOLE_NUMBERS else [])]


@pytest.mark.parametrize("path", DEFAULTS, ids=field_name)
def test_an_optional_field_that_is_absent_or_null_has_the_stated_meaning(path):
    assert (
        Profile(without(path)) == Profile(with_changes((path, None))) == Profile(with_changes((path, DEFAULTS[path])))
    )


@pytest.mark.parametrize("path", REQUIRED_FIELDS, ids=field_name)
def test_a_needed_field_that_is_absent_or_null_is_named(path):
    for settings_object in (without(path), with_changes((path, None))):
        with pytest.raises(SettingError) as caught:
            Profile(settings_object)
        assert str(caught.value) == f"{field_name(path)} is missing"


@pytest.mark.parametrize("path", [*DEFAULTS, *REQUIRED_FIELDS], ids=field_name)
def test_a_field_of_another_type_is_named_in_one_line(path):
    for value in wrong_values(path):
        with pytest.raises(SettingError) as caught:
            Profile(with_changes((path, value)))
        message = str(caught.value)
        assert message.startswith(field_name(path)) and "\n" not in message and len(message) < 200


PATHS = [
    *DEFAULTS,
    *REQUIRED_FIELDS,
    ("Kinds",),
    ("Bounds",),
    ("Rules",),
    ("Report",),
    ("Specifics",),
    ("Lanes", 1),
    ("Tenants", 1),
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=4,
)


@settings(BOUNDED, max_examples=150)
@given(st.sampled_from(PATHS), JSON)
def test_whatever_a_field_holds_the_settings_are_read_or_refused_in_one_line(path, value):
    try:
        Profile(with_changes((path, value)))
    except SettingError as fault:
        assert str(fault).startswith("settings.") and "\n" not in str(fault)
