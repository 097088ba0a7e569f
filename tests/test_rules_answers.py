"""Tests of the decision module: final answers to clients, in time and from the queue."""

import pytest
from fakehost import MS, FakeHost, S, endpoint, fleet
from rules_rig import read

from ramppulley import door
from ramppulley.rules import PolicyRequest


def test_out_of_time_is_answered_before_the_client_leaves():
    host = FakeHost(fleet())
    view = host.ask(patience=2 * S)
    read(host, view)
    host.wait(2 * S - 50 * MS - 1)
    assert len(host.told("turn_back", view)) + len(host.told("scrap", view)) == 1


def test_a_stream_ended_without_its_answer_is_answered_by_us():
    host = FakeHost(fleet())
    view = host.ask()
    read(host, view)
    host.first(view)
    host.ends(view, door.UNDONE)
    assert len(host.told("turn_back", view)) == 1


@pytest.mark.parametrize("effect,ending", [("pure", "turn_back"), ("effectful", "scrap")])
def test_a_client_that_waits_for_the_whole_answer_is_answered_in_its_time_though_the_answer_has_begun(effect, ending):
    host = FakeHost(fleet(), effect=effect)
    view = host.ask(patience=2 * S, whole=True)
    read(host, view)
    host.first(view)
    host.wait(2 * S - 81 * MS)
    assert not host.told(ending, view)
    host.wait(2 * MS)
    assert host.told(ending, view) and host.told("withdraw", view)
    host.ends(view, door.UNDONE, final=True)
    assert view not in host.router.requests and not host.told("send", view)[2:]


def test_without_room_the_low_benefit_is_turned_back_first_and_told_when_to_come_back():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")], longest_wait=5000)
    high = door.RequestClass(12_000, 400, 60_000, 600, 3.0)
    host.router.admission.max_value = 3.0
    first = host.ask(session="x")
    read(host, first, report=door.LoadReport(tokens_waiting=16_000))
    low, best = host.ask(session="l"), host.ask(session="h", case=high)
    assert host.told("send", best) and not host.told("send", low)
    host.router.workers[host.endpoints[0]].reports.clear()
    for n in range(40):
        host.ask(session=f"h{n}", case=high)
    host.wait(1 * S)
    assert all(0 < a[2] <= 5000 for a in host.told("turn_back")) and host.told("turn_back")


def rejected_or_failed(host, view):
    return host.told("turn_back", view) + host.told("scrap", view)


@pytest.mark.parametrize(
    "endpoints",
    [
        [],
        [endpoint(1, "read")],
        [endpoint(1, "write")],
        [endpoint(1, "read", state="draining"), endpoint(2, "write", state="draining")],
        [endpoint(1, "read"), endpoint(2, "write", state="gone")],
    ],
)
def test_with_nobody_to_read_or_to_write_it_a_question_is_answered_on_its_arrival(endpoints):
    host = FakeHost(endpoints, longest_wait=S)
    view = host.ask()
    assert [a[2] for a in host.told("turn_back", view)] == [6200]  # with a retry-after time
    assert not host.told("send") and view not in host.router.requests


def test_a_question_whose_last_workers_went_is_answered_on_that_event_not_near_its_outer_limit():
    host = FakeHost(fleet())
    view = host.ask()
    for each in host.endpoints:
        each.state = "gone"
    host.router.listed(host.now, host.endpoints)
    assert not rejected_or_failed(host, view)  # its prefill is still open
    host.now += 50 * MS
    host.ends(view, door.CUT)
    assert host.told("turn_back", view) and view not in host.router.requests


def test_those_in_line_are_answered_on_the_list_that_leaves_nobody_for_them():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")])
    first = host.ask()
    read(host, first)
    for each in host.endpoints:
        host.router.workers[each].mark_suspect("a test", True)
    view = host.ask(session="b")
    host.wait(100 * MS)
    # A suspect worker may recover, so the request waits.
    assert not host.told("send", view) and not rejected_or_failed(host, view)
    host.endpoints[0].state = "draining"
    host.router.listed(host.now, host.endpoints[:1])
    assert host.told("turn_back", view) and not host.router.admission.new_requests


@pytest.mark.parametrize("late", [False, True])
def test_a_receipted_question_whose_group_is_gone_or_whose_window_passed_is_answered_on_that_event(late):
    host = FakeHost(fleet(), effect="receipted", group="cell")
    view = host.ask()
    read(host, view)
    group = [each for each in host.endpoints if each.cell == host.last(view)[2].cell]
    if late:
        host.now += 5 * S
    else:
        for each in group:
            each.state = "gone"
        host.router.listed(host.now, group)
    host.ends(view, door.FAULT)
    assert host.told("scrap", view) and len(host.told("send", view)) == 2 and view not in host.router.requests


@pytest.mark.parametrize("sent,until", [(False, 12_400 * 0.3), (True, 12_400)])
def test_who_stands_in_line_is_answered_while_its_client_can_still_ask_again(sent, until):
    host = FakeHost(fleet())
    view = host.ask() if sent else None
    for worker in host.router.workers.values():
        worker.mark_suspect("a test", True)
        worker.half_open_at = 100 * S  # later than the request may wait
    if sent:
        host.ends(view, door.CUT)
    view = view or host.ask()
    host.wait(int(until) - MS)
    assert not rejected_or_failed(host, view)
    host.wait(200 * MS)
    assert host.told("turn_back", view) and len(host.told("send", view)) == sent


def test_losing_its_place_to_others_again_and_again_does_not_keep_a_question_till_its_outer_limit(monkeypatch):
    host = FakeHost(fleet())
    view = host.ask()
    # As if another request had always used up the assigned worker's slow start budget since.
    monkeypatch.setattr(PolicyRequest, "send", lambda *_: False)
    host.ends(view, door.CUT)
    host.wait(12_400 - MS)
    assert not rejected_or_failed(host, view)
    host.wait(200 * MS)
    assert host.told("turn_back", view)


def test_no_tick_is_set_while_nothing_waits():
    host = FakeHost(fleet())
    host.wait(20 * S)
    assert not host.timers
