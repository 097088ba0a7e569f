"""A minimal host of the decision module for tests; records the module's actions."""

from itertools import count

from ramppulley import door
from ramppulley.rules import Router

MS, S = 10, 10_000
LAW = dict(
    drain_grace=2 * S,
    cold_from=0.28,
    cold_for=14 * S,
    cold_multiple=4.0,
    cold_window=3 * S,
    let_go_within=3000,
    step=40,
)


class FakeHost:
    def __init__(self, endpoints, effect="pure", group="all", routers=2, seed=1, accounts=(), **permits):
        self.asked, self.lines, self.timers, self.now, self.endpoints = [], [], [], 0, endpoints
        self.count = count()
        self.case = door.RequestClass(12_000, 400, 60_000, 600, 1.0, effect, group, 5 * S)
        self.router = Router(
            self,
            seed=seed,
            routers=routers,
            zone=0,
            use_cases=[self.case],
            accounts=list(accounts),
            permits=door.Capabilities(**permits),
            lawbook=door.PolicySettings(**LAW),
        )
        self.router.listed(0, endpoints)

    def send(self, view, endpoint, timeout, attempt):
        self.asked.append(("send", view, endpoint, attempt))

    def __getattr__(self, method):
        return lambda *args: self.asked.append((method, *args))

    def log(self, line):
        self.lines.append(line)

    def remind(self, wait, note):
        self.timers.append((self.now + wait, next(self.count), note))

    # Called by tests
    def ask(self, prompt=1000, patience=60_000, session="a", prefix="", prefix_tokens=0, case=None, **more):
        view = door.RequestView(case or self.case, prompt, 300, patience, session, prefix, prefix_tokens, **more)
        self.router.arrived(self.now, view)
        return view

    def told(self, method, view=None):
        return [action for action in self.asked if action[0] == method and (view is None or action[1] is view)]

    def last(self, view):
        return self.told("send", view)[-1]

    def ends(self, view, outcome, final=False, kept=0, report=None):
        self.router.outcome(self.now, view, self.last(view)[3], outcome, final, kept, report)

    def first(self, view):
        self.router.first_token(self.now, view, self.last(view)[3])

    def wait(self, span):
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.router.reminded(self.now, timer[2])
        self.now = until


def endpoint(mark, role, cell=0, **more):
    return door.Endpoint(mark=mark, role=role, cell=cell, zone=more.pop("zone", 0), memory=100_000, **more)


def fleet():
    """Two groups, each with two prefill workers and two decode workers."""
    return [
        endpoint(10 * cell + n, role, cell)
        for cell in (0, 1)
        for n, role in enumerate(("read", "read", "write", "write"))
    ]
