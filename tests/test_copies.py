"""Tests of the replicated register on a simulated network with simulated disks; each run is determined by its seed."""

import os
from random import Random

import pytest

from ramppulley.cluster.copies import register
from ramppulley.cluster.copies.register import Acceptor, AcceptorState, Ballot, Message, Proposal

SEEDS = int(os.environ.get("RP_SEEDS", "1500"))


class Simulation:
    """Three acceptors with disks, and some routers that change one key at the same time.

    A router runs the effect if its change turned the empty value into its intent; then it records the end. Messages are
    lost, delayed and duplicated; acceptors crash, one of them with a disk that reports flushes it didn't do.
    """

    def __init__(self, seed, routers=3, steps=900):
        self.rng, self.steps = Random(seed), steps
        self.names = ["h0", "h1", "h2"]
        self.identity = {name: f"{name}-1" for name in self.names}
        self.disks = {name: [] for name in self.names}  # durable (ticket, key, AcceptorState)
        self.lying_disk = self.rng.choice([*self.names, None])
        self.acceptors = {name: self.make_acceptor(name) for name in self.names}
        self.in_transit, self.ran, self.end_proposals, self.answers = [], [], {}, []
        self.proposals = {}
        for number in range(routers):
            self.begin(f"r{number}")

    def others(self, name):
        return {other: self.identity[other] for other in self.names if other != name}

    def make_acceptor(self, name, restarted=False):
        stored = {key: state for _, key, state in self.disks[name]}
        return Acceptor(self.identity[name], lambda key: self.others(name), stored, restarted)

    def begin(self, router):
        self.proposals[router] = Proposal("k", router, dict(self.identity), lambda value: value or ["intent", router])
        self.proposals[router].start_round()

    def on_done(self, router, proposal):
        if proposal.value == ["intent", router]:  # ours, perhaps from an earlier round: no other router runs it
            self.ran.append(router)
            self.end_proposals[router] = Proposal(
                "k",
                router + "e",
                dict(self.identity),
                lambda value: value if value and value[0] == "ended" else ["ended", router],
            )
            self.end_proposals[router].start_round()
        else:
            self.answers.append(list(proposal.value))

    def step(self):  # noqa: C901 - one branch a kind of step
        rng, draw = self.rng, self.rng.random()
        proposals = {**self.proposals, **{name + "e": proposal for name, proposal in self.end_proposals.items()}}
        for name, proposal in proposals.items():
            self.in_transit += [(name, to, message) for to, message in proposal.out]
            proposal.out.clear()
        for name, acceptor in self.acceptors.items():
            self.in_transit += [(name, to, message) for to, message in acceptor.out]
            acceptor.out.clear()
        if draw < 0.55 and self.in_transit:
            index = rng.randrange(len(self.in_transit))
            sender, to, message = self.in_transit[index]
            if rng.random() < 0.9:  # else it is duplicated
                del self.in_transit[index]
            if rng.random() < 0.9:  # else it is lost
                if to in self.acceptors:
                    self.acceptors[to].receive(sender, message)
                elif to in proposals:
                    self.deliver(to, proposals[to], sender, message)
        elif draw < 0.85:
            name = rng.choice(self.names)
            acceptor = self.acceptors[name]
            if acceptor.writes:
                write = acceptor.writes.pop(0)
                if name != self.lying_disk or rng.random() < 0.5:
                    self.disks[name].append(write)
                acceptor.flushed(write[0])
        elif draw < 0.86:
            name = rng.choice(self.names)
            self.acceptors[name] = self.make_acceptor(name, restarted=True)
        elif draw < 0.92 and proposals:
            name = rng.choice(sorted(proposals))
            if not proposals[name].done and rng.random() < 0.5:
                proposals[name].start_round()
            elif name in self.proposals and len(self.proposals) < 7:
                self.begin(f"r{len(self.proposals)}")  # a client retries at another router
        del self.in_transit[:-60]

    def deliver(self, name, proposal, sender, message):
        was_done = proposal.done
        proposal.receive(sender, message)
        if proposal.done and not was_done and name in self.proposals:
            self.on_done(name, proposal)

    def run(self):
        for _ in range(self.steps):
            self.step()
        return self

    def violated(self):
        """Whether an effect ran twice, or two different answers were given."""
        ends = {tuple(answer) for answer in self.answers if answer[0] == "ended"}
        ends |= {tuple(proposal.value) for proposal in self.end_proposals.values() if proposal.done}
        return len(self.ran) > 1 or len(ends) > 1


def first_failing_seed(seeds=SEEDS):
    return next((seed for seed in range(seeds) if Simulation(seed).run().violated()), None)


def test_no_effect_runs_twice_and_no_answer_changes_whatever_crashes_lies_and_is_lost():
    assert first_failing_seed() is None, "reproduce with Simulation(seed).run()"


def test_the_worlds_do_get_somewhere():
    runs = [Simulation(seed).run() for seed in range(100)]
    assert sum(bool(run.ran) for run in runs) > 60 and sum(bool(run.answers) for run in runs) > 20
    assert sum(any(proposal.done for proposal in run.end_proposals.values()) for run in runs) > 30


def write_without_flush(acceptor, key, state, receiver, kind, ballot):
    acceptor.states[key] = state
    acceptor.ticket += 1
    acceptor.writes.append((acceptor.ticket, key, state))
    acceptor.out.append((receiver, Message(kind, key, ballot, state)))


MUTANTS = {
    "answers before the flush": lambda patch: (
        patch.setattr(Acceptor, "_write", write_without_flush),
        patch.setattr(Acceptor, "recovering", lambda self, key: False),
    ),
    "a majority short by one": lambda patch: patch.setattr(register, "majority", lambda count: count // 2),
    "a restarted holder votes at once": lambda patch: patch.setattr(Acceptor, "recovering", lambda self, key: False),
    "recovers from whoever answers first": lambda patch: patch.setattr(
        Acceptor, "_recover", lambda self, sender, message: self.recovered_keys.add(message.key)
    ),
    "ballots are not compared": lambda patch: patch.setattr(Ballot, "__lt__", lambda self, other: False),
    "takes the first value that it hears": lambda patch: patch.setattr(
        register, "max", lambda *values, key=None: next(iter(values[0])) if key else max(*values), raising=False
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_register_that_is_broken_in_one_place_is_found(name, monkeypatch):
    MUTANTS[name](monkeypatch)
    assert first_failing_seed(20_000) is not None


def test_a_holder_with_another_disk_does_not_answer_for_the_one_before():
    acceptor = Acceptor("h-2", lambda key: {})
    acceptor.receive("r", Message("prepare", "k", Ballot(1, "r"), to="h-1"))
    assert not acceptor.out and not acceptor.writes


def test_a_recovering_holder_takes_over_what_the_others_know_before_it_votes():
    acceptor = Acceptor("h0", lambda key: {"h1": "h1", "h2": "h2"}, restarted=True)
    acceptor.receive("r", Message("prepare", "k", Ballot(1, "r"), to="h0"))
    assert [message.kind for _, message in acceptor.out] == ["tell", "tell"] and not acceptor.writes
    acceptor.receive("h1", Message("told", "k", Ballot(), AcceptorState(Ballot(9, "a"), Ballot(3, "a"), "v")))
    assert acceptor.recovering("k")
    acceptor.receive("h2", Message("told", "k", Ballot(), AcceptorState(Ballot(4, "b"), Ballot(2, "b"), "w")))
    assert acceptor.states["k"] == AcceptorState(Ballot(9, "a"), Ballot(3, "a"), "v") and not acceptor.recovering("k")
    acceptor.out.clear()
    acceptor.receive("r", Message("prepare", "k", Ballot(5, "r"), to="h0"))
    assert acceptor.out[0][1].kind == "refused"
