"""Runs a fault-injection scenario on loopback with router processes, a relay between them, stand-ins and clients.

It records what crossed the sockets.
"""

import asyncio
import gc
import json
import os
import shutil
import signal
import socket
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from random import Random
from zlib import crc32

from ramppulley.cluster.seal import Seal
from ramppulley.load.beat import CpuStarvationMonitor, EventLoopMonitor
from ramppulley.load.day import arrivals
from ramppulley.load.evidence import gather_evidence, stop_fleet, wait_for_releases
from ramppulley.load.requests import send_arrival
from ramppulley.load.scenario_settings import router_settings, scenario_fleet
from ramppulley.load.storm import LINK_FAULTS, affected_links, draw_routers, link_changes
from ramppulley.load.stormrouter import LoadBalancer, StormRouter, accepts_connections, choose_udp_port
from ramppulley.load.troubles import FaultInjector
from ramppulley.standin.links import Links, Relay

S = 10_000  # tenths of a millisecond in a second
NOISE_INTERVAL_S = 0.01  # between two batches of noise datagrams


class StormRun:
    """One fault-injection run in progress."""

    def __init__(self, scenario, folder, progress, mutant=""):
        self.scenario, self.folder, self.progress = scenario, Path(folder), progress
        self.routers, self.load_balancer = {}, None
        self.mutant = mutant
        self.links = Links(Random(f"{scenario.seed} links"))
        self.relay = Relay(self.links, lambda: int(time.monotonic() * S))
        self.rng, self.udp_ports, self.events = Random(os.getpid()), set(), []

    def create_router(self, number, name=None):
        port = choose_udp_port(self.udp_ports, self.rng)
        seeds = [f"storm@127.0.0.1:{r.udp_port}" for r in list(self.routers.values())[:3]]
        router = StormRouter(self.scenario, number, self.folder, port, seeds, self.relay.port, name, self.mutant)
        self.relay.names[port] = router.name if name is None else f"{name}x"
        self.routers[router.name if name is None else f"{name}x"] = router
        return router

    async def start_router(self, router):
        await router.start()
        if router.number < 1000:  # duplicates have higher numbers and serve no clients
            self.load_balancer.add(router)

    async def play(self):
        scenario, loop, requests, tasks = self.scenario, asyncio.get_running_loop(), [], []
        (self.folder / "key").write_text(f"{Random(f'{scenario.seed} key').getrandbits(256):064x}")
        self.relay.start(loop)
        self.load_balancer = LoadBalancer(scenario.notices_s, scenario.uneven)
        plan = arrivals(scenario)
        fleet = self.fleet = await scenario_fleet(scenario, self.folder / "workers.json5").start()
        fleet.lag = scenario.fleet.list_lag_s
        for number in range(scenario.routers):
            self.create_router(number)
        event_loop_monitor = EventLoopMonitor()
        starvation_monitor = CpuStarvationMonitor(
            lambda: {r.number: r.process.pid for r in self.routers.values() if r.is_alive()}
        )
        gc.collect()
        gc.freeze()
        try:
            await asyncio.gather(*(self.start_router(r) for r in list(self.routers.values())))
            await asyncio.sleep(scenario.warm_s if scenario.peers else 0.0)
            event_loop_monitor.start()
            starvation_monitor.start()
            injector, start = FaultInjector(fleet, scenario.seed), loop.time() + 0.1
            self.started_at = time.time() + 0.1
            self.cpu_before = {r.name: self._current_cpu_time(r) for r in self.routers.values()}
            counts_before = dict(self.links.bytes), dict(self.links.count)
            self.progress(
                f"{scenario.name}: seed {scenario.seed}, {len(plan)} requests, {scenario.length_s:g} s, "
                f"{scenario.routers} routers, {len(fleet.standins)} stand-ins"
            )

            async def run_at(at_s, action, *arguments):
                await asyncio.sleep(max(0.0, start + at_s - loop.time()))
                await action(*arguments)

            tasks += [loop.create_task(run_at(t.at_s, injector.play, t, self.progress)) for t in scenario.troubles]
            tasks += [loop.create_task(run_at(f.at_s, self._play_fault, n, f)) for n, f in enumerate(scenario.faults)]
            for arrival in plan:
                await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
                if self.load_balancer.serving:
                    tasks.append(loop.create_task(self._send_request(arrival, requests)))
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, BaseException):
                    raise result
            await wait_for_releases(fleet)
            self.duration_s, self.ended_at = loop.time() - start, int(time.monotonic() * S)
            self.alive_at_end = sorted(r.name for r in self.routers.values() if r.number < 1000 and r.is_alive())
            self.bytes = {name: count - counts_before[0].get(name, 0) for name, count in self.links.bytes.items()}
            self.count = {name: count - counts_before[1].get(name, 0) for name, count in self.links.count.items()}
        finally:
            gc.unfreeze()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*(r.stop() for r in self.routers.values() if r.process), return_exceptions=True)
            await event_loop_monitor.stop()
            await starvation_monitor.stop()
            self.relay.stop()
            await stop_fleet(fleet)
        evidence = gather_evidence(
            requests,
            fleet,
            list(self.routers.values()),
            event_loop_monitor,
            router_settings(scenario),
            starvation_monitor,
        )
        unsent = len(plan) - len(requests)
        return evidence, unsent

    async def _send_request(self, arrival, requests):
        """Sends one client's request; a rejected one is retried up to `again` times, each time at another router."""
        for number in range(1 + self.scenario.again):
            position = crc32(arrival.session.encode()) / 2**32 if self.scenario.sticky else arrival.router
            position = self.load_balancer.position((position + number * 0.38) % 1)
            retry_after = await send_arrival(replace(arrival, router=position), self.load_balancer.serving, requests)
            if retry_after is None or not self.load_balancer.serving:
                return
            await asyncio.sleep(retry_after)
            arrival = replace(arrival, name=f"{arrival.name.partition('a')[0]}a{number + 1}")

    def _current_cpu_time(self, router):
        earlier, router.cpu_s = router.cpu_s, 0.0
        router.add_cpu_time()
        current, router.cpu_s = router.cpu_s, earlier
        return current

    async def _play_fault(self, number, fault):
        if fault.what in LINK_FAULTS:
            names, (on, off) = list(self.relay.names.values()), link_changes(fault)
            links = affected_links(fault, names)
            self.progress(f"  {fault.at_s:5.1f} s  {fault.what} {fault.who} to {fault.to}: {len(links)} links")
            for pair in links:
                self.relay.change(pair, **on)
            await asyncio.sleep(fault.for_s)
            for pair in links:
                self.relay.change(pair, **off)
            return
        names = draw_routers(
            self.scenario, number, [r.name for n, r in self.routers.items() if r.is_alive() and not n.endswith("x")]
        )
        self.progress(f"  {fault.at_s:5.1f} s  {fault.what} {' '.join(names) if fault.what != 'add' else fault.count}")
        targets = [self.routers[name] for name in names]
        await getattr(self, "_" + fault.what)(fault, targets)

    async def _kill(self, fault, targets, lose_disk=False):
        self.events += [("killed", r.name, time.time()) for r in targets]
        for router in targets:
            self.load_balancer.remove_if_dead(router)
        await asyncio.gather(*(r.kill() for r in targets))
        for router in targets if lose_disk else ():
            shutil.rmtree(self.folder / f"{router.name}.snap", ignore_errors=True)
            (self.folder / f"{router.name}.snap").unlink(missing_ok=True)
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            await asyncio.gather(*(self.start_router(r) for r in targets))

    async def _lose(self, fault, targets):
        """Loses the machine together with its disk, including the snapshot."""
        await self._kill(fault, targets, True)

    async def _pause(self, fault, targets):
        self.events += [("paused", r.name, time.time()) for r in targets]
        await asyncio.gather(*(r.pause(fault.for_s) for r in targets))

    async def _end(self, fault, targets):
        """A planned stop: the load balancer removes the router first."""
        for router in targets:
            self.load_balancer.remove(router)
        await asyncio.sleep(0.2)
        await asyncio.gather(*(self._stop_router(r) for r in targets))
        if fault.for_s:
            await asyncio.sleep(fault.for_s)
            await asyncio.gather(*(self.start_router(r) for r in targets))

    async def _release(self, fault, targets):
        """Signals all routers to stop at the same time; the load balancer removes each once it accepts no connections."""
        await asyncio.gather(*(self._release_router(r) for r in targets))

    async def _release_router(self, router):
        router.add_cpu_time()
        router.process.send_signal(signal.SIGTERM)
        while router.is_alive() and await accepts_connections(router.port):
            await asyncio.sleep(0.02)
        self.load_balancer.remove(router)
        self.events.append(("stopped", router.name, time.time()))
        await router.process.wait()
        await self.start_router(router)
        self.events.append(("back", router.name, time.time()))

    async def _stop_router(self, router):
        router.add_cpu_time()
        router.process.send_signal(signal.SIGTERM)
        await router.process.wait()

    async def _roll(self, fault, targets):
        """Restarts all routers in batches; `size` is the share in each batch, 0.1 by default."""
        batch_size = max(1, round((fault.size or 0.1) * len(targets)))
        for first in range(0, len(targets), batch_size):
            await self._end(fault.model_copy(update={"for_s": 0.1}), targets[first : first + batch_size])

    async def _add(self, fault, targets):
        next_number = max(r.number for r in self.routers.values() if r.number < 1000) + 1
        await asyncio.gather(*(self.start_router(self.create_router(next_number + n)) for n in range(fault.count)))

    async def _remove(self, fault, targets):
        await self._end(fault.model_copy(update={"for_s": 0.0}), targets)

    async def _twice(self, fault, targets):
        """Starts a second process with the same name on another machine, with its own snapshot; clients do not use it."""
        for router in targets:
            folder = self.folder / f"{router.name}x"
            folder.mkdir()
            shutil.copy(self.folder / "key", folder / "key")
            shutil.copy(self.folder / "workers.json5", folder / "workers.json5")
            duplicate = StormRouter(
                self.scenario,
                1000 + router.number,
                folder,
                choose_udp_port(self.udp_ports, self.rng),
                [f"storm@127.0.0.1:{r.udp_port}" for r in list(self.routers.values())[:3]],
                self.relay.port,
                router.name,
                self.mutant,
            )
            self.relay.names[duplicate.udp_port] = f"{router.name}x"
            self.routers[f"{router.name}x"] = duplicate
            await self.start_router(duplicate)
        await asyncio.sleep(fault.for_s)
        await asyncio.gather(*(self._stop_router(self.routers[f"{r.name}x"]) for r in targets))

    async def _clock(self, fault, targets):
        for router in targets:
            router.send_command(clock=fault.size)

    async def _noise(self, fault, targets):
        """Sends each router `size` invalid datagrams per second: corrupt or replayed ones, and those of another cluster."""
        rng, loop = Random(f"{self.scenario.seed} noise"), asyncio.get_running_loop()
        foreign_seal = Seal("elsewhere", (self.folder / "key").read_bytes(), "stranger", rng)
        end, sent_count = loop.time() + fault.for_s, 0
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while loop.time() < end:
                recorded = list(self.relay.crossed)
                for router in targets:
                    for _ in range(max(1, int(fault.size * NOISE_INTERVAL_S))):
                        sock.sendto(noise_datagram(rng, foreign_seal, recorded), ("127.0.0.1", router.udp_port))
                        sent_count += 1
                await asyncio.sleep(NOISE_INTERVAL_S)
        self.progress(f"        {sent_count} datagrams of noise")

    async def _lie(self, fault, targets):
        for router in targets:
            router.send_command(lie=fault.size)
        await asyncio.sleep(fault.for_s)
        for router in targets:
            router.send_command(lie=1)

    async def _disk(self, fault, targets):
        for router in targets:
            router.disk_fault = fault.disk
            router.send_command(disk=fault.disk)


def noise_datagram(rng, foreign_seal, recorded):
    """One datagram that a router must reject."""
    raw = rng.choice(recorded) if recorded else b""
    kind = rng.randrange(6)
    if kind == 0 or len(raw) < 8:
        return foreign_seal.seal("members", rng.randbytes(200))
    at = rng.randrange(len(raw))
    return [
        raw,
        raw[:at],
        raw + rng.randbytes(1400),
        raw[:2] + b"\x63" + raw[3:],
        raw[:at] + bytes([raw[at] ^ 1 << rng.randrange(8)]) + raw[at + 1 :],
    ][kind - 1]


def read_logs(folder):
    """The entries of all routers' logs, as (time, router, event, fields) in order of time."""
    from datetime import datetime

    entries = []
    for path in Path(folder).glob("**/r*.log"):
        for line in path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
                at = datetime.fromisoformat(fields["timestamp"]).timestamp()
            except (ValueError, KeyError, TypeError):
                continue
            entries.append((at, path.stem + "x" * (path.parent != Path(folder)), fields.get("event", ""), fields))
    return sorted(entries, key=lambda entry: entry[0])


async def run_storm(scenario, progress=lambda text: None, folder=None, mutant=""):
    """Runs a scenario; returns (evidence, number of requests that found no router, the StormRun, log entries)."""
    temporary = tempfile.TemporaryDirectory(prefix="rp-storm-") if folder is None else None
    folder = Path(folder or temporary.name)
    folder.mkdir(parents=True, exist_ok=True)
    try:
        run = StormRun(scenario, folder, progress, mutant)
        evidence, unsent = await run.play()
        return evidence, unsent, run, read_logs(folder)
    finally:
        if temporary:
            temporary.cleanup()
