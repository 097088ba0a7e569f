"""Bounded table of the other instances, with random selection for probes and gossip."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from operator import attrgetter

from ramppulley.cluster.counters import Occurrence
from ramppulley.cluster.rng import RandomSource
from ramppulley.cluster.words import Address, MemberUpdate, State

PRECEDENCE: dict[State, int] = {
    "alive": 0,
    "suspect": 1,
    "dead": 2,
    "left": 3,
}  # at equal incarnation the higher overrides
END_STATES: tuple[State, ...] = "dead", "left"
NO_INCARNATION = -1  # of a member that no update was applied to yet


@dataclass
class Member:
    """Our knowledge of another instance."""

    name: str
    address: Address
    state: State
    incarnation: int
    since: int  # when it entered its state
    suspected_until: int = 0
    accusers: frozenset[str] = frozenset()
    machine: str = ""
    zone: str = ""
    traffic: int = 0  # binary logarithm of requests per second

    @property
    def ended(self) -> bool:
        """Whether it is dead or has left; a suspect has not ended."""
        return self.state in END_STATES

    def update(self, reported_by: str, state: State | None = None) -> MemberUpdate:
        """An update about it as reported by `reported_by`, with the given state instead of its own if there is one."""
        return MemberUpdate(
            self.name,
            self.address[0],
            self.address[1],
            state or self.state,
            self.incarnation,
            reported_by,
            self.machine,
            self.zone,
            self.traffic,
        )


by_name = attrgetter("name")  # sort key: random choices must not depend on the order in which members were added


class MemberTable:
    """Up to `capacity` members by name, and the order in which they are probed."""

    def __init__(self, capacity: int, rng: RandomSource, count: Counter[str]) -> None:
        self.capacity = capacity
        self.rng = rng
        self.count = count
        self.members: dict[str, Member] = {}
        self.probe_order: list[str] = []  # names that are still to be probed in this round

    def get(self, name: str) -> Member | None:
        """The member of that name, None if it is unknown."""
        return self.members.get(name)

    def all(self) -> list[Member]:
        """All members sorted by name, including ended ones."""
        return sorted(self.members.values(), key=by_name)

    def present_names(self) -> list[str]:
        """Sorted names of the members that have not ended, including suspects."""
        return sorted(member.name for member in self.members.values() if not member.ended)

    def size(self) -> int:
        """Number of instances that have not ended, including this one."""
        return 1 + sum(member.state not in END_STATES for member in self.members.values())

    def suspects(self) -> list[Member]:
        """Members that are suspects."""
        return [member for member in self.members.values() if member.state == "suspect"]

    def dead(self) -> list[Member]:
        """Members considered dead, sorted by name."""
        return sorted((member for member in self.members.values() if member.state == "dead"), key=by_name)

    def sample(self, count: int, exclude: Collection[str] = (), with_suspects: bool = False) -> list[Member]:
        """Up to `count` random members that are alive, or suspects with `with_suspects`."""
        states = ("alive", "suspect") if with_suspects else ("alive",)
        candidates = [
            member for member in self.members.values() if member.state in states and member.name not in exclude
        ]
        candidates.sort(key=by_name)
        return self.rng.sample(candidates, min(count, len(candidates)))

    def next_to_probe(self) -> Member | None:
        """Each member is probed once per round, in random order, so that a dead one is detected in bounded time."""
        while True:
            if not self.probe_order:
                self.probe_order = self.present_names()
                self.rng.shuffle(self.probe_order)
            if not self.probe_order:
                return None
            member = self.members.get(self.probe_order.pop())
            if member is not None and not member.ended:
                return member

    def add(self, name: str, address: Address, now: int) -> Member | None:
        """Adds a member without any update; None if the table is full and no member has ended."""
        if not self._evict_if_full():
            return None
        member = self.members[name] = Member(name, address, "alive", NO_INCARNATION, now)
        self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), name)
        return member

    def _evict_if_full(self) -> bool:
        """Removes the member that ended first if the table is full; whether there is room."""
        if len(self.members) < self.capacity:
            return True
        ended = [member for member in self.members.values() if member.ended]
        if ended:
            del self.members[min(ended, key=lambda member: (member.since, member.name)).name]
        self.count[Occurrence.NO_CAPACITY] += not ended
        return bool(ended)

    def expire(self, now: int, retention: int) -> None:
        """Removes members that ended at least `retention` ago."""
        expired = [member for member in self.members.values() if member.ended and now - member.since >= retention]
        for member in expired:
            del self.members[member.name]
