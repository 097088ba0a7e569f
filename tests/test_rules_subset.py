"""Tests of the decision module: a router that uses a subset of the workers unless they cannot serve a request."""

from fakehost import MS, FakeHost, fleet
from rules_rig import read

from ramppulley import door


def with_subset(host, *marks):
    for each in host.endpoints:
        each.usual = each.mark in marks
    host.router.listed(host.now, host.endpoints)
    return host


def test_only_workers_of_the_subset_are_used_while_they_are_well():
    host = with_subset(FakeHost(fleet(), routers=8), 0, 2)
    for number in range(6):
        view = host.ask(session=str(number), prompt=200)
        assert host.last(view)[2].mark == 0
        read(host, view)
        assert host.last(view)[2].mark == 2
        host.first(view)
        host.ends(view, door.DONE, final=True)


def test_a_subset_that_drains_is_left_with_that_very_question():
    host = with_subset(FakeHost(fleet(), routers=8), 0, 2)
    host.endpoints[0].state = "draining"
    host.router.listed(host.now, host.endpoints)
    assert host.last(host.ask())[2].mark in (1, 10, 11)


def test_a_failed_send_opens_the_whole_list_for_its_question():
    host = with_subset(FakeHost(fleet(), routers=8), 0, 2)
    view = host.ask()
    host.ends(view, door.NO_ROUTE)
    host.wait(60 * MS)
    assert host.last(view)[2].mark in (1, 10, 11)


def test_a_subset_that_is_far_behind_is_left_although_it_would_still_be_admitted():
    host = with_subset(FakeHost(fleet(), routers=8), 0, 2)
    first = host.ask(prompt=1000)
    host.now += 100 * MS
    host.ends(first, door.READ)  # 1,000 prompt tokens in 100 ms
    view = host.ask(session="x", prompt=3600)
    assert host.last(view)[2].mark == 0
    assert host.last(host.ask(session="y", prompt=2000))[2].mark in (1, 10, 11)


def test_a_state_whose_writers_of_the_subset_are_full_goes_to_another_of_its_cell():
    host = with_subset(FakeHost(fleet(), routers=8), 0, 2)
    view = host.ask()
    read(host, view)
    host.ends(view, door.NO_ROOM)
    assert host.last(view)[2].mark == 3
