"""The connector for OpenAI-compatible engines with vLLM's split of prefill and decode by `kv_transfer_params`.

A prefill requests one token with `do_remote_decode`; its response names the KV state, which the decode passes on with
`do_remote_prefill`. A decode always requests a stream, so that the first token is observed. One-stage requests are one
POST. Releasing KV state (`POST /kv/release`) and reserving capacity (`POST /kv/hold`) are extensions that an engine
announces in the header `kv-extensions` of any response; without them KV state expires by the engine's own timeout and
nothing is reserved.
"""

import asyncio

import msgspec

from ramppulley import door
from ramppulley.engines import proof
from ramppulley.engines.attempts import AttemptEndedError, BaseConnector
from ramppulley.engines.reports import LOAD_FORMAT_HEADER, LOAD_HEADER, parse_metrics, parse_orca
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
MAX_BODY_BYTES = 64 << 20  # of a non-streamed response
EXTENSIONS_HEADER = "kv-extensions"
MAX_RELEASE_CALLS = 24  # per KV state
RELEASE_PAUSE_S, MAX_RELEASE_PAUSE_S = 0.05, 1.0  # backoff between calls; doubles up to the maximum


def kv_transfer_params(is_prefill, state):
    """The `kv_transfer_params` of an attempt; None if it neither produces nor consumes KV state."""
    if is_prefill:
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
    """Connector for all workers of all pools. `rejection_statuses` are those by which engines reject a request unstarted."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self,
        log,
        rejection_statuses=(429, 503),
        max_connections=512,
        idle_timeout_s=10.0,
        connect_timeout_s=1.0,
        load_source="answers",
        stream_idle_timeout_s=20.0,
    ):
        super().__init__(log, max_connections, idle_timeout_s, connect_timeout_s)
        self.rejection_statuses, self.load_source, self.stream_idle_timeout_s = (
            rejection_statuses,
            load_source,
            stream_idle_timeout_s,
        )
        self.calls = {}  # the latest call for a request's KV state at a worker, by (request id, endpoint)

    # The Connector interface
    def _attempt_ended(self, core, attempt, result):
        """Reports an attempt's result; KV state that a prefill may have left without naming it is released by attempt id."""
        super()._attempt_ended(core, attempt, result)
        may_have_left_state = attempt.is_prefill and result.outcome not in door.NEVER_RAN and not self.closing
        if may_have_left_state and "release" in self._extensions(attempt.endpoint):
            self._call_in_order(
                attempt.tracked,
                attempt.endpoint,
                self._release(attempt.tracked, attempt.endpoint, None, f"-s{attempt.number}"),
            )

    def reserve(self, core, tracked, endpoint):
        async def call():
            reserved = False
            if "hold" in self._extensions(endpoint):
                body = msgspec.json.encode({"request_id": tracked.request.name, "prompt_tokens": tracked.view.prompt})
                try:
                    async with asyncio.timeout(self.connect_timeout_s):
                        status, _, _ = await self._call(endpoint, "POST", "/kv/hold", body)
                    reserved = status == 200
                except (OSError, BadMessage):
                    await self._release(tracked, endpoint, None)  # the response was lost: the reservation may exist
            core.reservation_answered(tracked, endpoint, reserved)

        self._call_in_order(tracked, endpoint, call())

    def release(self, tracked, endpoint, state):
        if "release" in self._extensions(endpoint):
            self._call_in_order(tracked, endpoint, self._release(tracked, endpoint, state))

    def has_releases(self):
        return bool(self.calls)

    def _call_in_order(self, tracked, endpoint, call):
        """Serializes one request's calls to one worker: on separate connections they could overtake each other."""
        key, previous = (tracked.request.name, endpoint), self.calls.get((tracked.request.name, endpoint))

        async def run_in_order():
            if previous is not None:
                await asyncio.wait({previous})
            await call

        def on_done(task):
            if self.calls.get(key) is task:
                del self.calls[key]
            call.close()  # never started if this task was cancelled while waiting

        task = self.calls[key] = self._spawn(run_in_order())
        task.add_done_callback(on_done)

    async def _release(self, tracked, endpoint, state, suffix=""):
        """Calls until one succeeds, at most MAX_RELEASE_CALLS times; `suffix` selects an attempt's leftover KV state."""
        fields = {"request_id": tracked.request.name + suffix}
        if state is not None:
            fields |= {
                "remote_engine_id": state.get("remote_engine_id"),
                "remote_block_ids": state.get("remote_block_ids"),
            }
        body = msgspec.json.encode(fields)
        for number in range(MAX_RELEASE_CALLS):  # outlasts a network partition: nothing else frees the state
            try:
                async with asyncio.timeout(self.connect_timeout_s):
                    await self._call(endpoint, "POST", "/kv/release", body)
                return
            except (OSError, BadMessage):
                await asyncio.sleep(min(MAX_RELEASE_PAUSE_S, RELEASE_PAUSE_S * 2**number))

    def probe(self, core, endpoint):
        async def run_probe():
            status, _, body = await self._call(endpoint, "GET", "/metrics")
            report = parse_metrics(body.decode("utf-8", "replace")) if status == 200 else None
            core.probed(endpoint, door.DONE if status == 200 else door.FAULT, report)

        self._spawn(self._call_with_timeout(run_probe(), lambda: core.probed(endpoint, door.NO_ROUTE, None)))

    # Internals
    def _extensions(self, endpoint):
        """The protocol extensions that this worker has announced."""
        worker = self.workers.get(endpoint)
        return frozenset() if worker is None else worker.extensions

    async def _call(self, endpoint, method, path, body=b""):
        """Performs one control call; returns (status, headers, body)."""
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
            params = kv_transfer_params(attempt.is_prefill, attempt.state)
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
        if self.load_source == "answers":
            headers[LOAD_FORMAT_HEADER] = "TEXT"
        if request.idempotency_key:
            headers["idempotency-key"] = request.idempotency_key
        return http.request_parts("POST", PATHS[request.kind], headers, msgspec.json.encode(body))

    async def _read_response(self, core, attempt, transport, timeout, parser):
        """Returns the attempt's result and whether the connection may be used again."""
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
            stream_timeout.received(len(data))
            try:
                await self._feed(parser, data)
            except BadMessage:
                if attempt.first_token_at is not None:
                    await streams.feed(parser.take())  # complete events received before the corrupt bytes
                raise
            if parser.status and attempt.stage == proof.Stage.WAIT:
                attempt.stage = proof.Stage.ANSWER
                if EXTENSIONS_HEADER in parser.headers and worker is not None:
                    worker.extensions = frozenset(parser.headers[EXTENSIONS_HEADER].replace(",", " ").split())
                    if worker.connections.reserved is None:
                        self._spawn(worker.connections.open_reserved(self.connect_timeout_s))
                report = parse_orca(parser.headers.get(LOAD_HEADER))
                if parser.status == 200 and parser.headers.get("content-type", "").startswith("text/event-stream"):
                    streams = EventStream(core, attempt, report, stream_timeout, self.reads)
            if streams:
                await streams.feed(parser.take())
            stream_timeout.handled()
        if streams:
            return streams.finish(), parser.keep_alive
        return self._result_of_whole_response(attempt, parser, report), parser.keep_alive

    def _result_of_whole_response(self, attempt, parser, report):
        """The result of a non-streamed response: of a prefill, of a one-stage request, or a rejection."""
        body, request = parser.take(), attempt.tracked.request
        try:
            decoded = msgspec.json.decode(body)
        except msgspec.DecodeError as decode_error:
            if parser.status in self.rejection_statuses:  # the status alone proves that it did not run
                return AttemptResult(door.NO_ROOM, f"status {parser.status}", report)
            if parser.status != 200:
                return AttemptResult(door.FAULT, f"status {parser.status}", report)
            raise BadMessage(f"not JSON: {decode_error}") from decode_error
        error = decoded.get("error", decoded) if isinstance(decoded, dict) else {}
        code = str(error.get("code", "")) if isinstance(error, dict) else ""
        outcome = proof.status_outcome(parser.status, code, self.rejection_statuses, attempt.is_prefill)
        if outcome is not None:
            return AttemptResult(outcome, f"status {parser.status} {code}".strip(), report)
        if parser.status == 200:
            if not isinstance(decoded, dict):
                raise BadMessage("the answer is no object")
            usage = usage_of(decoded.get("usage"))
            if attempt.is_prefill:
                state = decoded.get("kv_transfer_params")
                if not isinstance(state, dict) or not state.get("do_remote_prefill"):
                    raise BadMessage("a read without kv_transfer_params")
                return AttemptResult(door.READ, "", report, usage, state)
            if request.kind not in ONE_STAGE:
                raise BadMessage("a stream was asked for")
            if not isinstance(decoded.get("data" if request.kind == EMBEDDINGS else "results"), list):
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
    """Forwards each complete event of a decode worker's stream immediately, before reading the next bytes."""

    def __init__(self, core, attempt, report, stream_timeout, reads):
        self.core, self.attempt, self.report, self.stream_timeout = core, attempt, report, stream_timeout
        self.reads = reads
        self.splitter, self.usage, self.done = sse.EventDataSplitter(), None, False

    async def feed(self, data):
        await self._pass_on_events(data)
        if data and not self.done and self.splitter.has_open_event():
            self.stream_timeout.part_received()

    async def _pass_on_events(self, data):
        for event in await self.reads.run(lambda: self.splitter.feed(data)):
            if self.done:
                raise BadMessage("an event after [DONE]")
            if event == sse.DONE:
                self.done = True
                self._restart_timeout()
                if self.attempt.first_token_at is not None:
                    await self._pass_on(event)
                continue
            if event.startswith(b'{"error"'):
                raise AttemptEndedError(
                    AttemptResult(door.FAULT, f"an error event: {event[:200].decode('utf-8', 'replace')}", self.report)
                )
            only_usage = False
            if b'"usage":{' in event or b'"usage": {' in event or not event.startswith(b"{"):
                only_usage = self._record_usage(event)
            if self.attempt.first_token_at is None and not only_usage and not self.core.first_token(self.attempt):
                raise AttemptEndedError(AttemptResult(door.UNDONE, "answered already", self.report))
            self._restart_timeout()
            if not only_usage or self.attempt.tracked.request.with_usage:
                await self._pass_on(event)

    def _restart_timeout(self):
        """An event has come; until the first token, the attempt's own timeout holds."""
        if self.attempt.first_token_at is not None:
            self.stream_timeout.restart()

    async def _pass_on(self, event):
        self.stream_timeout.forwarding = True
        try:
            await self.attempt.tracked.sink.piece(event)
        except OSError:
            raise AttemptEndedError(AttemptResult(door.UNDONE, "the client left", self.report)) from None
        self.stream_timeout.forwarding = False

    def _record_usage(self, event):
        """Records usage; True if the event holds nothing else, and so is forwarded only if the client asked for usage."""
        try:
            decoded = msgspec.json.decode(event)
        except msgspec.DecodeError as error:
            raise BadMessage(f"an event that is not JSON: {error}") from error
        if not isinstance(decoded, dict):
            raise BadMessage("an event that is no object")
        self.usage = usage_of(decoded.get("usage")) or self.usage
        return decoded.get("choices") == []

    def finish(self):
        if not self.done:
            return AttemptResult(door.CUT, "the stream ended without [DONE]", self.report, self.usage)
        if self.attempt.first_token_at is None:
            return AttemptResult(door.FAULT, "a stream without a token", self.report, self.usage)
        return AttemptResult(door.DONE, "", self.report, self.usage)
