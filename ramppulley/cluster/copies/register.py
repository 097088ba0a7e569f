"""A replicated register, changed by compare-and-set without a log. Does no I/O.

CASPaxos (Rystsov 2018): Paxos for a single value that may be changed again. A change first has a majority of the acceptors
promise to reject lower ballots, and learns the newest value from them; then it has a majority accept the value that it
computes from that. Any router may propose a change, so there is no owner and no take-over, and a router that was suspended
does no harm: its ballot is rejected where a higher one was seen.

An acceptor replies only after the state in its reply was flushed. After a restart it may have lost state that the disk
reported as flushed, so it is *recovering*, key by key: it votes on a key again after a majority that isn't recovering, or
all other acceptors, sent it their state (Viewstamped Replication Revisited, 4.3, and Protocol-Aware Recovery, FAST 18). An
acceptor with another disk is another acceptor: messages carry the identity of its log.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The higher of two ballots takes precedence; no two routers create the same one."""

    number: int = 0
    name: str = ""


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """State of a key at an acceptor: the highest ballot promised, and the last accepted ballot with its value."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: Any = None


class Message(msgspec.Struct, frozen=True, array_like=True):
    """`prepare`, `accept` and `tell` go to an acceptor; `promised`, `accepted`, `refused` and `told` are the replies.

    `to`: the identity of the log that it is addressed to.
    """

    kind: str
    key: str
    ballot: Ballot
    state: AcceptorState = AcceptorState()
    to: str = ""
    recovered: bool = True  # in `told`: the sender isn't recovering


def majority(count):
    """
    >>> majority(3), majority(4), majority(5)
    (2, 3, 3)
    """
    return count // 2 + 1


class Acceptor:
    """One router's replica. `others(key)`: {name: log identity} of the key's other acceptors.

    `writes` collects (ticket, key, AcceptorState): the host makes them durable in order and then calls `flushed(ticket)`. A
    ticket that it never reports is never answered. `out` collects (receiver, Message).
    """

    def __init__(self, identity, others, stored=(), restarted=False):
        self.identity, self.others, self.out, self.writes, self.ticket = identity, others, [], [], 0
        self.states, self.unflushed_replies = dict(stored), {}  # ticket -> (receiver, Message), sent once flushed
        self.restarted, self.recovered_keys, self.recovery_replies = restarted, set(), {}

    def recovering(self, key):
        return self.restarted and key not in self.recovered_keys

    def receive(self, sender, message):
        if message.kind == "told":
            return self._recover(sender, message)
        if message.to != self.identity:
            return None  # addressed to the disk that this router had before
        state = self.states.get(message.key, AcceptorState())
        if message.kind == "tell":
            self.out.append(
                (
                    sender,
                    Message("told", message.key, message.ballot, state, recovered=not self.recovering(message.key)),
                )
            )
        elif self.recovering(message.key):
            self._request_states(message.key)  # no reply: the proposer retries after the recovery
        elif message.kind == "prepare":
            if message.ballot <= state.promised:
                self.out.append((sender, Message("refused", message.key, message.ballot, state)))
            else:
                self._write(
                    message.key,
                    AcceptorState(message.ballot, state.accepted, state.value),
                    sender,
                    "promised",
                    message.ballot,
                )
        elif message.kind == "accept":
            if message.ballot < state.promised:
                self.out.append((sender, Message("refused", message.key, message.ballot, state)))
            else:
                self._write(
                    message.key,
                    AcceptorState(message.ballot, message.ballot, message.state.value),
                    sender,
                    "accepted",
                    message.ballot,
                )
        return None

    def _write(self, key, state, receiver, kind, ballot):
        self.ticket += 1
        self.states[key] = state
        self.writes.append((self.ticket, key, state))
        self.unflushed_replies[self.ticket] = receiver, Message(kind, key, ballot, state)

    def flushed(self, ticket):
        reply = self.unflushed_replies.pop(ticket, None)
        if reply is not None:
            self.out.append(reply)

    # Recovery after a restart
    def _request_states(self, key):
        self.recovery_replies.setdefault(key, {})
        for other, identity in self.others(key).items():
            self.out.append((other, Message("tell", key, Ballot(), to=identity)))

    def _recover(self, sender, message):
        replies, others = self.recovery_replies.get(message.key), self.others(message.key)
        if replies is None or sender not in others:
            return
        replies[sender] = message
        if sum(reply.recovered for reply in replies.values()) < majority(len(others) + 1) and len(replies) < len(
            others
        ):
            return
        own = self.states.get(message.key, AcceptorState())
        states = [own, *(reply.state for reply in replies.values())]
        newest = max(states, key=lambda state: state.accepted)
        self.states[message.key] = AcceptorState(max(state.promised for state in states), newest.accepted, newest.value)
        self.ticket += 1
        self.writes.append((self.ticket, message.key, self.states[message.key]))
        self.recovered_keys.add(message.key)
        del self.recovery_replies[message.key]


@dataclass
class Proposal:
    """One router's change of the register: `update(value)` returns the new value.

    `done` is set once a majority accepted it; then `value` is the new value and `before` the one it was computed from. The
    host calls `start_round` if it isn't done after a while, or gives up: then the outcome is unknown.
    """

    key: str
    name: str
    acceptors: dict  # name -> identity of its log
    update: Any
    round: int = 0
    done: bool = False
    value: Any = None
    before: Any = None
    out: list = field(default_factory=list)
    replies: dict = field(default_factory=dict)
    ballot: Ballot = Ballot()
    accepting: bool = False
    highest_refused_round: int = 0  # highest round promised by an acceptor that rejected ours

    def start_round(self):
        """Starts, or starts again with a ballot above all seen so far."""
        self.round = max(self.round, self.highest_refused_round) + 1
        self.ballot, self.replies, self.accepting = Ballot(self.round, self.name), {}, False
        self._broadcast(Message("prepare", self.key, self.ballot))

    def _broadcast(self, message):
        self.out += [(name, msgspec.structs.replace(message, to=identity)) for name, identity in self.acceptors.items()]

    def receive(self, sender, message):
        if message.kind == "refused":
            self.highest_refused_round = max(self.highest_refused_round, message.state.promised.number)
        if self.done or message.key != self.key or message.ballot != self.ballot or sender not in self.acceptors:
            return
        if message.kind == "promised" and not self.accepting:
            self.replies[sender] = message.state
            if len(self.replies) >= majority(len(self.acceptors)):
                newest = max(self.replies.values(), key=lambda state: state.accepted)
                self.before, self.value = newest.value, self.update(newest.value)
                self.accepting, self.replies = True, {}
                self._broadcast(Message("accept", self.key, self.ballot, AcceptorState(value=self.value)))
        elif message.kind == "accepted" and self.accepting:
            self.replies[sender] = message.state
            self.done = len(self.replies) >= majority(len(self.acceptors))
