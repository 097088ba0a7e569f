"""The front's connections on the platform: checked requests to the core, workers' events to the clients unchanged.

What cannot be read gets its error and a close at once. A client sends one request at a time; one that speaks while its
request is out is no such client.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Self

from ramppulley.fronts.client_connection import LINGER_TIMEOUT_S, ClientConnection, ClientConnections, send
from ramppulley.fronts.platform import answers
from ramppulley.fronts.platform.eviction import MIN_IDLE_S, eviction_order
from ramppulley.fronts.platform.requests import RequestTranslator
from ramppulley.fronts.response_stream import ResponseStream
from ramppulley.profile import Profile
from ramppulley.service import permission
from ramppulley.service.audit import Action, Violation
from ramppulley.service.core import Core
from ramppulley.service.neutral import CLIENT_LEFT, COMPLETED, FinalAnswer, InferenceRequest, TrackedRequest
from ramppulley.service.permission import Refusal, RequestFacts
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Listener, Transport

MAX_BODY_BYTES = 256 << 10
FIRST_BYTE_TIMEOUT_S, FIRST_REQUEST_TIMEOUT_S = (
    1.2,
    1.2,
)  # of a new connection: its first byte, its first request's last
IDLE_TIMEOUT_S = 6.0  # between requests
SLOW_CLIENT_TIMEOUT_S = 5.0  # for a later request, and for a client that does not read
LAST_REQUEST_GRACE_S = 0.05  # after the shutdown took its last request, for those that had come by then
MAX_ENDED_NAMES = 1024  # of ended requests; a new one may not bear any of them
REFUSAL_STATUS = {
    Refusal.OUT_OF_TURN: 400,
    Refusal.ID_USED: 409,
    Refusal.ROUTER_STOPS: 503,
    Refusal.ROUTER_FULL: 503,
}
EVENTS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


class EventStream(ResponseStream):
    """A worker's events, unchanged; `keep_alive()`: whether the connection goes on after them."""

    piece = ResponseStream.pass_on

    def __init__(self, connection: ClientConnection, keep_alive: Callable[[], bool]) -> None:
        super().__init__(connection.transport, SLOW_CLIENT_TIMEOUT_S)
        self.connection, self.keep_alive = connection, keep_alive

    def head(self) -> bytes:
        """A 200 for events."""
        self.connection.answer_begun = True
        return http.answer_head(200, EVENTS, self.keep_alive())


class PlatformFront:
    """Serves the platform's clients for one `core`. `endpoints_known()`: whether there is a list of workers to go by."""

    def __init__(
        self,
        core: Core,
        profile: Profile,
        log: Any,
        endpoints_known: Callable[[], bool],
        *,
        host: str,
        port: int,
        max_connections: int,
        max_requests: int,
    ) -> None:
        self.core, self.audit, self.log, self.endpoints_known = core, core.audit, log, endpoints_known
        self.configure(profile, max_requests)
        self.open_requests: dict[str, EventStream] = {}  # by name
        self.ended_names: dict[str, None] = {}  # of those that ended last, the oldest first
        self.new_connections: ClientConnections = {}  # without a whole request yet, the oldest first
        self.idle_connections: ClientConnections = {}  # that wait with nothing begun, the oldest first
        self.lingering_connections: ClientConnections = {}  # those refused, the oldest first
        self.closing, self.stopping = False, False  # each answer is its connection's last; no new request is taken
        self.taking_until = float("inf")  # by the clock of the event loop
        self.refused_requests = 0
        self.listener = Listener(self._serve, host, port, max_connections, free_capacity=self._make_room)

    def configure(self, profile: Profile, max_requests: int) -> None:
        """Requests that are whole from now on are read by these settings; so many may be open at once."""
        self.translator, self.max_requests = RequestTranslator(profile), max_requests

    @property
    def port(self) -> int:
        """Where it listens."""
        return self.listener.port

    def start(self) -> Self:
        """Begins to accept connections."""
        self.listener.start()
        return self

    async def stop(self, accept_s: float, timeout_s: float) -> None:
        """For `accept_s` seconds new requests are taken, each on a connection that ends with its answer; then none, and what
        was taken gets `timeout_s` seconds."""
        self.closing = True
        for connection in self.idle_connections.values():
            if connection.requests_served:
                connection.end()
        await asyncio.sleep(accept_s)
        self.stopping = True
        self.taking_until = asyncio.get_running_loop().time() + LAST_REQUEST_GRACE_S
        for connection in self.idle_connections.values():
            connection.end()
        await self.listener.stop(timeout_s)

    def _make_room(self) -> bool:
        """One connection more than there may be: one that waits makes room. Whether one did."""
        now = asyncio.get_running_loop().time()
        order = eviction_order(self.lingering_connections, self.new_connections, self.idle_connections, now)
        for connection in order:
            if self._may_be_evicted(connection):
                self.audit.count(Action.CLOSED, "evicted")
                self._forget_connection(connection)
                connection.end()
                return True
        return False

    def _may_be_evicted(self, connection: ClientConnection) -> bool:
        """A request that waits unread behind a burst of new connections is served first."""
        unread = connection.transport.has_unread_bytes()
        return connection.transport in self.lingering_connections or permission.may_close_idle(unread) is None

    def _forget_connection(self, connection: ClientConnection) -> None:
        for connections in (self.lingering_connections, self.new_connections, self.idle_connections):
            connections.pop(connection.transport, None)

    async def _serve(self, transport: Transport) -> None:
        connection = ClientConnection(transport, http.RequestParser(MAX_BODY_BYTES))
        self.new_connections[transport] = connection
        try:
            while await self._serve_next(connection):
                pass
        except (OSError, asyncio.CancelledError) as end:
            self.audit.count(Action.CLOSED, type(end).__name__)
            raise
        except Exception:
            await self._answer_own_fault(connection)
        finally:
            connection.close()

    async def _answer_own_fault(self, connection: ClientConnection) -> None:
        """An exception of our own is being handled: whoever was read has an answer."""
        name = connection.unanswered.headers.get(platform.ID, "") if connection.unanswered else ""
        self.audit.own_fault("connection", name)
        if connection.unanswered and not connection.answer_begun:
            await self._refuse(connection, 500, "a fault in the router")

    async def _serve_next(self, connection: ClientConnection) -> bool:
        """Answers the next request; whether the connection stays open."""
        request = await self._next_request(connection)
        if request is None:
            return False
        connection.unanswered, connection.answer_begun = request, False
        keep_alive = await self._handle(connection, request)
        if not connection.answer_begun and connection.transport.is_quiet():  # its client is there, and has nothing
            self.audit.violation(Violation.CLOSED_UNANSWERED, request.headers.get(platform.ID, ""))
        connection.unanswered = None
        if not keep_alive and connection.has_sent_more():
            await self._finish(connection)
        return keep_alive

    async def _next_request(self, connection: ClientConnection) -> http.Request | None:
        """The next whole request; None where there is none, and its client has been told why."""
        idle_timeout_s, request_timeout_s = self._timeouts(connection)
        try:
            try:
                return await connection.next_request(
                    idle_timeout_s, request_timeout_s, self.idle_connections, lambda: self.stopping
                )
            finally:
                self.new_connections.pop(connection.transport, None)
        except BadMessage as fault:
            await self._refuse(connection, fault.status, str(fault))
        except TimeoutError:
            if connection.parser.begun:
                await self._refuse(connection, 408, "the request did not come in time")
        return None

    def _timeouts(self, connection: ClientConnection) -> tuple[float, float]:
        """Seconds for the next request's first byte and for the rest of it. Idle connections go earlier where half of the
        connections that may be open are."""
        if not connection.requests_served:
            return FIRST_BYTE_TIMEOUT_S, FIRST_REQUEST_TIMEOUT_S
        plenty = 2 * len(self.listener.tasks) < self.listener.max_connections
        return IDLE_TIMEOUT_S if plenty else MIN_IDLE_S, SLOW_CLIENT_TIMEOUT_S

    async def _refuse(self, connection: ClientConnection, status: int, text: str) -> None:
        """An error that ends the connection."""
        self.refused_requests += 1
        connection.answer_begun = True
        await self._finish(connection, http.answer(*answers.text_answer(status, text), keep_alive=False))

    async def _finish(self, connection: ClientConnection, answer: bytes = b"") -> None:
        self.lingering_connections[connection.transport] = connection
        try:
            await connection.finish(answer)
        finally:
            self.lingering_connections.pop(connection.transport, None)

    async def _handle(self, connection: ClientConnection, http_request: http.Request) -> bool:
        """Answers one request; whether the connection stays open."""
        if http_request.path == platform.READY and http_request.method in ("GET", "HEAD"):
            return await self._answer_readiness(connection, http_request)
        try:
            request = self._check(connection, http_request)
        except BadMessage as fault:
            await self._refuse(connection, fault.status, str(fault))
            return False
        return await self._answer_request(connection, request, http_request.keep_alive)

    async def _answer_readiness(self, connection: ClientConnection, http_request: http.Request) -> bool:
        ready = self.endpoints_known() and not self.closing
        keep_alive = http_request.keep_alive and not self.closing
        answer = answers.text_answer(200, "ready") if ready else answers.text_answer(503, "not ready")
        if http_request.method == "HEAD":
            answer = answer._replace(body=b"")
        await self._send(connection, http.answer(*answer, keep_alive))
        return keep_alive

    def _check(self, connection: ClientConnection, http_request: http.Request) -> InferenceRequest:
        """The request, where it may be taken; raises BadMessage."""
        request = self.translator.translate(http_request)
        refusal = permission.may_take_request(
            RequestFacts(
                more_bytes=bool(connection.parser.begun or connection.parser.ready),
                taking=asyncio.get_running_loop().time() <= self.taking_until,
                id_used=request.name in self.open_requests or request.name in self.ended_names,
                open_requests=len(self.open_requests),
                max_requests=self.max_requests,
            )
        )
        if refusal is not None:
            self.audit.count(Action.REFUSED, refusal, request.name)
            raise BadMessage(refusal, REFUSAL_STATUS[refusal])
        return request

    async def _answer_request(self, connection: ClientConnection, request: InferenceRequest, keep_alive: bool) -> bool:
        """From taken to its final answer; whether the connection stays open."""
        stream = EventStream(connection, lambda: keep_alive and not self.closing)
        self.open_requests[request.name] = stream
        tracked = self.core.submit(request, stream)
        try:
            if not await self._wait_for_ending(connection, stream, tracked):
                return False  # the client left
            return await self._send_ending(connection, stream, stream.done.result(), keep_alive)
        finally:
            self._forget_request(request.name)
            self.core.client_left(tracked)  # no effect after an ending

    async def _wait_for_ending(
        self, connection: ClientConnection, stream: EventStream, tracked: TrackedRequest
    ) -> bool:
        """Until the request has ended; whether its client is still there."""
        while not stream.done.done():
            if not await connection.wait_for(stream.done):
                return False
            if connection.early_bytes and not stream.begun:
                self.core.client_left(tracked)  # no effect after an ending
        return True

    async def _send_ending(
        self, connection: ClientConnection, stream: EventStream, ending: FinalAnswer, keep_alive: bool
    ) -> bool:
        """What is left to send of the answer; whether the connection stays open."""
        if ending.result == CLIENT_LEFT:  # just now, or by the last look before an attempt, which reads nothing
            await self._refuse_early_bytes(connection)
            return False
        if stream.sending:
            return False
        keep_alive = keep_alive and not connection.early_bytes and not self.closing
        if ending.result == COMPLETED:
            await self._send(connection, http.LAST_CHUNK)
            return keep_alive
        if stream.begun:
            return False  # without the last chunk: no client can take it for a whole answer
        await self._send(connection, http.answer(*answers.answer_of(ending), keep_alive))
        return keep_alive

    async def _refuse_early_bytes(self, connection: ClientConnection) -> None:
        """A client counts as gone: one that spoke out of turn is told so, one that left has no answer."""
        if not connection.early_bytes:
            await asyncio.wait({connection.transport.readable.wait()}, timeout=LINGER_TIMEOUT_S)
            connection.early_bytes = connection.take() or b""
        if connection.early_bytes:
            await self._refuse(connection, 400, "one request at a time")

    async def _send(self, connection: ClientConnection, data: bytes) -> None:
        connection.answer_begun = True
        await send(connection.transport, data, SLOW_CLIENT_TIMEOUT_S)

    def _forget_request(self, name: str) -> None:
        """It has ended; its name stays used for some time."""
        del self.open_requests[name]
        self.ended_names[name] = None
        if len(self.ended_names) > MAX_ENDED_NAMES:
            del self.ended_names[next(iter(self.ended_names))]
