"""Peers that send hostile input at full speed: clients, workers and discovery while their fault is active."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable, Iterator

from ramppulley.standin import hostile_input
from ramppulley.wire.sockets import Transport, connect

MAX_SENDERS = 8  # at once in a run: the harness shares its event loop with them
CLIENTS_PER_ROUTER = 6
SENDER_TIMEOUT_S = 8.0  # longer than any answer to what is hostile may take
CONNECT_TIMEOUT_S = 0.5
CLIENT_PAUSE_S = 0.01  # before a client that was turned away begins again


class HostileSenders:
    """Sends hostile streams for the peers of one run, a limited number of them at once."""

    def __init__(self, seed: int, max_running: int = MAX_SENDERS) -> None:
        self.rng, self.max_running = random.Random(f"hostile {seed}"), max_running
        self.running = 0

    def may_begin(self) -> bool:
        """Whether one more peer may send."""
        return self.running < self.max_running

    async def send(
        self,
        parts: Iterator[bytes],
        send: Callable[[bytes], Awaitable[None]],
        active: Callable[[], bool],
        on_first_part: Callable[[], None] = lambda: None,
    ) -> None:
        """Sends the parts while `active` says so, for SENDER_TIMEOUT_S at the most. Raises OSError once turned away."""
        self.running += 1
        try:
            async with asyncio.timeout(SENDER_TIMEOUT_S):
                await send(next(parts))
                on_first_part()
                while active():
                    await send(next(parts))
                    await asyncio.sleep(0)
        except TimeoutError:
            pass
        finally:
            self.running -= 1


class HostileClients:
    """The hostile clients of one router."""

    def __init__(self, port: int, senders: HostileSenders, count: int = CLIENTS_PER_ROUTER) -> None:
        self.port, self.senders, self.count = port, senders, count
        self.tasks: list[asyncio.Task[None]] = []

    def begin(self, active: Callable[[], bool]) -> None:
        """Lets the clients send while `active` says so, unless earlier ones still do."""
        if all(task.done() for task in self.tasks):
            loop = asyncio.get_running_loop()
            self.tasks = [loop.create_task(self._send_again(active)) for _ in range(self.count)]

    async def wait_finished(self) -> None:
        """Waits until the clients have stopped."""
        await asyncio.gather(*self.tasks)

    async def _send_again(self, active: Callable[[], bool]) -> None:
        while active():
            if self.senders.may_begin():
                try:
                    await self._send_once(active)
                except (OSError, TimeoutError):
                    pass
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def _send_once(self, active: Callable[[], bool]) -> None:
        """Sends one stream on a new connection until the router ends it; every second client reads nothing."""
        transport = await connect("127.0.0.1", self.port, CONNECT_TIMEOUT_S)
        rng = self.senders.rng
        reads = rng.random() < 0.5

        async def send(part: bytes) -> None:
            if reads and transport.receive_nowait() == b"":
                raise ConnectionResetError("the router closed the connection")
            await transport.send(part)

        try:
            await self.senders.send(hostile_input.draw(rng, hostile_input.REQUEST_FORMS), send, active)
        finally:
            transport.close()


class Bystander:
    """A regular client of one router that asks for its readiness all the time, and records how long it waits."""

    ASK_INTERVAL_S = 0.1
    ANSWER_TIMEOUT_S = 5.0
    REQUEST = b"GET /-/ready HTTP/1.1\r\nhost: a\r\n\r\n"

    def __init__(self, port: int, record: Callable[[float, float], None]) -> None:
        self.port, self.record = port, record  # `record(asked_at, answered_at)`

    async def run(self, until: float) -> None:
        """Asks until the given monotonic time, on a new connection whenever the last one has ended."""
        while time.monotonic() < until:
            try:
                transport = await connect("127.0.0.1", self.port, CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                await asyncio.sleep(self.ASK_INTERVAL_S)
                continue
            try:
                await self._ask_on(transport, until)
            except (OSError, TimeoutError):
                pass
            finally:
                transport.close()

    async def _ask_on(self, transport: Transport, until: float) -> None:
        """Raises OSError once the connection has ended. The first answer is not recorded: its time contains the accept."""
        for count in itertools.count():
            asked_at = time.monotonic()
            if asked_at > until:
                return
            async with asyncio.timeout(self.ANSWER_TIMEOUT_S):
                await transport.send(self.REQUEST)
                if not await transport.receive():
                    raise ConnectionResetError("the router closed the connection")
            if count:
                self.record(asked_at, time.monotonic())
            await asyncio.sleep(self.ASK_INTERVAL_S)
