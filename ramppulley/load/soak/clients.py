"""The clients of a run: usual ones on connections that they keep, and such that misbehave while a fault says so."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

from ramppulley.load.soak.evidence import ClientRequest, Evidence, StalledClient
from ramppulley.load.soak.workers import events_of
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport, connect

CLASSES = ("lookup", "lodge", "book")
DEADLINES_S = (0.3, 1.5, 3.0, 4.0)
MAX_IDLE = 6  # connections that a client keeps to one router
CLIENT_TIMEOUT_S = 12.0
PRESSING_FACTOR = 4
BODY = b'{"model":"chat","stream":true,"messages":[]}'
FLOOD = 40


def request_bytes(request: ClientRequest) -> bytes:
    """The request as it goes out."""
    headers = {
        "host": "origin.svc",
        "req-id": request.name,
        "req-kind": request.request_class,
        "req-key": request.name[-2:],
        "req-deadline-ms": int(request.deadline_s * 1000),
        "req-extra": "prefix=5c0f,prompt_len=80,prefix_len=40,max_out=64",
    }
    return http.request("POST", "/v1/chat/completions", headers, BODY)


class Clients:
    """All clients of one router."""

    def __init__(self, router: int, port: int, seed: int, evidence: Evidence) -> None:
        self.router, self.port, self.evidence = router, port, evidence
        self.rng = random.Random(f"{seed}-{router}")
        self.idle: list[Transport] = []
        self.faults: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.new_until = float("inf")  # no new connections come after this
        self.pressing = False  # its router was told to end: clients use what is open as often as they can
        self.held: list[Transport] = []

    def has(self, fault: str) -> bool:
        """Whether this fault is on."""
        return self.faults.get(fault, 0) > 0

    async def run(self, until: float, per_s: float) -> None:
        """Requests come at random until then."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(PRESSING_FACTOR * per_s if self.pressing else per_s))
            self._spawn(self._one())

    def press(self, new_until: float) -> None:
        """Its router was told to end: new connections come until then, and open ones are used as often as can be."""
        self.pressing, self.new_until = True, new_until

    def ease(self) -> None:
        """Its process has ended."""
        self.pressing, self.new_until = False, float("inf")

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Until all have their end."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=CLIENT_TIMEOUT_S)
        for transport in (*self.idle, *self.held):
            transport.close()

    async def _one(self) -> None:
        self.count += 1
        name = f"q{self.router}-{self.count}-{self.rng.getrandbits(24):06x}"
        request = ClientRequest(name, self.router, self.rng.choice(CLASSES), self.rng.choice(DEADLINES_S))
        if self.has("client_flood"):
            self._spawn(self._flood())
        if self.has("client_stall_in_request") and self.rng.random() < 0.3:
            await self._stall(request)
            return
        for fault, part in (
            ("client_leave", 0.4),
            ("client_leave_in_stream", 0.3),
            ("client_slow_write", 0.3),
            ("client_pipeline", 0.2),
            ("client_repeat_id", 0.2),
            ("client_never_read", 0.1),
        ):
            if self.has(fault) and self.rng.random() < part:
                request.behaviour = fault
                break
        await self._ask(request)

    async def _transport(self, request: ClientRequest) -> Transport | None:
        while self.idle:
            transport = self.idle.pop()
            if transport.is_quiet():
                request.new_connection = False
                return transport
            transport.close()
        request.new_connection = True
        if time.monotonic() > self.new_until:
            return None
        try:
            return await connect("127.0.0.1", self.port, 1.0)
        except (OSError, TimeoutError):
            return None  # nobody listens: its client goes elsewhere

    async def _ask(self, request: ClientRequest) -> None:
        transport = await self._transport(request)
        if transport is None:
            return
        try:
            await self._write(transport, request)
        except (OSError, TimeoutError):
            transport.close()
            if not request.new_connection:  # its close crossed the request
                await self._ask(request)
            return
        request.sent_at = time.monotonic()
        if request.behaviour != "client_repeat_id" or not request.error:
            self.evidence.requests.append(request)
        crossed = await self._answer(transport, request)
        if crossed:
            self.evidence.requests.remove(request)
            self.idle = [idle for idle in self.idle if idle is not transport]
            request.error, request.behaviour = "", ""
            transport.close()
            again = ClientRequest(request.name, self.router, request.request_class, request.deadline_s)
            fresh = await self._fresh(again)
            if fresh is not None:
                again.sent_at = time.monotonic()
                self.evidence.requests.append(again)
                await self._answer(fresh, again)

    async def _fresh(self, request: ClientRequest) -> Transport | None:
        """The request once more, on a new connection."""
        try:
            transport = await connect("127.0.0.1", self.port, 1.0)
            await transport.send(request_bytes(request))
        except (OSError, TimeoutError):
            return None
        return transport

    async def _write(self, transport: Transport, request: ClientRequest) -> None:
        data = request_bytes(request)
        if request.behaviour == "client_slow_write":
            for begin in range(0, len(data), len(data) // 5 + 1):
                await transport.send(data[begin : begin + len(data) // 5 + 1])
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
        elif request.behaviour == "client_pipeline":
            twin = ClientRequest(request.name + "-twin", self.router, "lookup", 1.5)
            await transport.send(data + request_bytes(twin))
        else:
            await transport.send(data)

    async def _answer(self, transport: Transport, request: ClientRequest) -> bool:
        """Reads the answer; whether the connection ended unread under a request on a kept connection."""
        leave_at = None
        if request.behaviour == "client_leave":
            leave_at = time.monotonic() + self.rng.choice((0.0, 0.005, 0.02, 0.05, 0.1, 0.4))
        parser, keep = http.ResponseParser(1 << 20), False
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                while not parser.done:
                    data = await self._receive(transport, request, leave_at)
                    if not data:
                        break
                    now = time.monotonic()
                    request.first_at = request.first_at or now
                    parser.feed(data)
                    request.body += parser.take()
                    request.event_times += [now] * data.count(b"data: ")
                    if request.behaviour == "client_leave_in_stream" and request.body:
                        leave_at = now
                    if request.behaviour == "client_never_read":
                        await asyncio.sleep(1.0)
            request.whole = parser.done
            keep = parser.keep_alive and not request.behaviour
        except BadMessage as fault:
            request.error = f"unreadable: {fault}"
        except TimeoutError:
            if request.closed_at is None:
                request.error = "no end in 12 s"
        except OSError as error:
            request.error = type(error).__name__
        request.status, request.ended_at = parser.status, time.monotonic()
        crossed = not request.new_connection and request.first_at is None and request.closed_at is None
        if keep and len(self.idle) < MAX_IDLE and request.closed_at is None:
            self.idle.append(transport)
        else:
            transport.close()
        if request.behaviour == "client_repeat_id" and request.whole:
            await self._repeat(request)
        return crossed and request.error != "no end in 12 s"

    async def _receive(self, transport: Transport, request: ClientRequest, leave_at: float | None) -> bytes:
        """The next bytes; b"" at the end, also where its client leaves."""
        if leave_at is None:
            return await transport.receive()
        try:
            async with asyncio.timeout(max(0.0, leave_at - time.monotonic())):
                return await transport.receive()
        except TimeoutError:
            transport.close()
            request.closed_at = time.monotonic()
            return b""

    async def _repeat(self, request: ClientRequest) -> None:
        """The same id again: never served as if it were new."""
        transport = await self._fresh(request)
        if transport is None:
            return
        again = ClientRequest(request.name, self.router, request.request_class, 1.0, "client_repeat_id")
        await self._answer_plain(transport, again)
        if again.status == 200:
            self.evidence.bad_bodies.append(f"{request.name}: an id that was used is served again")

    async def _answer_plain(self, transport: Transport, request: ClientRequest) -> None:
        parser = http.ResponseParser(1 << 20)
        try:
            async with asyncio.timeout(5.0):
                while not parser.done:
                    data = await transport.receive()
                    if not data:
                        break
                    parser.feed(data)
        except (OSError, TimeoutError, BadMessage):
            pass
        request.status = parser.status
        transport.close()

    async def _stall(self, request: ClientRequest) -> None:
        """Stops inside a request, the first or a later one of its connection, and stays."""
        transport = await self._transport(request)
        if transport is None:
            return
        try:
            await transport.send(request_bytes(request)[:-9])
            stalled = StalledClient(self.router, time.monotonic())
            self.evidence.stalled.append(stalled)
            async with asyncio.timeout(6.0):
                await transport.receive()
            stalled.answered_at = time.monotonic()
        except TimeoutError:
            pass
        except OSError:
            stalled.answered_at = time.monotonic()
        finally:
            transport.close()

    async def _flood(self) -> None:
        """Connections that stay silent."""
        for _ in range(FLOOD):
            try:
                self.held.append(await connect("127.0.0.1", self.port, 0.5))
            except (OSError, TimeoutError):
                return
        await asyncio.sleep(1.0)
        while self.held:
            self.held.pop().close()


def body_of(name: str) -> bytes:
    """The whole answer that a worker makes for this request."""
    return b"".join(events_of(name))
