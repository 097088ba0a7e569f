"""A fleet of real decision modules on a virtual clock, in which workers restart: measures the load that all routers together
put on a worker during its slow start.

Prefill workers run one prefill after another at a given pace, decode workers answer at once; traffic is uneven between
routers and its prompt lengths are heavy-tailed. Each router learns of a start after a delay of its own.
"""

import sys
from math import log, sqrt
from random import Random

from virtual_time import LAW, S, VirtualTime

from ramppulley import door
from ramppulley.rules import Router

TOKENS_PER_S = 12_500  # of a prefill worker at full capacity
MEAN_PROMPT_TOKENS = 5500
MIN_PROMPT_TOKENS = 3500
PROMPT_SIGMA = 1.3  # of the lognormal length beyond the minimum
DISCOVERY_DELAY = 3 * S // 10, 18 * S // 10  # until a router learns of a start


class SimulatedWorker:
    def __init__(self, worker_role, started_at=None):
        # `work` has the time of each attempt and its prompt length over the mean.
        self.role, self.started_at, self.busy_until, self.work = worker_role, started_at, 0, []

    def capacity_share(self, now):
        """Its present part of its full capacity, which rises evenly while it warms up."""
        if self.started_at is None:
            return 1.0
        return min(1.0, LAW.cold_from + (1 - LAW.cold_from) * (now - self.started_at) / LAW.cold_for)

    def budget(self, now):
        """N: requests of mean length that it may be sent in one window."""
        return LAW.cold_multiple * self.capacity_share(now) * TOKENS_PER_S / MEAN_PROMPT_TOKENS * LAW.cold_window / S


class Host:
    def __init__(self, world, routers):
        self.world, self.endpoints = world, {}
        self.router = Router(
            self,
            seed=world.random.getrandbits(32),
            routers=routers,
            zone=0,
            use_cases=[world.request_class],
            accounts=[],
            permits=door.Capabilities(probes=True, longest_wait=S // 2),
            lawbook=LAW,
            now=world.now,
        )

    def list_workers(self, marks, state="ready"):
        for mark in marks:
            worker = self.world.workers[mark]
            endpoint = door.Endpoint(mark, worker.role, cell=mark % 4, zone=0, memory=440_000, born=worker.started_at)
            self.endpoints.setdefault(mark, endpoint).state = state
        self.router.listed(self.world.now, [self.endpoints[mark] for mark in marks])

    def send(self, view, endpoint, timeout, attempt):
        self.world.start_attempt(self, view, endpoint, attempt)

    def probe(self, endpoint):
        waiting = max(0, self.world.workers[endpoint.mark].busy_until - self.world.now) / S * TOKENS_PER_S
        self.world.after(
            20,
            lambda: self.router.probed(
                self.world.now, endpoint, door.DONE, door.LoadReport(memory_share=0.1, tokens_waiting=waiting)
            ),
        )

    def remind(self, wait, note):
        self.world.after(wait, lambda: self.router.reminded(self.world.now, note))

    def __getattr__(self, word):
        if word not in ("let_go", "withdraw", "turn_back", "scrap", "log"):
            raise AttributeError(word)
        return lambda *_: None


class World(VirtualTime):
    """`load`: share of all workers' capacity. `warming`: share of the prefill workers that is replaced at `at`, within 3 s.
    `restarts`: number of routers that restart without their state."""

    def __init__(self, seed, routers, load=1.0, warming=0.6, workers=16, at=8 * S, restarts=0):
        super().__init__()
        self.random = Random(seed)
        self.request_class = door.RequestClass(12_000, 840, 75_000, 650)
        self.workers = {
            mark: SimulatedWorker("read" if mark < 1000 else "write")
            for mark in [*range(1, workers + 1), *range(1001, workers + 1001)]
        }
        first, self.hosts, self.starts, self.at = list(self.workers), [], [], at
        self.hosts = [Host(self, routers) for _ in range(routers)]
        # Some routers get several times the mean traffic.
        weights = [self.random.expovariate(1) ** 2 + 0.05 for _ in self.hosts]
        for i, weight in enumerate(weights):
            self.hosts[i].list_workers(first)
            self.arrivals(i, load * workers * TOKENS_PER_S / MEAN_PROMPT_TOKENS * weight / sum(weights))
        for mark in self.random.sample(first[:workers], int(warming * workers)):
            self.after(at + self.random.randrange(3 * S), lambda mark=mark: self.replace(mark))
        for i in range(restarts):
            self.after(at + self.random.randrange(4 * S), lambda i=i: self.restart(i))

    def arrivals(self, i, rate):
        def arrive():
            rest = self.random.lognormvariate(
                log(MEAN_PROMPT_TOKENS - MIN_PROMPT_TOKENS) - PROMPT_SIGMA**2 / 2, PROMPT_SIGMA
            )
            view = door.RequestView(
                self.request_class,
                min(MIN_PROMPT_TOKENS + int(rest), 61_000),
                300,
                6 * S,
                f"s{next(self.order)}",
                likely_out=60,
            )
            self.hosts[i].router.arrived(self.now, view)
            self.after(self.random.expovariate(rate) * S, arrive)

        self.after(self.random.expovariate(rate) * S, arrive)

    def replace(self, mark):
        new = mark + 100
        self.workers[new] = SimulatedWorker(self.workers[mark].role, self.now)
        self.starts.append(new)
        for i in range(len(self.hosts)):
            self.after(
                self.random.randrange(*DISCOVERY_DELAY),
                lambda i=i: (self.hosts[i].list_workers([mark], "gone"), self.hosts[i].list_workers([new])),
            )

    def restart(self, i):
        """Replaces a router by a new one with the same list of workers; later events of the old one do not reach it."""
        known, self.hosts[i] = self.hosts[i].endpoints, Host(self, len(self.hosts))
        for mark, endpoint in known.items():
            self.hosts[i].list_workers([mark], endpoint.state)

    def start_attempt(self, host, view, endpoint, attempt):
        worker = self.workers[endpoint.mark]
        worker.work.append((self.now, view.prompt / MEAN_PROMPT_TOKENS))

        def end(outcome, closed):
            if attempt in attempt.request.open_attempts:
                host.router.outcome(self.now, view, attempt, outcome, closed or attempt.request.closed, 0, None)

        if worker.role == "read":
            worker.busy_until = max(worker.busy_until, self.now) + int(
                view.prompt / (TOKENS_PER_S * worker.capacity_share(self.now)) * S
            )
            self.after(worker.busy_until - self.now, lambda: end(door.READ, False))
        else:

            def begin():
                if attempt in attempt.request.open_attempts and not attempt.request.closed:
                    host.router.first_token(self.now, view, attempt)
                    self.after(4000, lambda: end(door.DONE, True))
                else:
                    end(door.UNDONE, False)

            self.after(500, begin)

    def worst_excess(self, mark):
        """The most work that it got in one window while it warmed up, over the bound N + 2 * sqrt(N) + 2."""
        worker, work, first, most = self.workers[mark], 0.0, 0, 0.0
        for at, more in worker.work:
            if at > worker.started_at + LAW.cold_for:
                break
            work += more
            while worker.work[first][0] <= at - LAW.cold_window:
                work -= worker.work[first][1]
                first += 1
            allowed = worker.budget(max(worker.started_at, worker.work[first][0]))
            most = max(most, work / (allowed + 2 * sqrt(allowed) + 2))
        return most

    def budget_used(self):
        """Work that all restarted workers got in their first 5 s, as a share of what the settings allow, N a window."""
        used = allowed = 0.0
        for worker in map(self.workers.get, self.starts):
            used += sum(work for at, work in worker.work if at <= worker.started_at + 5 * S)
            allowed += sum(worker.budget(worker.started_at + t) for t in range(0, 5 * S, LAW.cold_window // 10)) / 10
        return used / allowed


def main(seeds):
    """Prints the figures for the table of docs/design.md, with the decision module that is imported."""
    for routers, restarts in ((2, 0), (20, 0), (30, 0), (200, 0), (30, 20)):
        excesses, shares = [], []
        for seed in range(1, (seeds // 2 if routers > 30 or restarts else seeds) + 1):
            world = World(seed, routers, restarts=restarts).run(20 * S)
            excesses += map(world.worst_excess, world.starts)
            shares.append(world.budget_used())
        print(
            f"{routers} routers, {restarts} forget: {len(excesses)} starts, {sum(e > 1 for e in excesses)} over the bound, "
            f"worst {max(excesses):.2f}, used {min(shares):.2f} to {max(shares):.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if sys.argv[1:] else 40)
