"""Runs schedules in parallel, checks the invariants, collects coverage, and shrinks a failing schedule."""

import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from itertools import combinations
from multiprocessing import get_context
from pathlib import Path

import msgspec
import uvloop

from ramppulley.load.soak import shim
from ramppulley.load.soak.evidence import ClientRequest, Evidence, ProcessRun, WorkerAttempt
from ramppulley.load.soak.oracle import Breach, check_invariants
from ramppulley.load.soak.schedule import KINDS, Fault, Schedule, draw, pairs_of
from ramppulley.load.soak.settings import ORACLE_LIMITS
from ramppulley.load.soak.world import World

MAX_SHRINK_RUNS = 24


@dataclass
class Verdict:
    """The result of one schedule."""

    schedule: Schedule
    breaches: list[Breach]
    requests: int
    completed: int
    rejected: int
    shim: bool  # whether the library that injects system faults could be built
    worst_lag_s: float  # of the event loop of the harness
    timelines: list[str] = field(default_factory=list)
    #: By (fault kind, phase of a request, phase of its router process).
    phases: Counter[tuple[str, str, str]] = field(default_factory=Counter)

    @property
    def invariants(self) -> set[str]:
        """Names of the violated invariants."""
        return {breach.invariant for breach in self.breaches}


def play(schedule: Schedule) -> Verdict:
    """Runs one schedule in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="rp-soak-") as name:
        folder = Path(name)
        library = shim.build(folder)
        evidence = uvloop.run(World(schedule, folder, library).run())
        breaches = check_invariants(evidence, ORACLE_LIMITS)
    return Verdict(
        schedule,
        breaches,
        len(evidence.requests),
        sum(request.status == 200 and request.complete for request in evidence.requests),
        sum(request.status == 503 for request in evidence.requests),
        library is not None,
        max((lag for _, lag in evidence.harness_lags), default=0.0),
        [timeline(evidence, breach) for breach in breaches[:6]],
        phases_of(schedule, evidence),
    )


def timeline(evidence: Evidence, breach: Breach) -> str:
    """Describes the request of a breach from the records of client, workers, KV state and router process."""
    subject = breach.detail.split()[0].rstrip(":")
    requests = [request for request in evidence.requests if request.request_id == subject]
    clock = RelativeTimes(min((request.sent_at for request in requests), default=0.0))
    lines = [f"{breach.invariant}: {breach.detail}"]
    lines += [_client_line(request, clock) for request in requests]
    lines += [_attempt_line(attempt, clock) for attempt in evidence.attempts if attempt.request_id == subject]
    lines += [
        f"  KV state held {kv_state.longest_held_s:.3f} s"
        for kv_state in evidence.kv_states
        if kv_state.request_id == subject
    ]
    lines += [
        _process_line(run, clock) for run in evidence.process_runs if requests and run.router == requests[0].router
    ]
    if breach.invariant == "processes":
        lines.append(evidence.log_tails.get(int(subject.removeprefix("n")), ""))
    return "\n".join(lines)


class RelativeTimes:
    """Formats times as seconds relative to the last byte of a request."""

    def __init__(self, begin: float) -> None:
        self.begin = begin

    def __call__(self, at: float | None) -> str:
        return "-" if at is None else f"{at - self.begin:+.3f}"


def _client_line(request: ClientRequest, after: RelativeTimes) -> str:
    end = "complete" if request.complete else request.error or "truncated"
    return (
        f"  client {request.request_class} deadline {request.deadline_s} {request.client_fault or 'regular'} "
        f"sent {after(request.sent_at)} response {after(request.response_started_at)} end {after(request.ended_at)} "
        f"closed {after(request.client_closed_at)} status {request.status} {end} "
        f"{'new connection' if request.new_connection else 'reused connection'}"
    )


def _attempt_line(attempt: WorkerAttempt, after: RelativeTimes) -> str:
    return (
        f"  {attempt.worker} first byte {after(attempt.first_byte_at)} received {after(attempt.arrived_at)} generating "
        f"{after(attempt.generation_started_at)} ended {after(attempt.ended_at)} {attempt.outcome} "
        f"deadline {attempt.deadline_ms} ms"
    )


def _process_line(run: ProcessRun, after: RelativeTimes) -> str:
    return (
        f"  process started {after(run.started_at)} ready {after(run.ready_at)} TERM {after(run.sigterm_at)} "
        f"KILL {after(run.sigkill_at)} ended {after(run.ended_at)} status {run.exit_status}"
    )


def phases_of(schedule: Schedule, evidence: Evidence) -> Counter[tuple[str, str, str]]:
    """Counts the phases of requests and router processes at the start of each fault."""
    if not evidence.requests:
        return Counter()
    begin = min(request.sent_at for request in evidence.requests) - 0.2
    phase_counts: Counter[tuple[str, str, str]] = Counter()
    for fault in schedule.faults:
        at = begin + fault.at_s
        for request in evidence.requests:
            if fault.affects(request.router) and request.sent_at <= at <= (request.ended_at or request.sent_at):
                phase_counts[
                    fault.kind, request_phase(evidence, request, at), process_phase(evidence, request.router, at)
                ] += 1
    return phase_counts


def request_phase(evidence: Evidence, request: ClientRequest, at: float) -> str:
    """The phase of a request at a given time."""
    if request.response_started_at is not None and request.response_started_at <= at:
        return "stream"
    attempts = [a for a in evidence.attempts if a.request_id == request.request_id and a.first_byte_at <= at]
    if not attempts:
        return "queue"
    last = attempts[-1]
    if last.ended_at is not None and last.ended_at <= at:
        return "between attempts"
    return "decode" if last.is_decode else "prefill"


def process_phase(evidence: Evidence, router: int, at: float) -> str:
    """The phase of a router's process at a given time."""
    runs = [run for run in evidence.process_runs if run.router == router and run.started_at <= at]
    if not runs:
        return "starting"
    run = runs[-1]
    if run.sigterm_at is not None and run.sigterm_at <= at:
        return "stopping"
    if run.ready_at is None or run.ready_at > at - 1.0:
        return "started just now"
    return "serving"


def play_all(schedules: Iterable[Schedule], jobs: int, until: float) -> Iterator[Verdict]:
    """Runs schedules in parallel; none starts after `until` (monotonic)."""
    pending = iter(schedules)
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        running = {pool.submit(play, schedule) for _, schedule in zip(range(jobs), pending)}
        while running:
            done = next(as_completed(running))
            running.discard(done)
            yield done.result()
            if time.monotonic() < until and (schedule := next(pending, None)) is not None:
                running.add(pool.submit(play, schedule))


def draw_all(seeds: Iterable[int], only: tuple[str, ...], mutant: str) -> Iterator[Schedule]:
    """Draws a schedule for each seed, preferring pairs of faults that no earlier schedule had."""
    seen_pairs: Counter[tuple[str, str]] = Counter()
    for seed in seeds:
        schedule = draw(seed, only, dict(seen_pairs) if seen_pairs else None)
        seen_pairs.update(pairs_of(schedule))
        yield msgspec.structs.replace(schedule, mutant=mutant)


def shrink(schedule: Schedule, invariant: str, report: Callable[[str], None]) -> Schedule:
    """Reduces the faults while the invariant is still violated, by repeatedly removing ranges of them."""
    runs, size = 0, max(1, len(schedule.faults) // 2)
    while size and runs < MAX_SHRINK_RUNS:
        for first in range(0, len(schedule.faults), size):
            fewer: list[Fault] = schedule.faults[:first] + schedule.faults[first + size :]
            smaller = msgspec.structs.replace(schedule, faults=fewer)
            runs += 1
            if fewer and invariant in play(smaller).invariants:
                report(f"{len(fewer)} faults still violate {invariant}")
                schedule = smaller
                break
            if runs >= MAX_SHRINK_RUNS:
                break
        else:
            size //= 2
    return schedule


def never_played(schedules: Iterable[Schedule]) -> list[tuple[str, str]]:
    """Pairs of fault kinds that overlapped in none of these schedules."""
    seen_pairs: set[tuple[str, str]] = set()
    for schedule in schedules:
        seen_pairs |= pairs_of(schedule)
    return [pair for pair in combinations(sorted(KINDS), 2) if pair not in seen_pairs]
