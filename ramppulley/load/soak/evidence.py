"""Observations of one run: a record per request, attempt, KV state and router process. Times are monotonic seconds."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientRequest:
    """One request as observed by its client."""

    request_id: str
    router: int
    request_class: str
    deadline_s: float
    client_fault: str = ""  # kind of the client fault; empty for a regular client
    sent_at: float = 0.0  # last byte of the request
    client_closed_at: float | None = None  # the client closed before the end of the response
    response_started_at: float | None = None  # first byte of the response
    ended_at: float | None = None
    status: int = 0
    complete: bool = False
    body: bytes = b""
    error: str = ""
    new_connection: bool = True
    event_times: list[float] = field(default_factory=list)


@dataclass(slots=True)
class WorkerAttempt:
    """One POST as observed by a worker, behind the fault proxy."""

    request_id: str
    router: int
    worker: str
    is_decode: bool
    first_byte_at: float
    deadline_ms: int
    arrived_at: float | None = None  # last byte of the request, once the worker is running
    generation_started_at: float | None = None  # from here on the decode has had its effect
    ended_at: float | None = None
    outcome: str = ""  # "complete", "declined", "no state", "truncated", "corrupt" or "disconnected"
    fault_free: bool = True  # no fault affected its response
    event_times: list[float] = field(default_factory=list)
    spoilt_at: float | None = None  # its stream was spoilt, and goes on
    cut_at: float | None = None  # the router closed the connection while the worker was writing an event slowly


@dataclass(slots=True)
class KvStateRecord:
    """KV state at a prefill worker. Its hold time is counted while no decode that arrived is waiting for it."""

    request_id: str
    router: int
    clock_started_at: float  # when counting last started
    waiting_decodes: int = 0  # decodes that arrived and are not answered yet
    prefill_response_pending: bool = False  # the prefill attempt itself is still open
    longest_held_s: float = 0.0
    freed: bool = False
    exempt: bool = False


@dataclass(slots=True)
class StalledClient:
    """A client that stopped sending in the middle of a request and keeps its connection open."""

    router: int
    stopped_at: float
    answered_at: float | None = None


@dataclass(slots=True)
class ProcessRun:
    """One run of a router's process, from start to exit."""

    router: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    sigkill_at: float | None = None
    suspended: list[tuple[float, float]] = field(default_factory=list)  # spans from SIGSTOP to SIGCONT
    ended_at: float | None = None
    exit_status: int | None = None


@dataclass(slots=True)
class BystanderWait:
    """How long a regular client waited for an answer that needs no worker."""

    router: int
    asked_at: float
    answered_at: float


@dataclass(slots=True)
class Evidence:
    """All observations of one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: list[WorkerAttempt] = field(default_factory=list)
    kv_states: list[KvStateRecord] = field(default_factory=list)
    stalled: list[StalledClient] = field(default_factory=list)
    process_runs: list[ProcessRun] = field(default_factory=list)
    bystander_waits: list[BystanderWait] = field(default_factory=list)
    #: Router: spans in which the harness slows its event loop down.
    slow_turn_spans: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    #: (router, worker): times and health states that the router was sent.
    notified: dict[tuple[int, str], list[tuple[float, str]]] = field(default_factory=dict)
    #: Worker: times and health states in discovery.
    discovery_changes: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    #: Router: spans without working discovery.
    discovery_outages: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    #: Router: spans with a flood of idle connections.
    flood_spans: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    #: Router: the most anonymous memory that a process of it had, in MB.
    memory_peaks_mb: dict[int, float] = field(default_factory=dict)
    #: Workers that started with an empty cache during the run.
    worker_starts: dict[str, float] = field(default_factory=dict)
    #: Event loop delays of the test harness: time, seconds.
    harness_lags: list[tuple[float, float]] = field(default_factory=list)
    log_fault_lines: list[str] = field(default_factory=list)  # log lines in which a router reports an internal fault
    log_tails: dict[int, str] = field(default_factory=dict)  # router: its last log lines
    repeated_id_responses: list[str] = field(default_factory=list)
    cpu_contended: bool = False  # background CPU load ran beside the routers

    def max_lag_near(self, at: float, within_s: float = 1.0) -> float:
        """The largest event loop delay of the harness around that time, which is not attributed to the router."""
        return max((lag for when, lag in self.harness_lags if abs(when - at) <= within_s), default=0.0)
