"""HTTP/1.1 messages as bytes (RFC 9112), and the parsers of `http_parser`."""

from collections.abc import Iterator, Mapping

from ramppulley.wire.faults import BadMessage
from ramppulley.wire.http_parser import (
    MAX_HEAD_BYTES,
    MAX_HEADER_FIELDS,
    Request,
    RequestParser,
    ResponseParser,
)

__all__ = [
    "LAST_CHUNK",
    "MAX_HEAD_BYTES",
    "MAX_HEADER_FIELDS",
    "STATUS",
    "Request",
    "RequestParser",
    "ResponseParser",
    "chunk",
    "chunk_parts",
    "request",
    "request_head",
    "request_parts",
    "response",
    "response_head",
]

MAX_JOINED_BYTES = (
    16 * 1024
)  # a larger body is sent by itself: a copy costs more memory than a further write costs time
MAX_JOINED_CHUNK_BYTES = 2 * 1024  # the same for a chunk, which may be held for as long as its client does not read
STATUS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _header_lines(headers: Mapping[str, object]) -> Iterator[str]:
    for name, value in headers.items():
        if "\r" in str(value) or "\n" in str(value):
            raise BadMessage(f"a line break in the field {name}")
        yield f"{name}: {value}\r\n"


def request(method: str, target: str, headers: Mapping[str, object], body: bytes = b"") -> bytes:
    """One request, with Content-Length.

    >>> request("GET", "/healthz", {"host": "a"})
    b'GET /healthz HTTP/1.1\\r\\nhost: a\\r\\ncontent-length: 0\\r\\n\\r\\n'
    """
    return request_head(method, target, headers, len(body)) + body


def request_parts(method: str, target: str, headers: Mapping[str, object], body: bytes) -> list[bytes]:
    """The same as `request`, to be sent one after another: a large body is a part of its own and is not copied.

    >>> request_parts("GET", "/", {}, b"a"), [len(part) for part in request_parts("GET", "/", {}, bytes(20_000))]
    ([b'GET / HTTP/1.1\\r\\ncontent-length: 1\\r\\n\\r\\na'], [41, 20000])
    """
    if len(body) <= MAX_JOINED_BYTES:
        return [request(method, target, headers, body)]
    return [request_head(method, target, headers, len(body)), body]


def request_head(method: str, target: str, headers: Mapping[str, object], length: int) -> bytes:
    """The head of a request whose body has this length."""
    lines = "".join(_header_lines(headers))
    return f"{method} {target} HTTP/1.1\r\n{lines}content-length: {length}\r\n\r\n".encode("latin-1")


def response(status: int, headers: Mapping[str, object], body: bytes = b"", keep_alive: bool = True) -> bytes:
    """One whole response, with Content-Length."""
    end = "" if keep_alive else "connection: close\r\n"
    head = (
        f"HTTP/1.1 {status} {STATUS.get(status, 'Other')}\r\n{''.join(_header_lines(headers))}{end}"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def response_head(status: int, headers: Mapping[str, object], keep_alive: bool = True) -> bytes:
    """The head of a response with chunked encoding."""
    end = "" if keep_alive else "connection: close\r\n"
    return (
        f"HTTP/1.1 {status} {STATUS.get(status, 'Other')}\r\n{''.join(_header_lines(headers))}{end}"
        "transfer-encoding: chunked\r\n\r\n"
    ).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """One chunk; b"" for no data, as a chunk of length 0 would end the body.

    >>> chunk(b"hello")
    b'5\\r\\nhello\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def chunk_parts(data: bytes) -> list[bytes]:
    """The same as `chunk`, to be sent one after another: much data is a part of its own and is not copied."""
    if len(data) <= MAX_JOINED_CHUNK_BYTES:
        return [chunk(data)]
    return [b"%x\r\n" % len(data), data, b"\r\n"]


LAST_CHUNK = b"0\r\n\r\n"
