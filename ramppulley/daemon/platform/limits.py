"""Divides the process's file descriptors and its memory between what clients and workers may make it hold."""

import resource
from typing import NamedTuple

from ramppulley.service.memory import (
    ACCEPTED_SHARE,
    CONNECTION_BYTES,
    LARGE_BODY_BYTES,
    REQUEST_BYTES,
    UNLIMITED,
    MemoryBudget,
)
from ramppulley.settings_fields import SettingError

# Descriptors that are not client or worker connections. 13 are open from startup: standard streams, event loop, signals,
# listener. Then two watches (one closes while the next connects), a connection that is being rejected, the configuration
# file at SIGHUP, the source file of a traceback; 6 more for descriptors that are closed one loop iteration late.
RESERVED_DESCRIPTORS = 24
MIN_CONNECTIONS = 16  # client and worker connections together; no request could be served with fewer
CLIENT_SHARE = 0.55  # of these connections; clients use at most a third of all connections for requests
SMALL_CALL_DIVISOR = 16  # one in this many worker connections is reserved for small calls
MIN_SMALL_CALL_CONNECTIONS = 2

BYTES_PER_MB = 1_000_000
PROCESS_BYTES = 15_500_000  # of a router without clients, with a list of some hundred workers
MARGIN_SHARE = 0.1  # of the memory limit, for garbage, fragments and what is not charged
MIN_HELD_BYTES = 4_000_000  # for what peers make it hold, however low the limit is
MAX_HEAD_MEMORY_BYTES = 64 * 1024  # of one request
MAX_RESPONSE_BYTES = 72 * 1024  # of one response: an unfinished event and a receive
PREFIX_BYTES = 200  # of a remembered prefix: its name, and an entry in a table
# Shares of what is left beside the process, at the most; what these do not need is for bodies.
NAME_SHARE, MAX_NAME_BYTES = 0.08, 8_000_000  # for the prefixes that workers are expected to have cached
REQUEST_SHARE, RESPONSE_SHARE = 0.7, 0.06
CONNECTION_SHARE = 0.5  # of the pool of requests, for the connections of clients, and as much for those to workers


class ConnectionLimits(NamedTuple):
    """Maximum numbers of open connections, by use."""

    clients: int
    workers: int
    small_calls: int  # part of `workers` that is reserved for small calls

    @property
    def max_requests(self) -> int:
        """Maximum number of requests, given the worker connections that are not reserved."""
        return self.workers - self.small_calls


def max_descriptors(configured: int) -> int:
    """Maximum number of open descriptors: the configured one, or the system limit if that is lower."""
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    allowed = configured if system_limit == resource.RLIM_INFINITY else min(configured, system_limit)
    needed = RESERVED_DESCRIPTORS + MIN_CONNECTIONS
    if allowed < needed:
        raise SettingError(f"limits.sockets: {allowed} descriptors may be open, {needed} are needed")
    return allowed


def divide_descriptors(descriptors: int) -> ConnectionLimits:
    """Divides this many descriptors into connection limits.

    >>> divide_descriptors(256)
    ConnectionLimits(clients=127, workers=105, small_calls=6)
    """
    connections = descriptors - RESERVED_DESCRIPTORS
    clients = int(connections * CLIENT_SHARE)
    return _connection_limits(clients, connections - clients)


def _connection_limits(clients: int, workers: int) -> ConnectionLimits:
    return ConnectionLimits(clients, workers, max(MIN_SMALL_CALL_CONNECTIONS, workers // SMALL_CALL_DIVISOR))


class MemoryLimits(NamedTuple):
    """Maximum bytes, by use."""

    names: float = MAX_NAME_BYTES
    requests: float = UNLIMITED
    bodies: float = UNLIMITED
    responses: float = UNLIMITED

    @property
    def cached_prefixes(self) -> int:
        """Maximum number of prefixes that the decision module remembers."""
        return int(self.names / PREFIX_BYTES)

    def budget(self) -> MemoryBudget:
        """An empty budget with these limits."""
        return MemoryBudget(self.requests, self.bodies, self.responses)


def divide_memory(memory_mb: float, limits: ConnectionLimits) -> tuple[ConnectionLimits, MemoryLimits]:
    """Divides the memory limit (0 = none); the connections are fewer than `limits` where it is low.

    >>> connections, memory = divide_memory(32, divide_descriptors(1024))
    >>> connections, [round(pool / 1e6, 1) for pool in memory]
    (ConnectionLimits(clients=479, workers=450, small_calls=28), [1.1, 9.3, 2.1, 0.8])
    >>> divide_memory(16, divide_descriptors(1024))[0]
    ConnectionLimits(clients=144, workers=144, small_calls=9)
    >>> [round(pool / 1e6, 1) for pool in divide_memory(192, divide_descriptors(1024))[1]]
    [8.0, 73.1, 66.8, 9.4]
    """
    if not memory_mb:
        return limits, MemoryLimits()
    left = max(MIN_HELD_BYTES, memory_mb * BYTES_PER_MB * (1 - MARGIN_SHARE) - PROCESS_BYTES)
    most_connections = max(MIN_CONNECTIONS, int(CONNECTION_SHARE * REQUEST_SHARE * left / CONNECTION_BYTES))
    connections = _connection_limits(min(limits.clients, most_connections), min(limits.workers, most_connections))
    names = min(MAX_NAME_BYTES, NAME_SHARE * left)
    largest_request = REQUEST_BYTES + MAX_HEAD_MEMORY_BYTES + LARGE_BODY_BYTES + CONNECTION_BYTES
    largest_requests = connections.clients * largest_request + connections.workers * CONNECTION_BYTES
    requests = min(REQUEST_SHARE * left, largest_requests / ACCEPTED_SHARE)
    responses = min(RESPONSE_SHARE * left, connections.workers * MAX_RESPONSE_BYTES)
    return connections, MemoryLimits(names, requests, left - names - requests - responses, responses)
