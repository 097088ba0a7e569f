"""Stories of what routers tell each other of workers: how old it is, how far it is believed, what it may move."""

import os
from random import Random
from types import SimpleNamespace

import pytest
from fakehost import MS, FakeHost, S, endpoint, fleet
from rules_rig import read

from ramppulley import door
from ramppulley.check import replay
from ramppulley.cluster import signals
from ramppulley.cluster.signals import NOTHING, Row, Signals
from ramppulley.rules import Router
from ramppulley.service import events

SCRIPTS = int(os.environ.get("RP_SCRIPTS", "300"))  # of liars, in the search


def row(mark=7, unread=0, memory=500, ill=NOTHING):
    return Row(mark, unread, memory, ill)


class Net:
    """Some machines and what lies between them: each datagram takes `way`, and comes unless `lost` says otherwise."""

    def __init__(self, count, way=10, seed=1):
        self.now, self.way, self.offset, self.lives = 1_000_000, way, [0] * count, [1] * count
        self.rows, self.under_way, self.lost, self.chance = (
            [[] for _ in range(count)],
            [],
            lambda a, b: False,
            Random(seed),
        )
        self.dead = set()
        self.all = [self.made(n) for n in range(count)]

    def made(self, n):
        def there():
            return {f"r{m}": m for m in range(len(self.rows)) if m != n and m not in self.dead}

        return Signals(lambda: self.rows[n], there, self.chance, self.clock(n))

    def clock(self, n):
        return self.now + self.offset[n]

    def tells(self, n, *rows):
        self.rows[n] = list(rows)
        self.all[n].changed(self.clock(n))

    def run(self, span):
        until = self.now + span
        while self.now < until:
            self.now += 10
            for one in [one for one in self.under_way if one[0] <= self.now]:
                self.under_way.remove(one)
                _, a, b, life, payload = one
                if b not in self.dead:
                    self.all[b].take(self.clock(b), a, payload, SimpleNamespace(sender=f"r{a}", life=life))
            for n, one in enumerate(self.all):
                if n not in self.dead and one.due() <= self.clock(n):
                    one.tick(self.clock(n))
                for to, payload in one.out:
                    if not self.lost(n, to):
                        self.under_way.append((self.now + self.way, n, to, self.lives[n], payload))
                one.out.clear()

    def heard(self, n=0):
        return self.all[n].heard(self.clock(n))


def test_what_others_have_out_is_added_up_and_a_change_is_heard_at_once():
    net = Net(3)
    net.tells(1, row(memory=500, unread=90))
    net.tells(2, row(memory=200))
    net.run(2 * S)
    one = net.heard()[7]
    assert (one.memory, one.unread, one.known) == (700, 90, 1.0)
    net.tells(1, row(memory=900))
    net.run(10 * MS)
    assert net.heard()[7].memory == 1100
    net.tells(1)
    net.run(10 * MS)
    assert net.heard()[7].memory == 200


@pytest.mark.parametrize(
    "way, least, most", [(1 * MS, 1, 1), (60 * MS, 0.5, 0.9), (150 * MS, 0.1, 0.4), (500 * MS, 0, 0)]
)
def test_the_longer_news_are_under_way_the_less_they_count_and_late_ones_not_at_all(way, least, most):
    net = Net(2, way=way)
    net.tells(1, row())
    net.run(8 * S)
    heard = net.heard()
    assert bool(heard) is (most > 0)
    assert not heard or least <= heard[7].known <= most


def test_a_link_that_stalls_and_then_brings_all_at_once_brings_old_news():
    net = Net(2)
    net.tells(1, row())
    net.run(3 * S)
    kept = []
    net.lost = lambda a, b: kept.append((net.now, a, b, 1, net.all[a].out[-1][1])) or True
    net.run(6 * S)
    assert not net.heard()
    net.under_way = [(net.now, *rest) for _, *rest in kept if net.now - _ > 500 * MS]
    net.run(100 * MS)
    assert not net.heard()


def test_a_silent_routers_part_fades_and_comes_back_without_a_double_count():
    net = Net(3)
    for n in (1, 2):
        net.tells(n, row())
    net.run(2 * S)
    net.lost = lambda a, b: a == 2
    net.run(3 * S)
    one = net.heard()[7]
    assert 0.6 < one.known < 0.9 and one.memory == 1000  # what one of two tells stands for the other
    net.run(2 * S)
    assert net.heard()[7].known == 0.5
    net.lost = lambda a, b: False
    net.run(S)
    assert (net.heard()[7].memory, net.heard()[7].known) == (1000, 1.0)


def test_one_that_ends_or_starts_anew_leaves_nothing_out():
    net = Net(3)
    for n in (1, 2):
        net.tells(n, row())
    net.run(2 * S)
    net.dead.add(2)
    net.run(S)
    assert net.heard()[7].memory == 500 and "r2" not in net.all[0].peers
    net.dead.clear()
    net.rows[2], net.lives[2] = [row(memory=9)], 2
    net.all[2] = net.made(2)
    net.run(2 * S)
    assert net.heard()[7].memory == 509


@pytest.mark.parametrize("who", [0, 1])
@pytest.mark.parametrize("step", [30 * S, 3 * S])
def test_after_a_clock_steps_news_count_again_within_seconds_and_late_ones_still_do_not(who, step):
    net = Net(2)
    net.tells(1, row())
    net.run(3 * S)
    net.offset[who] += step
    net.run(4 * S)
    assert net.heard()[7].known == 1.0
    net.way = 600 * MS
    net.run(6 * S)
    assert not net.heard()


def test_repeating_a_claim_adds_nothing_and_one_alone_finds_nobody_ill():
    net = Net(4)
    net.tells(3, *[row(memory=10, ill=100)] * 30)
    net.run(2 * S)
    assert net.heard()[7].memory == 10 and net.heard()[7].ill == 0
    net.tells(1, row(ill=0, memory=10))
    net.tells(2, row(ill=0, memory=10))
    net.run(2 * S)
    assert 0.3 < net.heard()[7].ill < 0.4


def test_a_router_that_claims_what_the_worker_itself_refutes_weighs_less_and_recovers_slowly():
    net = Net(3)
    net.tells(1, row(unread=90_000))
    net.tells(2, row(unread=900))
    net.run(2 * S)
    for _ in range(4):
        net.all[0].saw(net.now, 7, 1000, 100)
    assert net.all[0].peers["r1"].trust < 0.2 and net.all[0].peers["r2"].trust == 1
    net.tells(1, row(unread=900))
    net.run(S)
    net.all[0].saw(net.now, 7, 1000, 100)
    assert net.all[0].peers["r1"].trust < 0.25


def test_where_workers_have_much_more_than_others_speak_of_they_are_known_less():
    net = Net(3)
    net.tells(1, row(unread=1))
    net.run(2 * S)
    for _ in range(60):
        net.all[0].saw(net.now, 7, 5000, 0)
    assert net.heard()[7].known < 0.1
    net.tells(1, row(unread=5000))
    net.run(S)
    for _ in range(60):
        net.all[0].saw(net.now, 7, 5000, 0)
    assert net.heard()[7].known > 0.9


def test_rubbish_and_strangers_are_counted_and_change_nothing():
    one = Signals(list, lambda: {"b": 1}, Random(1), 0)
    good = signals._encoder.encode(signals.Told(1, 1, 0, 0, True, [row()]))
    one.take(5, 1, good, SimpleNamespace(sender="c", life=1))
    one.take(5, 1, b"\xff" + good, SimpleNamespace(sender="b", life=1))
    for bad in (row(ill=101), row(memory=-1), row(mark=1 << 40), row(unread=-1)):
        one.take(
            5, 1, signals._encoder.encode(signals.Told(1, 1, 0, 0, True, [bad])), SimpleNamespace(sender="b", life=1)
        )
    assert one.count == {"stranger": 1, "unreadable": 1, "out of bounds": 4} and not one.peers


def test_where_news_come_too_late_to_count_only_the_turns_are_sent():
    sent = []
    for way in (1 * MS, 600 * MS):
        net, said = Net(4, way=way), []
        net.run(5 * S)
        net.lost = lambda a, b, said=said: said.append(a) and False
        for number in range(20):
            net.tells(1, row(memory=number))
            net.run(50 * MS)
        sent.append(said.count(1))
    assert sent[1] <= 22 and sent[0] > 60


def test_datagrams_a_second_are_bounded_whatever_the_number_of_others():
    sent = []
    for count in (4, 64, 500):
        there = {f"r{n}": n for n in range(count)}
        one = Signals(lambda: [row(n) for n in range(300)], there.copy, Random(1), 0)
        one.known = lambda now: 1.0
        for now in range(0, 10 * S, 100):
            one.changed(now)
            one.tick(now)
        sent.append(len(one.out))
        assert max(len(payload) for _, payload in one.out) <= signals.SAFE_SIZE
    assert sent[1] == sent[2] <= 10 * signals.PER_SECOND + signals.BURST + 1


# What the module makes of it
def told(host, *rows, known=1.0, ill=0.0):
    for where, unread, memory in rows:
        where.heard = door.PeerReport(unread, memory, known, ill)
    host.router.told(host.now, [where for where, *_ in rows])


def test_a_reader_at_which_others_have_much_is_passed_over_for_its_like():
    some, writer, picks = [endpoint(1, "read"), endpoint(2, "read")], endpoint(9, "write"), []
    for busy, free in (some, some[::-1]):
        host = FakeHost([*some, writer])
        told(host, (busy, 9000, 0), (free, 0, 0))
        picks.append((host.last(host.ask())[2], free))
    assert all(picked is free for picked, free in picks)


def test_a_writer_that_others_fill_is_passed_over_for_its_like():
    some, reader = [endpoint(8, "write"), endpoint(9, "write")], endpoint(1, "read")
    for busy, free in (some, some[::-1]):
        host = FakeHost([*some, reader])
        told(host, (busy, 0, 90_000), (free, 0, 0))
        view = host.ask()
        read(host, view)
        assert host.last(view)[2] is free


def test_what_others_found_ill_is_tried_last_and_still_used_where_there_is_no_other():
    ill, well, writer = endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")
    host = FakeHost([ill, well, writer])
    told(host, (ill, 0, 0), ill=1.0)
    told(host, (well, 0, 0))
    assert host.last(host.ask(session="a"))[2] is well and host.last(host.ask(session="b"))[2] is well
    well.state = "gone"
    host.router.listed(host.now, [well])
    assert host.last(host.ask(session="c"))[2] is ill


def test_news_that_are_known_to_no_part_change_nothing():
    figures = []
    for hears in (False, True):
        host = FakeHost([endpoint(1, "read"), endpoint(2, "read"), endpoint(9, "write")], routers=16)
        if hears:
            told(host, *[(where, 1 << 31, 1 << 31) for where in host.endpoints], known=0.0)
        host.ask()
        figures.append([w.own_figures(host.router.role_figures(w)[1]) for w in host.router.workers.values()])
    assert figures[0] == figures[1]


def test_by_whatever_is_told_a_load_a_wait_and_a_score_move_within_their_bounds():
    """Search: seeded scripts of liars in concert against the same router that hears nothing."""
    from ramppulley.rules import PEER_FAILURE_SCORE, PEER_LOAD_SHIFT_MAX, PEER_WAIT_SHIFT_MAX

    for seed in range(SCRIPTS):
        chance, figures = Random(seed), []
        for hears in (False, True):
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
            if hears:
                told(
                    host,
                    *[
                        (
                            w.endpoint,
                            chance.choice((0, 1 << 31, chance.randrange(99_999))),
                            chance.choice((0, 1 << 31, chance.randrange(200_000))),
                        )
                        for w in workers
                    ],
                    known=chance.random(),
                    ill=chance.random(),
                )
            view = next(iter(host.router.requests), None) or host.ask()
            figures.append(
                [
                    (w.own_figures(host.router.role_figures(w)[1]), host.router.admission.worker_score(w, view))
                    for w in workers
                ]
            )
        for (alone, score), (heard, heard_score) in zip(*figures):
            assert abs(heard.memory_load - alone.memory_load) <= PEER_LOAD_SHIFT_MAX + 1e-9, seed
            assert abs(heard.queued_tokens - alone.queued_tokens) * heard.prefill_pace <= PEER_WAIT_SHIFT_MAX + 1e-6, (
                seed
            )
            assert 0 <= heard_score - score <= PEER_FAILURE_SCORE, seed
            assert (heard.first_token_time, heard.prefill_pace, heard.stream_lateness) == (
                alone.first_token_time,
                alone.prefill_pace,
                alone.stream_lateness,
            ), seed


def test_a_router_that_hears_is_replayed_to_the_same_actions(tmp_path):
    host, kept = FakeHost(fleet()), []
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
        told(host, (host.endpoints[number % 8], 999 * number, 2000 * number), ill=number / 30)
        kept.append(host.ask(session=str(number)))
    host.router.close()
    assert replay.replay(tmp_path / "day.rec", Router)["told"][0] == 30
    assert kept[-1] in host.router.requests


def test_a_doubted_worker_is_tried_by_the_one_that_has_the_turn_and_by_others_once_it_did_well():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write"), endpoint(3, "write")])
    view = host.ask()
    read(host, view)
    sick = host.last(view)[2]
    host.ends(view, door.CUT)
    sick.trial, worker, request = False, host.router.workers[sick], host.router.requests[view]
    host.router.told(host.now, [sick])
    host.wait(3 * S)
    assert worker.suspect and not worker.open_attempts and not worker.usable(request)
    sick.trial = True
    assert worker.usable(request)
    worker.half_open_at = host.router.clock + 4 * S
    assert not worker.usable(request)
    sick.heard = door.PeerReport(0, 0, 1.0, well=True)
    host.router.told(host.now, [sick])
    assert worker.usable(request) and worker.suspect
