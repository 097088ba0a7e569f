"""Tests of slow start across the fleet (rule 4): while a worker warms up, all routers together send it at most
N + 2 * sqrt(N) + 2 requests of mean length in one window, where N is its budget."""

import pytest
from cold_fleet import S, World
from fakehost import MS, FakeHost, endpoint

from ramppulley import door


@pytest.mark.parametrize("routers, seed", [(2, 7), (20, 3), (30, 10), (200, 2)])
def test_all_routers_together_keep_to_a_cold_workers_budget_and_use_it(routers, seed):
    world = World(seed, routers).run(20 * S)
    excesses = {mark: round(world.worst_excess(mark), 2) for mark in world.starts}
    assert max(excesses.values()) <= 1, excesses
    assert world.budget_used() >= 0.12


@pytest.mark.parametrize("routers, seed", [(20, 3), (60, 4)])
def test_in_a_burst_at_all_routers_a_worker_that_joins_is_kept_to_its_budget_too(routers, seed):
    """All routers begin to use the worker almost at once. Spreading their first attempts further would leave its budget
    unused, so the test measures the peak."""
    world = World(seed, routers, load=3.0).run(20 * S)
    assert max(map(world.worst_excess, world.starts)) <= 1 and world.budget_used() >= 0.12


def test_routers_that_forgot_keep_to_the_budget_too():
    world = World(13, 30, restarts=20).run(20 * S)
    assert max(map(world.worst_excess, world.starts)) <= 1 and world.budget_used() >= 0.12


def serve(host, view):
    """Plays the prefill, the decode and the end of a request."""
    host.ends(view, door.READ)
    host.first(view)
    host.ends(view, door.DONE, final=True)


def host_with_warming_worker(others=()):
    """A host that has served 20 requests of 1,000 tokens, 100 ms apart, when prefill worker 1 restarts; and this worker."""
    endpoints = [endpoint(1, "read"), *others, endpoint(9, "write")]
    host = FakeHost(endpoints)
    for n in range(20):
        host.wait(100 * MS)
        serve(host, host.ask(session=f"{n}"))
    endpoints[0].born = host.now
    host.router.listed(host.now, endpoints[:1])
    return host, host.router.workers[endpoints[0]]


def test_requests_that_wait_in_line_are_not_all_sent_to_a_cold_worker_in_one_turn():
    host, warming = host_with_warming_worker()
    warming.warming_next_at = host.now + 50 * MS
    waiting = [host.ask(session=f"w{n}", patience=9 * S) for n in range(6)]
    assert not any(host.told("send", view) for view in waiting)
    host.now += 60 * MS
    host.router.reminded(host.now, host.router)
    assert sum(len(host.told("send", view)) for view in waiting) == 1


def test_requests_that_wait_in_line_are_not_all_sent_to_one_worker_in_one_turn():
    endpoints = [endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")]
    host = FakeHost(endpoints)
    prefill_workers = [host.router.workers[listed] for listed in endpoints[:2]]
    for worker in prefill_workers:
        worker.warming_next_at, worker.started_at, worker.always_usable = host.now + 50 * MS, host.now, False
    waiting = [host.ask(session="a", prompt=5000) for _ in range(4)]
    assert not any(host.told("send", view) for view in waiting)
    for worker in prefill_workers:
        worker.started_at, worker.always_usable = None, True
    host.now += 200 * MS
    host.router.reminded(host.now, host.router)
    marks = [host.last(view)[2].mark for view in waiting if host.told("send", view)]
    assert len(marks) == 4 and set(marks) == {1, 2}


def test_a_long_prompt_spends_more_of_a_cold_workers_budget():
    gaps = []
    for prompt in (1000, 3000):
        host, warming = host_with_warming_worker()
        host.wait(warming.warming_next_at - host.now)
        host.ask(prompt=prompt, session="x")
        gaps.append(warming.warming_next_at - host.now)
    assert 2.9 * gaps[0] < gaps[1] < 3.1 * gaps[0]


def test_a_cold_worker_gets_none_of_the_longest_prompts_while_its_like_has_a_warm_one():
    host, warming = host_with_warming_worker([endpoint(2, "read")])
    host.wait(warming.warming_next_at - host.now)
    for n in range(12):
        host.ask(prompt=5000, session=f"x{n}")
    assert not warming.open_attempts


def test_the_longest_prompts_are_read_where_all_are_cold():
    host, warming = host_with_warming_worker()
    host.wait(warming.warming_next_at - host.now)
    assert host.told("send", host.ask(prompt=5000, session="x"))


def test_a_worker_that_is_listed_warm_is_used_at_once():
    host = FakeHost([endpoint(9, "write")])
    joined = endpoint(5, "read")
    host.router.listed(host.now, [joined])
    assert host.told("send", host.ask())
