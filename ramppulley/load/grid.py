"""CPU time per event of the decision module by fleet size and number of routers, for two versions of the module.

Each grid point simulates one router's share of a fleet's traffic on a virtual clock. It is recorded once with the current
version and replayed alternately through both versions, so that the ratio comes from the same events in one run. The fleet is
a simple model with a seeded random generator; the traffic of the other routers shows only in its load reports. The figures
cover the decision module alone and are labelled as simulated.
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
WORKER_COUNTS, ROUTER_COUNTS = (12, 24, 48, 72, 144), (1, 8, 64, 230)
REQUESTS_PER_S_PER_WORKER = 2.0  # of all routers together
WORKERS_PER_GROUP = 8
POLICY_SETTINGS = door.PolicySettings(
    drain_grace=2 * S, cold_from=0.3, cold_for=14 * S, cold_multiple=4.0, cold_window=3 * S, let_go_within=3000, step=40
)
REQUEST_CLASSES = (
    door.RequestClass(1200 * MS, 40 * MS, 6 * S, 30 * MS, 1.0),
    door.RequestClass(2500 * MS, 40 * MS, 12 * S, 40 * MS, 0.4),
    door.RequestClass(2000 * MS, 0, 8 * S, 40 * MS, 0.8, "receipted", "cell", 8 * S),
)


@dataclass(frozen=True)
class Size:
    """One grid point."""

    workers: int
    routers: int
    questions: int
    load: float = 1.0  # times the normal traffic; above about 1.4 the fleet lacks capacity and queues grow
    seed: int = 1
    subset: bool = False  # whether the router normally uses a subset of the workers


MIN_SUBSET_WORKERS = 12


def subset_ids(size, endpoints):
    """Endpoint ids of this router's subset, where all routers have the same traffic."""
    places = [subsets.Place(e.mark, e.role, e.cell, e.zone) for e in endpoints]
    peers = [subsets.Peer(f"r{n}", n % 2) for n in range(size.routers)]
    return subsets.View(peers, places, subsets.subset_fraction(len(peers), len(places), MIN_SUBSET_WORKERS)).subset(
        peers[0]
    )


class SimulatedFleet:
    """A `door.Host` that simulates a whole fleet on a virtual clock and delivers the module's events from a heap."""

    def __init__(self, size, make_router):
        self.size, self.rng, self.now, self.heap, self.scheduled_count = size, Random(size.seed), 0, [], 0
        rng = self.rng
        self.endpoints = [
            door.Endpoint(
                mark=rng.getrandbits(32),
                role="read" if i % 2 else "write",
                cell=i // WORKERS_PER_GROUP,
                zone=i // WORKERS_PER_GROUP % 2,
                memory=60_000,
            )
            for i in range(size.workers)
        ]
        self.memory_shares = {  # part of each worker's memory that the other routers use
            endpoint: rng.uniform(0.2, 0.5) * size.load for endpoint in self.endpoints
        }
        for endpoint in self.endpoints if size.subset else ():
            endpoint.usual = endpoint.mark in subset_ids(size, self.endpoints)
        self.unresponsive, self.open_attempts, self.arrived_count = self.endpoints[2:3], {}, 0
        self.router = make_router(
            self,
            seed=size.seed,
            routers=size.routers,
            zone=0,
            use_cases=REQUEST_CLASSES,
            accounts=[door.TenantShare(REQUESTS_PER_S_PER_WORKER * size.workers / 2)] * 2,
            permits=door.Capabilities(places=True, longest_wait=2 * S),
            lawbook=POLICY_SETTINGS,
        )
        self.router.listed(0, self.endpoints)
        # mean time between two requests of this router
        self.arrival_interval = S * size.routers / (REQUESTS_PER_S_PER_WORKER * size.workers * size.load)
        self.schedule(1, self.arrive)

    def schedule(self, delay, callback, *args):
        self.scheduled_count += 1  # events that are due at the same time run in the order in which they were scheduled
        heapq.heappush(self.heap, (self.now + max(1, int(delay)), self.scheduled_count, callback, args))

    def simulate(self):
        """Runs until all requests have arrived and ended; at most some minutes of the virtual clock.

        Half-way one worker begins to drain, and the unresponsive worker recovers.
        """
        half, drained = self.size.questions // 2, False
        while self.heap:
            self.now, _, callback, args = heapq.heappop(self.heap)
            callback(*args)
            if self.arrived_count >= half and not drained:
                drained, self.endpoints[0].state = True, "draining"
                self.router.listed(self.now, [self.endpoints[0]])
                self.unresponsive = []
            if self.arrived_count >= self.size.questions and not self.router.requests:
                return

    def arrive(self):
        rng, self.arrived_count = self.rng, self.arrived_count + 1
        prompt_tokens = int(rng.lognormvariate(6.6, 0.7)) + 20
        prefix = rng.randrange(12)
        view = door.RequestView(
            REQUEST_CLASSES[rng.choices((0, 1, 2), (6, 3, 1))[0]],
            prompt_tokens,
            300,
            20 * S,
            str(rng.randrange(4000)),
            f"text {prefix}" if prefix < 6 else "",
            prompt_tokens // 2 if prefix < 6 else 0,
            account=rng.randrange(2),
            benefit_share=0.5,
        )
        self.router.arrived(self.now, view)
        if self.arrived_count < self.size.questions:
            self.schedule(rng.expovariate(1) * self.arrival_interval, self.arrive)

    # The methods of door.Host, each followed by the events that it schedules
    def send(self, view, endpoint, timeout, attempt):
        rng = self.rng
        self.open_attempts[attempt] = True
        if endpoint in self.unresponsive:
            self.schedule(timeout, self.end_attempt, view, attempt, door.TOO_SLOW)
        elif rng.random() < (0.1 if self.memory_shares[endpoint] > 0.75 else 0.01):
            self.schedule(2 * MS, self.end_attempt, view, attempt, door.NO_ROOM)
        elif attempt.is_prefill:
            self.schedule(
                (15 + view.prompt / 20) * MS * (1 + self.memory_shares[endpoint]),
                self.end_attempt,
                view,
                attempt,
                door.READ,
            )
        else:
            time_to_first_token = rng.uniform(20, 80) * MS * (1 + 3 * self.memory_shares[endpoint])
            self.schedule(
                min(time_to_first_token, timeout),
                self.send_first_token,
                view,
                attempt,
                time_to_first_token > timeout,
            )

    def send_first_token(self, view, attempt, timed_out):
        if attempt in self.open_attempts:
            if timed_out:
                return self.end_attempt(view, attempt, door.TOO_SLOW)
            self.router.first_token(self.now, view, attempt)
            self.schedule(self.rng.uniform(0.2, 2.0) * S, self.end_attempt, view, attempt, door.DONE)

    def end_attempt(self, view, attempt, outcome):
        if self.open_attempts.pop(attempt, None):
            endpoint, rng = attempt.worker.endpoint, self.rng
            self.memory_shares[endpoint] = min(1.0, max(0.05, self.memory_shares[endpoint] + rng.uniform(-0.05, 0.05)))
            report = (
                None
                if outcome == door.TOO_SLOW
                else door.LoadReport(
                    held=float(rng.randrange(5)),
                    memory_share=None if endpoint.role == "read" else self.memory_shares[endpoint],
                    tokens_waiting=rng.uniform(0, 2000) * self.memory_shares[endpoint],
                )
            )
            cached_tokens = view.prompt // 2 if outcome == door.READ and rng.random() < 0.9 else 0
            self.router.outcome(self.now, view, attempt, outcome, outcome == door.DONE, cached_tokens, report)

    def hold_place(self, view, endpoint):
        self.schedule(3 * MS, self.answer_reservation, view, endpoint, self.rng.random() < 0.95)

    def answer_reservation(self, view, endpoint, reserved):
        self.router.place(self.now, view, endpoint, reserved)

    def withdraw(self, view, attempt):
        self.schedule(2 * MS, self.end_attempt, view, attempt, door.UNDONE)

    def remind(self, wait, note):
        self.schedule(wait, self.fire_timer, note)

    def fire_timer(self, note):
        self.router.reminded(self.now, note)

    def probe(self, endpoint):
        raise AssertionError("a router without the probe capability sent a probe")

    def let_go(self, view):
        pass

    def turn_back(self, view, come_back):
        pass

    def scrap(self, view):
        pass

    def log(self, line):
        pass


def record(size, path):
    """Simulates one grid point and records its events in the file."""
    fleet = SimulatedFleet(size, lambda host, **kwargs: events.Recorder(Router, path, host, **kwargs, about=f"{size}"))
    fleet.simulate()
    fleet.router.close()
    return path


def measure(size, path, versions, rounds):
    """{version: {event: (count, microseconds per event)}}: the minimum of several rounds, the versions in turn.

    Raises replay.Difference.
    """
    min_costs = {}
    for _ in range(rounds):
        for name, router in versions.items():
            for event, (count, cpu_s) in replay.replay(path, router).items():
                us = cpu_s / count * 1e6
                previous = min_costs.setdefault(name, {}).get(event, (count, us))
                min_costs[name][event] = count, min(us, previous[1])
    return min_costs


def us_per_event(costs):
    """Mean over all events."""
    return sum(count * us for count, us in costs.values()) / sum(count for count, _ in costs.values())


def us_per_request(costs):
    """All events together, divided by the number of requests."""
    return sum(count * us for count, us in costs.values()) / costs["arrived"][0]


def run(
    folder,
    versions,
    *,
    workers=WORKER_COUNTS,
    routers=ROUTER_COUNTS,
    questions=300,
    load=1.0,
    rounds=2,
    say=print,
    subset=False,
):
    """Measures the whole grid; returns the mean cost per event by grid point and version.

    Writes folder/cost.csv, with a row for each grid point, version and kind of event, and folder/cost.svg.
    """
    folder, means = Path(folder), {}
    folder.mkdir(parents=True, exist_ok=True)
    with open(folder / "cost.csv", "w", newline="") as file:
        table = csv.writer(file)
        table.writerow(["workers", "routers", "load", "seed", "text", "event", "times", "us_each"])
        for worker_count in workers:
            for router_count in routers:
                size, started = Size(worker_count, router_count, questions, load), time.monotonic()
                costs = measure(size, record(size, folder / f"{worker_count}x{router_count}.rec"), versions, rounds)
                if subset:  # the same requests cause other events, so that only the CPU time per request compares
                    subset_costs = measure(
                        size,
                        record(replace(size, subset=True), folder / f"{worker_count}x{router_count}-part.rec"),
                        {"subset": Router},
                        rounds,
                    )["subset"]
                    full_costs = costs[list(versions)[-1]]
                    say(
                        f"{worker_count:4} workers, 1/{router_count:<3} of the traffic, subset: "
                        f"{us_per_request(subset_costs):7.1f} us a question, "
                        f"whole list {us_per_request(full_costs):7.1f}, "
                        f"ratio {us_per_request(subset_costs) / us_per_request(full_costs):.2f}"
                    )
                    table.writerows(
                        [worker_count, router_count, load, size.seed, "subset", event, count, round(us, 2)]
                        for event, (count, us) in sorted(subset_costs.items())
                    )
                for name, event_costs in costs.items():
                    means[worker_count, router_count, name] = us_per_event(event_costs)
                    table.writerows(
                        [worker_count, router_count, load, size.seed, name, event, count, round(us, 2)]
                        for event, (count, us) in sorted(event_costs.items())
                    )
                say(
                    f"{worker_count:4} workers, 1/{router_count:<3} of the traffic: "
                    + ", ".join(f"{name} {means[worker_count, router_count, name]:7.1f} us" for name in versions)
                    + (f", ratio {ratio(means, worker_count, router_count, versions):.2f}" if len(versions) > 1 else "")
                    + f" ({time.monotonic() - started:.1f} s)"
                )
    chart(means, versions, folder / "cost.svg")
    return means


def ratio(means, workers, routers, versions):
    first, *_, last = versions
    return means[workers, routers, last] / means[workers, routers, first]


def chart(means, versions, path):
    """Plots the cost per event against the number of workers, a line for each version and number of routers."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "cost"  # the same data gives the same file
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for name, style in zip(versions, ("--", "-", ":")):
        for number, router_count in enumerate(sorted({r for _, r, _ in means})):
            worker_counts = sorted({w for w, r, n in means if (r, n) == (router_count, name)})
            axes.plot(
                worker_counts,
                [means[w, router_count, name] for w in worker_counts],
                style,
                color=f"C{number}",
                marker="o",
                markersize=3,
                label=f"{name}, 1/{router_count} of the traffic",
            )
    axes.set(xlabel="workers", ylabel="us of CPU an event", xscale="log", yscale="log")
    axes.legend(fontsize=7)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
