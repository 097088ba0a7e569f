"""One HTTP call to discovery, whose response is read as it arrives or on demand, before a decision needs it."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from ramppulley.fleet.platform.json_lines import MAX_TEXT_BYTES, JsonTextSplitter
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage, PendingError
from ramppulley.wire.sockets import Transport, connect

READ_BUDGET_S = 0.004  # what one iteration of the event loop spends on a call's response
READ_NOW_BUDGET_S = 0.05  # what a decision spends that needs all of it
READ_NOW_PAUSE = 3  # until the next decision may, times what the last one spent: discovery may send without a pause
MAX_BUFFER_BYTES = 8 * 1024  # of one receive


class ReadDeadline:
    """Shuts a connection down at a time that can be postponed; bytes that the peer sent before that are still read.

    A timeout that cancels the receive would lose bytes taken from the socket in the same event loop iteration.
    """

    def __init__(self, connection: Transport, when: float) -> None:
        self.connection, self.expired = connection, False
        self.timer = connection.loop.call_at(when, self._expire)

    def postpone(self, when: float) -> None:
        """Replaces the deadline, unless it has expired."""
        self.timer.cancel()
        if not self.expired:
            self.timer = self.connection.loop.call_at(when, self._expire)

    def disarm(self) -> None:
        """Cancels the timer: the connection ends for another reason."""
        self.timer.cancel()

    def _expire(self) -> None:
        self.expired = True
        self.connection.shutdown_read()
        self.connection.shutdown_write()


class CallTimeouts(Protocol):
    """Timeouts of one call, in seconds."""

    @property
    def connect_s(self) -> float: ...
    @property
    def slow_line_s(self) -> float: ...
    @property
    def silence_s(self) -> float: ...


class ListCall:
    """One call and its response. `on_line(call, text)` gets each complete text, also an empty one; `on_read_end()` is called
    after each read, once all the texts that it completed have been delivered.

    What discovery has written stays in the socket buffer until it is read. `read_now` reads it for callers that need it
    before this call's own task runs.
    """

    def __init__(
        self,
        address: platform.Address,
        on_line: Callable[["ListCall", bytes], None],
        on_read_end: Callable[[], None],
    ) -> None:
        self.address, self.on_line, self.on_read_end = address, on_line, on_read_end
        self.connection: Transport | None = None  # None until connected
        self.parser, self.texts = http.ResponseParser(MAX_TEXT_BYTES), JsonTextSplitter()
        self.task: asyncio.Task[None] | None = None  # that runs `follow`
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # done once reading has ended
        self.end_reason = ""
        self._ended = False  # set when no further bytes are to be read
        self._fault = PendingError()  # that ended the call; raised in its own task
        self._deadline: ReadDeadline | None = None
        self._silence_s = 0.0
        self._reading = False  # whether `read_now` is running: `on_line` may lead to another call of it
        self._next_read_now_at = 0.0  # monotonic time

    async def follow(self, timeouts: CallTimeouts, on_request_sent: Callable[[], None]) -> None:
        """Sends the request and reads until the response ends; raises OSError, TimeoutError or BadMessage otherwise."""
        first_line_at = asyncio.get_running_loop().time() + timeouts.slow_line_s
        connection = await connect(*self.address, timeouts.connect_s)
        connection.max_buffer_bytes = MAX_BUFFER_BYTES
        self._silence_s = timeouts.silence_s
        self._deadline = ReadDeadline(connection, first_line_at)
        self.connection = connection
        await connection.send(self._request())
        on_request_sent()
        while not self._ended:
            await connection.readable.wait()
            spent_s = self._read(READ_BUDGET_S)
            # Other tasks run, however fast discovery sends.
            await asyncio.sleep(spent_s if spent_s >= READ_BUDGET_S else 0)
        self._fault.raise_stored()
        if self._deadline.expired:
            raise TimeoutError("no complete line before the timeout")

    def _request(self) -> bytes:
        """Asks with from=0 for the whole list at once. Any other version may belong to another history (discovery moved or
        restarted), in which nothing follows it although the list differs."""
        host, port = self.address
        return http.request("GET", f"{platform.LIST}?watch=1&from=0", {"host": f"{host}:{port}"})

    def cancel(self) -> None:
        """Stops the call; none of its further data is delivered."""
        self._ended = True
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def close(self) -> None:
        """Releases the connection when the task of the call ends."""
        self._ended = True
        if self._deadline is not None:
            self._deadline.disarm()
        if self.connection is not None:
            self.connection.close()
        self.parser.close()
        self._fault.discard()  # a call that was cancelled has not raised it
        self.task = None  # a cancelled task refers to this call by the traceback of its error
        if not self.finished.done():
            self.finished.set_result(None)

    def read_now(self) -> None:
        """Processes what had arrived before this call, for READ_NOW_BUDGET_S at the most. Raises nothing: an error is raised
        in the call's own task."""
        now = time.monotonic()
        if self.connection is None or self._reading or self._ended or now < self._next_read_now_at:
            return
        spent_s = self._read(READ_NOW_BUDGET_S, self.connection.unread_bytes())
        self._next_read_now_at = now + (1 + READ_NOW_PAUSE) * spent_s

    def _read(self, budget_s: float, max_bytes: int = 0) -> float:
        """Processes what has arrived, or about `max_bytes` of it, until the budget is spent.

        Returns what was spent of the budget, and not more: the process may have been suspended meanwhile.
        """
        connection, began = self.connection, time.monotonic()
        if self._reading or self._ended or connection is None:
            return 0.0
        self._reading = True
        try:
            self._process_received(connection, began + budget_s, max_bytes)
            self.on_read_end()
        finally:
            self._reading = False
        if self._ended:
            connection.readable.wake()
        return min(budget_s, time.monotonic() - began)

    def _process_received(self, connection: Transport, until: float, max_bytes: int) -> None:
        """As `_read`; an error ends the call and is raised in its own task."""
        read_bytes = 0
        try:
            while not self._ended and (data := connection.receive_nowait()) is not None:
                self._process(data)
                read_bytes += len(data)
                if time.monotonic() >= until or (max_bytes and read_bytes >= max_bytes):
                    break
        except Exception as fault:  # the caller must not fail because of it
            self._fault.store(fault)
            self._ended = True

    def _process(self, data: bytes) -> None:
        """Processes received bytes; b"" means end of stream."""
        if not data:
            self._ended = True
        elif self._parse(data) and self._deadline is not None:
            self._deadline.postpone(asyncio.get_running_loop().time() + self._silence_s)
        self._ended = self._ended or self.parser.done

    def _parse(self, data: bytes) -> bool:
        """Delivers the lines that these bytes complete, also those before an error; returns whether there was one."""
        fault, got_line = PendingError(), False
        try:
            self.parser.feed(data)
        except BadMessage as error:
            fault.store(error)
        if self.parser.status not in (0, 200):
            raise BadMessage(f"discovery answered with status {self.parser.status}")
        for text in self.texts.feed(self.parser.take()):
            self.on_line(self, text)
            got_line = True
        fault.raise_stored()
        if self.parser.done:
            for text in self.texts.end():
                self.on_line(self, text)
        return got_line
