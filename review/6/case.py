"""A repeat of a receipted request is written into a partitioned link within the workers' memory, and arrives after it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (
    BROKEN,
    HELD,
    TROUBLE,
    Clients,
    Discovery,
    Link,
    Router,
    States,
    Worker,
    check_disruption,
    check_served,
    message,
    run_case,
    settings,
)

ZONES = ["north", "south"]
WINDOW_S = 5.0  # Lanes[].WindowS: so long a worker of the zone knows a repeat, from the first attempt's send
CUT_LIMIT_S, CUT_S = 6.0, 5.9  # "for 6 s a zone is partitioned"
CUT_AFTER_S = 0.1  # after the first attempt's last byte has come to its worker
FIRST_TOKEN_S = 0.4


class Ledger:
    """What the workers of one zone remember together: the effects that they have had, for WINDOW_S each."""

    def __init__(self, record):
        self.record, self.known, self.effects = record, {}, {}

    def run(self, name, worker):
        """The worker begins a request: it has its effect, or is known for a repeat."""
        now = time.monotonic()
        if name in self.known and now - self.known[name] < WINDOW_S + 0.05:  # "every time limit is 50 ms longer"
            self.record(worker, "knows", name, "for a repeat: no second effect")
            return
        self.known[name] = now
        self.effects.setdefault(name, []).append((worker, now))
        self.record(worker, "runs", name, "effect", len(self.effects[name]))


class FullBox(Worker):
    """A worker that reads and writes: it reads a request without a state itself."""

    def __init__(self, *args, ledger, load):
        super().__init__(*args)
        self.ledger, self.load = ledger, load

    def entry(self):
        return super().entry() | {"class": "full-box"}

    async def answer(self, method, target, fields, writer):
        if method == "GET":
            report = b'{"lat_ms":100,"x0":%.2f,"x1":0.1}' % self.load
            writer.write(message("HTTP/1.1 200 OK", {}, report))
        else:
            await super().answer(method, target, fields, writer)

    async def write(self, name, writer):
        self.ledger.run(name, self.name)
        self.states.held[name] = self.name, time.monotonic()  # read here, and used at once
        await super().write(name, writer)


async def case(record):
    states = States(record)
    ledgers = [Ledger(record), Ledger(record)]
    # Two zones of three workers each, in a group of their own; those of the router's own zone have little memory left.
    workers = [
        FullBox(
            f"{ZONES[i // 3]}-{i % 3}",
            "both",
            ZONES[i // 3],
            i // 3,
            states,
            record,
            ledger=ledgers[i // 3],
            load=(0.85, 0.1)[i // 3],
        )
        for i in range(6)
    ]
    links = {}
    for worker in workers:
        await worker.start()
        worker.first_s = 0.05
        links[worker] = await Link(record).start(worker)
    discovery = await Discovery(workers, record).start()
    lanes = [
        {"Name": "booking", "AimS": 2.0, "GiveUpS": 10.0, "Credit": 2.0, "LateWorth": 0.2, "Effect": "guarded"}
        | {"Stream": True, "KeyScope": "zone", "WindowS": WINDOW_S}
    ]
    router = Router(
        record,
        settings(
            Azs=ZONES,
            NInstances=2,
            Kinds=["full-box"],
            Lanes=lanes,
            Specifics__RoleByKind=["both"],
            Specifics__MemoryTokens=[220000],
            Specifics__TokenAimS=[0.07],
            Specifics__AimUsPer1000PromptTokens=[40000.0],
        ),
        discovery.port,
    )
    extra = "prompt_len=400,max_out=40"
    south = [worker for worker in workers if worker.zone == "south"]
    try:
        await router.start()
        clients = Clients(router, record)
        for round_ in range(4):  # usual traffic, some requests at once: the router has connections to its workers
            await asyncio.gather(
                *[
                    clients.ask(f"usual{round_}-{n}", "booking", f"s{round_}-{n}", 10000, extra, b"{}", 12)
                    for n in range(48)
                ]
            )
        await asyncio.sleep(0.7)
        for worker in workers:
            worker.first_s = FIRST_TOKEN_S
        asked = [
            asyncio.create_task(clients.ask(f"asked{n}", "booking", f"t{n}", 10000, extra, b"{}", 14)) for n in range(6)
        ]
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            cut_at = time.monotonic()
            record("zone south is partitioned")
            for worker in south:
                links[worker].cut()
            await asyncio.sleep(CUT_S)
            record("the partition has ended")
            for worker in south:
                links[worker].heal()
            check_disruption(cut_at, CUT_LIMIT_S)
        answers = await asyncio.gather(*asked)
        check_served(sum(answer.status == 200 and answer.whole for answer in answers), len(answers))
        await asyncio.sleep(1.0)
        twice = {name: effects for ledger in ledgers for name, effects in ledger.effects.items() if len(effects) > 1}
        for name, effects in twice.items():
            record(
                name,
                "had its effect",
                len(effects),
                "times:",
                "; ".join(f"{w} at {at - record.began:.3f}" for w, at in effects),
            )
        clients.close()
        return BROKEN if twice else HELD
    finally:
        record(router.log())
        await router.end()


run_case(Path(__file__).parent, case)
