"""Tests of leases: their holders, suspended processes, clock steps and drift, partitions, and invalid input."""

import os
from random import Random
from types import SimpleNamespace

import pytest

from ramppulley.cluster import turns
from ramppulley.cluster.turns import CLOCK_DRIFT, FALLBACK_DELAY, LEASE_TIME, MS, STALL_TIME, LeaseManager, S

SCRIPTS = int(os.environ.get("RP_SCRIPTS", "60"))
# time after the start until the leases of previous runs have ended
SETTLED = int(LEASE_TIME * (1 + CLOCK_DRIFT)) + STALL_TIME + 100 * MS


class SimulatedNetwork:
    """Members with drifting clocks, suspensions and partitions. `view[n]`: the members that member n considers present."""

    def __init__(self, count, seed=1, loss=0.0, drift=0.0):
        self.now, self.rng, self.loss, self.in_transit = 1_000_000, Random(seed), loss, []
        self.names = [f"r{n}" for n in range(count)]
        self.rate = [1 + drift * self.rng.uniform(-0.5, 0.5) for _ in self.names]
        self.step, self.suspended_until, self.cut = [0] * count, [0] * count, lambda a, b: False
        self.view = [set(range(count)) - {n} for n in range(count)]
        self.members = [
            LeaseManager(name, lambda n=n: {f"r{m}": m for m in self.view[n]}, lambda: count, self.clock(n))
            for n, name in enumerate(self.names)
        ]

    def clock(self, n):
        return int(self.now * self.rate[n]) + self.step[n]

    def run(self, span, check=lambda net: None):
        until = self.now + span
        while self.now < until:
            self.now += 100
            for datagram in [
                datagram
                for datagram in self.in_transit
                if datagram[0] <= self.now and self.now >= self.suspended_until[datagram[2]]
            ]:
                self.in_transit.remove(datagram)
                _, a, b, payload = datagram
                self.members[b].receive(self.clock(b), a, payload, SimpleNamespace(sender=f"r{a}"))
            for n, member in enumerate(self.members):
                if self.now < self.suspended_until[n]:
                    continue
                if member.due() <= self.clock(n):
                    member.tick(self.clock(n))
                for to, payload in member.out:
                    if not self.cut(n, to) and self.rng.random() >= self.loss:
                        self.in_transit.append((self.now + self.rng.randrange(10, 300), n, to, payload))
                member.out.clear()
            check(self)

    def holders(self, resource="x"):
        """Members that would act now: a suspended one doesn't, even if it believes that it holds the lease."""
        return [
            n
            for n, member in enumerate(self.members)
            if self.now >= self.suspended_until[n] and member.holds(self.clock(n), resource)
        ]

    def all_want(self, permits=1):
        for n, member in enumerate(self.members):
            member.request(self.clock(n), "x", permits)


def test_one_of_many_holds_it_and_after_it_another():
    net, past_holders = SimulatedNetwork(8), []
    net.run(SETTLED)
    net.all_want()

    def check(net):
        assert len(net.holders()) <= 1
        for n in net.holders():
            if n not in past_holders:
                past_holders.append(n)
                net.members[n].release(net.clock(n), "x")

    net.run(8 * S, check)
    assert sorted(past_holders) == list(range(8))


def test_as_many_hold_it_as_it_has_seats():
    net, holder_counts = SimulatedNetwork(8), []
    net.run(SETTLED)
    net.all_want(3)
    net.run(2 * S, lambda net: holder_counts.append(len(net.holders())))
    assert max(holder_counts) == 3


def test_a_holder_that_is_stopped_finds_its_time_over_before_another_has_the_turn():
    net = SimulatedNetwork(6)
    net.run(SETTLED)
    net.all_want()
    coordinator = int(net.members[0].coordinator("x")[1:])
    net.members[coordinator].release(net.clock(coordinator), "x")
    net.run(S)
    holder = net.holders()[0]
    net.suspended_until[holder] = net.now + 10 * S
    net.run(4 * S)
    assert net.holders() and holder not in net.holders()
    net.run(7 * S, lambda net: [None for _ in [0] if len(net.holders()) > 1 and pytest.fail("two holders")])


def test_a_steward_that_stood_still_or_whose_clock_stepped_gives_nothing_for_a_leases_time():
    for pause, step in ((3 * S, 0), (0, 30 * S)):
        net = SimulatedNetwork(6)
        net.run(SETTLED)
        net.all_want()
        net.run(S)
        coordinator = int(net.members[0].coordinator("x")[1:])
        holder = net.holders()[0]
        net.suspended_until[coordinator], net.step[coordinator] = net.now + pause, step
        if holder == coordinator:
            continue
        net.run(LEASE_TIME, lambda net: [pytest.fail("two holders") for _ in [0] if len(net.holders()) > 1])


def test_who_becomes_steward_waits_for_what_the_one_before_may_have_given():
    net = SimulatedNetwork(9)
    net.run(SETTLED)
    old = int(net.members[0].coordinator("x")[1:])
    net.all_want()
    net.members[old].release(net.clock(old), "x")
    net.run(S)
    holder = net.holders()[0]
    for n in range(9):
        net.view[n] -= {old}
    net.cut = lambda a, b: holder in (a, b)  # the holder is partitioned from all others
    net.run(6 * S, lambda net: [pytest.fail("two holders") for _ in [0] if len(net.holders()) > 1])
    assert net.holders() and net.holders() != [holder]


def test_the_lesser_part_gives_nothing_and_acts_alone_after_a_while():
    net = SimulatedNetwork(7)
    net.run(SETTLED)
    minority = {0, 1, 2}
    net.cut = lambda a, b: (a in minority) != (b in minority)
    for n in range(7):
        net.view[n] = (minority if n in minority else set(range(7)) - minority) - {n}
    net.all_want()
    net.run(5 * S, lambda net: [pytest.fail("holder in the minority") for n in net.holders() if n in minority])
    assert len([n for n in net.holders()]) == 1


def test_where_no_steward_answers_one_acts_as_without_turns_after_a_while():
    net = SimulatedNetwork(3)
    net.run(SETTLED)
    net.cut = lambda a, b: True
    net.all_want()
    follower = next(n for n in range(3) if net.members[n].coordinator("x") != f"r{n}")
    net.run(FALLBACK_DELAY - 200 * MS)
    assert not net.members[follower].may_act(net.clock(follower), "x")
    net.run(400 * MS)
    assert net.members[follower].may_act(net.clock(follower), "x") and not net.members[follower].holds(
        net.clock(follower), "x"
    )


def test_an_answer_to_an_asking_before_gives_no_time():
    member = LeaseManager("a", lambda: {"b": 1}, lambda: 2, 0)
    member.request(0, "x")
    member.tick(0)
    late_grant = turns._encoder.encode(turns.LeaseMessage(1, "give", "x", member.wanted["x"].number))
    member.tick(3 * S)
    member.receive(3 * S, 1, late_grant, SimpleNamespace(sender="b"))
    assert not member.holds(3 * S, "x")


def test_rubbish_and_strangers_are_counted_and_change_nothing():
    member = LeaseManager("a", lambda: {"b": 1}, lambda: 2, 0)
    for message in (
        turns.LeaseMessage(1, "ask", "", 1),
        turns.LeaseMessage(1, "ask", "x" * 99, 1),
        turns.LeaseMessage(1, "ask", "x", 1, 1 << 20),
    ):
        member.receive(9 * S, 1, turns._encoder.encode(message), SimpleNamespace(sender="b"))
    member.receive(9 * S, 1, turns._encoder.encode(turns.LeaseMessage(1, "ask", "x", 1)), SimpleNamespace(sender="c"))
    member.receive(9 * S, 1, b"\xff", SimpleNamespace(sender="b"))
    assert (
        member.count["out of bounds"] == 4 and member.count["unreadable"] == 1 and not member.granted and not member.out
    )


def test_while_members_see_the_same_no_two_hold_one_turn_whatever_drifts_stops_and_is_lost():
    """Randomized: clocks that drift within the bound and step, suspended members, and lost messages."""
    for seed in range(SCRIPTS):
        rng = Random(f"{seed} script")
        net = SimulatedNetwork(rng.randrange(3, 8), seed, loss=rng.choice((0, 0.3)), drift=CLOCK_DRIFT)
        net.run(SETTLED)
        net.all_want()

        def check(net, rng=rng, seed=seed):
            holders = net.holders()
            assert len(holders) <= 1, (seed, holders)
            if holders and rng.random() < 0.01:
                net.members[holders[0]].release(net.clock(holders[0]), "x")
                net.members[holders[0]].request(net.clock(holders[0]), "x")
            if rng.random() < 0.004:
                net.suspended_until[rng.randrange(len(net.members))] = net.now + rng.randrange(4 * S)
            if rng.random() < 0.002:
                net.step[rng.randrange(len(net.members))] += rng.choice((300 * MS, 900 * MS, 30 * S))

        net.run(12 * S, check)
