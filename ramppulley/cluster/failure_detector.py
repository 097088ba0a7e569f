"""SWIM's failure detector: a direct probe, then indirect probes through helpers, with Lifeguard's nacks."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ramppulley.cluster.config import ProtocolConfig
from ramppulley.cluster.counters import Occurrence
from ramppulley.cluster.local_member import LocalHealth
from ramppulley.cluster.member_table import Member, MemberTable
from ramppulley.cluster.packet_sender import PacketSender
from ramppulley.cluster.words import Address, Packet

RELAYED_PROBES_MAX = 64  # concurrent pings on behalf of others
NUMBER_BITS = 32  # size of the random number of the first probe


@dataclass
class Probe:
    """The probe in progress."""

    target: str
    number: int
    incarnation: int  # of the target when the probe was sent
    indirect_at: int | None  # when helpers are asked; None once they were
    ends_at: int
    helpers: int = 0  # number of helpers asked
    nacks: int = 0  # received from helpers

    def due(self) -> int:
        """Time of its next step."""
        return self.ends_at if self.indirect_at is None else self.indirect_at


@dataclass(frozen=True)
class RelayedProbe:
    """A ping sent on behalf of another instance, the requester."""

    requester: Address
    number: int  # the requester's probe number
    ends_at: int


class FailureDetector:
    """Probes one member per interval. `suspect(now, member)` is called for a member that did not answer."""

    def __init__(
        self,
        name: str,
        config: ProtocolConfig,
        table: MemberTable,
        sender: PacketSender,
        health: LocalHealth,
        count: Counter[str],
        suspect: Callable[[int, Member], None],
        now: int,
    ) -> None:
        self.name = name
        self.config = config
        self.table = table
        self.sender = sender
        self.health = health
        self.count = count
        self.suspect = suspect
        self.number = table.rng.getrandbits(NUMBER_BITS)
        self.next_probe_at = now
        self.probe: Probe | None = None
        self.relayed: dict[int, RelayedProbe] = {}  # by our probe number

    def due(self) -> int:
        """When `tick` has to be called next."""
        times = [self.next_probe_at, *(relayed.ends_at for relayed in self.relayed.values())]
        if self.probe is not None:
            times.append(self.probe.due())
        return min(times)

    def tick(self, now: int) -> None:
        """Ends the probes whose time is over, and starts the next one."""
        self._end_relayed(now)
        if self.probe is not None:
            self._probe_indirectly(now, self.probe)
            self._end(now, self.probe)
        if self.probe is None and now >= self.next_probe_at:
            self._begin(now)

    def _end_relayed(self, now: int) -> None:
        """Lifeguard: a timely nack tells the requester that we are alive and received its request."""
        for number in [number for number, relayed in self.relayed.items() if now >= relayed.ends_at]:
            relayed = self.relayed.pop(number)
            self.sender.send(now, "nack", relayed.requester, relayed.number)

    def _begin(self, now: int) -> None:
        multiplier = self.health.multiplier()
        self.next_probe_at = now + self.config.probe_interval * multiplier
        target = self.table.next_to_probe()
        if target is None:
            return
        self.number += 1
        indirect_at = now + self.config.probe_timeout * multiplier
        self.probe = Probe(target.name, self.number, target.incarnation, indirect_at, self.next_probe_at)
        self.sender.send(now, "ping", target.address, self.number, target.name, first=target.name)

    def _probe_indirectly(self, now: int, probe: Probe) -> None:
        if probe.indirect_at is None or now < probe.indirect_at:
            return
        probe.indirect_at = None
        for helper in self.table.sample(self.config.indirect_probes, {probe.target}):
            if self.sender.send(now, "ask", helper.address, probe.number, probe.target):
                probe.helpers += 1

    def _end(self, now: int, probe: Probe) -> None:
        if now < probe.ends_at:
            return
        self.probe = None
        self.health.degrade(1 + max(0, probe.helpers - probe.nacks))  # missing nacks suggest that we are slow ourselves
        member = self.table.get(probe.target)
        if member is not None and member.state == "alive" and member.incarnation <= probe.incarnation:
            self.count[Occurrence.PROBE_FAILED] += 1
            self.suspect(now, member)

    def on_ping(self, now: int, address: Address, packet: Packet) -> None:
        """Answers a ping, unless it is for an instance that had this address before."""
        if packet.target == self.name:
            self.sender.send(now, "ack", address, packet.number, first=packet.sender)

    def on_indirect_probe(self, now: int, address: Address, packet: Packet) -> None:
        """Pings a third instance on behalf of the requester."""
        target = self.table.get(packet.target)
        if target is None or len(self.relayed) >= RELAYED_PROBES_MAX:
            self.sender.send(now, "nack", address, packet.number)
            return
        self.number += 1
        ends_at = now + self.config.probe_timeout * 4 // 5  # before the requester's probe times out
        self.relayed[self.number] = RelayedProbe(address, packet.number, ends_at)
        self.sender.send(now, "ping", target.address, self.number, target.name, first=target.name)

    def on_ack(self, now: int, address: Address, packet: Packet) -> None:
        """Ends our own probe, or passes the ack on to the requester of a relayed one."""
        relayed = self.relayed.pop(packet.number, None)
        if relayed is not None:
            self.sender.send(now, "ack", relayed.requester, relayed.number)
        elif self.probe is not None and packet.number == self.probe.number:
            self.probe = None
            self.health.improve()

    def on_nack(self, now: int, address: Address, packet: Packet) -> None:
        """Counts a helper that is alive but got no ack in time."""
        if self.probe is not None and packet.number == self.probe.number:
            self.probe.nacks += 1
