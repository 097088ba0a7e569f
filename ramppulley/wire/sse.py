"""Server-sent events in the subset that the OpenAI API uses: `data:` lines, and a blank line after each event.

Source: the HTML standard, section 9.2 'Server-sent events'; OpenAI API reference, 'Streaming'.
"""

import re

from ramppulley.wire.faults import BadMessage, PendingError, TooLarge

DONE = b"[DONE]"
FIELDS = b"data:", b":", b"event:", b"id:", b"retry:"
LINE_ENDS = re.compile(rb"[\r\n]*")
MAX_OPEN_LINE_END_BYTES = 2  # at the end of what was received, a part of a blank line
DATA = re.compile(rb"(?<![^\r\n])data:[ \t]*[^ \t\r\n]")  # a line of data that is not blank
DONE_EVENT = re.compile(rb"(?<![^\r\n])data:[ \t]*\[DONE\]")
DATA_FIELD = b"data: "
MAX_FIELDS_BEFORE_DATA_BYTES = 256  # of an unfinished event, in which its data is looked for
BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")  # after a line; each of the three sequences ends a line


class _EventBuffer:
    """The bytes of a stream, and the ends of its events.

    It looks at each byte a few times at the most, whatever the bytes are and however they are divided into receives: a
    search goes on where the last one stopped.
    """

    def __init__(self) -> None:
        self.bytes = bytearray()
        self._first_line = 0  # offset of the present event behind the blank lines before it
        self._searched = 0  # the blank line behind the present event does not begin before this offset

    def next_event(self) -> tuple[int, int] | None:
        """Offsets of the next event's first line and of its end, behind the blank line; None if none is whole."""
        self._first_line = _offset_behind(LINE_ENDS, self.bytes, self._first_line)
        blank = BLANK_LINE.search(self.bytes, max(self._first_line, self._searched))
        if blank is None:
            self._searched = len(self.bytes) - MAX_OPEN_LINE_END_BYTES
            return None
        found = self._first_line, blank.end()
        self._first_line = self._searched = blank.end()
        return found

    def has_open_data(self) -> bool:
        """Whether what follows the last whole block has data that is not blank."""
        return DATA.search(self.bytes, self._first_line, self._first_line + MAX_FIELDS_BEFORE_DATA_BYTES) is not None

    def may_begin_data(self) -> bool:
        """Whether what follows the last whole block is the beginning of a field of data."""
        begin = _offset_behind(LINE_ENDS, self.bytes, self._first_line)
        return begin < len(self.bytes) and DATA_FIELD.startswith(self.bytes[begin : begin + len(DATA_FIELD) + 1])

    def take(self, end: int) -> bytes:
        """Removes the bytes up to this offset, and returns them."""
        taken = bytes(memoryview(self.bytes)[:end])
        del self.bytes[:end]
        self._first_line -= end
        self._searched -= end
        return taken

    def drop_blank_lines(self) -> None:
        """Removes the blank lines before the present event."""
        self.take(self._first_line)


def _offset_behind(pattern: re.Pattern[bytes], data: bytearray, offset: int) -> int:
    """The offset behind what this pattern, which may be empty, matches at `offset`."""
    match = pattern.match(data, offset)
    return match.end() if match else offset


class RawEventSplitter:
    """Splits a byte stream into whole events, unchanged, so that they can be forwarded.

    Malformed or oversized data is stored as an error in `fault`, not raised, so that the events before it can be forwarded
    first. Blank lines before an event belong to it. `event_count` counts the events with data: a client is given nothing
    for a block of comments or of other fields (HTML standard, section 9.2.6), and has no use for blank data. Nor does it
    count what comes behind [DONE], which ends the events.

    >>> splitter = RawEventSplitter()
    >>> splitter.feed(b"data: 1\\n\\ndata: 2\\n"), splitter.feed(b"\\n: x\\n\\n"), splitter.rest
    (b'data: 1\\n\\n', b'data: 2\\n\\n: x\\n\\n', b'')
    >>> splitter.feed(b"data: 3\\r\\n\\r\\n\\r\\ndata: 4\\r\\n"), splitter.feed(b"\\r\\n: x")
    (b'data: 3\\r\\n\\r\\n', b'\\r\\ndata: 4\\r\\n\\r\\n')
    >>> splitter.last()
    b': x'
    >>> splitter.feed(b"data: 5\\n\\nnoise\\n\\n"), bool(splitter.fault), splitter.event_count
    (b'data: 5\\n\\n', True, 5)
    """

    def __init__(self, max_event_bytes: int = 64 << 10) -> None:
        self.max_event_bytes, self._buffer = max_event_bytes, _EventBuffer()
        self.fault = PendingError()
        self.event_count = 0
        self._follows_event = True  # no block without data has come since the last event
        self._done = False

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return bytes(self._buffer.bytes)

    def held_bytes(self) -> int:
        """How many bytes of an event that is not whole yet have come."""
        return len(self._buffer.bytes)

    def feed(self, data: bytes) -> bytes:
        """All events that `data` completes, concatenated, up to a malformed one."""
        buffer, whole_bytes = self._buffer, 0
        buffer.bytes += data
        while (event := buffer.next_event()) is not None:
            first_line, end = event
            if not buffer.bytes.startswith(FIELDS, first_line):
                self.fault.store(BadMessage("what came in the stream is no event"))
                break
            self._count(first_line, end)
            whole_bytes = end
        events = buffer.take(whole_bytes)
        if len(buffer.bytes) > self.max_event_bytes:
            self.fault.store(TooLarge(f"an event is over {self.max_event_bytes} bytes", 502))
        return events

    def _count(self, first_line: int, end: int) -> None:
        """Counts a whole block that has data, unless the events have ended."""
        self._follows_event = not self._done and DATA.search(self._buffer.bytes, first_line, end) is not None
        if not self._follows_event:
            return
        self.event_count += 1
        self._done = DONE_EVENT.search(self._buffer.bytes, first_line, end) is not None

    def has_open_event(self) -> bool:
        """Whether an event has begun that is not whole yet.

        Blocks without data begin like events, so behind one of them only data counts.
        """
        if self._done:
            return False
        return self._buffer.has_open_data() or (self._follows_event and self._buffer.may_begin_data())

    def last(self) -> bytes:
        """The remainder at the end of the stream: comments and blank lines. Raises BadMessage if it is part of an event."""
        rest = self._buffer.take(len(self._buffer.bytes))
        if any(line and not line.startswith(b":") for line in rest.splitlines()):
            raise BadMessage("the stream ended within an event")
        return rest


class EventDataSplitter:
    """Splits a byte stream into the data of whole events; a truncated event is never returned.

    >>> splitter = EventDataSplitter()
    >>> splitter.feed(b'data: {"a":1}\\n\\ndata: [DO'), splitter.feed(b"NE]\\r\\n\\r\\n"), splitter.rest
    ([b'{"a":1}'], [b'[DONE]'], b'')
    """

    def __init__(self, max_event_bytes: int = 1 << 20) -> None:
        self.max_event_bytes, self._buffer = max_event_bytes, _EventBuffer()

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return bytes(self._buffer.bytes)

    def feed(self, data: bytes) -> list[bytes]:
        """The data of each event that `data` completes; raises TooLarge for one over `max_event_bytes`."""
        buffer, found, whole_bytes = self._buffer, [], 0
        buffer.bytes += data
        while (event := buffer.next_event()) is not None:
            first_line, whole_bytes = event
            lines = _data_lines(bytes(memoryview(buffer.bytes)[first_line:whole_bytes]))
            if lines:
                found.append(lines[0] if len(lines) == 1 else b"\n".join(lines))
        buffer.take(whole_bytes)
        buffer.drop_blank_lines()
        if len(buffer.bytes) > self.max_event_bytes:
            raise TooLarge(f"an event is over {self.max_event_bytes} bytes", 502)
        return found

    def has_open_event(self) -> bool:
        """Whether an event with data has begun that is not whole yet."""
        return self._buffer.has_open_data()


def _data_lines(event: bytes) -> list[bytes]:
    """The values of an event's data fields."""
    return [line[5:].removeprefix(b" ") for line in event.splitlines() if line.startswith(b"data:")]


def event(data: bytes) -> bytes:
    """One event with this data.

    >>> event(b"[DONE]")
    b'data: [DONE]\\n\\n'
    """
    return b"data: " + data + b"\n\n"
