"""Splits the response of the watch into JSON texts, one per update; a text may be indented over many lines."""

import re
from collections.abc import Iterator

from ramppulley.wire.faults import TooLarge

# Fits 3,200 workers, indented, with long names.
MAX_TEXT_BYTES = 2 << 20
BLANK_LINES = re.compile(rb"\n[ \t\r\n]*\n")
BLOCK_BYTES = 8 * 1024  # of a line, in which brackets are counted at once


class JsonTextSplitter:
    """Turns response bytes into complete JSON texts, with one or two empty texts for empty lines in a row. Texts may be
    indented.

    >>> splitter = JsonTextSplitter()
    >>> list(splitter.feed(b'\\n\\n\\n{"seq":\\n\\n\\n1}\\n\\n[')), list(splitter.feed(b"]\\n"))
    ([b'', b'', b'{"seq":1}', b''], [b'[]'])
    """

    def __init__(self) -> None:
        self._text = bytearray()  # the complete lines of the incomplete text, without indentation
        self._line = bytearray()  # the incomplete line
        self._received_bytes, self._depth = 0, 0  # of the text; open brackets after its last complete line

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the texts that these bytes complete; raises TooLarge."""
        lines = BLANK_LINES.sub(b"\n\n", data)
        self._received_bytes += len(data) - len(lines)
        first, *others = lines.split(b"\n")
        self._add(first)
        for piece in others:
            self._received_bytes += 1  # the end of the line before
            if (text := self._end_line()) is not None:
                yield text
            self._add(piece)
        if self._received_bytes > MAX_TEXT_BYTES:
            raise TooLarge("an update of the list is too large")

    def end(self) -> Iterator[bytes]:
        """Yields the last text of a complete response, which needs no line end."""
        if self._line.strip():
            yield from self.feed(b"\n")

    def _add(self, piece: bytes) -> None:
        self._line += piece
        self._received_bytes += len(piece)

    def _end_line(self) -> bytes | None:
        """Returns the text if this line completes it, else None."""
        line = bytes(self._line).strip()
        self._line = bytearray()
        self._text += line
        self._depth += _opened_brackets(line)
        if self._depth > 0:
            return None
        text = bytes(self._text)
        self._text, self._received_bytes, self._depth = bytearray(), 0, 0
        return text


def _opened_brackets(line: bytes) -> int:
    """How many brackets a line of JSON opens, less those that it closes."""
    opened, in_string = 0, False
    if b"\\" in line:
        line = line.replace(b"\\\\", b"").replace(b'\\"', b"")
    for begin in range(0, len(line), BLOCK_BYTES):
        parts = line[begin : begin + BLOCK_BYTES].split(b'"')
        outside = b"".join(parts[in_string::2])
        opened += outside.count(b"{") + outside.count(b"[") - outside.count(b"}") - outside.count(b"]")
        in_string ^= len(parts) % 2 == 0
    return opened
