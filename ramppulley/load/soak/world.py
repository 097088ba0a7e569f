"""One soak run: simulated workers, discovery and clients, real router processes, and the faults of the schedule."""

import asyncio
import itertools
import random
import signal
import socket
import time
from pathlib import Path
from typing import Any

from ramppulley.load.ports import reserve_port
from ramppulley.load.soak.clients import ClientPool
from ramppulley.load.soak.crowd import BackgroundLoad
from ramppulley.load.soak.discovery import DiscoveryAgent
from ramppulley.load.soak.evidence import Evidence
from ramppulley.load.soak.faults import FaultInjector
from ramppulley.load.soak.hostile import HostileSenders
from ramppulley.load.soak.oracle import MEMORY_LIMIT_MB
from ramppulley.load.soak.processes import RouterProcess
from ramppulley.load.soak.schedule import DECODE_WORKERS, PREFILL_WORKERS, Schedule
from ramppulley.load.soak.settings import router_settings
from ramppulley.load.soak.shim import Shim
from ramppulley.load.soak.workers import KvStateTracker, Worker

SAMPLE_S = 0.01
SAMPLES_PER_MEMORY_SAMPLE = 10
SHUTDOWN_TIMEOUT_S = 12.0
BACKGROUND_LOAD_TAIL_S = 60.0  # the background load exits by itself this long after the traffic


class World:
    """All components of one run."""

    def __init__(
        self, schedule: Schedule, folder: Path, library: Path | None, memory_mb: float = MEMORY_LIMIT_MB
    ) -> None:
        self.schedule, self.folder, self.library, self.memory_mb = schedule, folder, library, memory_mb
        self.rng = random.Random(f"world {schedule.seed}")
        self.evidence = Evidence(cpu_contended=schedule.crowd > 0)
        self.hostile = HostileSenders(schedule.seed)
        self.kv_state_tracker = KvStateTracker(self.evidence)
        self.workers: list[Worker] = []
        self.removed_workers: set[str] = set()
        self.agents: list[DiscoveryAgent] = []
        self.routers: list[RouterProcess] = []
        self.clients: list[ClientPool] = []
        self.alternative_settings: set[int] = set()
        self.port_reservations: list[socket.socket] = []

    async def run(self) -> Evidence:
        """Runs the schedule and returns what was observed."""
        for number in range(PREFILL_WORKERS + DECODE_WORKERS):
            self.add_worker(is_decode=number >= PREFILL_WORKERS)
        self._add_routers()
        sampler = asyncio.create_task(self._sample_lag())
        background_load = BackgroundLoad(self.schedule.crowd, self.schedule.length_s + BACKGROUND_LOAD_TAIL_S)
        await asyncio.gather(*[router.start() for router in self.routers])
        await asyncio.gather(*[router.wait_ready() for router in self.routers])
        await self._run_traffic()
        await self._shut_down()
        background_load.stop()
        sampler.cancel()
        return self.evidence

    def add_worker(self, is_decode: bool) -> Worker:
        """Adds a worker, which discovery lists from now on."""
        number = len(self.workers)
        name = f"s-{'w' if is_decode else 'r'}{number}"
        worker = Worker(name, is_decode, number, self.kv_state_tracker, self.evidence, self.hostile)
        self.workers.append(worker)
        for router in range(self.schedule.routers):
            worker.listen(router)
        return worker

    def _add_routers(self) -> None:
        for number in range(self.schedule.routers):
            self.agents.append(DiscoveryAgent(number, self.entries, self.evidence, self.hostile))
            shim = Shim(self.folder / f"n{number}.shim", self.library) if self.library else None
            self.port_reservations.append(reserve_port())  # keeps the port free while the router restarts
            port = self.port_reservations[-1].getsockname()[1]
            router = RouterProcess(number, port, self.folder, self.evidence, shim, self.schedule.mutant)
            self.routers.append(router)
            self.clients.append(
                ClientPool(
                    number,
                    port,
                    self.schedule.seed,
                    self.evidence,
                    self.schedule.descriptors,
                    self.schedule.routers,
                    self.hostile,
                )
            )
            self.configure(number)

    def configure(self, number: int) -> None:
        """Writes a router's configuration file from the current state."""
        agent = self.agents[number]
        self.routers[number].configure(
            {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{self.routers[number].port}",
                "discovery": f"127.0.0.1:{agent.listener.port}",
                "seed": f"{self.rng.getrandbits(64):x}",
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.schedule.descriptors},
                "known": agent.full_list(),
                "settings": router_settings(self.schedule.routers, number in self.alternative_settings),
            }
        )

    def entries(self, router: int) -> list[dict[str, Any]]:
        """The endpoint list with the addresses for this router."""
        return [
            {
                "host": worker.name,
                "dial": worker.address(router),
                "site": "north" if worker.number % 2 else "south",
                "class": "decode" if worker.is_decode else "prefill",
                "block": worker.number % 2,
                "health": worker.health,
                "share": 1.0,
                "born_ms": worker.started_ms,
            }
            for worker in self.workers
            if worker.name not in self.removed_workers
        ]

    def change_health(self, worker: Worker, health: str) -> None:
        """Changes a worker's health in discovery and notifies the watches."""
        worker.health = health
        if health == "Gone":
            self.removed_workers.add(worker.name)
        self.evidence.discovery_changes.setdefault(worker.name, []).append((time.monotonic(), health))
        for agent in self.agents:
            agent.push_changes({worker.name})

    async def _run_traffic(self) -> None:
        begin = time.monotonic()
        injector = FaultInjector(self, begin)
        until = begin + self.schedule.length_s
        runs = [clients.run(until, self.schedule.requests_per_s) for clients in self.clients]
        await asyncio.gather(injector.run(), *runs)
        await asyncio.gather(*[clients.wait_finished() for clients in self.clients])

    async def _shut_down(self) -> None:
        """Sends SIGTERM to all routers, which must release their KV states, and collects the logs."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGTERM)
        await asyncio.gather(*[router.wait_exit(SHUTDOWN_TIMEOUT_S) for router in self.routers])
        self.kv_state_tracker.update()
        for router in self.routers:
            self.evidence.log_fault_lines += router.log_fault_lines()
            self.evidence.log_tails[router.number] = router.log_tail()
            if router.shim is not None:
                router.shim.close()
        listeners = [listener for worker in self.workers for listener in worker.listeners.values()]
        listeners += [agent.listener for agent in self.agents]
        await asyncio.gather(*[listener.stop() for listener in listeners], return_exceptions=True)
        for sock in self.port_reservations:
            sock.close()

    async def _sample_lag(self) -> None:
        """Samples the event loop delay of the harness, the KV state hold times, and the memory of the routers."""
        for sample in itertools.count():
            due = time.monotonic() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            lag = time.monotonic() - due
            if lag > SAMPLE_S:
                self.evidence.harness_lags.append((time.monotonic(), lag))
            self.kv_state_tracker.update()
            if sample % SAMPLES_PER_MEMORY_SAMPLE == 0:
                self._sample_memory()

    def _sample_memory(self) -> None:
        peaks_mb = self.evidence.memory_peaks_mb
        for router in self.routers:
            peaks_mb[router.number] = max(peaks_mb.get(router.number, 0.0), router.memory_mb())
