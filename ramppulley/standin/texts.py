"""Token counts, blocks, response lengths, vectors and scores of texts, each determined by the text alone. Pure."""

import math
from collections import Counter
from functools import lru_cache

import xxhash

from ramppulley.standin.model import BLOCK_TOKENS

BYTES_A_TOKEN = 3.6  # of the stand-ins; a router has to estimate it
DIMENSIONS = 64


def tokens_of(text):
    return max(1, math.ceil(len(text.encode()) / BYTES_A_TOKEN))


def prompt_text(body):
    """The prompt of a chat or completion body as one text."""
    if "messages" in body:
        parts = []
        for message in body["messages"]:
            content = message.get("content") or ""
            if isinstance(content, list):
                content = "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
            parts.append(f"<{message.get('role', '')}>{content}")
        return "".join(parts)
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else str(prompt)


def blocks_of(text):
    """The chained hashes of a text's whole blocks: two texts share those of their common prefix.

    >>> a, b = blocks_of("x" * 400 + "one" * 99), blocks_of("x" * 400 + "two" * 99)
    >>> a[:3] == b[:3], a[-1] == b[-1]
    (True, False)
    """
    size, data, chain, hashes = int(BLOCK_TOKENS * BYTES_A_TOKEN), text.encode(), 0, []
    for start in range(0, len(data) - size + 1, size):
        chain = xxhash.xxh3_64_intdigest(data[start : start + size], seed=chain)
        hashes.append(chain)
    return tuple(hashes)


def length_of(text, max_tokens):
    """The length of a text's response: determined by the text, log-uniform from 8 to 256 tokens, at most `max_tokens`."""
    draw = xxhash.xxh3_64_intdigest(text.encode()) / 2**64
    return max(1, min(max_tokens, int(8 * 32**draw)))


@lru_cache(4096)
def _word_vector(word, dimensions):
    seed, components = xxhash.xxh3_64_intdigest(word.encode()), []
    for _ in range(dimensions):
        seed = (seed * 6364136223846793005 + 1442695040888963407) % 2**64
        components.append(seed / 2**63 - 1)
    return components


def vector_of(text, dimensions=DIMENSIONS):
    """A unit vector that is determined by the text; texts that share words are closer."""
    sums = [0.0] * dimensions
    for word, count in Counter(text.lower().split() or [""]).items():
        for i, component in enumerate(_word_vector(word, dimensions)):
            sums[i] += count * component
    norm = math.sqrt(sum(x * x for x in sums)) or 1.0
    return [x / norm for x in sums]


def score_of(query, document):
    """
    >>> score_of("lock times", "lock times today") > score_of("lock times", "boat hire")
    True
    """
    a, b = vector_of(query), vector_of(document)
    return round((1 + sum(x * y for x, y in zip(a, b))) / 2, 6)
