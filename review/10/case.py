"""Bad clients by hundreds, each with a body that it does not finish: the router's memory goes over its limit."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    CannotRun,
    Clients,
    Discovery,
    Router,
    States,
    Worker,
    message,
    run_case,
    settings,
)

MEMORY_MB, SOCKETS = 128, 1024  # DAYS: "32 to 192 MB by language and day, and 256 to 1,024 descriptors"
BAD_CLIENTS, BODY_BYTES = 500, 256 * 1024  # "connect by hundreds"; "a body holds at most 256 KiB"
BEFORE_S, TROUBLE_S, RATE = 3.0, 12.0, 10.0


async def bad_client(router, number, until, counts):
    """Sends all of a request but its last 100 bytes, and stays; after its error, the same again."""
    while time.monotonic() < until:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST, router.port)
            fields = {
                "host": "origin.svc",
                "req-id": f"bad{number}-{time.monotonic_ns()}",
                "req-kind": "lookup",
                "req-key": f"bad{number}",
                "req-deadline-ms": 7500,
                "req-extra": "prompt_len=65000,max_out=400",
            }
            writer.write(message("POST /v1/chat/completions HTTP/1.1", fields, b"x" * BODY_BYTES)[:-100])
            async with asyncio.timeout(10):
                first_line = await reader.readline()
            counts[first_line[:12].decode("latin-1") or "closed"] = counts.get(first_line[:12].decode("latin-1") or "closed", 0) + 1
        except (OSError, TimeoutError):
            counts["no answer"] = counts.get("no answer", 0) + 1
            await asyncio.sleep(0.05)
        finally:
            if writer is not None:
                writer.close()


async def case(record):
    states = States(lambda *words: None)
    workers = [
        Worker(f"{role}-{i}", role, ("north", "east", "west")[i % 3], i // 2, states, record, quiet=True)
        for i in range(6)
        for role in ("read", "write")
    ]
    for worker in workers:
        await worker.start()
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(), discovery.port, memory_mb=MEMORY_MB, sockets=SOCKETS)
    asked, answers, counts, peak_mb, killed, flood = set(), [], {}, 0.0, False, []
    try:
        await router.start()
        clients = Clients(router, record)
        record("limit", MEMORY_MB, "MB; at the start", round(router.anonymous_mb(), 1), "MB")
        began, sent, due = time.monotonic(), 0, 0.0
        until = began + BEFORE_S + TROUBLE_S
        while time.monotonic() < until and not killed:
            now = time.monotonic() - began
            if TROUBLE and not flood and now >= BEFORE_S:
                record(BAD_CLIENTS, "bad clients connect")
                flood = [asyncio.create_task(bad_client(router, n, until, counts)) for n in range(BAD_CLIENTS)]
            if now >= due:
                due, sent = due + 1 / RATE, sent + 1
                ask = clients.ask(f"usual{sent}", "lookup", f"s{sent}", 7500, "prompt_len=400,max_out=40", b"y" * 2000, 12)
                task = asyncio.create_task(ask)
                asked.add(task)
                task.add_done_callback(lambda task: (asked.discard(task), answers.append(task.result())))
            used_mb = router.anonymous_mb()
            peak_mb = max(peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                record(f"the platform kills the router: {used_mb:.1f} MB; {len(asked)} usual requests are unanswered")
                router.signal(signal.SIGKILL)
                killed = True
            if router.process.returncode is not None:
                raise CannotRun(f"the router ended: {router.log()[-300:]}")
            await asyncio.sleep(0.01)
        for task in flood:
            task.cancel()
        if asked:
            await asyncio.wait(set(asked), timeout=13)
        served = sum(answer.status == 200 and answer.whole for answer in answers)
        record(f"peak {peak_mb:.1f} MB of {MEMORY_MB}; usual requests: sent {sent}, served {served}; bad clients got {counts}")
        clients.close()
        return BROKEN if killed else HELD
    finally:
        await router.end()


run_case(Path(__file__).parent, case)
