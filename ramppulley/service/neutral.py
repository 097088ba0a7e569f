"""Protocol-independent types passed between fronts, the core and engine connectors: requests, attempts, final answers.

Times are whole tenths of a millisecond, as in `door`.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from ramppulley import door

CHAT, COMPLETION, EMBEDDINGS, RERANK = "chat", "completion", "embeddings", "rerank"
KINDS = CHAT, COMPLETION, EMBEDDINGS, RERANK
ONE_STAGE = EMBEDDINGS, RERANK  # answered by one worker, as a whole

# Results of a request. These values are written to logs, metrics and event logs.
COMPLETED, REJECTED, FAILED, CLIENT_LEFT = "fulfilled", "turned back", "scrapped", "left"


class KvStep(StrEnum):
    """Steps of a KV state's lifecycle, as far as the router knows."""

    HELD = "held"  # a prefill succeeded
    TAKEN = "taken"  # the first token of the decode arrived
    GONE = "gone"  # reported missing by a decode worker, or fetched already
    RELEASE = "release"  # requested with no attempt open
    # Requested with a decode open, which keeps the state if it has reached its worker.
    RELEASE_BESIDE = "release beside a decode"


@dataclass(eq=False)
class InferenceRequest:
    """A request as a front submits it. The connector forwards `body`, with unknown fields unchanged."""

    name: str  # unique at this router; goes to the engines as X-Request-Id
    kind: str
    model: str
    request_class: str | int  # key in the core's table of classes: a name, or on the platform a number
    body: Any  # in the form that the front's connector forwards
    deadline: int  # time from acceptance until the client gives up
    prompt: int  # tokens, estimated
    prompt_bytes: int = 0  # bytes that the estimate is based on; 0 = tokens were counted, not estimated
    max_out: int = 1  # tokens
    stream: bool = False
    with_usage: bool = False  # the client asked for the usage event
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    prefix_tokens: int = 0
    idempotency_key: str = ""  # forwarded to the engines
    likely_out: int | None = None  # expected output tokens, if known
    value_share: float = 1.0  # as `benefit_share` in door.RequestView
    whole: bool = False  # as in door.RequestView


@dataclass(frozen=True)
class FinalAnswer:
    """The final answer of a request; each request has exactly one."""

    result: str  # COMPLETED, REJECTED, FAILED or CLIENT_LEFT
    retryable: bool  # the client may safely retry
    reason: str = ""
    retry_after: int = 0  # time after which the client may retry; 0 = not given
    status: int = 200  # of the engine's response, if that is the answer
    streamed: bool = False  # tokens were sent to the client before
    body: bytes = b""  # of an answer that is not streamed


@dataclass(frozen=True)
class Usage:
    """Token counts reported by the engine."""

    prompt: int = 0
    cached: int = 0
    written: int = 0


@dataclass(frozen=True)
class AttemptResult:
    """The result of an attempt: the outcome derived by `engines.proof`, and the engine's reports."""

    outcome: str  # one of the outcomes in `door`
    reason: str = ""
    report: door.LoadReport | None = None
    usage: Usage | None = None
    state: Any = None  # after a prefill: identifies the KV state to a decode worker
    status: int = 200  # of a response that is passed on to the client unchanged
    body: bytes = b""  # of that response, if it is not streamed


@dataclass(eq=False)
class EngineAttempt:
    """One attempt of a request at a worker, as the core and an engine connector see it."""

    tracked: Any
    endpoint: door.Endpoint
    policy_attempt: Any  # the decision module's PolicyAttempt
    number: int
    is_prefill: bool
    timeout: int
    started: int
    state: Any = None  # KV state that this attempt uses
    first_byte_deadline: int | None = None  # latest time to write its first byte
    first_token_at: int | None = None
    cancelled: bool = False
    ended: bool = False
    task: Any = None  # set by the connector
    result: tuple[int, AttemptResult] | None = None  # (time, result)
    stage: str = ""  # its progress, set by the connector
    connections: Any = None  # the connections to its worker, set by the connector
    listed_state: Any = None  # the worker's entry in the list when it was chosen, set by the connector
    remaining: int = 0  # rest of `timeout` just before its first byte was written
    event_count: int = 0  # events that its stream has brought


class KvEvent(NamedTuple):
    """A step in the lifecycle of a request's KV state."""

    at: int
    what: KvStep
    worker: str = ""  # that holds the state


@dataclass(eq=False)
class TrackedRequest:
    """The state of a request from acceptance until it has its final answer and the results of all its attempts."""

    request: InferenceRequest
    view: door.RequestView
    sink: Any
    accepted_at: int
    attempts: list[EngineAttempt] = field(default_factory=list)
    state: Any = None  # identifies the KV state held at `state_endpoint`
    state_endpoint: door.Endpoint | None = None
    held_since: int = 0  # time of the last response of a worker to an attempt
    release_asked: bool = False  # the release of `state` was requested while a decode was open
    kv_events: list[KvEvent] = field(default_factory=list)
    reserved_endpoint: door.Endpoint | None = None
    reserved_at: int | None = None  # when the engine confirmed the reservation
    first_token_at: int | None = None
    ended_at: int | None = None
    final_answer: FinalAnswer | None = None
    usage: Usage | None = None

    @property
    def open_attempts(self) -> list[EngineAttempt]:
        """Attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if not attempt.ended]


class ResponseSink(Protocol):
    """Receives the response of one request; implemented by the fronts."""

    async def piece(self, data: bytes) -> None:
        """Sends the data of one event; returns when the client's socket took it. Raises OSError if the client left."""

    def gone(self) -> bool:
        """Whether the client is gone; called just before the first byte of each attempt."""

    def final(self, final_answer: FinalAnswer) -> None:
        """Ends the response; called exactly once, as the last call."""


class Connector(Protocol):
    """Carries out attempts at the engines. Reports through Core.first_token, Core.attempt_ended,
    Core.reservation_answered and Core.probed, but never from within one of the calls below."""

    def start(self, core: Any, attempt: EngineAttempt) -> None: ...
    def cancel(self, attempt: EngineAttempt) -> None: ...
    def reserve(self, core: Any, tracked: TrackedRequest, endpoint: door.Endpoint) -> None: ...
    def release(self, tracked: TrackedRequest, endpoint: door.Endpoint | None, state: Any) -> None: ...
    def probe(self, core: Any, endpoint: door.Endpoint) -> None: ...
