"""Who asks, for what, how patiently: read from a question's metadata by the rules that the orders file sets. Pure.

Shared by all fronts: metadata is a mapping of lower-case names to texts (HTTP headers, gRPC metadata).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from ramppulley.door import RequestClass
from ramppulley.service.clock import TENTHS
from ramppulley.service.neutral import CHAT, COMPLETION, RERANK

PER_MESSAGE = 16  # bytes' worth of a message's frame
TEXT_MOST = 256  # characters kept of a name that a client sends


@dataclass
class Naming:
    """Where each thing comes from. `by_kind` and `by_model` come before `fallback`; a header before both."""

    use_cases: frozenset[str]
    fallback: str
    by_kind: dict[str, str] = field(default_factory=dict)
    by_model: dict[str, str] = field(default_factory=dict)
    use_case_header: str = "x-use-case"
    session_header: str = "x-session-id"
    patience_header: str = "x-request-timeout"
    receipt_header: str = "idempotency-key"
    keys: dict[str, str] = field(default_factory=dict)  # API key -> account
    keys_needed: bool = False


class Unnamed(Exception):
    """Metadata that cannot be used; `status` and `field` for the front's answer."""

    def __init__(self, text: str, status: int = 400, at: str | None = None) -> None:
        super().__init__(text)
        self.status, self.at = status, at


def account_of(naming: Naming, metadata: Mapping[str, str]) -> str:
    """The account of the API key; raises Unnamed where a key is needed and not known."""
    scheme, _, key = metadata.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer" and key.strip() in naming.keys:
        return naming.keys[key.strip()]
    if naming.keys_needed:
        raise Unnamed("no such API key" if key else "an API key is needed: Authorization: Bearer ...", 401)
    return ""


def use_case_of(naming: Naming, metadata: Mapping[str, str], kind: str, model: str) -> str:
    """The request class: told, else by the model, the kind, or the one that is left."""
    named = metadata.get(naming.use_case_header)
    if named is not None:
        if named not in naming.use_cases:
            raise Unnamed(f"{naming.use_case_header}: no use case {named[:TEXT_MOST]!r}", 400)
        return named
    return naming.by_model.get(model) or naming.by_kind.get(kind) or naming.fallback


def patience_of(naming: Naming, metadata: Mapping[str, str], use_case: RequestClass, prompt: int) -> int:
    """Tenths of a millisecond until the client leaves: its own word, else the outer limit (twice the promise's slope)."""
    outer = use_case.outer_limit + 2 * use_case.promised_per_k * prompt // 1000
    told = metadata.get(naming.patience_header)
    if told is None:
        return outer
    try:
        seconds = float(told)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise Unnamed(f"{naming.patience_header}: seconds above 0 are needed, not {told[:40]!r}")
    return max(1, min(int(seconds * TENTHS), 10 * outer))


def weigh(kind: str, body: dict[str, Any]) -> tuple[int, int]:
    """(bytes of text, tokens counted already) of a body; token lists count themselves.

    >>> weigh("embeddings", {"input": ["abc", [1, 2, 3]]}), weigh(RERANK, {"query": "ab", "documents": ["cd", "e"]})
    ((3, 3), (7, 0))
    """
    if kind == CHAT:
        return sum(PER_MESSAGE + _size(m.get("content")) + _size(m.get("tool_calls")) for m in body["messages"]), 0
    if kind == RERANK:
        documents = [d if isinstance(d, str) else d.get("text", "") for d in body["documents"]]
        return len(documents) * len(body["query"].encode()) + sum(len(d.encode()) for d in documents), 0
    given = body["prompt" if kind == COMPLETION else "input"]
    if isinstance(given, str):
        return len(given.encode()), 0
    if given and isinstance(given[0], int):
        return 0, len(given)
    return (
        sum(len(x.encode()) for x in given if isinstance(x, str)),
        sum(len(x) for x in given if not isinstance(x, str)),
    )


def _size(value: object) -> int:
    """Bytes of text in a message's content, however it is nested."""
    if isinstance(value, str):
        return len(value.encode())
    if isinstance(value, list):
        return sum(map(_size, value))
    if isinstance(value, dict):
        return sum(map(_size, value.values()))
    return 0


def beginning_of(kind: str, body: dict[str, Any]) -> tuple[str, int]:
    """(name, bytes) of the beginning that a question shares with others: `prompt_cache_key`, else system messages."""
    if kind != CHAT:
        return str(body.get("prompt_cache_key") or "")[:TEXT_MOST], 0
    size, digest = 0, xxhash.xxh3_64()
    for message in body["messages"]:
        if message.get("role") not in ("system", "developer"):
            break
        digest.update(repr(message.get("content")).encode())
        size += PER_MESSAGE + _size(message.get("content"))
    key = body.get("prompt_cache_key")
    return (str(key)[:TEXT_MOST] if key else digest.hexdigest() if size else ""), size


def session_of(naming: Naming, metadata: Mapping[str, str], kind: str, body: dict[str, Any]) -> str:
    """The session's name: told, else by how the conversation begins, which its later turns repeat."""
    told = metadata.get(naming.session_header)
    if told:
        return told[:TEXT_MOST]
    if kind != CHAT:
        return ""
    digest = xxhash.xxh3_64()
    for message in body["messages"]:
        digest.update(repr((message.get("role"), message.get("content"))).encode())
        if message.get("role") == "user":
            break
    return digest.hexdigest()
