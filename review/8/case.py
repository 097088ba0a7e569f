"""3,200 workers, the usual traffic of one router: its memory grows with every session, until it is over its limit."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import BROKEN, HELD, TROUBLE, CannotRun, Clients, Discovery, Router, States, Worker, run_case, settings

WORKERS = 3200 if TROUBLE else 200  # the pages: 3,200 at most; without the disruption the usual size
MEMORY_MB, SOCKETS = 192, 1024  # limits on scored days: "no more than 192 MB and 1,024 descriptors"
RATE, SECONDS = 30.0, 80.0  # "some tens of requests a second at most"
ZONES = ["north", "east", "west"]
# (class, share of the requests, turns a session, share that begins with a shared text, number of shared texts, deadline)
KINDS = [("lookup", 0.64, 1.9, 0.55, 8, 7500), ("lodging", 0.36, 5.5, 0.7, 5, 10000)]


class Sessions:
    """Conversations of some turns each, drawn by a seed of the case's own."""

    def __init__(self):
        self.random, self.open, self.count = random.Random(6), {}, 0

    def next(self):
        kind, _, turns, shared, prefixes, deadline_ms = self.random.choices(KINDS, [row[1] for row in KINDS])[0]
        resting = self.open.setdefault(kind, [])
        session = (
            resting.pop(self.random.randrange(len(resting))) if resting and self.random.random() > 1 / turns else None
        )
        if session is None:
            self.count += 1
            prefix = f"{kind}-text-{self.random.randrange(prefixes)}" if self.random.random() < shared else ""
            session = [f"{self.random.getrandbits(64):016x}", prefix, 0]
        session[2] += 400
        resting.append(session)
        extra = f"prompt_len={session[2] + 1500},max_out=400"
        if session[1]:
            extra += f",prefix={session[1].encode().hex()[:16]},prefix_len=1500"
        return kind, session[0], deadline_ms, extra


async def case(record):
    states = States(record)
    workers = [
        Worker(f"s-{i:04x}", ("read", "write")[i % 2], ZONES[i % 3], i // 5, states, record) for i in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(), discovery.port, memory_mb=MEMORY_MB, sockets=SOCKETS)
    record(WORKERS, "workers, limit", MEMORY_MB, "MB")
    asked, answers, peak_mb, killed = set(), [], 0.0, False
    try:
        await router.start()
        clients, sessions = Clients(router, record), Sessions()
        began, sent = time.monotonic(), 0
        record("memory at the start:", round(router.anonymous_mb(), 1), "MB")
        while time.monotonic() - began < SECONDS and not killed:
            await asyncio.sleep(max(0.0, began + sent / RATE - time.monotonic()))
            kind, session, deadline_ms, extra = sessions.next()
            sent += 1
            task = asyncio.create_task(
                clients.ask(f"{sent:016x}", kind, session, deadline_ms, extra, b"{}", deadline_ms / 1000 + 3)
            )
            asked.add(task)
            task.add_done_callback(lambda task: (asked.discard(task), answers.append(task.result())))
            used_mb = router.anonymous_mb()
            peak_mb = max(peak_mb, used_mb)
            if sent % int(5 * RATE) == 0:
                done = sum(answer.status == 200 and answer.whole for answer in answers)
                record(f"sent {sent}, {sessions.count} sessions, {done} served; memory {used_mb:.1f} MB")
            if router.process.returncode is not None:
                raise CannotRun(f"the router ended: {router.log()[-300:]}")
            if used_mb > MEMORY_MB:
                record(
                    f"the platform kills the router: {used_mb:.1f} MB after {sent} requests, {len(asked)} unanswered"
                )
                router.kill()
                killed = True
        if asked:
            await asyncio.wait(set(asked), timeout=15)
        done = sum(answer.status == 200 and answer.whole for answer in answers)
        record(f"sent {sent}, {sessions.count} sessions, {done} served whole; peak {peak_mb:.1f} MB of {MEMORY_MB}")
        if done < 0.5 * sent and not killed:
            raise CannotRun("the stand-ins served too little for a verdict")
        clients.close()
        return BROKEN if killed else HELD
    finally:
        await router.end()


run_case(Path(__file__).parent, case)
