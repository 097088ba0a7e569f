"""One client's connection as all HTTP fronts have it: whole requests in, and its end.

A connection is ended here and nowhere else. Its reading side is never shut: an idle one ends by a last look for bytes
and, where there are none, by a close in the same step of its task. So a request that came before the look is answered, and
one that comes behind it is never read: the close resets the connection, and its client may safely send it again elsewhere.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from ramppulley.service import permission
from ramppulley.wire import http
from ramppulley.wire.sockets import Transport

STALLED_TIMEOUT_S = (
    2.0  # without a byte within a request that has begun: its client is owed an answer 3 s after it stopped
)
LINGER_TIMEOUT_S, LINGER_MAX_BYTES = 0.4, 1 << 20  # how long, and how much of what, a client still sends is read
SEND_SLICE_BYTES = 16 << 10  # a client has to take some of so many bytes within its time
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

ClientConnections = dict[Transport, "ClientConnection"]


async def send(transport: Transport, data: bytes, timeout_s: float) -> None:
    """Sends all to a client; raises TimeoutError for one that has read nothing for `timeout_s` seconds: it has left."""
    for begin in range(0, len(data), SEND_SLICE_BYTES):
        async with asyncio.timeout(timeout_s):
            await transport.send(data[begin : begin + SEND_SLICE_BYTES])


class ClientConnection:
    """One client's socket and its parser."""

    def __init__(self, transport: Transport, parser: http.RequestParser) -> None:
        self.transport, self.parser, self.requests_served = transport, parser, 0
        self.ending, self.finished = False, False
        self.early_bytes = b""  # what came while a request waited for its answer, one buffer at most
        self.waiting_since = 0.0  # for its next bytes
        self.unanswered: http.Request | None = None  # read whole, its answer not ended
        self.answer_begun = False  # its first byte may have gone out

    def close(self) -> None:
        """Frees the parser; the listener closes the socket."""
        self.parser.close()

    def end(self) -> None:
        """Asks the task that waits for this connection's bytes to end it, unless some have come."""
        self.ending = True
        self.transport.readable.wake()

    def take(self) -> bytes | None:
        """The bytes that came; b"" at the end, also after a reset; None where there are none."""
        try:
            return self.transport.receive_nowait()
        except OSError:
            return b""

    async def next_request(
        self,
        idle_timeout_s: float,
        request_timeout_s: float,
        idle_connections: ClientConnections,
        stopping: Callable[[], bool],
    ) -> http.Request | None:
        """The next whole request; None at the end of the connection.

        Raises TimeoutError after `idle_timeout_s` without a byte, `request_timeout_s` for a request that has begun, or
        STALLED_TIMEOUT_S without a byte within it, and BadMessage. While it waits with nothing begun, it is in
        `idle_connections`.
        """
        loop, parser, began = asyncio.get_running_loop(), self.parser, None
        while not parser.ready:
            timeout_s = idle_timeout_s
            if parser.begun:
                began = began or loop.time()
                timeout_s = min(began + request_timeout_s - loop.time(), STALLED_TIMEOUT_S)
                if timeout_s <= 0:
                    raise TimeoutError
            elif stopping():
                self.ending = True
            data = await self._receive(timeout_s, {} if parser.begun else idle_connections)
            if not data:
                return None
            parser.feed(data)
            await self._confirm_expectation(request_timeout_s)
        self.requests_served += 1
        return parser.ready.popleft()

    async def _confirm_expectation(self, timeout_s: float) -> None:
        """Lets a client go on that waits for a word before it sends the body (Expect: 100-continue)."""
        if self.parser.wants_continue and not self.parser.ready:
            self.parser.wants_continue = False
            await send(self.transport, CONTINUE, timeout_s)

    async def _receive(self, timeout_s: float, waiting: ClientConnections) -> bytes:
        """The next bytes; b"" at the end of the connection or when it was asked to end; raises TimeoutError.

        The last look comes after the time-out and after the demand to end: what came in that very turn counts."""
        loop = asyncio.get_running_loop()
        self.waiting_since = loop.time()
        deadline = self.waiting_since + timeout_s
        while True:
            if not self.ending:
                await self._wait_for_bytes(deadline - loop.time(), waiting)
            timed_out = loop.time() >= deadline
            data = self.take()
            if permission.may_close_idle(bytes_waiting=data is not None) is not None:
                self.ending = False
                return data or b""
            if self.ending:
                return b""
            if timed_out:
                raise TimeoutError

    async def _wait_for_bytes(self, timeout_s: float, waiting: ClientConnections) -> None:
        waiting[self.transport] = self
        try:
            await asyncio.wait({self.transport.readable.wait()}, timeout=timeout_s)
        finally:
            waiting.pop(self.transport, None)

    async def wait_for(self, done: asyncio.Future[Any], timeout_s: float | None = None) -> bool:
        """Waits for this future, or for the client to act before, or so many seconds: whether the client is still there.
        It may have sent more."""
        waits, arrival = {done}, None
        if not self.early_bytes:  # else its next bytes stay unread
            arrival = self.transport.readable.wait()
            waits.add(arrival)
        await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        if arrival is None or not arrival.done():
            return True
        data = self.take()
        self.early_bytes = data or b""
        return data != b"" or done.done()

    def has_sent_more(self) -> bool:
        """Whether its client has sent, and so may still be sending, more than the requests that were answered."""
        return bool(self.early_bytes or self.parser.begun or self.parser.ready)

    async def finish(self, answer: bytes = b"") -> None:
        """Sends the last answer and ends the connection so that the answer arrives though the client still sends: a close
        over unread bytes would reset the connection, and what the client has not read yet would be lost."""
        if self.finished:
            return
        self.finished = True
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await self.transport.send(answer)
                self.transport.shutdown_write()
                await self._drop_what_comes()
        except (OSError, TimeoutError):
            pass

    async def _drop_what_comes(self) -> None:
        dropped_bytes = 0
        while dropped_bytes < LINGER_MAX_BYTES and not self.ending:
            await asyncio.wait({self.transport.readable.wait()})
            data = self.take()
            if data == b"":
                return
            dropped_bytes += len(data or b"")
