"""Tests of the core on a virtual clock, with a connector and a sink that record their calls."""

import json
from types import SimpleNamespace

import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from ramppulley import door
from ramppulley.rules import Router
from ramppulley.service.clock import VirtualClock
from ramppulley.service.core import Core
from ramppulley.service.estimate import TokenEstimator
from ramppulley.service.neutral import (
    CHAT,
    CLIENT_LEFT,
    COMPLETED,
    EMBEDDINGS,
    FAILED,
    REJECTED,
    AttemptResult,
    InferenceRequest,
    Usage,
)
from ramppulley.service.record import EventLog, read_event_log

S = 10_000
STATE = {"remote_engine_id": "r", "remote_block_ids": ["b"]}


class RecordingConnector:
    """Connector and ResponseSink in one; records the calls."""

    def __init__(self):
        self.calls, self.final_answers = [], []

    def __getattr__(self, method):
        return lambda *args: self.calls.append((method, *args))

    def final(self, final_answer):
        self.final_answers.append(final_answer)

    def calls_to(self, method):
        return [call for call in self.calls if call[0] == method]


def make_rig(effect="pure", places=False, pooled=False, event_log=None):
    fake, clock = RecordingConnector(), VirtualClock(S)
    request_class = door.RequestClass(2 * S, 0, 6 * S, 600, 1.0, effect)
    policy_settings = door.PolicySettings(2 * S, 0.3, 8 * S, 4.0, 3 * S, 3000, 10)

    def make(host, now):
        return Router(
            host,
            seed=1,
            routers=1,
            zone=0,
            use_cases=[request_class],
            accounts=[],
            permits=door.Capabilities(places=places),
            lawbook=policy_settings,
            now=now,
        )

    core = Core(
        "pool",
        make,
        fake,
        clock,
        {"c": request_class},
        {},
        event_log or EventLog(),
        structlog.get_logger(),
        TokenEstimator(),
        lambda endpoint: f"w{endpoint.mark}",
    )
    roles = ["both", "both"] if pooled else ["read", "read", "write", "write"]
    core.endpoints_changed([door.Endpoint(n, role, 0, 0, 100_000) for n, role in enumerate(roles)])
    return SimpleNamespace(core=core, fake=fake, clock=clock)


def submit(rig, kind=CHAT, **options):
    request = InferenceRequest(
        "q.r0-0", kind, "m", "c", {}, 6 * S, 100, prompt_bytes=400, max_out=50, session="s", **options
    )
    return rig.core.submit(request, rig.fake)


def last_attempt(rig):
    return rig.fake.calls_to("start")[-1][2]


def end_prefill(rig):
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.READ, usage=Usage(200), state=STATE))


def is_empty(rig):
    rig.clock.run_to(rig.clock.now() + 20 * S)
    return not rig.core.requests and not rig.core.router.requests


def test_a_question_is_read_written_and_answered_once():
    rig = make_rig()
    submit(rig)
    end_prefill(rig)
    assert last_attempt(rig).state == STATE and not last_attempt(rig).is_prefill
    rig.core.first_token(last_attempt(rig))
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.DONE))
    rig.core.attempt_ended(
        last_attempt(rig), AttemptResult(door.CUT)
    )  # a second outcome of the same attempt is ignored
    assert (
        [e.result for e in rig.fake.final_answers] == [COMPLETED] and is_empty(rig) and not rig.fake.calls_to("release")
    )


def test_the_ratio_of_bytes_to_tokens_is_learnt_from_the_engines_count():
    rig = make_rig()
    submit(rig)
    end_prefill(rig)
    assert rig.core.estimator.ratio("m") == 2.0


def test_a_client_that_leaves_while_it_is_read_lets_go_of_the_state_that_still_comes():
    rig = make_rig()
    tracked = submit(rig)
    rig.core.client_left(tracked)
    assert rig.fake.calls_to("cancel") and [e.result for e in rig.fake.final_answers] == [CLIENT_LEFT]
    end_prefill(rig)  # the outcome had been sent before the cancellation arrived
    assert rig.fake.calls_to("release")[0][3] == STATE and is_empty(rig) and len(rig.fake.calls_to("start")) == 1


def test_a_client_that_leaves_its_stream_stops_the_writer():
    rig = make_rig()
    tracked = submit(rig)
    end_prefill(rig)
    rig.core.first_token(last_attempt(rig))
    rig.core.client_left(tracked)
    assert rig.fake.calls_to("cancel")
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.UNDONE))
    assert is_empty(rig) and len(rig.fake.final_answers) == 1


def test_time_up_answers_before_the_client_leaves_and_the_late_outcome_is_taken_in():
    rig = make_rig()
    submit(rig)
    rig.clock.run_to(S + 6 * S)
    assert [e.result for e in rig.fake.final_answers] == [REJECTED] and rig.fake.final_answers[0].retry_after >= 0
    sends = len(rig.fake.calls_to("start"))
    for start in rig.fake.calls_to("start"):
        rig.core.attempt_ended(start[2], AttemptResult(door.UNDONE))
    assert is_empty(rig) and len(rig.fake.calls_to("start")) == sends


def test_an_effect_that_may_have_happened_is_scrapped():
    rig = make_rig("effectful")
    submit(rig)
    end_prefill(rig)
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.CUT))
    assert [(e.result, e.retryable) for e in rig.fake.final_answers] == [(FAILED, False)]
    assert rig.fake.calls_to("release") and is_empty(rig)


def test_a_stream_that_breaks_ends_as_one():
    rig = make_rig()
    submit(rig)
    end_prefill(rig)
    rig.core.first_token(last_attempt(rig))
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.CUT))
    assert (
        len(rig.fake.final_answers) == 1
        and rig.fake.final_answers[0].streamed
        and rig.fake.final_answers[0].result != COMPLETED
        and is_empty(rig)
    )


def test_a_batch_is_one_send_and_a_dead_worker_costs_another():
    rig = make_rig(pooled=True)
    submit(rig, EMBEDDINGS)
    first = last_attempt(rig)
    rig.core.attempt_ended(first, AttemptResult(door.CUT))
    assert last_attempt(rig) is not first and last_attempt(rig).endpoint is not first.endpoint
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.DONE, body=b"{}"))
    assert rig.fake.final_answers[0].body == b"{}" and is_empty(rig)


def test_a_long_batch_is_read_by_a_mixed_worker_where_nobody_else_reads():
    rig = make_rig(pooled=True)
    submit(rig, EMBEDDINGS)
    assert len(rig.fake.calls_to("start")) == 1  # 100 tokens, while no prefill rate is known
    request = InferenceRequest("q.r0-1", EMBEDDINGS, "m", "c", {}, 6 * S, 4000)
    rig.core.submit(request, rig.fake)
    assert len(rig.fake.calls_to("start")) == 2


def test_a_place_known_only_after_the_write_began_is_let_go_at_the_first_token():
    rig = make_rig(places=True)
    tracked = submit(rig)
    place = rig.fake.calls_to("reserve")[0][3]
    rig.clock.run_to(rig.clock.now() + 100)
    end_prefill(rig)
    rig.clock.run_to(rig.clock.now() + 100)
    rig.core.reservation_answered(tracked, place, True)
    rig.core.first_token(last_attempt(rig))
    assert (place, None) in [(call[2], call[3]) for call in rig.fake.calls_to("release")]


def test_a_place_held_for_nobody_is_let_go_at_once():
    rig = make_rig(places=True)
    tracked = submit(rig)
    place = rig.fake.calls_to("reserve")[0][3]
    rig.core.client_left(tracked)
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.UNDONE))
    before = len(rig.fake.calls_to("release"))
    rig.core.reservation_answered(tracked, place, True)
    assert len(rig.fake.calls_to("release")) == before + 1 and is_empty(rig)


def test_answers_of_one_token_do_not_make_a_writer_look_slow():
    rig = make_rig()
    for _ in range(3):
        rig.core.submit(InferenceRequest("q.r0-0", CHAT, "m", "c", {}, 6 * S, 100, max_out=1, likely_out=1), rig.fake)
        end_prefill(rig)
        rig.core.first_token(last_attempt(rig))
        rig.clock.run_to(rig.clock.now() + 8)  # the response ends shortly after its first token
        rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.DONE))
    assert all(w.figures().stream_lateness <= 0 for w in rig.core.router.workers.values())


def test_a_fault_in_the_module_costs_one_question():
    rig = make_rig()
    submit(rig)
    rig.core.router.outcome = lambda *_: 1 / 0
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.READ, state=STATE))
    assert (
        [e.result for e in rig.fake.final_answers] == [FAILED]
        and not rig.core.requests
        and rig.fake.calls_to("release")
    )


def test_the_record_is_read_back_and_a_cut_last_line_passed_over(tmp_path):
    path = tmp_path / "book.jsonl"
    event_log = EventLog(path)
    rig = make_rig(event_log=event_log)
    submit(rig)
    end_prefill(rig)
    rig.core.attempt_ended(last_attempt(rig), AttemptResult(door.DONE, body=b"x"))
    event_log.close()
    with open(path, "ab") as file:
        file.write(b'{"name": "half')
    (record,) = read_event_log(path)
    line = json.loads(path.read_bytes().splitlines()[0])
    assert record == event_log.last[-1] and "why" not in line and "why" not in line["sends"][0]  # defaults are omitted
    assert record.how == COMPLETED and [s.outcome for s in record.sends] == ["read", "done"]


RESULTS = [
    AttemptResult(o, state=STATE if o == door.READ else None)
    for o in (
        door.READ,
        door.DONE,
        door.FAULT,
        door.NO_ROOM,
        door.NO_STATE,
        door.TOO_SLOW,
        door.NO_ROUTE,
        door.CUT,
        door.UNDONE,
    )
]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(["pure", "effectful"]),
    st.lists(
        st.one_of(st.sampled_from(RESULTS), st.sampled_from(["first", "left"]), st.integers(1, 20_000)), max_size=14
    ),
)
def test_in_any_order_of_events_there_is_one_answer_and_nothing_is_left(effect, events):
    rig = make_rig(effect)
    tracked = submit(rig)
    for event in events:
        attempts = tracked.open_attempts
        if isinstance(event, int):
            rig.clock.run_to(rig.clock.now() + event)
        elif event == "left":
            rig.core.client_left(tracked)
        elif attempts and event == "first":
            if not attempts[0].is_prefill:
                rig.core.first_token(attempts[0])
        elif (
            attempts
            and (event.outcome == door.READ) <= attempts[0].is_prefill
            and (event.outcome == door.DONE) <= (not attempts[0].is_prefill)
        ):
            rig.core.attempt_ended(attempts[0], event)
        assert len(rig.fake.final_answers) <= 1 and len(tracked.open_attempts) <= 1 and len(tracked.attempts) <= 4
    rig.clock.run_to(rig.clock.now() + 7 * S)
    for left in tracked.open_attempts:
        rig.core.attempt_ended(left, AttemptResult(door.UNDONE))
    assert len(rig.fake.final_answers) == 1 and is_empty(rig) and tracked.state is None
    if effect == "effectful":
        assert sum(not o.is_prefill and o.result[1].outcome not in door.NEVER_RAN for o in tracked.attempts) <= 1


def test_the_longest_event_of_the_module_is_told_once():
    rig = make_rig()
    router = rig.core.router
    events = {"told": 30, "probed": 250, "left": 40}  # durations in tenths of a millisecond
    for name, duration in events.items():
        setattr(router, name, lambda *args, duration=duration: rig.clock.run_to(rig.clock.now() + duration))
    rig.core.event_times.take()
    rig.core.peer_reports_changed([])
    rig.core.probed(None, door.DONE, None)
    rig.core.client_left(submit(rig))
    assert rig.core.event_times.take() == "probed:25" and rig.core.event_times.take() == ""
