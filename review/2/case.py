"""Hundreds of bad clients send half a request and stay: the memory of the router is not bounded."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Router, ask_in_turn, fleet, main

LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 1024}
BAD_CLIENTS, BODY_BYTES = 330, 256 * 1024
REQUESTS, INTERVAL_S, BAD_AFTER_S = 40, 0.15, 2.0
MEMORY_CHECK_S = 0.01


async def stop_in_the_middle(port, number, record):
    """A bad client: all of a request but its last byte, then it stays until the router ends the connection."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: bad{number:013x}\r\n"
            f"Req-Kind: record-lookup\r\nReq-Key: bad\r\nReq-Deadline-Ms: 4800\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        )
        writer.write(b"a" * (BODY_BYTES - 1))
        first = (await reader.read(200)).split(b"\r\n")[0].decode()
        record(f"bad client {number} got {first or 'a close'}")
        writer.close()
    except OSError as fault:
        record(f"bad client {number}: {fault}")


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
    try:
        router.start()
        await router.ready()
        platform = Platform(router, record)
        watching = asyncio.create_task(platform.watch())
        asking = asyncio.create_task(ask_in_turn(router.port, record, REQUESTS, INTERVAL_S))
        await asyncio.sleep(BAD_AFTER_S)
        if trouble:
            record(f"{BAD_CLIENTS} bad clients connect, send half a request each and stay")
            await asyncio.gather(*[stop_in_the_middle(router.port, n, record) for n in range(BAD_CLIENTS)])
        answers = await asking
        watching.cancel()
        record(f"peak of memory: {platform.peak_mb:.0f} MB of {LIMITS['memory_mb']}")
        ended = router.process.poll()
    finally:
        router.stop()
        for worker in workers:
            worker.stop()
    unserved = sum(answer.status != 200 for answer in answers)
    faults = []
    if platform.killed:
        faults.append(
            f"{router.name} was killed for memory at {platform.peak_mb:.0f} MB; {unserved} of {REQUESTS} unserved"
        )
    elif ended is not None:
        faults.append(f"{router.name} ended by itself with status {ended}")
    return faults


main(case)
