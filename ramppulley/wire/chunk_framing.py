"""Finds the ends of heads and trailers, and the sizes of chunks, in a message's bytes (RFC 9112, sections 2.1 and 7.1).

llhttp checks both, but httptools cannot stop at the end of a message, and does not tell chunk sizes. A chunk may claim any
size and keep coming for as long as its sender likes, so the receiver must know the claim.
"""

BLANK_LINE = b"\r\n\r\n"  # with the end of the line before it
MAX_TAIL_BYTES = len(BLANK_LINE) - 1
MAX_SIZE_DIGITS = 16
MAX_KEPT_LINE_BYTES = 64  # of a size line that is not whole: more than its digits need
INFINITE_SIZE = float("inf")
LINE_END_BYTES = 2  # behind the data of a chunk


class BlankLineSearch:
    """Finds the blank line that ends a head or a trailer, in bytes that come in pieces. `before`: what came before them.

    >>> search = BlankLineSearch()
    >>> search.end(b"HTTP/1.1 200 OK\\r\\n\\r\\n2\\r\\n"), search.end(b"ab\\r\\n"), search.end(b"xyz\\r\\n", 3)
    (19, 4, 5)
    """

    __slots__ = ("_tail",)

    def __init__(self, before: bytes = b"") -> None:
        self._tail = before  # the last bytes that were searched, if a blank line may begin in them

    def end(self, data: bytes, begin: int = 0) -> int:
        """The offset behind the first blank line from `begin` on, or the end of the data."""
        end = self._end_across_pieces(data, begin) or _offset_behind(BLANK_LINE, data, begin)
        if end:
            self._tail = b""
            return end
        self._tail = (self._tail + data[max(begin, len(data) - MAX_TAIL_BYTES) :])[-MAX_TAIL_BYTES:]
        return len(data)

    def _end_across_pieces(self, data: bytes, begin: int) -> int:
        """As `end`, of a blank line that begins in an earlier piece; 0 if there is none."""
        if not self._tail:
            return 0
        end = _offset_behind(BLANK_LINE, self._tail + data[begin : begin + MAX_TAIL_BYTES], 0)
        return begin + end - len(self._tail) if end else 0


def _offset_behind(pattern: bytes, data: bytes, begin: int) -> int:
    """The offset behind the first occurrence from `begin` on; 0 if there is none."""
    found = data.find(pattern, begin)
    return found + len(pattern) if found >= 0 else 0


class ChunkFraming:
    """Follows the chunks of one message. It checks nothing but sizes: what is malformed, the parser rejects.

    >>> framing = ChunkFraming(100)
    >>> framing.scan(b"2;x=y\\r\\nab\\r\\n6", 0), framing.scan(b"5\\r\\nab", 0), framing.oversized
    (12, 0, True)
    """

    __slots__ = ("max_chunk_bytes", "oversized", "ended", "_line", "_skipped_bytes")

    def __init__(self, max_chunk_bytes: int) -> None:
        self.max_chunk_bytes = max_chunk_bytes
        self.oversized = False  # a chunk that claims more than that has begun
        self._line = b""  # of a size line that is not whole yet
        self._skipped_bytes = 0  # of the present chunk's data and line end that are still to come
        self.ended = False  # the size line of the last chunk has come, or one that could not be read

    def scan(self, data: bytes, begin: int) -> int:
        """The offset up to which the data may be parsed: its end, or behind the size line of the last chunk, or before that
        of an oversized one, if that began in this data, else `begin`."""
        position, length = begin + self._skipped_bytes, len(data)
        while position < length and not self.ended:
            line_begin, newline = position, data.find(b"\n", position)
            if newline < 0:
                self._line = (self._line + data[position : position + MAX_KEPT_LINE_BYTES])[:MAX_KEPT_LINE_BYTES]
                position = length
                break
            line = data[position : min(newline, position + MAX_KEPT_LINE_BYTES)]
            size = self._size(self._line + line if self._line else line)
            if size > self.max_chunk_bytes:
                self.oversized = True
                return line_begin
            self._line, self.ended = b"", size == 0
            if self.ended:
                return newline + 1
            position = newline + 1 + int(size) + LINE_END_BYTES
        self._skipped_bytes = max(0, position - length)
        return length

    @staticmethod
    def _size(line: bytes) -> float:
        """The size that a line tells: 0 if it cannot be read, infinite if it has too many digits."""
        try:
            digits = line if b";" not in line else line.partition(b";")[0]
            return int(digits, 16) if len(digits) <= MAX_SIZE_DIGITS + 1 else INFINITE_SIZE
        except ValueError:
            return 0
