"""A long run at half load that samples memory, open files, KV states and open requests after each third."""

import asyncio
from dataclasses import dataclass
from functools import partial

from ramppulley.load.bench.process_usage import open_file_count, resident_bytes
from ramppulley.load.bench.rig import LOOPBACK, running_rig
from ramppulley.load.client import ask
from ramppulley.load.day import Day, Stream, arrivals
from ramppulley.load.requests import send_arrival
from ramppulley.load.scenario_settings import scenario_fleet

SETTLE_S = 12  # idle connections to engines are closed after ten seconds
REQUESTS_PER_S = 20.0
BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True)
class SoakSample:
    """Resources in use at one time. `held`: KV states at the stand-ins; `out`: open requests of the clients."""

    at_s: int
    memory_mb: float
    files: int
    held: int
    out: int


@dataclass(frozen=True)
class SoakResult:
    """Number of requests and of those not completed, the samples, and the router's gauges of pending work."""

    questions: int
    not_fulfilled: int
    marks: list[SoakSample]
    pending: list[str]


def soak_scenario(seconds, per_s=REQUESTS_PER_S):
    """A scenario of chat with and without sessions, embeddings and rerank requests."""
    return Day(
        name="soak",
        length_s=seconds,
        streams=[
            Stream(use_case="afloat", per_s=per_s * 0.5),
            Stream(use_case="desk", per_s=per_s * 0.2, turns=3),
            Stream(kind="embeddings", use_case="search", per_s=per_s * 0.2, prompt=(50, 400)),
            Stream(kind="rerank", use_case="search", per_s=per_s * 0.1, prompt=(200, 1500)),
        ],
    )


class SoakRun:
    """The requests of a soak run on a started rig."""

    def __init__(self, rig, scenario):
        self.rig = rig
        self.scenario = scenario
        self.start = 0.0
        self.tasks = set()
        self.requests = []
        self.samples = []

    async def run(self):
        """Sends all requests, waits for their ends and for idle connections to close; returns the result."""
        self.start = asyncio.get_running_loop().time()
        await self._send_requests()
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(SETTLE_S)
        self._sample()
        pending = await self._pending_lines()
        not_completed = sum(request.how != "fulfilled" for request in self.requests)
        return SoakResult(len(self.requests), not_completed, self.samples, pending)

    async def _send_requests(self):
        loop = asyncio.get_running_loop()
        seconds = self.scenario.length_s
        samples_due = [seconds / 3, seconds * 2 / 3]
        for arrival in arrivals(self.scenario):
            await asyncio.sleep(max(0, self.start + arrival.at - loop.time()))
            task = loop.create_task(send_arrival(arrival, [self.rig.router], self.requests))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            if samples_due and loop.time() - self.start > samples_due[0]:
                samples_due.pop(0)
                self._sample()

    def _sample(self):
        pid = self.rig.router.process.pid
        sample = SoakSample(
            at_s=round(asyncio.get_running_loop().time() - self.start),
            memory_mb=round(resident_bytes(pid) / BYTES_PER_MEGABYTE, 1),
            files=open_file_count(pid),
            held=len(self.rig.fleet.open_held()),
            out=len(self.tasks),
        )
        self.samples.append(sample)

    async def _pending_lines(self):
        reply = await ask(LOOPBACK, self.rig.router.port, "/metrics", None, method="GET")
        lines = reply.body.decode().splitlines()
        return [line for line in lines if line.startswith("ramppulley_pending{")]


async def measure_soak(seconds):
    """Runs the soak scenario for this many seconds on its own fleet and router."""
    scenario = soak_scenario(seconds)
    async with running_rig(partial(scenario_fleet, scenario), scenario) as rig:
        return await SoakRun(rig, scenario).run()
