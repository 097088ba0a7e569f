"""Sends packets: fills them with queued updates by priority, and limits their rate by a token bucket."""

from collections import Counter
from collections.abc import Sequence
from math import ceil, log10
from typing import NamedTuple

from ramppulley.cluster.broadcasts import Broadcast, BroadcastQueue
from ramppulley.cluster.config import ProtocolConfig
from ramppulley.cluster.counters import Occurrence
from ramppulley.cluster.member_table import MemberTable
from ramppulley.cluster.token_bucket import TokenBucket
from ramppulley.cluster.words import VERSION, Address, MemberUpdate, Packet, PacketKind, encode_with_updates


class OutgoingPacket(NamedTuple):
    """One datagram for the host to send."""

    address: Address
    data: bytes


class PacketSender:
    """Appends packets to `out`, which the host empties."""

    def __init__(
        self, name: str, config: ProtocolConfig, table: MemberTable, broadcasts: BroadcastQueue, count: Counter[str]
    ) -> None:
        self.name = name
        self.table = table
        self.broadcasts = broadcasts
        self.count = count
        self.retransmit_multiplier = config.retransmit_multiplier
        self.budget = TokenBucket(config.datagrams_per_second, config.datagrams_burst)
        self.out: list[OutgoingPacket] = []

    def send(
        self, now: int, kind: PacketKind, address: Address, number: int = 0, target: str = "", first: str = ""
    ) -> bool:
        """Sends a packet with queued updates, those about `first` before others; False if over the rate limit."""
        broadcasts = self._select_broadcasts(first)
        packet = Packet(VERSION, kind, self.name, number, target, [])
        data, taken = encode_with_updates(packet, [broadcast.update for broadcast in broadcasts])
        if not self._enqueue(now, address, data):
            return False
        limit = self.retransmit_multiplier * ceil(log10(self.table.size() + 1))
        self.broadcasts.transmitted(broadcasts[:taken], limit)
        return True

    def send_updates(self, now: int, kind: PacketKind, address: Address, updates: Sequence[MemberUpdate]) -> None:
        """Sends a packet with as many of these updates, in order, as fit."""
        self._enqueue(now, address, encode_with_updates(Packet(VERSION, kind, self.name, 0, "", []), updates)[0])

    def _select_broadcasts(self, first: str) -> list[Broadcast]:
        """Lifeguard's buddy system: a suspect is always told of its suspicion, even after the transmission limit."""
        broadcasts = self.broadcasts.by_priority(first)
        member = self.table.get(first)
        if member is not None and member.state == "suspect" and first not in self.broadcasts.queued:
            broadcasts.insert(0, Broadcast(member.update(self.name), 0))
        return broadcasts

    def _enqueue(self, now: int, address: Address, data: bytes) -> bool:
        if not self.budget.take(now):
            self.count[Occurrence.OVER_BUDGET] += 1
            return False
        self.out.append(OutgoingPacket(address, data))
        return True
