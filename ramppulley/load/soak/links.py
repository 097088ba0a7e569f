"""The fault proxy: one link for each pair of a router and a worker, at an address of its own."""

import asyncio
import time
from dataclasses import dataclass, field

from ramppulley.wire.sockets import Transport

PIECE_BYTES, SILENT_LOOK_S = 7, 0.01


@dataclass(eq=False)
class LinkState:
    """Faults that are on now, for all connections of one link. Each is a count: faults of one kind may overlap."""

    delay: int = 0
    stall: int = 0  # nothing passes, nothing is said
    one_way: int = 0  # requests pass, answers do not
    reset_request: int = 0
    reset_answer: int = 0
    pieces: int = 0
    late_connect: int = 0
    refuse: int = 0
    connections: "set[LinkConnection]" = field(default_factory=set)


class LinkConnection:
    """One accepted connection of a router, seen through its link. Once silent, it stays so for good."""

    def __init__(self, link: LinkState, transport: Transport) -> None:
        self.link, self.transport, self.silent = link, transport, bool(link.refuse)
        self.received_at, self.early_at = 0.0, 0.0
        self.faulted = False  # a fault has touched it
        link.connections.add(self)

    def close(self) -> None:
        """The end of its task."""
        self.link.connections.discard(self)

    async def wait_unserved(self, seconds: float) -> None:
        """Nobody serves it for so long; notes when its first byte came."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.early_at and not self.transport.is_quiet():
                self.early_at = time.monotonic()
            await asyncio.sleep(SILENT_LOOK_S)

    async def receive(self) -> bytes:
        """The router's next bytes, once the link lets them through; b"" at the end."""
        data = await self.transport.receive()
        self.received_at, self.early_at = self.early_at or time.monotonic(), 0.0
        await self._pass()
        if data and self.link.reset_request:
            self.faulted = True
            self.transport.reset()
            raise ConnectionResetError("by the link")
        return data

    async def send(self, data: bytes) -> None:
        """The worker's bytes, once the link lets them through."""
        await self._pass()
        while self.link.one_way:
            self.faulted = True
            await asyncio.sleep(SILENT_LOOK_S)
            if not self.transport.is_quiet():
                raise ConnectionResetError("closed behind a link of one way")
        if self.link.reset_answer:
            self.faulted = True
            await self.transport.send(data[: len(data) // 2])
            self.transport.reset()
            raise ConnectionResetError("by the link")
        if self.link.pieces:
            self.faulted = True
            for begin in range(0, len(data), PIECE_BYTES):
                await self.transport.send(data[begin : begin + PIECE_BYTES])
                await asyncio.sleep(0)
        else:
            await self.transport.send(data)

    async def _pass(self) -> None:
        if self.link.delay:
            self.faulted = True
            await asyncio.sleep(0.15)
        if self.link.stall:
            self.silent = True  # it does not come back: its peers are not told
        if self.silent:
            self.faulted = True
            while self.transport.is_quiet():
                await asyncio.sleep(SILENT_LOOK_S)
            raise ConnectionResetError("closed behind a silent link")
