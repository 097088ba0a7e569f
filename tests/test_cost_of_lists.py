"""What a change of the list of workers costs a router of a large fleet: time in proportion to the change.

The bound is the operators' longest time for which a router may be held up between reading its clock and writing.
"""

import asyncio
import gc
import time
from random import Random
from types import SimpleNamespace

import pytest
from fakehost import MS, FakeHost, S, endpoint

from ramppulley import door, parts, rules
from ramppulley.engines.attempts import BaseConnector
from ramppulley.engines.connections import ConnectionBudget, ConnectionPool
from ramppulley.engines.platform.releases import RECENT_RESPONSE_S, KvReleases
from ramppulley.parts import RoleAttempts, Roster

WORKERS = 3200
HELD_UP_MAX_S = 0.15
LIST_CPU_MAX_S = 0.12 * WORKERS / 1000  # what the operators allow a larger fleet in a day, beside its traffic


@pytest.fixture(autouse=True)
def no_collection_of_other_objects():
    """Collections of garbage leave out what was there before, as they do in a router for what its start has made.

    Otherwise one that begins in a test goes through the objects of all tests in the process.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


def large_fleet():
    """Groups of eight workers, prefill and decode in turn; the groups are in two zones in turn."""
    return [endpoint(i * 7919, ("read", "write")[i % 2], i // 8, zone=i // 8 % 2) for i in range(WORKERS)]


def aged_host():
    """A router whose workers have all been given as many attempts as it keeps of each."""
    host, rng = FakeHost(large_fleet(), routers=24), Random(1)
    workers = list(host.router.workers.values())
    attempt = SimpleNamespace(request=SimpleNamespace(prompt_ratio=1.0), uncached_tokens=0, memory=0)
    for _ in range(4 * rules.SAMPLE_COUNT):
        rng.shuffle(workers)
        for worker in workers:
            host.router.clock = host.now = host.now + 1
            worker.on_sent(attempt)
            worker.open_attempts.clear()
    return host


def longest_s(calls):
    """The longest CPU time that one of these calls takes."""
    longest = 0.0
    for call in calls:
        began = time.thread_time()
        call()
        longest = max(longest, time.thread_time() - began)
    return longest


def zone_of(host):
    return [endpoint for endpoint in host.endpoints if endpoint.zone == 1]


def start_anew(host, endpoints):
    host.now += 5 * S
    for each in endpoints:
        each.state, each.born = "ready", host.now


def test_a_zone_that_comes_back_cold_does_not_hold_the_router_up():
    """Guards against a list of 1,600 new starts that stopped the router for seconds (incident 0023)."""
    host = aged_host()
    zone = zone_of(host)
    start_anew(host, zone)
    assert longest_s([lambda: host.router.listed(host.now, zone)]) < HELD_UP_MAX_S


def brute_force_densest(times, count):
    times = sorted(times)
    count = max(0, min(count, len(times) - 1))
    return count, max(1, min((b - a for a, b in zip(times, times[count:])), default=1))


@pytest.mark.parametrize("seed", range(20))
def test_the_densest_run_of_attempts_is_that_of_all_kept_times(seed):
    rng, attempts, kept, now = Random(seed), RoleAttempts(), [], 0
    for _ in range(400):
        now += rng.choice((0, 0, 1, 5, 200)) * MS
        if rng.random() < 0.6 or not kept:
            at = now if rng.random() < 0.95 else rng.randrange(now + 1)
            kept.append(at)
            if rng.random() < 0.5 and len(kept) > 1:
                attempts.replace(kept.pop(rng.randrange(len(kept) - 1)), at)
            else:
                attempts.add(at)
        else:
            removed = rng.sample(kept, min(len(kept), rng.choice((1, 1, 1, 5, 60))))
            attempts.remove(removed)
            for at in removed:
                kept.remove(at)
        if rng.random() < 0.5:
            assert attempts.densest(32) == brute_force_densest(kept, 32)


def lines_of(host, form):
    """The changes of the list, as one call each, that tell a zone's loss and return."""
    zone = zone_of(host)

    def told(endpoint, state, born=None):
        endpoint.state, endpoint.born = state, born
        host.router.listed(host.now, [endpoint])

    def replaced(endpoint):
        told(endpoint, "gone")
        host.router.listed(host.now, [endpoint_like(endpoint, born=host.now)])

    def whole_list():
        start_anew(host, zone)
        host.router.listed(host.now, host.endpoints)

    return {
        "cold": [lambda each=each: told(each, "ready", host.now) for each in zone],
        "lost": [lambda each=each: told(each, "gone") for each in zone],
        "lost and back": [lambda each=each, s=s: told(each, s) for s in ("gone", "ready") for each in zone],
        "other ids": [lambda each=each: replaced(each) for each in zone],
        "whole list": [whole_list],
    }[form]


def endpoint_like(replaced, born):
    new = endpoint(replaced.mark + 1, replaced.role, replaced.cell, zone=replaced.zone)
    new.born = born
    return new


@pytest.mark.parametrize("form", ["cold", "lost", "lost and back", "other ids", "whole list"])
def test_a_zone_costs_little_in_sum_however_its_changes_are_told(form):
    """Guards against a roster that is made anew for each line of the list (incident 0023)."""
    host = aged_host()
    host.now += 5 * S
    calls = lines_of(host, form)
    began = time.thread_time()
    assert longest_s(calls) < HELD_UP_MAX_S
    assert time.thread_time() - began < LIST_CPU_MAX_S


def test_workers_that_are_long_gone_are_forgotten_with_their_attempts():
    host = aged_host()
    for each in zone_of(host):
        each.state = "gone"
    host.router.listed(host.now, zone_of(host))
    host.now += rules.REJECTION_MAX_AGE
    assert longest_s([lambda: host.router.listed(host.now, host.endpoints[:1])]) < HELD_UP_MAX_S
    kept = sorted(at for worker in host.router.workers.values() for at in worker.attempt_starts)
    counted = [attempts for attempts in host.router.role_attempts.values()]
    assert len(host.router.workers) == sum(attempts.worker_count for attempts in counted) == WORKERS // 2
    assert kept == sorted(at for attempts in counted for at in attempts.times)


def shown(roster):
    """What decisions take from a roster."""
    prefill, decode = roster.prefill_orders.workers, roster.decode_orders.workers
    return roster.prefill_workers, roster.decode_workers, roster.decode_by_group, roster.prefill_share, prefill, decode


@pytest.mark.parametrize("seed", range(10))
def test_a_roster_is_the_same_whichever_changes_led_to_its_list(seed):
    rng = Random(seed)
    endpoints = [
        endpoint(rng.getrandbits(32), rng.choice(("read", "write", "both")), rng.randrange(6), zone=rng.randrange(3))
        for _ in range(40)
    ]
    host = FakeHost(endpoints)
    for _ in range(60):
        changed = rng.sample(endpoints, rng.choice((1, 1, 4, 40)))
        for each in changed:
            each.state = rng.choice(("ready", "ready", "draining", "gone"))
            each.weight, each.cell, each.zone = rng.choice((1.0, 0.7, 2.9)), rng.randrange(6), rng.randrange(3)
        host.now += S
        host.router.listed(host.now, changed)
        if rng.random() < 0.5:
            anew = Roster.of(host.router.workers.values(), rules.GROUP_REACH_FACTOR)
            assert shown(host.router.roster) == shown(anew)


def count_work(monkeypatch):
    """The workers that were looked at whether they are usable, and those that were sorted in whole orders."""
    looked_at, sorted_ones = [], []
    accepts, first_in_order = rules.Worker.accepts, parts.first_in_order

    def counting_accepts(worker, request):
        looked_at.append(worker)
        return accepts(worker, request)

    def counting_order(indices, sort_key, count, largest=False):
        if count is None:
            sorted_ones.extend(indices)
        return first_in_order(indices, sort_key, count, largest)

    monkeypatch.setattr(rules.Worker, "accepts", counting_accepts)
    monkeypatch.setattr(parts, "first_in_order", counting_order)
    return looked_at, sorted_ones


@pytest.mark.parametrize("prompt", [1000, 9000])
@pytest.mark.parametrize("cold_share", [0.9, 1.0])
def test_a_request_does_not_go_through_all_workers_that_a_slow_start_holds_back(monkeypatch, cold_share, prompt):
    """Guards against draws that sort and check the whole fleet where nearly all of it has started anew (incident 0023)."""
    host = aged_host()
    some = Random(2).sample(host.endpoints, int(WORKERS * cold_share))
    start_anew(host, some)
    host.router.listed(host.now, some)
    looked_at, sorted_ones = count_work(monkeypatch)
    for number in range(20):
        view = host.ask(session=f"s{number}", prompt=prompt)
        assert bool(host.told("send", view)) == (cold_share < 1)
        assert len(looked_at) < WORKERS / 10 and len(sorted_ones) < WORKERS / 2
        looked_at.clear()
        sorted_ones.clear()


def test_a_tick_does_not_go_through_the_fleet_for_each_silent_worker(monkeypatch):
    """Guards against a tick in which each of many silent workers looks at all workers of its role (incident 0023)."""
    host = aged_host()
    workers = host.router.workers.values()
    for worker in workers:
        worker.first_token_times.add(host.now, 2 * S)
    silent = list(workers)[:300]
    attempt = SimpleNamespace(
        started_at=host.now, first_token_at=None, is_prefill=True, expected_time=0, uncached_tokens=0
    )
    for worker in silent:
        worker.open_attempts.append(attempt)
    host.router.awaited_workers = set(silent)
    host.now += S
    looks, recent = [], parts.Samples.recent
    monkeypatch.setattr(parts.Samples, "recent", lambda samples, now: looks.append(1) or recent(samples, now))
    host.router.reminded(host.now, host.router)
    assert len(looks) < 10 * WORKERS


@pytest.mark.parametrize("seed", range(20))
def test_draws_among_the_usable_workers_are_those_of_the_whole_order(seed):
    rng = Random(seed)
    endpoints = [
        endpoint(rng.getrandbits(32), ("read", "write")[i % 2], rng.randrange(3), zone=rng.randrange(2))
        for i in range(240)
    ]
    for each in endpoints:
        each.weight = rng.choice((1.0, 2.5)) if seed % 2 else 1.0
    host = FakeHost(endpoints, effect="receipted", group="zone")
    admission, roster = host.router.admission, host.router.roster
    request = rules.PolicyRequest(host.router, door.RequestView(host.case, 1000, 300, 60_000, "a"), door.Capabilities())
    if seed % 3 == 0:
        request.maybe_ran = [SimpleNamespace(started_at=0, worker=roster.decode_workers[0])]
    for worker in host.router.workers.values():
        worker.always_usable = rng.random() < 0.02 + 0.4 * (seed % 4 == 0)
        worker.suspect = "" if worker.always_usable else "silent"
    for key in range(10):
        for workers, orders in (
            (roster.decode_workers, roster.decode_orders),
            (roster.prefill_workers, roster.prefill_orders),
        ):
            for order in (orders.order(key), orders.in_group(key, 1), orders.outside_group(key, 1, 0, 4)):
                usable = [w for w in (workers[i] for i in order) if w.usable(request) and request.may_run_at(w)]
                for count in (None, 1, 8):
                    assert admission.first_usable(request, workers, order, count) == usable[:count]


class CountedWorker:
    """A connector's worker that counts how often its connections were looked at."""

    looks = 0

    def __init__(self, idle):
        self.idle = idle

    @property
    def connections(self):
        CountedWorker.looks += 1
        return SimpleNamespace(idle=self.idle)


def releases_of(endpoints, rng):
    workers = {each: CountedWorker(rng.random() < 0.3) for each in endpoints}
    return KvReleases(None, workers, None, None, None)


def respond(releases, endpoints, ages_s):
    """Records that these workers responded so many seconds ago, the oldest first."""
    now = asyncio.get_running_loop().time()
    releases.last_response = {each: now - age for each, age in zip(endpoints, sorted(ages_s, reverse=True))}


@pytest.mark.parametrize("seed", range(10))
def test_a_release_calls_the_workers_in_the_order_of_their_last_responses(seed):
    async def scenario():
        rng = Random(seed)
        endpoints = [endpoint(i, "write") for i in range(60)]
        for each in endpoints:
            each.state = rng.choice(("ready", "ready", "draining", "gone"))
        releases = releases_of(rng.sample(endpoints, 50), rng)
        responders = rng.sample(endpoints, 30)
        respond(releases, responders, [rng.choice((0.1, 0.5, 2.0, 9.0)) for _ in responders])
        now = asyncio.get_running_loop().time()
        known = [each for each in reversed(releases.last_response) if each.state != "gone"]
        known += [e for e in releases.workers if e not in releases.last_response and e.state == "ready"]

        def rank(each):
            stale = now - releases.last_response.get(each, 0) > RECENT_RESPONSE_S
            return stale, not releases.workers[each].idle

        expected = sorted((each for each in known if each in releases.workers), key=rank)
        assert list(releases._candidates()) == expected

    asyncio.run(scenario())


def test_a_release_looks_at_recent_responders_only_while_there_is_one_to_call():
    """Guards against a release that sorts the whole fleet for each call (incident 0023)."""

    async def scenario():
        rng, endpoints = Random(1), large_fleet()
        releases = releases_of(endpoints, rng)
        respond(releases, endpoints[:50], [0.1] * 20 + [5.0] * 30)
        CountedWorker.looks = 0
        assert next(iter(releases._candidates())) in endpoints[30:50]
        assert CountedWorker.looks <= 20

    asyncio.run(scenario())


def test_idle_connections_expire_without_a_look_at_every_worker(monkeypatch):
    """Guards against a pass over the connections of all workers twice a second (incident 0023)."""

    async def scenario():
        connector = BaseConnector(None, 16, 0.0, 1.0, ConnectionBudget(16))
        for each in large_fleet():
            connector.set_address(each, ("127.0.0.1", 9))
        pools = [worker.connections for worker in connector.workers.values()]
        looked_at = []
        monkeypatch.setattr(ConnectionPool, "expire_idle", lambda pool: looked_at.append(pool))
        connector.budget.idle = {"one": pools[3], "two": pools[3], "three": pools[7]}
        connector.expire_idle()
        assert looked_at == [pools[3], pools[7]]

    asyncio.run(scenario())
