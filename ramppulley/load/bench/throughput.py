"""Throughput: embeddings requests per second through one router process, and its CPU time per request."""

import asyncio
from dataclasses import dataclass

from ramppulley.load.bench.clients import embeddings
from ramppulley.load.bench.process_usage import cpu_seconds
from ramppulley.load.bench.rig import CONNECT_TIMEOUT_S, LOOPBACK, running_rig
from ramppulley.wire.sockets import connect

CLIENTS = 64
MIN_CPU_S = 1e-9  # avoids a division by zero


@dataclass(frozen=True)
class Throughput:
    """Answered requests per second and the router's CPU usage."""

    answered_per_s: float
    router_cpu_part: float
    router_cpu_us_each: float
    per_s_of_a_full_core: float


async def measure_throughput(seconds):
    """Runs closed-loop clients: each sends its next request when the last one is answered."""
    async with running_rig() as rig:
        pid = rig.router.process.pid
        end = asyncio.get_running_loop().time() + seconds
        cpu_before = cpu_seconds(pid)
        counts = await asyncio.gather(*(_closed_loop_client(rig.router.port, end) for _ in range(CLIENTS)))
        cpu = cpu_seconds(pid) - cpu_before
        return _throughput(sum(counts), seconds, cpu)


async def _closed_loop_client(port, end):
    """Sends requests on one connection until the end time; returns the number that were answered."""
    loop = asyncio.get_running_loop()
    transport = await connect(LOOPBACK, port, CONNECT_TIMEOUT_S)
    answered = 0
    while loop.time() < end:
        reply = await embeddings(port, transport)
        answered += reply.status == 200
        if not reply.done:
            return answered
    transport.close()
    return answered


def _throughput(answered, seconds, cpu):
    return Throughput(
        answered_per_s=round(answered / seconds, 1),
        router_cpu_part=round(cpu / seconds, 3),
        router_cpu_us_each=round(cpu / max(1, answered) * 1e6, 1),
        per_s_of_a_full_core=round(answered / max(cpu, MIN_CPU_S), 1),
    )
