"""Anti-entropy: exchanges parts of the view with seeds, present members and dead ones (memberlist's push/pull)."""

from ramppulley.cluster.config import ProtocolConfig
from ramppulley.cluster.local_member import LocalMember
from ramppulley.cluster.member_table import MemberTable
from ramppulley.cluster.packet_sender import PacketSender
from ramppulley.cluster.words import Address, Packet, PacketKind


class ViewSync:
    """Contacts the seeds until one answers; then one present member and one dead member per interval."""

    def __init__(
        self, config: ProtocolConfig, local: LocalMember, table: MemberTable, sender: PacketSender, now: int
    ) -> None:
        self.config = config
        self.local = local
        self.table = table
        self.sender = sender
        self.rng = table.rng
        self.seeds: list[Address] = []
        self.next_at = now + int(config.sync_interval * self.rng.random())

    def join(self, now: int, seeds: list[Address]) -> None:
        """Contacts the instances at these addresses, again with each exchange until one answers."""
        self.seeds = [seed for seed in seeds if seed != self.local.identity.address]
        wait = self.config.probe_timeout if self.local.silent else self.config.probe_interval
        self.next_at = now + int(wait * self.rng.random())
        self.greet_seeds(now)

    def greet_seeds(self, now: int) -> None:
        """Sends part of the view to each seed, as long as none has answered."""
        for seed in self.seeds:
            self.send_view(now, "sync", seed)

    def tick(self, now: int) -> None:
        """Runs an exchange if it is due."""
        if now < self.next_at:
            return
        self.next_at = now + int(self._interval() * (0.5 + self.rng.random()))
        self.exchange(now)

    def _interval(self) -> int:
        if self.local.silent:
            return self.config.probe_timeout
        if self.seeds:  # no seed has answered yet
            return self.config.probe_interval
        return self.config.sync_interval

    def exchange(self, now: int) -> None:
        """Includes a dead member, so that a partition heals."""
        self.greet_present(now)
        dead = self.table.dead()
        if dead:
            self.send_view(now, "sync", self.rng.choice(dead).address)
        self.greet_seeds(now)

    def greet_present(self, now: int) -> None:
        """Sends part of the view to one member that is alive."""
        for member in self.table.sample(1):
            self.send_view(now, "sync", member.address)

    def send_view(self, now: int, kind: PacketKind, address: Address, first: str = "") -> None:
        """Sends our own state and a random part of the others' that fits one datagram; over time all members are covered.

        The state of `first`, the receiver, comes first: it may have lost its own snapshot.
        """
        others = [member.update(self.local.name) for member in self.table.all()]
        self.rng.shuffle(others)
        others.sort(key=lambda update: update.name != first)
        own = [] if self.local.silent else [self.local.update()]
        self.sender.send_updates(now, kind, address, own + others)

    def on_sync(self, now: int, address: Address, packet: Packet) -> None:
        """Answers with part of our view."""
        self.send_view(now, "view", address, packet.sender)

    def on_view(self, now: int, address: Address, packet: Packet) -> None:
        """Only an answer that includes us counts for our incarnation: a seed that restarted too knows as little as we do."""
        if any(update.name == self.local.name for update in packet.updates):
            self.local.known_to_peers = True
        if not self.local.silent:
            self.seeds = []
