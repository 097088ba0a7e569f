"""Clients of the benchmark: streamed chat, through the router or directly to the engines, and embeddings."""

import time

from ramppulley.load.bench.rig import LOOPBACK
from ramppulley.load.client import ask
from ramppulley.load.day import text
from ramppulley.standin.demo import CHAT, VECTORS

CHAT_PATH = "/v1/chat/completions"
EMBEDDINGS_PATH = "/v1/embeddings"
PROMPT_TOKENS = 50
DIRECT_MAX_TOKENS = 20
STREAM_TIMEOUT_S = 60
EMBEDDINGS_BODY = {"model": VECTORS, "input": "lock", "dimensions": 4}


def chat_body(prompt_seed, max_tokens):
    """The body of a chat request; the seed determines the prompt."""
    return {
        "model": CHAT,
        "messages": [{"role": "user", "content": text(prompt_seed, PROMPT_TOKENS)}],
        "max_tokens": max_tokens,
    }


def streamed_chat_body(prompt_seed, max_tokens):
    """The body of a chat request with a streamed response."""
    return chat_body(prompt_seed, max_tokens) | {"stream": True}


async def routed_stream(port, body, histograms):
    """Streams one response through the router and records its latency; returns whether it was complete."""
    reply = await ask(LOOPBACK, port, CHAT_PATH, body, patience=STREAM_TIMEOUT_S, after_first=STREAM_TIMEOUT_S)
    if reply.done and reply.first is not None:
        histograms.first_token.record(reply.first - reply.sent)
        if len(reply.events) > 1:
            histograms.per_token.record(_seconds_per_token(reply))
    return reply.done


async def direct_stream(fleet, number, histograms):
    """Makes the router's prefill and decode attempts itself; the time to the first token includes the prefill."""
    prefill_port = fleet.standins[f"reader-0-{number % 2}"].port
    decode_port = fleet.standins[f"writer-0-{number % 2}"].port
    body = chat_body(f"bench d{number}", DIRECT_MAX_TOKENS)
    started = time.monotonic()
    prefill = await ask(
        LOOPBACK,
        prefill_port,
        CHAT_PATH,
        body | {"max_tokens": 1, "kv_transfer_params": {"do_remote_decode": True}},
        {"x-request-id": f"d{number}.d-0-s0"},
    )
    reply = await ask(
        LOOPBACK,
        decode_port,
        CHAT_PATH,
        body | {"stream": True, "kv_transfer_params": prefill.json()["kv_transfer_params"]},
        {"x-request-id": f"d{number}.d-0-s1"},
        patience=STREAM_TIMEOUT_S,
        after_first=STREAM_TIMEOUT_S,
    )
    if reply.done:
        histograms.first_token.record(reply.first - started)
        histograms.per_token.record(_seconds_per_token(reply))


async def embeddings(port, transport):
    """Sends one embeddings request on an open connection; returns the reply."""
    return await ask(LOOPBACK, port, EMBEDDINGS_PATH, EMBEDDINGS_BODY, transport=transport)


def _seconds_per_token(reply):
    return (reply.ended - reply.first) / (len(reply.events) - 1)
