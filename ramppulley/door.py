"""The interface of the decision module: plain types that go in, and the Host that carries out what comes out.

Times are integers in tenths of a millisecond; `now` is read from any monotonic clock. The host of a `rules.Router` makes one
Endpoint per worker and one RequestView per request, and passes the same objects with each event; ids stay with the host.

Recorded event files and older versions of `rules.py`, which are loaded beside this module to be compared with the present
one, refer to some names as they were first chosen. These names stay: the fields of the classes here, the outcome constants
and their values, the methods of Host, the Router's event methods (`listed` to `reminded`, `configured`) and the keywords of
its constructor and of `configured`. Where such a name is not the term of the field, the comment beside it gives the term.
"""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True)
class RequestClass:
    """The latency target, deadline and retry rules of one class of requests, as the operators set them."""

    promised: int  # latency target: time to the first token
    promised_per_k: int  # added to the target for each 1,000 prompt tokens
    outer_limit: int  # deadline
    pace: int  # mean time between tokens
    benefit: float = 1.0  # value of a request of this class, for admission
    effect: str = "pure"  # pure: safe to repeat; receipted: idempotent by key; effectful: unsafe to repeat
    group: str = "all"  # receipted: which workers share the record of idempotency keys: all, zone or cell (group)
    window: int = 0  # receipted: how long keys are remembered


@dataclass(frozen=True)
class TenantShare:
    """The request rate that a tenant is entitled to."""

    per_second: float  # over all routers together


@dataclass(frozen=True)
class Capabilities:
    """What a router may do in this deployment."""

    sends: int = 4  # maximum attempts of one request
    concurrent: bool = False  # two attempts of one request may be open at once
    probes: bool = False  # workers may be probed for load reports
    withdraw: bool = True  # attempts may be cancelled
    places: bool = False  # capacity at a decode worker may be reserved ahead
    release_beside: bool = False  # a release leaves the KV state that an open attempt waits for
    longest_wait: int = 0  # maximum retry-after time that clients respect; 0 = none may be given


@dataclass(frozen=True)
class PolicySettings:
    """Settings of the policy that come from the platform's rules."""

    drain_grace: int  # time that a draining worker has to finish its requests
    cold_from: float  # slow start: minimum capacity of a worker that has just started, as a part of its full capacity
    cold_for: int  # slow start: maximum time until a worker has warmed up
    cold_multiple: float  # a worker that is warming up fails when its load exceeds its capacity by this factor ...
    cold_window: int  # ... for this long
    let_go_within: int  # maximum time until KV state that nothing uses is released
    step: int  # minimum time between two timers


@dataclass(frozen=True)
class PeerReport:
    """What other routers report of a worker. It may adjust our own estimates within bounds, but it is never proof."""

    unread: int  # prompt tokens waiting for prefill, of the open attempts of all other routers at the worker ...
    memory: int  # ... and the memory that these attempts take, in tokens
    known: float  # confidence in these two, 0 to 1
    ill: float = 0.0  # 0 to 1: fraction of the reporting routers that found it unresponsive, unreachable or rejecting
    well: bool = False  # at least one router had a response from it recently


@dataclass(eq=False)
class Endpoint:
    """One worker as discovery lists it; the host keeps one object per worker and updates it."""

    mark: int  # endpoint id: stable number for hashing, the same at every router
    role: str  # read (prefill), write (decode) or both (mixed)
    cell: int  # group
    zone: int
    memory: int  # tokens
    weight: float = 1.0
    state: str = "ready"  # ready, draining or gone
    born: int | None = None  # time of its last start; None = so long ago that it is warmed up
    # Whether it is in this router's subset; workers outside the subset serve only what the subset cannot serve in time.
    usual: bool = True
    heard: PeerReport | None = None  # of other routers, where peer reports are exchanged
    trial: bool = True  # False: while it is suspect, another router holds the permit for the half-open probe


@dataclass(eq=False)
class RequestView:
    """The part of one arriving request that the decisions depend on."""

    use_case: RequestClass
    prompt: int  # tokens
    most_out: int  # maximum output tokens
    patience: int  # deadline: the client leaves after this time
    session: str = ""
    prefix: str = ""  # id of the shared prefix, "" = none
    prefix_tokens: int = 0
    likely_out: int | None = None  # expected output tokens
    account: int = 0  # number of the tenant
    benefit_share: float = 1.0  # factor of the value of requests beyond the tenant's share
    whole: bool = False  # its client set the deadline itself, and gets the response in one piece (not streamed)


@dataclass(frozen=True)
class LoadReport:
    """A worker's own load figures; None = not reported."""

    held: float | None = None  # requests, including those whose KV state is held
    memory_share: float | None = None
    tokens_waiting: float | None = None
    latency: int | None = None


#: Outcomes of an attempt. Those in NEVER_RAN prove that nothing ran.
DONE, READ, FAULT, NO_ROOM, NO_STATE = "done", "read", "fault", "no_room", "no_state"
TOO_SLOW, NO_ROUTE, CUT, UNDONE, STALE = "too_slow", "no_route", "cut", "undone", "stale"
SPOILT = "spoilt"  # a decode worker's corrupt response: it may have run, and the KV state that it fetched is gone
ANSWERED = (DONE, READ, FAULT, NO_ROOM, NO_STATE, SPOILT)  # the worker responded to the whole request
NEVER_RAN = (READ, NO_ROOM, NO_STATE, NO_ROUTE, STALE)


class Host(Protocol):
    """Carries out decisions; passes `attempt` and `note` objects back as they were given.

    hold_place: reserve capacity. let_go: release KV state and reservation. withdraw: cancel an attempt. turn_back: reject a
    request, with a retry-after time. scrap: fail a request, as an attempt may have run. remind: pass `note` back after a
    wait, unless the module has dropped it by then: a host may hold it by a weak reference.
    """

    def send(self, view: RequestView, endpoint: Endpoint, timeout: int, attempt: Any) -> None: ...
    def hold_place(self, view: RequestView, endpoint: Endpoint) -> None: ...
    def let_go(self, view: RequestView) -> None: ...
    def withdraw(self, view: RequestView, attempt: Any) -> None: ...
    def probe(self, endpoint: Endpoint) -> None: ...
    def turn_back(self, view: RequestView, come_back: int) -> None: ...
    def scrap(self, view: RequestView) -> None: ...
    def remind(self, wait: int, note: Any) -> None: ...
    def log(self, line: str) -> None: ...
