"""Bad clients send bodies of 60 MB, and again as soon as they are turned away: the router goes over its memory."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import BadClients, Clients, Router, ask_in_turn, fleet, main

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
BAD_CLIENTS, BAD_AFTER_S, BAD_FOR_S, CHUNK_BYTES = 250, 2.0, 15, 4096
REQUESTS, INTERVAL_S, DEADLINE_MS = 120, 0.15, 4800  # the usual clients: for 18 s
MEMORY_CHECK_S = 0.01


class Platform:
    """Watches the memory of one router and kills it over its limit, as DEPLOY says."""

    def __init__(self, router, record):
        self.router, self.record, self.peak_mb, self.killed = router, record, 0.0, False

    async def watch(self):
        while not self.killed:
            used_mb = self.router.memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > LIMITS["memory_mb"]:
                self.killed = True
                self.record(f"{self.router.name} has {used_mb:.0f} MB, over its limit")
                self.router.signal(signal.SIGKILL)
            await asyncio.sleep(MEMORY_CHECK_S)


async def case(record, folder, trouble):
    workers, discovery = await fleet(record)
    router = Router(folder, discovery, record, limits=LIMITS)
    clients = Clients(router.port, record, DEADLINE_MS)
    bad = BadClients(router.port, BAD_CLIENTS, BAD_FOR_S, CHUNK_BYTES, record)
    try:
        router.start()
        await router.ready()
        platform = Platform(router, record)
        watching = asyncio.create_task(platform.watch())
        asking = asyncio.create_task(ask_in_turn(clients, REQUESTS, INTERVAL_S))
        await asyncio.sleep(BAD_AFTER_S)
        if trouble:
            await bad.start()
            await bad.result()
        answers = await asking
        watching.cancel()
        record(f"peak of memory: {platform.peak_mb:.0f} MB of {LIMITS['memory_mb']}")
        ended = router.process.poll()
    finally:
        bad.stop()
        router.stop()
        for worker in workers:
            worker.stop()
    unserved = sum(answer.status != 200 for answer in answers)
    if platform.killed:
        peak = f"{platform.peak_mb:.0f} MB"
        return [f"{router.name} was killed for memory at {peak}; {unserved} of {REQUESTS} requests unserved"]
    return [] if ended is None else [f"{router.name} ended by itself with status {ended}"]


main(case)
