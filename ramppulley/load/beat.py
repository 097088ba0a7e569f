"""Detects stalls of the test processes themselves, so that a delay of the test rig is not blamed on a router."""

import asyncio
import time

S = 10_000  # tenths of a millisecond in a second
BEAT_INTERVAL_S = 0.005
MAX_LATENESS_S = 0.02  # a beat that is later than this counts as a stall of the process
POLL_INTERVAL_S = 0.05  # between two readings of a process's scheduling delay
MIN_DELAY_S = 0.01  # a shorter scheduling delay within one interval is ignored


class EventLoopMonitor:
    """`stalls`: spans in which this process's event loop did not run, in tenths of a millisecond of the monotonic clock."""

    def __init__(self):
        self.stalls, self.task = [], None

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self._beat())
        return self

    async def _beat(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(BEAT_INTERVAL_S)
            now = time.monotonic()
            if now - before > BEAT_INTERVAL_S + MAX_LATENESS_S:
                self.stalls.append((int((before + BEAT_INTERVAL_S) * S), int(now * S)))
            before = now

    async def stop(self):
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


def scheduling_delay_s(pid):
    """How long a process has been ready to run without a processor, in total; None if the system does not report it."""
    try:
        with open(f"/proc/{pid}/schedstat") as file:
            return int(file.read().split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return None


class CpuStarvationMonitor:
    """`starved`: (number, from, to) of processes that waited for a processor. `pids()` returns the current {number: pid}."""

    def __init__(self, pids):
        self.pids, self.starved, self.task = pids, [], None

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self._poll())
        return self

    async def _poll(self):
        previous = {}
        while True:
            for number, pid in self.pids().items():
                now, delay = time.monotonic(), scheduling_delay_s(pid)
                last_now, last_delay, last_pid = previous.get(number, (now, delay, pid))
                if (
                    delay is not None
                    and last_delay is not None
                    and last_pid == pid
                    and delay - last_delay > MIN_DELAY_S
                ):
                    self.starved.append((number, int(max(last_now, now - (delay - last_delay)) * S), int(now * S)))
                previous[number] = now, delay, pid
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self):
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
