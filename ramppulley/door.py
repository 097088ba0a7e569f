"""The interface of the decisions: plain types that go in, and the Host that acts on what comes out.

Times are whole tenths of a millisecond; `now` is any clock that only moves forward.
Whoever hosts a `rules.Router` makes one Box per worker and one Slip per question, and hands the same
objects back with each event; ids stay on the host's side.
"""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True)
class RequestClass:
    """What the operators promise and allow for one kind of question."""

    promised: int  # first token within this
    promised_per_k: int  # and so much more for each 1,000 prompt tokens
    outer_limit: int
    pace: int  # mean gap between tokens
    benefit: float = 1.0
    effect: str = "pure"  # pure, receipted or effectful
    group: str = "all"  # receipted: workers that drop repeats: all, zone or cell
    window: int = 0  # receipted: how long they remember


@dataclass(frozen=True)
class TenantShare:
    """One paying party's share of the service."""

    per_second: float  # within its share, all routers together


@dataclass(frozen=True)
class Capabilities:
    """What this deployment lets a router do."""

    sends: int = 4  # for one question
    concurrent: bool = False  # two sends of one question may be out
    probes: bool = False
    withdraw: bool = True
    places: bool = False  # a place may be held ahead at a writer
    release_beside: bool = False  # a release leaves alone what an attempt that is out waits for
    longest_wait: int = 0  # longest time to come back that clients heed; 0 = may not be named


@dataclass(frozen=True)
class PolicySettings:
    """Figures of the rules."""

    drain_grace: int
    cold_from: float  # a cold worker starts at no less than this part of its capacity
    cold_for: int  # and is warm no later than this
    cold_multiple: float  # sent more than so many times what it can do ...
    cold_window: int  # ... for so long, it falls over
    let_go_within: int
    step: int  # least time between two wake-ups


@dataclass(frozen=True)
class PeerReport:
    """What other routers tell of a worker: it may move counted load within bounds, and proves nothing."""

    unread: int  # of all others' sends out there: prompt tokens to read ...
    memory: int  # ... and tokens of memory
    known: float  # 0 to 1: how far those two are known
    ill: float = 0.0  # 0 to 1: how many of those that tried found it silent, cut off or turning away
    well: bool = False  # at least one tried it of late, and it answered


@dataclass(eq=False)
class Endpoint:
    """One worker as the list shows it; the host keeps one object per worker and updates it."""

    mark: int  # stable number for hashing; the same at every router
    role: str  # read, write or both
    cell: int
    zone: int
    memory: int  # tokens
    weight: float = 1.0
    state: str = "ready"  # ready, draining or gone
    born: int | None = None  # time of its last start; None = long ago
    usual: bool = True  # False: used only where those used ordinarily cannot take a question in good time
    heard: PeerReport | None = None  # of other routers, where those talk
    trial: bool = True  # False: while it is doubted another router has the turn to try it


@dataclass(eq=False)
class RequestView:
    """One question as it arrives."""

    use_case: RequestClass
    prompt: int  # tokens
    most_out: int
    patience: int  # the client leaves after this
    session: str = ""
    prefix: str = ""  # shared beginning, "" = none
    prefix_tokens: int = 0
    likely_out: int | None = None
    account: int = 0
    benefit_share: float = 1.0  # what the over-share part of an account's questions is worth
    whole: bool = False  # its client named its patience and sees nothing before the answer's end


@dataclass(frozen=True)
class LoadReport:
    """A worker's own load figures; None = not told."""

    held: float | None = None  # questions, waiting states too
    memory_share: float | None = None
    tokens_waiting: float | None = None
    latency: int | None = None


#: Outcomes of a send. Those in NEVER_RAN prove that nothing ran.
DONE, READ, FAULT, NO_ROOM, NO_STATE = "done", "read", "fault", "no_room", "no_state"
TOO_SLOW, NO_ROUTE, CUT, UNDONE, STALE = "too_slow", "no_route", "cut", "undone", "stale"
SPOILT = "spoilt"  # a writer's answer began and cannot be read: it may have run, and the state that it fetched is gone
ANSWERED = (DONE, READ, FAULT, NO_ROOM, NO_STATE, SPOILT)  # the worker had the whole request, and said so
NEVER_RAN = (READ, NO_ROOM, NO_STATE, NO_ROUTE, STALE)


class Host(Protocol):
    """Carries out decisions. `attempt` and `note` objects come back as they were given."""

    def send(self, view: RequestView, endpoint: Endpoint, time_out: int, attempt: Any) -> None: ...
    def hold_place(self, view: RequestView, endpoint: Endpoint) -> None: ...
    def let_go(self, view: RequestView) -> None: ...
    def withdraw(self, view: RequestView, attempt: Any) -> None: ...
    def probe(self, endpoint: Endpoint) -> None: ...
    def turn_back(self, view: RequestView, come_back: int) -> None: ...
    def scrap(self, view: RequestView) -> None: ...
    def remind(self, wait: int, note: Any) -> None: ...
    def log(self, line: str) -> None: ...
