"""A scenario, read from a JSON5 file: the fleet, the request streams and the faults; and the arrivals drawn from it.

No I/O; the same seed gives the same scenario. Times are seconds from the start; lengths are tokens as the stand-ins count
them.
"""

import math
from dataclasses import dataclass
from random import Random
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from ramppulley.standin.texts import BYTES_A_TOKEN

WORDS = [
    "lock",
    "bridge",
    "mooring",
    "tide",
    "canal",
    "berth",
    "permit",
    "depth",
    "wharf",
    "sluice",
    "rope",
    "fender",
    "chart",
    "buoy",
    "harbour",
    "skipper",
    "barge",
    "route",
    "toll",
    "queue",
    "level",
    "gate",
    "signal",
    "pilot",
    "engine",
    "anchor",
    "cabin",
    "deck",
    "hull",
    "stern",
    "bow",
]


class ScenarioModel(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Fleet(ScenarioModel):
    """Engines of a scenario: groups (`cells`) of prefill workers (`readers`) and decode workers (`writers`), and mixed
    workers (`pooled`). `kinds`: fields of the engine model, by role."""

    cells: int = Field(2, ge=1, le=16)
    readers: int = Field(2, ge=0, le=16)
    writers: int = Field(2, ge=0, le=16)
    pooled: int = Field(2, ge=0, le=16)
    kinds: dict[Literal["read", "write", "pool"], dict[str, float]] = {}
    extensions: list[str] = ["release", "hold"]
    list_lag_s: float = Field(0.3, ge=0)


class Stream(ScenarioModel):
    """One stream of requests of the same kind."""

    kind: Literal["chat", "embeddings", "rerank"] = "chat"
    use_case: str = "afloat"
    per_s: float = Field(gt=0, le=500)
    prompt: tuple[int, int] = (100, 900)  # without the shared prefix; of all items together for embeddings and rerank
    answer: tuple[int, int] = (10, 60)
    items: tuple[int, int] = (4, 16)
    beginnings: int = Field(8, ge=0)  # number of shared prefixes; 0 = none
    beginning: int = 400  # tokens of each prefix
    turns: float = Field(2.0, ge=1)  # mean number of turns of a session
    whole: float = Field(0.2, ge=0, le=1)  # share of requests without streaming
    account: str = ""
    patience_s: float | None = None  # sent in the deadline header; by default the deadline of the request class
    impatient: float = Field(0.0, ge=0, le=1)  # share of clients that disconnect before their deadline
    receipts: bool = False
    from_s: float = 0.0
    to_s: float | None = None


class Trouble(ScenarioModel):
    """A fault of engines, arrivals or routers. `who`: a shell pattern of worker names, of which `count` are drawn."""

    what: Literal[
        "crash",
        "silence",
        "slow",
        "neighbour",
        "late_reports",
        "forget",
        "cut_off",
        "slow_handshake",
        "drain",
        "taken_away",
        "wrong_full",
        "pauses",
        "cut_answers",
        "corrupt_answers",
        "router_roll",
        "burst",
        "hot_beginning",
        "flood",
        "standstill",
    ]
    at_s: float = Field(ge=0)
    for_s: float = Field(3.0, gt=0)
    who: str = "*"
    count: int = Field(1, ge=1)
    size: float = 4.0
    account: str = ""


class Day(ScenarioModel):
    """A scenario file."""

    name: str
    about: str = ""
    seed: int = 1
    length_s: float = Field(12.0, gt=0, le=600)
    routers: int = Field(1, ge=1, le=8)
    fleet: Fleet = Fleet()
    streams: list[Stream] = Field(min_length=1)
    troubles: list[Trouble] = []
    orders: dict = {}


@dataclass(frozen=True)
class Arrival:
    """One request as its client will send it."""

    name: str
    at: float
    kind: str
    request_class: str
    session: str
    tenant: str
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    turn: int = 0
    items: int = 1
    whole: bool = False  # no streaming
    deadline_s: float | None = None
    leaves_after_s: float | None = None  # disconnects after this time, whatever its deadline
    idempotency_key: str = ""
    router: float = 0.0  # 0 to 1: position in the list of routers


def arrival_rate(scenario, stream, at):
    """Requests per second of a stream at a time, including the scenario's bursts and floods."""
    if not stream.from_s <= at < (stream.to_s if stream.to_s is not None else scenario.length_s):
        return 0.0
    rate = stream.per_s
    for fault in scenario.troubles:
        if fault.at_s <= at < fault.at_s + fault.for_s and (
            fault.what == "burst" or (fault.what == "flood" and fault.account == stream.account)
        ):
            rate *= fault.size
    return rate


def arrivals(scenario):
    """All arrivals of a scenario, in order of time; the same for the same scenario and seed.

    >>> scenario = Day(name="d", length_s=5, streams=[Stream(per_s=20)])
    >>> plan = arrivals(scenario)
    >>> plan == arrivals(scenario), 50 < len(plan) < 150, plan == sorted(plan, key=lambda a: a.at)
    (True, True, True)
    """
    drawn = []
    for number, stream in enumerate(scenario.streams):
        rng = Random(f"{scenario.seed} {number}")
        peak = stream.per_s * math.prod(max(1.0, t.size) for t in scenario.troubles if t.what in ("burst", "flood"))
        at, session_count = 0.0, 0
        open_sessions = []  # (session, prefix, next turn, tokens so far)
        while (at := at + rng.expovariate(peak)) < scenario.length_s:
            if rng.random() * peak >= arrival_rate(scenario, stream, at):
                continue
            hot = any(
                t.what == "hot_beginning" and t.at_s <= at < t.at_s + t.for_s and rng.random() < t.size
                for t in scenario.troubles
            )
            if open_sessions and not hot and rng.random() < 1 - 1 / stream.turns:
                session, prefix, turn, context_tokens = open_sessions.pop(rng.randrange(len(open_sessions)))
            else:
                session_count += 1
                session, turn, context_tokens = f"s{number}-{session_count}", 0, 0
                prefix = (
                    "hot"
                    if hot
                    else f"b{number}-{int(stream.beginnings * rng.random() ** 2)}"
                    if stream.beginnings
                    else ""
                )
            new_tokens = int(math.exp(rng.uniform(*map(math.log, stream.prompt))))
            max_tokens = int(math.exp(rng.uniform(*map(math.log, stream.answer))))
            leaves_early = rng.random() < stream.impatient
            name = f"{number}q{len(drawn)}"
            drawn.append(
                Arrival(
                    name,
                    at,
                    stream.kind,
                    stream.use_case,
                    session,
                    stream.account,
                    context_tokens + new_tokens,
                    max_tokens,
                    prefix,
                    (3000 if prefix == "hot" else stream.beginning) if prefix else 0,
                    turn,
                    rng.randint(*stream.items),
                    rng.random() < stream.whole,
                    stream.patience_s,
                    rng.uniform(0.02, 1.0) if leaves_early else None,
                    f"receipt-{scenario.seed}-{name}" if stream.receipts else "",
                    rng.random(),
                )
            )
            if stream.kind == "chat" and len(open_sessions) < 200:
                open_sessions.append((session, prefix, turn + 1, context_tokens + new_tokens + max_tokens))
    return sorted(drawn, key=lambda a: a.at)


def text(seed, tokens):
    """A text with this many tokens, determined by the seed."""
    rng, size, words = Random(seed), int(tokens * BYTES_A_TOKEN), []
    length = 0
    while length < size:
        words.append(rng.choice(WORDS))
        length += len(words[-1]) + 1
    return " ".join(words)[: max(1, size)]


def path_and_body(arrival, models):
    """(path, body) of an arrival. Later turns of a session repeat its earlier prompt."""
    if arrival.kind == "chat":
        messages = []
        if arrival.prefix:
            messages.append({"role": "system", "content": text(arrival.prefix, arrival.prefix_tokens)})
        messages.append({"role": "user", "content": text(arrival.session, arrival.prompt_tokens)})
        body = {
            "model": models["chat"],
            "messages": messages,
            "max_tokens": arrival.max_tokens,
            "stream": not arrival.whole,
        }
        if arrival.tenant:
            body["user"] = arrival.tenant
        return "/v1/chat/completions", body
    items = [text(f"{arrival.name}{i}", max(1, arrival.prompt_tokens // arrival.items)) for i in range(arrival.items)]
    if arrival.kind == "embeddings":
        return "/v1/embeddings", {"model": models["vectors"], "input": items}
    return "/v1/rerank", {"model": models["vectors"], "query": text(arrival.name, 8), "documents": items, "top_n": 3}
