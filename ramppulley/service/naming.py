"""Derives tenant, request class, deadline, session and prefix of a request from its metadata and body. Pure.

Shared by all fronts. The rules come from the settings; metadata maps lower-case names to text (HTTP headers, gRPC metadata).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from ramppulley.door import RequestClass
from ramppulley.service.clock import TENTHS
from ramppulley.service.neutral import CHAT, COMPLETION, RERANK

MESSAGE_OVERHEAD_BYTES = 16  # added for the framing of each message
MAX_NAME_LENGTH = 256  # characters; longer names from clients are cut


@dataclass
class Naming:
    """Settings of the derivation. The request class comes from the header, else `by_model`, `by_kind`, `fallback`."""

    use_cases: frozenset[str]
    fallback: str
    by_kind: dict[str, str] = field(default_factory=dict)
    by_model: dict[str, str] = field(default_factory=dict)
    use_case_header: str = "x-use-case"
    session_header: str = "x-session-id"
    patience_header: str = "x-request-timeout"
    receipt_header: str = "idempotency-key"
    keys: dict[str, str] = field(default_factory=dict)  # API key -> tenant
    keys_needed: bool = False


class MetadataError(Exception):
    """Metadata that cannot be used; `status` and `param` are for the front's error response."""

    def __init__(self, text: str, status: int = 400, param: str | None = None) -> None:
        super().__init__(text)
        self.status, self.param = status, param


def tenant_of(naming: Naming, metadata: Mapping[str, str]) -> str:
    """The tenant of the API key; raises MetadataError if a key is required and this one is missing or unknown."""
    scheme, _, key = metadata.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer" and key.strip() in naming.keys:
        return naming.keys[key.strip()]
    if naming.keys_needed:
        raise MetadataError("no such API key" if key else "an API key is needed: Authorization: Bearer ...", 401)
    return ""


def request_class_of(naming: Naming, metadata: Mapping[str, str], kind: str, model: str) -> str:
    """The request class: from the header, else by the model, the kind, or the fallback."""
    name = metadata.get(naming.use_case_header)
    if name is not None:
        if name not in naming.use_cases:
            raise MetadataError(f"{naming.use_case_header}: no use case {name[:MAX_NAME_LENGTH]!r}", 400)
        return name
    return naming.by_model.get(model) or naming.by_kind.get(kind) or naming.fallback


def deadline_of(naming: Naming, metadata: Mapping[str, str], request_class: RequestClass, prompt: int) -> int:
    """Tenths of a millisecond until the client's deadline: from its header, else the limit of the request class, to which
    prompt tokens add at twice the slope of the latency target. A header is limited to ten times that."""
    default = request_class.outer_limit + 2 * request_class.promised_per_k * prompt // 1000
    value = metadata.get(naming.patience_header)
    if value is None:
        return default
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise MetadataError(f"{naming.patience_header}: seconds above 0 are needed, not {value[:40]!r}")
    return max(1, min(int(seconds * TENTHS), 10 * default))


def measure_prompt(kind: str, body: dict[str, Any]) -> tuple[int, int]:
    """(bytes of text, tokens) of a body's prompt; token lists count as tokens, text as bytes.

    >>> (measure_prompt("embeddings", {"input": ["abc", [1, 2, 3]]}),
    ...  measure_prompt(RERANK, {"query": "ab", "documents": ["cd", "e"]}))
    ((3, 3), (7, 0))
    """
    if kind == CHAT:
        return sum(
            MESSAGE_OVERHEAD_BYTES + _text_bytes(m.get("content")) + _text_bytes(m.get("tool_calls"))
            for m in body["messages"]
        ), 0
    if kind == RERANK:
        documents = [d if isinstance(d, str) else d.get("text", "") for d in body["documents"]]
        return len(documents) * len(body["query"].encode()) + sum(len(d.encode()) for d in documents), 0
    prompt = body["prompt" if kind == COMPLETION else "input"]
    if isinstance(prompt, str):
        return len(prompt.encode()), 0
    if prompt and isinstance(prompt[0], int):
        return 0, len(prompt)
    return (
        sum(len(x.encode()) for x in prompt if isinstance(x, str)),
        sum(len(x) for x in prompt if not isinstance(x, str)),
    )


def _text_bytes(value: object) -> int:
    """Bytes of text in a message's content, at any nesting depth."""
    if isinstance(value, str):
        return len(value.encode())
    if isinstance(value, list):
        return sum(map(_text_bytes, value))
    if isinstance(value, dict):
        return sum(map(_text_bytes, value.values()))
    return 0


def prefix_of(kind: str, body: dict[str, Any]) -> tuple[str, int]:
    """(key, bytes) of the prefix shared with other requests: `prompt_cache_key`, else a hash of the system messages."""
    if kind != CHAT:
        return str(body.get("prompt_cache_key") or "")[:MAX_NAME_LENGTH], 0
    size, digest = 0, xxhash.xxh3_64()
    for message in body["messages"]:
        if message.get("role") not in ("system", "developer"):
            break
        digest.update(repr(message.get("content")).encode())
        size += MESSAGE_OVERHEAD_BYTES + _text_bytes(message.get("content"))
    key = body.get("prompt_cache_key")
    return (str(key)[:MAX_NAME_LENGTH] if key else digest.hexdigest() if size else ""), size


def session_of(naming: Naming, metadata: Mapping[str, str], kind: str, body: dict[str, Any]) -> str:
    """The session: from its header, else a hash of the messages up to the first user message, which later turns repeat."""
    name = metadata.get(naming.session_header)
    if name:
        return name[:MAX_NAME_LENGTH]
    if kind != CHAT:
        return ""
    digest = xxhash.xxh3_64()
    for message in body["messages"]:
        digest.update(repr((message.get("role"), message.get("content"))).encode())
        if message.get("role") == "user":
            break
    return digest.hexdigest()
