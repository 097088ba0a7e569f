"""What a change of the list of workers costs a router of a large fleet: time in proportion to the change.

The bound is the operators' longest time for which a router may be held up between reading its clock and writing.
"""

import time
from random import Random
from types import SimpleNamespace

import pytest
from fakehost import MS, FakeHost, S, endpoint

from ramppulley import rules
from ramppulley.parts import RoleAttempts

WORKERS = 3200
HELD_UP_MAX_S = 0.15


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
            attempts.add(at)
            kept.append(at)
        else:
            removed = rng.sample(kept, min(len(kept), rng.choice((1, 1, 1, 5, 60))))
            attempts.remove(removed)
            for at in removed:
                kept.remove(at)
        if rng.random() < 0.5:
            assert attempts.densest(32) == brute_force_densest(kept, 32)
