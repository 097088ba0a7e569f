"""One call of discovery: the bytes of its answer, read as they come or at the very moment at which they are needed."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from ramppulley.fleet.platform.json_lines import MAX_TEXT_BYTES, JsonTextSplitter
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport, connect


class ReadingDeadline:
    """Ends a connection at a time that can be put off; what its peer had sent by then is still read.

    A time-out that cancels the receive loses the bytes that were taken from the socket in the same turn of the loop.
    """

    def __init__(self, connection: Transport, when: float) -> None:
        self.connection, self.passed = connection, False
        self.timer = connection.loop.call_at(when, self._pass)

    def put_off(self, when: float) -> None:
        """Another deadline in place of this one, unless it has passed."""
        self.timer.cancel()
        if not self.passed:
            self.timer = self.connection.loop.call_at(when, self._pass)

    def clear(self) -> None:
        """The connection ends otherwise."""
        self.timer.cancel()

    def _pass(self) -> None:
        self.passed = True
        self.connection.shutdown_read()
        self.connection.shutdown_write()


class CallTimeouts(Protocol):
    """Bounds of one call, in seconds."""

    @property
    def connect_s(self) -> float: ...
    @property
    def slow_line_s(self) -> float: ...
    @property
    def silence_s(self) -> float: ...


class ListCall:
    """One call and its answer. `on_line(call, text)` gets each whole line, an empty one too.

    Until it is read, what discovery has written stays in the socket. `read_now` reads it for whoever must know it before
    this call's own task has its turn.
    """

    def __init__(self, address: platform.Address, on_line: Callable[["ListCall", bytes], None]) -> None:
        self.address, self.on_line = address, on_line
        self.connection: Transport | None = None  # while there is one
        self.parser, self.texts = http.AnswerParser(MAX_TEXT_BYTES), JsonTextSplitter()
        self.task: asyncio.Task[None] | None = None  # that follows it
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # done once nothing more is read
        self.reason = ""  # why it is over
        self._ended = False  # no further bytes are read
        self._fault: Exception | None = None  # that ended it, for its own task
        self._deadline: ReadingDeadline | None = None
        self._silence_s = 0.0
        self._reading = False

    async def follow(self, timeouts: CallTimeouts, on_asked: Callable[[], None]) -> None:
        """Calls, and reads till the answer ends; raises OSError, TimeoutError or BadMessage for any other end."""
        first_line_at = asyncio.get_running_loop().time() + timeouts.slow_line_s
        connection = await connect(*self.address, timeouts.connect_s)
        self._silence_s = timeouts.silence_s
        self._deadline = ReadingDeadline(connection, first_line_at)
        self.connection = connection
        await connection.send(self._request())
        on_asked()
        while not self._ended:
            await connection.readable.wait()
            self.read_now()
        if self._fault is not None:
            raise self._fault
        if self._deadline.passed:
            raise TimeoutError("no whole line in time")

    def _request(self) -> bytes:
        """from=0: the whole list, at once. Any other version may be one of another history (discovery moved, or began
        anew) in which nothing follows it, though all is different."""
        host, port = self.address
        return http.request("GET", f"{platform.LIST}?watch=1&from=0", {"host": f"{host}:{port}"})

    def cancel(self) -> None:
        """It is not needed any more: nothing that it brings is handed on."""
        self._ended = True
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def close(self) -> None:
        """The end of its task."""
        self._ended = True
        if self._deadline is not None:
            self._deadline.clear()
        if self.connection is not None:
            self.connection.close()
        self.parser.close()
        if not self.over.done():
            self.over.set_result(None)

    def read_now(self) -> None:
        """Takes over all that has been written by now. Raises nothing: a fault is for the call's own task."""
        connection = self.connection
        if self._reading or self._ended or connection is None:
            return
        self._reading = True
        try:
            while not self._ended and (data := connection.receive_nowait()) is not None:
                self._take(data)
        except Exception as fault:  # whoever asks is not to be ended by it
            self._fault, self._ended = fault, True
        finally:
            self._reading = False
        if self._ended:
            connection.readable.wake()

    def _take(self, data: bytes) -> None:
        """The next bytes; b"" at the end."""
        if not data:
            self._ended = True
        elif self._parse(data) and self._deadline is not None:
            self._deadline.put_off(asyncio.get_running_loop().time() + self._silence_s)
        self._ended = self._ended or self.parser.done

    def _parse(self, data: bytes) -> bool:
        """Hands on the lines that are whole with these bytes, also those before a fault; whether there was one."""
        fault, any_line = None, False
        try:
            self.parser.feed(data)
        except BadMessage as met:
            fault = met
        if self.parser.status not in (0, 200):
            raise BadMessage(f"status {self.parser.status}")
        for text in self.texts.feed(self.parser.take()):
            self.on_line(self, text)
            any_line = True
        if fault is not None:
            raise fault
        if self.parser.done:
            for text in self.texts.end():
                self.on_line(self, text)
        return any_line
