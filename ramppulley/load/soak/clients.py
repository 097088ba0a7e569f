"""Simulated clients of a run: regular ones with keep-alive connections, and misbehaving ones while a fault is active."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

from ramppulley.load.soak.evidence import BystanderWait, ClientRequest, Evidence, StalledClient
from ramppulley.load.soak.hostile import Bystander, HostileClients, HostileSenders
from ramppulley.load.soak.workers import expected_events
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport, connect

REQUEST_CLASSES = ("lookup", "lodge", "book")
DEADLINES_S = (0.3, 1.5, 3.0, 4.0)
MAX_IDLE_CONNECTIONS = 6  # idle keep-alive connections per router
CLIENT_TIMEOUT_S = 12.0
SHUTDOWN_LOAD_FACTOR = 4
MAX_KEPT_BODY_BYTES = 64 << 10
BODY = b'{"model":"chat","stream":true,"messages":[]}'
FLOOD_CONNECTIONS = 40
# For each request while the fault is active; together at most so many as the platform's clients may hold for requests.
LARGE_BODY_CLIENTS, LARGE_BODY_SHARE = 8, 1 / 3  # of the descriptors
MAX_LARGE_BODIES = 800  # of all routers together: 200 MB in flight, which the harness can still send in time
LARGE_BODY_BYTES = 255 << 10
LARGE_BODY = memoryview(b"x" * LARGE_BODY_BYTES)
LARGE_BODY_HEAD = http.request_head(
    "POST", "/v1/chat/completions", {"host": "origin.svc", "req-id": "large", "req-kind": "lookup"}, 256 << 10
)


def request_bytes(request: ClientRequest) -> bytes:
    """Encodes the request in the platform protocol."""
    headers = {
        "host": "origin.svc",
        "req-id": request.request_id,
        "req-kind": request.request_class,
        "req-key": request.request_id[-2:],
        "req-deadline-ms": int(request.deadline_s * 1000),
        "req-extra": "prefix=5c0f,prompt_len=80,prefix_len=40,max_out=64",
    }
    return http.request("POST", "/v1/chat/completions", headers, BODY)


class ClientPool:
    """The simulated clients of one router."""

    def __init__(
        self,
        router: int,
        port: int,
        seed: int,
        evidence: Evidence,
        descriptors: int,
        routers: int,
        hostile: HostileSenders,
    ) -> None:
        self.router, self.port, self.evidence = router, port, evidence
        self.hostile = HostileClients(port, hostile)
        self.large_bodies = 0
        self.max_large_bodies = min(
            int(descriptors * LARGE_BODY_SHARE) - MAX_IDLE_CONNECTIONS, MAX_LARGE_BODIES // routers
        )
        self.rng = random.Random(f"{seed}-{router}")
        self.idle: list[Transport] = []
        self.faults: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0
        self.new_connections_until = float("inf")  # no new connections are opened after this time
        self.shutdown_load = False  # after SIGTERM: requests arrive at a higher rate
        self.flood_connections: list[Transport] = []

    def has_fault(self, kind: str) -> bool:
        """Whether a fault of this kind is active."""
        return self.faults.get(kind, 0) > 0

    async def run(self, until: float, per_s: float) -> None:
        """Sends requests as a Poisson process until the given monotonic time."""
        self._spawn(Bystander(self.port, self._record_wait).run(until))
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(SHUTDOWN_LOAD_FACTOR * per_s if self.shutdown_load else per_s))
            self._spawn(self._send_one())

    def _record_wait(self, asked_at: float, answered_at: float) -> None:
        self.evidence.bystander_waits.append(BystanderWait(self.router, asked_at, answered_at))

    def begin_hostile(self) -> None:
        """Starts the hostile clients, which send for as long as their fault is active."""
        self.hostile.begin(lambda: self.has_fault("client_hostile"))

    def begin_shutdown_load(self, new_connections_until: float) -> None:
        """The router received SIGTERM: raises the request rate; new connections are opened only until the given time."""
        self.shutdown_load, self.new_connections_until = True, new_connections_until

    def end_shutdown_load(self) -> None:
        """The router process has exited: returns to the normal request rate."""
        self.shutdown_load, self.new_connections_until = False, float("inf")

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_finished(self) -> None:
        """Waits until all requests have finished, then closes all connections."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=CLIENT_TIMEOUT_S)
        for transport in (*self.idle, *self.flood_connections):
            transport.close()

    async def _send_one(self) -> None:
        self.request_count += 1
        request_id = f"q{self.router}-{self.request_count}-{self.rng.getrandbits(24):06x}"
        request = ClientRequest(request_id, self.router, self.rng.choice(REQUEST_CLASSES), self.rng.choice(DEADLINES_S))
        if self.has_fault("client_flood"):
            self._spawn(self._hold_idle_connections())
        if self.has_fault("client_large_body"):
            for _ in range(min(LARGE_BODY_CLIENTS, self.max_large_bodies - self.large_bodies)):
                self._spawn(self._stop_within_large_body())
        if self.has_fault("client_stall_in_request") and self.rng.random() < 0.3:
            await self._stall_in_request(request)
            return
        for kind, probability in (
            ("client_leave", 0.4),
            ("client_leave_in_stream", 0.3),
            ("client_slow_write", 0.3),
            ("client_pipeline", 0.2),
            ("client_repeat_id", 0.2),
            ("client_never_read", 0.1),
        ):
            if self.has_fault(kind) and self.rng.random() < probability:
                request.client_fault = kind
                break
        await self._send_request(request)

    async def _acquire_connection(self, request: ClientRequest) -> Transport | None:
        while self.idle:
            transport = self.idle.pop()
            if transport.is_quiet():
                request.new_connection = False
                return transport
            transport.close()
        request.new_connection = True
        if time.monotonic() > self.new_connections_until:
            return None
        try:
            return await connect("127.0.0.1", self.port, 1.0)
        except (OSError, TimeoutError):
            return None  # no listener: a client would choose another router

    async def _send_request(self, request: ClientRequest) -> None:
        transport = await self._acquire_connection(request)
        if transport is None:
            return
        try:
            await self._write_request(transport, request)
        except (OSError, TimeoutError):
            transport.close()
            if not request.new_connection:  # the router closed the idle connection while the request was being sent
                await self._send_request(request)
            return
        request.sent_at = time.monotonic()
        if request.client_fault != "client_repeat_id" or not request.error:
            self.evidence.requests.append(request)
        closed_unanswered = await self._read_response(transport, request)
        if closed_unanswered:
            self.evidence.requests.remove(request)
            self.idle = [idle for idle in self.idle if idle is not transport]
            request.error, request.client_fault = "", ""
            transport.close()
            repeated = ClientRequest(request.request_id, self.router, request.request_class, request.deadline_s)
            new_transport = await self._send_on_new_connection(repeated)
            if new_transport is not None:
                repeated.sent_at = time.monotonic()
                self.evidence.requests.append(repeated)
                await self._read_response(new_transport, repeated)

    async def _send_on_new_connection(self, request: ClientRequest) -> Transport | None:
        """Sends the request on a new connection."""
        try:
            transport = await connect("127.0.0.1", self.port, 1.0)
            await transport.send(request_bytes(request))
        except (OSError, TimeoutError):
            return None
        return transport

    async def _write_request(self, transport: Transport, request: ClientRequest) -> None:
        data = request_bytes(request)
        if request.client_fault == "client_slow_write":
            for begin in range(0, len(data), len(data) // 5 + 1):
                await transport.send(data[begin : begin + len(data) // 5 + 1])
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
        elif request.client_fault == "client_pipeline":
            pipelined = ClientRequest(request.request_id + "-twin", self.router, "lookup", 1.5)
            await transport.send(data + request_bytes(pipelined))
        else:
            await transport.send(data)

    async def _read_response(self, transport: Transport, request: ClientRequest) -> bool:
        """Reads the response; returns whether a reused connection was closed before any response byte."""
        close_at = None
        if request.client_fault == "client_leave":
            close_at = time.monotonic() + self.rng.choice((0.0, 0.005, 0.02, 0.05, 0.1, 0.4))
        parser, reusable = http.ResponseParser(1 << 20), False
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                while not parser.done:
                    data = await self._receive(transport, request, close_at)
                    if not data:
                        break
                    now = time.monotonic()
                    request.response_started_at = request.response_started_at or now
                    parser.feed(data)
                    request.body += parser.take()[: MAX_KEPT_BODY_BYTES - len(request.body)]
                    request.event_times += [now] * data.count(b"data: ")
                    if request.client_fault == "client_leave_in_stream" and request.body:
                        close_at = now
                    if request.client_fault == "client_never_read":
                        await asyncio.sleep(1.0)
            request.complete = parser.done
            reusable = parser.keep_alive and not request.client_fault
        except BadMessage as bad_message:
            request.error = f"malformed response: {bad_message}"
        except TimeoutError:
            if request.client_closed_at is None:
                request.error = "response not finished within 12 s"
        except OSError as error:
            request.error = type(error).__name__
        request.status, request.ended_at = parser.status, time.monotonic()
        closed_unanswered = (
            not request.new_connection and request.response_started_at is None and request.client_closed_at is None
        )
        if reusable and len(self.idle) < MAX_IDLE_CONNECTIONS and request.client_closed_at is None:
            self.idle.append(transport)
        else:
            transport.close()
        if request.client_fault == "client_repeat_id" and request.complete:
            await self._repeat_request_id(request)
        return closed_unanswered and request.error != "response not finished within 12 s"

    async def _receive(self, transport: Transport, request: ClientRequest, close_at: float | None) -> bytes:
        """Returns the next bytes, or b"" at the end of the stream or after the client closes at `close_at`."""
        if close_at is None:
            return await transport.receive()
        try:
            async with asyncio.timeout(max(0.0, close_at - time.monotonic())):
                return await transport.receive()
        except TimeoutError:
            transport.close()
            request.client_closed_at = time.monotonic()
            return b""

    async def _repeat_request_id(self, request: ClientRequest) -> None:
        """Sends a finished request again under the same id, which must not be served as a new request."""
        transport = await self._send_on_new_connection(request)
        if transport is None:
            return
        repeated = ClientRequest(request.request_id, self.router, request.request_class, 1.0, "client_repeat_id")
        await self._read_status(transport, repeated)
        if repeated.status == 200:
            self.evidence.repeated_id_responses.append(f"{request.request_id}: a repeated request id was served again")

    async def _read_status(self, transport: Transport, request: ClientRequest) -> None:
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

    async def _stall_in_request(self, request: ClientRequest) -> None:
        """Stops sending in the middle of a request, on a new or a reused connection, and keeps the connection open."""
        transport = await self._acquire_connection(request)
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

    async def _stop_within_large_body(self) -> None:
        """Sends most of a large body on a new connection, and waits for the error."""
        self.large_bodies += 1
        try:
            await self._send_part_of_large_body()
        finally:
            self.large_bodies -= 1

    async def _send_part_of_large_body(self) -> None:
        try:
            transport = await connect("127.0.0.1", self.port, 0.5)
        except (OSError, TimeoutError):
            return
        try:
            async with asyncio.timeout(6.0):
                await transport.send(LARGE_BODY_HEAD)
                await transport.send(LARGE_BODY)
                await transport.receive()
        except (OSError, TimeoutError):
            pass
        finally:
            transport.close()

    async def _hold_idle_connections(self) -> None:
        """Opens connections that send nothing, and closes them after a second."""
        for _ in range(FLOOD_CONNECTIONS):
            try:
                self.flood_connections.append(await connect("127.0.0.1", self.port, 0.5))
            except (OSError, TimeoutError):
                return
        await asyncio.sleep(1.0)
        while self.flood_connections:
            self.flood_connections.pop().close()


def expected_body(request_id: str) -> bytes:
    """The complete response body that a worker generates for this request."""
    return b"".join(expected_events(request_id))
