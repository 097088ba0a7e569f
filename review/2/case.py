"""One worker spoils one stream: a chunk said to have 3 GB that keeps coming. It holds line ends."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import STREAM_HEAD, Clients, Router, ask_in_turn, events_of, fleet, lost_among, main

REQUESTS, INTERVAL_S, DEADLINE_MS = 80, 0.15, 3000  # the usual clients: for 12 s
SPOILT = f"{12:016x}"  # the request whose stream is spoilt, 1.8 s after the first
SPOILT_FOR_S = 25.0  # so long the chunk keeps coming, if its connection is not closed before


def spoiler(record):
    """The hook of a decode worker: its stream for SPOILT is spoilt after three events."""

    def hook(worker, method, name):
        return spoil if (worker.kind, method, name) == ("decode", "POST", SPOILT) else None

    async def spoil(_reader, writer, _body):
        writer.write(STREAM_HEAD)
        for event in events_of(SPOILT, 3)[:3]:
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        record(f"worker writes a chunk said to have 3 GB into the stream of {SPOILT}")
        writer.write(b"C0000000\r\n")
        until, written = time.monotonic() + SPOILT_FOR_S, 0
        try:
            while time.monotonic() < until:
                writer.write(b"\n" * 65536)
                written += 65536
                await asyncio.wait_for(writer.drain(), max(0.1, until - time.monotonic()))
        except (ConnectionError, TimeoutError):
            pass
        record(f"worker has written {written} bytes of that chunk")
        return False  # closes its connection

    return hook


async def case(record, folder, trouble):
    workers, discovery = await fleet(record)
    if trouble:
        for worker in workers:
            worker.hook = spoiler(record)
    router = Router(folder, discovery, record)
    clients = Clients(router.port, record, DEADLINE_MS)
    try:
        router.start()
        await router.ready()
        answers = await ask_in_turn(clients, REQUESTS, INTERVAL_S)
    finally:
        router.stop()
        for worker in workers:
            worker.stop()
    lost = [answer for answer in lost_among(answers, workers, clients) if answer.name != SPOILT]
    return [f"{answer.name} had no answer 0.55 s after its time ({answer.end})" for answer in lost]


main(case)
