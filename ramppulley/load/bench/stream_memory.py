"""Memory that the router uses per stream with many concurrent streams."""

import asyncio
from dataclasses import dataclass, replace

from ramppulley.load.bench.clients import routed_stream, streamed_chat_body
from ramppulley.load.bench.histograms import StreamHistograms
from ramppulley.load.bench.process_usage import resident_bytes
from ramppulley.load.bench.rig import fast_fleet, running_rig

SLOW_STEP = 20_000  # of a decode engine, in tenths of a millisecond: long enough for all streams to be open at once
WARM_UP_STREAMS = 20
WARM_UP_MAX_TOKENS = 1
MAX_TOKENS = 4
START_INTERVAL_S = 0.002
SETTLE_S = 1.5
BYTES_PER_MEGABYTE = 1e6
BYTES_PER_KILOBYTE = 1000


@dataclass(frozen=True)
class StreamMemory:
    """Resident memory before the streams were opened and while they were open."""

    streams: int
    done: int
    memory_before_mb: float
    memory_during_mb: float
    kb_each: float


async def measure_stream_memory(count):
    """Opens `count` streams and measures the router's memory while they wait for their tokens."""
    histograms = StreamHistograms()
    async with running_rig(_slow_decode_fleet) as rig:
        port = rig.router.port
        pid = rig.router.process.pid
        await _warm_up(port, histograms)
        before = resident_bytes(pid)
        tasks = await _open_streams(port, count, histograms)
        await asyncio.sleep(SETTLE_S)
        during = resident_bytes(pid)
        done = sum(await asyncio.gather(*tasks))
        return StreamMemory(
            streams=count,
            done=done,
            memory_before_mb=round(before / BYTES_PER_MEGABYTE, 1),
            memory_during_mb=round(during / BYTES_PER_MEGABYTE, 1),
            kb_each=round((during - before) / count / BYTES_PER_KILOBYTE, 1),
        )


def _slow_decode_fleet(list_path):
    fleet = fast_fleet(list_path)
    for name, standin in fleet.standins.items():
        if name.startswith("writer"):
            standin.engine.kind = replace(standin.engine.kind, step=SLOW_STEP)
    return fleet


async def _warm_up(port, histograms):
    bodies = [streamed_chat_body(f"bench w{number}", WARM_UP_MAX_TOKENS) for number in range(WARM_UP_STREAMS)]
    await asyncio.gather(*(routed_stream(port, body, histograms) for body in bodies))


async def _open_streams(port, count, histograms):
    """Starts `count` streams with the same prompt one after the other; returns their tasks."""
    body = streamed_chat_body("long", MAX_TOKENS)
    loop = asyncio.get_running_loop()
    tasks = []
    for _ in range(count):
        tasks.append(loop.create_task(routed_stream(port, body, histograms)))
        await asyncio.sleep(START_INTERVAL_S)
    return tasks
