"""Tests of load signals: their age, the trust in them, and the bounds of their effect on decisions."""

import os
from random import Random
from types import SimpleNamespace

import pytest
from fakehost import MS, FakeHost, S, endpoint, fleet
from rules_rig import read

from ramppulley import door
from ramppulley.check import replay
from ramppulley.cluster import signals
from ramppulley.cluster.signals import NOT_TRIED, Row, Signals
from ramppulley.rules import Router
from ramppulley.service import events

SCRIPTS = int(os.environ.get("RP_SCRIPTS", "300"))  # of lying routers, in the randomized test


def row(mark=7, prefill_tokens=0, kv_tokens=500, failure_percent=NOT_TRIED):
    return Row(mark, prefill_tokens, kv_tokens, failure_percent)


class SimulatedNetwork:
    """Some `Signals` on a simulated network: a datagram takes `transit` to arrive, unless `lost` drops it."""

    def __init__(self, count, transit=10, seed=1):
        self.now, self.transit, self.offset, self.run_ids = 1_000_000, transit, [0] * count, [1] * count
        self.rows, self.in_transit, self.lost, self.rng = (
            [[] for _ in range(count)],
            [],
            lambda a, b: False,
            Random(seed),
        )
        self.dead = set()
        self.signals = [self.make_signals(n) for n in range(count)]

    def make_signals(self, n):
        def present_peers():
            return {f"r{m}": m for m in range(len(self.rows)) if m != n and m not in self.dead}

        return Signals(lambda: self.rows[n], present_peers, self.rng, self.clock(n))

    def clock(self, n):
        return self.now + self.offset[n]

    def change_rows(self, n, *rows):
        self.rows[n] = list(rows)
        self.signals[n].changed(self.clock(n))

    def run(self, span):
        until = self.now + span
        while self.now < until:
            self.now += 10
            for datagram in [datagram for datagram in self.in_transit if datagram[0] <= self.now]:
                self.in_transit.remove(datagram)
                _, a, b, run_id, payload = datagram
                if b not in self.dead:
                    self.signals[b].receive(self.clock(b), a, payload, SimpleNamespace(sender=f"r{a}", run_id=run_id))
            for n, router in enumerate(self.signals):
                if n not in self.dead and router.due() <= self.clock(n):
                    router.tick(self.clock(n))
                for to, payload in router.out:
                    if not self.lost(n, to):
                        self.in_transit.append((self.now + self.transit, n, to, self.run_ids[n], payload))
                router.out.clear()

    def heard(self, n=0):
        return self.signals[n].heard(self.clock(n))


def test_what_others_have_out_is_added_up_and_a_change_is_heard_at_once():
    net = SimulatedNetwork(3)
    net.change_rows(1, row(kv_tokens=500, prefill_tokens=90))
    net.change_rows(2, row(kv_tokens=200))
    net.run(2 * S)
    load = net.heard()[7]
    assert (load.memory, load.unread, load.known) == (700, 90, 1.0)
    net.change_rows(1, row(kv_tokens=900))
    net.run(10 * MS)
    assert net.heard()[7].memory == 1100
    net.change_rows(1)
    net.run(10 * MS)
    assert net.heard()[7].memory == 200


@pytest.mark.parametrize(
    "transit, min_known, max_known", [(1 * MS, 1, 1), (60 * MS, 0.5, 0.9), (150 * MS, 0.1, 0.4), (500 * MS, 0, 0)]
)
def test_the_longer_news_are_under_way_the_less_they_count_and_late_ones_not_at_all(transit, min_known, max_known):
    net = SimulatedNetwork(2, transit=transit)
    net.change_rows(1, row())
    net.run(8 * S)
    heard = net.heard()
    assert bool(heard) is (max_known > 0)
    assert not heard or min_known <= heard[7].known <= max_known


def test_a_link_that_stalls_and_then_brings_all_at_once_brings_old_news():
    net = SimulatedNetwork(2)
    net.change_rows(1, row())
    net.run(3 * S)
    delayed = []
    net.lost = lambda a, b: delayed.append((net.now, a, b, 1, net.signals[a].out[-1][1])) or True
    net.run(6 * S)
    assert not net.heard()
    net.in_transit = [(net.now, *rest) for _, *rest in delayed if net.now - _ > 500 * MS]
    net.run(100 * MS)
    assert not net.heard()


def test_a_silent_routers_part_fades_and_comes_back_without_a_double_count():
    net = SimulatedNetwork(3)
    for n in (1, 2):
        net.change_rows(n, row())
    net.run(2 * S)
    net.lost = lambda a, b: a == 2
    net.run(3 * S)
    load = net.heard()[7]
    assert 0.6 < load.known < 0.9 and load.memory == 1000  # one router's claim is extrapolated to both
    net.run(2 * S)
    assert net.heard()[7].known == 0.5
    net.lost = lambda a, b: False
    net.run(S)
    assert (net.heard()[7].memory, net.heard()[7].known) == (1000, 1.0)


def test_one_that_ends_or_starts_anew_leaves_nothing_out():
    net = SimulatedNetwork(3)
    for n in (1, 2):
        net.change_rows(n, row())
    net.run(2 * S)
    net.dead.add(2)
    net.run(S)
    assert net.heard()[7].memory == 500 and "r2" not in net.signals[0].peers
    net.dead.clear()
    net.rows[2], net.run_ids[2] = [row(kv_tokens=9)], 2
    net.signals[2] = net.make_signals(2)
    net.run(2 * S)
    assert net.heard()[7].memory == 509


@pytest.mark.parametrize("who", [0, 1])
@pytest.mark.parametrize("step", [30 * S, 3 * S])
def test_after_a_clock_steps_news_count_again_within_seconds_and_late_ones_still_do_not(who, step):
    net = SimulatedNetwork(2)
    net.change_rows(1, row())
    net.run(3 * S)
    net.offset[who] += step
    net.run(4 * S)
    assert net.heard()[7].known == 1.0
    net.transit = 600 * MS
    net.run(6 * S)
    assert not net.heard()


def test_repeating_a_claim_adds_nothing_and_one_alone_finds_nobody_ill():
    net = SimulatedNetwork(4)
    net.change_rows(3, *[row(kv_tokens=10, failure_percent=100)] * 30)
    net.run(2 * S)
    assert net.heard()[7].memory == 10 and net.heard()[7].ill == 0
    net.change_rows(1, row(failure_percent=0, kv_tokens=10))
    net.change_rows(2, row(failure_percent=0, kv_tokens=10))
    net.run(2 * S)
    assert 0.3 < net.heard()[7].ill < 0.4


def test_a_router_that_claims_what_the_worker_itself_refutes_weighs_less_and_recovers_slowly():
    net = SimulatedNetwork(3)
    net.change_rows(1, row(prefill_tokens=90_000))
    net.change_rows(2, row(prefill_tokens=900))
    net.run(2 * S)
    for _ in range(4):
        net.signals[0].check_claims(net.now, 7, 1000, 100)
    assert net.signals[0].peers["r1"].trust < 0.2 and net.signals[0].peers["r2"].trust == 1
    net.change_rows(1, row(prefill_tokens=900))
    net.run(S)
    net.signals[0].check_claims(net.now, 7, 1000, 100)
    assert net.signals[0].peers["r1"].trust < 0.25


def test_where_workers_have_much_more_than_others_speak_of_they_are_known_less():
    net = SimulatedNetwork(3)
    net.change_rows(1, row(prefill_tokens=1))
    net.run(2 * S)
    for _ in range(60):
        net.signals[0].check_claims(net.now, 7, 5000, 0)
    assert net.heard()[7].known < 0.1
    net.change_rows(1, row(prefill_tokens=5000))
    net.run(S)
    for _ in range(60):
        net.signals[0].check_claims(net.now, 7, 5000, 0)
    assert net.heard()[7].known > 0.9


def test_rubbish_and_strangers_are_counted_and_change_nothing():
    receiver = Signals(list, lambda: {"b": 1}, Random(1), 0)
    good = signals._encoder.encode(signals.SignalMessage(1, 1, 0, 0, True, [row()]))
    receiver.receive(5, 1, good, SimpleNamespace(sender="c", run_id=1))
    receiver.receive(5, 1, b"\xff" + good, SimpleNamespace(sender="b", run_id=1))
    for bad in (row(failure_percent=101), row(kv_tokens=-1), row(mark=1 << 40), row(prefill_tokens=-1)):
        receiver.receive(
            5,
            1,
            signals._encoder.encode(signals.SignalMessage(1, 1, 0, 0, True, [bad])),
            SimpleNamespace(sender="b", run_id=1),
        )
    assert receiver.count == {"stranger": 1, "unreadable": 1, "out of bounds": 4} and not receiver.peers


def test_where_news_come_too_late_to_count_only_the_turns_are_sent():
    sent = []
    for transit in (1 * MS, 600 * MS):
        net, senders = SimulatedNetwork(4, transit=transit), []
        net.run(5 * S)
        net.lost = lambda a, b, senders=senders: senders.append(a) and False
        for number in range(20):
            net.change_rows(1, row(kv_tokens=number))
            net.run(50 * MS)
        sent.append(senders.count(1))
    assert sent[1] <= 22 and sent[0] > 60


def test_datagrams_a_second_are_bounded_whatever_the_number_of_others():
    sent = []
    for count in (4, 64, 500):
        peers = {f"r{n}": n for n in range(count)}
        sender = Signals(lambda: [row(n) for n in range(300)], peers.copy, Random(1), 0)
        sender.known = lambda now: 1.0
        for now in range(0, 10 * S, 100):
            sender.changed(now)
            sender.tick(now)
        sent.append(len(sender.out))
        assert max(len(payload) for _, payload in sender.out) <= signals.MAX_PAYLOAD_SIZE
    assert sent[1] == sent[2] <= 10 * signals.PER_SECOND + signals.BURST + 1


# Effect on the policy's decisions
def set_peer_reports(host, *rows, known=1.0, ill=0.0):
    for reported, prefill_tokens, kv_tokens in rows:
        reported.heard = door.PeerReport(prefill_tokens, kv_tokens, known, ill)
    host.router.told(host.now, [reported for reported, *_ in rows])


def test_a_reader_at_which_others_have_much_is_passed_over_for_its_like():
    prefill, decode, picks = [endpoint(1, "read"), endpoint(2, "read")], endpoint(9, "write"), []
    for busy, free in (prefill, prefill[::-1]):
        host = FakeHost([*prefill, decode])
        set_peer_reports(host, (busy, 9000, 0), (free, 0, 0))
        picks.append((host.last(host.ask())[2], free))
    assert all(picked is free for picked, free in picks)


def test_a_writer_that_others_fill_is_passed_over_for_its_like():
    decode, prefill = [endpoint(8, "write"), endpoint(9, "write")], endpoint(1, "read")
    for busy, free in (decode, decode[::-1]):
        host = FakeHost([*decode, prefill])
        set_peer_reports(host, (busy, 0, 90_000), (free, 0, 0))
        view = host.ask()
        read(host, view)
        assert host.last(view)[2] is free


def test_what_others_found_ill_is_tried_last_and_still_used_where_there_is_no_other():
    failing, healthy, decode = endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")
    host = FakeHost([failing, healthy, decode])
    set_peer_reports(host, (failing, 0, 0), ill=1.0)
    set_peer_reports(host, (healthy, 0, 0))
    assert host.last(host.ask(session="a"))[2] is healthy and host.last(host.ask(session="b"))[2] is healthy
    healthy.state = "gone"
    host.router.listed(host.now, [healthy])
    assert host.last(host.ask(session="c"))[2] is failing


def test_news_that_are_known_to_no_part_change_nothing():
    figures = []
    for with_signals in (False, True):
        host = FakeHost([endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")], routers=16)
        if with_signals:
            set_peer_reports(host, *[(reported, 1 << 31, 1 << 31) for reported in host.endpoints], known=0.0)
        host.ask()
        figures.append([w.own_figures(host.router.role_figures(w)[1]) for w in host.router.workers.values()])
    assert figures[0] == figures[1]


def test_by_whatever_is_told_a_load_a_wait_and_a_score_move_within_their_bounds():
    """Randomized: peers that lie in concert, compared with the same router without signals."""
    from ramppulley.rules import PEER_FAILURE_SCORE, PEER_LOAD_SHIFT_MAX, PEER_WAIT_SHIFT_MAX

    for seed in range(SCRIPTS):
        rng, figures = Random(seed), []
        for with_signals in (False, True):
            host = FakeHost(
                [endpoint(1, "read"), endpoint(2, "read"), endpoint(8, "write"), endpoint(9, "write")], routers=16
            )
            script = Random(f"{seed} host")
            for number in range(6):
                host.wait(script.randrange(400) * MS)
                view = host.ask(prompt=script.randrange(50, 9000), session=str(number))
                if host.told("send", view) and script.random() < 0.7:
                    host.ends(
                        view,
                        door.READ,
                        report=door.LoadReport(memory_share=script.random(), tokens_waiting=script.randrange(9000)),
                    )
            workers = list(host.router.workers.values())
            if with_signals:
                set_peer_reports(
                    host,
                    *[
                        (
                            w.endpoint,
                            rng.choice((0, 1 << 31, rng.randrange(99_999))),
                            rng.choice((0, 1 << 31, rng.randrange(200_000))),
                        )
                        for w in workers
                    ],
                    known=rng.random(),
                    ill=rng.random(),
                )
            view = next(iter(host.router.requests), None) or host.ask()
            figures.append(
                [
                    (w.own_figures(host.router.role_figures(w)[1]), host.router.admission.worker_score(w, view))
                    for w in workers
                ]
            )
        for (alone, score), (informed, informed_score) in zip(*figures):
            assert abs(informed.memory_load - alone.memory_load) <= PEER_LOAD_SHIFT_MAX + 1e-9, seed
            assert (
                abs(informed.queued_tokens - alone.queued_tokens) * informed.prefill_pace <= PEER_WAIT_SHIFT_MAX + 1e-6
            ), seed
            assert 0 <= informed_score - score <= PEER_FAILURE_SCORE, seed
            assert (informed.first_token_time, informed.prefill_pace, informed.stream_lateness) == (
                alone.first_token_time,
                alone.prefill_pace,
                alone.stream_lateness,
            ), seed


def test_a_router_that_hears_is_replayed_to_the_same_actions(tmp_path):
    host, views = FakeHost(fleet()), []
    host.asked.clear()
    host.router = events.Recorder(
        Router,
        tmp_path / "day.rec",
        host,
        seed=7,
        routers=16,
        zone=0,
        use_cases=[host.case],
        accounts=[],
        permits=door.Capabilities(),
        lawbook=host.router.policy_settings,
    )
    host.router.listed(0, host.endpoints)
    for number in range(30):
        host.wait(100 * MS)
        set_peer_reports(host, (host.endpoints[number % 8], 999 * number, 2000 * number), ill=number / 30)
        views.append(host.ask(session=str(number)))
    host.router.close()
    assert replay.replay(tmp_path / "day.rec", Router)["told"][0] == 30
    assert views[-1] in host.router.requests


def test_a_doubted_worker_is_tried_by_the_one_that_has_the_turn_and_by_others_once_it_did_well():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    view = host.ask()
    read(host, view)
    suspect = host.last(view)[2]
    host.ends(view, door.CUT)
    suspect.trial, worker, request = False, host.router.workers[suspect], host.router.requests[view]
    host.router.told(host.now, [suspect])
    host.wait(3 * S)
    assert worker.suspect and not worker.open_attempts and not worker.usable(request)
    suspect.trial = True
    assert worker.usable(request)
    worker.half_open_at = host.router.clock + 4 * S
    assert not worker.usable(request)
    suspect.heard = door.PeerReport(0, 0, 1.0, well=True)
    host.router.told(host.now, [suspect])
    assert worker.usable(request) and worker.suspect
