"""TCP relays between routers, with the faults of their links.

Bytes pass in order and whole, as on a real stream, but a link can delay them, slow them down or stop them; it can leave
the connection open at one end only, or reset it. The faults are those of `links.Link`: `cut` resets open connections and
refuses new ones, `stalled` holds all bytes until it ends, and `half_open` silently drops the bytes of one direction.
"""

import asyncio

from ramppulley.wire.listener import Listener
from ramppulley.wire.sockets import connect

PIECE = 16 << 10  # bytes read at once; a stall holds one piece, and the kernels' buffers the rest: backpressure
STALL_POLL_S = 0.02  # between two checks whether a stall has ended


class StreamRelay:
    """Forwards connections from `source` to `target`, whose address is `to`. `links` is read before each piece."""

    def __init__(self, links, source, target, to):
        self.links, self.forward, self.backward, self.to = links, (source, target), (target, source), to
        self.open, self.half_open = set(), set()
        self.listener = Listener(self._serve)
        self.port = self.listener.port

    def start(self):
        self.listener.start()
        return self

    async def stop(self):
        await self.listener.stop()

    def change(self, pair, half_open=None, **more):
        """As `Links.change`; a cut resets all open connections."""
        if half_open is not None:
            (self.half_open.add if half_open else self.half_open.discard)(pair)
        if more:
            self.links.change(pair, **more)
        if more.get("cut"):
            for transport in tuple(self.open):
                transport.reset()

    async def _serve(self, transport):
        if self.links.of(self.forward).cut or self.links.of(self.backward).cut:
            transport.reset()
            return
        try:
            other = await connect(*self.to, 1.0)
        except OSError:
            transport.reset()
            return
        self.open |= {transport, other}
        directions = [
            asyncio.ensure_future(self._forward(transport, other, self.forward)),
            asyncio.ensure_future(self._forward(other, transport, self.backward)),
        ]
        try:
            await asyncio.gather(*directions)
        except OSError:  # a reset of one end resets the other
            transport.reset()
            other.reset()
        finally:
            for task in directions:
                task.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            self.open -= {transport, other}
            other.close()

    async def _forward(self, source, target, pair):
        """Forwards one direction piece by piece; its end shuts down that direction only."""
        while data := await source.receive():
            link = self.links.of(pair)
            delay = (link.delay + int(link.jitter * self.links.rng.random())) / 10_000
            if link.per_second:
                delay += len(data) / link.per_second
            if delay:
                await asyncio.sleep(delay)
            while self.links.of(pair).stalled:
                await asyncio.sleep(STALL_POLL_S)
            if pair not in self.half_open:
                await target.send(data)
        if pair not in self.half_open:
            target.shutdown_write()
