"""Server-sent events in the subset that the OpenAI API uses: `data:` lines, and a blank line after each event.

Source: the HTML standard, section 9.2 'Server-sent events'; OpenAI API reference, 'Streaming'.
"""

import re

from ramppulley.wire.faults import BadMessage, PendingError, TooLarge

DONE = b"[DONE]"
FIELDS = b"data:", b":", b"event:", b"id:", b"retry:"
BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")  # after a line; each of the three sequences ends a line


class RawEventSplitter:
    """Splits a byte stream into whole events, unchanged, so that they can be forwarded.

    Malformed or oversized data is stored as an error in `fault`, not raised, so that the events before it can be forwarded
    first. Blank lines before an event belong to it.

    >>> splitter = RawEventSplitter()
    >>> splitter.feed(b"data: 1\\n\\ndata: 2\\n"), splitter.feed(b"\\n: x\\n\\n"), splitter.rest
    (b'data: 1\\n\\n', b'data: 2\\n\\n: x\\n\\n', b'')
    >>> splitter.feed(b"data: 3\\r\\n\\r\\n\\r\\ndata: 4\\r\\n"), splitter.feed(b"\\r\\n: x")
    (b'data: 3\\r\\n\\r\\n', b'\\r\\ndata: 4\\r\\n\\r\\n')
    >>> splitter.last()
    b': x'
    >>> splitter.feed(b"data: 5\\n\\nnoise\\n\\n"), bool(splitter.fault)
    (b'data: 5\\n\\n', True)
    """

    def __init__(self, max_event_bytes: int = 64 << 10) -> None:
        self.max_event_bytes, self.rest = max_event_bytes, b""
        self.fault = PendingError()

    def feed(self, data: bytes) -> bytes:
        """All events that `data` completes, concatenated, up to a malformed one."""
        whole, begin = self.rest + data if self.rest else data, 0
        for end in _event_ends(whole):
            event = whole[begin:end].lstrip(b"\r\n")
            if event and not event.startswith(FIELDS):
                self.fault.store(BadMessage("what came in the stream is no event"))
                break
            if event:
                begin = end
        self.rest = whole[begin:]
        if len(self.rest) > self.max_event_bytes:
            self.fault.store(TooLarge(f"an event is over {self.max_event_bytes} bytes", 502))
        return whole[:begin]

    def last(self) -> bytes:
        """The remainder at the end of the stream: comments and blank lines. Raises BadMessage if it is part of an event."""
        if any(line and not line.startswith(b":") for line in self.rest.splitlines()):
            raise BadMessage("the stream ended within an event")
        rest, self.rest = self.rest, b""
        return rest


def _event_ends(whole: bytes) -> list[int]:
    """The end offset of each event in `whole`, after its blank line."""
    if b"\r" in whole:
        return [blank.end() for blank in BLANK_LINE.finditer(whole)]
    ends, found = [], whole.find(b"\n\n")
    while found >= 0:
        ends.append(found + 2)
        found = whole.find(b"\n\n", found + 2)
    return ends


class EventDataSplitter:
    """Splits a byte stream into the data of whole events; a truncated event is never returned.

    >>> splitter = EventDataSplitter()
    >>> splitter.feed(b'data: {"a":1}\\n\\ndata: [DO'), splitter.feed(b"NE]\\r\\n\\r\\n"), splitter.rest
    ([b'{"a":1}'], [b'[DONE]'], b'')
    """

    def __init__(self, max_event_bytes: int = 1 << 20) -> None:
        self.max_event_bytes, self.rest = max_event_bytes, b""

    def feed(self, data: bytes) -> list[bytes]:
        """The data of each event that `data` completes; raises TooLarge for one over `max_event_bytes`."""
        whole = self.rest + data
        events = BLANK_LINE.split(whole) if b"\r" in whole else whole.split(b"\n\n")
        self.rest = events.pop()
        if len(self.rest) > self.max_event_bytes:
            raise TooLarge(f"an event is over {self.max_event_bytes} bytes", 502)
        found = []
        for event in events:
            lines = [line[5:].removeprefix(b" ") for line in event.splitlines() if line.startswith(b"data:")]
            if lines:
                found.append(lines[0] if len(lines) == 1 else b"\n".join(lines))
        return found


def event(data: bytes) -> bytes:
    """One event with this data.

    >>> event(b"[DONE]")
    b'data: [DONE]\\n\\n'
    """
    return b"data: " + data + b"\n\n"
