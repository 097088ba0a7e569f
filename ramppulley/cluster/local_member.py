"""This instance's own state: its identity, incarnation, announced traffic and local health (Lifeguard)."""

from dataclasses import dataclass

from ramppulley.cluster.words import Address, MemberUpdate, State


@dataclass(frozen=True)
class Identity:
    """Attributes that stay constant while the instance runs."""

    name: str
    address: Address
    machine: str = ""
    zone: str = ""


class LocalHealth:
    """Lifeguard's local health multiplier: a higher score means that this instance may be slow.

    >>> health = LocalHealth(8)
    >>> health.degrade(3)
    >>> health.improve()
    >>> health.score, health.multiplier()
    (2, 3)
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Notes a sign that this instance is slow."""
        self.score = min(self.maximum, self.score + by)

    def improve(self) -> None:
        """Notes a sign that it is not."""
        self.score = max(0, self.score - 1)

    def multiplier(self) -> int:
        """Factor for the probe interval and timeout."""
        return 1 + self.score


class LocalMember:
    """This instance as announced to the others.

    Incarnations up to `incarnation_limit` are durably reserved: no restart uses them again. The host raises the limit.
    Until `silent_until` the instance does not announce itself, and asks the others for its last known incarnation, as its
    own snapshot may be lost or outdated. Its incarnation is 0 until then.
    """

    def __init__(self, identity: Identity, incarnation: int, incarnation_limit: int, silent_until: int) -> None:
        self.identity = identity
        self.first_incarnation = incarnation
        self.incarnation = 0 if silent_until else incarnation
        self.incarnation_limit = incarnation_limit
        self.silent_until = silent_until
        self.highest_observed = 0  # highest incarnation of ours that others reported
        self.known_to_peers = False  # an instance that knows us has answered
        self.traffic = 0
        self.left = False

    @property
    def name(self) -> str:
        """Name of this instance in the cluster."""
        return self.identity.name

    @property
    def silent(self) -> bool:
        """Whether it does not announce itself yet."""
        return bool(self.silent_until)

    def update(self, state: State = "alive") -> MemberUpdate:
        """The update that announces it."""
        identity = self.identity
        return MemberUpdate(
            identity.name,
            identity.address[0],
            identity.address[1],
            state,
            self.incarnation,
            identity.name,
            identity.machine,
            identity.zone,
            self.traffic,
        )

    def change_traffic(self, traffic: int) -> bool:
        """Sets its traffic under a new incarnation; False if none is available, or nothing changed."""
        if traffic == self.traffic or self.incarnation >= self.incarnation_limit or self.silent:
            return False
        self.traffic = traffic
        self.incarnation += 1
        return True

    def observe_incarnation(self, incarnation: int) -> None:
        """Notes an incarnation of ours that another instance reported."""
        self.highest_observed = max(self.highest_observed, incarnation)

    def refute(self, update: MemberUpdate) -> bool:
        """Raises its incarnation above that of an update that contradicts its state; whether it did.

        That is an update with the state suspect, dead or left, or alive with a higher incarnation than ours.
        """
        if self.silent or self.left:
            return False
        if update.state == "alive" and update.incarnation <= self.incarnation:
            return False
        if not self.incarnation <= update.incarnation < self.incarnation_limit:
            return False
        self.incarnation = update.incarnation + 1
        return True

    def end_silence(self, now: int, retry_after: int) -> bool:
        """Starts to announce itself, under an incarnation above all that others know.

        False if the host has to reserve that incarnation durably first: then it is tried again after `retry_after`.
        """
        incarnation = max(self.first_incarnation, self.highest_observed + 1)
        if incarnation >= self.incarnation_limit:
            self.silent_until = now + retry_after
            return False
        self.silent_until = 0
        self.incarnation = incarnation
        return True

    def leave(self) -> MemberUpdate:
        """The update that announces its leaving; the caller sets `left` once it was sent."""
        self.incarnation += 1
        return self.update("left")
