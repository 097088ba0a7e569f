"""Latency of complete embeddings responses at a fixed rate, direct and routed in alternating rounds."""

import asyncio
from dataclasses import dataclass

from ramppulley.load.bench.clients import embeddings
from ramppulley.load.bench.histograms import LatencyHistogram, LatencySummary, difference_ms
from ramppulley.load.bench.process_usage import cpu_seconds
from ramppulley.load.bench.rig import CONNECT_TIMEOUT_S, LOOPBACK, ROUNDS, running_rig
from ramppulley.wire.sockets import connect

CLIENTS = 64


@dataclass(frozen=True)
class HalfLoad:
    """Summaries for direct and routed requests, their difference, and the router's CPU usage in the last routed round."""

    per_s: int
    router_cpu_part: float
    direct: LatencySummary
    routed: LatencySummary
    added_p50_ms: float
    added_p99_ms: float


@dataclass(frozen=True)
class Schedule:
    """Times at which the requests of one round are due, on the event loop's clock."""

    start: float
    end: float
    per_s: float

    def first_due(self, client):
        """Time of a client's first request; the clients are spread evenly over the first interval."""
        return self.start + client / self.per_s

    def interval(self):
        """Seconds between two requests of one client."""
        return CLIENTS / self.per_s


async def measure_half_load(seconds, per_s):
    """Sends requests at a constant rate for this many seconds in total, divided evenly among the rounds."""
    histograms = {mode: LatencyHistogram() for mode in ROUNDS}
    async with running_rig() as rig:
        for mode in ROUNDS:
            cpu_usage = await _run_round(rig, mode, seconds / len(ROUNDS), per_s, histograms[mode])
        return _compare(per_s, cpu_usage, histograms)


async def _run_round(rig, mode, seconds, per_s, histogram):
    """Runs one round; returns the router's CPU usage as a fraction of one core."""
    port = rig.fleet.standins["pool-0"].port if mode == "direct" else rig.router.port
    pid = rig.router.process.pid
    start = asyncio.get_running_loop().time()
    cpu_before = cpu_seconds(pid)
    schedule = Schedule(start, start + seconds, per_s)
    await asyncio.gather(*(_open_loop_client(port, client, schedule, histogram) for client in range(CLIENTS)))
    return (cpu_seconds(pid) - cpu_before) / seconds


async def _open_loop_client(port, client, schedule, histogram):
    loop = asyncio.get_running_loop()
    transport = await connect(LOOPBACK, port, CONNECT_TIMEOUT_S)
    due = schedule.first_due(client)
    while due < schedule.end:
        await asyncio.sleep(max(0.0, due - loop.time()))
        reply = await embeddings(port, transport)
        if not reply.done:
            return
        if reply.status == 200:
            histogram.record(reply.ended - reply.sent)
        due += schedule.interval()
    transport.close()


def _compare(per_s, cpu_usage, histograms):
    direct = histograms["direct"].summary()
    routed = histograms["routed"].summary()
    return HalfLoad(
        per_s=round(per_s),
        router_cpu_part=round(cpu_usage, 3),
        direct=direct,
        routed=routed,
        added_p50_ms=difference_ms(routed.p50_ms, direct.p50_ms),
        added_p99_ms=difference_ms(routed.p99_ms, direct.p99_ms),
    )
