"""HTTP server for the OpenAI API: passes requests to the core and sends the answers.

One task per connection reads its requests one by one. While a request is in the router, the same task watches the socket, so
that a client's disconnect is noticed at any time. Pipelined bytes are buffered, at most one buffer of them.
"""

import asyncio
import itertools
import select

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ramppulley.fronts.client_connection import ClientConnection, ClientReads, send
from ramppulley.fronts.http import answers, bodies
from ramppulley.fronts.http.gather import StreamAggregator
from ramppulley.fronts.response_stream import ResponseStream
from ramppulley.service import naming as names
from ramppulley.service.clock import remaining_time
from ramppulley.service.neutral import (
    CHAT,
    CLIENT_LEFT,
    COMPLETED,
    COMPLETION,
    EMBEDDINGS,
    ONE_STAGE,
    RERANK,
    InferenceRequest,
)
from ramppulley.wire import http, sse
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.listener import Listener

ROUTES = {
    "/v1/chat/completions": CHAT,
    "/v1/completions": COMPLETION,
    "/v1/embeddings": EMBEDDINGS,
    "/v1/rerank": RERANK,
    "/rerank": RERANK,
    "/v2/rerank": RERANK,
}
DISCONNECT_POLL_INTERVAL_S = 0.1  # between checks for a disconnect that is hidden by buffered bytes


class OpenAIResponseStream(ResponseStream):
    """Streams the answer, or aggregates it if the client wants it whole. `keep_alive`: whether the connection is kept
    open afterwards."""

    def __init__(self, transport, request, timeout_s, keep_alive):
        super().__init__(transport, timeout_s)
        self.request, self.keep_alive = request, keep_alive
        self.aggregator = None if request.stream or request.kind in ONE_STAGE else StreamAggregator(request.kind)

    async def piece(self, data):
        if self.aggregator:
            if data == sse.DONE:
                return
            try:
                self.aggregator.add(data)
            except (msgspec.DecodeError, AttributeError, TypeError) as fault:
                raise BadMessage(f"an event that cannot be read: {fault}") from fault
            return
        await self.pass_on(sse.event(data))

    def gone(self):
        """Whether the client is gone. Pipelined requests hide the close from a peek, but not from a poll."""
        if self.done.done():
            return True
        poll = select.poll()
        poll.register(self.transport.sock, select.POLLRDHUP)  # errors and hang-ups are always reported
        return bool(poll.poll(0))

    def head(self):
        return http.response_head(
            200,
            {
                "content-type": "text/event-stream; charset=utf-8",
                "cache-control": "no-cache",
                "x-request-id": self.request.name,
            },
            self.keep_alive,
        )


class HttpFront:
    """Serves the API. `pools` selects the core of a request by kind and model."""

    def __init__(
        self,
        pools,
        log,
        *,
        host="127.0.0.1",
        port=0,
        max_body_bytes=8 << 20,
        max_connections=10_000,
        idle_timeout_s=75.0,
        slow_client_timeout_s=20.0,
    ):
        self.pools, self.log, self.max_body_bytes = pools, log, max_body_bytes
        self.idle_timeout_s, self.slow_client_timeout_s = idle_timeout_s, slow_client_timeout_s
        self.reads = ClientReads()
        self.listener = Listener(self._serve, host, port, max_connections)
        self.request_numbers, self.stopping, self.idle_connections = itertools.count(), False, {}

    @property
    def port(self):
        return self.listener.port

    def start(self):
        self.listener.start()
        return self

    async def stop(self, timeout_s):
        """Closes connections after their current answer; those still open after `timeout_s` seconds are cut."""
        self.stopping = True
        for connection in self.idle_connections.values():
            connection.end()
        await self.listener.stop(timeout_s)

    async def _serve(self, transport):
        connection = ClientConnection(transport, http.RequestParser(self.max_body_bytes), self.reads)
        try:
            while await self._serve_next(connection):
                if connection.parser.has_more():
                    await asyncio.sleep(0)  # others have their turn: answering needs no wait if the client reads
        finally:
            connection.close()

    async def _serve_next(self, connection):
        """Answers the next request; returns whether the connection stays open."""
        request = await self._next_request(connection)
        if request is None:
            return False
        keep_alive = await self._handle(connection, request)
        if not keep_alive and (connection.has_sent_more() or connection.transport.has_unread_bytes()):
            await connection.finish()
        return keep_alive

    async def _next_request(self, connection):
        """The next whole request; None if there is none, after an error response where one is due."""
        try:
            return await connection.next_request(
                self.idle_timeout_s, self.slow_client_timeout_s, self.idle_connections, {}, lambda: self.stopping
            )
        except BadMessage as fault:
            status, text = fault.status, str(fault)
        except TimeoutError:
            status, text = 408, "the request did not come in time"
            if not connection.parser.begun:
                return None
        # Behind the handlers: the error's traceback refers to what was received.
        await self._refuse(connection, status, text)
        return None

    async def _refuse(self, connection, status, text):
        connection.close()
        body = answers.error(text, "invalid_request_error")
        await connection.finish(http.response(status, answers.JSON, body, keep_alive=False))

    async def _handle(self, connection, http_request):
        """Answers one request; returns whether the connection stays open."""
        keep_alive = http_request.keep_alive and not self.stopping
        kind = ROUTES.get(http_request.path)
        if kind is None:
            status, headers, body = self._answer_get(http_request)
        elif http_request.method != "POST":
            status, headers, body = (
                405,
                {**answers.JSON, "allow": "POST"},
                answers.error(f"{http_request.path} takes POST", "invalid_request_error"),
            )
        else:
            try:
                request, core = self._translate(kind, http_request, connection.transport.age_of_last_byte_s())
            except (BadMessage, names.MetadataError) as fault:
                status, headers, body = (
                    fault.status,
                    answers.JSON,
                    answers.error(str(fault), "invalid_request_error", param=getattr(fault, "param", None)),
                )
            else:
                return await self._answer_request(connection, request, core, keep_alive)
        if http_request.method == "HEAD":
            body = b""
        await send(connection.transport, http.response(status, headers, body, keep_alive), self.slow_client_timeout_s)
        return keep_alive

    def _answer_get(self, http_request):
        if http_request.method not in ("GET", "HEAD"):
            return 404, answers.JSON, answers.error(f"no {http_request.path} here", "invalid_request_error")
        if http_request.path == "/v1/models":
            return (
                200,
                answers.JSON,
                msgspec.json.encode(
                    {
                        "object": "list",
                        "data": [
                            {"id": model, "object": "model", "created": 0, "owned_by": "ramppulley"}
                            for model in self.pools.models()
                        ],
                    }
                ),
            )
        if http_request.path.startswith("/v1/models/") and http_request.path[11:] in self.pools.models():
            return (
                200,
                answers.JSON,
                msgspec.json.encode(
                    {"id": http_request.path[11:], "object": "model", "created": 0, "owned_by": "ramppulley"}
                ),
            )
        if http_request.path == "/healthz":
            ready = self.pools.ready() and not self.stopping
            return (200 if ready else 503), {"content-type": "text/plain"}, b"ok\n" if ready else b"not ready\n"
        if http_request.path == "/metrics":
            return 200, {"content-type": CONTENT_TYPE_LATEST}, generate_latest(self.pools.registry)
        return 404, answers.JSON, answers.error(f"no {http_request.path} here", "invalid_request_error")

    def _translate(self, kind, http_request, age_s):
        """(request for the core, that core), `age_s` after its last byte arrived; raises BadMessage or MetadataError."""
        metadata, naming = http_request.headers, self.pools.naming
        tenant = names.tenant_of(naming, metadata)
        media = metadata.get("content-type", "application/json").partition(";")[0].strip().lower()
        if media != "application/json":
            raise bodies.BodyError(f"application/json is needed, not {media}", status=415)
        body, checked = bodies.decode(kind, http_request.body)
        core = self.pools.core(kind, checked.model)
        if core is None:
            raise bodies.BodyError(f"no model {checked.model[: names.MAX_NAME_LENGTH]!r} for {kind} here", "model", 404)
        if not self.pools.has_capacity():
            raise bodies.BodyError("the router holds as many questions as it may", status=503)
        prompt_bytes, counted_tokens = names.measure_prompt(kind, body)
        estimator = core.estimator
        prompt = counted_tokens + (estimator.tokens(checked.model, prompt_bytes) if prompt_bytes else 0)
        use_case = names.request_class_of(naming, metadata, kind, checked.model)
        if use_case not in core.request_classes:
            raise bodies.BodyError(f"use case {use_case} is not served by {checked.model}", "model")
        prefix, prefix_bytes = names.prefix_of(kind, body)
        sent = metadata.get("x-request-id", "")
        name = sent if 0 < len(sent) <= 64 and sent.isascii() and sent.replace("-", "").isalnum() else "q"
        max_out = bodies.max_output_tokens(kind, checked)
        # the default expectation, a third of the limit, would be no token for one or two, and their token rate undefined
        short = kind in ONE_STAGE or max_out < 3
        return InferenceRequest(
            name=f"{name}.{self.pools.router_prefix}{next(self.request_numbers)}",
            kind=kind,
            model=checked.model,
            request_class=use_case,
            body=body,
            deadline=remaining_time(names.deadline_of(naming, metadata, core.request_classes[use_case], prompt), age_s),
            prompt=max(1, prompt),
            prompt_bytes=0 if counted_tokens else prompt_bytes,
            max_out=max_out,
            likely_out=1 if short else None,
            stream=bool(getattr(checked, "stream", False)),
            whole=naming.patience_header in metadata and not getattr(checked, "stream", False),
            with_usage=not getattr(checked, "stream", False)
            or bool(getattr(checked, "stream_options", None) and checked.stream_options.include_usage),
            tenant=tenant,
            session=names.session_of(naming, metadata, kind, body),
            prefix=prefix,
            prefix_tokens=min(max(1, prompt), estimator.tokens(checked.model, prefix_bytes)) if prefix_bytes else 0,
            idempotency_key=metadata.get(naming.receipt_header, "")[: names.MAX_NAME_LENGTH],
        ), core

    async def _answer_request(self, connection, request, core, keep_alive):
        """Serves an accepted request to its final answer; returns whether the connection stays open."""
        sink = OpenAIResponseStream(connection.transport, request, self.slow_client_timeout_s, keep_alive)
        tracked = core.submit(request, sink)
        try:
            while not sink.done.done():
                if not await connection.wait_for(
                    sink.done, DISCONNECT_POLL_INTERVAL_S if connection.early_bytes else None
                ):
                    return False  # the client left
                if connection.early_bytes and not sink.done.done() and sink.gone():
                    return False  # the client left, and its close was hidden by buffered bytes
            final_answer = sink.done.result()
            if final_answer.result == CLIENT_LEFT or sink.sending:
                return False
            keep_alive = (
                await self._send_final_answer(connection.transport, request, tracked, sink, final_answer, keep_alive)
                and keep_alive
            )
            if keep_alive and connection.early_bytes:
                early, connection.early_bytes = connection.early_bytes, b""
                connection.parser.feed(early)
            return keep_alive
        except BadMessage as fault:  # in the pipelined bytes
            await self._refuse(connection, fault.status, str(fault))
            return False
        finally:
            core.client_left(tracked)  # no effect after the final answer

    async def _send_final_answer(self, transport, request, tracked, sink, final_answer, keep_alive):
        """Sends the final answer; returns whether the connection can be kept open."""
        if sink.begun:
            if final_answer.result == COMPLETED:
                await send(transport, http.LAST_CHUNK, self.slow_client_timeout_s)  # after the engine's own [DONE]
                return True
            # an error event without the last chunk: the client recognizes a truncated response
            error = answers.error("the stream broke: " + final_answer.reason, "broken_stream", "may_have_run")
            await send(transport, http.chunk(sse.event(error)), self.slow_client_timeout_s)
            return False
        if final_answer.result == COMPLETED and not final_answer.body and sink.aggregator:
            status, headers, body = 200, answers.JSON, sink.aggregator.to_json()
        else:
            status, headers, body = answers.answer_of(final_answer, len(tracked.attempts))
        await send(
            transport,
            http.response(status, {**headers, "x-request-id": request.name}, body, keep_alive),
            self.slow_client_timeout_s,
        )
        return True
