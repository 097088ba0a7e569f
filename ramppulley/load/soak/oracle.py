"""The test oracle: checks each invariant, with its own limit and slack, on what the harness observed. Performs no I/O.

Only `own_faults` uses the router's log, namely the internal faults that the router reports itself. The rules and terms
that the docstrings number are the requirements on a router.
"""

from collections.abc import Callable, Iterator
from math import sqrt
from typing import NamedTuple

from ramppulley.load.soak.clients import expected_body
from ramppulley.load.soak.evidence import ClientRequest, Evidence, ProcessRun, WorkerAttempt

HARNESS_SLACK_S = 0.08  # for the event loop of the harness, the kernel and a busy machine
RESPONSE_SLACK_S, CLIENT_GONE_LIMIT_S, DEADLINE_SLACK_S = 0.5, 0.1, 0.15
KV_STATE_SLACK_S, STALLED_CLIENT_LIMIT_S = 0.3, 3.0
SPOILT_STREAM_LIMIT_S, MEMORY_LIMIT_MB = 5.05, 32.0
LOOP_HELD_LIMIT_S = 0.15
DISCOVERY_NOTICE_LIMIT_S, READY_LIMIT_S, SIGTERM_ACCEPT_S, EVENT_DELAY_LIMIT_S = 6.0, 10.0, 0.7, 0.3
#: Between a client's close and a worker's first byte. Both are recorded by one event loop, whose delay is added separately.
OBSERVATION_SLACK_S = 0.02
CPU_CONTENTION_SLACK_S = 0.15  # under CPU contention, between a router's last check of the client and its write
MAX_DELAYED_STREAM_SHARE = 0.1


class OracleLimits(NamedTuple):
    """Limits that follow from the settings of the routers."""

    release_s: float
    drain_grace_s: float
    slow_start_s: float
    slow_start_window_s: float
    slow_start_requests: float  # expected requests to a worker in the first window of its slow start
    repeat_window_s: float  # time for which workers drop repeated requests of the guarded class


class Breach(NamedTuple):
    """One violation of an invariant. `detail` begins with the request id, worker or router."""

    invariant: str
    detail: str


def check_invariants(evidence: Evidence, limits: OracleLimits) -> list[Breach]:
    """Returns all violations in a run."""
    index = EvidenceIndex(evidence, limits)
    return [Breach(check.__name__, detail) for check in INVARIANTS for detail in check(index)]


class EvidenceIndex:
    """The observations of a run, indexed by request id."""

    def __init__(self, evidence: Evidence, limits: OracleLimits) -> None:
        self.evidence, self.limits = evidence, limits
        self.attempts: dict[str, list[WorkerAttempt]] = {}
        for attempt in evidence.attempts:
            self.attempts.setdefault(attempt.request_id, []).append(attempt)
        self.requests = {request.request_id: request for request in evidence.requests}

    def process_run_at(self, router: int, at: float) -> ProcessRun | None:
        """The process run of a router at a given time."""
        runs = [run for run in self.evidence.process_runs if run.router == router and run.started_at <= at]
        return runs[-1] if runs else None

    def killed_during(self, request: ClientRequest) -> bool:
        """Whether the router process received SIGKILL before the request ended."""
        run = self.process_run_at(request.router, request.sent_at)
        end = request.ended_at or request.sent_at
        return run is not None and run.sigkill_at is not None and run.sigkill_at <= end + 0.05

    def slack(self, at: float) -> float:
        """The delay that the harness itself may have added around that time."""
        return HARNESS_SLACK_S + self.evidence.max_lag_near(at)


def answerable_requests(index: EvidenceIndex) -> Iterator[ClientRequest]:
    """Requests that must be answered: their clients wait for the response and follow the protocol."""
    for request in index.evidence.requests:
        exempt = request.client_fault in ("client_pipeline", "client_never_read", "client_repeat_id")
        if request.client_closed_at is None and not exempt and not _lost_to_permitted_kill(index, request):
            yield request


def _lost_to_permitted_kill(index: EvidenceIndex, request: ClientRequest) -> bool:
    """Whether a SIGKILL excuses a missing response.

    It does without a preceding SIGTERM. A request that was sent up to 0.7 s after SIGTERM is excused if its response had
    started or its deadline was after the kill. A later request is not excused: the router must not accept it.
    """
    run = index.process_run_at(request.router, request.sent_at)
    if not index.killed_during(request) or run is None or run.sigkill_at is None:
        return False
    if run.sigterm_at is None:
        return True  # killed without SIGTERM
    if request.sent_at > run.sigterm_at + SIGTERM_ACCEPT_S:
        return False
    return request.response_started_at is not None or request.sent_at + request.deadline_s > run.sigkill_at


def final_answer(index: EvidenceIndex) -> Iterator[str]:
    """Rule 1, terms 3 and 5: a final response or the start of the stream no later than 0.5 s after the deadline."""
    for request in answerable_requests(index):
        answered_at = request.response_started_at if request.status else None
        if answered_at is None and _closed_during_flood(index, request):
            continue
        if answered_at is None:
            yield f"{request.request_id} at n{request.router}: no response, {request.error or 'the connection ended'}"
            continue
        limit = request.deadline_s + RESPONSE_SLACK_S + index.slack(answered_at)
        if answered_at - request.sent_at > limit:
            yield f"{request.request_id} at n{request.router}: answered after {answered_at - request.sent_at:.2f} s"


def _closed_during_flood(index: EvidenceIndex, request: ClientRequest) -> bool:
    """While idle connections use up all descriptors, a new connection may be closed before its request is read."""
    spans = index.evidence.flood_spans.get(request.router, [])
    during_flood = any(begin <= request.sent_at <= end for begin, end in spans)
    return (
        during_flood
        and request.new_connection
        and request.request_id not in index.attempts
        and request.error != "response not finished within 12 s"
    )


def whole_stream(index: EvidenceIndex) -> Iterator[str]:
    """A stream that the worker completed arrives complete and unchanged; none is truncated without a worker failure."""
    for request in answerable_requests(index):
        if request.status != 200:
            continue
        ran = [
            attempt
            for attempt in index.attempts.get(request.request_id, [])
            if attempt.is_decode and attempt.generation_started_at
        ]
        if request.complete and request.body != expected_body(request.request_id):
            yield f"{request.request_id} at n{request.router}: response not from its worker: {request.body[:60]!r}"
        elif (
            not request.complete
            and ran
            and all(attempt.fault_free and attempt.outcome == "complete" for attempt in ran)
        ):
            yield f"{request.request_id} at n{request.router}: truncated a completed stream ({request.error})"
        elif not request.complete and request.error == "response not finished within 12 s":
            yield f"{request.request_id} at n{request.router}: stream neither completed nor closed"


def slow_streams(index: EvidenceIndex) -> Iterator[str]:
    """A stream whose worker writes an event slowly is not cut: its events are still coming."""
    for request in answerable_requests(index):
        for attempt in index.attempts.get(request.request_id, []):
            if attempt.cut_at is not None and attempt.fault_free and request.status == 200 and not request.complete:
                yield f"{request.request_id} at n{request.router}: cut while {attempt.worker} was writing an event"


def served_once(index: EvidenceIndex) -> Iterator[str]:
    """A repeated request id is not served again, and neither is a request with another one pipelined behind it."""
    yield from index.evidence.repeated_id_responses
    for request in index.evidence.requests:
        if request.client_fault == "client_pipeline" and request.status == 200 and request.complete:
            yield f"{request.request_id} at n{request.router}: served the first of two pipelined requests completely"


def no_effect_twice(index: EvidenceIndex) -> Iterator[str]:
    """Rule 2: a request that must not be repeated is executed at most once."""
    for request_id, attempts in index.attempts.items():
        request = index.requests.get(request_id)
        executed = [attempt for attempt in attempts if attempt.is_decode and attempt.generation_started_at]
        if request is not None and request.request_class == "lodge" and len(executed) > 1:
            yield f"{request_id} at n{request.router}: ran {len(executed)} times, at {', '.join(a.worker for a in executed)}"


def repeat_in_window(index: EvidenceIndex) -> Iterator[str]:
    """Rule 2 and term 15: retries of a deduplicated request arrive while the workers still recognize the repeat."""
    for request_id, attempts in index.attempts.items():
        request = index.requests.get(request_id)
        executed = [
            attempt
            for attempt in attempts
            if attempt.is_decode and attempt.generation_started_at and attempt.arrived_at
        ]
        if request is None or request.request_class != "book" or len(executed) < 2:
            continue
        times = sorted(attempt.arrived_at or 0.0 for attempt in executed)
        if times[-1] - times[0] > index.limits.repeat_window_s + index.slack(times[-1]):
            yield f"{request_id} at n{request.router}: ran again {times[-1] - times[0]:.2f} s after its first attempt"


def one_attempt_at_a_time(index: EvidenceIndex) -> Iterator[str]:
    """Rule 2: no attempt starts while another of the same request is open on a connection that the router keeps open."""
    for request_id, attempts in index.attempts.items():
        ordered = sorted(attempts, key=lambda attempt: attempt.first_byte_at)
        for before, after in zip(ordered, ordered[1:]):
            ended = before.ended_at or 0.0
            if (
                before.outcome == "complete"
                and before.fault_free
                and after.fault_free
                and after.first_byte_at < ended - 0.05
            ):
                yield f"{request_id}: an attempt at {after.worker} while one was open at {before.worker}"


def client_gone(index: EvidenceIndex) -> Iterator[str]:
    """Term 2: no attempt starts more than 0.1 s after the client closed its connection."""
    for request_id, attempts in index.attempts.items():
        request = index.requests.get(request_id)
        if request is None or request.client_closed_at is None:
            continue
        for attempt in attempts:
            delay_s = attempt.first_byte_at - request.client_closed_at
            slack = (
                OBSERVATION_SLACK_S
                + index.evidence.max_lag_near(attempt.first_byte_at)
                + index.evidence.cpu_contended * CPU_CONTENTION_SLACK_S
            )
            if delay_s > CLIENT_GONE_LIMIT_S + slack + _suspended_before_write_s(index, attempt):
                yield f"{request_id} at n{request.router}: an attempt at {attempt.worker} {delay_s:.2f} s after the close"


def _suspended_before_write_s(index: EvidenceIndex, attempt: WorkerAttempt) -> float:
    """How long the router may have been suspended between its last check of the client and this write. A suspension before
    the end of the previous attempt does not count, as the router checks the client after that."""
    earlier = [
        a.ended_at or 0.0 for a in index.attempts.get(attempt.request_id, []) if a.first_byte_at < attempt.first_byte_at
    ]
    previous_ended_at = max(earlier, default=0.0)
    spans = [span for run in index.evidence.process_runs if run.router == attempt.router for span in run.suspended]
    at = attempt.first_byte_at
    return sum(end - begin for begin, end in spans if begin >= previous_ended_at and end - 0.02 <= at <= end + 0.3)


def deadline_told(index: EvidenceIndex) -> Iterator[str]:
    """Term 4: the deadline sent to a worker does not exceed the client's remaining time."""
    for request_id, attempts in index.attempts.items():
        request = index.requests.get(request_id)
        for attempt in attempts if request is not None else ():
            assert request is not None
            remaining_s = request.deadline_s - (attempt.first_byte_at - request.sent_at)
            excess_s = attempt.deadline_ms / 1000 - remaining_s
            if excess_s > DEADLINE_SLACK_S + index.slack(attempt.first_byte_at):
                yield f"{request_id} at n{request.router}: deadline at {attempt.worker} is {excess_s:.2f} s too late"


def drained(index: EvidenceIndex) -> Iterator[str]:
    """Rule 3, terms 7 and 15: no new attempt at a draining or removed worker after the drain grace, which includes 0.15 s
    for a suspended router."""
    for attempt in index.evidence.attempts:
        due = _notified_of_drain_at(index, attempt)
        if due is None:
            continue
        delay_s = attempt.first_byte_at - due
        if delay_s > index.limits.drain_grace_s + index.slack(attempt.first_byte_at):
            yield (
                f"{attempt.request_id} at n{attempt.router}: sent to {attempt.worker} "
                f"{delay_s:.2f} s after the notice of its drain"
            )


def _notified_of_drain_at(index: EvidenceIndex, attempt: WorkerAttempt) -> float | None:
    """When the router was notified, or should have been, that the worker drains or is gone; None if it was ready.

    Notification is due 6 s after the change, or after the end of a discovery outage that overlaps this time."""
    evidence, at = index.evidence, attempt.first_byte_at
    changes = [(when, state) for when, state in evidence.discovery_changes.get(attempt.worker, []) if when <= at]
    if not changes or changes[-1][1] == "Ready":
        return None
    since = changes[-1][0]
    for when, state in reversed(changes):
        if state == "Ready":
            break
        since = when
    notified_at = [
        when
        for when, state in evidence.notified.get((attempt.router, attempt.worker), [])
        if since <= when and state != "Ready"
    ]
    reachable = since
    for begin, end in evidence.discovery_outages.get(attempt.router, []):
        if begin <= reachable + DISCOVERY_NOTICE_LIMIT_S and end >= reachable:
            reachable = end
    return min([*notified_at, reachable + DISCOVERY_NOTICE_LIMIT_S])


def held_state(index: EvidenceIndex) -> Iterator[str]:
    """Rule 5, term 6: KV state is consumed or released in time; only a decode that arrived stops counting the hold time."""
    for kv_state in index.evidence.kv_states:
        limit = index.limits.release_s + KV_STATE_SLACK_S + index.slack(kv_state.clock_started_at)
        if not kv_state.exempt and kv_state.longest_held_s > limit:
            yield f"{kv_state.request_id} at n{kv_state.router}: KV state held for {kv_state.longest_held_s:.2f} s"


def slow_start(index: EvidenceIndex) -> Iterator[str]:
    """Rule 4, term 1: the number of requests to a worker in one window of its slow start is limited, over all routers.

    Applies if more than two thirds of the requests came from routers that had been notified of the start."""
    limits = index.limits
    expected_requests = limits.slow_start_requests
    bound = expected_requests + (
        3 * sqrt(expected_requests) + 3 if expected_requests < 30 else 2 * sqrt(expected_requests) + 2
    )
    for worker, started_at in index.evidence.worker_starts.items():
        worker_attempts = [a for a in index.evidence.attempts if a.worker == worker and a.first_byte_at >= started_at]
        for first in sorted(attempt.first_byte_at for attempt in worker_attempts):
            window = [a for a in worker_attempts if first <= a.first_byte_at < first + limits.slow_start_window_s]
            notified = sum(_notified_of_start(index, attempt, started_at) for attempt in window)
            if (
                first <= started_at + limits.slow_start_window_s
                and len(window) > bound
                and 3 * notified > 2 * len(window)
            ):
                yield (
                    f"{worker}: {len(window)} requests in {limits.slow_start_window_s} s of its slow start, "
                    f"{bound:.1f} allowed"
                )
                break


def _notified_of_start(index: EvidenceIndex, attempt: WorkerAttempt, started_at: float) -> bool:
    """Whether the router had been notified, or should have been, that the worker had started."""
    notified_at = [
        when
        for when, _ in index.evidence.notified.get((attempt.router, attempt.worker), [])
        if when >= started_at - 0.01
    ]
    return min([*notified_at, started_at + DISCOVERY_NOTICE_LIMIT_S]) <= attempt.first_byte_at


def events_in_time(index: EvidenceIndex) -> Iterator[str]:
    """Term 13: events reach the client within 0.3 s after the worker wrote them, in at least nine of ten streams.

    One late stream is always allowed.
    """
    late, streams = [], 0
    for request in answerable_requests(index):
        ran = [a for a in index.attempts.get(request.request_id, []) if a.is_decode and a.event_times and a.fault_free]
        if len(ran) != 1 or not request.complete or request.client_fault or request.status != 200:
            continue
        streams += 1
        delays_s = [received - sent for sent, received in zip(ran[0].event_times, request.event_times)]
        max_delay_s = max(delays_s, default=0.0)
        if max_delay_s > EVENT_DELAY_LIMIT_S + index.slack(ran[0].event_times[-1]):
            late.append(f"{request.request_id} {max_delay_s:.2f} s")
    if len(late) > max(1.0, MAX_DELAYED_STREAM_SHARE * streams):
        yield f"{len(late)} of {streams} streams had a delayed event: {', '.join(late[:5])}"


def stalled_clients(index: EvidenceIndex) -> Iterator[str]:
    """Term 16: a client that stops in the middle of a request gets an error or a close within 3 s."""
    for client in index.evidence.stalled:
        run = index.process_run_at(client.router, client.stopped_at)
        killed = (
            run is not None
            and run.sigkill_at is not None
            and run.sigkill_at < client.stopped_at + STALLED_CLIENT_LIMIT_S
        )
        took = (client.answered_at or 1e9) - client.stopped_at
        if not killed and took > STALLED_CLIENT_LIMIT_S + index.slack(client.stopped_at + STALLED_CLIENT_LIMIT_S):
            yield (
                f"n{client.router}: {'no response' if took > 1e6 else f'{took:.2f} s'} "
                "for a client that stalled in the middle of a request"
            )


def spoilt_streams(index: EvidenceIndex) -> Iterator[str]:
    """A client's connection ends within 5 s of its stream's being spoilt, and without the last chunk."""
    for request in answerable_requests(index):
        decodes = [attempt for attempt in index.attempts.get(request.request_id, []) if attempt.is_decode]
        spoilt_at = decodes[-1].spoilt_at if decodes else None
        if spoilt_at is None or request.status != 200 or request.ended_at is None:
            continue  # before its first event was passed on, a spoilt stream is a failed attempt
        took = request.ended_at - spoilt_at
        if request.complete:
            yield f"{request.request_id} at n{request.router}: a spoilt stream was ended like a whole one"
        elif took > SPOILT_STREAM_LIMIT_S + index.slack(request.ended_at):
            yield f"{request.request_id} at n{request.router}: ended {took:.2f} s after its stream was spoilt"


def memory(index: EvidenceIndex) -> Iterator[str]:
    """A router process stays within the memory limit of its settings."""
    for router, peak_mb in index.evidence.memory_peaks_mb.items():
        if peak_mb > MEMORY_LIMIT_MB:
            yield f"n{router}: {peak_mb:.1f} MB"


def loop_held(index: EvidenceIndex) -> Iterator[str]:
    """A regular client on an open connection is not kept waiting by what other peers send.

    Does not apply to a router that competes for its CPU, is suspended or is slowed down by the harness.
    """
    evidence = index.evidence
    if evidence.cpu_contended:
        return
    for wait in evidence.bystander_waits:
        took = wait.answered_at - wait.asked_at
        spans = list(evidence.slow_turn_spans.get(wait.router, ()))
        spans += [span for run in evidence.process_runs if run.router == wait.router for span in run.suspended]
        held_by_harness = any(begin <= wait.answered_at and wait.asked_at <= end for begin, end in spans)
        if took > LOOP_HELD_LIMIT_S + index.slack(wait.answered_at) and not held_by_harness:
            yield f"n{wait.router}: a regular client waited {took:.2f} s for an answer that needs no worker"


def late_taken(index: EvidenceIndex) -> Iterator[str]:
    """Term 18: a request that arrives more than 0.7 s after SIGTERM is not accepted, as SIGKILL could interrupt it."""
    for request in index.evidence.requests:
        run = index.process_run_at(request.router, request.sent_at)
        if run is None or run.sigterm_at is None or request.client_closed_at is not None:
            continue
        late = request.sent_at - run.sigterm_at > SIGTERM_ACCEPT_S + index.slack(request.sent_at)
        began = any(a.first_byte_at > request.sent_at for a in index.attempts.get(request.request_id, []))
        if late and began and request.client_fault != "client_pipeline":
            yield (
                f"{request.request_id} at n{request.router}: accepted "
                f"{request.sent_at - run.sigterm_at:.2f} s after SIGTERM"
            )


def processes(index: EvidenceIndex) -> Iterator[str]:
    """Router processes start, become ready in time, do not crash, and exit with status 0."""
    for run in index.evidence.process_runs:
        if run.ready_at is None and run.sigkill_at is None and run.sigterm_at is None:
            yield f"n{run.router}: not ready"
        elif run.ready_at is not None and run.ready_at - run.started_at > READY_LIMIT_S:
            yield f"n{run.router}: ready after {run.ready_at - run.started_at:.1f} s"
        if run.sigkill_at is None and run.exit_status not in (0, None):
            yield f"n{run.router}: exited with status {run.exit_status}"
        if run.sigterm_at is None and run.sigkill_at is None and run.ended_at is not None:
            yield f"n{run.router}: exited without a signal"


def own_faults(index: EvidenceIndex) -> Iterator[str]:
    """A router reports an internal fault or a violated rule in its log."""
    yield from index.evidence.log_fault_lines


INVARIANTS: tuple[Callable[[EvidenceIndex], Iterator[str]], ...] = (
    final_answer,
    whole_stream,
    slow_streams,
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
    spoilt_streams,
    memory,
    loop_held,
    late_taken,
    processes,
    own_faults,
)
