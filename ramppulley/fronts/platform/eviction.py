"""Selects the client connection to evict for a new one when the connection limit is reached."""

from collections.abc import Iterator

from ramppulley.fronts.client_connection import ClientConnection, ClientConnections

MIN_IDLE_S = 2.0  # minimum idle time between requests before a connection may be evicted
MIN_SILENT_S = 0.1  # the same before or within its first request
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
