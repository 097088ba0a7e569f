"""The input of the checkers: what crossed the sockets, recorded by clients and stand-ins and never by the router.

Times: tenths of a millisecond on the machine's monotonic clock, which all processes of a machine share.
"""

import msgspec

from ramppulley.standin.ledger import Entry, Held

__all__ = ["Asked", "Entry", "Evidence", "Held"]


class Asked(msgspec.Struct):
    """One request as its client saw it."""

    name: str
    kind: str
    use_case: str
    effect: str
    sent: int
    patience: int  # until the client leaves
    promised: int  # latency target for the first token
    pace: int = 0  # latency target for each further token
    benefit: float = 1.0
    account: str = ""
    router: int = 0
    status: int = 0
    first: int | None = None
    ended: int = 0
    tokens: int = 0
    how: str = ""  # fulfilled, turned back, scrapped, left, lost, or unreached
    in_order: bool = True  # each token came once, in order
    harmless: bool | None = None
    finals: int = 0  # final responses seen
    why: str = ""  # the reason of an outcome other than fulfilled

    def in_time(self) -> bool:
        """Whether the first token met its latency target, and the rest the target per token."""
        if self.how != "fulfilled" or self.first is None or self.first - self.sent > self.promised:
            return False
        return self.tokens < 2 or self.ended - self.first <= self.pace * (self.tokens - 1) + 2000


class Evidence(msgspec.Struct):
    """What crossed the sockets in one run."""

    asked: list[Asked]
    ledger: list[Entry]
    held: list[Held]
    listed: list[tuple[int, dict[str, str]]]  # when a list was published, and the state of each worker on it
    births: list[tuple[str, int]] = []  # (worker, time) of each start with a warm-up
    places: dict[str, tuple[str, str]] = {}  # worker -> (group, zone)
    killed: list[tuple[int, int]] = []  # (router, time): it no longer answers for its requests and holds
    # worker -> initial share of its full speed, warm-up time, budget multiple and window
    cold: dict[str, tuple[float, int, float, int]] = {}
    windows: dict[str, tuple[str, int]] = {}  # request class -> scope and window of its idempotency keys
    unreachable: list[tuple[str, int, int]] = []  # (worker, from, to): no router could reach it
    away: list[tuple[int, int, int]] = []  # (router, from, to): its process was stopped and later continued
    starved: list[tuple[int, int, int]] = []  # (router, from, to): it was runnable and got no CPU
    stood: list[tuple[int, int]] = []  # (from, to): the stand-ins' process did not run
    drain_grace: int = 20_000
    let_go_within: int = 3_000
    sends: int = 4  # attempts allowed per request
