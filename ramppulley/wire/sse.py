"""Server-sent events, as far as the OpenAI API uses them: `data:` lines, a blank line after each event.

Source: the HTML standard, section 9.2 'Server-sent events'; OpenAI API reference, 'Streaming'.
"""
from ramppulley.wire.faults import TooLarge

DONE = b"[DONE]"


class Splitter:
    """Cuts a byte stream into whole events, so that one that breaks off is never passed on.

    >>> splitter = Splitter()
    >>> splitter.feed(b'data: {"a":1}\\n\\ndata: [DO'), splitter.feed(b"NE]\\r\\n\\r\\n"), splitter.rest
    ([b'{"a":1}'], [b'[DONE]'], b'')
    """

    def __init__(self, most=1 << 20):
        self.most, self.rest = most, b""

    def feed(self, data):
        """The data of each event that `data` completes; raises TooLarge for one over `most` bytes."""
        whole = self.rest + data
        if b"\r" in whole:
            whole = whole.replace(b"\r\n", b"\n")
        events = whole.split(b"\n\n")
        self.rest = events.pop()
        if len(self.rest) > self.most:
            raise TooLarge(f"an event is over {self.most} bytes", 502)
        found = []
        for event in events:
            lines = [line[5:].removeprefix(b" ") for line in event.split(b"\n") if line.startswith(b"data:")]
            if lines:
                found.append(lines[0] if len(lines) == 1 else b"\n".join(lines))
        return found


def event(data):
    """
    >>> event(b"[DONE]")
    b'data: [DONE]\\n\\n'
    """
    return b"data: " + data + b"\n\n"
