"""One router process beside hundreds of hostile clients: what regular clients wait, and the process's memory."""

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

import uvloop

from ramppulley.load.soak.evidence import Evidence
from ramppulley.load.soak.hostile import HostileClients, HostileSenders
from ramppulley.load.soak.schedule import Schedule
from ramppulley.load.soak.world import World

CLIENTS_PER_PROCESS = 100  # one process cannot send for more at full speed
REGULAR_REQUESTS_PER_S = 20.0
START_TIMEOUT_S, START_POLL_S = 15.0, 0.01
TAIL_PERCENTILE = 0.99
COLUMNS = (
    "hostile clients",
    "memory limit MB",
    "seed",
    "peak MB",
    "regular requests, by status",
    "longest answer s",
    "wait p99 s",
    "longest wait s",
)
HEADER = f"| {' | '.join(COLUMNS)} |\n{'| --- ' * len(COLUMNS)}|"


class FloodResult(NamedTuple):
    """What one play came to. Waits are of clients that ask for the readiness on open connections."""

    hostile_clients: int
    memory_limit_mb: float
    seed: int
    peak_mb: float
    statuses: Counter[int]  # 0: no response
    longest_answer_s: float
    waits_s: Sequence[float]

    def row(self) -> str:
        """As a row of a Markdown table."""
        waits = sorted(self.waits_s) or [float("nan")]
        statuses = ", ".join(f"{count} of {status}" for status, count in sorted(self.statuses.items()))
        tail = waits[int(TAIL_PERCENTILE * (len(waits) - 1))]
        return (
            f"| {self.hostile_clients} | {self.memory_limit_mb:g} | {self.seed} | {self.peak_mb:.1f} | {statuses} | "
            f"{self.longest_answer_s:.2f} | {tail:.3f} | {waits[-1]:.3f} |"
        )


def play_flood(seed: int, clients: int, memory_mb: float, descriptors: int, seconds: float) -> FloodResult:
    """Runs one router under a flood for some seconds of regular traffic."""
    evidence = uvloop.run(_run(seed, clients, memory_mb, descriptors, seconds))
    answers_s = [request.ended_at - request.sent_at for request in evidence.requests if request.ended_at is not None]
    return FloodResult(
        clients,
        memory_mb,
        seed,
        max(evidence.memory_peaks_mb.values(), default=0.0),
        Counter(request.status for request in evidence.requests),
        max(answers_s, default=0.0),
        [wait.answered_at - wait.asked_at for wait in evidence.bystander_waits],
    )


async def _run(seed: int, clients: int, memory_mb: float, descriptors: int, seconds: float) -> Evidence:
    schedule = Schedule(
        seed, [], length_s=seconds, routers=1, requests_per_s=REGULAR_REQUESTS_PER_S, descriptors=descriptors
    )
    with (
        tempfile.TemporaryDirectory(prefix="rp-flood-") as folder,
        ProcessPoolExecutor(max(1, clients // CLIENTS_PER_PROCESS), mp_context=get_context("spawn")) as pool,
    ):
        world = World(schedule, Path(folder), None, memory_mb)
        running = asyncio.create_task(world.run())
        port = await _port_of_ready_router(world)
        loop = asyncio.get_running_loop()
        floods = [
            loop.run_in_executor(
                pool, send_hostile, port, min(CLIENTS_PER_PROCESS, clients - first), seconds, seed + first
            )
            for first in range(0, clients, CLIENTS_PER_PROCESS)
        ]
        evidence = await running
        await asyncio.gather(*floods)
    return evidence


async def _port_of_ready_router(world: World) -> int:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not world.routers or world.routers[0].process_run.ready_at is None:
            await asyncio.sleep(START_POLL_S)
    return world.routers[0].port


def send_hostile(port: int, clients: int, seconds: float, seed: int) -> None:
    """Sends for this many hostile clients; run in a process of its own."""
    uvloop.run(_send_hostile(port, clients, time.monotonic() + seconds, seed))


async def _send_hostile(port: int, clients: int, until: float, seed: int) -> None:
    peers = HostileClients(port, HostileSenders(seed, clients), clients)
    peers.begin(lambda: time.monotonic() < until)
    await peers.wait_finished()
