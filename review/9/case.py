"""A reader hangs in the middle of a read; the request is served elsewhere. When the reader goes on, its read ends: what it
left stays held for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import BROKEN, HELD, TROUBLE, CannotRun, Clients, Discovery, Router, States, Worker, run_case, settings

RELEASE_S = 0.5  # Specifics.ReleaseS, as at bluegum-perth
BOUND_S = RELEASE_S + 0.3 + 0.05 + 0.5  # 300 ms more on sockets, 50 ms for each limit, and 0.5 s to be on the safe side
HANG_S, WATCH_S, REQUESTS = 4.0, 12.0, 5


async def case(record):
    states = States(record)
    workers = [
        Worker(f"{role}-{i}", role, ("north", "east", "west")[i % 3], i // 2, states, record)
        for i in range(6)
        for role in ("read", "write")
    ]
    for worker in workers:
        await worker.start()
        worker.read_s = 0.4
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(Specifics__ReleaseS=RELEASE_S), discovery.port)
    held_too_long = []
    try:
        await router.start()
        clients = Clients(router, record)
        for n in range(12):  # usual traffic: the router gets to know its workers
            await clients.ask(f"warm{n}", "lookup", f"session-{n}", 7500, "prompt_len=400,max_out=40", b"{}", 10)
        for n in range(REQUESTS):
            name = f"asked{n}"
            before = {worker: worker.posts for worker in workers}
            task = asyncio.create_task(
                clients.ask(name, "lookup", f"other-{n}", 7500, "prompt_len=400,max_out=40", b"{}", 10)
            )
            reader = None
            while reader is None and not task.done():
                await asyncio.sleep(0.01)
                reader = next((w for w in workers if w.role == "read" and w.posts > before[w]), None)
            if reader is None:
                raise CannotRun("the request reached no reader")
            if TROUBLE:
                record(reader.name, "hangs")
                reader.running.clear()
                await asyncio.sleep(HANG_S)
                record(reader.name, "goes on")
                reader.running.set()
            answer = await task
            ended = time.monotonic()
            if answer.status != 200 or not answer.whole:
                record("not served:", name)
            while time.monotonic() < ended + (WATCH_S / REQUESTS if n < REQUESTS - 1 else WATCH_S):
                await asyncio.sleep(0.05)
        for name, (holder, since) in states.held.items():
            held_s = time.monotonic() - since
            record(f"state {name} at {holder}: held for {held_s:.1f} s, and still is")
            if held_s > BOUND_S:
                held_too_long.append(name)
        clients.close()
        return BROKEN if held_too_long else HELD
    finally:
        record(router.log())
        await router.end()


run_case(Path(__file__).parent, case)
