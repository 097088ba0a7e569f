"""Group membership: SWIM with Lifeguard as a state machine that uses neither sockets nor the clock.

`receive`, `tick`, `join` and `leave` append packets to `out` and state changes to `events`; the host empties both.
Times are integers in tenths of a millisecond on any monotonic clock; all randomness comes from one random source.
Sources: SWIM, sections 3 and 4; Lifeguard, section IV (LHA probe, LHA suspicion, buddy system).
"""

from collections import Counter
from collections.abc import Callable

from ramppulley.cluster.broadcasts import BroadcastQueue
from ramppulley.cluster.config import ProtocolConfig
from ramppulley.cluster.counters import Occurrence
from ramppulley.cluster.failure_detector import FailureDetector
from ramppulley.cluster.local_member import Identity, LocalHealth, LocalMember
from ramppulley.cluster.member_table import Member, MemberTable
from ramppulley.cluster.membership_view import MembershipView, StateChange
from ramppulley.cluster.packet_sender import OutgoingPacket, PacketSender
from ramppulley.cluster.rng import RandomSource
from ramppulley.cluster.view_sync import ViewSync
from ramppulley.cluster.words import Address, InvalidPacket, MemberUpdate, Packet, PacketKind, decode_packet

INCARNATION_LIMIT = 1 << 47  # used if the host sets none

PacketHandler = Callable[[int, Address, Packet], None]


class Members:
    """One instance of the membership protocol.

    `incarnation` is the first that it may use, `incarnation_limit` the last. With `silence` it does not announce
    itself until an instance that knows it has answered, but for no longer than that time.
    """

    def __init__(
        self,
        identity: Identity,
        rng: RandomSource,
        config: ProtocolConfig | None = None,
        now: int = 0,
        incarnation: int = 1,
        incarnation_limit: int = INCARNATION_LIMIT,
        silence: int = 0,
    ) -> None:
        self.config = config or ProtocolConfig()
        self.count: Counter[str] = Counter()
        self.local = LocalMember(identity, incarnation, incarnation_limit, now + silence if silence else 0)
        self.local_health = LocalHealth(self.config.health_max)
        self.table = MemberTable(self.config.members_max, rng, self.count)
        self.broadcasts = BroadcastQueue()
        self.view = MembershipView(self.config, self.table, self.broadcasts)
        self.sender = PacketSender(identity.name, self.config, self.table, self.broadcasts, self.count)
        self.detector = FailureDetector(
            identity.name, self.config, self.table, self.sender, self.local_health, self.count, self._suspect, now
        )
        self.sync = ViewSync(self.config, self.local, self.table, self.sender, now)
        self.next_gossip_at = now
        self.handlers: dict[PacketKind, PacketHandler] = {
            "ping": self.detector.on_ping,
            "ask": self.detector.on_indirect_probe,
            "ack": self.detector.on_ack,
            "nack": self.detector.on_nack,
            "sync": self.sync.on_sync,
            "view": self.sync.on_view,
        }  # the other kinds carry only updates
        if not self.local.silent:
            self.broadcasts.put(self.local.update())

    # Read by the host
    @property
    def out(self) -> list[OutgoingPacket]:
        """Datagrams to send."""
        return self.sender.out

    @property
    def events(self) -> list[StateChange]:
        """State changes of other members."""
        return self.view.events

    @property
    def members(self) -> dict[str, Member]:
        """The other instances by name, including ended ones."""
        return self.table.members

    @property
    def incarnation(self) -> int:
        """Our own incarnation; 0 while we do not announce ourselves."""
        return self.local.incarnation

    @property
    def highest_observed(self) -> int:
        """The highest incarnation of ours that others reported."""
        return self.local.highest_observed

    @property
    def health(self) -> int:
        """Local health score (Lifeguard): 0 is healthy, a higher score means that we may be slow."""
        return self.local_health.score

    def alive(self) -> list[str]:
        """Names of the members that are neither dead nor have left, including suspects."""
        return self.table.present_names()

    # Called by the host
    def join(self, now: int, seeds: list[Address]) -> None:
        """Contacts the instances at these addresses, again with each exchange until one answers."""
        self.sync.join(now, seeds)

    def leave(self, now: int) -> None:
        """Announces to a few members that we leave, and they spread it; nothing is sent afterwards."""
        self.broadcasts.put(self.local.leave())
        for member in self.table.sample(self.config.indirect_probes):
            self.sender.send(now, "leave", member.address)
        self.local.left = True

    def set_traffic(self, traffic: int) -> None:
        """Sets our traffic level, announced under a new incarnation if one is available."""
        if self.local.change_traffic(traffic):
            self.broadcasts.put(self.local.update())

    def due(self) -> int:
        """When `tick` has to be called next."""
        times = [self.detector.due(), self.sync.next_at]
        times += [member.suspected_until for member in self.table.suspects()]
        if self.broadcasts.queued:
            times.append(self.next_gossip_at)
        if self.local.silent:
            times.append(self.local.silent_until)
        return min(times)

    def tick(self, now: int) -> None:
        """Runs everything that is due."""
        if self.local.left:
            return
        if self.local.silent and (self.local.known_to_peers or now >= self.local.silent_until):
            self._end_silence(now)
        self.detector.tick(now)
        self._end_suspicions(now)
        self.table.expire(now, self.config.dead_member_retention)
        self._gossip(now)
        self.sync.tick(now)

    def receive(self, now: int, address: Address, data: bytes, header: object = None) -> None:
        """Handles one datagram from an address; an unreadable one is counted and has no other effect."""
        if self.local.left:
            return
        try:
            packet = decode_packet(data)
        except InvalidPacket:
            self.count[Occurrence.UNREADABLE] += 1
            return
        if packet.sender == self.local.name:
            self.count[Occurrence.OWN_NAME] += 1  # another instance uses our name, or our own packet was sent back
            return
        for update in packet.updates:
            self._apply_update(now, update)
        handler = self.handlers.get(packet.kind)
        if handler is not None:
            handler(now, address, packet)

    # Steps of `tick` and `receive`
    def _end_silence(self, now: int) -> None:
        if self.local.end_silence(now, self.config.probe_timeout):
            self.broadcasts.put(self.local.update())
            self.sync.greet_seeds(now)

    def _end_suspicions(self, now: int) -> None:
        for member in [suspect for suspect in self.table.suspects() if now >= suspect.suspected_until]:
            self._apply_update(now, member.update(self.local.name, "dead"))

    def _suspect(self, now: int, member: Member) -> None:
        self._apply_update(now, member.update(self.local.name, "suspect"))

    def _gossip(self, now: int) -> None:
        if now < self.next_gossip_at or not self.broadcasts.queued:
            return
        self.next_gossip_at = now + self.config.gossip_interval
        for member in self.table.sample(self.config.gossip_targets, with_suspects=True):
            self.sender.send(now, "tell", member.address, first=member.name)

    def _apply_update(self, now: int, update: MemberUpdate) -> None:
        if update.name == self.local.name:
            self._apply_own_update(update)
        else:
            self.view.apply(now, update)

    def _apply_own_update(self, update: MemberUpdate) -> None:
        self.local.observe_incarnation(update.incarnation)
        if self.local.refute(update):
            self.count[Occurrence.REFUTED] += 1
            self.local_health.degrade()  # Lifeguard: being suspected is a sign that we are slow
            self.broadcasts.put(self.local.update())


__all__ = ["Members"]
