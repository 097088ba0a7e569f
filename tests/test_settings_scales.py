"""Tests that names, order and scale of the settings' classes, tenants and times decide nothing."""

import ast
import copy
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from settings_rig import BOUNDED, SETTINGS, arrivals, changed, played

from ramppulley import rules


def reordered(told, classes, tenants, new_name):
    """The same settings with classes and tenants in another order and under other names."""
    told = copy.deepcopy(told)
    for field in ("AimUsPer1000PromptTokens", "TokenAimS"):
        told["Specifics"][field] = [told["Specifics"][field][i] for i in classes]
    told["Lanes"] = [told["Lanes"][i] for i in classes]
    told["Tenants"] = [told["Tenants"][i] for i in tenants]
    for entry in told["Lanes"] + told["Tenants"]:
        entry["Name"] = new_name[entry["Name"]]
    return told


@BOUNDED
@given(st.integers(0, 10**6), st.permutations(range(3)), st.permutations(range(3)), st.permutations("abcdef"))
def test_classes_and_tenants_renamed_and_reordered_get_the_same_actions(seed, classes, tenants, letters):
    plan = arrivals(seed)
    new_name = dict(zip(("lookup", "lodge", "amend", "quay", "mill", "lock"), letters)) | {"": ""}
    renamed = [(at, new_name[case], new_name[tenant], *more) for at, case, tenant, *more in plan]
    assert played(SETTINGS, plan) == played(reordered(SETTINGS, classes, tenants, new_name), renamed)


#: Figures of the decision module that are times of their own. All other times come from the settings or are parts of them.
ABSOLUTE = {
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
#: Counts, shares and weights: no time is in them.
PLAIN = set(
    """SHORT_LIST_WORKERS DRAWN_WORKERS SAMPLE_COUNT PREFILL_OVERHEAD_TOKENS ROUTER_SCALE_MAX PROBES_PER_REQUEST
    PROBE_WAIT_OF_TARGET MISSED_PROBE_SCORE HALF_OPEN_BONUS_SCORE CROSS_GROUP_SCORE CROSS_GROUP_AFTER_OF_TARGET
    CROSS_ZONE_SCORE CROSS_ZONE_RARITY_FACTOR MEMORY_LOAD_SCORE SLOW_STREAM_SCORE UNCACHED_SCORE_FACTOR
    HELD_REQUEST_TOKENS REJECTION_SCORE GROUP_REACH_FACTOR PREFERRED_MISSING_SHARE PREFERRED_SESSION_SHARE
    MIXED_PREFILL_OF_TARGET SUSPECT_SHARE_MAX SILENCE_FACTOR SLOW_START_BUDGET_SHARE SLOW_START_RAMP_SHARE
    SLOW_START_PROMPT_FACTOR FULL_MEMORY_SHARE TENANT_OVERUSE_FACTOR QUEUE_WAIT_OF_TARGET ADMISSION_BASE_OF_TARGET
    ADMISSION_VALUE_OF_TARGET PEER_LOAD_SHIFT_MAX PEER_FAILURE_SCORE LONG_PROMPT_FACTOR LONG_PROMPT_WAIT_SHARE
    CROWDED_WAIT_SHARE SLOW_STREAM_OF_TARGET NOTE_HANDLERS""".split()  # noqa: SIM905 - a list of words reads better so
)
#: Functions that use the unit itself: in what time a queue is looked at again, a tenant's requests a second, a log line.
USE_UNIT = {"on_serve": 1, "on_configured": 1, "on_tick": 2}
IN_SECONDS = {"AimS", "GiveUpS", "WindowS", "ConnIdleS", "ConnectTimeoutS", "MaxRetryAfterS", "ResolutionS"} | {
    "ColdS",
    "DrainGraceS",
    "FallS",
    "ReleaseS",
}


def slower(told, times, field=""):
    """The settings with all their times so many times as long; a quota counts requests a second of the module's own."""
    if isinstance(told, dict):
        return {key: slower(value, times, key) for key, value in told.items()}
    if field in ("TokenAimS", "AimUsPer1000PromptTokens"):
        return [value * times for value in told]
    if isinstance(told, list):
        return [slower(value, times) for value in told]
    return told * times if field in IN_SECONDS else told


@pytest.fixture
def module_slower(monkeypatch):
    """Makes the module's own times so many times as long; call it with 1 to have them as they are."""
    own = {name: getattr(rules, name) for name in ABSOLUTE}

    def make(times):
        for name, value in own.items():
            monkeypatch.setattr(rules, name, value * times)

    return make


def choices(actions):
    """Who was sent where, cancelled, refused or given up, in this order."""
    words = {"send": 2, "withdraw": 1, "turn_back": 1, "scrap": 1}
    return [(word, *more[: words[word]]) for _, word, *more in actions if word in words]


@pytest.mark.parametrize("seed", range(3))
def test_all_times_scaled_alike_give_the_same_choices(seed, module_slower):
    made = []
    for times in (1, 2, 4):
        module_slower(times)
        made.append(choices(played(slower(SETTINGS, times), arrivals(seed), unit=times)))
    assert made[0] and made[0] == made[1] == made[2]


def test_a_time_of_the_settings_that_is_not_scaled_changes_the_choices(module_slower):
    module_slower(2)
    told, plan = slower(SETTINGS, 2), arrivals(0)
    as_scaled = choices(played(told, plan, unit=2))
    for path in (("Lanes", 0, "AimS"), ("Specifics", "TokenAimS"), ("Rules", "ColdS")):
        value = SETTINGS
        for word in path:
            value = value[word]
        assert choices(played(changed((path, value), of=told), plan, unit=2)) != as_scaled, path


def test_the_modules_own_times_are_these():
    """Whoever adds a constant says here whether it is a time, and if so why in docs/design-platform.md."""
    tree = ast.parse(Path(rules.__file__).read_text())
    constants, uses = set(), {}
    for node in tree.body:
        if isinstance(node, ast.Assign):
            constants |= {name.id for target in node.targets for name in ast.walk(target) if isinstance(name, ast.Name)}
    for function in ast.walk(tree):
        if isinstance(function, ast.FunctionDef):
            count = sum(isinstance(node, ast.Name) and node.id == "MS" for node in ast.walk(function))
            uses |= {function.name: count} if count else {}
    assert constants == ABSOLUTE | PLAIN and uses == USE_UNIT
