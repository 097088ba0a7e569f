"""Tests of the decision module: workers that drain, warm up, fall silent or are probed."""

import dataclasses

import pytest
from fakehost import MS, FakeHost, S, endpoint, fleet
from rules_rig import read

from ramppulley import door


def test_nothing_new_goes_to_a_draining_worker_nor_a_state_fixed_on_it():
    endpoints = fleet()
    host = FakeHost(endpoints, places=True)
    view = host.ask()
    held = host.told("hold_place", view)[0][2]
    held.state = "draining"
    host.router.listed(host.now, [held])
    read(host, view)
    assert host.last(view)[2] is not held
    for n in range(20):
        assert all(a[2] is not held for a in host.told("send", host.ask(session=str(n))))


def test_a_cold_worker_gets_few_evenly_spaced_sends():
    host = FakeHost([endpoint(2, "read", born=1), endpoint(3, "write")])
    times = []
    for n in range(200):
        host.wait(30 * MS)
        view = host.ask(session=str(n))
        if host.told("send", view) and host.last(view)[2].mark == 2:
            times.append(host.now)
        if host.told("send", view):
            read(host, view)
            host.first(view)
            host.ends(view, door.DONE, final=True)
    assert 1 <= len(times) < 70 and all(b - a >= 80 * MS for a, b in zip(times, times[1:]))


def test_all_readers_cold_at_once_still_read_at_the_rate_they_bore():
    endpoints = [endpoint(1, "read"), endpoint(2, "read"), endpoint(3, "write")]
    host = FakeHost(endpoints)

    def serve(count):
        asked = []
        for _ in range(count):
            host.wait(100 * MS)
            asked.append(host.ask(session=f"{host.now}"))
            for view in asked:
                if len(host.told("send", view)) == 1:
                    host.ends(view, door.READ)
                    host.first(view)
                    host.ends(view, door.DONE, final=True)
        return sum(len(host.told("send", view)) == 2 for view in asked)

    serve(60)
    for prefill_worker in endpoints[:2]:
        prefill_worker.born = host.now
    host.router.listed(host.now, endpoints[:2])
    assert serve(40) >= 20


def test_a_silent_reader_is_noticed_by_its_peers_and_comes_back_by_one_trial():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "read"), endpoint(3, "read"), endpoint(4, "write")])
    unanswered = host.ask(prompt=500)
    silent = host.last(unanswered)[2]
    host.wait(3 * S)
    assert any("doubted" in line for line in host.lines) and host.told("withdraw", unanswered)
    host.ends(unanswered, door.UNDONE)
    chosen = [host.last(host.ask(session=str(n)))[2] for n in range(6)]
    assert chosen.count(silent) <= 1


def test_silence_everywhere_does_not_condemn_everybody():
    host = FakeHost([endpoint(n, "read") for n in range(3)] + [endpoint(9, "write")])
    for n in range(9):
        host.ask(session=str(n), prompt=9000)
    host.wait(3 * S)
    assert sum(bool(w.suspect) for w in host.router.workers.values()) <= 1


def test_a_trial_is_given_its_time_and_clears_the_worker():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")])
    cut = host.ask()
    host.ends(cut, door.CUT)
    host.wait(700 * MS)
    probe = host.ask(session="b")
    assert len(host.told("send", cut)) + len(host.told("send", probe)) == 2
    half_open = probe if host.told("send", probe) else cut
    host.wait(300 * MS)
    assert not host.told("withdraw", half_open)
    host.ends(half_open, door.READ)
    assert any("trusted again" in line for line in host.lines)


def test_one_lost_connection_does_not_condemn_a_worker_whose_streams_go_on():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")])
    streaming, cut = host.ask(), host.ask(session="b")
    for view in (streaming, cut):
        read(host, view)
    host.first(streaming)
    host.ends(cut, door.CUT)
    worker = host.router.workers[host.endpoints[1]]
    assert worker.suspect
    host.wait(110 * MS)
    assert not worker.suspect


def test_only_those_looked_at_are_probed_and_a_refused_probe_is_no_death():
    endpoints = [endpoint(n, "read", n % 5) for n in range(10)] + [endpoint(100 + n, "write", n % 5) for n in range(30)]
    host = FakeHost(endpoints, routers=150, probes=True)
    host.wait(5 * S)
    assert not host.told("probe")
    view = host.ask()
    asked = [a[1] for a in host.told("probe")]
    assert 1 <= len(asked) <= 4 and not host.told("send", view)
    for candidate in asked:
        host.now += 1
        host.router.probed(host.now, candidate, door.NO_ROOM, None)
    assert host.told("send", view) and not any(w.suspect for w in host.router.workers.values())


def test_unanswered_looks_do_not_keep_a_question_waiting():
    host = FakeHost(fleet(), probes=True)
    view = host.ask()
    host.wait(50 * MS)
    assert host.told("send", view)


def test_routers_told_of_a_cold_worker_at_once_do_not_all_send_at_once():
    endpoints, first_attempts = [endpoint(n, "read") for n in range(4)] + [endpoint(9, "write")], []
    for seed in range(10):
        host = FakeHost(endpoints, routers=150, seed=seed)
        for n in range(40):
            host.wait(100 * MS)
            view = host.ask(session=f"{seed} {n}")
            read(host, view)
            host.first(view)
            host.ends(view, door.DONE, final=True)
        warming = host.router.workers[endpoints[0]]
        host.router.tell(host.now, (warming, "listed", "ready", host.now))
        first_attempts.append(warming.warming_next_at - host.now)
    assert len(set(first_attempts)) > 5 and max(first_attempts) - min(first_attempts) > 100 * MS


@pytest.mark.parametrize("usual_ms, doubted", [(0, True), (1500, False)], ids=["quick workers", "a loaded fleet"])
def test_unanswered_probes_say_nothing_before_the_usual_wait_is_over(usual_ms, doubted):
    """On a loaded fleet a probe takes as long as any request, so a worker that is silent for a second may be as healthy as
    the others of its role."""
    endpoints = [endpoint(1, "read"), endpoint(2, "read"), endpoint(3, "read"), endpoint(9, "write")]
    host = FakeHost(endpoints, probes=True)
    host.now = 10 * S
    workers = [host.router.workers[worker] for worker in endpoints]
    for worker in workers[1:3]:
        worker.first_token_times.add(host.now, usual_ms * MS)
    view = host.ask(session="a")
    host.wait(100 * MS)  # until the request stops waiting for reports, as none comes
    prefill_worker = host.router.workers[host.last(view)[2]]
    for _ in range(3):
        host.wait(300 * MS)
        prefill_worker.probing = True
        host.router.probed(host.now, prefill_worker.endpoint, door.TOO_SLOW, None)
    assert bool(prefill_worker.suspect) is doubted


def suspect_after_an_unanswered_repeat(window):
    """Whether the worker is suspect at which a repeat has no answer; with this window of the idempotency key."""
    workers = [endpoint(n, ("read", "write")[n % 2]) for n in range(16)]  # several may be suspect at a time
    host = FakeHost(workers, effect="receipted", group="all")
    host.case = dataclasses.replace(host.case, window=window, promised=2 * S, promised_per_k=0)
    view = host.ask()
    read(host, view)
    host.now += 4 * S
    host.ends(view, door.TOO_SLOW)
    read(host, view)  # the first state was released meanwhile
    _, _, repeated_at, repeat = host.last(view)
    assert not repeat.is_prefill
    host.now += 1 * S
    host.ends(view, door.TOO_SLOW)
    return host.router.workers[repeated_at].suspect


def test_a_worker_is_not_suspected_for_a_repeat_that_was_given_up_as_its_key_expired():
    assert not suspect_after_an_unanswered_repeat(5 * S)
    assert suspect_after_an_unanswered_repeat(9 * S)  # the repeat had its usual time
