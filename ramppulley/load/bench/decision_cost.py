"""CPU time of the decision module per request for a given fleet size, on a virtual clock and without sockets."""

import gc
import time
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.rules import Router

REQUESTS = 3000
WARM_UP_DIVISOR = 10  # the first tenth of the requests is excluded from the figures
ARRIVAL_INTERVAL = 50  # time between two requests; all times are in tenths of a millisecond
ATTEMPT_DURATION = 400
SESSIONS = 400
PREFIXES = 40
PREFIX_TOKENS = 400
MAX_PROMPT_TOKENS = 3000
RESPONSE_TOKENS = 200
DEADLINE = 80_000
ENDPOINT_CAPACITY_TOKENS = 200_000
ENDPOINT_ID_BITS = 32
NANOSECONDS_PER_MICROSECOND = 1000

REQUEST_CLASS = door.RequestClass(20_000, 400, DEADLINE, 600)
POLICY_SETTINGS = door.PolicySettings(20_000, 0.3, 80_000, 4.0, 30_000, 3000, 10)
LOAD_REPORT = door.LoadReport(held=5.0, memory_share=0.3)


@dataclass(frozen=True)
class DecisionCost:
    """Mean and 99th percentile of the CPU time per request, in microseconds."""

    workers: int
    us_a_question: float
    p99_us: float


class StartedAttempt(NamedTuple):
    """An attempt that the module started."""

    request: Any
    endpoint: Any
    attempt: Any


class RecordingHost:
    """A host that only keeps the started attempts, so that they can be completed later, and ignores all other calls."""

    def __init__(self) -> None:
        self.attempts: list[StartedAttempt] = []

    def send(self, request: Any, endpoint: Any, timeout: Any, attempt: Any) -> None:
        """Keeps the started attempt."""
        self.attempts.append(StartedAttempt(request, endpoint, attempt))

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class DecisionRun:
    """A decision module that gets requests at a constant rate; every attempt succeeds after a fixed time."""

    def __init__(self, workers: int, seed: int) -> None:
        self.host = RecordingHost()
        self.rng = Random(seed)
        self.now = 0
        self.open_attempts: list[tuple[int, StartedAttempt]] = []  # (completion time, attempt)
        self.router: Any = Router(
            self.host,
            seed=seed,
            routers=8,
            zone=0,
            use_cases=[REQUEST_CLASS],
            accounts=[],
            permits=door.Capabilities(),
            lawbook=POLICY_SETTINGS,
        )
        self.router.listed(0, [self._endpoint(number) for number in range(workers)])

    def _endpoint(self, number: int) -> door.Endpoint:
        role = "read" if number % 2 else "write"
        endpoint_id = self.rng.getrandbits(ENDPOINT_ID_BITS)
        return door.Endpoint(endpoint_id, role, number // 8, number % 2, ENDPOINT_CAPACITY_TOKENS)

    def _request(self) -> door.RequestView:
        return door.RequestView(
            REQUEST_CLASS,
            self.rng.randint(100, MAX_PROMPT_TOKENS),
            RESPONSE_TOKENS,
            DEADLINE,
            f"s{self.rng.randrange(SESSIONS)}",
            f"p{self.rng.randrange(PREFIXES)}",
            PREFIX_TOKENS,
        )

    def next_request_ns(self) -> int:
        """Submits one request and completes the attempts that are due; returns the CPU time in nanoseconds."""
        self.now += ARRIVAL_INTERVAL
        request = self._request()
        started = time.process_time_ns()
        self.router.arrived(self.now, request)
        self._schedule_attempts()
        while self.open_attempts and self.open_attempts[0][0] <= self.now:
            self._complete(self.open_attempts.pop(0)[1])
            self._schedule_attempts()
        return time.process_time_ns() - started

    def _schedule_attempts(self) -> None:
        while self.host.attempts:
            self.open_attempts.append((self.now + ATTEMPT_DURATION, self.host.attempts.pop()))

    def _complete(self, started: StartedAttempt) -> None:
        request, _, attempt = started
        if attempt.is_prefill:
            self.router.outcome(self.now, request, attempt, door.READ, False, 0, LOAD_REPORT)
            return
        self.router.first_token(self.now, request, attempt)
        self.router.outcome(self.now, request, attempt, door.DONE, True, 0, LOAD_REPORT)


def measure_decision_cost(workers: int, requests: int = REQUESTS, seed: int = 1) -> DecisionCost:
    """Measures the arrival, prefill, first token and completion of requests with this many workers."""
    run = DecisionRun(workers, seed)
    gc.collect()
    times = [run.next_request_ns() for _ in range(requests)]
    times = sorted(times[requests // WARM_UP_DIVISOR :])
    return DecisionCost(
        workers=workers,
        us_a_question=round(sum(times) / len(times) / NANOSECONDS_PER_MICROSECOND, 1),
        p99_us=round(times[int(len(times) * 0.99)] / NANOSECONDS_PER_MICROSECOND, 1),
    )
