"""Accounts for what peers make a router hold, so that it is bounded in sum. Pure: owners report what they hold, and ask.

Each pool has a limit of its own, so that what one kind of peer sends cannot use up what the others need:

| pool | what is charged to it |
| --- | --- |
| requests | open connections, heads of requests and small bodies, received or being received, accepted requests, releases |
| bodies | large bodies of requests, received or being received, until their answers begin |
| responses | what workers have sent and could not be passed on yet: heads, bodies and unfinished events |
"""

from typing import NamedTuple

UNLIMITED = float("inf")
LARGE_BODY_BYTES = 16 * 1024  # from which on the allocator gives the memory of a body back to the system
CONNECTION_BYTES = 9_700  # of an open connection without what is received on it
REQUEST_BYTES = 20_000  # state of an accepted request, its attempts and what is being passed on, without connections
RELEASE_BYTES = 8_000  # of a running release of KV state: tasks, timers and messages of its calls
KEPT_REQUEST_BYTES = 6_000  # of an ended request whose release may have to be repeated
ACCEPTED_SHARE = 0.9  # of the pool of requests, up to which requests are accepted: heads can be received beyond it
SMALL_HEAD_BYTES = 2 * 1024  # a connection that holds no more is not refused
# A body over this size may use only a part of its pool, so that clients with many of them leave room for the others.
HUGE_BODY_BYTES, HUGE_BODY_SHARE = 64 * 1024, 0.75


class MemoryUse(NamedTuple):
    """Bytes held, by pool."""

    requests: int = 0
    bodies: int = 0
    responses: int = 0


NOTHING = MemoryUse()


class MemoryPool:
    """A part of the memory."""

    def __init__(self, limit: float = UNLIMITED) -> None:
        self.limit, self.used = limit, 0

    def is_exceeded(self, share: float = 1.0) -> bool:
        """Whether more than this share of its limit is held."""
        return self.used > share * self.limit

    def fits(self, count: int, share: float = 1.0) -> bool:
        """Whether `count` more bytes may be held within this share of its limit."""
        return self.used + count <= share * self.limit


class MemoryBudget:
    """The pools of one router."""

    def __init__(self, requests: float = UNLIMITED, bodies: float = UNLIMITED, responses: float = UNLIMITED) -> None:
        self.requests, self.bodies, self.responses = MemoryPool(requests), MemoryPool(bodies), MemoryPool(responses)

    def pools(self) -> dict[str, MemoryPool]:
        """The pools by name."""
        return {"requests": self.requests, "bodies": self.bodies, "responses": self.responses}

    def change(self, before: MemoryUse, after: MemoryUse) -> None:
        """An owner that held `before` holds `after` now."""
        self.requests.used += after.requests - before.requests
        self.bodies.used += after.bodies - before.bodies
        self.responses.used += after.responses - before.responses


class MemoryAccount:
    """What one owner holds.

    >>> budget = MemoryBudget(requests=100)
    >>> account = MemoryAccount(budget)
    >>> account.hold(MemoryUse(requests=101)); budget.requests.is_exceeded()
    True
    >>> account.close(); budget.requests.used
    0
    """

    __slots__ = ("budget", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.held = budget, NOTHING

    def hold(self, use: MemoryUse) -> None:
        """The owner holds this now."""
        if use != self.held:
            self.budget.change(self.held, use)
            self.held = use

    def close(self) -> None:
        """The owner holds nothing any more."""
        self.hold(NOTHING)

    def exceeds_pool(self, body_bytes: int = 0) -> bool:
        """Whether a pool holds too much to which this owner has charged a head or a body. `body_bytes`: the whole body's."""
        requests, bodies = self.budget.requests, self.budget.bodies
        if self.held.requests > SMALL_HEAD_BYTES and requests.is_exceeded():
            return True
        share = HUGE_BODY_SHARE if max(self.held.bodies, body_bytes) > HUGE_BODY_BYTES else 1.0
        return self.held.bodies > 0 and bodies.is_exceeded(share)

    def relieves(self, other: "MemoryAccount") -> bool:
        """Whether the pool that `other` exceeds would be relieved if this owner held nothing."""
        if other.held.requests and other.budget.requests.is_exceeded() and self.held.requests:
            return True
        return bool(other.held.bodies and self.held.bodies)


def use_of_request(head_bytes: int, body_bytes: int) -> MemoryUse:
    """What the head and the body of a request take.

    >>> use_of_request(500, 1_000), use_of_request(500, 100_000)
    (MemoryUse(requests=1500, bodies=0, responses=0), MemoryUse(requests=500, bodies=100000, responses=0))
    """
    if body_bytes < LARGE_BODY_BYTES:
        return MemoryUse(requests=head_bytes + body_bytes)
    return MemoryUse(requests=head_bytes, bodies=body_bytes)


def sum_of(uses: list[MemoryUse]) -> MemoryUse:
    """All of them together."""
    return MemoryUse(*(sum(column) for column in zip(*uses))) if uses else NOTHING
