"""Simulated workers speaking the platform protocol; each records the attempts that it received and executed."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from ramppulley.load.soak.evidence import Evidence, KvStateRecord, WorkerAttempt
from ramppulley.load.soak.hostile import HostileSenders
from ramppulley.load.soak.links import LinkConnection, LinkState
from ramppulley.standin import hostile_input
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.listener import Listener
from ramppulley.wire.sockets import Transport

PREFILL_S, DECODE_S, EVENT_GAP_S, EVENTS_PER_STREAM = 0.02, 0.03, 0.03, 4
SLOW_FACTOR = 10
QUEUE_TIMEOUT_S = 0.9  # a worker drops requests queued for longer, as the client may have given up
IDLE_FAULTS, IDLE_FAULT_S = ("worker_idle_close", "worker_idle_reset", "worker_idle_forget"), 0.08
FORGOTTEN_CONNECTION_S = 8.0
DISCONNECT_POLL_S = 0.004  # interval at which a worker checks whether the router closed the connection
EVENT_STREAM = http.response_head(200, {"content-type": "text/event-stream"})
DECLINED = {"srv-declined": "1"}
HUGE_CHUNK = b"B2D05E00\r\n"  # a chunk said to have 3 GB
HUGE_CHUNK_EVENTS_S, HUGE_CHUNK_EVENT_GAP_S = 8.0, 0.2  # it goes on with events for longer than its client may wait
SLOW_EVENT_PART_BYTES, SLOW_EVENT_GAP_S = 4, 0.25  # an event takes longer than a stream may be idle
HARMLESS_FAULTS = ("worker_slow_events",)  # a stream is passed on whole in spite of these
HOSTILE_ANSWER_SHARE = 0.3  # of the attempts at a hostile worker; the others begin well
CORRUPT_RESPONSE = b"\x00\x01\x02 this is no answer \r\n\r\n"


def expected_events(request_id: str) -> list[bytes]:
    """The stream events of a request; they contain its id, so that only a worker that ran it can send them."""
    texts = [
        f'data: {{"choices":[{{"index":0,"delta":{{"content":"{request_id}-{n}"}}}}]}}\n\n'
        for n in range(EVENTS_PER_STREAM)
    ]
    usage = 'data: {"choices":[],"usage":{"prompt_tokens":80,"completion_tokens":4}}\n\n'
    return [text.encode() for text in (*texts, usage, "data: [DONE]\n\n")]


class KvStateTracker:
    """KV states at prefill workers, by request id. A `DELETE` at any worker frees a state that no decode waits for."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.kv_states: dict[str, tuple[KvStateRecord, str]] = {}  # with the name of the prefill worker

    def add(self, attempt: WorkerAttempt) -> None:
        """Adds the KV state of a successful prefill."""
        kv_state = KvStateRecord(attempt.request_id, attempt.router, time.monotonic(), prefill_response_pending=True)
        self.evidence.kv_states.append(kv_state)
        self.kv_states[attempt.request_id] = kv_state, attempt.worker

    def prefill_answered(self, request_id: str) -> None:
        """The prefill attempt was answered or its connection closed: starts counting the hold time."""
        if request_id in self.kv_states:
            kv_state, _ = self.kv_states[request_id]
            kv_state.prefill_response_pending, kv_state.clock_started_at = False, time.monotonic()

    def decode_arrived(self, request_id: str) -> bool:
        """A decode for this state arrived: returns whether the state exists, and stops counting until `decode_ended`."""
        if request_id not in self.kv_states:
            return False
        kv_state, _ = self.kv_states[request_id]
        self._update_held_time(kv_state)
        kv_state.waiting_decodes += 1
        return True

    def decode_ended(self, request_id: str, consumed: bool) -> None:
        """The decode consumed the state, or ended without it."""
        if request_id not in self.kv_states:
            return
        kv_state, _ = self.kv_states[request_id]
        kv_state.waiting_decodes = max(0, kv_state.waiting_decodes - 1)
        kv_state.clock_started_at = time.monotonic()
        if consumed:
            kv_state.freed = True
            del self.kv_states[request_id]

    def release(self, request_id: str) -> None:
        """Handles a `DELETE`; ignored while a decode waits for the state."""
        if request_id in self.kv_states and not self.kv_states[request_id][0].waiting_decodes:
            kv_state, _ = self.kv_states.pop(request_id)
            self._update_held_time(kv_state)
            kv_state.freed = True

    def discard_worker(self, worker: str) -> None:
        """The worker crashed or vanished: its KV states are gone."""
        for request_id in [request_id for request_id, (_, holder) in self.kv_states.items() if holder == worker]:
            kv_state, _ = self.kv_states.pop(request_id)
            self._update_held_time(kv_state)
            kv_state.freed = True

    def exempt_router(self, router: int) -> None:
        """The router was killed and cannot release its KV states: exempts them from the limit."""
        for kv_state, _ in self.kv_states.values():
            if kv_state.router == router:
                kv_state.exempt = True

    def update(self) -> None:
        """Updates the hold times of all current KV states; called periodically."""
        for kv_state, _ in self.kv_states.values():
            self._update_held_time(kv_state)

    @staticmethod
    def _update_held_time(kv_state: KvStateRecord) -> None:
        if not kv_state.waiting_decodes and not kv_state.prefill_response_pending and not kv_state.exempt:
            kv_state.longest_held_s = max(kv_state.longest_held_s, time.monotonic() - kv_state.clock_started_at)


class Worker:
    """One prefill or decode worker, with a listener for each router."""

    def __init__(
        self,
        name: str,
        is_decode: bool,
        number: int,
        kv_state_tracker: KvStateTracker,
        evidence: Evidence,
        hostile: HostileSenders,
    ) -> None:
        self.name, self.is_decode, self.number, self.hostile = name, is_decode, number, hostile
        self.kv_state_tracker, self.evidence = kv_state_tracker, evidence
        self.links: dict[int, LinkState] = {}
        self.listeners: dict[int, Listener] = {}
        self.faults: dict[str, int] = {}
        self.running = asyncio.Event()
        self.running.set()
        self.hang_count = 0  # active hang faults
        self.ignore_close_count = 0  # while positive, a closed connection is noticed only after `resume`
        self.crashed, self.started_ms, self.health = False, 0, "Ready"
        self.forgotten: list[LinkConnection] = []  # open, but no longer read

    def listen(self, router: int) -> None:
        """Opens a listener for this router, so that each pair of router and worker has its own link."""
        link = self.links[router] = LinkState()
        self.listeners[router] = Listener(self._connection_handler(router, link)).start()

    def _connection_handler(self, router: int, link: LinkState) -> Callable[[Transport], Awaitable[None]]:
        async def serve(transport: Transport) -> None:
            connection = LinkConnection(link, transport)
            if link.late_connect:
                await connection.delay_service(0.6)
            try:
                await self._serve(router, connection)
                while connection in self.forgotten and transport.has_unread_bytes() is False and not transport.closed:
                    await asyncio.sleep(IDLE_FAULT_S)
                if connection in self.forgotten:
                    await asyncio.sleep(FORGOTTEN_CONNECTION_S)
            finally:
                connection.close()

        return serve

    def address(self, router: int) -> str:
        """The address of this worker that discovery gives to the router."""
        return f"127.0.0.1:{self.listeners[router].port}"

    def has_fault(self, kind: str) -> bool:
        """Whether a fault of this kind is active."""
        return self.faults.get(kind, 0) > 0

    def hang(self, ignore_close: bool) -> None:
        """Suspends the worker. `ignore_close`: closes by the router go unnoticed until it resumes."""
        self.hang_count, self.ignore_close_count = self.hang_count + 1, self.ignore_close_count + ignore_close
        self.running.clear()

    def resume(self) -> None:
        """Ends one hang fault; the worker resumes after the last one."""
        self.hang_count -= 1
        if not self.hang_count:
            self.ignore_close_count = 0
            self.running.set()

    def crash(self) -> None:
        """Resets all connections and discards the KV states."""
        self.crashed = True
        self.kv_state_tracker.discard_worker(self.name)
        for link in self.links.values():
            for connection in list(link.connections):
                connection.transport.reset()

    def restart(self) -> None:
        """Starts the worker with an empty cache and a new start time."""
        self.crashed, self.started_ms = False, int(time.time() * 1000)
        self.evidence.worker_starts[self.name] = time.monotonic()

    async def _serve(self, router: int, connection: LinkConnection) -> None:
        parser, first_byte_at = http.RequestParser(1 << 20), 0.0
        while True:
            while not parser.ready:
                began = parser.begun
                data = await self._receive_unless_crashed(connection, idle=not began)
                if not data:
                    return
                if not began:
                    first_byte_at = connection.received_at
                try:
                    parser.feed(data)
                except BadMessage:
                    return
            request = parser.ready.popleft()
            await self.running.wait()
            if self.crashed:
                connection.transport.reset()
                return
            if request.method == "POST":
                await self._handle_attempt(router, connection, request, first_byte_at)
            else:
                await self._handle_control_request(connection, request)

    async def _receive_unless_crashed(self, connection: LinkConnection, idle: bool) -> bytes:
        if self.crashed:
            connection.transport.reset()
            return b""
        if idle and any(self.has_fault(kind) for kind in IDLE_FAULTS):
            try:
                async with asyncio.timeout(IDLE_FAULT_S):
                    return await connection.receive()
            except TimeoutError:
                return self._apply_idle_fault(connection)
        return await connection.receive()

    def _apply_idle_fault(self, connection: LinkConnection) -> bytes:
        """Closes or resets an idle connection, or leaves it open and never reads it again."""
        if self.has_fault("worker_idle_forget"):
            self.forgotten.append(connection)
        elif self.has_fault("worker_idle_reset"):
            connection.transport.reset()
        return b""

    async def _handle_control_request(self, connection: LinkConnection, request: http.Request) -> None:
        if request.method == "DELETE":
            self.kv_state_tracker.release(request.target.rpartition("/")[2].replace("%3A", ":"))
            await connection.send(http.response(204, {}))
        else:
            body = b'{"lat_ms":12,"x0":0.25,"x1":0.5}' if request.path == platform.LOAD else b""
            await connection.send(http.response(200, {}, body))

    async def _handle_attempt(
        self, router: int, connection: LinkConnection, request: http.Request, first_byte_at: float
    ) -> None:
        request_id, deadline_ms = request.headers.get(platform.ID, ""), request.headers.get(platform.DEADLINE, "0")
        attempt = WorkerAttempt(request_id, router, self.name, self.is_decode, first_byte_at, int(deadline_ms))
        attempt.arrived_at = time.monotonic()
        self.evidence.attempts.append(attempt)
        try:
            await (self._decode if self.is_decode else self._prefill)(connection, attempt)
            attempt.outcome = attempt.outcome or "complete"
        except OSError:
            attempt.outcome = attempt.outcome or "disconnected"
            raise
        finally:
            attempt.ended_at = time.monotonic()
            attempt.fault_free = not (connection.faulted or self.crashed or self._has_harmful_fault())

    def _has_harmful_fault(self) -> bool:
        return any(count for kind, count in self.faults.items() if kind not in HARMLESS_FAULTS)

    async def _wait_in_queue(self, connection: LinkConnection, attempt: WorkerAttempt) -> bool:
        """Waits while the queue fault is active; returns False on a timeout, which applies to half of the request ids."""
        queue_timeout_s = QUEUE_TIMEOUT_S if attempt.request_id[-1] in "02468ace" else 60.0
        until = time.monotonic() + queue_timeout_s
        while self.has_fault("worker_queue") and connection.transport.is_quiet():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(DISCONNECT_POLL_S)
        return True

    async def _work(self, connection: LinkConnection, seconds: float) -> bool:
        """Simulates work for a time; returns False if the router closed the connection or the worker crashed."""
        if self.has_fault("worker_slow"):
            seconds *= SLOW_FACTOR
        until = time.monotonic() + seconds
        while (remaining_s := until - time.monotonic()) > 0 and connection.transport.is_quiet():
            await asyncio.sleep(min(DISCONNECT_POLL_S, remaining_s))
        # A hung worker gives up on a close by the router, unless it ignores closes.
        while not self.running.is_set() and (self.ignore_close_count or connection.transport.is_quiet()):
            await asyncio.sleep(DISCONNECT_POLL_S)
        return not self.crashed and connection.transport.is_quiet()

    async def _prefill(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has_fault("worker_decline"):
            attempt.outcome = "declined"
            await connection.send(http.response(503, DECLINED))
            return
        if not await self._wait_in_queue(connection, attempt):
            attempt.outcome = "declined"
            await connection.send(http.response(504, DECLINED))
            return
        if not await self._work(connection, PREFILL_S):
            attempt.outcome = "disconnected"
            raise ConnectionResetError
        if self._is_hostile(HOSTILE_ANSWER_SHARE):
            await self._send_hostile(connection, attempt, hostile_input.RESPONSE_FORMS)
        self.kv_state_tracker.add(attempt)
        try:
            await connection.send(http.response(202, {}, b'{"cached_tokens":64}'))
        finally:
            self.kv_state_tracker.prefill_answered(attempt.request_id)

    async def _decode(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has_fault("worker_decline"):
            attempt.outcome = "declined"
            await connection.send(http.response(503, DECLINED))
            return
        if not self.kv_state_tracker.decode_arrived(attempt.request_id):
            attempt.outcome = "no state"
            await connection.send(http.response(410, DECLINED))
            return
        try:
            dequeued = await self._wait_in_queue(connection, attempt)
            connected = dequeued and await self._work(connection, DECODE_S)
        except BaseException:
            self.kv_state_tracker.decode_ended(attempt.request_id, consumed=False)
            raise
        if not dequeued:
            self.kv_state_tracker.decode_ended(attempt.request_id, consumed=False)
            attempt.outcome = "declined"
            await connection.send(http.response(504, DECLINED))
            return
        if not connected:
            self.kv_state_tracker.decode_ended(attempt.request_id, consumed=False)
            attempt.outcome = "disconnected"
            raise ConnectionResetError
        self.kv_state_tracker.decode_ended(attempt.request_id, consumed=True)
        attempt.generation_started_at = time.monotonic()
        await self._stream(connection, attempt)

    async def _stream(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has_fault("worker_garbage"):
            attempt.outcome = "corrupt"
            await connection.send(CORRUPT_RESPONSE)
            raise ConnectionResetError
        if self._is_hostile(HOSTILE_ANSWER_SHARE):
            await self._send_hostile(connection, attempt, hostile_input.RESPONSE_FORMS)
        await connection.send(EVENT_STREAM)
        events = expected_events(attempt.request_id)
        for number, event in enumerate(events):
            if self.has_fault("worker_half") and number == len(events) // 2:
                attempt.outcome = "truncated"
                connection.transport.reset()
                raise ConnectionResetError
            if self.has_fault("worker_huge_chunk") and number == 1:
                await self._spoil(connection, attempt, event)
            if number == 1 and self._is_hostile():
                await self._send_hostile(connection, attempt, hostile_input.STREAM_FORMS)
            await self._send_event(connection, attempt, http.chunk(event), slowly=number == 1)
            attempt.event_times.append(time.monotonic())
            if not await self._work(connection, EVENT_GAP_S):
                attempt.outcome = "disconnected"
                raise ConnectionResetError
        await connection.send(http.LAST_CHUNK)
        if self.has_fault("worker_answer_twice"):
            await asyncio.sleep(0.004)
            await connection.send(EVENT_STREAM + http.chunk(b'data: {"twice":1}\n\n') + http.LAST_CHUNK)

    async def _send_event(self, connection: LinkConnection, attempt: WorkerAttempt, data: bytes, slowly: bool) -> None:
        if not slowly or not self.has_fault("worker_slow_events"):
            await connection.send(data)
            return
        for begin in range(0, len(data), SLOW_EVENT_PART_BYTES):
            await connection.send(data[begin : begin + SLOW_EVENT_PART_BYTES])
            await asyncio.sleep(SLOW_EVENT_GAP_S)
            await self.running.wait()
            if not connection.transport.is_quiet():
                attempt.cut_at = time.monotonic()
                raise ConnectionResetError

    async def _spoil(self, connection: LinkConnection, attempt: WorkerAttempt, event: bytes) -> None:
        """Begins a huge chunk, goes on with events for a while, and leaves the connection open. Does not return."""
        attempt.outcome = "corrupt"
        await connection.send(HUGE_CHUNK)
        attempt.spoilt_at = time.monotonic()
        while time.monotonic() < attempt.spoilt_at + HUGE_CHUNK_EVENTS_S and connection.transport.is_quiet():
            await connection.send(event)
            await asyncio.sleep(HUGE_CHUNK_EVENT_GAP_S)
        raise ConnectionResetError

    def _is_hostile(self, share: float = 1.0) -> bool:
        """Whether this share of the attempts draws hostile input now."""
        if not self.has_fault("worker_hostile") or not self.hostile.may_begin():
            return False
        return self.hostile.rng.random() < share

    async def _send_hostile(
        self, connection: LinkConnection, attempt: WorkerAttempt, forms: tuple[hostile_input.Form, ...]
    ) -> None:
        """Sends hostile input until the router closes the connection. Does not return."""
        attempt.outcome = "corrupt"

        def on_first_part() -> None:
            if forms is hostile_input.STREAM_FORMS:
                attempt.spoilt_at = time.monotonic()

        parts = hostile_input.draw(self.hostile.rng, forms)
        await self.hostile.send(parts, connection.send, connection.transport.is_quiet, on_first_part)
        raise ConnectionResetError
