"""Stream sockets on asyncio's `sock_*` calls: the transport of one connection, and `connect`.

A transport that awaits its bytes reuses one receive buffer. `send` returns once the kernel has accepted every byte, and
nothing is read ahead of its consumer, so that a slow peer slows down its sender (backpressure).
"""

import asyncio
import fcntl
import socket
import struct
import termios
import time
from collections.abc import Callable

MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 4 * 1024, 64 * 1024  # a receive that fills its buffer gets a larger one
# Two fields of Linux's struct tcp_info, in milliseconds: tcpi_rto, which is never 0, and tcpi_last_data_recv.
TCP_INFO_TIMES = struct.Struct("8xI40xI")
C_INT = struct.Struct("i")
LINGER_RESET = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, 0 seconds; a close then sends a reset


class ReadableEvent:
    """Signals that a socket is readable without reading it: the bytes stay in the kernel until the owner reads them.

    A pending receive, in contrast, may have taken the bytes some iterations of the event loop before its task resumes.
    Cancelling the task or shutting the socket down in between loses them.
    """

    __slots__ = ("_sock", "_loop", "_future", "woken_at")

    def __init__(self, sock: socket.socket, loop: asyncio.AbstractEventLoop) -> None:
        self._sock, self._loop = sock, loop
        self.woken_at = time.monotonic()  # when the last wait ended
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
        self.woken_at = time.monotonic()
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
        "on_closed",
        "max_buffer_bytes",
        "_view",
        "_receive_bytes",
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
        self.max_buffer_bytes = MAX_BUFFER_BYTES
        self.on_closed: Callable[[], None] | None = None  # called once its descriptor is free
        self.idle_before_use_s: float | None = None  # idle time before the present use; None for a new connection
        self.last_used_at = self.loop.time()  # or when it was opened
        self._view: memoryview | None = None  # of the buffer of `receive`, which is allocated at the first one
        self._receive_bytes = MIN_BUFFER_BYTES  # that `receive_nowait` asks for

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
        if self.closed:
            raise ConnectionResetError("closed here")
        try:
            received = self.sock.recv(self._receive_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        if len(received) < self._receive_bytes:
            self._receive_bytes = MIN_BUFFER_BYTES
        else:
            self._receive_bytes = min(self.max_buffer_bytes, 4 * self._receive_bytes)
        return received

    def free_buffer(self) -> None:
        """Frees the buffer of a connection that will not receive for a while."""
        if not self._pending_calls:
            self._view = None

    def _buffer_view(self) -> memoryview:
        if self.closed:
            raise ConnectionResetError("closed here")
        if self._view is None:
            self._view = memoryview(bytearray(MIN_BUFFER_BYTES))
        return self._view

    def _received(self, view: memoryview, count: int) -> bytes:
        """The received bytes; adapts the buffer size to the traffic."""
        received = bytes(view[:count])
        if count == len(view) < self.max_buffer_bytes:  # a bulk transfer; token streams rarely need this
            self._view = memoryview(bytearray(min(self.max_buffer_bytes, 4 * count)))
        elif count < len(view) > MIN_BUFFER_BYTES:  # all was read; many idle connections must not keep large buffers
            self._view = memoryview(bytearray(MIN_BUFFER_BYTES))
        return received

    async def send(self, data: bytes | memoryview) -> None:
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
            self._close_socket()

    def _close_socket(self) -> None:
        self.sock.close()
        if self.on_closed is not None:
            self.on_closed()
            self.on_closed = None

    def has_pending_calls(self) -> bool:
        """Whether a receive or a send is under way: `close` frees the descriptor only when it ends."""
        return self._pending_calls > 0

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

    def age_of_last_byte_s(self) -> float:
        """How long ago the peer's last byte arrived, in seconds, read or not.

        The kernel tells it, by a monotonic clock of some milliseconds. Elsewhere it is the time since the event loop saw
        that the socket was readable.
        """
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_TIMES.size)
            retransmission_timeout, last_byte_ms = TCP_INFO_TIMES.unpack(info)
        except (OSError, AttributeError, struct.error):  # no such option, or a shorter structure
            retransmission_timeout = last_byte_ms = 0
        if retransmission_timeout:
            return float(last_byte_ms / 1000)
        return time.monotonic() - self.readable.woken_at

    def unread_bytes(self) -> int:
        """How many bytes have arrived that have not been read; 0 also where the system does not tell."""
        try:
            return int(C_INT.unpack(fcntl.ioctl(self.sock, termios.FIONREAD, bytes(C_INT.size)))[0])
        except OSError:
            return 0

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
            self._close_socket()
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
