"""Stories of the core on a played clock, with a connector and a front that only write down what they are told."""

import json
from types import SimpleNamespace

import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from ramppulley import door
from ramppulley.rules import Router
from ramppulley.service.clock import VirtualClock
from ramppulley.service.core import Core
from ramppulley.service.estimate import Estimator
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
from ramppulley.service.record import Book, read_event_log

S = 10_000
STATE = {"remote_engine_id": "r", "remote_block_ids": ["b"]}


class Fake:
    """Connector and sink in one."""

    def __init__(self):
        self.told, self.endings = [], []

    def __getattr__(self, word):
        return lambda *what: self.told.append((word, *what))

    def final(self, ending):
        self.endings.append(ending)

    def of(self, word):
        return [t for t in self.told if t[0] == word]


def world(effect="pure", places=False, pooled=False, book=None):
    fake, clock = Fake(), VirtualClock(S)
    case = door.RequestClass(2 * S, 0, 6 * S, 600, 1.0, effect)
    law = door.PolicySettings(2 * S, 0.3, 8 * S, 4.0, 3 * S, 3000, 10)

    def make(host, now):
        return Router(
            host,
            seed=1,
            routers=1,
            zone=0,
            use_cases=[case],
            accounts=[],
            permits=door.Capabilities(places=places),
            lawbook=law,
            now=now,
        )

    core = Core(
        "pool",
        make,
        fake,
        clock,
        {"c": case},
        {},
        book or Book(),
        structlog.get_logger(),
        Estimator(),
        lambda endpoint: f"w{endpoint.mark}",
    )
    roles = ["both", "both"] if pooled else ["read", "read", "write", "write"]
    core.endpoints_changed([door.Endpoint(n, role, 0, 0, 100_000) for n, role in enumerate(roles)])
    return SimpleNamespace(core=core, fake=fake, clock=clock)


def take(it, kind=CHAT, **more):
    request = InferenceRequest("q.r0-0", kind, "m", "c", {}, 6 * S, 100, weighed=400, max_out=50, session="s", **more)
    return it.core.submit(request, it.fake)


def attempt_of(it):
    return it.fake.of("start")[-1][2]


def read(it):
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.READ, usage=Usage(200), state=STATE))


def empty(it):
    it.clock.run_to(it.clock.now() + 20 * S)
    return not it.core.requests and not it.core.router.requests


def test_a_question_is_read_written_and_answered_once():
    it = world()
    take(it)
    read(it)
    assert attempt_of(it).state == STATE and not attempt_of(it).is_prefill
    it.core.first_token(attempt_of(it))
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.DONE))
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.CUT))  # a second word on the same send counts for nothing
    assert [e.result for e in it.fake.endings] == [COMPLETED] and empty(it) and not it.fake.of("release")


def test_the_ratio_of_bytes_to_tokens_is_learnt_from_the_engines_count():
    it = world()
    take(it)
    read(it)
    assert it.core.estimator.ratio("m") == 2.0


def test_a_client_that_leaves_while_it_is_read_lets_go_of_the_state_that_still_comes():
    it = world()
    tracked = take(it)
    it.core.client_left(tracked)
    assert it.fake.of("cancel") and [e.result for e in it.fake.endings] == [CLIENT_LEFT]
    read(it)  # the answer had crossed the withdrawal
    assert it.fake.of("release")[0][3] == STATE and empty(it) and len(it.fake.of("start")) == 1


def test_a_client_that_leaves_its_stream_stops_the_writer():
    it = world()
    tracked = take(it)
    read(it)
    it.core.first_token(attempt_of(it))
    it.core.client_left(tracked)
    assert it.fake.of("cancel")
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.UNDONE))
    assert empty(it) and len(it.fake.endings) == 1


def test_time_up_answers_before_the_client_leaves_and_the_late_outcome_is_taken_in():
    it = world()
    take(it)
    it.clock.run_to(S + 6 * S)
    assert [e.result for e in it.fake.endings] == [REJECTED] and it.fake.endings[0].retry_after >= 0
    sends = len(it.fake.of("start"))
    for start in it.fake.of("start"):
        it.core.attempt_ended(start[2], AttemptResult(door.UNDONE))
    assert empty(it) and len(it.fake.of("start")) == sends


def test_an_effect_that_may_have_happened_is_scrapped():
    it = world("effectful")
    take(it)
    read(it)
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.CUT))
    assert [(e.result, e.retryable) for e in it.fake.endings] == [(FAILED, False)]
    assert it.fake.of("release") and empty(it)


def test_a_stream_that_breaks_ends_as_one():
    it = world()
    take(it)
    read(it)
    it.core.first_token(attempt_of(it))
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.CUT))
    assert (
        len(it.fake.endings) == 1
        and it.fake.endings[0].streamed
        and it.fake.endings[0].result != COMPLETED
        and empty(it)
    )


def test_a_batch_is_one_send_and_a_dead_worker_costs_another():
    it = world(pooled=True)
    take(it, EMBEDDINGS)
    first = attempt_of(it)
    it.core.attempt_ended(first, AttemptResult(door.CUT))
    assert attempt_of(it) is not first and attempt_of(it).endpoint is not first.endpoint
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.DONE, body=b"{}"))
    assert it.fake.endings[0].body == b"{}" and empty(it)


def test_a_long_batch_is_read_by_a_mixed_worker_where_nobody_else_reads():
    it = world(pooled=True)
    take(it, EMBEDDINGS)
    assert len(it.fake.of("start")) == 1  # 100 tokens at no known pace
    request = InferenceRequest("q.r0-1", EMBEDDINGS, "m", "c", {}, 6 * S, 4000)
    it.core.submit(request, it.fake)
    assert len(it.fake.of("start")) == 2


def test_a_place_known_only_after_the_write_began_is_let_go_at_the_first_token():
    it = world(places=True)
    tracked = take(it)
    place = it.fake.of("reserve")[0][3]
    it.clock.run_to(it.clock.now() + 100)
    read(it)
    it.clock.run_to(it.clock.now() + 100)
    it.core.reservation_answered(tracked, place, True)
    it.core.first_token(attempt_of(it))
    assert (place, None) in [(t[2], t[3]) for t in it.fake.of("release")]


def test_a_place_held_for_nobody_is_let_go_at_once():
    it = world(places=True)
    tracked = take(it)
    place = it.fake.of("reserve")[0][3]
    it.core.client_left(tracked)
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.UNDONE))
    before = len(it.fake.of("release"))
    it.core.reservation_answered(tracked, place, True)
    assert len(it.fake.of("release")) == before + 1 and empty(it)


def test_answers_of_one_token_do_not_make_a_writer_look_slow():
    it = world()
    for _ in range(3):
        it.core.submit(InferenceRequest("q.r0-0", CHAT, "m", "c", {}, 6 * S, 100, max_out=1, likely_out=1), it.fake)
        read(it)
        it.core.first_token(attempt_of(it))
        it.clock.run_to(it.clock.now() + 8)  # a token's end takes a moment
        it.core.attempt_ended(attempt_of(it), AttemptResult(door.DONE))
    assert all(w.figures().slowness <= 0 for w in it.core.router.workers.values())


def test_a_fault_in_the_module_costs_one_question():
    it = world()
    take(it)
    it.core.router.outcome = lambda *_: 1 / 0
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.READ, state=STATE))
    assert [e.result for e in it.fake.endings] == [FAILED] and not it.core.requests and it.fake.of("release")


def test_the_record_is_read_back_and_a_cut_last_line_passed_over(tmp_path):
    path = tmp_path / "book.jsonl"
    book = Book(path)
    it = world(book=book)
    take(it)
    read(it)
    it.core.attempt_ended(attempt_of(it), AttemptResult(door.DONE, body=b"x"))
    book.close()
    with open(path, "ab") as file:
        file.write(b'{"name": "half')
    (told,) = read_event_log(path)
    line = json.loads(path.read_bytes().splitlines()[0])
    assert told == book.last[-1] and "why" not in line and "why" not in line["sends"][0]  # the defaults
    assert told.how == COMPLETED and [s.outcome for s in told.sends] == ["read", "done"]


ENDS = [
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
    st.lists(st.one_of(st.sampled_from(ENDS), st.sampled_from(["first", "left"]), st.integers(1, 20_000)), max_size=14),
)
def test_in_any_order_of_events_there_is_one_answer_and_nothing_is_left(effect, events):
    it = world(effect)
    tracked = take(it)
    for event in events:
        attempts = tracked.open_attempts
        if isinstance(event, int):
            it.clock.run_to(it.clock.now() + event)
        elif event == "left":
            it.core.client_left(tracked)
        elif attempts and event == "first":
            if not attempts[0].is_prefill:
                it.core.first_token(attempts[0])
        elif (
            attempts
            and (event.outcome == door.READ) <= attempts[0].is_prefill
            and (event.outcome == door.DONE) <= (not attempts[0].is_prefill)
        ):
            it.core.attempt_ended(attempts[0], event)
        assert len(it.fake.endings) <= 1 and len(tracked.open_attempts) <= 1 and len(tracked.attempts) <= 4
    it.clock.run_to(it.clock.now() + 7 * S)
    for left in tracked.open_attempts:
        it.core.attempt_ended(left, AttemptResult(door.UNDONE))
    assert len(it.fake.endings) == 1 and empty(it) and tracked.state is None
    if effect == "effectful":
        assert sum(not o.is_prefill and o.result[1].outcome not in door.NEVER_RAN for o in tracked.attempts) <= 1
