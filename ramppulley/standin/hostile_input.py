"""What hostile peers send: byte streams without end, each made by one production of a small grammar and a seeded generator.

Nothing here is random but by the generator that is passed in. The soak's peers send these streams over sockets; the tests
of what input costs feed them to the parsers.
"""

import itertools
import json
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from ramppulley.wire import http

Form = Callable[[Random], Iterator[bytes]]

PART_BYTES = 32 << 10  # what a form yields at a time, about
MAX_HUGE_SIZE = 1 << 40
LARGE_UPDATE_BYTES = 1900 << 10
REQUEST_LINE = b"POST /v1/chat/completions HTTP/1.1\r\nhost: origin.svc\r\n"
RESPONSE_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
EVENT_STREAM_HEAD = RESPONSE_LINE + b"content-type: text/event-stream\r\n" + CHUNKED
TLS_GREETING = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"x"}}]}\n\n'
BLANK_EVENTS = (b"\n", b"\r\n", b"\r", b"data:\n\n", b"data: \n\n", b"event: x\n\n", b": x\n\n", b": x\n", b"id: 1\n")


def _repeated(unit: bytes) -> Iterator[bytes]:
    """The unit again and again."""
    return itertools.repeat(unit * max(1, PART_BYTES // len(unit)))


def _small_chunks(rng: Random, unit: bytes) -> Iterator[bytes]:
    """The unit again and again, in chunks of one size, from one byte up."""
    size = rng.choice((1, 2, 7, 64, 1000))
    data = unit * max(1, PART_BYTES // len(unit))
    pieces = [http.chunk(data[begin : begin + size]) for begin in range(0, len(data), size)]
    return itertools.repeat(b"".join(pieces))


def _noise(rng: Random) -> Iterator[bytes]:
    while True:
        yield rng.randbytes(PART_BYTES)


def _line_ends(rng: Random) -> Iterator[bytes]:
    return _repeated(rng.choice((b"\r\n", b"\n", b"\r", b" \r\n")))


def _greeting(rng: Random) -> Iterator[bytes]:
    yield TLS_GREETING
    yield from _noise(rng)


def _fields(rng: Random) -> Iterator[bytes]:
    """Fields without end: short or long ones, under one name or ever new ones."""
    value, same_name = b"v" * rng.choice((0, 1, 30, 4000)), rng.random() < 0.5
    for number in itertools.count():
        yield b"".join(
            b"x-%d: %b\r\n" % (0 if same_name else number * 32 + offset, value)
            for offset in range(max(1, min(32, PART_BYTES // (len(value) + 12))))
        )


def _colliding_fields(rng: Random) -> bytes:
    """Fields of a head that contradict each other or are not allowed twice."""
    fields = (
        b"content-length: 5\r\n",
        b"content-length: 50\r\n",
        b"content-length: -1\r\n",
        b"content-length: 0x10\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: chunked, identity\r\n",
        b"host: elsewhere\r\n",
        b"upgrade: websocket\r\nconnection: upgrade\r\n",
        b"expect: 100-continue\r\n",
        b"x : y\r\n",
        b" folded\r\n",
    )
    return b"".join(rng.choices(fields, k=rng.randint(2, 6)))


def _long_target(rng: Random) -> Iterator[bytes]:
    yield rng.choice((b"GET /", b"POST /v1/chat/completions?", b"X" * 40 + b" /"))
    yield from _repeated(rng.choice((b"a", b"%41", b"/.")))


def _long_field(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE + rng.choice((b"", b"req-id: ", b"req-extra: prefix="))
    yield from _repeated(rng.choice((b"a", b"a,", b"a=1,", b" ")))


def _many_fields(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE
    yield from _fields(rng)


def _contradictory_head(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE + _colliding_fields(rng) + b"\r\n"
    yield from _noise(rng)


def _oversized_body(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE + b"content-length: %d\r\n\r\n" % rng.choice((256 << 10, (256 << 10) + 1, MAX_HUGE_SIZE))
    yield from _repeated(rng.choice((b"x", b"[", b'{"a":', b"\x00")))


def _body_in_chunks(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE + CHUNKED
    yield from _small_chunks(rng, rng.choice((b"x", b"[", b"\r\n")))


def _chunk_framing(rng: Random) -> Iterator[bytes]:
    """A chunk's size, its extension or the trailer, without end."""
    form = rng.randrange(4)
    if form == 0:
        return _repeated(b"0")  # digits of a size
    if form == 1:
        return itertools.chain([b"1;x"], _repeated(b"=y;x"))
    if form == 2:
        return itertools.chain([b"0\r\n"], _fields(rng))
    return itertools.chain([b"%x\r\n" % MAX_HUGE_SIZE], _repeated(EVENT))


def _body_with_endless_framing(rng: Random) -> Iterator[bytes]:
    yield REQUEST_LINE + CHUNKED
    yield from _chunk_framing(rng)


def _requests_in_a_row(rng: Random) -> Iterator[bytes]:
    """Whole requests without a pause, sound or not, under new names or one."""
    new_names, sound = rng.random() < 0.7, rng.random() < 0.5
    name, number = f"h-{rng.getrandbits(40):x}", itertools.count()
    while True:
        requests = []
        for _ in range(16):
            request_id = f"{name}-{next(number)}" if new_names else name
            headers = {"host": "origin.svc", "req-id": request_id, "req-kind": "lookup", "req-key": request_id}
            headers |= {"req-deadline-ms": 1000} if sound else {"req-deadline-ms": "soon"}
            requests.append(http.request("POST", "/v1/chat/completions", headers, b'{"model":"chat","messages":[]}'))
        yield b"".join(requests)


def _readiness_in_a_row(rng: Random) -> Iterator[bytes]:
    return _repeated(b"%b /-/ready HTTP/1.1\r\nhost: a\r\n\r\n" % rng.choice((b"GET", b"HEAD")))


#: What a hostile client sends on a new connection.
REQUEST_FORMS: tuple[Form, ...] = (
    _noise,
    _line_ends,
    _greeting,
    _long_target,
    _long_field,
    _many_fields,
    _contradictory_head,
    _oversized_body,
    _body_in_chunks,
    _body_with_endless_framing,
    _requests_in_a_row,
    _readiness_in_a_row,
)


def _endless_head(rng: Random) -> Iterator[bytes]:
    yield RESPONSE_LINE
    yield from _fields(rng)


def _interim_responses(rng: Random) -> Iterator[bytes]:
    return _repeated(rng.choice((b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n")))


def _contradictory_response(rng: Random) -> Iterator[bytes]:
    yield RESPONSE_LINE + _colliding_fields(rng) + b"\r\n"
    yield from _noise(rng)


def _oversized_response(rng: Random) -> Iterator[bytes]:
    yield RESPONSE_LINE + b"content-length: %d\r\n\r\n" % rng.choice((1 << 20, MAX_HUGE_SIZE))
    yield from _repeated(b"{")


def _responses_in_a_row(_: Random) -> Iterator[bytes]:
    return _repeated(http.response(202, {}, b'{"cached_tokens":64}'))


#: What a hostile worker answers a request with.
RESPONSE_FORMS: tuple[Form, ...] = (
    _noise,
    _line_ends,
    _endless_head,
    _interim_responses,
    _contradictory_response,
    _oversized_response,
    _responses_in_a_row,
)


def _stream_noise(rng: Random) -> Iterator[bytes]:
    return (http.chunk(part) for part in _noise(rng))


def _blank_events(rng: Random) -> Iterator[bytes]:
    return _small_chunks(rng, rng.choice(BLANK_EVENTS))


def _giant_event(rng: Random) -> Iterator[bytes]:
    yield http.chunk(rng.choice((b"data: {", b"data: x\n", b"event: ")))
    yield from _small_chunks(rng, rng.choice((b"x", b"data: x\n", b"data: \n")))


def _events_after_done(rng: Random) -> Iterator[bytes]:
    yield http.chunk(b"data: [DONE]\n\n")
    yield from _small_chunks(rng, EVENT)


def _unsized_noise(rng: Random) -> Iterator[bytes]:
    """What is no chunk where a chunk has to begin."""
    return _noise(rng)


#: What a hostile worker goes on with after the first event of a stream. Each spoils it: none is an event of the answer.
STREAM_FORMS: tuple[Form, ...] = (
    _stream_noise,
    _blank_events,
    _giant_event,
    _events_after_done,
    _unsized_noise,
    _chunk_framing,
)


def _list_noise(rng: Random) -> Iterator[bytes]:
    return (http.chunk(part) for part in _noise(rng))


def _endless_line(rng: Random) -> Iterator[bytes]:
    yield http.chunk(b'{"seq": 1, "whole": true, "hosts": [')
    yield from _small_chunks(rng, rng.choice((b"[", b'"', b"\\", b'{"host":"a"},', b"1,", b" ", b"\n\t")))


def _empty_lines(rng: Random) -> Iterator[bytes]:
    return _small_chunks(rng, rng.choice((b"\n", b"\r\n", b" \n", b"{}\n", b"null\n", b"[]\n")))


def _unsound_updates(rng: Random) -> Iterator[bytes]:
    """Whole lines of JSON that are no updates of the list, or changes that change nothing. None is a whole list: one that
    names no worker would say that all are gone."""
    values: tuple[Any, ...] = (None, -1, 1e300, "", "x" * 300, [], {}, [[]] * 20, True)
    while True:
        entry = {name: rng.choice(values) for name in ("host", "dial", "site", "class", "block", "health", "born_ms")}
        update = {
            "seq": rng.choice(values),
            "whole": rng.choice((False, 1, None)),
            "hosts": [entry] * rng.choice((1, 40)),
        }
        yield http.chunk(json.dumps(update).encode() + b"\n")


def _many_values(rng: Random) -> Iterator[bytes]:
    """Whole updates, each with as many small values as a line of its size can have."""
    value = rng.choice((b"{}", b"[]", b'"ab"', b"1.5", b'{"a":1}', b'{"host":"w","health":"Gone"}'))
    values = http.chunk((value + b",") * (PART_BYTES // (len(value) + 1)))
    while True:
        yield http.chunk(b'{"seq": 1, "hosts": [')
        for _ in range(LARGE_UPDATE_BYTES // PART_BYTES):
            yield values
        yield http.chunk(value + b"]}\n")


#: What a hostile discovery goes on with on a watch that has told the list.
LIST_FORMS: tuple[Form, ...] = (
    _list_noise,
    _endless_line,
    _empty_lines,
    _unsound_updates,
    _many_values,
    _chunk_framing,
)


def draw(rng: Random, forms: tuple[Form, ...]) -> Iterator[bytes]:
    """One of the forms, each as likely; the parts never end."""
    return rng.choice(forms)(rng)
