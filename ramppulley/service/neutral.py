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
    value_share: float = 1.0  # as `benefit_share` in door.Slip
    whole: bool = False  # as in door.Slip


@dataclass(frozen=True)
class Ending:
    """The one final answer."""

    how: str
    retryable: bool  # trying again is harmless
    why: str = ""
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
class End:
    """How a send ended, by what that proves (`engines.proof`)."""

    outcome: str  # one of door's
    why: str = ""
    report: door.Report | None = None
    usage: Usage | None = None
    state: Any = None  # after a read: what names the waiting state to a writer
    status: int = 200  # of an answer that the engine gave and the client gets as it is
    body: bytes = b""  # that answer, where it came in one piece


@dataclass(eq=False)
class Out:
    """One send while it is out."""

    life: Any
    box: door.Box
    send: Any  # the module's
    number: int
    reads: bool
    time_out: int
    started: int
    state: Any = None  # to be fetched by this send
    begin_until: int | None = None  # its first byte may go out so long
    first: int | None = None
    withdrawn: bool = False
    ended: bool = False
    task: Any = None  # the connector's
    end: tuple[int, End] | None = None  # (when, End)
    stage: str = ""  # how far it came, by the connector
    connections: Any = None  # its worker's, by the connector
    listed: Any = None  # what the list said of the worker when it was chosen, by the connector
    remaining: int = 0  # of `time_out`, when its first byte was about to be written


class KvEvent(NamedTuple):
    """One step of the KV state of a request: held, taken, gone, or a release that was asked for."""

    at: int
    what: KvStep
    worker: str = ""  # that held it


@dataclass(eq=False)
class Life:
    """One question from taken to its final answer and its last outcome."""

    request: InferenceRequest
    slip: door.Slip
    sink: Any
    taken: int
    outs: list[Out] = field(default_factory=list)
    state: Any = None  # waiting at `held_at`
    held_at: door.Box | None = None
    held_since: int = 0  # when a worker answered last, that holds it or refused it
    release_asked: bool = False  # for `state`, beside a decode that is out
    kv_events: list[KvEvent] = field(default_factory=list)
    place: door.Box | None = None
    placed: int | None = None  # when the place was told to be held
    first: int | None = None
    ended: int | None = None
    ending: Ending | None = None
    usage: Usage | None = None

    @property
    def out(self) -> list[Out]:
        """Its attempts that have no outcome yet."""
        return [out for out in self.outs if not out.ended]


class Sink(Protocol):
    """The front's side of one question."""

    async def piece(self, data: bytes) -> None:
        """Passes one event's data on; returns when the client's socket took it. Raises OSError: the client left."""

    def gone(self) -> bool:
        """Whether nobody waits for an answer any more; asked just before each attempt's first byte."""

    def final(self, ending: Ending) -> None:
        """Called exactly once, and nothing after it."""


class Connector(Protocol):
    """The engines' side. Reports by Core.first, Core.ended, Core.placed and Core.probed, never from within a call."""

    def start(self, core: Any, out: Out) -> None: ...
    def cancel(self, out: Out) -> None: ...
    def reserve(self, core: Any, life: Life, box: door.Box) -> None: ...
    def release(self, life: Life, box: door.Box | None, state: Any) -> None: ...
    def probe(self, core: Any, box: door.Box) -> None: ...
