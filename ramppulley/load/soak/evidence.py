"""What crossed the sockets of one run: a record for each request, attempt, hold and process. Times: monotonic seconds."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientRequest:
    """One request as its client saw it."""

    name: str
    router: int
    request_class: str
    deadline_s: float
    behaviour: str = ""  # of a client that misbehaves
    sent_at: float = 0.0  # its last byte
    closed_at: float | None = None  # by the client, before the answer's end
    first_at: float | None = None  # first byte of the answer
    ended_at: float | None = None
    status: int = 0
    whole: bool = False
    body: bytes = b""
    error: str = ""
    new_connection: bool = True
    event_times: list[float] = field(default_factory=list)


@dataclass(slots=True)
class WorkerAttempt:
    """One POST as it came to a worker, through the proxy."""

    name: str
    router: int
    worker: str
    decode: bool
    first_byte_at: float
    told_deadline_ms: int
    arrived_at: float | None = None  # its last byte, at a running worker
    begun_at: float | None = None  # the decode runs, its effect has happened
    ended_at: float | None = None
    outcome: str = ""  # whole, declined, cut, left, ...
    clean: bool = True  # no fault touched its answer
    event_times: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Hold:
    """KV state at a prefill worker. The clock runs while no decode that arrived waits for it."""

    name: str
    router: int
    since: float  # when the clock began to run last
    waiting: int = 0  # decodes that arrived and were not answered
    answering: bool = False  # its prefill's own answer is not out yet, and the prefill is out itself
    longest_s: float = 0.0
    over: bool = False
    excused: bool = False


@dataclass(slots=True)
class StalledClient:
    """A client that stopped inside a request and stays."""

    router: int
    stopped_at: float
    answered_at: float | None = None


@dataclass(slots=True)
class ProcessLife:
    """One process of a router."""

    router: int
    started_at: float
    ready_at: float | None = None
    term_at: float | None = None
    kill_at: float | None = None
    stopped: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP to SIGCONT
    ended_at: float | None = None
    status: int | None = None


@dataclass(slots=True)
class Evidence:
    """All of one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[WorkerAttempt] = field(default_factory=list)
    holds: list[Hold] = field(default_factory=list)
    stalled: list[StalledClient] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    told: dict[tuple[int, str], list[tuple[float, str]]] = field(default_factory=dict)  # (router, worker): when, state
    changed: dict[str, list[tuple[float, str]]] = field(default_factory=dict)  # worker: when discovery had it, state
    unreachable: dict[int, list[tuple[float, float]]] = field(default_factory=dict)  # router: spans without discovery
    flooded: dict[int, list[tuple[float, float]]] = field(
        default_factory=dict
    )  # router: spans with a flood of idle clients
    born: dict[str, float] = field(default_factory=dict)  # workers that started cold during the run
    lags: list[tuple[float, float]] = field(default_factory=list)  # of the rig's own process: when, seconds late
    log_faults: list[str] = field(default_factory=list)  # lines by which a router reports a fault of its own
    log_ends: dict[int, str] = field(default_factory=dict)  # by router: its last lines
    bad_bodies: list[str] = field(default_factory=list)
    crowded: bool = False  # a crowd of busy processes beside the routers

    def lag_near(self, at: float, within_s: float = 1.0) -> float:
        """How late the rig's own loop ran at most about that moment: no router is blamed for it."""
        return max((lag for when, lag in self.lags if abs(when - at) <= within_s), default=0.0)
