"""Splits the response of the watch into JSON texts, one per update; a text may be indented over many lines."""

import re
from collections.abc import Iterator

from ramppulley.wire.faults import TooLarge

# Fits 3,200 workers, indented, with long names; invalid input of this size briefly takes 60 MB.
MAX_TEXT_BYTES = 2 << 20
# Also matches an unterminated string, so that no text is scanned twice.
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?')


class JsonTextSplitter:
    """Turns response bytes into complete JSON texts, with an empty text for each empty line. Texts may be indented."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of the incomplete text
        self.pieces: list[bytes] = []  # of the incomplete line
        self.size, self.depth = 0, 0  # bytes of the text; open brackets after its last complete line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the texts that these bytes complete; raises TooLarge."""
        for number, piece in enumerate(data.split(b"\n")):
            if number and (text := self._end_line()) is not None:
                yield text
            self.pieces.append(piece)
            self.size += len(piece)
        if self.size > MAX_TEXT_BYTES:
            raise TooLarge("an update of the list is too large")

    def end(self) -> Iterator[bytes]:
        """Yields the last text of a complete response, which needs no line end."""
        if b"".join(self.pieces).strip():
            yield from self.feed(b"\n")

    def _end_line(self) -> bytes | None:
        """Returns the text if this line completes it, else None."""
        line = b"".join(self.pieces).strip()
        without_strings = STRING.sub(b"", line)
        self.depth += without_strings.count(b"{") + without_strings.count(b"[")
        self.depth -= without_strings.count(b"}") + without_strings.count(b"]")
        self.lines.append(line)
        self.pieces = []
        if self.depth > 0:
            return None
        text = b"".join(self.lines)
        self.lines, self.size, self.depth = [], 0, 0
        return text
