"""The judge of a run: each invariant by its own name, figure and slack, from what crossed the sockets. Pure.

The router's own account is read by one invariant alone (`own_faults`), which names what it reports against itself.
"""

from collections.abc import Callable, Iterator
from math import sqrt
from typing import NamedTuple

from ramppulley.load.soak.clients import body_of
from ramppulley.load.soak.evidence import ClientRequest, Evidence, ProcessLife, WorkerAttempt

RIG_SLACK_S = 0.08  # of the rig: its own loop, the kernel, a busy machine
ANSWER_SLACK_S, GONE_S, TOLD_SLACK_S, HELD_SLACK_S, STALLED_S = 0.5, 0.1, 0.15, 0.3, 3.0
TOLD_WITHIN_S, READY_S, SHUTDOWN_S, EVENT_S = 6.0, 10.0, 0.7, 0.3
LOOK_SLACK_S = 0.02  # a client's close and a worker's first byte are noted by one loop, whose lateness is counted apart
HELD_UP_S = 0.15  # on a machine that is short of CPU, between a router's last look and its write
MAX_HELD_BACK_SHARE = 0.1


class Rules(NamedTuple):
    """Figures of the settings that the routers were started with."""

    release_s: float
    drain_grace_s: float
    cold_s: float
    cold_window_s: float
    cold_calls: float  # N: what a cold worker may get in one window at its start
    repeat_window_s: float  # for which workers drop repeats of the guarded class


class Breach(NamedTuple):
    """One thing that must not happen."""

    invariant: str
    what: str


def judge(evidence: Evidence, rules: Rules) -> list[Breach]:
    """All breaches of a run."""
    view = View(evidence, rules)
    return [Breach(check.__name__, what) for check in INVARIANTS for what in check(view)]


class View:
    """The evidence, by what it is asked for."""

    def __init__(self, evidence: Evidence, rules: Rules) -> None:
        self.evidence, self.rules = evidence, rules
        self.attempts: dict[str, list[WorkerAttempt]] = {}
        for attempt in evidence.attempts:
            self.attempts.setdefault(attempt.name, []).append(attempt)
        self.requests = {request.name: request for request in evidence.requests}

    def life_at(self, router: int, at: float) -> ProcessLife | None:
        """The process of a router at that moment."""
        lives = [life for life in self.evidence.lives if life.router == router and life.started_at <= at]
        return lives[-1] if lives else None

    def killed_during(self, request: ClientRequest) -> bool:
        """Whether its router's process was ended by SIGKILL under it."""
        life = self.life_at(request.router, request.sent_at)
        end = request.ended_at or request.sent_at
        return life is not None and life.kill_at is not None and life.kill_at <= end + 0.05

    def slack(self, at: float) -> float:
        """What the rig itself may have added about that moment."""
        return RIG_SLACK_S + self.evidence.lag_near(at)


def usual(view: View) -> Iterator[ClientRequest]:
    """Requests of clients that are owed an answer: they wait, and speak in turn."""
    for request in view.evidence.requests:
        excused = request.behaviour in ("client_pipeline", "client_never_read", "client_repeat_id")
        if request.closed_at is None and not excused and not _killed_with_excuse(view, request):
            yield request


def _killed_with_excuse(view: View, request: ClientRequest) -> bool:
    """Lost is what SIGKILL finds unanswered of what came over 0.7 s after SIGTERM; what came before has its deadline."""
    life = view.life_at(request.router, request.sent_at)
    if not view.killed_during(request) or life is None or life.kill_at is None:
        return False
    if life.term_at is None:
        return True  # killed outright
    if request.sent_at > life.term_at + SHUTDOWN_S:
        return False
    return request.first_at is not None or request.sent_at + request.deadline_s > life.kill_at


def final_answer(view: View) -> Iterator[str]:
    """Rule 1, terms 3 and 5: one final answer, or its stream's begin, by the deadline and half a second."""
    for request in usual(view):
        answered_at = request.first_at if request.status else None
        if answered_at is None and _shut_unread(view, request):
            continue
        if answered_at is None:
            yield f"{request.name} at n{request.router}: no answer, {request.error or 'the connection ended'}"
            continue
        limit = request.deadline_s + ANSWER_SLACK_S + view.slack(answered_at)
        if answered_at - request.sent_at > limit:
            yield f"{request.name} at n{request.router}: answered after {answered_at - request.sent_at:.2f} s"


def _shut_unread(view: View, request: ClientRequest) -> bool:
    """While idle clients fill all descriptors, a new connection may be shut before its request was read."""
    spans = view.evidence.flooded.get(request.router, [])
    flooded = any(begin <= request.sent_at <= end for begin, end in spans)
    return (
        flooded and request.new_connection and request.name not in view.attempts and request.error != "no end in 12 s"
    )


def whole_stream(view: View) -> Iterator[str]:
    """A stream that its worker finished arrives whole and unchanged; none is cut while its worker writes well."""
    for request in usual(view):
        if request.status != 200:
            continue
        ran = [attempt for attempt in view.attempts.get(request.name, []) if attempt.decode and attempt.begun_at]
        if request.whole and request.body != body_of(request.name):
            yield f"{request.name} at n{request.router}: served what no worker made for it: {request.body[:60]!r}"
        elif not request.whole and ran and all(attempt.clean and attempt.outcome == "whole" for attempt in ran):
            yield f"{request.name} at n{request.router}: a stream that its worker finished was cut ({request.error})"
        elif not request.whole and request.error == "no end in 12 s":
            yield f"{request.name} at n{request.router}: neither an end nor a close"


def served_once(view: View) -> Iterator[str]:
    """Ids that were used are not served again; nothing is served that no worker ran."""
    yield from view.evidence.bad_bodies
    for request in view.evidence.requests:
        if request.behaviour == "client_pipeline" and request.status == 200 and request.whole:
            yield f"{request.name} at n{request.router}: two requests at once, and the first was served whole"


def no_effect_twice(view: View) -> Iterator[str]:
    """Rule 2: what may not be repeated runs once at most."""
    for name, attempts in view.attempts.items():
        request = view.requests.get(name)
        begun = [attempt for attempt in attempts if attempt.decode and attempt.begun_at]
        if request is not None and request.request_class == "lodge" and len(begun) > 1:
            yield f"{name} at n{request.router}: ran {len(begun)} times, at {', '.join(a.worker for a in begun)}"


def repeat_in_window(view: View) -> Iterator[str]:
    """Rule 2 and term 15: what workers drop as a repeat reaches them while they know it."""
    for name, attempts in view.attempts.items():
        request = view.requests.get(name)
        begun = [attempt for attempt in attempts if attempt.decode and attempt.begun_at and attempt.arrived_at]
        if request is None or request.request_class != "book" or len(begun) < 2:
            continue
        times = sorted(attempt.arrived_at or 0.0 for attempt in begun)
        if times[-1] - times[0] > view.rules.repeat_window_s + view.slack(times[-1]):
            yield f"{name} at n{request.router}: ran again {times[-1] - times[0]:.2f} s after its first attempt"


def one_attempt_at_a_time(view: View) -> Iterator[str]:
    """Rule 2: no attempt begins while another of the same request stands on a connection that the router kept open."""
    for name, attempts in view.attempts.items():
        ordered = sorted(attempts, key=lambda attempt: attempt.first_byte_at)
        for before, after in zip(ordered, ordered[1:]):
            ended = before.ended_at or 0.0
            if before.outcome == "whole" and before.clean and after.clean and after.first_byte_at < ended - 0.05:
                yield f"{name}: an attempt at {after.worker} while one was out at {before.worker}"


def client_gone(view: View) -> Iterator[str]:
    """Term 2: no attempt begins over 0.1 s after its client's close."""
    for name, attempts in view.attempts.items():
        request = view.requests.get(name)
        if request is None or request.closed_at is None:
            continue
        for attempt in attempts:
            late = attempt.first_byte_at - request.closed_at
            slack = LOOK_SLACK_S + view.evidence.lag_near(attempt.first_byte_at) + view.evidence.crowded * HELD_UP_S
            if late > GONE_S + slack + _stopped_before_write(view, attempt):
                yield f"{name} at n{request.router}: an attempt at {attempt.worker} {late:.2f} s after its client left"


def _stopped_before_write(view: View, attempt: WorkerAttempt) -> float:
    """How long its router may have stood still between its last look at the client and this write: not where it stood still
    before it had the outcome of the attempt before, as the look comes behind that."""
    earlier = [
        a.ended_at or 0.0 for a in view.attempts.get(attempt.name, []) if a.first_byte_at < attempt.first_byte_at
    ]
    caused_at = max(earlier, default=0.0)
    spans = [span for life in view.evidence.lives if life.router == attempt.router for span in life.stopped]
    at = attempt.first_byte_at
    return sum(end - begin for begin, end in spans if begin >= caused_at and end - 0.02 <= at <= end + 0.3)


def deadline_told(view: View) -> Iterator[str]:
    """Term 4: a worker is told at most what is left to the client."""
    for name, attempts in view.attempts.items():
        request = view.requests.get(name)
        for attempt in attempts if request is not None else ():
            assert request is not None
            left_s = request.deadline_s - (attempt.first_byte_at - request.sent_at)
            over = attempt.told_deadline_ms / 1000 - left_s
            if over > TOLD_SLACK_S + view.slack(attempt.first_byte_at):
                yield f"{name} at n{request.router}: {attempt.worker} was told {over:.2f} s more than is left"


def drained(view: View) -> Iterator[str]:
    """Rule 3 and terms 7 and 15: nothing new to a worker that drains or is gone, after the grace, which covers 0.15 s for
    which a router is held up."""
    for attempt in view.evidence.attempts:
        due = _told_of_end(view, attempt)
        if due is None:
            continue
        late = attempt.first_byte_at - due
        if late > view.rules.drain_grace_s + view.slack(attempt.first_byte_at):
            yield f"{attempt.name} at n{attempt.router}: sent to {attempt.worker} {late:.2f} s after it was told to end"


def _told_of_end(view: View, attempt: WorkerAttempt) -> float | None:
    """When its router was told, or counts as told, of the state in which the worker then still was."""
    evidence, at = view.evidence, attempt.first_byte_at
    changes = [(when, state) for when, state in evidence.changed.get(attempt.worker, []) if when <= at]
    if not changes or changes[-1][1] == "Ready":
        return None
    since = changes[-1][0]
    for when, state in reversed(changes):
        if state == "Ready":
            break
        since = when
    told = [
        when
        for when, state in evidence.told.get((attempt.router, attempt.worker), [])
        if since <= when and state != "Ready"
    ]
    reachable = since
    for begin, end in evidence.unreachable.get(attempt.router, []):
        if begin <= reachable + TOLD_WITHIN_S and end >= reachable:
            reachable = end
    return min([*told, reachable + TOLD_WITHIN_S])


def held_state(view: View) -> Iterator[str]:
    """Rule 5 and term 6: KV state is taken or released in time; a decode that did not arrive stops no clock."""
    for hold in view.evidence.holds:
        limit = view.rules.release_s + HELD_SLACK_S + view.slack(hold.since)
        if not hold.excused and hold.longest_s > limit:
            yield f"{hold.name} at n{hold.router}: held for {hold.longest_s:.2f} s"


def slow_start(view: View) -> Iterator[str]:
    """Rule 4 and term 1: what a cold worker gets in one window, over all processes, where two thirds had been told."""
    rules = view.rules
    calls = rules.cold_calls
    bound = calls + (3 * sqrt(calls) + 3 if calls < 30 else 2 * sqrt(calls) + 2)
    for worker, born in view.evidence.born.items():
        there = [a for a in view.evidence.attempts if a.worker == worker and a.first_byte_at >= born]
        for first in sorted(attempt.first_byte_at for attempt in there):
            window = [a for a in there if first <= a.first_byte_at < first + rules.cold_window_s]
            told = sum(_told_of_start(view, attempt, born) for attempt in window)
            if first <= born + rules.cold_window_s and len(window) > bound and 3 * told > 2 * len(window):
                yield f"{worker}: {len(window)} calls in {rules.cold_window_s} s of its slow start, {bound:.1f} allowed"
                break


def _told_of_start(view: View, attempt: WorkerAttempt, born: float) -> bool:
    """Whether its router had been told, or counted as told, that the worker started anew."""
    told = [when for when, _ in view.evidence.told.get((attempt.router, attempt.worker), []) if when >= born - 0.01]
    return min([*told, born + TOLD_WITHIN_S]) <= attempt.first_byte_at


def events_in_time(view: View) -> Iterator[str]:
    """Term 13: an event reaches its client 0.3 s after its worker wrote it, but for one stream in ten."""
    late, streams = [], 0
    for request in usual(view):
        ran = [a for a in view.attempts.get(request.name, []) if a.decode and a.event_times and a.clean]
        if len(ran) != 1 or not request.whole or request.behaviour or request.status != 200:
            continue
        streams += 1
        gaps = [got - sent for sent, got in zip(ran[0].event_times, request.event_times)]
        worst = max(gaps, default=0.0)
        if worst > EVENT_S + view.slack(ran[0].event_times[-1]):
            late.append(f"{request.name} {worst:.2f} s")
    if len(late) > max(1.0, MAX_HELD_BACK_SHARE * streams):
        yield f"{len(late)} of {streams} streams had an event held back: {', '.join(late[:5])}"


def stalled_clients(view: View) -> Iterator[str]:
    """Term 16: a client that stops inside a request gets its error or a close within 3 s."""
    for client in view.evidence.stalled:
        life = view.life_at(client.router, client.stopped_at)
        killed = life is not None and life.kill_at is not None and life.kill_at < client.stopped_at + STALLED_S
        took = (client.answered_at or 1e9) - client.stopped_at
        if not killed and took > STALLED_S + view.slack(client.stopped_at + STALLED_S):
            yield f"n{client.router}: {'nothing' if took > 1e6 else f'{took:.2f} s'} for a client that stopped in a request"


def late_taken(view: View) -> Iterator[str]:
    """Term 18: what came over 0.7 s after SIGTERM is not under way at SIGKILL."""
    for request in view.evidence.requests:
        life = view.life_at(request.router, request.sent_at)
        if life is None or life.term_at is None or request.closed_at is not None:
            continue
        late = request.sent_at - life.term_at > SHUTDOWN_S + view.slack(request.sent_at)
        began = any(a.first_byte_at > request.sent_at for a in view.attempts.get(request.name, []))
        if late and began and request.behaviour != "client_pipeline":
            yield f"{request.name} at n{request.router}: taken {request.sent_at - life.term_at:.2f} s after SIGTERM"


def processes(view: View) -> Iterator[str]:
    """No crash, no refused start, ready in time, an orderly end."""
    for life in view.evidence.lives:
        if life.ready_at is None and life.kill_at is None and life.term_at is None:
            yield f"n{life.router}: not ready"
        elif life.ready_at is not None and life.ready_at - life.started_at > READY_S:
            yield f"n{life.router}: ready after {life.ready_at - life.started_at:.1f} s"
        if life.kill_at is None and life.status not in (0, None):
            yield f"n{life.router}: ended with status {life.status}"
        if life.term_at is None and life.kill_at is None and life.ended_at is not None:
            yield f"n{life.router}: ended by itself"


def own_faults(view: View) -> Iterator[str]:
    """A router reports a fault of its own, or that it broke a rule."""
    yield from view.evidence.log_faults


INVARIANTS: tuple[Callable[[View], Iterator[str]], ...] = (
    final_answer,
    whole_stream,
    served_once,
    no_effect_twice,
    repeat_in_window,
    one_attempt_at_a_time,
    client_gone,
    deadline_told,
    drained,
    held_state,
    slow_start,
    events_in_time,
    stalled_clients,
    late_taken,
    processes,
    own_faults,
)
