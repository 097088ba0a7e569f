"""Whether a process of the rig itself went on: what it did not do in time must not be laid to a router's account."""
import asyncio
import time

S = 10_000
EVERY, LATE = 0.005, 0.02       # seconds between two beats; later than that, the process stood still


class Beat:
    """`stood`: spans in which this process's loop did not turn, in tenths of a millisecond of the monotonic clock."""

    def __init__(self):
        self.stood, self.task = [], None

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self._beat())
        return self

    async def _beat(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(EVERY)
            now = time.monotonic()
            if now - before > EVERY + LATE:
                self.stood.append((int((before + EVERY) * S), int(now * S)))
            before = now

    async def stop(self):
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
