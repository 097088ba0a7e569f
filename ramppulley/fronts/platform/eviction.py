"""Selects client connections to evict at the connection limit, and incomplete requests to refuse for lack of memory."""

from collections.abc import Iterator

from ramppulley.fronts.client_connection import ClientConnection, ClientConnections
from ramppulley.service.memory import SMALL_HEAD_BYTES

MIN_IDLE_S = 2.0  # minimum idle time between requests before a connection may be evicted
MIN_SILENT_S = 0.1  # the same before or within its first request
MIN_INCOMPLETE_S = 0.1  # a request that began this recently may be complete in a moment
RECENT_CONNECTIONS = 8  # so many of the newest silent connections are not yet treated as a flood


def eviction_order(
    lingering: ClientConnections, new: ClientConnections, idle: ClientConnections, now: float
) -> Iterator[ClientConnection]:
    """Candidates for eviction, in this order: connections that have had their last answer; silent ones that never sent a
    byte; those that stopped within their first request; those idle for long; recent silent ones. A regular client sends
    at once, so of many new and silent connections the oldest is the least likely to be one; a single one may well be.
    Each argument lists the oldest first.
    """
    silent = [connection for connection in new.values() if not connection.parser.begun]
    yield from lingering.values()
    for newer, connection in enumerate(silent, RECENT_CONNECTIONS):
        if newer < len(silent) or now - connection.waiting_since >= MIN_SILENT_S:
            yield connection
    for connection in new.values():
        if connection.parser.begun and now - connection.waiting_since >= MIN_SILENT_S:
            yield connection
    for connection in idle.values():
        if connection.requests_served and now - connection.waiting_since >= MIN_IDLE_S:
            yield connection
    yield from silent


def incomplete_request_to_refuse(
    partial: ClientConnections, growing: ClientConnection, now: float
) -> ClientConnection | None:
    """The connection whose incomplete request is refused to make room for what `growing` has received.

    Of those that hold what it lacks, the one whose request began first; None if that began a moment ago, as in a burst.
    """
    for connection in partial.values():
        if connection is not growing and connection.account.relieves(growing.account):
            return connection if now - connection.request_began >= MIN_INCOMPLETE_S else None
    return None


def incomplete_request_with_head(partial: ClientConnections) -> ClientConnection | None:
    """The connection whose incomplete request is refused for a complete one.

    Of those that have received much of a head or of a small body, the one whose request began first.
    """
    return next(
        (connection for connection in partial.values() if connection.account.held.requests > SMALL_HEAD_BYTES), None
    )
