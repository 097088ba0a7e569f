"""Dissemination: queued updates, each piggybacked on a bounded number of packets (SWIM, section 4.1)."""

from collections.abc import Sequence
from dataclasses import dataclass

from ramppulley.cluster.words import MemberUpdate


@dataclass
class Broadcast:
    """A queued update."""

    update: MemberUpdate
    serial: int  # higher for newer updates
    transmissions: int = 0

    def priority(self) -> tuple[int, int]:
        """Sort key: fewest transmissions first, then newest first."""
        return self.transmissions, -self.serial


class BroadcastQueue:
    """The newest update of each instance, until its transmission limit is reached."""

    def __init__(self) -> None:
        self.queued: dict[str, Broadcast] = {}
        self.serial = 0

    def put(self, update: MemberUpdate) -> None:
        """Queues an update, replacing an older one of the same instance."""
        self.serial += 1
        self.queued[update.name] = Broadcast(update, self.serial)

    def by_priority(self, first: str = "") -> list[Broadcast]:
        """All queued updates by priority; that of the instance `first` comes first, as it must learn what is said of it."""
        order = sorted(self.queued.values(), key=Broadcast.priority)
        return sorted(order, key=lambda broadcast: broadcast.update.name != first)

    def transmitted(self, broadcasts: Sequence[Broadcast], limit: int) -> None:
        """Counts one transmission of each, and removes those that reached `limit`."""
        for broadcast in broadcasts:
            broadcast.transmissions += 1
            name = broadcast.update.name
            if broadcast.transmissions >= limit and self.queued.get(name) is broadcast:
                del self.queued[name]
