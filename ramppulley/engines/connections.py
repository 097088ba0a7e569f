"""Connections to one worker: kept open after an answer, capped, and closed when idle for long."""
import asyncio
from collections import deque

from ramppulley.wire.sockets import connect

MOST, IDLE = 512, 10.0          # open to one worker; seconds that an idle one is kept


class Connections:
    """To one address. `get` gives an open one or makes one; the handshake counts in the send's own time."""

    def __init__(self, host, port, most=MOST, idle=IDLE):
        self.host, self.port, self.idle_for = host, port, idle
        self.idle, self.made, self._room = deque(), 0, asyncio.Semaphore(most)
        self.spare = None               # kept open for small calls, so that no handshake stands before them

    async def get(self, within, when_room=None):
        """Raises OSError, or TimeoutError after `within` seconds of connecting. Give it back by `put` or `drop`.

        `when_room` is called when the wait for one of the capped number is over."""
        loop = asyncio.get_running_loop()
        await self._room.acquire()
        if when_room is not None:
            when_room()
        try:
            while self.idle:
                wire, since = self.idle.pop()       # the last used first: the others may idle out
                if loop.time() - since < self.idle_for and wire.idle():
                    return wire
                wire.close()
            wire = await connect(self.host, self.port, within)
            self.made += 1
            return wire
        except BaseException:
            self._room.release()
            raise

    async def get_spare(self, within):
        """The spare one if it is free and good, else as `get`. Raises as `get`."""
        wire, self.spare = self.spare, None
        if wire is not None:
            if wire.idle():
                await self._room.acquire()
                return wire
            wire.close()
        return await self.get(within)

    def put_spare(self, wire):
        if self.spare is None and not wire.closed:
            self.spare = wire
            self._room.release()
        else:
            self.put(wire)

    async def keep_spare(self, within):
        """Opens the spare one if there is none; a failure is left to the next call."""
        if self.spare is not None and self.spare.idle():
            return
        if self.spare is not None:
            self.spare.close()
            self.spare = None
        try:
            wire = await connect(self.host, self.port, within)
        except OSError:
            return
        if self.spare is None:
            self.made, self.spare = self.made + 1, wire
        else:
            wire.close()

    def put(self, wire):
        """After a whole answer that keeps the connection open."""
        self.idle.append((wire, asyncio.get_running_loop().time()))
        self._room.release()

    def drop(self, wire):
        """After anything else: closing is also how a send is withdrawn."""
        wire.reset()
        self._room.release()

    def tidy(self):
        """Closes what idled too long; called now and then."""
        now = asyncio.get_running_loop().time()
        while self.idle and now - self.idle[0][1] >= self.idle_for:
            self.idle.popleft()[0].close()

    def close(self):
        if self.spare is not None:
            self.spare.close()
            self.spare = None
        while self.idle:
            self.idle.pop()[0].close()
