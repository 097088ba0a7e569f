"""Applies updates about other instances: precedence, suspicion and its confirmations (SWIM, section 4.2)."""

from typing import NamedTuple

from ramppulley.cluster.broadcasts import BroadcastQueue
from ramppulley.cluster.config import ProtocolConfig
from ramppulley.cluster.member_table import END_STATES, NO_INCARNATION, PRECEDENCE, Member, MemberTable
from ramppulley.cluster.suspicion import suspicion_timeout
from ramppulley.cluster.words import MemberUpdate, State


class StateChange(NamedTuple):
    """An event for the host: a member entered this state."""

    state: State
    name: str


class MembershipView:
    """Applies updates to the table; effective ones are broadcast, and state changes appended to `events` for the host."""

    def __init__(self, config: ProtocolConfig, table: MemberTable, broadcasts: BroadcastQueue) -> None:
        self.config = config
        self.table = table
        self.broadcasts = broadcasts
        self.events: list[StateChange] = []

    def apply(self, now: int, update: MemberUpdate) -> None:
        """Applies one update about another instance."""
        member = self.table.get(update.name)
        if member is None:
            if update.state in END_STATES:
                return  # the end of an unknown instance is of no interest
            member = self.table.add(update.name, (update.host, update.port), now)
        if member is None:
            return
        if update.state == member.state == "suspect" and update.incarnation == member.incarnation:
            self._confirm(now, member, update)
        elif overrides(update, member):
            self._change(now, member, update)

    def _change(self, now: int, member: Member, update: MemberUpdate) -> None:
        state_before = member.state
        new = member.incarnation == NO_INCARNATION
        if update.state == "alive" or new:  # others may report attributes of an earlier run
            member.machine, member.zone, member.traffic = update.machine, update.zone, update.traffic
        member.address = (update.host, update.port)
        member.state = update.state
        member.incarnation = update.incarnation
        member.since = now
        member.accusers = frozenset()
        if update.state == "suspect":
            member.accusers = frozenset([update.reported_by])
            member.suspected_until = now + self.suspicion_timeout(1)
        self.broadcasts.put(update)
        if new or state_before != update.state:
            self.events.append(StateChange(update.state, member.name))

    def _confirm(self, now: int, member: Member, update: MemberUpdate) -> None:
        """Another instance suspects it independently: the time left for a refutation shrinks."""
        if update.reported_by in member.accusers or len(member.accusers) > self.config.suspicion_confirmations:
            return
        member.accusers |= {update.reported_by}
        confirmed_end = member.since + self.suspicion_timeout(len(member.accusers))
        member.suspected_until = min(member.suspected_until, confirmed_end)
        self.broadcasts.put(update)

    def suspicion_timeout(self, accusers: int) -> int:
        """How long a suspicion by this number of instances waits for a refutation."""
        return suspicion_timeout(self.config, self.table.size(), accusers)


def overrides(update: MemberUpdate, member: Member) -> bool:
    """Whether an update overrides what we know: by incarnation, at equal incarnation by the precedence of its state.

    Dead and left are only overridden by dead or left, or by a higher incarnation.
    """
    update_rank = update.incarnation, PRECEDENCE[update.state]
    known_rank = member.incarnation, PRECEDENCE[member.state]
    if update_rank <= known_rank:
        return False
    return update.state in END_STATES or not member.ended or update.incarnation > member.incarnation
