"""Connection pools, one per worker, under a common budget.

A connection is kept open for reuse after a complete response and closed once it exceeds the idle timeout.
"""

import asyncio
import errno
from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

from ramppulley.service.memory import CONNECTION_BYTES, MemoryAccount, MemoryBudget, MemoryUse
from ramppulley.wire.sockets import Transport, connect

MAX_CONNECTIONS_PER_WORKER = 512
IDLE_TIMEOUT_S = 10.0
# Minimum idle time after a response before the connection is reused: a late second response must not be mistaken for the
# response to the next request. Longer for unsafe requests, which must not run twice: a stray response that says "never
# ran" would cause a retry.
MIN_IDLE_S, MIN_IDLE_UNSAFE_S = 0.02, 0.5
MAX_BUFFER_BYTES = 8 * 1024  # of one receive, and so of what is parsed at once
LOCAL_ERRNOS = (  # failures of this host, not of the worker
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENETDOWN,
)


class ConnectionLimitError(OSError):
    """This process cannot open another connection."""


class IdleConnection(NamedTuple):
    """An idle connection and the event loop time since which it has been idle."""

    transport: Transport
    since: float


class ConnectionBudget:
    """Bounds the open connections to all workers; at the limit, the connection that has been idle longest is evicted.

    `reserved` of them are usable only by control calls (probes, releases), so that KV state can be released while requests
    use all the others. `idle` maps idle connections to their pools, longest idle first. Open connections are charged to
    `memory`.
    """

    def __init__(self, max_open: int, reserved: int = 0, memory: MemoryBudget | None = None) -> None:
        self.max_open, self.reserved, self.open = max_open, reserved, 0
        self._account = MemoryAccount(memory or MemoryBudget())
        self.idle: dict[Transport, ConnectionPool] = {}

    def check_request_capacity(self) -> None:
        """Raises ConnectionLimitError if requests may not use another connection, new or idle."""
        if self.open - len(self.idle) >= self.max_open - self.reserved:
            raise ConnectionLimitError(errno.EMFILE, "all connections to workers are in use")

    def acquire(self) -> None:
        """Counts a connection about to be opened, evicting an idle one at the limit; raises ConnectionLimitError."""
        if self.open >= self.max_open and not self.evict_idle():
            raise ConnectionLimitError(errno.EMFILE, "all connections to workers are in use")
        self._count(1)

    def evict_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        if not self.idle:
            return False
        transport, pool = next(iter(self.idle.items()))
        pool.evict(transport)
        return True

    def release(self) -> None:
        """Counts a closed connection."""
        self._count(-1)

    def _count(self, change: int) -> None:
        self.open += change
        self._account.hold(MemoryUse(requests=self.open * CONNECTION_BYTES))


class ConnectionPool:
    """Connections to one address, at most `max_connections` in use; the handshake counts toward the attempt's timeout.

    The pool owns every connection it opened: `close` closes the idle ones, and those in use are closed on release.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int = MAX_CONNECTIONS_PER_WORKER,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self.host, self.port, self.idle_timeout_s = host, port, idle_timeout_s
        self.budget = budget or ConnectionBudget(max_connections + 1)  # one more for the reserved connection
        self.idle: list[IdleConnection] = []  # longest idle first
        self.opened = 0  # total over the life of the pool
        self.reserved: Transport | None = None  # kept open so that control calls need no handshake
        self.closed = False
        self._capacity = asyncio.Semaphore(max_connections)

    async def acquire(
        self,
        connect_timeout_s: float,
        on_capacity: Callable[[], None] | None = None,
        control: bool = False,
        min_idle_s: float = MIN_IDLE_S,
    ) -> Transport:
        """Returns an idle or a new connection; give it back with `release`, `release_unused` or `discard`.

        `on_capacity` is called once the wait for one of `max_connections` is over. `control` marks a control call, which
        may use the reserved part of the budget. `min_idle_s` is the idle time required to reuse a connection.
        Raises OSError, or TimeoutError if connecting takes longer than `connect_timeout_s`.
        """
        await self._capacity.acquire()
        try:
            if not control:
                self.budget.check_request_capacity()
            transport = self._take_idle(min_idle_s)
            if transport is None:
                self.budget.acquire()
            if on_capacity is not None:
                on_capacity()
            if transport is None:
                transport = await self._open(connect_timeout_s)
            return transport
        except BaseException:
            self._capacity.release()
            raise

    def _take_idle(self, min_idle_s: float) -> Transport | None:
        """Takes the most recently used connection, so that the others can expire; evicts those found unusable.

        A connection that the peer closes right after its response, or on which it sends a second response, looks usable
        for a moment. None is reused before `min_idle_s`, since a new connection costs less than that mistake.
        """
        loop = asyncio.get_running_loop()
        while candidates := [idle for idle in self.idle if loop.time() - idle.since >= min_idle_s]:
            transport, since = last_used = candidates[-1]
            now = loop.time()
            if now - since < self.idle_timeout_s and transport.is_quiet():
                self.idle.remove(last_used)
                self.budget.idle.pop(transport, None)
                transport.idle_before_use_s = now - since
                return transport
            self.evict(transport)
        return None

    async def _open(self, timeout_s: float) -> Transport:
        try:
            transport = await connect(self.host, self.port, timeout_s)
        except BaseException as error:
            self.budget.release()
            if isinstance(error, OSError) and error.errno in LOCAL_ERRNOS:
                raise ConnectionLimitError(error.errno, error.strerror) from error
            raise
        self.opened += 1
        transport.max_buffer_bytes = MAX_BUFFER_BYTES
        return transport

    def evict(self, transport: Transport) -> None:
        """Closes an idle connection."""
        self.idle = [idle for idle in self.idle if idle.transport is not transport]
        self._close(transport)

    def _close(self, transport: Transport) -> None:
        self.budget.idle.pop(transport, None)
        self.budget.release()
        transport.close()

    async def acquire_reserved(self, connect_timeout_s: float) -> Transport:
        """Returns the reserved connection if it is free and usable, else falls back to `acquire`; raises as `acquire`."""
        await self._capacity.acquire()
        transport, self.reserved = self.reserved, None
        if transport is not None and transport.is_quiet():
            return transport
        self._capacity.release()
        if transport is not None:
            self._close(transport)
        return await self.acquire(connect_timeout_s)

    def release_reserved(self, transport: Transport) -> None:
        """Gives back a connection from `acquire_reserved` after a complete response."""
        if self.reserved is None and not self.closed:
            self.reserved = transport
            self._capacity.release()
        else:
            self.release(transport)

    async def open_reserved(self, connect_timeout_s: float) -> None:
        """Opens the reserved connection if there is none; on failure, the next call retries."""
        if self.reserved is not None and self.reserved.is_quiet():
            return
        if self.reserved is not None:
            self._close(self.reserved)
            self.reserved = None
        try:
            self.budget.acquire()
            transport = await self._open(connect_timeout_s)
        except OSError:
            return
        if self.reserved is None and not self.closed:
            self.reserved = transport
        else:
            self._close(transport)

    def release(self, transport: Transport) -> None:
        """Gives back a connection after a complete response that keeps it open."""
        transport.last_used_at = asyncio.get_running_loop().time()
        self._return_idle(transport)

    def release_unused(self, transport: Transport) -> None:
        """Gives back a connection on which nothing was written: to the worker it has been idle since its last use."""
        self._return_idle(transport)

    def _return_idle(self, transport: Transport) -> None:
        self._capacity.release()
        transport.free_buffer()
        if self.closed:
            self._close(transport)
            return
        insort(self.idle, IdleConnection(transport, transport.last_used_at), key=lambda idle: idle.since)
        self.budget.idle[transport] = self

    def discard(self, transport: Transport) -> None:
        """Resets a connection that cannot be reused; this also cancels the attempt on it."""
        transport.reset()
        self._close(transport)
        self._capacity.release()

    def expire_idle(self) -> None:
        """Closes connections past the idle timeout; to be called periodically."""
        now = asyncio.get_running_loop().time()
        while self.idle and now - self.idle[0].since >= self.idle_timeout_s:
            self._close(self.idle.pop(0).transport)

    def close(self) -> None:
        """Closes all idle connections; those in use are closed on release."""
        self.closed = True
        if self.reserved is not None:
            self._close(self.reserved)
            self.reserved = None
        while self.idle:
            self._close(self.idle.pop().transport)
