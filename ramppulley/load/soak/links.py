"""The fault proxy: one link for each pair of router and worker, with its own address."""

import asyncio
import time
from dataclasses import dataclass, field

from ramppulley.wire.sockets import Transport

FRAGMENT_BYTES, POLL_S = 7, 0.01


@dataclass(eq=False)
class LinkState:
    """Active faults of one link, for all its connections. Each is a count, as faults of one kind may overlap."""

    delay: int = 0
    stall: int = 0  # nothing passes, and no close or reset is signalled
    one_way: int = 0  # requests pass, responses do not
    reset_request: int = 0
    reset_answer: int = 0
    pieces: int = 0
    late_connect: int = 0
    refuse: int = 0
    connections: "set[LinkConnection]" = field(default_factory=set)


class LinkConnection:
    """One accepted connection of a router, behind its link. A connection that became silent stays silent."""

    def __init__(self, link: LinkState, transport: Transport) -> None:
        self.link, self.transport, self.silent = link, transport, bool(link.refuse)
        self.received_at, self.unserved_byte_at = 0.0, 0.0
        self.faulted = False  # a fault has affected it
        link.connections.add(self)

    def close(self) -> None:
        """Removes the connection from its link."""
        self.link.connections.discard(self)

    async def delay_service(self, seconds: float) -> None:
        """Leaves the connection unserved for a time; records when its first byte arrived."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.unserved_byte_at and not self.transport.is_quiet():
                self.unserved_byte_at = time.monotonic()
            await asyncio.sleep(POLL_S)

    async def receive(self) -> bytes:
        """Returns the router's next bytes after applying the link faults, or b"" at the end of the stream."""
        data = await self.transport.receive()
        self.received_at, self.unserved_byte_at = self.unserved_byte_at or time.monotonic(), 0.0
        await self._apply_faults()
        if data and self.link.reset_request:
            self.faulted = True
            self.transport.reset()
            raise ConnectionResetError("connection reset by a link fault")
        return data

    async def send(self, data: bytes) -> None:
        """Sends the worker's bytes, subject to the link faults."""
        await self._apply_faults()
        while self.link.one_way:
            self.faulted = True
            await asyncio.sleep(POLL_S)
            if not self.transport.is_quiet():
                raise ConnectionResetError("router closed the connection during a one-way link fault")
        if self.link.reset_answer:
            self.faulted = True
            await self.transport.send(data[: len(data) // 2])
            self.transport.reset()
            raise ConnectionResetError("connection reset by a link fault")
        if self.link.pieces:
            self.faulted = True
            for begin in range(0, len(data), FRAGMENT_BYTES):
                await self.transport.send(data[begin : begin + FRAGMENT_BYTES])
                await asyncio.sleep(0)
        else:
            await self.transport.send(data)

    async def _apply_faults(self) -> None:
        if self.link.delay:
            self.faulted = True
            await asyncio.sleep(0.15)
        if self.link.stall:
            self.silent = True  # permanently: the peers get no close or reset
        if self.silent:
            self.faulted = True
            while self.transport.is_quiet():
                await asyncio.sleep(POLL_S)
            raise ConnectionResetError("router closed the connection on a silent link")
