"""HTTP/1.1 parsers without sockets: bytes in, whole requests or pieces of responses out (RFC 9112).

Parsing is done by llhttp in strict mode. It rejects two Content-Length fields, a Content-Length together with
Transfer-Encoding, a bare LF, and whitespace in or before a field name, so that two parsers on one path cannot disagree on
where a message ends (request smuggling).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NoReturn, Self

import httptools

from ramppulley.wire.chunk_framing import BlankLineSearch, ChunkFraming
from ramppulley.wire.faults import BadMessage, PendingError, TooLarge

MAX_HEAD_BYTES, MAX_HEADER_FIELDS = 32 * 1024, 128  # of a message, with its trailer
LINE_END = b"\r\n"
FIELD_SEPARATOR_BYTES = 4  # colon, space and the end of the line
# What parsed messages take in memory, beside their own bytes.
FIELD_OBJECTS_BYTES, MESSAGE_OBJECTS_BYTES = 200, 1000
PARSE_SLICE_BYTES = 2048  # of a request, parsed at once
MAX_FRAMING_BYTES = 64 * 1024  # in a row that complete no field and bring nothing of a body


@dataclass
class Request:
    """One whole request; header names are in lower case, and the values of a repeated field are joined by commas."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    head_memory_bytes: int = 0  # that its head takes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def drop_body(self) -> None:
        """Frees the body of a request that is not served."""
        self.body = b""


class _CallbackAborted(Exception):
    """Leaves the parser from within a callback; `_CallbackParser._fault` says why."""


class _CallbackParser:
    """Holds an httptools parser that calls back into this object: a reference cycle of some KB. Without `close` it stays in
    memory until a full garbage collection, which is rare."""

    def __init__(self, parser_type: Callable[[Self], Any]) -> None:
        self._parser: Any = parser_type(self)
        self._fault = PendingError()  # found by a callback, and raised by `feed`
        self._progressed, self._framing_bytes = False, 0

    def close(self) -> None:
        """Breaks the reference cycle; nothing can be parsed afterwards."""
        self._parser = None
        self._framing_bytes = 0

    def _parse(self, data: bytes, upgrade_fault: str) -> None:
        """Parses bytes; stores an error in `_fault`.

        llhttp keeps on reading a chunk size, a chunk extension or a field that does not end, and keeps a field's bytes.
        """
        self._progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault.store(BadMessage(upgrade_fault))
        except httptools.HttpParserError as error:
            self._fault.store(BadMessage(str(error).strip("'\"")))
        self._framing_bytes = 0 if self._progressed else self._framing_bytes + len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fault.store(TooLarge(f"over {MAX_FRAMING_BYTES} bytes without a field or a part of the body", 431))

    def _fail(self, fault: BadMessage) -> NoReturn:
        """To be called from a callback."""
        self._fault.store(fault)
        raise _CallbackAborted


class _Fields:
    """The fields of one message and their size. Those of a trailer are counted and dropped (RFC 9110, section 6.5.1)."""

    def __init__(self) -> None:
        self.in_head, self._size, self._count = True, 0, 0
        self._values: dict[str, list[str]] = {}  # by name in lower case

    def add(self, name: bytes, value: bytes) -> None:
        """Counts a field, and keeps it if it belongs to the head."""
        self._count += 1
        self.count_bytes(len(name) + len(value) + FIELD_SEPARATOR_BYTES)
        if self.in_head:
            self._values.setdefault(name.decode("latin-1").lower(), []).append(value.decode("latin-1").strip())

    def count_bytes(self, count: int) -> None:
        """Counts further bytes of the head."""
        self._size += count

    def memory_bytes(self) -> int:
        """What the fields take, as bytes and as the text made of them."""
        return 2 * self._size + FIELD_OBJECTS_BYTES * self._count

    def over_limit(self) -> bool:
        """Whether the head and the trailer together are too large. A repeated field counts each time."""
        return self._size > MAX_HEAD_BYTES or self._count > MAX_HEADER_FIELDS

    def end_head(self) -> dict[str, str]:
        """The values by name; those of a repeated field are joined. What follows belongs to the trailer."""
        self.in_head = False
        values_by_name, self._values = self._values, {}
        return {name: ", ".join(values) for name, values in values_by_name.items()}

    def drop_interim(self) -> None:
        """Drops the fields of an interim response; they count toward the limits of the response that follows."""
        self._values = {}


class RequestParser(_CallbackParser):
    """Parses what a client sent; whole requests are queued in `ready`.

    A head is limited to MAX_HEAD_BYTES and a body to `max_body_bytes`. Parsing stops behind a whole request; what was
    fed behind it stays in `unparsed` until `resume`, as the caller feeds no more while a request is queued.

    >>> parser = RequestParser(100)
    >>> parser.feed(b"POST /a?b HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 2\\r\\n\\r\\nhi")
    >>> [(r.method, r.path, r.body) for r in parser.ready]
    [('POST', '/a', b'hi')]
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes, self.begun = max_body_bytes, False  # `begun`: an incomplete request has been fed
        self.ready: deque[Request] = deque()
        self.unparsed = b""
        self.wants_continue = False
        super().__init__(httptools.HttpRequestParser)
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._blank_line, self._framing = BlankLineSearch(), ChunkFraming(max_body_bytes)
        self.on_message_begin()
        self.begun = self._in_message = False

    def feed(self, data: bytes) -> None:
        """Raises BadMessage, or TooLarge with the status code that fits; the parser is closed then."""
        self.unparsed += data
        self.resume()

    def resume(self) -> None:
        """Parses what was fed until a request is queued; raises as `feed`."""
        position = 0
        while position < len(self.unparsed) and not self.ready and not self._fault:
            piece = self.unparsed[position : position + PARSE_SLICE_BYTES]
            piece = piece[: self._end_within(piece)]
            position += len(piece)
            self.begun = True
            self._parse(piece, "upgrades are not spoken here")
        self.unparsed = self.unparsed[position:]
        if self._fault:
            self.close()
        self._fault.raise_stored()

    def _end_within(self, piece: bytes) -> int:
        """The offset up to which this next piece is parsed: not beyond the end of the present request."""
        if not self._in_message and piece[0] in LINE_END:
            return len(piece) - len(piece.lstrip(LINE_END))
        length = 0 if self._fields.in_head else self.announced_body_bytes()
        if length:
            return length - len(self._body)
        if self._fields.in_head or self._framing.ended:  # a head or a trailer
            return self._blank_line.end(piece)
        end = self._framing.scan(piece, 0)
        if self._framing.ended:
            self._blank_line = BlankLineSearch(before=LINE_END)
        return end if not self._framing.oversized else len(piece)  # it will be refused

    def _oversized_body(self) -> TooLarge:
        return TooLarge(f"the body is over {self.max_body_bytes} bytes", 413)

    def open_head_memory_bytes(self) -> int:
        """What the head of an incomplete request takes, and what has been fed and not parsed."""
        return self._fields.memory_bytes() + self._framing_bytes + len(self.unparsed)

    def announced_body_bytes(self) -> int:
        """The length of an incomplete request's body, as its head tells it; 0 if it does not."""
        length = self._headers.get("content-length", "")
        return int(length) if length.isdigit() else 0

    def open_body_bytes(self) -> int:
        """The part of an incomplete request's body that has been received."""
        return len(self._body)

    def has_more(self) -> bool:
        """Whether anything was fed that is no part of the requests taken so far."""
        return bool(self.begun or self.ready or self.unparsed)

    def close(self) -> None:
        """Also frees what was received."""
        super().close()
        self.unparsed = b""
        self.ready.clear()
        self._fields, self._headers, self._target, self._body = _Fields(), {}, b"", bytearray()

    def on_message_begin(self) -> None:
        self._fields, self._headers, self._target = _Fields(), {}, b""
        self._body = bytearray()
        self.begun = self._in_message = True

    def on_url(self, url: bytes) -> None:
        self._progressed = True
        self._target += url
        self._fields.count_bytes(len(url))
        self._check_fields()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._progressed = True
        self._fields.add(name, value)
        self._check_fields()

    def _check_fields(self) -> None:
        if self._fields.over_limit():
            self._fail(TooLarge(f"the head is over {MAX_HEAD_BYTES} bytes or {MAX_HEADER_FIELDS} fields", 431))

    def on_headers_complete(self) -> None:
        headers = self._headers = self._fields.end_head()
        if "host" in headers and "," in headers["host"]:
            self._fail(BadMessage("more than one Host"))
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self._fail(self._oversized_body())
        if "transfer-encoding" in headers:
            self._framing = ChunkFraming(self.max_body_bytes)
        self.wants_continue = headers.get("expect", "").lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        self._progressed = True
        self._body += body
        if len(self._body) > self.max_body_bytes:
            self._fail(self._oversized_body())

    def on_message_complete(self) -> None:
        self._progressed = True
        self.ready.append(
            Request(
                self._parser.get_method().decode("ascii"),
                self._target.decode("latin-1"),
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._fields.memory_bytes() + MESSAGE_OBJECTS_BYTES,
            )
        )
        self._fields = _Fields()
        self._body = bytearray()  # frees the memory while the request runs and the connection is idle after it
        self.begun = self._in_message = self.wants_continue = False


class ResponseParser(_CallbackParser):
    """Parses what an engine sent for one request; `take` returns the body piece by piece.

    `status` is 0 until the head is complete, and `done` is set when the body is. A response that is framed by the end of
    the connection is rejected, as it cannot be distinguished from a truncated one. Bytes behind the end of the response
    that arrive together with it make the connection unusable (`keep_alive` is False), but not the response. The part of the
    body that has not been taken is limited to `max_body_bytes`. A chunk or a length over `max_chunk_bytes` (0: the same) is
    rejected with the line that tells it.
    """

    def __init__(self, max_body_bytes: int, max_chunk_bytes: int = 0) -> None:
        self.max_body_bytes, self.status, self.done, self.keep_alive = max_body_bytes, 0, False, False
        self.max_chunk_bytes = max_chunk_bytes or max_body_bytes
        self.headers: dict[str, str] = {}
        self._body = bytearray()  # that has not been taken
        self._fields, self._head_bytes = _Fields(), 0
        self._blank_line, self._framing, self._chunked = BlankLineSearch(), ChunkFraming(self.max_chunk_bytes), False
        super().__init__(httptools.HttpResponseParser)

    def feed(self, data: bytes) -> None:
        """Raises BadMessage or TooLarge."""
        if self.done:
            raise BadMessage("bytes after the end of the answer")
        if self._fields.in_head:
            self._head_bytes += len(data)
        self._parse_pieces(data)
        if self.done and self._fault:
            self._fault.discard()
            self.keep_alive = False
        elif self._fields.in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._fault.store(TooLarge("the answer's head is too large", 502))
        self._fault.raise_stored()

    def held_bytes(self) -> int:
        """What has been received and not been taken."""
        return self._fields.memory_bytes() + self._framing_bytes + len(self._body)

    def _parse_pieces(self, data: bytes) -> None:
        """Parses the head apart from the body, and the body up to the line of an oversized chunk."""
        end = 0
        while end < len(data) and not self._fault and not self._framing.oversized:
            begin, end = end, len(data)
            if self._fields.in_head:
                end = self._blank_line.end(data, begin)
            elif self._chunked:
                end = self._framing.scan(data, begin)
            if end > begin:
                self._parse(data[begin:end], "an upgrade was not asked for")
        if self._framing.oversized and not self.done:
            self._fault.store(BadMessage(f"a chunk said to have over {self.max_chunk_bytes} bytes"))

    def take(self) -> bytes:
        """The body bytes that arrived since the last call."""
        body, self._body = self._body, bytearray()
        return bytes(body)

    def on_message_begin(self) -> None:
        if self.done:
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.done:
            return
        self._progressed = True
        self._fields.add(name, value)
        if self._fields.over_limit():
            self._fail(TooLarge("the answer's head is too large", 502))

    def on_headers_complete(self) -> None:
        if self.done:
            return
        status = self._parser.get_status_code()
        if status < 200:  # interim responses: 100 Continue, 103 Early Hints
            self._fields.drop_interim()
            return
        self.status, self.headers = status, self._fields.end_head()
        self._chunked = "chunked" in self.headers.get("transfer-encoding", "").lower()
        length = self.headers.get("content-length", "")
        if not length and not self._chunked and status not in (204, 304):
            self._fail(BadMessage("the answer has neither a length nor chunks"))
        if length.isdigit() and int(length) > self.max_chunk_bytes:
            self._fail(TooLarge(f"the answer is over {self.max_chunk_bytes} bytes", 502))

    def on_body(self, body: bytes) -> None:
        if self.done:
            return
        self._progressed = True
        self._body += body
        if len(self._body) > self.max_body_bytes:
            self._fail(TooLarge(f"the answer is over {self.max_body_bytes} bytes", 502))

    def on_message_complete(self) -> None:
        if self.status and not self.done:
            self.done, self.keep_alive = True, self._parser.should_keep_alive()
