"""A zone of a large fleet comes back cold: the router stands still, and requests get their final answer too late."""

import asyncio
import random
import sys
import time
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
    check_disruption,
    check_served,
    run_case,
    settings,
)

WORKERS = 3200  # the pages: 3,200 at most
ZONES = ["kelder", "zolder"]  # two server rooms, as at vvg-vaarhulp
RATE, BEFORE_S, LOST_S, AFTER_S = 50.0, 78.0, 4.5, 7.0  # "some tens of requests a second"
LOST_LIMIT_S = 5.0  # "a zone is lost for 5 s", told included
LITTLE_MS, USUAL_MS = 150, 6000  # one in two requests has very little time left
LATE_S = 0.55  # "up to half a second after its time it only earns nothing", and 50 ms on sockets
END_LATE_S = 1.05  # "passing on its end a second late loses it too", and 50 ms


async def watch_own_lag(lag):
    """The most that this process itself was late; it does not count against the router."""
    while True:
        due = time.monotonic() + 0.01
        await asyncio.sleep(0.01)
        lag[0] = max(lag[0], time.monotonic() - due)


def lost_requests(record, answers, ended, lag_s):
    """The names of the requests that were lost: no answer in time, or a stream whose end was passed on too late."""
    lost = []
    for task in answers:
        answer = task.result()
        late_s = None if answer.at is None else answer.at - task.deadline_s
        if late_s is None or late_s > LATE_S + lag_s:
            lost.append(answer.name)
            seen = "got no answer" if late_s is None else f"got its {answer.status} {late_s:.3f} s after its time"
            record("lost:", answer.name, f"sent at {task.sent_at:.3f} s of the run", seen)
        elif answer.whole and answer.status == 200 and answer.ended_at - ended[answer.name] > END_LATE_S + lag_s:
            lost.append(answer.name)
            record("lost:", answer.name, f"its stream's end came {answer.ended_at - ended[answer.name]:.3f} s late")
    return lost


async def case(record):
    states = States(record)
    workers = [
        Worker(f"s-{i:04x}", ("read", "write")[i % 2], ZONES[i // 5 % 2], i // 5, states, record)
        for i in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(Azs=ZONES), discovery.port, memory_mb=2048)
    lost_zone, asked, answers, lag = [w for w in workers if w.zone == ZONES[1]], set(), [], [0.0]
    try:
        await router.start()
        clients, draw = Clients(router, record), random.Random(7)
        sessions = [f"{draw.getrandbits(64):016x}" for _ in range(300)]
        began, sent, step = time.monotonic(), 0, 0
        lag_watch = asyncio.create_task(watch_own_lag(lag))
        while (now := time.monotonic() - began) < BEFORE_S + LOST_S + AFTER_S:
            if TROUBLE and step == 0 and now >= BEFORE_S:
                step, lost_at = 1, time.monotonic()
                record("zone", ZONES[1], "is lost:", len(lost_zone), "workers")
                for worker in lost_zone:
                    worker.die()
            if TROUBLE and step == 1 and now >= BEFORE_S + LOST_S:
                step = 2
                for worker in lost_zone:
                    await worker.come_back()
                record("zone", ZONES[1], "is back, cold")
                await asyncio.sleep(0.1)
                discovery.tell(lost_zone, "back, with a new start")
                check_disruption(lost_at, LOST_LIMIT_S)
            deadline_ms = LITTLE_MS if sent % 2 else USUAL_MS
            extra = "prompt_len=1500,max_out=200,prefix=5c0f6e1a2b3d4c59,prefix_len=1200"
            ask = clients.ask(
                f"{sent:016x}", "lookup", draw.choice(sessions), deadline_ms, extra, b"{}", deadline_ms / 1000 + 5
            )
            task = asyncio.create_task(ask)
            task.deadline_s, task.sent_at = deadline_ms / 1000, now
            asked.add(task)
            task.add_done_callback(lambda task: (asked.discard(task), answers.append(task)))
            sent += 1
            await asyncio.sleep(max(0.0, began + sent / RATE - time.monotonic()))
            if router.process.returncode is not None:
                raise CannotRun(f"the router ended: {router.log()[-300:]}")
        if asked:
            await asyncio.wait(set(asked), timeout=12)
        lag_watch.cancel()
        record(f"this process was {lag[0] * 1000:.0f} ms late at most")
        ended = {}  # when the last of a request's workers wrote the end of its stream
        for worker in workers:
            for name, at in worker.ended.items():
                ended[name] = max(at, ended.get(name, at))
        lost = lost_requests(record, answers, ended, lag[0])
        worst = max((t.result().at - t.deadline_s for t in answers if t.result().at is not None), default=0.0)
        served = sum(t.result().status == 200 and t.result().whole for t in answers)
        record(f"sent {sent}, served {served}, lost {len(lost)}; latest answer {worst:.3f} s after its time")
        check_served(served, sent)
        clients.close()
        return BROKEN if lost else HELD
    finally:
        await router.end()


run_case(Path(__file__).parent, case)
