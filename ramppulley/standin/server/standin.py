"""The server of one stand-in engine: its start and stop, its connections, and the paths that it answers."""

import asyncio
from dataclasses import dataclass

import msgspec

from ramppulley.standin.server import generation, pooling
from ramppulley.standin.server.admission import Admission
from ramppulley.standin.server.clock import monotonic_now
from ramppulley.standin.server.faults import EngineFaults
from ramppulley.standin.server.generation import GenerationEndpoints
from ramppulley.standin.server.holds import Holds
from ramppulley.standin.server.kv_endpoints import KvEndpoints
from ramppulley.standin.server.load_reports import LoadReports
from ramppulley.standin.server.pooling import PoolingEndpoints
from ramppulley.standin.server.pump import EnginePump
from ramppulley.standin.server.responses import ResponseWriter
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.listener import Listener

MAX_REQUEST_BYTES = 64 << 20
DEFAULT_MODEL = "harbour-70b"
DEFAULT_EXTENSIONS = ("release", "hold")
HOLD_PATH = "/kv/hold"
RELEASE_PATH = "/kv/release"
METRICS_PATHS = ("/health", "/metrics")
API_PREFIX = "/v1/"


@dataclass
class UnreachableSpan:
    """A time in which no connection reached the engine; `until` is None while it lasts."""

    since: int
    until: int | None = None


class Standin:
    """One engine's server. `ledger` and `held`: lists that may be shared by a fleet."""

    def __init__(self, engine, model=DEFAULT_MODEL, ledger=None, held=None, extensions=DEFAULT_EXTENSIONS):
        self.engine = engine
        self.model = model
        self.listener = None
        self.last_port = None
        self.unreachable = []  # spans
        self.faults = EngineFaults()
        self.holds = Holds(engine, [] if held is None else held)
        self.pump = EnginePump(engine, self.faults, self.holds)
        self.reports = LoadReports(engine, self.faults, extensions)
        self.responses = ResponseWriter(self.reports, self.faults)
        ledger = [] if ledger is None else ledger
        self.admission = Admission(engine, ledger, self.faults, self.pump, self.responses)
        self.kv = KvEndpoints(self.holds, self.pump, self.responses)
        self.pooling = PoolingEndpoints(self.admission, self.responses)
        self.generation = GenerationEndpoints(
            engine, self.admission, self.holds, self.responses, port=lambda: self.port
        )

    def now(self):
        """The time on the clock of the ledger."""
        return monotonic_now()

    @property
    def port(self):
        """The port that it listens on."""
        return self.listener.port

    async def start(self, port=0):
        """Listens, on a free port unless one is given, and runs the engine."""
        self._listen(port)
        self.pump.start()
        return self

    def _listen(self, port):
        self.listener = Listener(self._serve, port=port).start()

    async def stop(self):
        """Stops the server, also as a crash: all connections are reset and all KV state is lost."""
        await self.pump.stop()
        if self.listener:
            self.last_port = self.listener.port
            await self.listener.stop()
        self.engine.down = True
        self.holds.close_all_died()
        self.pump.unsubscribe_all()

    async def restart(self):
        """Starts again with an empty engine that warms up, on the port that it had."""
        self.engine.restart(self.now())
        self.reports.clear()
        await self.start(self.last_port)

    async def cut_off(self):
        """Makes the engine unreachable: connections are reset, new ones refused; the engine runs on."""
        self.last_port = self.listener.port
        self.unreachable.append(UnreachableSpan(self.now()))
        await self.listener.stop()

    async def reach(self):
        """Ends what `cut_off` began."""
        self.unreachable[-1].until = self.now()
        if not self.engine.down:
            self._listen(self.last_port)

    async def _serve(self, transport):
        """Answers the requests of one connection, one after the other."""
        parser = http.RequestParser(MAX_REQUEST_BYTES)
        transport.opened_at = self.now()
        if self.faults.accept_delay_s:
            await asyncio.sleep(self.faults.accept_delay_s)
        while await self._read_request(transport, parser):
            if not await self._answer_while_connected(transport, parser):
                return

    async def _read_request(self, transport, parser):
        """Receives until a request is complete; False if the connection ends or the request is malformed."""
        while not parser.ready:
            data = await transport.receive()
            if not data:
                return False
            try:
                parser.feed(data)
            except BadMessage as error:
                await transport.send(http.response(error.status, {}, b"{}", False))
                return False
        return True

    async def _answer_while_connected(self, transport, parser):
        """Answers the next request unless the peer closes, which cancels it; whether the connection goes on."""
        loop = asyncio.get_running_loop()
        answering = loop.create_task(self._answer(transport, parser.ready.popleft()))
        receiving = loop.create_task(transport.receive())
        try:
            await asyncio.wait({answering, receiving}, return_when=asyncio.FIRST_COMPLETED)
            if not answering.done() or not await answering:
                return False
            transport.opened_at = None
            data = receiving.result() if receiving.done() else await receiving
            if not data:
                return False
            parser.feed(data)
            return True
        finally:
            for task in (answering, receiving):
                if not task.done():
                    task.cancel()
            await asyncio.gather(answering, receiving, return_exceptions=True)

    async def _answer(self, transport, request):
        """Answers one request; whether the connection stays open."""
        arrived = self.now()
        if request.path == RELEASE_PATH:
            self.holds.note_release_request(request.body, arrived)
        # API requests wait only after their entry in the ledger, as they did arrive at a silent engine.
        if not request.path.startswith(API_PREFIX):
            await self.faults.wait_for_end_of_silence()
        if request.path in METRICS_PATHS:
            return await self.responses.metrics(transport)
        try:
            body = msgspec.json.decode(request.body)
        except msgspec.DecodeError:
            return await self.responses.error(transport, 400, "bad_json", "the body is not JSON")
        if request.path == HOLD_PATH:
            return await self.kv.hold(transport, body)
        if request.path == RELEASE_PATH:
            return await self.kv.release(transport, body, arrived)
        return await self._answer_api_request(transport, request, body)

    async def _answer_api_request(self, transport, request, body):
        if self.faults.rejects(body):
            return await self.responses.overloaded(transport, "no room for these")
        request_id = request.headers.get("x-request-id", "")
        if request.path in pooling.PATHS:
            return await self.pooling.handle(transport, request, request_id, body)
        if request.path in generation.PATHS:
            return await self.generation.handle(transport, request, request_id, body)
        return await self.responses.error(transport, 404, "not_found", f"no {request.path} here")
