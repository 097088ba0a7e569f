"""Injects the faults of a schedule into a `World`: each starts at its scheduled time and ends by itself."""

import asyncio
import errno
import random
import signal
import time
from typing import TYPE_CHECKING

from ramppulley.load.soak.clients import DEADLINES_S
from ramppulley.load.soak.schedule import LINK_FAULTS, PROCESS_FAULTS, Fault

if TYPE_CHECKING:
    from ramppulley.load.soak.workers import Worker
    from ramppulley.load.soak.world import World

MIN_RUN_BETWEEN_STOPS_S = 0.2
HOUR_S, SIGSTOP_S, SIGNAL_GAP_S, OLD_DISCOVERY_LINGER_S = 3600.0, 0.15, 0.004, 1.5
NEW_CONNECTIONS_S = 0.4  # after SIGTERM, clients keep opening connections for 0.2 to 0.4 s
KILL_AFTER_TERM_S = min(max(DEADLINES_S), 3.0) + 0.7  # the earliest SIGKILL that the protocol allows
SIGNAL_SERIES = {  # by kind: signals and gaps in seconds, both drawn at random for each signal of a series
    "signal_hup_series": (("hup",), (0.004, 0.05, 0.3)),
    "signal_stop_series": (("stop",), (0.2, 0.4)),
    "signal_mixed_series": (("hup", "stop"), (0.004, 0.05, 0.3)),
}
SERIES_LENGTHS = (3, 5, 8)
FLOOD_TAIL_S = 2.0  # the connections of a flood stay open for this time after it
MIN_READY_WORKERS = 3  # workers of each role that faults must leave ready
DISCOVERY_OUTAGES = ("discovery_silent", "discovery_refuse", "discovery_torn")
ERRNOS = {
    "system_accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR),
    "system_connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    "system_setsockopt": (errno.ENOBUFS, errno.ENOMEM),
    "system_socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
}


class FaultInjector:
    """Injects the faults of one schedule. `begin`: monotonic start time of the client traffic."""

    def __init__(self, world: "World", begin: float) -> None:
        self.world, self.begin = world, begin
        self.rng = random.Random(f"faults {world.schedule.seed}")
        self.signalled_routers: set[int] = set()  # routers that are being signalled or restarted
        self.next_stop_at: dict[int, float] = {}  # router: earliest time of the next SIGSTOP

    async def run(self) -> None:
        """Injects all faults and waits for the end of the last one."""
        await asyncio.gather(*[self._inject(fault) for fault in self.world.schedule.faults])

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self.begin + fault.at_s - time.monotonic()))
        if fault.kind in LINK_FAULTS:
            await self._inject_link_fault(fault)
        elif fault.kind.startswith("discovery_"):
            await self._inject_discovery_fault(fault)
        elif fault.kind.startswith("client_"):
            targets = [clients for clients in self.world.clients if fault.affects(clients.router)]
            began = time.monotonic()
            if fault.kind == "client_hostile":
                for clients in targets:
                    clients.begin_hostile()
            await self._activate([clients.faults for clients in targets], fault)
            if fault.kind == "client_flood":
                for clients in targets:
                    span = (began, time.monotonic() + FLOOD_TAIL_S)
                    self.world.evidence.flood_spans.setdefault(clients.router, []).append(span)
        elif fault.kind in PROCESS_FAULTS:
            await asyncio.gather(*[self._signal_router(router, fault.kind) for router in fault.routers])
        elif fault.kind.startswith("worker_"):
            await asyncio.gather(
                *[self._inject_worker_fault(self.world.workers[number], fault) for number in fault.workers]
            )
        else:
            await self._inject_system_fault(fault)

    @staticmethod
    async def _activate(counters: list[dict[str, int]], fault: Fault) -> None:
        for counter in counters:
            counter[fault.kind] = counter.get(fault.kind, 0) + 1
        await asyncio.sleep(fault.length_s)
        for counter in counters:
            counter[fault.kind] -= 1

    async def _inject_link_fault(self, fault: Fault) -> None:
        field = fault.kind.removeprefix("link_")
        links = [
            self.world.workers[worker].links[router]
            for worker in fault.workers
            for router in range(self.world.schedule.routers)
            if fault.affects(router)
        ]
        for link in links:
            setattr(link, field, getattr(link, field) + 1)
            if field in ("stall", "refuse"):
                for connection in link.connections:
                    connection.silent = True  # idle connections too
        await asyncio.sleep(fault.length_s)
        for link in links:
            setattr(link, field, getattr(link, field) - 1)

    async def _inject_discovery_fault(self, fault: Fault) -> None:
        targets = [agent for agent in self.world.agents if fault.affects(agent.router)]
        began = time.monotonic()
        await self._activate([agent.faults for agent in targets], fault)
        if fault.kind in DISCOVERY_OUTAGES:
            for agent in targets:
                self.world.evidence.discovery_outages.setdefault(agent.router, []).append((began, time.monotonic()))

    def _may_remove(self, worker: "Worker") -> bool:
        ready_workers = [
            w for w in self.world.workers if w.is_decode == worker.is_decode and w.health == "Ready" and not w.crashed
        ]
        return worker in ready_workers and len(ready_workers) > MIN_READY_WORKERS

    async def _inject_worker_fault(self, worker: "Worker", fault: Fault) -> None:
        if fault.kind in ("worker_hang", "worker_deaf"):
            worker.hang(ignore_close=fault.kind == "worker_deaf")
            await asyncio.sleep(fault.length_s)
            worker.resume()
        elif fault.kind == "worker_join":
            joined = self.world.add_worker(worker.is_decode)
            joined.restart()
            self.world.change_health(joined, "Ready")
        elif fault.kind in ("worker_crash", "worker_drain", "worker_vanish"):
            if self._may_remove(worker):
                await getattr(self, fault.kind.replace("worker", "_worker"))(worker, fault.length_s)
        else:
            await self._activate([worker.faults], fault)

    async def _worker_crash(self, worker: "Worker", length_s: float) -> None:
        worker.crash()
        await asyncio.sleep(length_s)
        worker.restart()
        self.world.change_health(worker, "Ready")

    async def _worker_drain(self, worker: "Worker", length_s: float) -> None:
        self.world.change_health(worker, "Terminating")
        await asyncio.sleep(length_s + 1.0)
        self.world.change_health(worker, "Gone")

    async def _worker_vanish(self, worker: "Worker", length_s: float) -> None:
        for link in worker.links.values():
            link.refuse += 1
            link.stall += 1
            for connection in link.connections:
                connection.silent = True
        self.world.kv_state_tracker.discard_worker(worker.name)
        await asyncio.sleep(length_s)
        self.world.change_health(worker, "Gone")

    async def _signal_router(self, number: int, kind: str) -> None:
        if kind == "signal_stop":
            await self._suspend_briefly(number)
            return
        if number in self.signalled_routers:
            return
        self.signalled_routers.add(number)
        try:
            if kind in SIGNAL_SERIES:
                await self._send_series(number, *SIGNAL_SERIES[kind])
                terminate = kind == "signal_mixed_series" and self.rng.random() < 0.5
                signal_names = ["term"] if terminate else []
            else:
                signal_names = kind.removeprefix("signal_").split("_")
            for signal_name in signal_names:
                await self._send_signal(number, signal_name)
                await asyncio.sleep(SIGNAL_GAP_S)
            if {"term", "kill"} & set(signal_names):
                await self._restart(number)
        finally:
            self.signalled_routers.discard(number)

    async def _send_series(self, number: int, signal_names: tuple[str, ...], gaps_s: tuple[float, ...]) -> None:
        """Sends a random number of randomly chosen signals with random gaps."""
        for _ in range(self.rng.choice(SERIES_LENGTHS)):
            await self._send_signal(number, self.rng.choice(signal_names))
            await asyncio.sleep(self.rng.choice(gaps_s))

    async def _send_signal(self, number: int, signal_name: str) -> None:
        router = self.world.routers[number]
        if signal_name == "hup":
            await self._reload(number)
        elif signal_name == "stop":
            await self._suspend_briefly(number)
        elif signal_name == "kill":
            router.signal(signal.SIGKILL)
            self.world.kv_state_tracker.exempt_router(number)
        elif signal_name == "term":
            self.world.clients[number].begin_shutdown_load(time.monotonic() + NEW_CONNECTIONS_S)
            router.signal(signal.SIGTERM)

    async def _suspend_briefly(self, number: int) -> None:
        """Suspends the router for the longest time that the protocol allows, unless it was suspended just before."""
        router = self.world.routers[number]
        begin, process_run = time.monotonic(), router.process_run
        if begin < self.next_stop_at.get(number, 0.0):
            return
        self.next_stop_at[number] = begin + SIGSTOP_S + MIN_RUN_BETWEEN_STOPS_S
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(SIGSTOP_S)
        router.signal(signal.SIGCONT)
        process_run.suspended.append((begin, time.monotonic()))

    async def _restart(self, number: int) -> None:
        router = self.world.routers[number]
        await router.wait_exit(KILL_AFTER_TERM_S)
        self.world.clients[number].end_shutdown_load()
        if router.process_run.sigkill_at is not None:
            self.world.kv_state_tracker.exempt_router(number)
        await asyncio.sleep(0.1)
        self.world.configure(number)
        await router.start()
        await router.wait_ready()

    async def _reload(self, number: int) -> None:
        """Reloads the configuration with a new discovery address, and with other settings half of the time."""
        old, _ = self.world.agents[number].move_to_new_port()
        if self.rng.random() < 0.5:
            self.world.alternative_settings ^= {number}
        self.world.configure(number)
        self.world.routers[number].signal(signal.SIGHUP)
        asyncio.get_running_loop().call_later(OLD_DISCOVERY_LINGER_S, lambda: asyncio.ensure_future(old.stop()))

    async def _inject_system_fault(self, fault: Fault) -> None:
        shims = [
            router.shim for router in self.world.routers if router.shim is not None and fault.affects(router.number)
        ]
        for shim in shims:
            if fault.kind in ERRNOS:
                shim.fail_calls(fault.kind, self.rng.choice(ERRNOS[fault.kind]), self.rng.choice((1, 3, 8)))
            elif fault.kind == "system_slow_turns":
                shim.delay_event_loop(self.world.schedule.slow_turn_s)
            else:
                shim.step_clock(HOUR_S if fault.kind == "clock_forward" else -HOUR_S)
        began = time.monotonic()
        await asyncio.sleep(fault.length_s)
        if fault.kind == "system_slow_turns":
            self._record_slow_turns(fault, began)
        for shim in shims if fault.kind not in ERRNOS else ():
            if fault.kind == "system_slow_turns":
                shim.delay_event_loop(0.0)
            else:
                shim.step_clock(0.0)

    def _record_slow_turns(self, fault: Fault, began: float) -> None:
        for router in self.world.routers:
            if fault.affects(router.number):
                spans = self.world.evidence.slow_turn_spans.setdefault(router.number, [])
                spans.append((began, time.monotonic()))
