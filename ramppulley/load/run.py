"""Runs a scenario on loopback with stand-ins, routers and clients. The evidence is what crossed the sockets."""

import asyncio
import gc
import tempfile
from contextlib import contextmanager
from pathlib import Path

from ramppulley.load.beat import CpuStarvationMonitor, EventLoopMonitor
from ramppulley.load.day import arrivals
from ramppulley.load.evidence import gather_evidence, stop_fleet, wait_for_releases
from ramppulley.load.requests import send_arrival
from ramppulley.load.routers import ProcessRouter, TaskRouter
from ramppulley.load.scenario_settings import router_settings, scenario_fleet
from ramppulley.load.troubles import FaultInjector

START_DELAY_S = 0.1  # between the routers' start and the scenario's


async def play(scenario, log, policy="module", make=None, progress=lambda text: None, folder=None):
    """Runs one scenario and returns its evidence. With `make` the routers run in this process, else each in its own."""
    with _run_folder(folder) as path:
        plan = arrivals(scenario)
        fleet = await scenario_fleet(scenario, path / "workers.json5").start()
        fleet.lag = scenario.fleet.list_lag_s
        settings = [router_settings(scenario, number) for number in range(scenario.routers)]
        if make:
            routers = [TaskRouter(each, path, log, make) for each in settings]
        else:
            routers = [ProcessRouter(each, path, policy) for each in settings]
        run = ScenarioRun(scenario, plan, fleet, routers, progress)
        await run.run(policy)
    return gather_evidence(run.requests, fleet, routers, run.event_loop_monitor, settings[0], run.starvation_monitor)


@contextmanager
def _run_folder(folder):
    """The given folder, or a temporary one that is removed at the end."""
    if folder is not None:
        yield Path(folder)
        return
    with tempfile.TemporaryDirectory(prefix="rp-day-") as temporary:
        yield Path(temporary)


class ScenarioRun:
    """One run of a scenario on a started fleet, with routers that it starts and stops."""

    def __init__(self, scenario, plan, fleet, routers, progress):
        self.scenario = scenario
        self.plan = plan
        self.fleet = fleet
        self.routers = routers
        self.progress = progress
        self.requests = []
        self.event_loop_monitor = EventLoopMonitor()
        self.starvation_monitor = CpuStarvationMonitor(self._router_pids)
        self._tasks = []
        self._start = 0.0  # on the event loop's clock

    def _router_pids(self):
        return {router.number: router.process.pid for router in self.routers if router.process}

    async def run(self, policy):
        """Starts the routers, runs the scenario and stops everything. `policy` is only shown in the progress."""
        gc.collect()
        gc.freeze()  # a full collection stops all stand-ins and clients for up to tenths of a second
        try:
            await self._start_routers()
            injector = FaultInjector(self.fleet, self.scenario.seed, self.routers)
            self._start = asyncio.get_running_loop().time() + START_DELAY_S
            self.progress(self._summary(policy))
            self._schedule_faults(injector)
            await self._send_requests()
            await self._wait_for_tasks()
            await wait_for_releases(self.fleet)
        finally:
            gc.unfreeze()
            await self._stop()

    async def _start_routers(self):
        await asyncio.gather(*(router.start() for router in self.routers))
        self.event_loop_monitor.start()
        self.starvation_monitor.start()

    def _summary(self, policy):
        return (
            f"{self.scenario.name}: {len(self.plan)} requests in {self.scenario.length_s:g} s, "
            f"{self.scenario.routers} router(s), {len(self.fleet.standins)} stand-ins, policy {policy}"
        )

    def _schedule_faults(self, injector):
        loop = asyncio.get_running_loop()
        self._tasks += [loop.create_task(self._play_fault(injector, fault)) for fault in self.scenario.troubles]

    async def _play_fault(self, injector, fault):
        await self._sleep_until(fault.at_s)
        await injector.play(fault, self.progress)

    async def _send_requests(self):
        loop = asyncio.get_running_loop()
        for arrival in self.plan:
            await self._sleep_until(arrival.at)
            self._tasks.append(loop.create_task(send_arrival(arrival, self.routers, self.requests)))

    async def _sleep_until(self, at_s):
        """Waits until this many seconds after the scenario's start."""
        await asyncio.sleep(max(0.0, self._start + at_s - asyncio.get_running_loop().time()))

    async def _wait_for_tasks(self):
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    async def _stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(router.stop() for router in self.routers), return_exceptions=True)
        await self.event_loop_monitor.stop()
        await self.starvation_monitor.stop()
        await stop_fleet(self.fleet)
