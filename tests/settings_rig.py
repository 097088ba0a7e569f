"""What the tests of settings share: settings objects, and routers that play them.

The tests in test_settings_*.py show that classes, tenants, limits, deadlines, effects and costs come from the settings in
force, and from nothing else. Most play the decision module in simulated time: `PlayedRouter` is its host, made from a
settings object by `Profile`, with workers that answer, refuse, break and fall silent by numbers drawn for each attempt.
Others send SIGHUP to a router on real connections.
"""

import asyncio
import copy
import json
import os
import signal
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from fakehost import S
from hypothesis import HealthCheck, settings
from platform_rig import SETTINGS as NODE_SETTINGS

from ramppulley import door
from ramppulley.profile import Profile
from ramppulley.rules import Router

BOUNDED = settings(derandomize=True, deadline=None, max_examples=5, suppress_health_check=list(HealthCheck))
SETTINGS = {
    "Azs": ["north", "south"],
    "Kinds": ["prefill", "decode", "mixed"],
    "MyZone": 0,
    "NInstances": 3,
    "OverShareWorth": 0.2,
    "ResolutionS": 0.004,
    "Bounds": {
        "Cancel": True,
        "ConnIdleS": 15.0,
        "ConnectTimeoutS": 0.25,
        "MaxRetryAfterS": 0.5,
        "Probing": True,
        "RetryAfter": True,
        "SendCap": 3,
    },
    "Lanes": [
        {"Name": "lookup", "AimS": 1.2, "Credit": 1.0, "Effect": "free", "GiveUpS": 6.0},
        {"Name": "lodge", "AimS": 1.6, "Credit": 2.0, "Effect": "single_shot", "GiveUpS": 8.0},
        {
            "Name": "amend",
            "AimS": 1.4,
            "Credit": 3.0,
            "Effect": "guarded",
            "GiveUpS": 7.0,
            "KeyScope": "zone",
            "WindowS": 3.0,
        },
    ],
    "Tenants": [
        {"Name": "quay", "QuotaPerS": 6.0},
        {"Name": "mill", "QuotaPerS": 3.0},
        {"Name": "lock", "QuotaPerS": 0.5},
    ],
    "Report": {"Fields": ["x0", "x1"], "How": "probe"},
    "Rules": {"ColdFrom": 0.3, "ColdS": 4.0, "DrainGraceS": 0.5, "FallMultiple": 3.0, "FallS": 1.5},
    "Specifics": {
        "AimUsPer1000PromptTokens": [40000.0, 60000.0, 50000.0],
        "MemoryTokens": [200000, 60000, 90000],
        "ReleaseS": 0.5,
        "RoleByKind": ["read", "write", "both"],
        "TokenAimS": [0.06, 0.08, 0.07],
    },
}
LASTS = 12 * S  # of a played day
KINDS = ["prefill", "prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "mixed"]


def changed(*fields, of=SETTINGS):
    """The settings with some fields set; each as (path, value)."""
    told = copy.deepcopy(of)
    for path, value in fields:
        *above, last = path
        part = told
        for word in above:
            part = part[word]
        part[last] = value
    return told


def arrivals(seed, many=90, span=5.0):
    """Requests as (seconds, class, tenant, prompt, session, prefix, patience in seconds, length's hint)."""
    random, told = Random(seed), []
    for _ in range(many):
        told.append(
            (
                random.uniform(0, span),
                random.choice(("lookup", "lookup", "lodge", "amend")),
                random.choice(("quay", "quay", "mill", "lock", "")),
                int(random.lognormvariate(7, 0.8)),
                f"s{random.randrange(30)}",
                random.choice(("", "pa", "pb")),
                random.uniform(0.6, 6.0),
                random.choice((None, 40, 200)),
            )
        )
    return sorted(told)


class PlayedRouter:
    """One router of these settings in simulated time. `actions` holds all that its module asked for, with the times.

    `unit`: ticks of the clock to a tenth of a millisecond, for a clock and a fleet that run so many times slower. Workers
    act by numbers drawn for the request and the attempt, so that two routers that decide alike see the same.
    """

    def __init__(self, told, plan, seed=1, unit=1, make=Router):
        self.unit, self.seed, self.now, self.calls, self.order = unit, seed, 0, [], count()
        self.profile = Profile(told)
        self.actions, self.numbers, self.attempts, self.out, self.ended = [], {}, {}, {}, set()
        self.router = self.profile.router(make, self, seed, 0)
        names = [f"{kind}-{i}" for i, kind in enumerate(KINDS)]
        self.endpoints = {
            name: door.Endpoint(
                mark=i * 7919 + 17,
                role=self.profile.roles[self.profile.kinds.index(name.partition("-")[0])],
                cell=i % 3,
                zone=i % 2,
                memory=int(self.profile.memory[self.profile.kinds.index(name.partition("-")[0])]),
            )
            for i, name in enumerate(names)
        }
        self.names = {endpoint: name for name, endpoint in self.endpoints.items()}
        self.busy = dict.fromkeys(names, 0)
        self.router.listed(0, list(self.endpoints.values()))
        for number, request in enumerate(plan):
            self.after(self.ticks(request[0]), self.arrive, number, *request[1:])
        for at, name, state, born in ((1.0, "prefill-0", "ready", True), (1.5, "decode-4", "draining", False)):
            self.after(self.ticks(at), self.listed, name, state, born)
        for at, name, state, born in ((2.0, "decode-5", "gone", False), (2.4, "decode-4", "ready", True)):
            self.after(self.ticks(at), self.listed, name, state, born)

    # Time
    def ticks(self, seconds):
        """Whole tenths of a millisecond first, so that all clocks round alike."""
        return round(seconds * S) * self.unit

    def after(self, wait, call, *args):
        heappush(self.calls, (self.now + max(0, wait), next(self.order), call, args))

    def next_at(self):
        return self.calls[0][0] if self.calls else inf

    def step(self):
        self.now, _, call, args = heappop(self.calls)
        call(*args)

    def run(self, until=LASTS):
        while self.next_at() <= until * self.unit:
            self.step()
        return self

    # What happens
    def arrive(self, number, case, tenant, prompt, session, prefix, patience, hint):
        names = self.profile.tenant_names
        view = door.RequestView(
            self.profile.use_cases[self.profile.class_names.index(case)],
            prompt=prompt,
            most_out=300,
            patience=self.ticks(patience),
            session=session,
            prefix=prefix,
            prefix_tokens=prompt // 3 if prefix else 0,
            likely_out=hint,
            account=names.index(tenant) if tenant in names else len(names),
            benefit_share=self.profile.over_share,
        )
        self.numbers[view], self.attempts[view] = number, 0
        self.router.arrived(self.now, view)

    def listed(self, name, state, born):
        endpoint = self.endpoints[name]
        endpoint.state = state
        if born:
            endpoint.born = self.now
        self.router.listed(self.now, [endpoint])

    # What the module asks for
    def write(self, word, *more):
        self.actions.append((self.now, word, *more))

    def send(self, view, endpoint, time_out, send):
        name, number, attempt = self.names[endpoint], self.numbers[view], self.attempts[view]
        self.attempts[view] += 1
        self.write("send", number, name, time_out)
        self.out[send] = view
        rng = Random(f"{self.seed}/{number}/{attempt}")
        chance, reads = rng.random(), endpoint.role == "read"
        if reads or not attempt:
            start = max(self.now, self.busy[name])
            self.busy[name] = start + self.ticks(view.prompt * 0.15 / 1000)
            wait = self.busy[name] - self.now
        else:
            wait = self.ticks(rng.uniform(0.02, 0.3))
        outcome = door.READ if reads else door.DONE
        for part, other in ((0.06, door.NO_ROOM), (0.1, door.CUT), (0.14, door.FAULT), (0.17, door.NO_ROUTE)):
            if chance < part:
                outcome, wait = other, self.ticks(rng.uniform(0.005, 0.1))
                break
        else:
            if chance < 0.21:
                wait = self.ticks(99)
        if wait >= time_out:
            self.after(time_out, self.end, send, door.TOO_SLOW)
        elif outcome == door.DONE:
            self.after(wait, self.first, send, self.ticks(rng.uniform(0.3, 2.5)))
        else:
            self.after(wait, self.end, send, outcome)

    def first(self, send, stream):
        view = self.out.get(send)
        if view is None:
            return
        if view in self.ended:
            self.end(send, door.UNDONE)
        else:
            self.router.first_token(self.now, view, send)
            self.after(stream, self.end, send, door.DONE)

    def end(self, send, outcome):
        view = self.out.pop(send, None)
        if view is not None:
            if outcome == door.DONE:
                self.ended.add(view)
            kept = view.prompt // 4 if outcome in (door.READ, door.DONE) else 0
            self.router.outcome(self.now, view, send, outcome, view in self.ended, kept, None)

    def withdraw(self, view, send):
        self.write("withdraw", self.numbers[view])
        self.after(20 * self.unit, self.end, send, door.UNDONE)

    def probe(self, endpoint):
        name = self.names[endpoint]
        self.write("probe", name)
        waiting = max(0, self.busy[name] - self.now) / self.unit
        rng = Random(f"{self.seed}/{name}/{round(self.now / self.unit / 50)}")
        if rng.random() < 0.1:
            self.after(self.ticks(0.25), self.probed, endpoint, door.TOO_SLOW, None)
        else:
            self.after(
                30 * self.unit, self.probed, endpoint, door.DONE, self.profile.report({"x0": 0.3, "x1": waiting / 4e3})
            )

    def probed(self, endpoint, outcome, report):
        self.router.probed(self.now, endpoint, outcome, report)

    def turn_back(self, view, come_back):
        self.ended.add(view)
        self.write("turn_back", self.numbers[view], come_back)

    def scrap(self, view):
        self.ended.add(view)
        self.write("scrap", self.numbers[view])

    def let_go(self, view):
        self.write("let_go", self.numbers[view])

    def hold_place(self, view, endpoint):
        self.write("hold_place", self.numbers[view], self.names[endpoint])

    def remind(self, wait, note):
        self.write("remind", wait)
        self.after(wait, lambda: self.router.reminded(self.now, note))

    def log(self, line):
        self.write("log", line)


def played(told, plan, **more):
    return PlayedRouter(told, plan, **more).run().actions


async def sighup(world, folder, settings=None, **fields):
    """The configuration is replaced and the process gets the signal, as `run` wires it; returns the line that it logged."""
    path, before = folder / "config.json", len(world.lines.text)
    config = world.config() | ({"settings": settings} if settings is not None else {}) | fields
    path.write_text(json.dumps({key: value for key, value in config.items() if value is not ABSENT}))
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, world.node.reload, path)
    os.kill(os.getpid(), signal.SIGHUP)
    await world.until(lambda: "new configuration" in world.lines.text[before:])
    return next(line for line in world.lines.text[before:].splitlines() if "new configuration" in line)


ABSENT = object()
LOOKUP, LODGE = NODE_SETTINGS["Lanes"]
ONLY_NEW = changed((("Lanes",), [LOOKUP | {"Name": "inquiry"}, LODGE | {"Name": "deposit"}]), of=NODE_SETTINGS)


class Held:
    """A worker's answer: `head` at once, `rest` when it is let go; `reached` says that the request is there."""

    def __init__(self, head=b"", rest=b"", then=None):
        self.head, self.rest, self.then = head, rest, then
        self.reached, self.go = asyncio.Event(), asyncio.Event()

    async def __call__(self, transport):
        if self.head:
            await transport.send(self.head)
        self.reached.set()
        await self.go.wait()
        if self.rest:
            await transport.send(self.rest)
        if self.then:
            self.then(transport)


def decode_attempts(world):
    return sum(len(writer.of("POST")) for writer in world.writers)


async def in_decode(world, name, **headers):
    """Asks, and returns once the request is at a decode worker, which will break its connection; others answer."""
    held = Held(then=lambda transport: transport.reset())
    for writer in world.writers:
        writer.scripts.append(held)
    asking = asyncio.create_task(world.ask(name, **headers))
    await world.until(held.reached.is_set)
    for writer in world.writers:
        writer.scripts.clear()
    return asking, held
