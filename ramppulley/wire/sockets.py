"""Stream sockets on asyncio's `sock_*` calls: the transport of one connection, `connect` and a listener.

Each transport reuses one receive buffer. `send` returns once the kernel has accepted every byte, and nothing is read ahead
of its consumer, so that a slow peer slows down its sender (backpressure).
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Self

MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 4 * 1024, 64 * 1024  # a receive that fills its buffer gets a larger one
LINGER_RESET = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, 0 seconds; a close then sends a reset
ACCEPT_PAUSE_S = 0.02  # after a failed accept
MAX_FAILED_ACCEPTS = 16  # in a row, while a listener stops
CLOSE_AFTER_EVICTION_TIMEOUT_S = 0.1  # how long an evicted connection has to close before another is evicted
BACKLOG_DRAIN_TIMEOUT_S = 0.5  # how long a listener that stops accepts the connections in its backlog


class ReadableEvent:
    """Signals that a socket is readable without reading it: the bytes stay in the kernel until the owner reads them.

    A pending receive, in contrast, may have taken the bytes some iterations of the event loop before its task resumes.
    Cancelling the task or shutting the socket down in between loses them.
    """

    __slots__ = ("_sock", "_loop", "_future")

    def __init__(self, sock: socket.socket, loop: asyncio.AbstractEventLoop) -> None:
        self._sock, self._loop = sock, loop
        self._future: asyncio.Future[None] | None = None

    def wait(self) -> asyncio.Future[None]:
        """A future that is done once bytes, the end of the stream or a reset can be read, or once `wake` is called."""
        if self._future is None or self._future.done():
            self._future = self._loop.create_future()
            self._loop.add_reader(self._sock, self.wake)
        return self._future

    def wake(self) -> None:
        """Ends the wait. Whether there is anything to read, only a read shows."""
        if self._future is None:
            return
        self._loop.remove_reader(self._sock)
        if not self._future.done():
            self._future.set_result(None)

    def close(self) -> None:
        """Must be called before the socket is closed."""
        self.wake()
        self._future = None


def _disable_nagle(sock: socket.socket) -> None:
    """Sends small writes at once. If the option cannot be set, for lack of memory, they are only delayed a little."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        pass  # reset already, or ENOBUFS, ENOMEM


class Transport:
    """One connected socket.

    It is read either by `receive` or by `readable.wait` and `receive_nowait`, not by both. All reads and `send` raise
    OSError.
    """

    __slots__ = (
        "sock",
        "loop",
        "readable",
        "closed",
        "opened_at",
        "last_used_at",
        "idle_before_use_s",
        "_view",
        "_pending_calls",
    )

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            _disable_nagle(sock)
        self.sock, self.loop, self.closed = sock, asyncio.get_running_loop(), False
        self.opened_at: float | None = None  # by the clock of the code that sets it
        self.readable = ReadableEvent(sock, self.loop)
        self._pending_calls = 0
        self.idle_before_use_s: float | None = None  # idle time before the present use; None for a new connection
        self.last_used_at = self.loop.time()  # or when it was opened
        self._view: memoryview | None = None  # of the receive buffer, which is allocated at the first read

    async def receive(self) -> bytes:
        """The next bytes; b"" at the end of the stream."""
        view = self._buffer_view()
        self._pending_calls += 1
        try:
            count = await self.loop.sock_recv_into(self.sock, view)
        finally:
            self._call_ended()
        return self._received(view, count)

    def receive_nowait(self) -> bytes | None:
        """The bytes that have arrived; b"" at the end of the stream, None where nothing has arrived."""
        view = self._buffer_view()
        try:
            count = self.sock.recv_into(view)
        except (BlockingIOError, InterruptedError):
            return None
        return self._received(view, count)

    def _buffer_view(self) -> memoryview:
        if self.closed:
            raise ConnectionResetError("closed here")
        if self._view is None:
            self._view = memoryview(bytearray(MIN_BUFFER_BYTES))
        return self._view

    def _received(self, view: memoryview, count: int) -> bytes:
        """The received bytes; adapts the buffer size to the traffic."""
        received = bytes(view[:count])
        if count == len(view) < MAX_BUFFER_BYTES:  # a bulk transfer; token streams rarely need this
            self._view = memoryview(bytearray(min(MAX_BUFFER_BYTES, 4 * count)))
        elif count < len(view) > MIN_BUFFER_BYTES:  # all was read; many idle connections must not keep large buffers
            self._view = memoryview(bytearray(MIN_BUFFER_BYTES))
        return received

    async def send(self, data: bytes) -> None:
        """Returns once the kernel has accepted all bytes."""
        if self.closed:
            raise ConnectionResetError("closed here")
        self._pending_calls += 1
        try:
            await self.loop.sock_sendall(self.sock, data)
        finally:
            self._call_ended()

    def _call_ended(self) -> None:
        self._pending_calls -= 1
        if self.closed and not self._pending_calls:
            self.sock.close()

    def is_quiet(self) -> bool:
        """Whether the peer has neither closed nor sent anything; an idle connection is reusable only then."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that have not been read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False  # nothing has arrived, or the connection was reset

    def shutdown_write(self) -> None:
        """Sends the end of the stream to the peer; what the peer still sends can be read."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # already disconnected

    def shutdown_read(self) -> None:
        """Ends a pending receive as if the peer had closed the connection; a pending send continues.

        Not for a client's connection: bytes that the client has already sent can still be read, and could not be
        distinguished from a request on an open connection.
        """
        try:
            self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass  # already disconnected

    def reset(self) -> None:
        """Closes with a reset, so that the peer learns at once that its data is no longer read."""
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            except OSError:
                pass  # already disconnected
        self.close()

    def close(self) -> None:
        """Closes the socket. If a call is pending on it, only shuts it down, and the call closes it when it ends.

        The descriptor must not be reused for another socket while the event loop still watches it.
        """
        if self.closed:
            return
        self.closed = True
        self.readable.close()
        if not self._pending_calls:
            self.sock.close()
            return
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # already disconnected: the pending call ends on its own


async def connect(host: str, port: int, timeout_s: float) -> Transport:
    """A transport to host:port; raises OSError (refused, unreachable) or TimeoutError."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (host, port))
        return Transport(sock)
    except BaseException:
        sock.close()
        raise


class Listener:
    """Accepts connections and runs `serve(transport)` in a task for each, at most `max_connections` at once.

    Beyond that limit a new connection is closed unserved, unless `free_capacity()` evicts another one. Then it is served
    once the evicted one has closed.
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
        self._task_ended: asyncio.Future[None] | None = None
        self._readable: ReadableEvent | None = None
        self._stopping = False
        self._backlog: list[socket.socket] = []  # accepted while stopping, and not served yet

    def start(self) -> Self:
        """Begins to accept; requires a running event loop."""
        loop = asyncio.get_running_loop()
        self._readable = ReadableEvent(self.sock, loop)
        self._start_accepting(self._readable)
        return self

    async def _accept(self, readable: ReadableEvent) -> None:
        """Runs until `stop`, and then serves the backlog, as the kernel has already accepted those connections."""
        while True:
            try:
                if not await self._accept_next(readable):
                    return
            except OSError as error:  # out of descriptors or memory, or the peer has disconnected already
                self.failed_accepts += 1
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self.free_capacity()  # else nothing could be accepted until a connection ends on its own
                await asyncio.sleep(ACCEPT_PAUSE_S)

    async def _accept_next(self, readable: ReadableEvent) -> bool:
        """Accepts one connection, or waits for one. Returns False once no more may come. Raises OSError."""
        if self._stopping:
            await self._serve_backlog(readable)
            return False
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            await readable.wait()
            return True
        await self._serve_or_reject(sock)
        await asyncio.sleep(0)  # lets the other tasks run, however many connections arrive
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
        task = asyncio.get_running_loop().create_task(self._run(transport))
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

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

        The descriptor of an evicted connection is released in a later iteration of the event loop. The new connection waits
        for that; otherwise a flood could hold more than `max_connections`.
        """
        while len(self.tasks) >= self.max_connections:
            if not self.free_capacity():
                return False
            self._task_ended = asyncio.get_running_loop().create_future()
            await asyncio.wait({self._task_ended}, timeout=CLOSE_AFTER_EVICTION_TIMEOUT_S)
        return True

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if self._task_ended is not None and not self._task_ended.done():
            self._task_ended.set_result(None)

    async def _run(self, transport: Transport) -> None:
        try:
            await self.serve(transport)
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
