"""State machines for operators' tools, which hold the cluster key: one serves the membership view in pages, the other
switches signals and leases on and off. No I/O."""

from collections.abc import Callable

import msgspec

from ramppulley.cluster.token_bucket import TokenBucket
from ramppulley.cluster.words import MAX_PAYLOAD_SIZE, Address

PER_SECOND, BURST = 200, 400  # rate limit of pages
NEVER = 1 << 62  # due time of a state machine without timers

Row = list[str | int]


class PageRequest(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Requests the page that starts at row `first`."""

    first: int


class Page(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Rows from `first` on, of `total`; a row is a list of plain values as returned by the router's `rows`."""

    first: int
    total: int
    rows: list[Row]


_request_decoder = msgspec.msgpack.Decoder(PageRequest)
_page_decoder = msgspec.msgpack.Decoder(Page)
_encoder = msgspec.msgpack.Encoder()


class ViewServer:
    """Answers page requests with as many rows as fit into one datagram. `rows()` returns all rows."""

    def __init__(self, rows: Callable[[], list[Row]], budget: TokenBucket) -> None:
        self.rows = rows
        self.budget = budget
        self.out: list[tuple[Address, bytes]] = []

    def receive(self, now: int, address: Address, payload: bytes, header: object = None) -> None:
        """Handles one page request; an unreadable or rate-limited request gets no answer."""
        try:
            request = _request_decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError):
            return
        if request.first < 0 or not self.budget.take(now):
            return
        rows = self.rows()
        page = Page(request.first, len(rows), [])
        size = len(_encoder.encode(page)) + 8
        for row in rows[request.first :]:
            size += len(_encoder.encode(row))
            if size > MAX_PAYLOAD_SIZE:
                break
            page.rows.append(row)
        self.out.append((address, _encoder.encode(page)))

    def due(self) -> int:
        """When `tick` has to be called next."""
        return NEVER

    def tick(self, now: int) -> None:
        """Does nothing: there are no timers."""


class SharingControl:
    """Enables or disables signals and leases when an operator sends the command. `on_switch(enabled)` applies it."""

    def __init__(self, on_switch: Callable[[bool], None]) -> None:
        self.on_switch = on_switch
        self.out: list[tuple[Address, bytes]] = []

    def receive(self, now: int, address: Address, payload: bytes, header: object = None) -> None:
        """Handles one command; any other payload is ignored."""
        if payload in (b"on", b"off"):
            self.on_switch(payload == b"on")
            self.out.append((address, payload))  # tells the operator which routers received the command

    def due(self) -> int:
        """When `tick` has to be called next."""
        return NEVER

    def tick(self, now: int) -> None:
        """Does nothing: there are no timers."""


def encode_request(first: int) -> bytes:
    """Encodes a request for the page that starts at row `first`."""
    return _encoder.encode(PageRequest(first))


def decode_page(payload: bytes) -> Page:
    """Decodes a page. Raises msgspec.MsgspecError."""
    return _page_decoder.decode(payload)
