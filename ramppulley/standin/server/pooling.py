"""Embeddings and rerank requests of a stand-in engine."""

from ramppulley.standin import bodies
from ramppulley.standin.model import Job

EMBEDDINGS_PATH = "/v1/embeddings"
RERANK_PATH = "/v1/rerank"
PATHS = (EMBEDDINGS_PATH, RERANK_PATH)


class PoolingEndpoints:
    """The handler of the pooled requests' paths."""

    def __init__(self, admission, responses):
        self._admission = admission
        self._responses = responses

    async def handle(self, transport, request, request_id, body):
        """Answers one request; whether the connection stays open."""
        embeds = request.path == EMBEDDINGS_PATH
        inputs, token_counts = bodies.embedding_inputs(body) if embeds else bodies.rerank_inputs(body)
        tokens = sum(token_counts)
        job = Job(request_id, tokens, prefill_only=False, output_tokens=1)
        entry = self._admission.enter(transport, "pool", request, job)
        queue = await self._admission.take(transport, entry, job)
        if queue is None:
            return not transport.closed
        try:
            while (event := await queue.get()).what != "done":
                entry.ran |= event.what == "began"
            answer = _answer(request.path, request_id, body, inputs, tokens)
            return await self._responses.pooled(transport, entry, answer)
        finally:
            self._admission.finish(entry, job)


def _answer(path, request_id, body, inputs, tokens):
    if path == EMBEDDINGS_PATH:
        return bodies.embeddings(body, inputs, tokens)
    return bodies.rerank(request_id, body, inputs, tokens)
