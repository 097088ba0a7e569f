"""What received bytes cost: memory and work in proportion to the bytes, however a peer divides or repeats them."""

import gc
import tracemalloc

import pytest

from ramppulley.wire import http
from ramppulley.wire.sockets import MAX_BUFFER_BYTES

BODY_BYTES = 200 << 10
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKED_RESPONSE = b"HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n"
PARSERS = {"request": (http.RequestParser, CHUNKED_REQUEST), "response": (http.ResponseParser, CHUNKED_RESPONSE)}


def receives(data):
    """The pieces in which a transport receives these bytes at the most."""
    return [data[begin : begin + MAX_BUFFER_BYTES] for begin in range(0, len(data), MAX_BUFFER_BYTES)]


def memory_of(feed, pieces):
    """Memory in bytes that is kept after these pieces were fed."""
    gc.collect()
    tracemalloc.start()
    try:
        for piece in pieces:
            feed(piece)
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("chunk_bytes", [1, 2, 16, 4096])
@pytest.mark.parametrize("name", PARSERS)
def test_a_body_takes_the_memory_of_its_bytes_in_chunks_of_any_size(name, chunk_bytes):
    """Guards against bodies kept as one object a chunk: 5.4 MB for 255 KiB in chunks of two bytes (incident 0015)."""
    make, head = PARSERS[name]
    parser = make(256 << 10)
    parser.feed(head)
    pieces = receives(http.chunk(b"x" * chunk_bytes) * (BODY_BYTES // chunk_bytes))
    assert memory_of(parser.feed, pieces) < 1.5 * BODY_BYTES
    parser.close()
