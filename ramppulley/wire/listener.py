"""A listening socket: accepts connections and runs a task for each."""

import asyncio
import errno
import itertools
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Self

from ramppulley.wire.sockets import ReadableEvent, Transport

# How long one iteration of the event loop accepts connections at the most, once it has accepted the minimum.
ACCEPT_BUDGET_S, MIN_ACCEPTS = 0.001, 16
ACCEPT_PAUSE_S = 0.02  # after a failed accept
MAX_FAILED_ACCEPTS = 16  # in a row, while a listener stops
CLOSE_AFTER_EVICTION_TIMEOUT_S = 0.1  # how long an evicted connection has to close before another is evicted
FIRST_READ_ITERATIONS = 8  # of the event loop, within which what came with a new connection is usually read
OUT_OF_DESCRIPTORS = errno.EMFILE, errno.ENFILE
BACKLOG_DRAIN_TIMEOUT_S = 0.5  # how long a listener that stops accepts the connections in its backlog


class Listener:
    """Accepts connections and runs the coroutine `serve(transport)` in a task for each; at most `max_connections` are open
    at once. `serve` is called at the accept, before the next one.

    Beyond that limit a new connection is closed unserved, unless `free_capacity()` evicts another one. Then it is served
    once the evicted one has closed, at once if `free_capacity` has closed it.
    """

    def __init__(
        self,
        serve: Callable[[Transport], Awaitable[object]],
        host: str = "127.0.0.1",
        port: int = 0,
        max_connections: int = 10_000,
        backlog: int = 1024,
        free_capacity: Callable[[], bool] = lambda: False,
    ) -> None:
        self.serve, self.max_connections, self.free_capacity = serve, max_connections, free_capacity
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_connections = 0
        self._peak_connections = 0  # since `take_peak` was last called
        self.accepted = 0
        self.rejected = 0
        self.failed_accepts = 0
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind((host, port))
        except OSError:
            self.sock.close()
            raise
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.host, self.port = self.sock.getsockname()[:2]
        self._accepting: asyncio.Task[None] | None = None
        self._unread_iterations = 0  # for which connections that were accepted last may not have been read
        self._connection_closed: asyncio.Future[None] | None = None
        self._readable: ReadableEvent | None = None
        self._stopping = False
        self._backlog: list[socket.socket] = []  # accepted while stopping, and not served yet

    def start(self) -> Self:
        """Begins to accept; requires a running event loop."""
        loop = asyncio.get_running_loop()
        self._readable = ReadableEvent(self.sock, loop)
        self._start_accepting(self._readable)
        return self

    def take_peak(self) -> int:
        """The most connections that were open at once since the last call, for the log."""
        peak, self._peak_connections = self._peak_connections, self.open_connections
        return peak

    async def _accept(self, readable: ReadableEvent) -> None:
        """Runs until `stop`, and then serves the backlog, as the kernel has already accepted those connections."""
        accepted_at_eviction = -1
        while True:
            try:
                if not await self._accept_next(readable):
                    return
            except OSError as error:  # out of descriptors or memory, or the peer has disconnected already
                self.failed_accepts += 1
                pause_s = ACCEPT_PAUSE_S
                # Nothing can be accepted until a connection ends. If evicting one has helped, the next may help too.
                if error.errno in OUT_OF_DESCRIPTORS and self.free_capacity() and self.accepted > accepted_at_eviction:
                    accepted_at_eviction, pause_s = self.accepted, 0.0
                await asyncio.sleep(pause_s)

    async def _accept_next(self, readable: ReadableEvent) -> bool:
        """Accepts the connections that have arrived, or waits for one. Returns False once no more may come. Raises OSError.

        Other tasks run after ACCEPT_BUDGET_S, however many connections arrive."""
        if self._stopping:
            await self._serve_backlog(readable)
            return False
        until = time.monotonic() + ACCEPT_BUDGET_S
        for accepted in itertools.count():
            if self._stopping or (accepted >= MIN_ACCEPTS and time.monotonic() >= until):
                break
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                await readable.wait()
                return True
            self.accepted += 1
            await self._serve_or_reject(sock)
        await asyncio.sleep(0)
        return True

    async def _serve_backlog(self, readable: ReadableEvent) -> None:
        """Serves the connections that the kernel has accepted. There is no await between the last accept and the close of
        the listening socket: a connection that arrived in between would be reset."""
        if self.sock.fileno() >= 0:  # otherwise it is called again, after a socket that could not be set up
            while (sock := self._accept_now()) is not None:
                self._backlog.append(sock)
            readable.close()
            self.sock.close()
        while self._backlog:
            await self._serve_or_reject(self._backlog.pop(0))

    def _accept_now(self) -> socket.socket | None:
        """The next connection of the backlog; None if there is none, or if accepting keeps failing."""
        for _ in range(MAX_FAILED_ACCEPTS):
            try:
                return self.sock.accept()[0]
            except BlockingIOError:
                return None
            except OSError:
                self.failed_accepts += 1
                self.free_capacity()
        return None

    async def _serve_or_reject(self, sock: socket.socket) -> None:
        """Raises OSError if the socket cannot be set up; it is closed then."""
        if await self._wait_for_capacity():
            self._start_serving(sock)
        else:
            self.rejected += 1
            sock.close()

    def _start_serving(self, sock: socket.socket) -> None:
        """Raises OSError if the socket cannot be set up; it is closed then."""
        try:
            transport = Transport(sock)
        except OSError:
            sock.close()
            raise
        self.open_connections += 1
        self._peak_connections = max(self._peak_connections, self.open_connections)
        self._unread_iterations = FIRST_READ_ITERATIONS
        transport.on_closed = self._on_connection_closed
        try:
            serving = self.serve(transport)
        except BaseException:
            transport.close()
            raise
        task = asyncio.get_running_loop().create_task(self._run(transport, serving))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: transport.close())  # also if it was cancelled before it began

    def _on_accepting_done(self, task: asyncio.Task[None]) -> None:
        """Restarts the accept task after any error: a process must not keep listening without accepting."""
        if task.cancelled() or task.exception() is None or self._readable is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_exception_handler(
            {"message": "error while accepting connections", "exception": task.exception(), "task": task}
        )
        loop.call_later(ACCEPT_PAUSE_S, self._start_accepting, self._readable)

    def _start_accepting(self, readable: ReadableEvent) -> None:
        if not self._stopping:
            self._accepting = asyncio.get_running_loop().create_task(self._accept(readable))
            self._accepting.add_done_callback(self._on_accepting_done)

    async def _wait_for_capacity(self) -> bool:
        """Whether one more connection may be served, evicting others where needed.

        An evicted connection may hold its descriptor for some more iterations of the event loop. The new connection waits
        for that; otherwise a flood could hold more than `max_connections`. It also waits while connections that came
        shortly before it, and would be refused, have not been read.
        """
        while self.open_connections >= self.max_connections:
            if not self.free_capacity():
                if not self._unread_iterations:
                    return False
                self._unread_iterations -= 1
                await asyncio.sleep(0)
                continue
            if self.open_connections < self.max_connections:
                break
            self._connection_closed = asyncio.get_running_loop().create_future()
            await asyncio.wait({self._connection_closed}, timeout=CLOSE_AFTER_EVICTION_TIMEOUT_S)
        return True

    def _on_connection_closed(self) -> None:
        self.open_connections -= 1
        if self._connection_closed is not None and not self._connection_closed.done():
            self._connection_closed.set_result(None)

    async def _run(self, transport: Transport, serving: Awaitable[object]) -> None:
        try:
            await serving
        except (OSError, asyncio.CancelledError):
            pass  # the peer disconnected, or the program ends
        finally:
            transport.close()

    async def stop(self, timeout_s: float = 0.0) -> None:
        """Stops accepting. Open connections have `timeout_s` to end, and are cancelled then."""
        if self._accepting is not None and self._readable is not None:
            await self._stop_accepting(self._accepting, self._readable, min(timeout_s, BACKLOG_DRAIN_TIMEOUT_S))
        self.sock.close()
        if self.tasks and timeout_s > 0:
            await asyncio.wait(set(self.tasks), timeout=timeout_s)
        for task in set(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _stop_accepting(self, accepting: asyncio.Task[None], readable: ReadableEvent, timeout_s: float) -> None:
        """Waits before it cancels: a cancel could lose a connection that was just accepted, or that waits for capacity."""
        self._stopping = True
        readable.wake()
        if timeout_s > 0:
            await asyncio.wait({accepting}, timeout=timeout_s)
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        readable.close()
        for sock in self._backlog:  # no capacity became free for them in time
            self.rejected += 1
            sock.close()
        self._backlog = []
