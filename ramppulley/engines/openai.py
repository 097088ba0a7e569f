"""The connector for OpenAI-compatible engines with vLLM's split of prefill and decode by `kv_transfer_params`.

A prefill asks for one token with `do_remote_decode`; its answer names the KV state, which the decode passes on with
`do_remote_prefill`. A decode is always asked for as a stream, so that the first token is seen. One-stage requests are one
POST. The release of a KV state (`POST /kv/release`) and the reservation of a place (`POST /kv/hold`) are extensions that an
engine announces by the header `kv-extensions` on any answer; without them a state ends by the engine's own time-out and
no place is reserved.
"""

import asyncio

import msgspec

from ramppulley import door
from ramppulley.engines import proof
from ramppulley.engines.attempts import AttemptEndedError, BaseConnector
from ramppulley.engines.reports import FORMAT_HEADER, HEADER, of_metrics, of_orca
from ramppulley.engines.stream_timeout import StreamTimeout
from ramppulley.engines.usage import usage_of
from ramppulley.service.neutral import CHAT, COMPLETION, EMBEDDINGS, ONE_STAGE, RERANK, AttemptResult
from ramppulley.wire import http, sse
from ramppulley.wire.faults import BadMessage

PATHS = {
    CHAT: "/v1/chat/completions",
    COMPLETION: "/v1/completions",
    EMBEDDINGS: "/v1/embeddings",
    RERANK: "/v1/rerank",
}
MAX_BODY_BYTES = 64 << 20  # of an answer that comes whole
EXTENSIONS_HEADER = "kv-extensions"
MAX_RELEASE_CALLS = 24  # for one KV state
RELEASE_PAUSE_S, MAX_RELEASE_PAUSE_S = 0.05, 1.0  # between two calls; doubles up to the second


def split_params(reads, state):
    """The `kv_transfer_params` of an attempt; None for one that neither leaves nor takes a KV state."""
    if reads:
        return {
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        }
    return state


class OpenAIConnector(BaseConnector):
    """All workers of all pools, by their boxes. `full`: statuses that prove that a request was not taken."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self,
        log,
        full=(429, 503),
        max_connections=512,
        idle_timeout_s=10.0,
        connect_timeout_s=1.0,
        load="answers",
        stream_idle_timeout_s=20.0,
    ):
        super().__init__(log, max_connections, idle_timeout_s, connect_timeout_s)
        self.full, self.load, self.stream_idle_timeout_s = full, load, stream_idle_timeout_s
        self.calls = {}  # the last call for a request's KV state at a worker, by (request id, box)

    # Connector
    def _attempt_ended(self, core, attempt, end):
        """Reports an attempt's end; a KV state that a prefill may have left unnamed is released by the attempt's id."""
        super()._attempt_ended(core, attempt, end)
        unknown = attempt.is_prefill and end.outcome not in door.NEVER_RAN and not self.closing
        if unknown and "release" in self._extensions(attempt.endpoint):
            self._call_in_order(
                attempt.tracked,
                attempt.endpoint,
                self._release(attempt.tracked, attempt.endpoint, None, f"-s{attempt.number}"),
            )

    def reserve(self, core, tracked, endpoint):
        async def call():
            held = False
            if "hold" in self._extensions(endpoint):
                body = msgspec.json.encode({"request_id": tracked.request.name, "prompt_tokens": tracked.view.prompt})
                try:
                    async with asyncio.timeout(self.connect_timeout_s):
                        status, _, _ = await self._call(endpoint, "POST", "/kv/hold", body)
                    held = status == 200
                except (OSError, BadMessage):
                    await self._release(tracked, endpoint, None)  # unheard, it may be held all the same
            core.reservation_answered(tracked, endpoint, held)

        self._call_in_order(tracked, endpoint, call())

    def release(self, tracked, endpoint, state):
        if "release" in self._extensions(endpoint):
            self._call_in_order(tracked, endpoint, self._release(tracked, endpoint, state))

    def has_releases(self):
        return bool(self.calls)

    def _call_in_order(self, tracked, endpoint, call):
        """Sends one request's calls to one worker one after the other: on two connections they may overtake."""
        key, before = (tracked.request.name, endpoint), self.calls.get((tracked.request.name, endpoint))

        async def after():
            if before is not None:
                await asyncio.wait({before})
            await call

        def over(task):
            if self.calls.get(key) is task:
                del self.calls[key]
            call.close()  # it was never begun if we were cancelled while waiting

        task = self.calls[key] = self._spawn(after())
        task.add_done_callback(over)

    async def _release(self, tracked, endpoint, state, suffix=""):
        """Calls until one was heard, a few times at most; `suffix`: an attempt's, to release what that may have left."""
        what = {"request_id": tracked.request.name + suffix}
        if state is not None:
            what |= {
                "remote_engine_id": state.get("remote_engine_id"),
                "remote_block_ids": state.get("remote_block_ids"),
            }
        body = msgspec.json.encode(what)
        for number in range(MAX_RELEASE_CALLS):  # also past a cut link: what it holds has no other end
            try:
                async with asyncio.timeout(self.connect_timeout_s):
                    await self._call(endpoint, "POST", "/kv/release", body)
                return
            except (OSError, BadMessage):
                await asyncio.sleep(min(MAX_RELEASE_PAUSE_S, RELEASE_PAUSE_S * 2**number))

    def probe(self, core, endpoint):
        async def ask():
            status, _, body = await self._call(endpoint, "GET", "/metrics")
            report = of_metrics(body.decode("utf-8", "replace")) if status == 200 else None
            core.probed(endpoint, door.DONE if status == 200 else door.FAULT, report)

        self._spawn(self._guarded(ask(), lambda: core.probed(endpoint, door.NO_ROUTE, None)))

    # Inside
    def _extensions(self, endpoint):
        """Of the protocol, that this worker has announced."""
        worker = self.workers.get(endpoint)
        return frozenset() if worker is None else worker.extensions

    async def _call(self, endpoint, method, path, body=b""):
        """One control call beside the requests: (status, headers, body)."""
        connections = self._pool_of(endpoint)
        transport = await connections.acquire_reserved(self.connect_timeout_s)
        try:
            parser = await self._exchange(
                transport,
                http.request(
                    method,
                    path,
                    {"host": f"{connections.host}:{connections.port}", "content-type": "application/json"},
                    body,
                ),
            )
        except BaseException:
            connections.discard(transport)
            raise
        (connections.release_reserved if parser.keep_alive else connections.discard)(transport)
        return parser.status, parser.headers, parser.take()

    def _build_request(self, attempt, connections):
        request, body = attempt.tracked.request, dict(attempt.tracked.request.body)
        if request.kind in (CHAT, COMPLETION):
            params = split_params(attempt.is_prefill, attempt.state)
            if params is not None:
                body["kv_transfer_params"] = params
            if attempt.is_prefill:
                body |= {"stream": False, "max_tokens": 1}
                body.pop("stream_options", None)
                if "max_completion_tokens" in body:
                    body["max_completion_tokens"] = 1
                if body.get("min_tokens"):
                    body["min_tokens"] = 1
            else:
                body |= {
                    "stream": True,
                    "stream_options": {**(body.get("stream_options") or {}), "include_usage": True},
                }
        headers = {
            "host": f"{connections.host}:{connections.port}",
            "content-type": "application/json",
            "x-request-id": f"{request.name}-s{attempt.number}",
        }
        if self.load == "answers":
            headers[FORMAT_HEADER] = "TEXT"
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        return http.request("POST", PATHS[request.kind], headers, msgspec.json.encode(body))

    async def _read_response(self, core, attempt, transport, timeout, parser):
        """(End, whether the connection may be used again)."""
        stream_timeout = StreamTimeout(timeout, transport, self.stream_idle_timeout_s)
        try:
            return await self._read_to_end(core, attempt, transport, parser, stream_timeout)
        finally:
            stream_timeout.close()

    async def _read_to_end(self, core, attempt, transport, parser, stream_timeout):
        streams, report = None, None
        worker = self.workers.get(attempt.endpoint)
        while not parser.done:
            data = await transport.receive()
            if not data:
                raise AttemptEndedError(
                    AttemptResult(
                        proof.outcome_of(attempt.stage, proof.Failure.LOST),
                        f"{attempt.stage}: the connection ended",
                        streams.report if streams else None,
                    )
                )
            if streams is not None and attempt.first_token_at is not None:
                stream_timeout.restart()
            try:
                parser.feed(data)
            except BadMessage:
                if attempt.first_token_at is not None:
                    await streams.feed(parser.take())  # whole events that came before what cannot be read
                raise
            if parser.status and attempt.stage == proof.Stage.WAIT:
                attempt.stage = proof.Stage.ANSWER
                if EXTENSIONS_HEADER in parser.headers and worker is not None:
                    worker.extensions = frozenset(parser.headers[EXTENSIONS_HEADER].replace(",", " ").split())
                    if worker.connections.reserved is None:
                        self._spawn(worker.connections.open_reserved(self.connect_timeout_s))
                report = of_orca(parser.headers.get(HEADER))
                if parser.status == 200 and parser.headers.get("content-type", "").startswith("text/event-stream"):
                    streams = EventStream(core, attempt, report, stream_timeout)
            if streams:
                await streams.feed(parser.take())
        if streams:
            return streams.end(), parser.keep_alive
        return self._end_of_whole(attempt, parser, report), parser.keep_alive

    def _end_of_whole(self, attempt, parser, report):
        """The End by an answer in one piece: a prefill's, a one-stage request's, or a refusal."""
        body, request = parser.take(), attempt.tracked.request
        try:
            told = msgspec.json.decode(body)
        except msgspec.DecodeError as fault:
            if parser.status in self.full:  # the status alone is the proof
                return AttemptResult(door.NO_ROOM, f"status {parser.status}", report)
            if parser.status != 200:
                return AttemptResult(door.FAULT, f"status {parser.status}", report)
            raise BadMessage(f"not JSON: {fault}") from fault
        error = told.get("error", told) if isinstance(told, dict) else {}
        code = str(error.get("code", "")) if isinstance(error, dict) else ""
        outcome = proof.of_status(parser.status, code, self.full, attempt.is_prefill)
        if outcome is not None:
            return AttemptResult(outcome, f"status {parser.status} {code}".strip(), report)
        if parser.status == 200:
            if not isinstance(told, dict):
                raise BadMessage("the answer is no object")
            usage = usage_of(told.get("usage"))
            if attempt.is_prefill:
                state = told.get("kv_transfer_params")
                if not isinstance(state, dict) or not state.get("do_remote_prefill"):
                    raise BadMessage("a read without kv_transfer_params")
                return AttemptResult(door.READ, "", report, usage, state)
            if request.kind not in ONE_STAGE:
                raise BadMessage("a stream was asked for")
            if not isinstance(told.get("data" if request.kind == EMBEDDINGS else "results"), list):
                raise BadMessage("an answer without its list")
        else:
            usage = None
        return AttemptResult(
            door.DONE,
            "" if parser.status == 200 else f"status {parser.status}",
            report,
            usage,
            status=parser.status,
            body=body,
        )


class EventStream:
    """Passes each whole event of a decode worker's stream on at once; then the next bytes are read."""

    def __init__(self, core, attempt, report, stream_timeout):
        self.core, self.attempt, self.report, self.stream_timeout = core, attempt, report, stream_timeout
        self.splitter, self.usage, self.done = sse.Splitter(), None, False

    async def feed(self, data):
        for event in self.splitter.feed(data):
            if self.done:
                raise BadMessage("an event after [DONE]")
            if event == sse.DONE:
                self.done = True
                if self.attempt.first_token_at is not None:
                    await self._pass_on(event)
                continue
            if event.startswith(b'{"error"'):
                raise AttemptEndedError(
                    AttemptResult(door.FAULT, f"an error event: {event[:200].decode('utf-8', 'replace')}", self.report)
                )
            only_usage = False
            if b'"usage":{' in event or b'"usage": {' in event or not event.startswith(b"{"):
                only_usage = self._usage(event)
            if self.attempt.first_token_at is None and not only_usage:
                if not self.core.first_token(self.attempt):
                    raise AttemptEndedError(AttemptResult(door.UNDONE, "answered already", self.report))
                self.stream_timeout.restart()
            if not only_usage or self.attempt.tracked.request.with_usage:
                await self._pass_on(event)

    async def _pass_on(self, event):
        self.stream_timeout.forwarding = True
        try:
            await self.attempt.tracked.sink.piece(event)
        except OSError:
            raise AttemptEndedError(AttemptResult(door.UNDONE, "the client left", self.report)) from None
        self.stream_timeout.forwarding = False

    def _usage(self, event):
        """Whether the event is nothing but the usage, which goes on only if the client asked for it."""
        try:
            told = msgspec.json.decode(event)
        except msgspec.DecodeError as fault:
            raise BadMessage(f"an event that is not JSON: {fault}") from fault
        if not isinstance(told, dict):
            raise BadMessage("an event that is no object")
        self.usage = usage_of(told.get("usage")) or self.usage
        return told.get("choices") == []

    def end(self):
        if not self.done:
            return AttemptResult(door.CUT, "the stream ended without [DONE]", self.report, self.usage)
        if self.attempt.first_token_at is None:
            return AttemptResult(door.FAULT, "a stream without a token", self.report, self.usage)
        return AttemptResult(door.DONE, "", self.report, self.usage)
