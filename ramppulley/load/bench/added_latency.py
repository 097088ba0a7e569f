"""Added latency of streamed chat: time to the first token and time per token, direct and routed in alternating rounds."""

import asyncio
from dataclasses import dataclass

from ramppulley.load.bench.clients import direct_stream, routed_stream, streamed_chat_body
from ramppulley.load.bench.histograms import LatencySummary, StreamHistograms, difference_ms
from ramppulley.load.bench.rig import ROUNDS, running_rig

MAX_TOKENS = 20


@dataclass(frozen=True)
class AddedLatency:
    """Summaries for direct and routed requests, and their differences."""

    per_s: float
    first_token: dict[str, LatencySummary]
    per_token: dict[str, LatencySummary]
    added_first_p50_ms: float
    added_first_p99_ms: float
    added_token_p50_ms: float
    added_token_p99_ms: float


async def measure_added_latency(seconds, per_s):
    """Sends requests at a constant rate for this many seconds in total, divided evenly among the rounds."""
    histograms = {mode: StreamHistograms() for mode in ROUNDS}
    async with running_rig() as rig:
        for mode in ROUNDS:
            await _run_round(rig, mode, seconds / len(ROUNDS), per_s, histograms[mode])
        return _compare(per_s, histograms)


async def _run_round(rig, mode, seconds, per_s, histograms):
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        tasks.append(loop.create_task(_stream(rig, mode, len(tasks) + 1, histograms)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


def _stream(rig, mode, number, histograms):
    if mode == "direct":
        return direct_stream(rig.fleet, number, histograms)
    body = streamed_chat_body(f"bench {mode}{number}", MAX_TOKENS)
    return routed_stream(rig.router.port, body, histograms)


def _compare(per_s, histograms):
    first_token = {mode: histogram.first_token.summary() for mode, histogram in histograms.items()}
    per_token = {mode: histogram.per_token.summary() for mode, histogram in histograms.items()}
    return AddedLatency(
        per_s=per_s,
        first_token=first_token,
        per_token=per_token,
        added_first_p50_ms=difference_ms(first_token["routed"].p50_ms, first_token["direct"].p50_ms),
        added_first_p99_ms=difference_ms(first_token["routed"].p99_ms, first_token["direct"].p99_ms),
        added_token_p50_ms=difference_ms(per_token["routed"].p50_ms, per_token["direct"].p50_ms),
        added_token_p99_ms=difference_ms(per_token["routed"].p99_ms, per_token["direct"].p99_ms),
    )
