"""Shared by the tests of settings: settings objects, and routers that run with them.

The tests in test_settings_*.py show that request classes, tenants, limits, deadlines, effects and costs come from the
settings in force, and from nothing else. Most run the decision module in simulated time: `SimulatedRouter` is its host, made
from a settings object by `Profile`. Its workers respond, reject, fail or stay silent by random numbers drawn for each
attempt. Other tests send SIGHUP to a router on real connections.
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
DURATION = 12 * S  # of a simulated run
KINDS = ["prefill", "prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "mixed"]


def with_changes(*fields, of=SETTINGS):
    """A copy of the settings with some fields set, each given as (path, value)."""
    settings_object = copy.deepcopy(of)
    for path, value in fields:
        *parents, last = path
        parent = settings_object
        for key in parents:
            parent = parent[key]
        parent[last] = value
    return settings_object


def request_plan(seed, count=90, span=5.0):
    """Requests as (arrival in seconds, class, tenant, prompt, session, prefix, deadline in seconds, expected output)."""
    random, requests = Random(seed), []
    for _ in range(count):
        requests.append(
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
    return sorted(requests)


class SimulatedRouter:
    """One router with these settings in simulated time. `actions` records all actions of its module, with their times.

    `time_scale`: ticks of the clock per tenth of a millisecond, for a clock and a fleet that run slower by this factor.
    Workers respond by random numbers seeded by the request and the attempt, so that two routers that make the same decisions
    see the same responses.
    """

    def __init__(self, settings_object, plan, seed=1, time_scale=1, make=Router):
        self.time_scale, self.seed, self.now, self.timers, self.sequence = time_scale, seed, 0, [], count()
        self.profile = Profile(settings_object)
        self.actions, self.request_numbers, self.attempts, self.open_attempts, self.answered = [], {}, {}, {}, set()
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
        self.busy_until = dict.fromkeys(names, 0)
        self.router.listed(0, list(self.endpoints.values()))
        for number, request in enumerate(plan):
            self.after(self.ticks(request[0]), self.arrive, number, *request[1:])
        for at, name, state, born in ((1.0, "prefill-0", "ready", True), (1.5, "decode-4", "draining", False)):
            self.after(self.ticks(at), self.listed, name, state, born)
        for at, name, state, born in ((2.0, "decode-5", "gone", False), (2.4, "decode-4", "ready", True)):
            self.after(self.ticks(at), self.listed, name, state, born)

    # Simulated time
    def ticks(self, seconds):
        """Clock ticks of a time. It is rounded to tenths of a millisecond first, so that all time scales round alike."""
        return round(seconds * S) * self.time_scale

    def after(self, wait, call, *args):
        heappush(self.timers, (self.now + max(0, wait), next(self.sequence), call, args))

    def next_at(self):
        return self.timers[0][0] if self.timers else inf

    def step(self):
        self.now, _, call, args = heappop(self.timers)
        call(*args)

    def run(self, until=DURATION):
        while self.next_at() <= until * self.time_scale:
            self.step()
        return self

    # Events
    def arrive(self, number, request_class, tenant, prompt, session, prefix, deadline, expected_output):
        names = self.profile.tenant_names
        view = door.RequestView(
            self.profile.request_classes[self.profile.class_names.index(request_class)],
            prompt=prompt,
            most_out=300,
            patience=self.ticks(deadline),
            session=session,
            prefix=prefix,
            prefix_tokens=prompt // 3 if prefix else 0,
            likely_out=expected_output,
            account=names.index(tenant) if tenant in names else len(names),
            benefit_share=self.profile.over_share_value,
        )
        self.request_numbers[view], self.attempts[view] = number, 0
        self.router.arrived(self.now, view)

    def listed(self, name, state, born):
        endpoint = self.endpoints[name]
        endpoint.state = state
        if born:
            endpoint.born = self.now
        self.router.listed(self.now, [endpoint])

    # Actions of the decision module (door.Host)
    def record(self, action, *more):
        self.actions.append((self.now, action, *more))

    def send(self, view, endpoint, timeout, policy_attempt):
        name, number, attempt = self.names[endpoint], self.request_numbers[view], self.attempts[view]
        self.attempts[view] += 1
        self.record("send", number, name, timeout)
        self.open_attempts[policy_attempt] = view
        rng = Random(f"{self.seed}/{number}/{attempt}")
        chance, is_prefill = rng.random(), endpoint.role == "read"
        if is_prefill or not attempt:
            start = max(self.now, self.busy_until[name])
            self.busy_until[name] = start + self.ticks(view.prompt * 0.15 / 1000)
            wait = self.busy_until[name] - self.now
        else:
            wait = self.ticks(rng.uniform(0.02, 0.3))
        outcome = door.READ if is_prefill else door.DONE
        for threshold, failure in ((0.06, door.NO_ROOM), (0.1, door.CUT), (0.14, door.FAULT), (0.17, door.NO_ROUTE)):
            if chance < threshold:
                outcome, wait = failure, self.ticks(rng.uniform(0.005, 0.1))
                break
        else:
            if chance < 0.21:
                wait = self.ticks(99)
        if wait >= timeout:
            self.after(timeout, self.end_attempt, policy_attempt, door.TOO_SLOW)
        elif outcome == door.DONE:
            self.after(wait, self.first_token, policy_attempt, self.ticks(rng.uniform(0.3, 2.5)))
        else:
            self.after(wait, self.end_attempt, policy_attempt, outcome)

    def first_token(self, policy_attempt, stream_duration):
        view = self.open_attempts.get(policy_attempt)
        if view is None:
            return
        if view in self.answered:
            self.end_attempt(policy_attempt, door.UNDONE)
        else:
            self.router.first_token(self.now, view, policy_attempt)
            self.after(stream_duration, self.end_attempt, policy_attempt, door.DONE)

    def end_attempt(self, policy_attempt, outcome):
        view = self.open_attempts.pop(policy_attempt, None)
        if view is not None:
            if outcome == door.DONE:
                self.answered.add(view)
            cached_tokens = view.prompt // 4 if outcome in (door.READ, door.DONE) else 0
            self.router.outcome(self.now, view, policy_attempt, outcome, view in self.answered, cached_tokens, None)

    def withdraw(self, view, policy_attempt):
        self.record("withdraw", self.request_numbers[view])
        self.after(20 * self.time_scale, self.end_attempt, policy_attempt, door.UNDONE)

    def probe(self, endpoint):
        name = self.names[endpoint]
        self.record("probe", name)
        waiting = max(0, self.busy_until[name] - self.now) / self.time_scale
        rng = Random(f"{self.seed}/{name}/{round(self.now / self.time_scale / 50)}")
        if rng.random() < 0.1:
            self.after(self.ticks(0.25), self.probed, endpoint, door.TOO_SLOW, None)
        else:
            self.after(
                30 * self.time_scale,
                self.probed,
                endpoint,
                door.DONE,
                self.profile.report({"x0": 0.3, "x1": waiting / 4e3}),
            )

    def probed(self, endpoint, outcome, report):
        self.router.probed(self.now, endpoint, outcome, report)

    def turn_back(self, view, come_back):
        self.answered.add(view)
        self.record("turn_back", self.request_numbers[view], come_back)

    def scrap(self, view):
        self.answered.add(view)
        self.record("scrap", self.request_numbers[view])

    def let_go(self, view):
        self.record("let_go", self.request_numbers[view])

    def hold_place(self, view, endpoint):
        self.record("hold_place", self.request_numbers[view], self.names[endpoint])

    def remind(self, wait, note):
        self.record("remind", wait)
        self.after(wait, lambda: self.router.reminded(self.now, note))

    def log(self, line):
        self.record("log", line)


def simulate(settings_object, plan, **more):
    return SimulatedRouter(settings_object, plan, **more).run().actions


async def sighup(world, folder, settings=None, **fields):
    """Replaces the configuration file and sends SIGHUP, with the handler that `run` installs; returns the logged line."""
    path, before = folder / "config.json", len(world.lines.text)
    config = world.config() | ({"settings": settings} if settings is not None else {}) | fields
    path.write_text(json.dumps({key: value for key, value in config.items() if value is not ABSENT}))
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, world.node.reload, path)
    os.kill(os.getpid(), signal.SIGHUP)
    await world.until(lambda: "new configuration" in world.lines.text[before:])
    return next(line for line in world.lines.text[before:].splitlines() if "new configuration" in line)


ABSENT = object()
LOOKUP, LODGE = NODE_SETTINGS["Lanes"]
OTHER_CLASSES = with_changes(
    (("Lanes",), [LOOKUP | {"Name": "inquiry"}, LODGE | {"Name": "deposit"}]), of=NODE_SETTINGS
)


class HeldResponse:
    """A worker's response: `head` at once, `rest` once `respond` is set; `request_arrived` is set at its call."""

    def __init__(self, head=b"", rest=b"", then=None):
        self.head, self.rest, self.then = head, rest, then
        self.request_arrived, self.respond = asyncio.Event(), asyncio.Event()

    async def __call__(self, transport):
        if self.head:
            await transport.send(self.head)
        self.request_arrived.set()
        await self.respond.wait()
        if self.rest:
            await transport.send(self.rest)
        if self.then:
            self.then(transport)


def decode_attempt_count(world):
    return sum(len(writer.of("POST")) for writer in world.writers)


async def start_in_decode(world, name, **headers):
    """Sends a request and returns once it is at a decode worker, which will reset the connection; other workers respond."""
    held = HeldResponse(then=lambda transport: transport.reset())
    for writer in world.writers:
        writer.scripts.append(held)
    response_task = asyncio.create_task(world.ask(name, **headers))
    await world.until(held.request_arrived.is_set)
    for writer in world.writers:
        writer.scripts.clear()
    return response_task, held
