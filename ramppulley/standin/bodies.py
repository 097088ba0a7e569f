"""The JSON bodies of a stand-in engine's responses, by the OpenAI API and the rerank API. Pure."""

import base64
import struct

from ramppulley.standin import texts

CHAT_PATH = "chat/completions"


def text_of(document):
    """The text of a rerank document, which is a string or an object."""
    return document if isinstance(document, str) else str(document.get("text", ""))


def embedding_inputs(body):
    """(inputs, tokens of each) of an embeddings request; an input that is a list of tokens counts as its length."""
    given = body.get("input", "")
    single = isinstance(given, str) or (given and isinstance(given[0], int))
    inputs = [given] if single else given
    return inputs, [len(item) if isinstance(item, list) and item else texts.tokens_of(str(item)) for item in inputs]


def rerank_inputs(body):
    """(documents' texts, tokens of each with the query) of a rerank request."""
    query, inputs = body.get("query", ""), [text_of(document) for document in body.get("documents", [])]
    return inputs, [texts.tokens_of(query) + texts.tokens_of(document) for document in inputs]


def pool_usage(tokens):
    return {"prompt_tokens": tokens, "total_tokens": tokens}


def generation_usage(job, completion_tokens):
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": job.prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }


def embeddings(body, inputs, tokens):
    """The whole response to an embeddings request."""
    size = body.get("dimensions") or texts.DIMENSIONS
    vectors = [texts.vector_of(str(text), size) for text in inputs]
    if body.get("encoding_format") == "base64":
        vectors = [base64.b64encode(struct.pack(f"<{size}f", *vector)).decode() for vector in vectors]
    return {
        "object": "list",
        "model": body.get("model"),
        "usage": pool_usage(tokens),
        "data": [{"object": "embedding", "index": i, "embedding": vector} for i, vector in enumerate(vectors)],
    }


def rerank(name, body, inputs, tokens):
    """The whole response to a rerank request, the best documents first."""
    query = body.get("query", "")
    scored = sorted(((texts.score_of(query, text), -i, text) for i, text in enumerate(inputs)), reverse=True)
    results = []
    for score, negated_index, text in scored[: body.get("top_n") or len(scored)]:
        result = {"index": -negated_index, "relevance_score": score}
        if body.get("return_documents"):
            result["document"] = {"text": text}
        results.append(result)
    return {"id": name, "model": body.get("model"), "usage": pool_usage(tokens), "results": results}


def prefill(job, body, engine, port, key):
    """The response of a prefill engine: where its KV state can be fetched."""
    return {
        "id": job.name,
        "object": "chat.completion",
        "model": body.get("model"),
        "choices": [{"index": 0, "message": {"role": "assistant", "content": ""}, "finish_reason": "length"}],
        "usage": generation_usage(job, 1),
        "kv_transfer_params": {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": engine,
            "remote_block_ids": [key],
            "remote_host": "127.0.0.1",
            "remote_port": port,
        },
    }


class Completion:
    """The response of a decode engine, as a stream or whole, for chat completions or the older completions API."""

    def __init__(self, job, body, path, created):
        self.job, self.body, self.chat, self.words = job, body, path.endswith(CHAT_PATH), []
        self.base = {
            "id": job.name,
            "object": "chat.completion.chunk" if self.chat else "text_completion",
            "created": created,
            "model": body.get("model"),
        }

    def next_chunk(self):
        """The event of one more token."""
        word, first = f"w{len(self.words)} ", not self.words
        self.words.append(word)
        choice = {"index": 0, "finish_reason": "stop" if len(self.words) >= self.job.output_tokens else None}
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": word} if first else {"content": word}
        else:
            choice["text"] = word
        return self.base | {"choices": [choice]}

    def usage_chunk(self):
        """The usage event if the client asked for it, else None."""
        if not (self.body.get("stream_options") or {}).get("include_usage"):
            return None
        return self.base | {"choices": [], "usage": generation_usage(self.job, len(self.words))}

    def whole(self):
        """The response in one piece."""
        text = "".join(self.words)
        content = {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
        choice = {"index": 0, "finish_reason": "stop"} | content
        return self.base | {
            "object": "chat.completion" if self.chat else "text_completion",
            "usage": generation_usage(self.job, len(self.words)),
            "choices": [choice],
        }
