"""Tests that names and order of classes and tenants, and the scale of all times, do not affect decisions."""

import ast
import copy
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from settings_rig import BOUNDED, SETTINGS, request_plan, simulate, with_changes

from ramppulley import rules


def reordered(settings_object, classes, tenants, new_name):
    """The same settings with classes and tenants reordered and renamed."""
    settings_object = copy.deepcopy(settings_object)
    for field in ("AimUsPer1000PromptTokens", "TokenAimS"):
        settings_object["Specifics"][field] = [settings_object["Specifics"][field][i] for i in classes]
    settings_object["Lanes"] = [settings_object["Lanes"][i] for i in classes]
    settings_object["Tenants"] = [settings_object["Tenants"][i] for i in tenants]
    for entry in settings_object["Lanes"] + settings_object["Tenants"]:
        entry["Name"] = new_name[entry["Name"]]
    return settings_object


@BOUNDED
@given(st.integers(0, 10**6), st.permutations(range(3)), st.permutations(range(3)), st.permutations("abcdef"))
def test_classes_and_tenants_renamed_and_reordered_get_the_same_actions(seed, classes, tenants, letters):
    plan = request_plan(seed)
    new_name = dict(zip(("lookup", "lodge", "amend", "quay", "mill", "lock"), letters)) | {"": ""}
    renamed = [(at, new_name[case], new_name[tenant], *more) for at, case, tenant, *more in plan]
    assert simulate(SETTINGS, plan) == simulate(reordered(SETTINGS, classes, tenants, new_name), renamed)


#: Constants of the decision module that are times. All its other times come from the settings or are fractions of them.
TIMES = {
    "MS",
    "SAMPLE_MAX_AGE",
    "TICK_INTERVAL",
    "CLOCK_TO_WRITE_DELAY",
    "DEADLINE_MARGIN",
    "INITIAL_PREFILL_PACE",
    "PROBE_INTERVAL",
    "REJECTION_MAX_AGE",
    "HALF_OPEN_DELAY",
    "HALF_OPEN_DELAY_MAX",
    "SILENCE_MIN",
    "PEER_WAIT_SHIFT_MAX",
}
#: Constants that are counts, shares and weights, not times.
NOT_TIMES = set(
    """SHORT_LIST_WORKERS DRAWN_WORKERS SAMPLE_COUNT KEPT_ATTEMPTS PREFILL_OVERHEAD_TOKENS ROUTER_SCALE_MAX
    PROBES_PER_REQUEST
    PROBE_WAIT_OF_TARGET MISSED_PROBE_SCORE HALF_OPEN_BONUS_SCORE CROSS_GROUP_SCORE CROSS_GROUP_AFTER_OF_TARGET
    CROSS_ZONE_SCORE CROSS_ZONE_RARITY_FACTOR MEMORY_LOAD_SCORE SLOW_STREAM_SCORE UNCACHED_SCORE_FACTOR
    HELD_REQUEST_TOKENS REJECTION_SCORE GROUP_REACH_FACTOR PREFERRED_MISSING_SHARE PREFERRED_SESSION_SHARE
    MIXED_PREFILL_OF_TARGET SUSPECT_SHARE_MAX SILENCE_FACTOR SLOW_START_BUDGET_SHARE SLOW_START_RAMP_SHARE
    SLOW_START_PROMPT_FACTOR FULL_MEMORY_SHARE TENANT_OVERUSE_FACTOR QUEUE_WAIT_OF_TARGET ADMISSION_BASE_OF_TARGET
    ADMISSION_VALUE_OF_TARGET PEER_LOAD_SHIFT_MAX PEER_FAILURE_SCORE LONG_PROMPT_FACTOR LONG_PROMPT_WAIT_SHARE
    CROWDED_WAIT_SHARE SLOW_STREAM_OF_TARGET NOTE_HANDLERS""".split()  # noqa: SIM905 - a list of words reads better so
)
#: Functions that use the time unit itself, with the count of uses: the interval between checks of a queue, a tenant's
#: requests per second, a log line.
UNIT_USES = {"on_serve": 1, "on_configured": 1, "on_tick": 2}
TIME_FIELDS = {"AimS", "GiveUpS", "WindowS", "ConnIdleS", "ConnectTimeoutS", "MaxRetryAfterS", "ResolutionS"} | {
    "ColdS",
    "DrainGraceS",
    "FallS",
    "ReleaseS",
}


def scaled(settings_object, factor, field=""):
    """The settings with all times multiplied. Quotas stay, as they count requests per second of the module's clock."""
    if isinstance(settings_object, dict):
        return {key: scaled(value, factor, key) for key, value in settings_object.items()}
    if field in ("TokenAimS", "AimUsPer1000PromptTokens"):
        return [value * factor for value in settings_object]
    if isinstance(settings_object, list):
        return [scaled(value, factor) for value in settings_object]
    return settings_object * factor if field in TIME_FIELDS else settings_object


@pytest.fixture
def scale_module(monkeypatch):
    """Returns a function that multiplies the module's own times; a factor of 1 restores them."""
    own = {name: getattr(rules, name) for name in TIMES}

    def make(factor):
        for name, value in own.items():
            monkeypatch.setattr(rules, name, value * factor)

    return make


def choices(actions):
    """The attempts, cancels, rejections and failed requests, in this order, without times."""
    argument_counts = {"send": 2, "withdraw": 1, "turn_back": 1, "scrap": 1}
    return [(action, *more[: argument_counts[action]]) for _, action, *more in actions if action in argument_counts]


@pytest.mark.parametrize("seed", range(3))
def test_all_times_scaled_alike_give_the_same_choices(seed, scale_module):
    made = []
    for factor in (1, 2, 4):
        scale_module(factor)
        made.append(choices(simulate(scaled(SETTINGS, factor), request_plan(seed), time_scale=factor)))
    assert made[0] and made[0] == made[1] == made[2]


def test_a_time_of_the_settings_that_is_not_scaled_changes_the_choices(scale_module):
    scale_module(2)
    settings_object, plan = scaled(SETTINGS, 2), request_plan(0)
    as_scaled = choices(simulate(settings_object, plan, time_scale=2))
    for path in (("Lanes", 0, "AimS"), ("Specifics", "TokenAimS"), ("Rules", "ColdS")):
        value = SETTINGS
        for key in path:
            value = value[key]
        assert choices(simulate(with_changes((path, value), of=settings_object), plan, time_scale=2)) != as_scaled, path


def test_the_modules_own_times_are_these():
    """A new constant must be added here as a time or not; the reason for a time is given in docs/design-platform.md."""
    tree = ast.parse(Path(rules.__file__).read_text())
    constants, uses = set(), {}
    for node in tree.body:
        if isinstance(node, ast.Assign):
            constants |= {name.id for target in node.targets for name in ast.walk(target) if isinstance(name, ast.Name)}
    for function in ast.walk(tree):
        if isinstance(function, ast.FunctionDef):
            count = sum(isinstance(node, ast.Name) and node.id == "MS" for node in ast.walk(function))
            uses |= {function.name: count} if count else {}
    assert constants == TIMES | NOT_TIMES and uses == UNIT_USES
