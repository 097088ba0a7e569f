"""The workers of a run, by the platform's protocol: each keeps account of what reached it and what it ran."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from ramppulley.load.soak.evidence import Evidence, Hold, WorkerAttempt
from ramppulley.load.soak.links import LinkConnection, LinkState
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Listener, Transport

PREFILL_S, DECODE_S, EVENT_GAP_S, EVENTS = 0.02, 0.03, 0.03, 4
SLOW_FACTOR = 10
QUEUE_TIMEOUT_S = 0.9  # a worker drops what has waited for so long, as its client may have given up
IDLE_FAULTS, IDLE_FAULT_S = ("worker_idle_close", "worker_idle_reset", "worker_idle_forget"), 0.08
FORGOTTEN_S = 8.0
LOOK_S = 0.004  # it sees so soon that its router closed
EVENT_STREAM = http.response_head(200, {"content-type": "text/event-stream"})
DECLINED = {"srv-declined": "1"}
NOISE = b"\x00\x01\x02 this is no answer \r\n\r\n"


def events_of(name: str) -> list[bytes]:
    """The events that only a worker that ran this very request makes."""
    texts = [f'data: {{"choices":[{{"index":0,"delta":{{"content":"{name}-{n}"}}}}]}}\n\n' for n in range(EVENTS)]
    usage = 'data: {"choices":[],"usage":{"prompt_tokens":80,"completion_tokens":4}}\n\n'
    return [text.encode() for text in (*texts, usage, "data: [DONE]\n\n")]


class KvStates:
    """KV states at prefill workers, by request: a `DELETE` at any worker frees what no attempt waits for."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.holds: dict[str, tuple[Hold, str]] = {}  # with the worker that holds it

    def hold(self, attempt: WorkerAttempt) -> None:
        """A prefill has ended well."""
        hold = Hold(attempt.name, attempt.router, time.monotonic(), answering=True)
        self.evidence.holds.append(hold)
        self.holds[attempt.name] = hold, attempt.worker

    def prefill_answered(self, name: str) -> None:
        """The prefill's own answer is out, or its connection is closed: from now on the clock runs."""
        if name in self.holds:
            hold, _ = self.holds[name]
            hold.answering, hold.since = False, time.monotonic()

    def wait(self, name: str) -> bool:
        """A decode arrived that wants it: whether it is there. The clock stands until `answered`."""
        if name not in self.holds:
            return False
        hold, _ = self.holds[name]
        self._count(hold)
        hold.waiting += 1
        return True

    def answered(self, name: str, taken: bool) -> None:
        """That decode took it, or ended without."""
        if name not in self.holds:
            return
        hold, _ = self.holds[name]
        hold.waiting = max(0, hold.waiting - 1)
        hold.since = time.monotonic()
        if taken:
            hold.over = True
            del self.holds[name]

    def release(self, name: str) -> None:
        """A `DELETE` came."""
        if name in self.holds and not self.holds[name][0].waiting:
            hold, _ = self.holds.pop(name)
            self._count(hold)
            hold.over = True

    def lose(self, worker: str) -> None:
        """Its holder died: what it held is gone."""
        for name in [name for name, (_, holder) in self.holds.items() if holder == worker]:
            hold, _ = self.holds.pop(name)
            self._count(hold)
            hold.over = True

    def excuse(self, router: int) -> None:
        """That router was killed: it forgets what it held."""
        for hold, _ in self.holds.values():
            if hold.router == router:
                hold.excused = True

    def look(self) -> None:
        """Counts what is held now; to be called often."""
        for hold, _ in self.holds.values():
            self._count(hold)

    @staticmethod
    def _count(hold: Hold) -> None:
        if not hold.waiting and not hold.answering and not hold.excused:
            hold.longest_s = max(hold.longest_s, time.monotonic() - hold.since)


class Worker:
    """One prefill or decode worker, with a listener for each router."""

    def __init__(self, name: str, decode: bool, number: int, states: KvStates, evidence: Evidence) -> None:
        self.name, self.decode, self.number, self.states, self.evidence = name, decode, number, states, evidence
        self.links: dict[int, LinkState] = {}
        self.listeners: dict[int, Listener] = {}
        self.faults: dict[str, int] = {}
        self.awake = asyncio.Event()
        self.awake.set()
        self.hangs, self.deaf = 0, 0  # faults that are on; while it is deaf, it sees closes only once it is awake
        self.dead, self.born_ms, self.state = False, 0, "Ready"
        self.forgotten: list[LinkConnection] = []  # open, and heard by nobody

    def listen(self, router: int) -> None:
        """An address of its own for that router."""
        link = self.links[router] = LinkState()
        self.listeners[router] = Listener(self._serving(router, link)).start()

    def _serving(self, router: int, link: LinkState) -> Callable[[Transport], Awaitable[None]]:
        async def serve(transport: Transport) -> None:
            connection = LinkConnection(link, transport)
            if link.late_connect:
                await connection.wait_unserved(0.6)
            try:
                await self._serve(router, connection)
                while connection in self.forgotten and transport.has_unread_bytes() is False and not transport.closed:
                    await asyncio.sleep(IDLE_FAULT_S)
                if connection in self.forgotten:
                    await asyncio.sleep(FORGOTTEN_S)
            finally:
                connection.close()

        return serve

    def address(self, router: int) -> str:
        """As discovery tells it to that router."""
        return f"127.0.0.1:{self.listeners[router].port}"

    def has(self, fault: str) -> bool:
        """Whether this fault is on."""
        return self.faults.get(fault, 0) > 0

    def hang(self, deaf: bool) -> None:
        """Its process stands still. `deaf`: it sees no close either."""
        self.hangs, self.deaf = self.hangs + 1, self.deaf + deaf
        self.awake.clear()

    def wake(self) -> None:
        """One fault less."""
        self.hangs -= 1
        if not self.hangs:
            self.deaf = 0
            self.awake.set()

    def crash(self) -> None:
        """All its connections are reset, what it held is lost."""
        self.dead = True
        self.states.lose(self.name)
        for link in self.links.values():
            for connection in list(link.connections):
                connection.transport.reset()

    def start_cold(self) -> None:
        """It is back, and empty."""
        self.dead, self.born_ms = False, int(time.time() * 1000)
        self.evidence.born[self.name] = time.monotonic()

    async def _serve(self, router: int, connection: LinkConnection) -> None:
        parser, first_byte_at = http.RequestParser(1 << 20), 0.0
        while True:
            while not parser.ready:
                began = parser.begun
                data = await self._receive_alive(connection, idle=not began)
                if not data:
                    return
                if not began:
                    first_byte_at = connection.received_at
                try:
                    parser.feed(data)
                except BadMessage:
                    return
            request = parser.ready.popleft()
            await self.awake.wait()
            if self.dead:
                connection.transport.reset()
                return
            if request.method == "POST":
                await self._attempt(router, connection, request, first_byte_at)
            else:
                await self._small_call(connection, request)

    async def _receive_alive(self, connection: LinkConnection, idle: bool) -> bytes:
        if self.dead:
            connection.transport.reset()
            return b""
        if idle and any(self.has(fault) for fault in IDLE_FAULTS):
            try:
                async with asyncio.timeout(IDLE_FAULT_S):
                    return await connection.receive()
            except TimeoutError:
                return self._end_idle(connection)
        return await connection.receive()

    def _end_idle(self, connection: LinkConnection) -> bytes:
        """Ends a connection that is idle, or forgets it: then what comes on it is never heard."""
        if self.has("worker_idle_forget"):
            self.forgotten.append(connection)
        elif self.has("worker_idle_reset"):
            connection.transport.reset()
        return b""

    async def _small_call(self, connection: LinkConnection, request: http.Request) -> None:
        if request.method == "DELETE":
            self.states.release(request.target.rpartition("/")[2].replace("%3A", ":"))
            await connection.send(http.response(204, {}))
        else:
            body = b'{"lat_ms":12,"x0":0.25,"x1":0.5}' if request.path == platform.LOAD else b""
            await connection.send(http.response(200, {}, body))

    async def _attempt(
        self, router: int, connection: LinkConnection, request: http.Request, first_byte_at: float
    ) -> None:
        name, told = request.headers.get(platform.ID, ""), request.headers.get(platform.DEADLINE, "0")
        attempt = WorkerAttempt(name, router, self.name, self.decode, first_byte_at, int(told))
        attempt.arrived_at = time.monotonic()
        self.evidence.attempts.append(attempt)
        try:
            await (self._decode if self.decode else self._prefill)(connection, attempt)
            attempt.outcome = attempt.outcome or "whole"
        except OSError:
            attempt.outcome = attempt.outcome or "left"
            raise
        finally:
            attempt.ended_at = time.monotonic()
            attempt.clean = not (connection.faulted or self.dead or any(self.faults.values()))

    async def _wait_in_queue(self, connection: LinkConnection, attempt: WorkerAttempt) -> bool:
        """It has come, and waits for its turn; whether it gets one. Every other request is dropped after a while."""
        patience_s = QUEUE_TIMEOUT_S if attempt.name[-1] in "02468ace" else 60.0
        until = time.monotonic() + patience_s
        while self.has("worker_queue") and connection.transport.is_quiet():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(LOOK_S)
        return True

    async def _work(self, connection: LinkConnection, seconds: float) -> bool:
        """Works so long, unless the router closes: whether it is still there."""
        if self.has("worker_slow"):
            seconds *= SLOW_FACTOR
        until = time.monotonic() + seconds
        while (left_s := until - time.monotonic()) > 0 and connection.transport.is_quiet():
            await asyncio.sleep(min(LOOK_S, left_s))
        while not self.awake.is_set() and (self.deaf or connection.transport.is_quiet()):  # a close gives it up
            await asyncio.sleep(LOOK_S)
        return not self.dead and connection.transport.is_quiet()

    async def _prefill(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has("worker_decline"):
            attempt.outcome = "declined"
            await connection.send(http.response(503, DECLINED))
            return
        if not await self._wait_in_queue(connection, attempt):
            attempt.outcome = "declined"
            await connection.send(http.response(504, DECLINED))
            return
        if not await self._work(connection, PREFILL_S):
            attempt.outcome = "left"
            raise ConnectionResetError
        self.states.hold(attempt)
        try:
            await connection.send(http.response(202, {}, b'{"cached_tokens":64}'))
        finally:
            self.states.prefill_answered(attempt.name)

    async def _decode(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has("worker_decline"):
            attempt.outcome = "declined"
            await connection.send(http.response(503, DECLINED))
            return
        if not self.states.wait(attempt.name):
            attempt.outcome = "no state"
            await connection.send(http.response(410, DECLINED))
            return
        try:
            taken_up = await self._wait_in_queue(connection, attempt)
            there = taken_up and await self._work(connection, DECODE_S)
        except BaseException:
            self.states.answered(attempt.name, taken=False)
            raise
        if not taken_up:
            self.states.answered(attempt.name, taken=False)
            attempt.outcome = "declined"
            await connection.send(http.response(504, DECLINED))
            return
        if not there:
            self.states.answered(attempt.name, taken=False)
            attempt.outcome = "left"
            raise ConnectionResetError
        self.states.answered(attempt.name, taken=True)
        attempt.begun_at = time.monotonic()
        await self._stream(connection, attempt)

    async def _stream(self, connection: LinkConnection, attempt: WorkerAttempt) -> None:
        if self.has("worker_garbage"):
            attempt.outcome = "garbage"
            await connection.send(NOISE)
            raise ConnectionResetError
        await connection.send(EVENT_STREAM)
        events = events_of(attempt.name)
        for number, event in enumerate(events):
            if self.has("worker_half") and number == len(events) // 2:
                attempt.outcome = "cut"
                connection.transport.reset()
                raise ConnectionResetError
            await connection.send(http.chunk(event))
            attempt.event_times.append(time.monotonic())
            if not await self._work(connection, EVENT_GAP_S):
                attempt.outcome = "left"
                raise ConnectionResetError
        await connection.send(http.LAST_CHUNK)
        if self.has("worker_answer_twice"):
            await asyncio.sleep(0.004)
            await connection.send(EVENT_STREAM + http.chunk(b'data: {"twice":1}\n\n') + http.LAST_CHUNK)
