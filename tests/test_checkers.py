"""Tests of the rule checkers, on small pieces of evidence and on routers with a planted fault."""

import socket

import pytest
import structlog
from rig import Rig, story

from ramppulley import door
from ramppulley.check import rules
from ramppulley.check.evidence import Asked, Entry, Evidence, Held
from ramppulley.load.day import Day, Fleet, Stream, Trouble, arrivals
from ramppulley.load.ports import reserve_port
from ramppulley.load.run import play
from ramppulley.rules import Router

S = 10_000


def asked(how="fulfilled", ended=S, effect="pure", **more):
    return Asked("q", "chat", "c", effect, 0, 5 * S, S, ended=ended, how=how, finals=1, **more)


def attempt(at, ended, engine="w", what="write", how="answered", number=0, **more):
    return Entry(engine, f"q.r0-1-s{number}", what, at, more.pop("opened", at), ended=ended, how=how, **more)


def broken_rules(*entries, one=None, held=(), **more):
    evidence = Evidence([one or asked()], list(entries), list(held), more.pop("listed", []), **more)
    return [breach.rule for breach in rules.breaches(evidence)]


def test_a_clean_run_has_no_breach():
    assert broken_rules(attempt(0, S // 2, "r", "read"), attempt(S // 2, S, number=1)) == []


def test_rule_1_sees_no_answer_two_answers_and_a_send_after_the_answer():
    assert broken_rules(one=asked("lost")) == [1]
    answered_twice = asked()
    answered_twice.finals = 2
    assert broken_rules(one=answered_twice) == [1]
    assert broken_rules(attempt(2 * S, 3 * S)) == [1]
    assert broken_rules(one=asked(in_order=False)) == [1]
    assert broken_rules(one=asked("lost"), killed=[(0, S // 2)]) == []


def test_rule_2_sees_five_sends_two_at_once_and_an_effect_twice():
    assert broken_rules(*(attempt(i * 1500, i * 1500 + 1000, number=i) for i in range(5))) == [2]
    assert broken_rules(attempt(0, S), attempt(S // 2, S, number=1)) == [2]
    twice = attempt(0, 2000, how="withdrawn"), attempt(3000, S, number=1)
    assert broken_rules(*twice) == [] and broken_rules(*twice, one=asked(effect="effectful")) == [2]
    not_run = attempt(0, 2000, how="full"), attempt(3000, S, number=1)
    assert broken_rules(*not_run, one=asked(effect="effectful")) == []
    assert broken_rules(attempt(0, 2000, ran=True), one=asked("turned back", effect="effectful")) == [2]


def test_rule_2_keeps_a_receipt_in_its_group_and_window():
    one, places = asked(effect="receipted", ended=9 * S), {"a": ("x", "n"), "b": ("y", "s")}
    twice = attempt(0, 2000, "a", how="cut"), attempt(3000, 4000, "b", number=1)
    assert broken_rules(*twice, one=one, places=places, windows={"c": ("zone", 6 * S)}) == [2]
    assert broken_rules(*twice, one=one, places=places, windows={"c": ("all", 6 * S)}) == []
    late = attempt(0, 2000, "a", how="cut"), attempt(8 * S, 9 * S, "a", number=1)
    assert broken_rules(*late, one=one, places=places, windows={"c": ("zone", 6 * S)}) == [2]


def test_rule_3_sees_work_after_the_grace_and_not_after_the_return():
    listed = [(0, {"w": "ready"}), (S, {"w": "draining"}), (9 * S, {"w": "ready"})]
    one = asked(ended=20 * S)
    assert broken_rules(attempt(2 * S, 3 * S), one=one, listed=listed) == []
    assert broken_rules(attempt(4 * S, 5 * S), one=one, listed=listed) == [3]
    assert broken_rules(attempt(10 * S, 11 * S), one=one, listed=listed) == []


def test_rule_4_sees_a_cold_worker_sent_more_than_its_budget():
    cold = {"w": (0.25, 8 * S, 4.0, 2 * S)}
    one = asked(ended=20 * S)
    entries = [attempt(i * 100, S, number=i % 4, weight=S) for i in range(4)]
    assert 4 in broken_rules(*entries, one=one, births=[("w", 0)], cold=cold)
    assert 4 not in broken_rules(*entries[:2], one=one, births=[("w", 0)], cold=cold)
    assert 4 not in broken_rules(*entries, one=one, births=[("w", -9 * S)], cold=cold)


def test_rule_5_sees_a_state_that_waits_for_nobody():
    held = Held("r", "q.r0-1-s0", "state", 1000, 9000, "let go")
    one = asked(ended=2 * S)
    assert broken_rules(attempt(0, 1000, "r", "read"), held=[held], one=one) == [5]
    assert broken_rules(attempt(0, 1000, "r", "read"), attempt(1200, 9000, number=1), held=[held], one=one) == []
    assert broken_rules(held=[Held("r", "q.r0-1-s0", "state", 0)], one=one) == [5]
    assert broken_rules(held=[Held("r", "q.r0-1-s0", "state", 0, 9 * S, "died")], one=one) == []


def test_rule_5_rests_while_nobody_can_reach_the_worker():
    held, one = Held("r", "q.r0-1-s0", "state", 1000, 9 * S, "let go"), asked(ended=10 * S)
    prefill = attempt(0, 1000, "r", "read")
    assert broken_rules(prefill, held=[held], one=one, unreachable=[("r", 2000, 9 * S - 500)]) == []
    assert broken_rules(prefill, held=[held], one=one, unreachable=[("r", 2000, 5 * S)]) == [5]
    assert broken_rules(prefill, held=[held], one=one, unreachable=[("other", 2000, 9 * S)]) == [5]


def test_what_reaches_stand_ins_that_stand_still_is_not_late_by_the_router():
    held = Held("r", "q.r0-1-s0", "state", 1000, 9000, "taken")
    one, prefill, decode = asked(ended=2 * S), attempt(0, 1000, "r", "read"), attempt(7000, 9000, number=1)
    assert broken_rules(prefill, decode, held=[held], one=one) == [5]
    assert broken_rules(prefill, decode, held=[held], one=one, stood=[(1100, 6900)]) == []
    assert broken_rules(prefill, decode, held=[held], one=one, stood=[(1100, 2000), (8000, 20_000)]) == [5]
    assert broken_rules(prefill, decode, held=[held], one=one, starved=[(0, 1100, 5000), (0, 4000, 6900)]) == []
    assert broken_rules(prefill, decode, held=[held], one=one, starved=[(1, 1100, 6900)]) == [5]
    late = attempt(2 * S, 3 * S)
    assert broken_rules(late, one=asked(how="left")) == [1]
    assert broken_rules(late, one=asked(how="left"), stood=[(S, 2 * S)]) == []


@story
async def test_a_state_that_was_fetched_ends_when_it_was_and_not_when_its_engine_next_looks():
    async with Rig(cells=1, readers=1, writers=1) as rig:
        for standin in rig.fleet.standins.values():
            if standin.engine.kind.role == "read":
                standin.holds.expire = lambda now: None
        assert (await rig.chat()).done
        assert [(held.how, held.until is not None) for held in rig.fleet.held if held.what == "state"] == [
            ("taken", True)
        ]


def test_a_reserved_port_is_given_to_nobody_else():
    with reserve_port() as reserved:
        port = reserved.getsockname()[1]
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(("127.0.0.1", port))
        with socket.socket() as router:  # binds as the router's listener does
            router.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            router.bind(("127.0.0.1", port))
            router.listen()


def test_a_day_is_the_same_day_each_time():
    day = Day(name="d", length_s=4, streams=[Stream(per_s=30)], troubles=[Trouble(what="burst", at_s=2, for_s=1)])
    plan = arrivals(day)
    assert plan == arrivals(day) and plan != arrivals(day.model_copy(update={"seed": 2}))
    before, during = (sum(a <= q.at < a + 1 for q in plan) for a in (0, 2))
    assert during > 2 * before


class Host:
    """A host that ignores some calls of the policy and passes on the others."""

    def __init__(self, host, *ignored):
        self.host, self.ignored = host, ignored

    def __getattr__(self, name):
        return (lambda *_: None) if name in self.ignored else getattr(self.host, name)


class NeverTurnsBack(Router):
    def __init__(self, host, **more):
        super().__init__(Host(host, "turn_back"), **more)


class NeverLetsGo(Router):
    """It does not release, and its core keeps refused requests, which would be released when they are forgotten."""

    def __init__(self, host, **more):
        host._forget_answered = lambda: None
        super().__init__(Host(host, "let_go"), **more)


class BelievesNothingRan(Router):
    def outcome(self, now, view, attempt, outcome, *more):
        super().outcome(now, view, attempt, outcome if outcome in (door.DONE, *door.NEVER_RAN) else door.STALE, *more)


class _Listed(Router):
    def change(self, endpoint):
        raise NotImplementedError

    def listed(self, now, endpoints):
        for endpoint in endpoints:
            self.change(endpoint)
        super().listed(now, endpoints)


class IgnoresDrains(_Listed):
    def change(self, endpoint):
        endpoint.state = "ready" if endpoint.state == "draining" else endpoint.state


class IgnoresCold(_Listed):
    def change(self, endpoint):
        endpoint.born = None


def day(streams, *troubles, **more):
    return Day(
        name="mutant",
        seed=3,
        length_s=5,
        streams=streams,
        troubles=list(troubles),
        fleet=Fleet(cells=1, list_lag_s=0.1, **more.pop("fleet", {})),
        **more,
    )


BOOKINGS = [Stream(use_case="booking", per_s=14, answer=(20, 60))]
MUTANTS = [
    (
        1,
        NeverTurnsBack,
        day([Stream(per_s=25, patience_s=1.0)], Trouble(what="crash", who="writer-*", count=2, at_s=1)),
    ),
    (
        2,
        BelievesNothingRan,
        day(
            BOOKINGS,
            Trouble(what="crash", who="writer-0-0", at_s=1.5, for_s=2),
            Trouble(what="crash", who="writer-0-1", at_s=3, for_s=1),
        ),
    ),
    (
        3,
        IgnoresDrains,
        day(
            [Stream(per_s=20)],
            Trouble(what="drain", who="writer-0-0", at_s=0.5, for_s=4),
            orders={"rules": {"drain_grace_s": 0.5}},
        ),
    ),
    (
        4,
        IgnoresCold,
        day(
            [Stream(per_s=24, prompt=(700, 700), beginnings=0, turns=1, answer=(8, 12))],
            Trouble(what="crash", who="reader-0-0", at_s=0.7, for_s=0.3),
            fleet={"readers": 1, "kinds": {"read": {"fall_multiple": 0.4}}},  # it does all prefills
            orders={"rules": {"cold_multiple": 0.4}},
        ),
    ),
    (5, NeverLetsGo, day([Stream(per_s=20, impatient=0.5)], Trouble(what="crash", who="writer-*", count=2, at_s=2))),
]


@pytest.mark.parametrize("rule,mutant,scenario", MUTANTS, ids=[m[1].__name__ for m in MUTANTS])
def test_a_router_broken_on_purpose_is_caught_and_the_real_one_is_not(rule, mutant, scenario):
    @story
    async def run_both():
        log = structlog.get_logger()
        broken = {b.rule for b in rules.breaches(await play(scenario, log, make=mutant))}
        assert rule in broken, broken
        breaches = [str(b) for b in rules.breaches(await play(scenario, log, make=Router))]
        assert breaches == []

    run_both()
