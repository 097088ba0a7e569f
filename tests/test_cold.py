"""Rule 4 for the fleet: all routers together keep within N + 2 x root of N + 2 requests of mean work at a cold worker."""

import pytest
from cold_fleet import S, World
from fakehost import MS, FakeHost, endpoint

from ramppulley import door


@pytest.mark.parametrize("routers, seed", [(2, 7), (20, 3), (30, 10), (200, 2)])
def test_all_routers_together_keep_to_a_cold_workers_budget_and_use_it(routers, seed):
    world = World(seed, routers).run(20 * S)
    worst = {mark: round(world.worst(mark), 2) for mark in world.starts}
    assert max(worst.values()) <= 1, worst
    assert world.used() >= 0.12


@pytest.mark.parametrize("routers, seed", [(20, 3), (60, 4)])
def test_in_a_burst_at_all_routers_a_worker_that_joins_is_kept_to_its_budget_too(routers, seed):
    """Each begins with it at once: measured in place of a spread of their first times, which leaves it unused."""
    world = World(seed, routers, load=3.0).run(20 * S)
    assert max(map(world.worst, world.starts)) <= 1 and world.used() >= 0.12


def test_routers_that_forgot_keep_to_the_budget_too():
    world = World(13, 30, forgetful=20).run(20 * S)
    assert max(map(world.worst, world.starts)) <= 1 and world.used() >= 0.12


def answered(host, view):
    """Read, written and ended."""
    host.ends(view, door.READ)
    host.first(view)
    host.ends(view, door.DONE, final=True)


def cold_host(others=()):
    """A host that has sent 20 requests of 1,000 tokens, 100 ms apart, when its reader 1 starts anew."""
    endpoints = [endpoint(1, "read"), *others, endpoint(9, "write")]
    host = FakeHost(endpoints)
    for n in range(20):
        host.wait(100 * MS)
        answered(host, host.ask(session=f"{n}"))
    endpoints[0].born = host.now
    host.router.listed(host.now, endpoints[:1])
    return host, host.router.workers[endpoints[0]]


def test_requests_that_wait_in_line_are_not_all_sent_to_a_cold_worker_in_one_turn():
    host, cold = cold_host()
    cold.warming_next_at = host.now + 50 * MS
    waiting = [host.ask(session=f"w{n}", patience=9 * S) for n in range(6)]
    assert not any(host.told("send", view) for view in waiting)
    host.now += 60 * MS
    host.router.reminded(host.now, host.router)
    assert sum(len(host.told("send", view)) for view in waiting) == 1


def test_requests_that_wait_in_line_are_not_all_sent_to_one_worker_in_one_turn():
    endpoints = [endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")]
    host = FakeHost(endpoints)
    readers = [host.router.workers[worker] for worker in endpoints[:2]]
    for reader in readers:
        reader.warming_next_at, reader.started_at, reader.always_usable = host.now + 50 * MS, host.now, False
    waiting = [host.ask(session="a", prompt=5000) for _ in range(4)]
    assert not any(host.told("send", view) for view in waiting)
    for reader in readers:
        reader.started_at, reader.always_usable = None, True
    host.now += 200 * MS
    host.router.reminded(host.now, host.router)
    marks = [host.last(view)[2].mark for view in waiting if host.told("send", view)]
    assert len(marks) == 4 and set(marks) == {1, 2}


def test_a_long_prompt_spends_more_of_a_cold_workers_budget():
    gaps = []
    for prompt in (1000, 3000):
        host, cold = cold_host()
        host.wait(cold.warming_next_at - host.now)
        host.ask(prompt=prompt, session="x")
        gaps.append(cold.warming_next_at - host.now)
    assert 2.9 * gaps[0] < gaps[1] < 3.1 * gaps[0]


def test_a_cold_worker_gets_none_of_the_longest_prompts_while_its_like_has_a_warm_one():
    host, cold = cold_host([endpoint(2, "read")])
    host.wait(cold.warming_next_at - host.now)
    for n in range(12):
        host.ask(prompt=5000, session=f"x{n}")
    assert not cold.open_attempts


def test_the_longest_prompts_are_read_where_all_are_cold():
    host, cold = cold_host()
    host.wait(cold.warming_next_at - host.now)
    assert host.told("send", host.ask(prompt=5000, session="x"))


def test_a_worker_that_is_listed_warm_is_used_at_once():
    host = FakeHost([endpoint(9, "write")])
    joined = endpoint(5, "read")
    host.router.listed(host.now, [joined])
    assert host.told("send", host.ask())
