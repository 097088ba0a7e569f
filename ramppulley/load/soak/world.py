"""One run of the soak: workers, discovery, clients and router processes, and the faults of its schedule."""

import asyncio
import random
import signal
import socket
import time
from pathlib import Path
from typing import Any

from ramppulley.load.ports import reserve_port
from ramppulley.load.soak.clients import Clients
from ramppulley.load.soak.crowd import Crowd
from ramppulley.load.soak.discovery import Agent
from ramppulley.load.soak.evidence import Evidence
from ramppulley.load.soak.faults import FaultPlayer
from ramppulley.load.soak.processes import RouterProcess
from ramppulley.load.soak.schedule import READERS, WRITERS, Schedule
from ramppulley.load.soak.settings import settings_of
from ramppulley.load.soak.shim import Shim
from ramppulley.load.soak.workers import KvStates, Worker

SAMPLE_S = 0.01
LAST_WAIT_S = 12.0
CROWD_TAIL_S = 60.0  # the crowd ends by itself after so long


class World:
    """All parties of one run."""

    def __init__(self, schedule: Schedule, folder: Path, library: Path | None) -> None:
        self.schedule, self.folder, self.library = schedule, folder, library
        self.rng = random.Random(f"world {schedule.seed}")
        self.evidence = Evidence(crowded=schedule.crowd > 0)
        self.states = KvStates(self.evidence)
        self.workers: list[Worker] = []
        self.ended: set[str] = set()
        self.agents: list[Agent] = []
        self.routers: list[RouterProcess] = []
        self.clients: list[Clients] = []
        self.other_settings: set[int] = set()
        self.reserved: list[socket.socket] = []

    async def play(self) -> Evidence:
        """The whole run."""
        for number in range(READERS + WRITERS):
            self.add_worker(decode=number >= READERS)
        self._add_routers()
        sampler = asyncio.create_task(self._sample())
        crowd = Crowd(self.schedule.crowd, self.schedule.length_s + CROWD_TAIL_S)
        await asyncio.gather(*[router.start() for router in self.routers])
        await asyncio.gather(*[router.wait_ready() for router in self.routers])
        await self._traffic()
        await self._end()
        crowd.end()
        sampler.cancel()
        return self.evidence

    def add_worker(self, decode: bool) -> Worker:
        """One more worker, listed from now on."""
        number = len(self.workers)
        worker = Worker(f"s-{'w' if decode else 'r'}{number}", decode, number, self.states, self.evidence)
        self.workers.append(worker)
        for router in range(self.schedule.routers):
            worker.listen(router)
        return worker

    def _add_routers(self) -> None:
        for number in range(self.schedule.routers):
            self.agents.append(Agent(number, self.entries, self.evidence))
            shim = Shim(self.folder / f"n{number}.shim", self.library) if self.library else None
            self.reserved.append(reserve_port())  # while its router is away, nobody else is given its port
            port = self.reserved[-1].getsockname()[1]
            router = RouterProcess(number, port, self.folder, self.evidence, shim, self.schedule.mutant)
            self.routers.append(router)
            self.clients.append(Clients(number, port, self.schedule.seed, self.evidence))
            self.configure(number)

    def configure(self, number: int) -> None:
        """Writes a router's configuration as things are now."""
        agent = self.agents[number]
        self.routers[number].configure(
            {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{self.routers[number].port}",
                "discovery": f"127.0.0.1:{agent.listener.port}",
                "seed": f"{self.rng.getrandbits(64):x}",
                "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.schedule.descriptors},
                "known": agent.whole(),
                "settings": settings_of(self.schedule.routers, number in self.other_settings),
            }
        )

    def entries(self, router: int) -> list[dict[str, Any]]:
        """The list as that router may have it."""
        return [
            {
                "host": worker.name,
                "dial": worker.address(router),
                "site": "north" if worker.number % 2 else "south",
                "class": "decode" if worker.decode else "prefill",
                "block": worker.number % 2,
                "health": worker.state,
                "share": 1.0,
                "born_ms": worker.born_ms,
            }
            for worker in self.workers
            if worker.name not in self.ended
        ]

    def change(self, worker: Worker, state: str) -> None:
        """Discovery has it that this worker is in another state."""
        worker.state = state
        if state == "Gone":
            self.ended.add(worker.name)
        self.evidence.changed.setdefault(worker.name, []).append((time.monotonic(), state))
        for agent in self.agents:
            agent.tell({worker.name})

    async def _traffic(self) -> None:
        begin = time.monotonic()
        player = FaultPlayer(self, begin)
        until = begin + self.schedule.length_s
        runs = [clients.run(until, self.schedule.requests_per_s) for clients in self.clients]
        await asyncio.gather(player.play(), *runs)
        await asyncio.gather(*[clients.finish() for clients in self.clients])

    async def _end(self) -> None:
        """All routers are told to end; what they hold is theirs to release."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGTERM)
        await asyncio.gather(*[router.wait_end(LAST_WAIT_S) for router in self.routers])
        self.states.look()
        for router in self.routers:
            self.evidence.log_faults += router.log_faults()
            self.evidence.log_ends[router.number] = router.log_end()
            if router.shim is not None:
                router.shim.close()
        listeners = [listener for worker in self.workers for listener in worker.listeners.values()]
        listeners += [agent.listener for agent in self.agents]
        await asyncio.gather(*[listener.stop() for listener in listeners], return_exceptions=True)
        for sock in self.reserved:
            sock.close()

    async def _sample(self) -> None:
        """How late this process's loop runs, and what is held."""
        while True:
            due = time.monotonic() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            lag = time.monotonic() - due
            if lag > SAMPLE_S:
                self.evidence.lags.append((time.monotonic(), lag))
            self.states.look()
