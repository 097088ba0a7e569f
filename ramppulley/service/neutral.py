"""What passes between a front, the core and an engine connector: one neutral question, its pieces, its one ending.

Times are whole tenths of a millisecond, as in `door`.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from ramppulley import door

CHAT, COMPLETION, EMBEDDINGS, RERANK = "chat", "completion", "embeddings", "rerank"
KINDS = CHAT, COMPLETION, EMBEDDINGS, RERANK
ONE_STAGE = EMBEDDINGS, RERANK  # read and answered by one worker, in one piece

# How a request ends. These values stand in logs, metrics and record files.
COMPLETED, REJECTED, FAILED, CLIENT_LEFT = "fulfilled", "turned back", "scrapped", "left"


class KvStep(StrEnum):
    """What became of a KV state, as far as the router knows."""

    HELD = "held"  # a prefill ended well
    TAKEN = "taken"  # the decode's first token came
    GONE = "gone"  # a decode worker said so, or had fetched it
    RELEASE = "release"  # asked for, with no attempt out
    RELEASE_BESIDE = "release beside a decode"  # which keeps it where it did arrive


@dataclass(eq=False)
class InferenceRequest:
    """One request as any front hands it in; `body` is what its connector sends on, with unknown fields untouched."""

    name: str  # unique at this router; goes to the engines as X-Request-Id
    kind: str
    model: str
    request_class: str | int  # as the core's table of classes has it: a name, or on the platform a number
    body: Any  # as the front's own connector sends it on
    deadline: int  # the client leaves after this
    prompt: int  # tokens, estimated
    weighed: int = 0  # bytes that the estimate came from; 0 = counted, nothing to learn
    max_out: int = 1  # tokens
    stream: bool = False
    with_usage: bool = False  # the client itself asked for the usage event
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    prefix_tokens: int = 0
    idempotency_key: str = ""  # passed on to the engines
    likely_out: int | None = None  # tokens, where there is a hint
    value_share: float = 1.0  # as `benefit_share` in door.RequestView
    whole: bool = False  # as in door.RequestView


@dataclass(frozen=True)
class FinalAnswer:
    """The one final answer."""

    result: str  # COMPLETED, REJECTED, FAILED or CLIENT_LEFT
    retryable: bool  # trying again is harmless
    reason: str = ""
    retry_after: int = 0  # time after which it may be tried again; 0 = not named
    status: int = 200  # of the engine's own answer, where that is the answer
    streamed: bool = False  # tokens were passed on before
    body: bytes = b""  # an answer that came in one piece


@dataclass(frozen=True)
class Usage:
    """Tokens as the engine counted them."""

    prompt: int = 0
    cached: int = 0
    written: int = 0


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended: the outcome that `engines.proof` derives, with what the engine reported."""

    outcome: str  # one of door's
    reason: str = ""
    report: door.LoadReport | None = None
    usage: Usage | None = None
    state: Any = None  # after a read: what names the waiting state to a writer
    status: int = 200  # of an answer that the engine gave and the client gets as it is
    body: bytes = b""  # that answer, where it came in one piece


@dataclass(eq=False)
class EngineAttempt:
    """One attempt of a request at a worker, as the core and an engine connector see it."""

    tracked: Any
    endpoint: door.Endpoint
    policy_attempt: Any  # the decision module's PolicyAttempt
    number: int
    is_prefill: bool
    time_out: int
    started: int
    state: Any = None  # KV state that this attempt fetches
    first_byte_deadline: int | None = None  # its first byte may not be written later
    first_token_at: int | None = None
    cancelled: bool = False
    ended: bool = False
    task: Any = None  # the connector's
    result: tuple[int, AttemptResult] | None = None  # (time, result)
    stage: str = ""  # how far it came, by the connector
    connections: Any = None  # its worker's, by the connector
    listed_state: Any = None  # what the list said of the worker when it was chosen, by the connector
    remaining: int = 0  # of `time_out`, when its first byte was about to be written


class KvEvent(NamedTuple):
    """One step of the KV state of a request: held, taken, gone, or a release that was asked for."""

    at: int
    what: KvStep
    worker: str = ""  # that held it


@dataclass(eq=False)
class TrackedRequest:
    """One request from its acceptance to its final answer and the result of its last attempt."""

    request: InferenceRequest
    view: door.RequestView
    sink: Any
    accepted_at: int
    attempts: list[EngineAttempt] = field(default_factory=list)
    state: Any = None  # waiting at `state_endpoint`
    state_endpoint: door.Endpoint | None = None
    held_since: int = 0  # when a worker answered last, that holds it or refused it
    release_asked: bool = False  # for `state`, beside a decode that is out
    kv_events: list[KvEvent] = field(default_factory=list)
    reserved_endpoint: door.Endpoint | None = None
    reserved_at: int | None = None  # when the engine confirmed the reservation
    first_token_at: int | None = None
    ended_at: int | None = None
    final_answer: FinalAnswer | None = None
    usage: Usage | None = None

    @property
    def open_attempts(self) -> list[EngineAttempt]:
        """Its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if not attempt.ended]


class ResponseSink(Protocol):
    """The front's side of one request."""

    async def piece(self, data: bytes) -> None:
        """Passes one event's data on; returns when the client's socket took it. Raises OSError: the client left."""

    def gone(self) -> bool:
        """Whether nobody waits for an answer any more; asked just before each attempt's first byte."""

    def final(self, ending: FinalAnswer) -> None:
        """Called exactly once, and nothing after it."""


class Connector(Protocol):
    """The engines' side. Reports by Core.first_token, Core.attempt_ended, Core.reservation_answered and Core.probed, never
    from within a call."""

    def start(self, core: Any, attempt: EngineAttempt) -> None: ...
    def cancel(self, attempt: EngineAttempt) -> None: ...
    def reserve(self, core: Any, tracked: TrackedRequest, endpoint: door.Endpoint) -> None: ...
    def release(self, tracked: TrackedRequest, endpoint: door.Endpoint | None, state: Any) -> None: ...
    def probe(self, core: Any, endpoint: door.Endpoint) -> None: ...
