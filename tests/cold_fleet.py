"""A fleet of real modules in played time, in which workers start anew: what a cold one is sent by all of them together.

Prefill workers read one after another at a stated pace, decode workers answer at once; traffic is uneven and its prompts are
heavy-tailed. Every router hears of each start at a time of its own.
"""

import sys
from math import log, sqrt
from random import Random

from virtual_time import LAW, S, VirtualTime

from ramppulley import door
from ramppulley.rules import Router

PACE, MEAN, SHARED, SPREAD = 12_500, 5500, 3500, 1.3  # tokens a second; of a prompt: tokens, least, sigma of the rest
HEARD = 3 * S // 10, 18 * S // 10  # when a router hears of a start, after it


class Server:
    def __init__(self, box_role, born=None):
        self.role, self.born, self.free, self.sent = box_role, born, 0, []

    def part(self, now):
        """Of its capacity; a straight rise while it is cold."""
        if self.born is None:
            return 1.0
        return min(1.0, LAW.cold_from + (1 - LAW.cold_from) * (now - self.born) / LAW.cold_for)

    def allowed(self, now):
        """N: requests of mean work in one window."""
        return LAW.cold_multiple * self.part(now) * PACE / MEAN * LAW.cold_window / S


class Host:
    def __init__(self, world, routers):
        self.world, self.endpoints = world, {}
        self.router = Router(
            self,
            seed=world.random.getrandbits(32),
            routers=routers,
            zone=0,
            use_cases=[world.case],
            accounts=[],
            permits=door.Capabilities(probes=True, longest_wait=S // 2),
            lawbook=LAW,
            now=world.now,
        )

    def told(self, marks, state="ready"):
        for mark in marks:
            server = self.world.servers[mark]
            endpoint = door.Endpoint(mark, server.role, cell=mark % 4, zone=0, memory=440_000, born=server.born)
            self.endpoints.setdefault(mark, endpoint).state = state
        self.router.listed(self.world.now, [self.endpoints[mark] for mark in marks])

    def send(self, view, endpoint, time_out, attempt):
        self.world.sent(self, view, endpoint, attempt)

    def probe(self, endpoint):
        waiting = max(0, self.world.servers[endpoint.mark].free - self.world.now) / S * PACE
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
    """`load`: of all workers' capacity; `cold`: the part of the workers that is replaced at `at`, all within 3 s."""

    def __init__(self, seed, routers, load=1.0, cold=0.6, workers=16, at=8 * S, forgetful=0):
        super().__init__()
        self.random = Random(seed)
        self.case = door.RequestClass(12_000, 840, 75_000, 650)
        self.servers = {
            mark: Server("read" if mark < 1000 else "write")
            for mark in [*range(1, workers + 1), *range(1001, workers + 1001)]
        }
        first, self.hosts, self.starts, self.at = list(self.servers), [], [], at
        self.hosts = [Host(self, routers) for _ in range(routers)]
        weights = [self.random.expovariate(1) ** 2 + 0.05 for _ in self.hosts]  # some have several times the mean
        for i, weight in enumerate(weights):
            self.hosts[i].told(first)
            self.arrivals(i, load * workers * PACE / MEAN * weight / sum(weights))
        for mark in self.random.sample(first[:workers], int(cold * workers)):
            self.after(at + self.random.randrange(3 * S), lambda mark=mark: self.replace(mark))
        for i in range(forgetful):
            self.after(at + self.random.randrange(4 * S), lambda i=i: self.restart(i))

    def arrivals(self, i, rate):
        def arrive():
            rest = self.random.lognormvariate(log(MEAN - SHARED) - SPREAD**2 / 2, SPREAD)
            view = door.RequestView(
                self.case, min(SHARED + int(rest), 61_000), 300, 6 * S, f"s{next(self.order)}", likely_out=60
            )
            self.hosts[i].router.arrived(self.now, view)
            self.after(self.random.expovariate(rate) * S, arrive)

        self.after(self.random.expovariate(rate) * S, arrive)

    def replace(self, mark):
        new = mark + 100
        self.servers[new] = Server(self.servers[mark].role, self.now)
        self.starts.append(new)
        for i in range(len(self.hosts)):
            self.after(
                self.random.randrange(*HEARD),
                lambda i=i: (self.hosts[i].told([mark], "gone"), self.hosts[i].told([new])),
            )

    def restart(self, i):
        """That router starts over with its list: what comes for the old one is nothing to the new one."""
        known, self.hosts[i] = self.hosts[i].endpoints, Host(self, len(self.hosts))
        for mark, endpoint in known.items():
            self.hosts[i].told([mark], endpoint.state)

    def sent(self, host, view, endpoint, attempt):
        server = self.servers[endpoint.mark]
        server.sent.append((self.now, view.prompt / MEAN))

        def ends(outcome, closed):
            if attempt in attempt.request.open_attempts:
                host.router.outcome(self.now, view, attempt, outcome, closed or attempt.request.closed, 0, None)

        if server.role == "read":
            server.free = max(server.free, self.now) + int(view.prompt / (PACE * server.part(self.now)) * S)
            self.after(server.free - self.now, lambda: ends(door.READ, False))
        else:

            def begins():
                if attempt in attempt.request.open_attempts and not attempt.request.closed:
                    host.router.first_token(self.now, view, attempt)
                    self.after(4000, lambda: ends(door.DONE, True))
                else:
                    ends(door.UNDONE, False)

            self.after(500, begins)

    def worst(self, mark):
        """The most work that it was sent in one window while it was cold, over N + 2 x root of N + 2."""
        server, work, first, most = self.servers[mark], 0.0, 0, 0.0
        for at, more in server.sent:
            if at > server.born + LAW.cold_for:
                break
            work += more
            while server.sent[first][0] <= at - LAW.cold_window:
                work -= server.sent[first][1]
                first += 1
            allowed = server.allowed(max(server.born, server.sent[first][0]))
            most = max(most, work / (allowed + 2 * sqrt(allowed) + 2))
        return most

    def used(self):
        """The part of what the settings allow all cold ones, over N, that they were sent in their first 5 s."""
        did = may = 0.0
        for server in map(self.servers.get, self.starts):
            did += sum(work for at, work in server.sent if at <= server.born + 5 * S)
            may += sum(server.allowed(server.born + t) for t in range(0, 5 * S, LAW.cold_window // 10)) / 10
        return did / may


def main(seeds):
    """The table of docs/design.md, on the text that is imported."""
    for routers, forgetful in ((2, 0), (20, 0), (30, 0), (200, 0), (30, 20)):
        worst, used = [], []
        for seed in range(1, (seeds // 2 if routers > 30 or forgetful else seeds) + 1):
            world = World(seed, routers, forgetful=forgetful).run(20 * S)
            worst += map(world.worst, world.starts)
            used.append(world.used())
        print(
            f"{routers} routers, {forgetful} forget: {len(worst)} starts, {sum(w > 1 for w in worst)} over the bound, "
            f"worst {max(worst):.2f}, used {min(used):.2f} to {max(used):.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if sys.argv[1:] else 40)
