"""The watch's answer as JSON texts: one for each update, which may be indented over many lines."""

import re
from collections.abc import Iterator

from ramppulley.wire.faults import TooLarge

MAX_TEXT_BYTES = 2 << 20  # 3,200 workers, indented, with long names; nonsense of that size takes 60 MB for a moment
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"?')  # one without its end, too: no text is looked at twice


class JsonTextSplitter:
    """Bytes of the answer in, whole JSON texts out, empty ones for empty lines. A text may be indented."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of a text that is not whole yet
        self.pieces: list[bytes] = []  # of a line that is not whole yet
        self.size, self.depth = 0, 0  # bytes of the text; brackets that are open behind its last whole line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The texts that are whole with these bytes; raises TooLarge."""
        for number, piece in enumerate(data.split(b"\n")):
            if number and (text := self._end_line()) is not None:
                yield text
            self.pieces.append(piece)
            self.size += len(piece)
        if self.size > MAX_TEXT_BYTES:
            raise TooLarge("a text of the list is too long")

    def end(self) -> Iterator[bytes]:
        """After the end of a whole answer: its last text needs no line end."""
        if b"".join(self.pieces).strip():
            yield from self.feed(b"\n")

    def _end_line(self) -> bytes | None:
        """The text, where it is whole with this line."""
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
