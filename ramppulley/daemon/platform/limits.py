"""Divides the process's file descriptors between client and worker connections."""

import resource
from typing import NamedTuple

from ramppulley.settings_fields import SettingError

# Descriptors that are not client or worker connections. 13 are open from startup: standard streams, event loop, signals,
# listener. Then two watches (one closes while the next connects), a connection that is being rejected, the configuration
# file at SIGHUP, the source file of a traceback; 6 more for descriptors that are closed one loop iteration late.
RESERVED_DESCRIPTORS = 24
MIN_CONNECTIONS = 16  # client and worker connections together; no request could be served with fewer
CLIENT_SHARE = 0.55  # of these connections; clients use at most a third of all connections for requests
SMALL_CALL_DIVISOR = 16  # one in this many worker connections is reserved for small calls
MIN_SMALL_CALL_CONNECTIONS = 2


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
    workers = connections - clients
    return ConnectionLimits(clients, workers, max(MIN_SMALL_CALL_CONNECTIONS, workers // SMALL_CALL_DIVISOR))
