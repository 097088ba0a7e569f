"""Plays the faults of a schedule on a world: each begins at its time and ends by itself."""

import asyncio
import errno
import random
import signal
import time
from typing import TYPE_CHECKING

from ramppulley.load.soak.schedule import CLIENT_FAULTS, DISCOVERY_FAULTS, LINK_FAULTS, PROCESS_FAULTS, Fault

if TYPE_CHECKING:
    from ramppulley.load.soak.workers import Worker
    from ramppulley.load.soak.world import World

HOUR_S, STOP_S, SIGNAL_GAP_S, OLD_DISCOVERY_S = 3600.0, 0.15, 0.004, 1.5
KILL_AFTER_TERM_S = 4.8  # the longest deadline and 0.7 s more
FLOOD_TAIL_S = 2.0  # its connections stay so long
MIN_READY = 3  # workers of a role that faults leave
OUTAGES = ("discovery_silent", "discovery_refuse", "discovery_slow", "discovery_torn")
ERRNOS = {
    "system_accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR),
    "system_connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    "system_setsockopt": (errno.ENOBUFS, errno.ENOMEM),
    "system_socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
}


class FaultPlayer:
    """One schedule's faults. `begin`: when the clients' traffic began."""

    def __init__(self, world: "World", begin: float) -> None:
        self.world, self.begin = world, begin
        self.rng = random.Random(f"faults {world.schedule.seed}")
        self.busy_routers: set[int] = set()  # that are being restarted

    async def play(self) -> None:
        """Until the last fault has ended."""
        await asyncio.gather(*[self._play_one(fault) for fault in self.world.schedule.faults])

    async def _play_one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.begin + fault.at_s - time.monotonic()))
        if fault.kind in LINK_FAULTS:
            await self._link(fault)
        elif fault.kind in DISCOVERY_FAULTS:
            await self._discovery(fault)
        elif fault.kind in CLIENT_FAULTS:
            hit = [clients for clients in self.world.clients if fault.hits(clients.router)]
            began = time.monotonic()
            await self._count_up([clients.faults for clients in hit], fault)
            if fault.kind == "client_flood":
                for clients in hit:
                    span = (began, time.monotonic() + FLOOD_TAIL_S)
                    self.world.evidence.flooded.setdefault(clients.router, []).append(span)
        elif fault.kind in PROCESS_FAULTS:
            await asyncio.gather(*[self._signal(router, fault.kind) for router in fault.routers])
        elif fault.kind.startswith("worker_"):
            await asyncio.gather(*[self._worker(self.world.workers[number], fault) for number in fault.workers])
        else:
            await self._system(fault)

    @staticmethod
    async def _count_up(counters: list[dict[str, int]], fault: Fault) -> None:
        for counter in counters:
            counter[fault.kind] = counter.get(fault.kind, 0) + 1
        await asyncio.sleep(fault.length_s)
        for counter in counters:
            counter[fault.kind] -= 1

    async def _link(self, fault: Fault) -> None:
        field = fault.kind.removeprefix("link_")
        links = [
            self.world.workers[worker].links[router]
            for worker in fault.workers
            for router in range(self.world.schedule.routers)
            if fault.hits(router)
        ]
        for link in links:
            setattr(link, field, getattr(link, field) + 1)
            if field in ("stall", "refuse"):
                for connection in link.connections:
                    connection.silent = True  # also one on which nothing is under way
        await asyncio.sleep(fault.length_s)
        for link in links:
            setattr(link, field, getattr(link, field) - 1)

    async def _discovery(self, fault: Fault) -> None:
        hit = [agent for agent in self.world.agents if fault.hits(agent.router)]
        began = time.monotonic()
        await self._count_up([agent.faults for agent in hit], fault)
        if fault.kind in OUTAGES:
            for agent in hit:
                self.world.evidence.unreachable.setdefault(agent.router, []).append((began, time.monotonic()))

    def _may_end(self, worker: "Worker") -> bool:
        alike = [w for w in self.world.workers if w.decode == worker.decode and w.state == "Ready" and not w.dead]
        return worker in alike and len(alike) > MIN_READY

    async def _worker(self, worker: "Worker", fault: Fault) -> None:
        if fault.kind == "worker_hang":
            worker.awake.clear()
            await asyncio.sleep(fault.length_s)
            worker.awake.set()
        elif fault.kind == "worker_join":
            new = self.world.add_worker(worker.decode)
            new.start_cold()
            self.world.change(new, "Ready")
        elif fault.kind in ("worker_crash", "worker_drain", "worker_vanish"):
            if self._may_end(worker):
                await getattr(self, fault.kind.replace("worker", "_worker"))(worker, fault.length_s)
        else:
            await self._count_up([worker.faults], fault)

    async def _worker_crash(self, worker: "Worker", length_s: float) -> None:
        worker.crash()
        await asyncio.sleep(length_s)
        worker.start_cold()
        self.world.change(worker, "Ready")

    async def _worker_drain(self, worker: "Worker", length_s: float) -> None:
        self.world.change(worker, "Terminating")
        await asyncio.sleep(length_s + 1.0)
        self.world.change(worker, "Gone")

    async def _worker_vanish(self, worker: "Worker", length_s: float) -> None:
        for link in worker.links.values():
            link.refuse += 1
            link.stall += 1
            for connection in link.connections:
                connection.silent = True
        self.world.states.lose(worker.name)
        await asyncio.sleep(length_s)
        self.world.change(worker, "Gone")

    async def _signal(self, number: int, kind: str) -> None:
        router = self.world.routers[number]
        if kind == "signal_stop":
            begin = time.monotonic()
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            router.signal(signal.SIGCONT)
            router.life.stopped.append((begin, time.monotonic()))
            return
        if number in self.busy_routers:
            return
        self.busy_routers.add(number)
        try:
            for part in kind.removeprefix("signal_").split("_"):
                if part == "hup":
                    await self._reload(number)
                elif part == "kill":
                    router.signal(signal.SIGKILL)
                    self.world.states.excuse(number)
                elif part == "term":
                    router.signal(signal.SIGTERM)
                await asyncio.sleep(SIGNAL_GAP_S)
            if kind != "signal_hup":
                await self._restart(number)
        finally:
            self.busy_routers.discard(number)

    async def _restart(self, number: int) -> None:
        router = self.world.routers[number]
        await router.wait_end(KILL_AFTER_TERM_S)
        if router.life.kill_at is not None:
            self.world.states.excuse(number)
        await asyncio.sleep(0.1)
        self.world.configure(number)
        await router.start()
        await router.wait_ready()

    async def _reload(self, number: int) -> None:
        """A new configuration: discovery elsewhere, at times other settings."""
        old, _ = self.world.agents[number].move()
        if self.rng.random() < 0.5:
            self.world.other_settings ^= {number}
        self.world.configure(number)
        self.world.routers[number].signal(signal.SIGHUP)
        asyncio.get_running_loop().call_later(OLD_DISCOVERY_S, lambda: asyncio.ensure_future(old.stop()))

    async def _system(self, fault: Fault) -> None:
        shims = [router.shim for router in self.world.routers if router.shim is not None and fault.hits(router.number)]
        for shim in shims:
            if fault.kind in ERRNOS:
                shim.fail(fault.kind, self.rng.choice(ERRNOS[fault.kind]), self.rng.choice((1, 3, 8)))
            else:
                shim.step_clock(HOUR_S if fault.kind == "clock_forward" else -HOUR_S)
        await asyncio.sleep(fault.length_s)
        if fault.kind not in ERRNOS:
            for shim in shims:
                shim.step_clock(0.0)
