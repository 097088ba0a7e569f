"""A client connection of the HTTP fronts: reads whole requests and closes the connection.

Connections are closed only here. The read side is never shut down: an idle connection is checked for received bytes a last
time and, if there are none, closed without awaiting in between. A request that arrived before this check is answered. One
that arrives later is never read: the close resets the connection, and the client may safely send the request elsewhere.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from ramppulley.service import memory, permission
from ramppulley.service.memory import MemoryAccount, MemoryBudget, MemoryUse
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage, PendingError
from ramppulley.wire.read_scheduler import ReadScheduler
from ramppulley.wire.sockets import MIN_BUFFER_BYTES, Transport

# maximum time without a byte within a request; a client that stops there must be answered within 3 s
STALLED_TIMEOUT_S = 2.0
LINGER_TIMEOUT_S, LINGER_MAX_BYTES = 0.4, 1 << 20  # limits on reading what a client still sends after its last answer
SEND_SLICE_BYTES = 16 << 10  # the send timeout applies to each slice of this size
# What one iteration of the event loop spends on reading requests: on their first reads, and on the others.
FIRST_READ_BUDGET_S, FURTHER_READ_BUDGET_S = 0.004, 0.004
READ_QUANTUM_S = 0.00025  # for which one connection is read before the others have their turn
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

ClientConnections = dict[Transport, "ClientConnection"]


async def send(transport: Transport, data: bytes, timeout_s: float) -> None:
    """Sends all data; raises TimeoutError if the client does not accept a slice within `timeout_s`: it counts as gone."""
    view = memoryview(data)
    for begin in range(0, len(data), SEND_SLICE_BYTES):
        async with asyncio.timeout(timeout_s):
            await transport.send(view[begin : begin + SEND_SLICE_BYTES])


class ClientReads:
    """Schedules the reads of all connections of a front.

    The first read of a request, which is all that most requests need, does not wait behind the rest of large ones.
    """

    def __init__(self) -> None:
        self.first, self.further = ReadScheduler(FIRST_READ_BUDGET_S), ReadScheduler(FURTHER_READ_BUDGET_S)


class ClientConnection:
    """One client's socket and its parser.

    `reads` and `budget` are shared by all connections of a front. `on_growth` is called when a pool holds too much since
    this connection has received more; it refuses this connection or others.
    """

    def __init__(
        self,
        transport: Transport,
        parser: http.RequestParser,
        reads: ClientReads,
        budget: MemoryBudget | None = None,
        on_growth: Callable[["ClientConnection"], None] = lambda connection: None,
    ) -> None:
        transport.max_buffer_bytes = MIN_BUFFER_BYTES  # the least that a turn of `reads` takes
        self.transport, self.parser, self.requests_served = transport, parser, 0
        self._reads, self._fault, self._ended, self._dropped_bytes = reads, PendingError(), False, 0
        self.account, self._on_growth = MemoryAccount(budget or MemoryBudget()), on_growth
        self.connection_account = MemoryAccount(self.account.budget)  # of the connection itself, while it is open
        self.connection_account.hold(MemoryUse(requests=memory.CONNECTION_BYTES))
        self.end_requested, self.finished = False, False
        self.early_bytes = b""  # received while a request waited for its answer; one buffer at most
        self.waiting_since = 0.0  # when the wait for its next bytes began
        self.unanswered: http.Request | None = None  # received completely, but not answered completely
        self.answer_begun = False  # its first byte may have been sent
        self.accepted = False  # the core has the request
        self.request_began = 0.0  # when the first part of an incomplete request was seen

    def close(self) -> None:
        """Frees the parser and what it holds. The listener closes the socket."""
        self.parser.close()
        self._fault.discard()
        self.account.close()

    def refuse(self, fault: BadMessage) -> None:
        """Frees what has been received of an incomplete request. The task that reads this connection raises the fault."""
        self.parser.close()
        self.account.close()
        self._fault.store(fault)
        self.transport.readable.wake()

    def update_account(self) -> None:
        """Charges what this connection holds: what is received, and the request that is being answered."""
        parser = self.parser
        uses = [memory.use_of_request(parser.open_head_memory_bytes(), parser.open_body_bytes())]
        uses += [memory.use_of_request(request.head_memory_bytes, len(request.body)) for request in parser.ready]
        if self.unanswered is not None:
            uses.append(memory.use_of_request(self.unanswered.head_memory_bytes, len(self.unanswered.body)))
        if self.accepted:
            uses.append(MemoryUse(requests=memory.REQUEST_BYTES))
        self.account.hold(memory.sum_of(uses))

    def exceeds_pool(self) -> bool:
        """Whether a pool holds too much of what this connection has received, for a body as large as its head says."""
        return self.account.exceeds_pool(self.parser.announced_body_bytes())

    def end(self) -> None:
        """Asks the task that reads this connection to close it, unless bytes have arrived."""
        self.end_requested = True
        self.transport.readable.wake()

    def evict(self) -> None:
        """Closes the connection: now, unless an answer is being sent; then its task closes it. The caller has checked that
        no bytes have arrived."""
        self.end()
        if not self.transport.has_pending_calls():
            self.transport.close()

    def receive_available(self) -> bytes | None:
        """The bytes received; b"" at the end of the connection or after a reset; None if there are none."""
        try:
            return self.transport.receive_nowait()
        except OSError:
            return b""

    async def next_request(
        self,
        idle_timeout_s: float,
        request_timeout_s: float,
        idle_connections: ClientConnections,
        partial_requests: ClientConnections,
        stopping: Callable[[], bool],
    ) -> http.Request | None:
        """The next whole request, or None at the end of the connection.

        Raises BadMessage, and TimeoutError after `idle_timeout_s` without a byte, `request_timeout_s` from the start of
        a request, or STALLED_TIMEOUT_S without a byte within a request. While the connection waits between requests, it
        is in `idle_connections`; once a part of a request has come, it is in `partial_requests`.
        """
        loop, parser = asyncio.get_running_loop(), self.parser
        try:
            while not parser.ready:
                timeout_s = idle_timeout_s
                if parser.begun:
                    self._begin_request(partial_requests)
                    timeout_s = min(self.request_began + request_timeout_s - loop.time(), STALLED_TIMEOUT_S)
                    if timeout_s <= 0:
                        raise TimeoutError
                elif stopping():
                    self.end_requested = True
                if not await self._receive(timeout_s, {} if parser.begun else idle_connections):
                    return None
                await self._confirm_expectation(request_timeout_s)
        finally:
            partial_requests.pop(self.transport, None)
        self.requests_served += 1
        return parser.ready.popleft()

    def _begin_request(self, partial_requests: ClientConnections) -> None:
        """A part of a request has come."""
        if self.transport not in partial_requests:
            partial_requests[self.transport] = self
            self.request_began = asyncio.get_running_loop().time()

    async def _confirm_expectation(self, timeout_s: float) -> None:
        """Sends 100 Continue to a client that waits for it before it sends the body."""
        if self.parser.wants_continue and not self.parser.ready:
            self.parser.wants_continue = False
            await send(self.transport, CONTINUE, timeout_s)

    async def _receive(self, timeout_s: float, waiting: ClientConnections) -> bool:
        """Reads and parses the next bytes; returns False at the end of the connection or after `end()`.

        Raises BadMessage or TimeoutError. The socket is checked once more after a timeout or `end()`, as bytes may have
        arrived in the same loop iteration."""
        loop = asyncio.get_running_loop()
        self.waiting_since = loop.time()
        deadline = self.waiting_since + timeout_s
        while not self.parser.unparsed and not self._fault:
            readable = not self.end_requested and await self._wait_for_bytes(deadline - loop.time(), waiting)
            timed_out = loop.time() >= deadline
            if readable and not self.end_requested and not timed_out:
                break
            if permission.may_close_idle(bytes_waiting=not self.transport.is_quiet()) is not None:
                self.end_requested = False
                break
            if self.end_requested:
                return False
            if timed_out:
                raise TimeoutError
        await (self._reads.further if self.parser.begun else self._reads.first).run(self._read)
        self._fault.raise_stored()
        return bool(self.parser.ready) or not self._ended

    def _read(self) -> None:
        """Receives and parses until a request is complete, nothing more has arrived, or READ_QUANTUM_S is over."""
        if self._fault:
            return
        self.waiting_since = asyncio.get_running_loop().time()
        until = time.monotonic() + READ_QUANTUM_S
        try:
            while self._read_slice() and not self.parser.ready and time.monotonic() < until:
                pass
        except BadMessage as fault:
            self._fault.store(fault)
        self.update_account()
        if self.exceeds_pool():
            self._on_growth(self)

    def _read_slice(self) -> bool:
        """Parses one slice; returns whether there was one. Raises BadMessage."""
        if self.parser.unparsed:
            self.parser.resume()
            return True
        data = self.receive_available()
        if data:
            self.parser.feed(data)
        self._ended = data == b""
        return bool(data)

    async def _wait_for_bytes(self, timeout_s: float, waiting: ClientConnections) -> bool:
        """Returns whether the wait ended before the timeout."""
        waiting[self.transport] = self
        try:
            done, _ = await asyncio.wait({self.transport.readable.wait()}, timeout=timeout_s)
            return bool(done)
        finally:
            waiting.pop(self.transport, None)

    async def wait_for(self, done: asyncio.Future[Any], timeout_s: float | None = None) -> bool:
        """Waits until `done` is done, the client sends bytes or closes, or the timeout expires. Returns whether the client
        is still connected; bytes that it sent are in `early_bytes`."""
        futures, arrival = {done}, None
        if not self.early_bytes:  # the buffer is limited: further bytes stay in the socket
            arrival = self.transport.readable.wait()
            futures.add(arrival)
        await asyncio.wait(futures, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        if arrival is None or not arrival.done():
            return True
        data = self.receive_available()
        self.early_bytes = data or b""
        return data != b"" or done.done()

    def has_sent_more(self) -> bool:
        """Whether the client has sent bytes beyond the answered requests, and so may still be sending."""
        return bool(self.early_bytes or self.parser.has_more())

    async def finish(self, answer: bytes = b"") -> None:
        """Sends the last answer and shuts the connection down, while reading and discarding input for a limited time.
        Closing with unread bytes would reset the connection, and the client could lose the answer."""
        if self.finished:
            return
        self.finished = True
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await self.transport.send(answer)
                self.transport.shutdown_write()
                await self._discard_input()
        except (OSError, TimeoutError):
            pass

    async def _discard_input(self) -> None:
        self._dropped_bytes = 0
        while self._dropped_bytes < LINGER_MAX_BYTES and not self.end_requested and not self._ended:
            await asyncio.wait({self.transport.readable.wait()})
            await self._reads.further.run(self._drop_received)

    def _drop_received(self) -> None:
        until = time.monotonic() + READ_QUANTUM_S
        while (data := self.receive_available()) and time.monotonic() < until:
            self._dropped_bytes += len(data)
        self._ended = data == b""
