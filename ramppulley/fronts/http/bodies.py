"""Validates the fields of request bodies that the router uses; other fields are forwarded unchanged. Pure.

Sources: the OpenAI API reference (chat completions, completions, embeddings); Jina and Cohere API references (rerank).
"""

import msgspec

from ramppulley.service.neutral import CHAT, COMPLETION, EMBEDDINGS, RERANK
from ramppulley.wire.faults import BadMessage

MAX_PARAMETER_VALUE = 1_000_000  # limit for numeric parameters
MAX_ITEMS = 8192  # inputs or documents per request


class StreamOptions(msgspec.Struct):
    include_usage: bool | None = None


class ChatBody(msgspec.Struct):
    model: str
    messages: list[dict]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


class CompletionBody(msgspec.Struct):
    model: str
    prompt: str | list[str | list[int] | int]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    n: int | None = None


class EmbeddingsBody(msgspec.Struct):
    model: str
    input: str | list[str | list[int] | int]
    encoding_format: str | None = None
    dimensions: int | None = None


class RerankBody(msgspec.Struct):
    model: str
    query: str
    documents: list[str | dict]
    top_n: int | None = None
    return_documents: bool | None = None


BODIES = {CHAT: ChatBody, COMPLETION: CompletionBody, EMBEDDINGS: EmbeddingsBody, RERANK: RerankBody}
DEFAULT_MAX_OUTPUT_TOKENS = 1024  # assumed for requests without a limit of their own


class BodyError(BadMessage):
    """An invalid body; `param` names the field."""

    def __init__(self, text, param=None, status=400):
        super().__init__(text, status)
        self.param = param


def decode(kind, raw):
    """(decoded body, its validated fields). Raises BodyError with the field and the reason."""
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise BodyError(f"the body is not JSON: {fault}") from fault
    if not isinstance(body, dict):
        raise BodyError("the body must be a JSON object")
    try:
        checked = msgspec.convert(body, BODIES[kind])
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at ")
        raise BodyError(str(fault), path.strip("`$.") or (text.split("`")[1] if "missing" in text else None)) from fault
    _check(kind, checked)
    return body, checked


def _check(kind, body):
    for name in ("max_tokens", "max_completion_tokens", "dimensions", "top_n", "n"):
        value = getattr(body, name, None)
        if value is not None and not 1 <= value <= MAX_PARAMETER_VALUE:
            raise BodyError(f"{name} must lie between 1 and {MAX_PARAMETER_VALUE}", name)
    if kind == CHAT and not body.messages:
        raise BodyError("messages must not be empty", "messages")
    if kind == RERANK:
        _check_items("documents", body.documents)
        for document in body.documents:
            if isinstance(document, dict) and not isinstance(document.get("text"), str):
                raise BodyError("a document must be a text or an object with a text", "documents")
    if kind == EMBEDDINGS:
        _check_items("input", body.input)
        if body.encoding_format not in (None, "float", "base64"):
            raise BodyError("encoding_format must be float or base64", "encoding_format")
    if kind in (EMBEDDINGS, COMPLETION):
        inputs = body.input if kind == EMBEDDINGS else body.prompt
        if isinstance(inputs, list):
            name = "input" if kind == EMBEDDINGS else "prompt"
            _check_items(name, inputs)
            if len({type(x) for x in inputs}) > 1:
                raise BodyError(f"{name} must hold texts, tokens or token lists, not a mix", name)


def _check_items(name, items):
    if not items:
        raise BodyError(f"{name} must not be empty", name)
    if isinstance(items, list) and not isinstance(items[0], int) and len(items) > MAX_ITEMS:
        raise BodyError(f"{name} holds more than {MAX_ITEMS}", name)


def max_output_tokens(kind, body):
    """Maximum number of output tokens over all choices."""
    if kind not in (CHAT, COMPLETION):
        return 1
    return (getattr(body, "max_completion_tokens", None) or body.max_tokens or DEFAULT_MAX_OUTPUT_TOKENS) * (
        body.n or 1
    )
