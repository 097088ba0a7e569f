"""Sends one client's request of a scenario to a router and records what the client observed."""

import time
from typing import NamedTuple

from ramppulley.check.evidence import Asked
from ramppulley.load.client import ask
from ramppulley.load.day import path_and_body
from ramppulley.load.scenario_settings import REQUEST_CLASSES, api_key
from ramppulley.standin.demo import CHAT, VECTORS
from ramppulley.standin.texts import prompt_text, tokens_of

S = 10_000  # tenths of a millisecond in a second
LOOPBACK = "127.0.0.1"
MODELS = {"chat": CHAT, "vectors": VECTORS}
STREAM_TIMEOUT_S = 6.0  # from the first event of a stream
DEFAULT_EFFECT = "pure"
DEFAULT_TOKEN_INTERVAL_S = 0.06
DEFAULT_VALUE = 1.0
MILLISECONDS_PER_SECOND = 1000
TOKENS_PER_K = 1000


class Outcome(NamedTuple):
    """How a request ended for its client, in the terms of the evidence. `why` is set only if it was lost."""

    how: str
    why: str = ""


async def send_arrival(arrival, routers, requests):
    """Sends one request and adds it to `requests`. Returns the retry-after time in seconds if it was rejected, else None."""
    router = routers[min(int(arrival.router * len(routers)), len(routers) - 1)]
    path, body = path_and_body(arrival, MODELS)
    prompt_tokens = _prompt_tokens(arrival, body)
    deadline_s = arrival.deadline_s or _deadline_s(arrival, prompt_tokens)
    headers = _headers(arrival, deadline_s)
    observed = _new_observation(arrival, router, prompt_tokens, deadline_s)
    requests.append(observed)
    reply = await ask(
        LOOPBACK,
        router.port,
        path,
        body,
        headers,
        patience=min(deadline_s, arrival.leaves_after_s or deadline_s),
        after_first=STREAM_TIMEOUT_S,
    )
    _record_reply(observed, reply)
    observed.how, observed.why = _outcome(arrival, reply)
    if arrival.kind == "chat" and reply.status == 200 and (reply.events or reply.body):
        _record_tokens(observed, reply)
    if observed.how != "turned back":
        return None
    return float(reply.headers.get("retry-after-ms", 0)) / MILLISECONDS_PER_SECOND


def expected_text(token_count):
    """The text of a stand-in's response with this many tokens."""
    return "".join(f"w{number} " for number in range(token_count))


def _prompt_tokens(arrival, body):
    if arrival.kind == "chat":
        return tokens_of(prompt_text(body))
    return sum(map(tokens_of, body.get("input") or body["documents"]))


def _deadline_s(arrival, prompt_tokens):
    settings = REQUEST_CLASSES[arrival.request_class]
    return settings["outer_limit_s"] + 2 * settings.get("promised_s_per_k", 0) * prompt_tokens / TOKENS_PER_K


def _latency_target_s(settings, prompt_tokens):
    return settings["promised_s"] + settings.get("promised_s_per_k", 0) * prompt_tokens / TOKENS_PER_K


def _headers(arrival, deadline_s):
    headers = {
        "x-request-id": arrival.name,
        "x-use-case": arrival.request_class,
        "x-session-id": arrival.session,
        "x-request-timeout": f"{deadline_s:.4f}",
    }
    if arrival.idempotency_key:
        headers["idempotency-key"] = arrival.idempotency_key
    if arrival.tenant:
        headers["authorization"] = f"Bearer {api_key(arrival.tenant)}"
    return headers


def _new_observation(arrival, router, prompt_tokens, deadline_s):
    """The record of a request that is being sent now, before its response."""
    settings = REQUEST_CLASSES[arrival.request_class]
    return Asked(
        name=arrival.name,
        kind=arrival.kind,
        use_case=arrival.request_class,
        effect=settings.get("effect", DEFAULT_EFFECT),
        sent=int(time.monotonic() * S),
        patience=int(deadline_s * S),
        promised=int(_latency_target_s(settings, prompt_tokens) * S),
        pace=int(settings.get("pace_s", DEFAULT_TOKEN_INTERVAL_S) * S),
        benefit=settings.get("benefit", DEFAULT_VALUE),
        account=arrival.tenant,
        router=router.number,
    )


def _record_reply(observed, reply):
    observed.ended = int(reply.ended * S)
    observed.status = reply.status
    observed.first = int(reply.first * S) if reply.first is not None else None
    retry = reply.headers.get("x-should-retry")
    observed.harmless = None if retry is None else retry == "true"
    has_error_body = reply.status >= 400 and bool(reply.body)
    observed.finals = int(reply.done or reply.fault == "error event" or has_error_body)


def _outcome(arrival, reply):
    if reply.fault == "gave up":
        return Outcome("left") if arrival.leaves_after_s else Outcome("lost", "the client gave up")
    if reply.fault == "error event" or reply.status in (502, 504):
        return Outcome("scrapped")
    if reply.status in (429, 503) and reply.done:
        return Outcome("turned back")
    if reply.status == 200 and reply.done:
        return Outcome("fulfilled")
    if reply.status == 0 and reply.fault == "ConnectionRefusedError":
        return Outcome("unreached")
    return Outcome("lost", f"status {reply.status}, {reply.fault} {reply.body[:200]!r}")


def _record_tokens(observed, reply):
    text = reply.text()
    observed.tokens = text.count("w")
    observed.in_order = text == expected_text(observed.tokens)
