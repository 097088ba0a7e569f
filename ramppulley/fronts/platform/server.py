"""HTTP server for the platform's clients: passes validated requests to the core and workers' events to clients unchanged.

A message that cannot be parsed gets an error response and its connection is closed. A client may have one request at a time
on a connection; sending more bytes before the answer is an error.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Self

from ramppulley.fronts.client_connection import (
    LINGER_TIMEOUT_S,
    ClientConnection,
    ClientConnections,
    ClientReads,
    send,
)
from ramppulley.fronts.platform import answers
from ramppulley.fronts.platform.eviction import MIN_IDLE_S, eviction_order
from ramppulley.fronts.platform.memory_relief import MemoryRelief
from ramppulley.fronts.platform.requests import RequestTranslator
from ramppulley.fronts.platform.used_ids import UsedIds
from ramppulley.fronts.response_stream import ResponseStream
from ramppulley.profile import Profile
from ramppulley.service import permission
from ramppulley.service.audit import Action, Violation
from ramppulley.service.core import Core
from ramppulley.service.log_limit import LineLimit
from ramppulley.service.memory import MemoryBudget
from ramppulley.service.neutral import CLIENT_LEFT, COMPLETED, FinalAnswer, InferenceRequest, TrackedRequest
from ramppulley.service.permission import Refusal, RequestFacts
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.listener import Listener
from ramppulley.wire.sockets import Transport

MAX_BODY_BYTES = 256 << 10
FIRST_BYTE_TIMEOUT_S = 1.2  # for the first byte of a new connection
FIRST_REQUEST_TIMEOUT_S = 1.2  # for the rest of its first request
IDLE_TIMEOUT_S = 6.0  # between requests
SLOW_CLIENT_TIMEOUT_S = 5.0  # for later requests, and for a client that does not read
LAST_REQUEST_GRACE_S = 0.05  # on shutdown, for requests that have already arrived
MAX_LOGGED_REFUSALS_PER_S, MAX_LOGGED_ID_CHARS = 5, 40
REFUSAL_STATUS = {
    Refusal.OUT_OF_TURN: 400,
    Refusal.ID_USED: 409,
    Refusal.ROUTER_STOPS: 503,
    Refusal.ROUTER_FULL: 503,
    Refusal.OUT_OF_MEMORY: 503,
}
EVENT_STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


class EventStream(ResponseStream):
    """Passes on a worker's events unchanged. `keep_alive()`: whether the connection is kept open afterwards."""

    piece = ResponseStream.pass_on

    def __init__(self, connection: ClientConnection, keep_alive: Callable[[], bool]) -> None:
        super().__init__(connection.transport, SLOW_CLIENT_TIMEOUT_S)
        self.connection, self.keep_alive = connection, keep_alive

    def head(self) -> bytes:
        """The head of a 200 response with an event stream. Nothing further is sent for its request, whose body is freed."""
        self.connection.answer_begun = True
        if self.connection.unanswered is not None:
            self.connection.unanswered.drop_body()
            self.connection.update_account()
        return http.response_head(200, EVENT_STREAM_HEADERS, self.keep_alive())


class PlatformFront:
    """Serves the platform's clients for one `core`. `endpoints_known()`: whether a list of workers has been received."""

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
        memory: MemoryBudget | None = None,
        free_worker_connection: Callable[[], bool] = lambda: False,
    ) -> None:
        self.memory = memory or MemoryBudget()
        self.core, self.audit, self.log, self.endpoints_known = core, core.audit, log, endpoints_known
        self.configure(profile, max_requests)
        self.open_requests: dict[str, EventStream] = {}  # by name
        self.used_ids = UsedIds()  # of ended requests that were sent to a worker
        self.new_connections: ClientConnections = {}  # before their first whole request, the oldest first
        self.idle_connections: ClientConnections = {}  # waiting between requests, the oldest first
        self.lingering_connections: ClientConnections = {}  # being shut down, the oldest first
        self.partial_requests: ClientConnections = {}  # whose present request is incomplete, the oldest first
        self.relief = MemoryRelief(
            self.memory,
            self.partial_requests,
            self._refuse_for_memory,
            self._close_idle_connection,
            free_worker_connection,
        )
        self.closing, self.stopping = False, False  # each answer closes its connection; no new request is accepted
        self.accept_until = float("inf")  # time of the event loop
        self.refused_requests = 0
        self._max_unread_s = 0.0
        self.reads = ClientReads()
        self.refusal_lines = LineLimit(MAX_LOGGED_REFUSALS_PER_S)
        self.listener = Listener(self._serve, host, port, max_connections, free_capacity=self._evict_connection)

    def configure(self, profile: Profile, max_requests: int) -> None:
        """Applies settings to requests that are complete from now on. `max_requests`: limit on open requests."""
        self.translator, self.max_requests = RequestTranslator(profile), max_requests
        self.retry_after = profile.capabilities.longest_wait

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.listener.port

    def start(self) -> Self:
        """Starts to accept connections."""
        self.listener.start()
        return self

    async def stop(self, accept_s: float, timeout_s: float) -> None:
        """Accepts requests for another `accept_s` seconds and closes each connection after its answer; then refuses new
        requests and gives the accepted ones `timeout_s` seconds."""
        self.closing = True
        for connection in self.idle_connections.values():
            if connection.requests_served:
                connection.end()
        await asyncio.sleep(accept_s)
        self.stopping = True
        self.accept_until = asyncio.get_running_loop().time() + LAST_REQUEST_GRACE_S
        for connection in self.idle_connections.values():
            connection.end()
        await self.listener.stop(timeout_s)

    def max_unread_ms(self) -> int:
        """The longest time that an arrived request has waited to be read since the last call, for the log."""
        longest_s, self._max_unread_s = self._max_unread_s, 0.0
        return round(longest_s * 1000)

    def _evict_connection(self) -> bool:
        """Evicts a waiting connection at the connection limit; returns whether there was one."""
        return self._evict_first_of(self.lingering_connections, self.new_connections)

    def _close_idle_connection(self) -> bool:
        """As `_evict_connection`, but spares clients whose first request may be under way, or that may not have read their
        last answer."""
        return self._evict_first_of({}, {})

    def _evict_first_of(self, lingering: ClientConnections, new: ClientConnections) -> bool:
        now = asyncio.get_running_loop().time()
        for connection in eviction_order(lingering, new, self.idle_connections, now):
            if self._may_be_evicted(connection):
                self.audit.count(Action.CLOSED, "evicted")
                self._forget_connection(connection)
                connection.evict()
                return True
        return False

    def _may_be_evicted(self, connection: ClientConnection) -> bool:
        """Whether a connection may be closed.

        One with unread bytes may have sent a request, which is served before it is evicted by a burst of new connections.
        """
        unread = connection.transport.has_unread_bytes() or bool(connection.parser.ready)
        return connection.transport in self.lingering_connections or permission.may_close_idle(unread) is None

    def _forget_connection(self, connection: ClientConnection) -> None:
        for connections in (self.lingering_connections, self.new_connections, self.idle_connections):
            connections.pop(connection.transport, None)

    def _serve(self, transport: Transport) -> Awaitable[None]:
        """Lists a new connection at once, as one that may be evicted for the next."""
        connection = ClientConnection(
            transport, http.RequestParser(MAX_BODY_BYTES), self.reads, self.memory, self.relief.connection_grew
        )
        self.new_connections[transport] = connection
        connection.waiting_since = asyncio.get_running_loop().time()
        return self._serve_connection(connection)

    async def _serve_connection(self, connection: ClientConnection) -> None:
        try:
            while await self._serve_next(connection):
                if connection.parser.has_more():
                    await asyncio.sleep(0)  # others have their turn: answering needs no wait if the client reads
        except (OSError, asyncio.CancelledError) as end:
            self.audit.count(Action.CLOSED, type(end).__name__)
            raise
        except Exception:
            await self._answer_own_fault(connection)
        finally:
            connection.close()
            connection.connection_account.close()

    def _refuse_for_memory(self, connection: ClientConnection) -> None:
        self.audit.count(Action.REFUSED, Refusal.OUT_OF_MEMORY)
        self.partial_requests.pop(connection.transport, None)
        connection.refuse(BadMessage(Refusal.OUT_OF_MEMORY, REFUSAL_STATUS[Refusal.OUT_OF_MEMORY]))

    async def _answer_own_fault(self, connection: ClientConnection) -> None:
        """Called in an exception handler: answers a request that was read, and logs the fault."""
        self.audit.own_fault("connection", _request_id(connection))
        if connection.unanswered and not connection.answer_begun:
            await self._refuse(connection, 500, "a fault in the router")

    async def _serve_next(self, connection: ClientConnection) -> bool:
        """Answers the next request; returns whether the connection stays open."""
        request = await self._next_request(connection)
        if request is None:
            return False
        connection.unanswered, connection.answer_begun = request, False
        keep_alive = await self._handle(connection, request)
        if not connection.answer_begun and connection.transport.is_quiet():  # the client is connected and has no answer
            self.audit.violation(Violation.CLOSED_UNANSWERED, request.headers.get(platform.ID, ""))
        connection.unanswered = None
        connection.update_account()
        if not keep_alive and connection.has_sent_more():
            await self._finish(connection)
        return keep_alive

    async def _next_request(self, connection: ClientConnection) -> http.Request | None:
        """The next whole request; None if there is none, after an error response where one is due."""
        idle_timeout_s, request_timeout_s = self._timeouts(connection)
        try:
            return await connection.next_request(
                idle_timeout_s, request_timeout_s, self.idle_connections, self.partial_requests, lambda: self.stopping
            )
        except BadMessage as fault:
            status, text = fault.status, str(fault)
        except TimeoutError:
            status, text = 408, "the request did not come in time"
            if not connection.parser.begun:
                self.audit.count(Action.CLOSED, "idle")
                return None
        finally:
            self.new_connections.pop(connection.transport, None)
        # Behind the handlers: the error's traceback refers to what was received.
        await self._refuse(connection, status, text)
        return None

    def _timeouts(self, connection: ClientConnection) -> tuple[float, float]:
        """Timeouts in seconds for the first byte of the next request and for the rest of it. Idle connections are closed
        earlier when at least half of the maximum number of connections is open."""
        if not connection.requests_served:
            return FIRST_BYTE_TIMEOUT_S, FIRST_REQUEST_TIMEOUT_S
        below_half = 2 * len(self.listener.tasks) < self.listener.max_connections
        return IDLE_TIMEOUT_S if below_half else MIN_IDLE_S, SLOW_CLIENT_TIMEOUT_S

    async def _refuse(self, connection: ClientConnection, status: int, text: str) -> None:
        """Sends an error response and closes the connection, which keeps nothing of what it received meanwhile."""
        self._note_refusal(connection, status, text)
        connection.close()
        self.refused_requests += 1
        connection.answer_begun = True
        await self._finish(
            connection, http.response(*answers.refusal(status, text, self.retry_after), keep_alive=False)
        )

    def _note_refusal(self, connection: ClientConnection, status: int, text: str) -> None:
        """Counts a refusal by its status, as texts may quote the client, and logs it within the limit."""
        self.audit.count(Action.REFUSED, f"status {status}")
        if self.refusal_lines.allows(self.core.clock.now()):
            name = _request_id(connection)[:MAX_LOGGED_ID_CHARS]
            self.log.info("refused", status=status, why=repr(text), question=repr(name))

    async def _finish(self, connection: ClientConnection, answer: bytes = b"") -> None:
        self.lingering_connections[connection.transport] = connection
        try:
            await connection.finish(answer)
        finally:
            self.lingering_connections.pop(connection.transport, None)

    async def _handle(self, connection: ClientConnection, http_request: http.Request) -> bool:
        """Answers one request; returns whether the connection stays open."""
        if http_request.path == platform.READY and http_request.method in ("GET", "HEAD"):
            return await self._answer_readiness(connection, http_request)
        try:
            request = self._check_request(connection, http_request)
        except BadMessage as fault:
            status, text = fault.status, str(fault)
        else:
            return await self._answer_request(connection, request, http_request.keep_alive)
        http_request.drop_body()
        await self._refuse(connection, status, text)
        return False

    async def _answer_readiness(self, connection: ClientConnection, http_request: http.Request) -> bool:
        ready = self.endpoints_known() and not self.closing
        keep_alive = http_request.keep_alive and not self.closing
        answer = answers.text_answer(200, "ready") if ready else answers.text_answer(503, "not ready")
        if http_request.method == "HEAD":
            answer = answer._replace(body=b"")
        await self._send(connection, http.response(*answer, keep_alive))
        return keep_alive

    def _check_request(self, connection: ClientConnection, http_request: http.Request) -> InferenceRequest:
        """The translated request, if it may be accepted; raises BadMessage.

        Its deadline runs since its last byte arrived, also while it was not read or its connection not accepted."""
        age_s = connection.transport.age_of_last_byte_s()
        self._max_unread_s = max(self._max_unread_s, age_s)
        request = self.translator.translate(http_request, age_s)
        facts = RequestFacts(
            more_bytes=connection.parser.has_more(),
            accepting=asyncio.get_running_loop().time() <= self.accept_until,
            id_used=request.name in self.open_requests or request.name in self.used_ids,
            open_requests=len(self.open_requests),
            max_requests=self.max_requests,
            fits_memory=self.relief.fits_request(),
        )
        refusal = permission.may_accept_request(facts)
        if refusal is Refusal.OUT_OF_MEMORY and self.relief.make_room_for_request():
            refusal = None
        if refusal is not None:
            self.audit.count(Action.REFUSED, refusal, request.name)
            raise BadMessage(refusal, REFUSAL_STATUS[refusal])
        return request

    async def _answer_request(self, connection: ClientConnection, request: InferenceRequest, keep_alive: bool) -> bool:
        """Serves an accepted request to its final answer; returns whether the connection stays open."""
        connection.accepted = True
        connection.update_account()
        stream = EventStream(connection, lambda: keep_alive and not self.closing)
        self.open_requests[request.name] = stream
        tracked = self.core.submit(request, stream)
        try:
            if not await self._wait_for_final_answer(connection, stream, tracked):
                self.audit.count(Action.CLOSED, "client left", request.name)
                return False
            return await self._send_final_answer(connection, stream, stream.done.result(), keep_alive)
        finally:
            self._forget_request(request.name, bool(tracked.attempts))
            self.core.client_left(tracked)  # no effect after the final answer
            connection.accepted = False

    async def _wait_for_final_answer(
        self, connection: ClientConnection, stream: EventStream, tracked: TrackedRequest
    ) -> bool:
        """Waits for the final answer; returns whether the client is still connected."""
        while not stream.done.done():
            if not await connection.wait_for(stream.done):
                return False
            if connection.early_bytes and not stream.begun:
                self.core.client_left(tracked)  # no effect after the final answer
        return True

    async def _send_final_answer(
        self, connection: ClientConnection, stream: EventStream, final_answer: FinalAnswer, keep_alive: bool
    ) -> bool:
        """Sends the rest of the response; returns whether the connection stays open."""
        if final_answer.result == CLIENT_LEFT:
            # Noticed just now, or by the check before an attempt, which reads nothing.
            await self._refuse_early_bytes(connection)
            return False
        if stream.sending:
            self.audit.count(Action.CLOSED, "client reads no more", _request_id(connection))
            return False
        keep_alive = keep_alive and not connection.early_bytes and not self.closing
        if final_answer.result == COMPLETED:
            await self._send(connection, http.LAST_CHUNK)
            return keep_alive
        if stream.begun:
            # Without the last chunk the client recognizes a truncated response.
            self.audit.count(Action.CLOSED, "stream cut", _request_id(connection))
            return False
        await self._send(connection, http.response(*answers.answer_of(final_answer), keep_alive))
        return keep_alive

    async def _refuse_early_bytes(self, connection: ClientConnection) -> None:
        """Answers a client that counts as gone because it sent unexpected bytes; one that left gets no answer."""
        if not connection.early_bytes:
            await asyncio.wait({connection.transport.readable.wait()}, timeout=LINGER_TIMEOUT_S)
            connection.early_bytes = connection.receive_available() or b""
        if connection.early_bytes:
            await self._refuse(connection, 400, "one request at a time")

    async def _send(self, connection: ClientConnection, data: bytes) -> None:
        connection.answer_begun = True
        await send(connection.transport, data, SLOW_CLIENT_TIMEOUT_S)

    def _forget_request(self, name: str, was_sent: bool) -> None:
        """Removes an ended request. If it was sent to a worker, it may have run, and its id may not be used again."""
        del self.open_requests[name]
        if was_sent:
            self.used_ids.add(name)


def _request_id(connection: ClientConnection) -> str:
    """The id of the request that the connection has not answered, as its client sent it; "" if there is none."""
    return connection.unanswered.headers.get(platform.ID, "") if connection.unanswered else ""
