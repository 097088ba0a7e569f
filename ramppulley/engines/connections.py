"""Pools of connections to workers, one for each worker, under one budget for all.

A connection stays open after a whole answer, is used again, and is closed once it has been idle for long.
"""

import asyncio
import errno
from bisect import insort
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ramppulley.wire.sockets import Transport, connect

MAX_CONNECTIONS_PER_WORKER = 512
IDLE_TIMEOUT_S = 10.0
# Time without a byte after an answer before its connection is used again: a second answer that comes late must not be
# taken for that of the next request. Longer where that request may not run twice: an answer that says that it never ran
# would have it sent again.
MIN_IDLE_S, MIN_IDLE_UNSAFE_S = 0.02, 0.5
LOCAL_ERRNOS = (  # say nothing of the worker
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENETDOWN,
)


class ConnectionLimitError(OSError):
    """This process may not open one more connection."""


class IdleConnection(NamedTuple):
    """An open connection that nobody uses, and since when by the clock of the event loop."""

    transport: Transport
    since: float


class ConnectionBudget:
    """Bounds the connections to all workers that are open at once; at the bound, the one idle longest is evicted.

    `reserved` of them are for control calls (probes, releases) alone: KV state has to be released also while requests use
    all others. `idle` maps idle connections, the longest idle first, to their pools.
    """

    def __init__(self, max_open: int, reserved: int = 0) -> None:
        self.max_open, self.reserved, self.open = max_open, reserved, 0
        self.idle: dict[Transport, ConnectionPool] = {}

    def check_request_capacity(self) -> None:
        """Raises ConnectionLimitError where a request may not use one more connection, new or idle."""
        if self.open - len(self.idle) >= self.max_open - self.reserved:
            raise ConnectionLimitError(errno.EMFILE, "all connections to workers are in use")

    def acquire(self) -> None:
        """Counts one more open connection; raises ConnectionLimitError."""
        if self.open >= self.max_open:
            if not self.idle:
                raise ConnectionLimitError(errno.EMFILE, "all connections to workers are in use")
            transport, pool = next(iter(self.idle.items()))
            pool.evict(transport)
        self.open += 1

    def release(self) -> None:
        """Counts one open connection less."""
        self.open -= 1


class ConnectionPool:
    """Connections to one address, at most `max_connections` in use; a handshake counts in its attempt's own time.

    It owns every connection that it opened: after `close` none is kept, and those in use are closed once released.
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
        self.budget = budget or ConnectionBudget(max_connections + 1)
        self.idle: deque[IdleConnection] = deque()  # the longest idle first
        self.opened = 0  # ever
        self.reserved: Transport | None = None  # kept open for control calls, which then need no handshake
        self.closed = False
        self._capacity = asyncio.Semaphore(max_connections)

    async def acquire(
        self,
        connect_timeout_s: float,
        on_capacity: Callable[[], None] | None = None,
        control: bool = False,
        min_idle_s: float = MIN_IDLE_S,
    ) -> Transport:
        """An idle or a new connection; to be given back by `release`, `release_unused` or `discard`.

        `on_capacity` is called once the wait for one of `max_connections` is over. `control`: for a control call, which
        may use the reserved part of the budget. `min_idle_s`: idle time that a connection must have to be used again.
        Raises OSError, or TimeoutError after `connect_timeout_s` of connecting.
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
        """The reusable connection used last, as the others may expire; evicts those that turn out unusable.

        A connection that its peer closes right after its answer looks usable for a moment, and so does one on which a
        second answer comes: for `min_idle_s` none is taken, as a new connection costs less.
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
        return transport

    def evict(self, transport: Transport) -> None:
        """Closes an idle connection."""
        self.idle = deque(idle for idle in self.idle if idle.transport is not transport)
        self._close(transport)

    def _close(self, transport: Transport) -> None:
        self.budget.idle.pop(transport, None)
        self.budget.release()
        transport.close()

    async def acquire_reserved(self, connect_timeout_s: float) -> Transport:
        """The reserved connection if it is free and usable, else as `acquire`; raises as `acquire`."""
        await self._capacity.acquire()
        transport, self.reserved = self.reserved, None
        if transport is not None and transport.is_quiet():
            return transport
        self._capacity.release()
        if transport is not None:
            self._close(transport)
        return await self.acquire(connect_timeout_s)

    def release_reserved(self, transport: Transport) -> None:
        """After a whole answer on what `acquire_reserved` gave."""
        if self.reserved is None and not self.closed:
            self.reserved = transport
            self._capacity.release()
        else:
            self.release(transport)

    async def open_reserved(self, connect_timeout_s: float) -> None:
        """Opens the reserved connection if there is none; after a failure the next call tries again."""
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
        """After a whole answer that keeps the connection open."""
        transport.last_used_at = asyncio.get_running_loop().time()
        self._return_idle(transport)

    def release_unused(self, transport: Transport) -> None:
        """Nothing was written to it: to its worker it has been idle since its last use."""
        self._return_idle(transport)

    def _return_idle(self, transport: Transport) -> None:
        self._capacity.release()
        if self.closed:
            self._close(transport)
            return
        insort(self.idle, IdleConnection(transport, transport.last_used_at), key=lambda idle: idle.since)
        self.budget.idle[transport] = self

    def discard(self, transport: Transport) -> None:
        """After anything else: a reset is also how an attempt is cancelled."""
        transport.reset()
        self._close(transport)
        self._capacity.release()

    def expire_idle(self) -> None:
        """Closes what has been idle for too long; to be called now and then."""
        now = asyncio.get_running_loop().time()
        while self.idle and now - self.idle[0].since >= self.idle_timeout_s:
            self._close(self.idle.popleft().transport)

    def close(self) -> None:
        """Closes all idle connections, and from now on each that is released."""
        self.closed = True
        if self.reserved is not None:
            self._close(self.reserved)
            self.reserved = None
        while self.idle:
            self._close(self.idle.pop().transport)
