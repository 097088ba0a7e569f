"""The front's connections: requests in, neutral questions to the core, answers out.

One task reads a connection's requests one by one; while a question is in the router the same task watches the socket, so
that a client that leaves is noticed at every stage. Pipelined bytes wait, at most one buffer of them.
"""

import itertools
import select

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ramppulley.fronts.client_connection import ClientConnection, send
from ramppulley.fronts.http import answers, bodies
from ramppulley.fronts.http.gather import Gatherer
from ramppulley.fronts.response_stream import ResponseStream
from ramppulley.service import naming as names
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
from ramppulley.wire.sockets import Listener

ROUTES = {
    "/v1/chat/completions": CHAT,
    "/v1/completions": COMPLETION,
    "/v1/embeddings": EMBEDDINGS,
    "/v1/rerank": RERANK,
    "/rerank": RERANK,
    "/v2/rerank": RERANK,
}
LOOK_INTERVAL_S = 0.1  # between looks for a client's end behind what it sent early


class Sink(ResponseStream):
    """A stream of the API, or its pieces gathered where the client wants the answer whole. `keep`: whether the connection
    goes on after it."""

    def __init__(self, transport, request, timeout_s, keep):
        super().__init__(transport, timeout_s)
        self.request, self.keep = request, keep
        self.gatherer = None if request.stream or request.kind in ONE_STAGE else Gatherer(request.kind)

    async def piece(self, data):
        if self.gatherer:
            if data == sse.DONE:
                return
            try:
                self.gatherer.add(data)
            except (msgspec.DecodeError, AttributeError, TypeError) as fault:
                raise BadMessage(f"an event that cannot be read: {fault}") from fault
            return
        await self.pass_on(sse.event(data))

    def gone(self):
        """Here a next request may wait before the end, which hides it from a peek but not from a poll."""
        if self.done.done():
            return True
        poll = select.poll()
        poll.register(self.transport.sock, select.POLLRDHUP)  # errors and hang-ups are told unasked
        return bool(poll.poll(0))

    def head(self):
        return http.answer_head(
            200,
            {
                "content-type": "text/event-stream; charset=utf-8",
                "cache-control": "no-cache",
                "x-request-id": self.request.name,
            },
            self.keep,
        )


class HttpFront:
    """Serves the API for a `switchboard`: it knows the pools by model and kind, and takes questions."""

    def __init__(
        self,
        switchboard,
        log,
        *,
        host="127.0.0.1",
        port=0,
        max_body_bytes=8 << 20,
        max_connections=10_000,
        idle_timeout_s=75.0,
        slow_client_timeout_s=20.0,
    ):
        self.board, self.log, self.max_body_bytes = switchboard, log, max_body_bytes
        self.idle_timeout_s, self.slow_client_timeout_s = idle_timeout_s, slow_client_timeout_s
        self.listener = Listener(self._serve, host, port, max_connections)
        self.serial, self.stopping, self.idle_connections = itertools.count(), False, {}

    @property
    def port(self):
        return self.listener.port

    def start(self):
        self.listener.start()
        return self

    async def stop(self, timeout_s):
        """Connections end after the answer that they wait for; those still open after `timeout_s` seconds are cut."""
        self.stopping = True
        for connection in self.idle_connections.values():
            connection.end()
        await self.listener.stop(timeout_s)

    async def _serve(self, transport):
        connection = ClientConnection(transport, http.RequestParser(self.max_body_bytes))
        try:
            while await self._serve_next(connection):
                pass
        finally:
            connection.close()

    async def _serve_next(self, connection):
        """Answers the next request; whether the connection stays open."""
        request = await self._next(connection)
        if request is None:
            return False
        keep = await self._handle(connection, request)
        if not keep and (connection.has_sent_more() or connection.transport.has_unread_bytes()):
            await connection.finish()
        return keep

    async def _next(self, connection):
        """The next whole request; None where there is none, and its client has been told why."""
        try:
            return await connection.next_request(
                self.idle_timeout_s, self.slow_client_timeout_s, self.idle_connections, lambda: self.stopping
            )
        except BadMessage as fault:
            await self._refuse(connection, fault.status, str(fault))
        except TimeoutError:
            if connection.parser.begun:
                await self._refuse(connection, 408, "the request did not come in time")
        return None

    async def _refuse(self, connection, status, text):
        body = answers.error(text, "invalid_request_error")
        await connection.finish(http.answer(status, answers.JSON, body, keep_alive=False))

    async def _handle(self, connection, http_request):
        """Answers one request; whether the connection stays open."""
        keep = http_request.keep_alive and not self.stopping
        kind = ROUTES.get(http_request.path)
        if kind is None:
            status, headers, body = self._page(http_request)
        elif http_request.method != "POST":
            status, headers, body = (
                405,
                {**answers.JSON, "allow": "POST"},
                answers.error(f"{http_request.path} takes POST", "invalid_request_error"),
            )
        else:
            try:
                request, core = self._translate(kind, http_request)
            except (BadMessage, names.Unnamed) as fault:
                status, headers, body = (
                    fault.status,
                    answers.JSON,
                    answers.error(str(fault), "invalid_request_error", param=getattr(fault, "at", None)),
                )
            else:
                return await self._answer_request(connection, request, core, keep)
        if http_request.method == "HEAD":
            body = b""
        await send(connection.transport, http.answer(status, headers, body, keep), self.slow_client_timeout_s)
        return keep

    def _page(self, http_request):
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
                            for model in self.board.models()
                        ],
                    }
                ),
            )
        if http_request.path.startswith("/v1/models/") and http_request.path[11:] in self.board.models():
            return (
                200,
                answers.JSON,
                msgspec.json.encode(
                    {"id": http_request.path[11:], "object": "model", "created": 0, "owned_by": "ramppulley"}
                ),
            )
        if http_request.path == "/healthz":
            ready = self.board.ready() and not self.stopping
            return (200 if ready else 503), {"content-type": "text/plain"}, b"ok\n" if ready else b"not ready\n"
        if http_request.path == "/metrics":
            return 200, {"content-type": CONTENT_TYPE_LATEST}, generate_latest(self.board.registry)
        return 404, answers.JSON, answers.error(f"no {http_request.path} here", "invalid_request_error")

    def _translate(self, kind, http_request):
        """The request in the core's terms, and the core that takes it; raises BadMessage or Unnamed."""
        metadata, naming = http_request.headers, self.board.naming
        tenant = names.account_of(naming, metadata)
        media = metadata.get("content-type", "application/json").partition(";")[0].strip().lower()
        if media != "application/json":
            raise bodies.Unfit(f"application/json is needed, not {media}", status=415)
        body, checked = bodies.read(kind, http_request.body)
        core = self.board.core(kind, checked.model)
        if core is None:
            raise bodies.Unfit(f"no model {checked.model[: names.TEXT_MOST]!r} for {kind} here", "model", 404)
        if not self.board.room():
            raise bodies.Unfit("the router holds as many questions as it may", status=503)
        weighed, counted = names.weigh(kind, body)
        estimator = core.estimator
        prompt = counted + (estimator.tokens(checked.model, weighed) if weighed else 0)
        use_case = names.use_case_of(naming, metadata, kind, checked.model)
        if use_case not in core.request_classes:
            raise bodies.Unfit(f"use case {use_case} is not served by {checked.model}", "model")
        prefix, prefix_bytes = names.beginning_of(kind, body)
        told = metadata.get("x-request-id", "")
        name = told if 0 < len(told) <= 64 and told.isascii() and told.replace("-", "").isalnum() else "q"
        max_out = bodies.most_out(kind, checked)
        # an answer of a token or two has a pace only if it has a length: a third of it would be none
        short = kind in ONE_STAGE or max_out < 3
        return InferenceRequest(
            name=f"{name}.{self.board.mark}{next(self.serial)}",
            kind=kind,
            model=checked.model,
            request_class=use_case,
            body=body,
            deadline=names.patience_of(naming, metadata, core.request_classes[use_case], prompt),
            prompt=max(1, prompt),
            weighed=0 if counted else weighed,
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
            idempotency_key=metadata.get(naming.receipt_header, "")[: names.TEXT_MOST],
        ), core

    async def _answer_request(self, connection, request, core, keep):
        """From taken to its final answer; whether the connection stays open."""
        sink = Sink(connection.transport, request, self.slow_client_timeout_s, keep)
        tracked = core.submit(request, sink)
        try:
            while not sink.done.done():
                if not await connection.wait_for(sink.done, LOOK_INTERVAL_S if connection.early_bytes else None):
                    return False  # the client left
                if connection.early_bytes and not sink.done.done() and sink.gone():
                    return False  # an end that is hidden behind what came early is one as well
            ending = sink.done.result()
            if ending.result == CLIENT_LEFT or sink.sending:
                return False
            keep = await self._end(connection.transport, request, tracked, sink, ending, keep) and keep
            if keep and connection.early_bytes:
                early, connection.early_bytes = connection.early_bytes, b""
                connection.parser.feed(early)
            return keep
        except BadMessage as fault:  # of the pipelined bytes
            await self._refuse(connection, fault.status, str(fault))
            return False
        finally:
            core.client_left(tracked)  # no effect after an ending

    async def _end(self, transport, request, tracked, sink, ending, keep):
        """Writes the final answer; whether the connection can go on."""
        if sink.begun:
            if ending.result == COMPLETED:
                await send(transport, http.LAST_CHUNK, self.slow_client_timeout_s)  # behind the engine's own [DONE]
                return True
            # an error event and no last chunk: no client can take it for a whole answer
            told = answers.error("the stream broke: " + ending.reason, "broken_stream", "may_have_run")
            await send(transport, http.chunk(sse.event(told)), self.slow_client_timeout_s)
            return False
        if ending.result == COMPLETED and not ending.body and sink.gatherer:
            status, headers, body = 200, answers.JSON, sink.gatherer.whole()
        else:
            status, headers, body = answers.answer_of(ending, len(tracked.attempts))
        await send(
            transport,
            http.answer(status, {**headers, "x-request-id": request.name}, body, keep),
            self.slow_client_timeout_s,
        )
        return True
