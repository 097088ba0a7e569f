"""Injects a scenario's engine faults into a fleet of stand-ins at their times."""

import asyncio
import fnmatch
import time
from random import Random

S = 10_000  # tenths of a millisecond in a second


class FaultInjector:
    """`play(fault)` runs one fault from start to end. `routers`: those that a `router_roll` restarts, if they are
    processes of their own."""

    def __init__(self, fleet, seed, routers=None):
        self.fleet, self.rng, self.routers, self.log = fleet, Random(seed), routers, []

    def targets(self, fault):
        names = sorted(n for n in self.fleet.standins if fnmatch.fnmatch(n, fault.who))
        return sorted(self.rng.sample(names, min(fault.count, len(names))))

    async def play(self, fault, progress=lambda text: None):
        inject = getattr(self, "_" + fault.what, None)
        names = self.targets(fault) if inject else []
        self.log.append((fault.what, names))
        progress(f"  {fault.at_s:5.1f} s  {fault.what} {' '.join(names)}")
        if inject is not None:  # faults without a method change the arrivals, not the fleet
            await inject(fault, names)

    async def _set_attribute(self, fault, names, attribute, on, off):
        """Sets an attribute of the stand-ins' faults, or `slower` of their engines, for the duration of the fault."""
        standins = [self.fleet.standins[name] for name in names]
        for standin in standins:
            target = standin.engine if attribute == "slower" else standin.faults
            setattr(target, attribute, on(standin) if callable(on) else on)
        await asyncio.sleep(fault.for_s)
        for standin in standins:
            target = standin.engine if attribute == "slower" else standin.faults
            setattr(target, attribute, off)

    async def _crash(self, fault, names):
        await asyncio.gather(*(self.fleet.crash(n) for n in names))
        await asyncio.sleep(fault.for_s)
        await asyncio.gather(*(self.fleet.restart(n) for n in names))

    async def _silence(self, fault, names):
        """Neither responds nor resets connections; then restarts and warms up."""
        for name in names:
            standin = self.fleet.standins[name]
            standin.faults.silent_until = standin.now() + int(fault.for_s * S)
        await asyncio.sleep(fault.for_s)
        await asyncio.gather(*(self.fleet.crash(n, listed=False) for n in names))
        await asyncio.gather(*(self.fleet.restart(n) for n in names))

    async def _slow(self, fault, names):
        await self._set_attribute(fault, names, "slower", fault.size, 1.0)

    async def _neighbour(self, fault, names):
        """Another program on the machine competes for its resources, in alternating intervals."""
        loop = asyncio.get_running_loop()
        end, busy = loop.time() + fault.for_s, False
        while loop.time() < end:
            busy = not busy
            for name in names:
                self.fleet.standins[name].engine.slower = fault.size if busy else 1.0
            await asyncio.sleep(min(0.7, max(0.01, end - loop.time())))
        for name in names:
            self.fleet.standins[name].engine.slower = 1.0

    async def _pauses(self, fault, names):
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.for_s
        while loop.time() < end:
            for name in names:
                standin = self.fleet.standins[name]
                standin.engine.paused_to = standin.now() + int(fault.size * S / 10)
            await asyncio.sleep(0.8)

    async def _late_reports(self, fault, names):
        await self._set_attribute(fault, names, "report_delay", int(fault.size * S), 0)

    async def _forget(self, fault, names):
        for name in names:
            self.fleet.standins[name].engine.forget()

    async def _cut_off(self, fault, names):
        """Unreachable over the network, while the process keeps running."""
        for name in names:
            await self.fleet.standins[name].cut_off()
        await asyncio.sleep(fault.for_s)
        for name in names:
            await self.fleet.standins[name].reach()

    async def _slow_handshake(self, fault, names):
        await self._set_attribute(fault, names, "accept_delay_s", fault.size, 0.0)

    async def _drain(self, fault, names):
        """Drains, stops, restarts and warms up."""
        await self._drain_and_restart(fault.for_s, 0.0, names)

    async def _taken_away(self, fault, names):
        """Drains with short notice: it stops soon after, even if requests are still running."""
        notice = min(1.0, fault.for_s)
        await self._drain_and_restart(notice, fault.for_s - notice, names)

    async def _drain_and_restart(self, notice, downtime, names):
        for name in names:
            self.fleet.drain(name)
        await asyncio.sleep(notice)
        await asyncio.gather(*(self.fleet.crash(n) for n in names))
        await asyncio.sleep(downtime)
        await asyncio.gather(*(self.fleet.restart(n) for n in names))

    async def _wrong_full(self, fault, names):
        await self._set_attribute(
            fault,
            names,
            "rejected_fields",
            lambda standin: {"user": fault.account} if fault.account else {"model": standin.model},
            None,
        )

    async def _cut_answers(self, fault, names):
        await self._set_attribute(fault, names, "cut_share", fault.size, 0.0)

    async def _corrupt_answers(self, fault, names):
        await self._set_attribute(fault, names, "corrupt_share", fault.size, 0.0)

    async def _standstill(self, fault, names):
        """Blocks the test process itself, as on an overloaded machine; the checks must not blame a router for it."""
        time.sleep(fault.for_s)  # noqa: ASYNC251

    async def _router_roll(self, fault, names):
        """Kills and restarts the routers one after the other."""
        for number in range(min(fault.count, len(self.routers))):
            await self.routers[number].kill()
            await asyncio.sleep(min(fault.for_s, 1.0))
            await self.routers[number].start()
