"""The module's CPU an event by size: fleets and routers' shares played on a virtual clock, on two texts of the module.

Each cell of the grid is one router's part of a made fleet's day, recorded once with the present text and played
through both texts in turns, so that the ratio comes from the same events in one run. The fleet is a plain model with seeded
chances; what the other routers send shows in its reports only. Its figures are of the module alone and are called simulated.
"""

import csv
import heapq
import time
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

from ramppulley import door
from ramppulley.check import replay
from ramppulley.cluster import subsets
from ramppulley.rules import Router
from ramppulley.service import events

MS, S = 10, 10_000
WORKERS, ROUTERS = (12, 24, 48, 72, 144), (1, 8, 64, 230)
ASKED_EACH = 2.0  # questions a second for each worker of the fleet, all routers together
CELL = 8  # workers of a cell
LAW = door.PolicySettings(
    drain_grace=2 * S, cold_from=0.3, cold_for=14 * S, cold_multiple=4.0, cold_window=3 * S, let_go_within=3000, step=40
)
CASES = (
    door.RequestClass(1200 * MS, 40 * MS, 6 * S, 30 * MS, 1.0),
    door.RequestClass(2500 * MS, 40 * MS, 12 * S, 40 * MS, 0.4),
    door.RequestClass(2000 * MS, 0, 8 * S, 40 * MS, 0.8, "receipted", "cell", 8 * S),
)


@dataclass(frozen=True)
class Size:
    """One cell of the grid."""

    workers: int
    routers: int
    questions: int
    load: float = 1.0  # times the usual traffic; above about 1.4 the fleet is short and lines grow
    seed: int = 1
    subset: bool = False  # whether the router uses a part of the list ordinarily


LEAST = 12  # workers in a subset


def usual(size, endpoints):
    """Marks of the workers that this router uses ordinarily, one of so many alike."""
    places = [subsets.Place(b.mark, b.role, b.cell, b.zone) for b in endpoints]
    peers = [subsets.Peer(f"r{n}", n % 2) for n in range(size.routers)]
    return subsets.View(peers, places, subsets.part_of(len(peers), len(places), LEAST)).subset(peers[0])


class MadeFleet:
    """A `door.Host` that answers for a whole fleet on a virtual clock; takes the module's events from a heap."""

    def __init__(self, size, make):
        self.size, self.chance, self.now, self.heap, self.count = size, Random(size.seed), 0, [], 0
        draw = self.chance
        self.endpoints = [
            door.Endpoint(
                mark=draw.getrandbits(32),
                role="read" if i % 2 else "write",
                cell=i // CELL,
                zone=i // CELL % 2,
                memory=60_000,
            )
            for i in range(size.workers)
        ]
        self.busy = {
            endpoint: draw.uniform(0.2, 0.5) * size.load for endpoint in self.endpoints
        }  # share of memory, by others
        for endpoint in self.endpoints if size.subset else ():
            endpoint.usual = endpoint.mark in usual(size, self.endpoints)
        self.silent, self.sends, self.asked = self.endpoints[2:3], {}, 0
        self.router = make(
            self,
            seed=size.seed,
            routers=size.routers,
            zone=0,
            use_cases=CASES,
            accounts=[door.TenantShare(ASKED_EACH * size.workers / 2)] * 2,
            permits=door.Capabilities(places=True, longest_wait=2 * S),
            lawbook=LAW,
        )
        self.router.listed(0, self.endpoints)
        self.between = S * size.routers / (ASKED_EACH * size.workers * size.load)  # two questions of this router
        self.later(1, self.question)

    def later(self, wait, what, *given):
        self.count += 1
        heapq.heappush(self.heap, (self.now + max(1, int(wait)), self.count, what, given))

    def play(self):
        """Until the questions are asked and all that followed has come; some minutes of the virtual clock at most."""
        middle, drained = self.size.questions // 2, False
        while self.heap:
            self.now, _, what, given = heapq.heappop(self.heap)
            what(*given)
            if self.asked >= middle and not drained:
                drained, self.endpoints[0].state = True, "draining"
                self.router.listed(self.now, [self.endpoints[0]])
                self.silent = []
            if self.asked >= self.size.questions and not self.router.requests:
                return

    def question(self):
        draw, self.asked = self.chance, self.asked + 1
        prompt = int(draw.lognormvariate(6.6, 0.7)) + 20
        text = draw.randrange(12)
        view = door.RequestView(
            CASES[draw.choices((0, 1, 2), (6, 3, 1))[0]],
            prompt,
            300,
            20 * S,
            str(draw.randrange(4000)),
            f"text {text}" if text < 6 else "",
            prompt // 2 if text < 6 else 0,
            account=draw.randrange(2),
            benefit_share=0.5,
        )
        self.router.arrived(self.now, view)
        if self.asked < self.size.questions:
            self.later(draw.expovariate(1) * self.between, self.question)

    # What the module asks for (door.Host)
    def send(self, view, endpoint, timeout, attempt):
        draw, self.sends[attempt] = self.chance, True
        if endpoint in self.silent:
            self.later(timeout, self.ends, view, attempt, door.TOO_SLOW)
        elif draw.random() < (0.1 if self.busy[endpoint] > 0.75 else 0.01):
            self.later(2 * MS, self.ends, view, attempt, door.NO_ROOM)
        elif attempt.is_prefill:
            self.later((15 + view.prompt / 20) * MS * (1 + self.busy[endpoint]), self.ends, view, attempt, door.READ)
        else:
            first = draw.uniform(20, 80) * MS * (1 + 3 * self.busy[endpoint])
            self.later(min(first, timeout), self.speaks, view, attempt, first > timeout)

    def speaks(self, view, attempt, late):
        if attempt in self.sends:
            if late:
                return self.ends(view, attempt, door.TOO_SLOW)
            self.router.first_token(self.now, view, attempt)
            self.later(self.chance.uniform(0.2, 2.0) * S, self.ends, view, attempt, door.DONE)

    def ends(self, view, attempt, outcome):
        if self.sends.pop(attempt, None):
            endpoint, draw = attempt.worker.endpoint, self.chance
            self.busy[endpoint] = min(1.0, max(0.05, self.busy[endpoint] + draw.uniform(-0.05, 0.05)))
            report = (
                None
                if outcome == door.TOO_SLOW
                else door.LoadReport(
                    held=float(draw.randrange(5)),
                    memory_share=None if endpoint.role == "read" else self.busy[endpoint],
                    tokens_waiting=draw.uniform(0, 2000) * self.busy[endpoint],
                )
            )
            kept = view.prompt // 2 if outcome == door.READ and draw.random() < 0.9 else 0
            self.router.outcome(self.now, view, attempt, outcome, outcome == door.DONE, kept, report)

    def hold_place(self, view, endpoint):
        self.later(3 * MS, self.placed, view, endpoint, self.chance.random() < 0.95)

    def placed(self, view, endpoint, held):
        self.router.place(self.now, view, endpoint, held)

    def withdraw(self, view, attempt):
        self.later(2 * MS, self.ends, view, attempt, door.UNDONE)

    def remind(self, wait, note):
        self.later(wait, self.reminded, note)

    def reminded(self, note):
        self.router.reminded(self.now, note)

    def probe(self, endpoint):
        raise AssertionError("these routers may not probe")

    def let_go(self, view):
        pass

    def turn_back(self, view, come_back):
        pass

    def scrap(self, view):
        pass

    def log(self, line):
        pass


def record(size, path):
    """One cell's day as a record of events."""
    fleet = MadeFleet(size, lambda host, **more: events.Recorder(Router, path, host, **more, about=f"{size}"))
    fleet.play()
    fleet.router.close()
    return path


def measure(size, path, texts, rounds):
    """{text: {event: (times, us each)}}: the least of some rounds, the texts in turns; raises Difference."""
    least = {}
    for _ in range(rounds):
        for name, router in texts.items():
            for event, (times, cpu) in replay.replay(path, router).items():
                us = cpu / times * 1e6
                before = least.setdefault(name, {}).get(event, (times, us))
                least[name][event] = times, min(us, before[1])
    return least


def each(told):
    """us an event over all kinds."""
    return sum(times * us for times, us in told.values()) / sum(times for times, _ in told.values())


def asked(told):
    """us a question, all its events together."""
    return sum(times * us for times, us in told.values()) / told["arrived"][0]


def run(folder, texts, *, workers=WORKERS, routers=ROUTERS, questions=300, load=1.0, rounds=2, say=print, subset=False):
    """The whole grid into folder/cost.csv (a row a cell, text and kind) and folder/cost.svg; returns the cells' means."""
    folder, means = Path(folder), {}
    folder.mkdir(parents=True, exist_ok=True)
    with open(folder / "cost.csv", "w", newline="") as file:
        table = csv.writer(file)
        table.writerow(["workers", "routers", "load", "seed", "text", "event", "times", "us_each"])
        for count in workers:
            for share in routers:
                size, began = Size(count, share, questions, load), time.monotonic()
                told = measure(size, record(size, folder / f"{count}x{share}.rec"), texts, rounds)
                if subset:  # the same questions, other events: its ratio is of CPU a question
                    part = measure(
                        size,
                        record(replace(size, subset=True), folder / f"{count}x{share}-part.rec"),
                        {"subset": Router},
                        rounds,
                    )["subset"]
                    whole = told[list(texts)[-1]]
                    say(
                        f"{count:4} workers, 1/{share:<3} of the traffic, subset: {asked(part):7.1f} us a question, "
                        f"whole list {asked(whole):7.1f}, ratio {asked(part) / asked(whole):.2f}"
                    )
                    table.writerows(
                        [count, share, load, size.seed, "subset", event, times, round(us, 2)]
                        for event, (times, us) in sorted(part.items())
                    )
                for name, kinds in told.items():
                    means[count, share, name] = each(kinds)
                    table.writerows(
                        [count, share, load, size.seed, name, event, times, round(us, 2)]
                        for event, (times, us) in sorted(kinds.items())
                    )
                say(
                    f"{count:4} workers, 1/{share:<3} of the traffic: "
                    + ", ".join(f"{name} {means[count, share, name]:7.1f} us" for name in texts)
                    + (f", ratio {ratio(means, count, share, texts):.2f}" if len(texts) > 1 else "")
                    + f" ({time.monotonic() - began:.1f} s)"
                )
    chart(means, texts, folder / "cost.svg")
    return means


def ratio(means, workers, routers, texts):
    first, *_, last = texts
    return means[workers, routers, last] / means[workers, routers, first]


def chart(means, texts, path):
    """Cost of an event against workers, a line for each text and share of the traffic."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "cost"  # the same figures give the same file
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name, style in zip(texts, ("--", "-", ":")):
        for number, share in enumerate(sorted({r for _, r, _ in means})):
            sizes = sorted({w for w, r, n in means if (r, n) == (share, name)})
            axes.plot(
                sizes,
                [means[w, share, name] for w in sizes],
                style,
                color=f"C{number}",
                marker="o",
                markersize=3,
                label=f"{name}, 1/{share} of the traffic",
            )
    axes.set(xlabel="workers", ylabel="us of CPU an event", xscale="log", yscale="log")
    axes.legend(fontsize=7)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
