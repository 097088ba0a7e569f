"""Chat and completion requests of a stand-in engine: prefill, whose KV state waits to be fetched, and decode."""

import asyncio

from ramppulley.standin import bodies, texts
from ramppulley.standin.model import Job, S
from ramppulley.standin.server.clock import monotonic_now

PATHS = ("/v1/chat/completions", "/v1/completions")
DEFAULT_MAX_TOKENS = 256
UNKNOWN_STATE_KEY = "?"


def generation_job(request_id, body):
    """The engine's job for a request: prefill only where the body asks for it, else all or the decode alone."""
    text = texts.prompt_text(body)
    params = body.get("kv_transfer_params") or {}
    prefill_only = bool(params.get("do_remote_decode"))
    state_key = None
    if params.get("do_remote_prefill"):
        state_key = (params.get("remote_block_ids") or [UNKNOWN_STATE_KEY])[0]
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_MAX_TOKENS
    return Job(
        name=request_id,
        prompt_tokens=texts.tokens_of(text),
        output_tokens=1 if prefill_only else texts.length_of(text, max_tokens),
        blocks=texts.blocks_of(text),
        prefill_only=prefill_only,
        state_key=state_key,
    )


class GenerationEndpoints:
    """The handler of the generating paths. `port`: gives the port that a prefill's answer names."""

    def __init__(self, engine, admission, holds, responses, port):
        self._engine = engine
        self._admission = admission
        self._holds = holds
        self._responses = responses
        self._port = port
        self._idempotency_keys = set()

    async def handle(self, transport, request, request_id, body):
        """Answers one request; whether the connection stays open."""
        job = generation_job(request_id, body)
        entry = self._admission.enter(transport, "read" if job.prefill_only else "write", request, job)
        if self._engine.kind.role == "write" and not job.state_key:
            entry.ended, entry.how = monotonic_now(), "no_state"
            return await self._responses.state_gone(transport, "a writer cannot read")
        if not job.prefill_only:
            self._note_idempotency_key(request, entry)
        queue = await self._admission.take(transport, entry, job)
        if queue is None:
            return not transport.closed
        try:
            if job.prefill_only:
                return await self.prefill(transport, entry, job, queue, body)
            return await self.decode(transport, entry, job, queue, body, request.path)
        finally:
            self._admission.finish(entry, job)

    def _note_idempotency_key(self, request, entry):
        key = request.headers.get("idempotency-key")
        if key:
            entry.dropped = key in self._idempotency_keys
            self._idempotency_keys.add(key)

    async def prefill(self, transport, entry, job, queue, body):
        """Answers with the location of the KV state, which is released if the answer cannot be sent."""
        while (event := await queue.get()).what != "read":
            entry.ran |= event.what == "began"
        key = self._holds.hold_state(job)
        answer = bodies.prefill(job, body, self._engine.name, self._port(), key)
        try:
            await self._responses.prefill(transport, answer)
        except (OSError, asyncio.CancelledError):
            self._holds.abandon_state(key)
            raise
        entry.how = "answered"
        return True

    async def decode(self, transport, entry, job, queue, body, path):
        """Answers with the tokens, one by one or whole."""
        completion = bodies.Completion(job, body, path, monotonic_now() // S)
        is_stream = body.get("stream")
        while True:
            event = await queue.get()
            entry.ran |= event.what == "began"
            if event.what == "no_state":
                entry.how = "no_state"
                return await self._responses.state_gone(transport)
            if event.what == "token":
                chunk = completion.next_chunk()
                if is_stream and not await self._send_token(transport, entry, completion, chunk):
                    return False
            if event.what == "done":
                await self._send_end(transport, completion, is_stream)
                entry.how = "answered"
                return True

    async def _send_token(self, transport, entry, completion, chunk):
        is_first = len(completion.words) == 1
        if is_first:
            await self._responses.stream_head(transport)
        return await self._responses.stream_event(transport, entry, chunk)

    async def _send_end(self, transport, completion, is_stream):
        if is_stream:
            await self._responses.stream_end(transport, completion.usage_chunk())
        else:
            await self._responses.whole(transport, completion.whole())
