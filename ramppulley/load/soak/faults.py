"""Plays the faults of a schedule on a world: each begins at its time and ends by itself."""

import asyncio
import errno
import random
import signal
import time
from typing import TYPE_CHECKING

from ramppulley.load.soak.clients import DEADLINES_S
from ramppulley.load.soak.schedule import CLIENT_FAULTS, DISCOVERY_FAULTS, LINK_FAULTS, PROCESS_FAULTS, Fault

if TYPE_CHECKING:
    from ramppulley.load.soak.workers import Worker
    from ramppulley.load.soak.world import World

RUN_BETWEEN_STOPS_S = 0.2
HOUR_S, STOP_S, SIGNAL_GAP_S, OLD_DISCOVERY_S = 3600.0, 0.15, 0.004, 1.5
NEW_CONNECTIONS_S = 0.4  # after SIGTERM: "for 0.2 to 0.4 s new connections keep coming"
KILL_AFTER_TERM_S = min(max(DEADLINES_S), 3.0) + 0.7  # the earliest that the protocol allows
SERIES = {  # signals in a row, with pauses between them; the parts of one series are drawn anew each time
    "signal_hup_series": (("hup",), (0.004, 0.05, 0.3)),
    "signal_stop_series": (("stop",), (0.2, 0.4)),
    "signal_mixed_series": (("hup", "stop"), (0.004, 0.05, 0.3)),
}
SERIES_LENGTHS = (3, 5, 8)
FLOOD_TAIL_S = 2.0  # its connections stay so long
MIN_READY = 3  # workers of a role that faults leave
OUTAGES = ("discovery_silent", "discovery_refuse", "discovery_torn")
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
        self.may_stop_at: dict[int, float] = {}  # by router

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
        if fault.kind in ("worker_hang", "worker_deaf"):
            worker.hang(deaf=fault.kind == "worker_deaf")
            await asyncio.sleep(fault.length_s)
            worker.wake()
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
        if kind == "signal_stop":
            await self._stop_for_a_moment(number)
            return
        if number in self.busy_routers:
            return
        self.busy_routers.add(number)
        try:
            if kind in SERIES:
                await self._series(number, *SERIES[kind])
                ends = kind == "signal_mixed_series" and self.rng.random() < 0.5
                parts = ["term"] if ends else []
            else:
                parts = kind.removeprefix("signal_").split("_")
            for part in parts:
                await self._send(number, part)
                await asyncio.sleep(SIGNAL_GAP_S)
            if {"term", "kill"} & set(parts):
                await self._restart(number)
        finally:
            self.busy_routers.discard(number)

    async def _series(self, number: int, parts: tuple[str, ...], pauses_s: tuple[float, ...]) -> None:
        """Some signals, one behind the other."""
        for _ in range(self.rng.choice(SERIES_LENGTHS)):
            await self._send(number, self.rng.choice(parts))
            await asyncio.sleep(self.rng.choice(pauses_s))

    async def _send(self, number: int, part: str) -> None:
        router = self.world.routers[number]
        if part == "hup":
            await self._reload(number)
        elif part == "stop":
            await self._stop_for_a_moment(number)
        elif part == "kill":
            router.signal(signal.SIGKILL)
            self.world.states.excuse(number)
        elif part == "term":
            self.world.clients[number].press(time.monotonic() + NEW_CONNECTIONS_S)
            router.signal(signal.SIGTERM)

    async def _stop_for_a_moment(self, number: int) -> None:
        """Held up for as long as the terms say, and not again at once."""
        router = self.world.routers[number]
        begin, life = time.monotonic(), router.life
        if begin < self.may_stop_at.get(number, 0.0):
            return
        self.may_stop_at[number] = begin + STOP_S + RUN_BETWEEN_STOPS_S
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(STOP_S)
        router.signal(signal.SIGCONT)
        life.stopped.append((begin, time.monotonic()))

    async def _restart(self, number: int) -> None:
        router = self.world.routers[number]
        await router.wait_end(KILL_AFTER_TERM_S)
        self.world.clients[number].ease()
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
            elif fault.kind == "system_slow_turns":
                shim.slow_turns(self.world.schedule.slow_turn_s)
            else:
                shim.step_clock(HOUR_S if fault.kind == "clock_forward" else -HOUR_S)
        await asyncio.sleep(fault.length_s)
        for shim in shims if fault.kind not in ERRNOS else ():
            if fault.kind == "system_slow_turns":
                shim.slow_turns(0.0)
            else:
                shim.step_clock(0.0)
