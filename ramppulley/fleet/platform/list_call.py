"""One call of discovery: the bytes of its answer, read as they come or at the very moment at which they are needed."""

import asyncio
from collections.abc import Callable

from ramppulley.fleet.platform.json_lines import MAX_TEXT_BYTES, JsonTextSplitter
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport


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


class ListCall:
    """The answer to one call. `on_line` gets each whole line, an empty one too; `silence_s`: from one to the next.

    Until it is read, what discovery has written stays in the socket. `read_now` reads it for whoever must know it before
    this call's own task has its turn.
    """

    def __init__(
        self, connection: Transport, on_line: Callable[[bytes], None], first_line_at: float, silence_s: float
    ) -> None:
        self.connection, self.on_line, self.silence_s = connection, on_line, silence_s
        self.deadline = ReadingDeadline(connection, first_line_at)
        self.parser, self.texts = http.AnswerParser(MAX_TEXT_BYTES), JsonTextSplitter()
        self.ended = False  # no further bytes are read
        self.fault: Exception | None = None  # that ended it, for its own task
        self._reading = False

    async def follow(self) -> None:
        """Reads till the answer ends; raises what ended it otherwise."""
        while not self.ended:
            await self.connection.readable.wait()
            self.read_now()
        if self.fault is not None:
            raise self.fault
        if self.deadline.passed:
            raise TimeoutError("no whole line in time")

    def close(self) -> None:
        """Ends the call."""
        self.ended = True
        self.deadline.clear()
        self.connection.close()
        self.parser.close()

    def read_now(self) -> None:
        """Takes over all that has been written by now. Raises nothing: a fault is for the call's own task."""
        if self._reading or self.ended:
            return
        self._reading = True
        try:
            while not self.ended and (data := self.connection.receive_nowait()) is not None:
                self._take(data)
        except Exception as fault:  # whoever asks is not to be ended by it
            self.fault, self.ended = fault, True
        finally:
            self._reading = False
        if self.ended:
            self.connection.readable.wake()

    def _take(self, data: bytes) -> None:
        """The next bytes; b"" at the end."""
        if not data:
            self.ended = True
        elif self._parse(data):
            self.deadline.put_off(asyncio.get_running_loop().time() + self.silence_s)
        self.ended = self.ended or self.parser.done

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
            self.on_line(text)
            any_line = True
        if fault is not None:
            raise fault
        if self.parser.done:
            for text in self.texts.end():
                self.on_line(text)
        return any_line
