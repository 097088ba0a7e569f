"""Plays schedules side by side, judges them, keeps coverage, and cuts a failing one down to what still fails."""

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
from ramppulley.load.soak.evidence import ClientRequest, Evidence, ProcessLife, WorkerAttempt
from ramppulley.load.soak.oracle import Breach, judge
from ramppulley.load.soak.schedule import KINDS, Fault, Schedule, draw, pairs_of
from ramppulley.load.soak.settings import RULES
from ramppulley.load.soak.world import World

MAX_SHRINK_RUNS = 24


@dataclass
class Verdict:
    """One schedule, played and judged."""

    schedule: Schedule
    breaches: list[Breach]
    requests: int
    completed: int
    rejected: int
    shim: bool
    worst_lag_s: float
    timelines: list[str] = field(default_factory=list)
    phases: Counter[tuple[str, str, str]] = field(
        default_factory=Counter
    )  # (fault, phase of a request, of its process)

    @property
    def invariants(self) -> set[str]:
        """Names of those that were broken."""
        return {breach.invariant for breach in self.breaches}


def play(schedule: Schedule) -> Verdict:
    """Plays one schedule in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="rp-soak-") as name:
        folder = Path(name)
        library = shim.build(folder)
        evidence = uvloop.run(World(schedule, folder, library).play())
        breaches = judge(evidence, RULES)
    return Verdict(
        schedule,
        breaches,
        len(evidence.requests),
        sum(request.status == 200 and request.whole for request in evidence.requests),
        sum(request.status == 503 for request in evidence.requests),
        library is not None,
        max((lag for _, lag in evidence.lags), default=0.0),
        [timeline(evidence, breach) for breach in breaches[:6]],
        phases_of(schedule, evidence),
    )


def timeline(evidence: Evidence, breach: Breach) -> str:
    """What is known of the request of a breach, over client, workers, KV state and process."""
    name = breach.what.split()[0].rstrip(":")
    requests = [request for request in evidence.requests if request.name == name]
    clock = RelativeTimes(min((request.sent_at for request in requests), default=0.0))
    lines = [f"{breach.invariant}: {breach.what}"]
    lines += [_client_line(request, clock) for request in requests]
    lines += [_attempt_line(attempt, clock) for attempt in evidence.attempts if attempt.name == name]
    lines += [f"  held {hold.longest_s:.3f} s" for hold in evidence.holds if hold.name == name]
    lines += [_process_line(life, clock) for life in evidence.lives if requests and life.router == requests[0].router]
    if breach.invariant == "processes":
        lines.append(evidence.log_ends.get(int(name.removeprefix("n")), ""))
    return "\n".join(lines)


class RelativeTimes:
    """Times as seconds after a request's last byte."""

    def __init__(self, begin: float) -> None:
        self.begin = begin

    def __call__(self, at: float | None) -> str:
        return "-" if at is None else f"{at - self.begin:+.3f}"


def _client_line(request: ClientRequest, after: RelativeTimes) -> str:
    end = "whole" if request.whole else request.error or "cut"
    return (
        f"  client {request.request_class} deadline {request.deadline_s} {request.behaviour or 'usual'} "
        f"sent {after(request.sent_at)} first {after(request.first_at)} end {after(request.ended_at)} "
        f"left {after(request.closed_at)} status {request.status} {end} {'new' if request.new_connection else 'kept'}"
    )


def _attempt_line(attempt: WorkerAttempt, after: RelativeTimes) -> str:
    return (
        f"  {attempt.worker} first byte {after(attempt.first_byte_at)} arrived {after(attempt.arrived_at)} begun "
        f"{after(attempt.begun_at)} ended {after(attempt.ended_at)} {attempt.outcome} told {attempt.told_deadline_ms} ms"
    )


def _process_line(life: ProcessLife, after: RelativeTimes) -> str:
    return (
        f"  process started {after(life.started_at)} ready {after(life.ready_at)} TERM {after(life.term_at)} "
        f"KILL {after(life.kill_at)} ended {after(life.ended_at)} status {life.status}"
    )


def phases_of(schedule: Schedule, evidence: Evidence) -> Counter[tuple[str, str, str]]:
    """What each fault met when it began: phases of requests and of the process."""
    if not evidence.requests:
        return Counter()
    begin = min(request.sent_at for request in evidence.requests) - 0.2
    met: Counter[tuple[str, str, str]] = Counter()
    for fault in schedule.faults:
        at = begin + fault.at_s
        for request in evidence.requests:
            if fault.hits(request.router) and request.sent_at <= at <= (request.ended_at or request.sent_at):
                met[fault.kind, request_phase(evidence, request, at), process_phase(evidence, request.router, at)] += 1
    return met


def request_phase(evidence: Evidence, request: ClientRequest, at: float) -> str:
    """How far a request had come."""
    if request.first_at is not None and request.first_at <= at:
        return "stream"
    attempts = [a for a in evidence.attempts if a.name == request.name and a.first_byte_at <= at]
    if not attempts:
        return "queue"
    last = attempts[-1]
    if last.ended_at is not None and last.ended_at <= at:
        return "between attempts"
    return "decode" if last.decode else "prefill"


def process_phase(evidence: Evidence, router: int, at: float) -> str:
    """What a router's process did."""
    lives = [life for life in evidence.lives if life.router == router and life.started_at <= at]
    if not lives:
        return "starting"
    life = lives[-1]
    if life.term_at is not None and life.term_at <= at:
        return "stopping"
    if life.ready_at is None or life.ready_at > at - 1.0:
        return "started just now"
    return "serving"


def play_all(schedules: Iterable[Schedule], jobs: int, until: float) -> Iterator[Verdict]:
    """Plays schedules side by side; none begins after `until` (monotonic)."""
    waiting = iter(schedules)
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        running = {pool.submit(play, schedule) for _, schedule in zip(range(jobs), waiting)}
        while running:
            done = next(as_completed(running))
            running.discard(done)
            yield done.result()
            if time.monotonic() < until and (schedule := next(waiting, None)) is not None:
                running.add(pool.submit(play, schedule))


def draw_all(seeds: Iterable[int], only: tuple[str, ...], mutant: str) -> Iterator[Schedule]:
    """The schedules of these seeds; pairs of faults that earlier ones had come later in the next."""
    played: Counter[tuple[str, str]] = Counter()
    for seed in seeds:
        schedule = draw(seed, only, dict(played) if played else None)
        played.update(pairs_of(schedule))
        yield msgspec.structs.replace(schedule, mutant=mutant)


def shrink(schedule: Schedule, invariant: str, say: Callable[[str], None]) -> Schedule:
    """The fewest faults with which this invariant is still broken, by leaving out parts of them again and again."""
    runs, size = 0, max(1, len(schedule.faults) // 2)
    while size and runs < MAX_SHRINK_RUNS:
        for first in range(0, len(schedule.faults), size):
            fewer: list[Fault] = schedule.faults[:first] + schedule.faults[first + size :]
            smaller = msgspec.structs.replace(schedule, faults=fewer)
            runs += 1
            if fewer and invariant in play(smaller).invariants:
                say(f"{len(fewer)} faults still break {invariant}")
                schedule = smaller
                break
            if runs >= MAX_SHRINK_RUNS:
                break
        else:
            size //= 2
    return schedule


def never_played(schedules: Iterable[Schedule]) -> list[tuple[str, str]]:
    """Pairs of faults that overlapped in none of these."""
    played: set[tuple[str, str]] = set()
    for schedule in schedules:
        played |= pairs_of(schedule)
    return [pair for pair in combinations(sorted(KINDS), 2) if pair not in played]
