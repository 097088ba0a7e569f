"""Clients that send again as soon as they are turned away: each refused request stays in memory, body and all, until its
deadline, and the router goes over its memory limit."""

import asyncio
import re
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Clients,
    Discovery,
    Router,
    States,
    Worker,
    check_served,
    message,
    run_case,
    settings,
)

MEMORY_MB, SOCKETS = 192, 1024  # "no more than 192 MB and 1,024 descriptors"
BAD_CLIENTS, BODY_BYTES, DEADLINE_MS = 250, 256 * 1024, 7500  # "a body holds at most 256 KiB"; GiveUpS of the class
BEFORE_S, TROUBLE_S, RATE = 3.0, 30.0, 10.0
TOKENS_A_SECOND, SLOTS, QUEUE = 20000.0, 7, 30  # bluegum-perth: 12,000 to 25,000; 5.1 to 9.4 at once; 22 to 50 may wait


class Reader(Worker):
    """Reads a prompt at its pace, some at once; some more wait, and the others are turned away."""

    slots, held = None, 0

    async def answer(self, method, target, fields, writer):
        if method != "POST":
            await super().answer(method, target, fields, writer)
            return
        if self.held >= SLOTS + QUEUE:
            self.record(self.name, "turns", fields["req-id"], "away")
            writer.write(message("HTTP/1.1 503 Service Unavailable", {"srv-declined": "1"}))
            return
        self.slots = self.slots or asyncio.Semaphore(SLOTS)
        self.held += 1
        try:
            async with self.slots:
                if self.gone(writer):  # "a cancel or time-out drops waiting work"
                    self.record(self.name, "drops", fields["req-id"], "as its connection has ended")
                    raise ConnectionResetError
                tokens = int(re.search(r"prompt_len=(\d+)", fields.get("req-extra", "prompt_len=400"))[1])
                self.read_s = tokens / TOKENS_A_SECOND + 0.01
                await self.read(fields["req-id"], writer)
        finally:
            self.held -= 1


async def bad_client(router, record, number, until, counts):
    """The same again, under a new id, as soon as it is turned away."""
    clients, tries = Clients(router, record), 0
    extra = f"prompt_len={BODY_BYTES // 4},max_out=400"
    while time.monotonic() < until:
        tries += 1
        name = f"again{number}-{tries}"
        answer = await clients.ask(name, "lookup", f"s{number}", DEADLINE_MS, extra, b"x" * BODY_BYTES, 12)
        counts[answer.status or answer.error or "closed"] += 1
        if not answer.status:
            await asyncio.sleep(0.05)
    clients.close()


async def case(record):
    states = States(record)
    workers = [
        (Reader if role == "read" else Worker)(
            f"{role}-{i}", role, ("north", "east", "west")[i % 3], i // 2, states, record
        )
        for i in range(6)
        for role in ("read", "write")
    ]
    for worker in workers:
        await worker.start()
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(), discovery.port, memory_mb=MEMORY_MB, sockets=SOCKETS)
    asked, answers, counts, peak_mb, killed, flood = set(), [], Counter(), 0.0, False, []
    try:
        await router.start()
        clients = Clients(router, record)
        record("limit", MEMORY_MB, "MB; at the start", round(router.anonymous_mb(), 1), "MB")
        began, sent, due, shown = time.monotonic(), 0, 0.0, 0
        until = began + BEFORE_S + TROUBLE_S
        while time.monotonic() < until and not killed:
            now = time.monotonic() - began
            if TROUBLE and not flood and now >= BEFORE_S:
                record(BAD_CLIENTS, "bad clients connect")
                flood = [asyncio.create_task(bad_client(router, record, n, until, counts)) for n in range(BAD_CLIENTS)]
            if now >= due:
                due, sent = due + 1 / RATE, sent + 1
                ask = clients.ask(
                    f"usual{sent}", "lookup", f"u{sent}", DEADLINE_MS, "prompt_len=400,max_out=40", b"y" * 2000, 12
                )
                task = asyncio.create_task(ask)
                asked.add(task)
                task.add_done_callback(lambda task: (asked.discard(task), answers.append(task.result())))
            used_mb = router.anonymous_mb()
            peak_mb = max(peak_mb, used_mb)
            if now >= shown:
                shown += 1
                record(f"memory {used_mb:.1f} MB; bad clients got {dict(counts)}")
            if used_mb > MEMORY_MB:
                record(f"the platform kills the router: {used_mb:.1f} MB; {len(asked)} usual requests are unanswered")
                router.kill()
                killed = True
            if router.process.returncode is not None:
                raise CannotRun(f"the router ended: {router.log()[-300:]}")
            await asyncio.sleep(0.01)
        for line in router.log().splitlines():
            if " holds " in line:
                record("its log:", line[:150])  # open: unanswered requests; lives: those that it keeps
        for task in flood:
            task.cancel()
        if asked:
            await asyncio.wait(set(asked), timeout=13)
        served = sum(answer.status == 200 and answer.whole for answer in answers)
        record(f"peak {peak_mb:.1f} MB of {MEMORY_MB}; bad clients got {dict(counts)}")
        record(f"usual requests: sent {sent}, served {served}")
        check_served(served, sent)
        clients.close()
        return BROKEN if killed else HELD
    finally:
        await router.end()


run_case(Path(__file__).parent, case)
