"""The records that a stand-in engine keeps of what crossed its socket, from which the rule checkers work."""

import msgspec


class Entry(msgspec.Struct):
    """One request as the engine saw it. Times: tenths of a millisecond on the machine's monotonic clock."""

    engine: str
    request: str  # X-Request-Id
    what: str  # read, write or pool
    arrived: int
    opened: int = 0  # when its connection was accepted, if it is the connection's first request; else as `arrived`
    receipt: str = ""
    weight: int = 0  # the time that it alone takes a warm engine
    prompt: int = 0  # tokens
    kept: int = 0  # tokens of the prompt that were in the prefix cache
    ran: bool = False  # the engine began it: it may have had its effect
    dropped: bool = False  # a repeat, recognised by its idempotency key, that had no second effect
    ended: int | None = None
    how: str = ""


class Held(msgspec.Struct):
    """One held KV state or reservation (`place`), from its start to its end."""

    engine: str
    request: str
    what: str  # state or place
    since: int
    until: int | None = None
    how: str = ""
    told: int | None = None  # when its release was first asked for
