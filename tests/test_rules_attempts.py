"""Tests of the decision module: the attempts of a request, their retries, KV state and reservations."""

import pytest
from fakehost import MS, FakeHost, S, endpoint, fleet
from rules_rig import read

from ramppulley import door


def test_a_question_is_read_and_written_in_one_cell_and_answered_once():
    host = FakeHost(fleet())
    view = host.ask()
    prefill_worker = host.last(view)[2]
    read(host, view)
    decode_worker = host.last(view)[2]
    assert (prefill_worker.role, decode_worker.role, prefill_worker.cell) == ("read", "write", decode_worker.cell)
    host.first(view)
    host.ends(view, door.DONE, final=True)
    host.wait(20 * S)
    assert len(host.told("send", view)) == 2
    assert not host.told("turn_back") and not host.told("scrap") and view not in host.router.requests


def test_a_failed_read_goes_to_another_reader_and_within_the_send_limit():
    host = FakeHost(fleet(), sends=3)
    view = host.ask()
    for _ in range(3):
        host.ends(view, door.FAULT)
        host.wait(60 * MS)
    attempts = host.told("send", view)
    assert len(attempts) == 3 and attempts[0][2] is not attempts[1][2]
    assert len(host.told("turn_back", view)) == 1


def test_a_waiting_state_goes_to_the_next_writer_of_the_cell():
    host = FakeHost(fleet())
    view = host.ask()
    read(host, view)
    full = host.last(view)[2]
    host.ends(view, door.NO_ROOM)
    assert host.last(view)[2] is not full and host.last(view)[2].cell == full.cell
    assert host.last(view)[2].role == "write"


def test_a_lost_state_is_read_again():
    host = FakeHost(fleet())
    view = host.ask()
    read(host, view)
    host.ends(view, door.NO_STATE)
    host.wait(60 * MS)
    assert host.last(view)[2].role == "read"


def test_an_effectful_question_that_may_have_run_is_scrapped_never_repeated():
    for outcome in (door.FAULT, door.TOO_SLOW, door.CUT, door.UNDONE):
        host = FakeHost(fleet(), effect="effectful")
        view = host.ask()
        read(host, view)
        host.ends(view, outcome)
        host.wait(60 * S)
        assert len(host.told("send", view)) == 2
        assert host.told("scrap", view) and not host.told("turn_back", view) and host.told("let_go", view)


def test_an_effectful_question_surely_not_run_goes_on():
    host = FakeHost(fleet(), effect="effectful")
    view = host.ask()
    read(host, view)
    host.ends(view, door.NO_ROUTE)
    assert len(host.told("send", view)) == 3


def test_a_silent_writer_keeps_its_effectful_question():
    host = FakeHost(fleet(), effect="effectful")
    view = host.ask()
    read(host, view)
    host.wait(3 * S)
    assert not host.told("withdraw", view)


@pytest.mark.parametrize("group,cells", [("cell", {0}), ("all", {0, 1})])
def test_a_receipted_repeat_stays_in_its_group_and_window(group, cells):
    endpoints = [endpoint(1, "read", 0), endpoint(2, "write", 0), endpoint(11, "read", 1), endpoint(12, "write", 1)]
    host = FakeHost(endpoints, effect="receipted", group=group)
    view = host.ask()
    read(host, view)
    first = host.last(view)[2]
    host.ends(view, door.FAULT)
    host.wait(60 * MS)
    retried = [a[2] for a in host.told("send", view)[2:] if a[2].role == "write"]
    assert all(e.cell == first.cell for e in retried) if group == "cell" else len(retried) == 1
    host.wait(6 * S)
    host.ends(view, door.FAULT) if retried else None
    attempts = len(host.told("send", view))
    host.wait(60 * S)
    assert len(host.told("send", view)) == attempts
    assert bool(host.told("scrap", view)) == (group == "cell")


def test_what_is_held_is_let_go_when_the_client_leaves_during_the_read():
    host = FakeHost(fleet(), places=True)
    view = host.ask()
    host.router.left(host.now, view)
    assert host.told("withdraw", view)
    host.ends(view, door.READ, final=True)
    assert host.asked[-1] == ("let_go", view) and len(host.told("send", view)) == 1


def test_a_receipted_repeat_whose_only_reader_is_outside_its_group_waits_without_spinning():
    endpoints = [endpoint(1, "read", 0), endpoint(2, "write", 0), endpoint(11, "read", 1), endpoint(12, "write", 1)]
    host = FakeHost(endpoints, effect="receipted", group="cell")
    view = host.ask()
    read(host, view)
    decode_worker = host.last(view)[2]
    for other in endpoints:
        if other.cell == decode_worker.cell and other.role == "read":
            other.state = "gone"
            host.router.listed(host.now, [other])
    host.ends(view, door.FAULT)
    host.wait(60 * S)
    assert len(host.told("send", view)) == 2 and len(host.told("scrap", view)) == 1


def test_a_place_not_held_is_asked_for_at_the_next_writer_during_the_read():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")], places=True)
    view = host.ask()
    host.router.place(host.now, view, host.told("hold_place", view)[0][2], False)
    reserved = [a[2] for a in host.told("hold_place", view)]
    assert len(set(reserved)) == 2
    read(host, view)
    assert host.last(view)[2] is reserved[1]
