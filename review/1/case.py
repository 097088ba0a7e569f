"""Bad clients send bodies of 60 MB, and again as soon as they are turned away: the router goes over its memory."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Router, ask_in_turn, fleet, main

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
BAD_CLIENTS, BODY_BYTES, CHUNK = 250, 60_000_000, b"1000\r\n" + b"a" * 4096 + b"\r\n"
REQUESTS, INTERVAL_S, BAD_AFTER_S, BAD_FOR_S = 120, 0.15, 2.0, 15.0
MEMORY_CHECK_S = 0.01


async def send_too_much(port, number, until, record):
    """A bad client: a body of 60 MB in chunks of 4 KiB at full speed, until it has its error; then the same again."""
    refused = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {refused:08x}bad{number:05x}\r\n"
                f"Req-Kind: record-lookup\r\nReq-Key: bad\r\nReq-Deadline-Ms: 4800\r\n"
                f"Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            answer, left = asyncio.create_task(reader.read(300)), BODY_BYTES
            try:
                while left > 0 and not answer.done():
                    writer.write(CHUNK * 16)
                    left -= 16 * 4096
                    await writer.drain()
            except ConnectionError:
                pass  # turned away; its error may still be read
            refused += (await answer).startswith(b"HTTP/1.1 4")
            writer.transport.abort()
        except OSError:
            await asyncio.sleep(0.05)  # the router is gone
    record(f"bad client {number} was turned away with an error {refused} times")


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
            record(f"{BAD_CLIENTS} bad clients begin to send bodies of 60 MB")
            until = time.monotonic() + BAD_FOR_S
            await asyncio.gather(*[send_too_much(router.port, n, until, record) for n in range(BAD_CLIENTS)])
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
