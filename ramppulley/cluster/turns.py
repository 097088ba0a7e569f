"""Leases for actions that only a few routers should perform at once, granted by the members themselves. Does no I/O.

Each resource has a coordinator: of the members that a router considers present, the one with the lowest rendezvous hash for
that resource, so all routers with the same view ask the same member. It grants a number of permits at once, each for a
limited time (leases: Gray and Cheriton 1989). The holder counts the lease from its request, the coordinator from its grant
and with a margin for clock drift, so the holder's lease always ends before the coordinator considers it over. A holder that
was suspended finds its lease expired.

A coordinator grants nothing for one full lease time after it became the coordinator, started, was suspended or saw its
clock step, and nothing while it sees no more than half of the members it remembers: the previous coordinator may have
granted leases that still run. If no coordinator answers for a while, a router acts as if there were no leases: waiting for
ever would be worse than two routers acting at once.
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from zlib import crc32

import msgspec

from ramppulley.cluster.config import MS, S
from ramppulley.cluster.seal import Header
from ramppulley.cluster.subsets import mark_of, rendezvous_hash
from ramppulley.cluster.words import Address

VERSION = 1
LEASE_TIME = 2 * S
CLOCK_DRIFT = 0.02  # maximum relative drift between two clocks
REQUEST_INTERVAL = 300 * MS  # between two requests for the same resource
FALLBACK_DELAY = 1 * S  # without any answer for this long, a router acts without a lease
STALL_TIME = 1 * S  # a longer gap between ticks is a suspended process or a clock step; shorter steps go unnoticed
MAX_RESOURCES, MAX_PERMITS, MAX_NAME_LENGTH = 1024, 64, 64  # of a coordinator; of one resource; of its name
MAX_PAST_VIEWS = 32  # earlier sets of present members that are kept
NEVER = 1 << 62  # -NEVER is earlier than any time


class LeaseMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """`ask` requests a lease, `give` and `wait` answer it, `done` releases it. `number` is that of the request."""

    version: int
    kind: str
    resource: str
    number: int
    permits: int = 1  # in a request: how many routers may hold the lease at once


class LeaseRequest:
    """State of a resource that this router wants a lease for."""

    __slots__ = "since", "requested_at", "number", "permits", "expires_at", "denied_at", "coordinator"

    def __init__(self, now: int, permits: int) -> None:
        self.since = now
        self.permits = permits
        self.requested_at = -NEVER
        self.number = 0  # of the newest request
        self.expires_at = -NEVER  # end of our lease
        self.denied_at = -NEVER  # when the last `wait` was received
        self.coordinator = ""  # receiver of the newest request


_decoder, _encoder = msgspec.msgpack.Decoder(LeaseMessage), msgspec.msgpack.Encoder()


class LeaseManager:
    """Requests leases, and grants them where this router is the coordinator.

    `present_peers()` returns {name: address} of the other routers considered present, `known_count()` the number of all
    routers remembered, including this one. `receive`, `tick`, `due` and `out` are the interface of all state machines of the
    cluster.
    """

    def __init__(
        self,
        name: str,
        present_peers: Callable[[], Mapping[str, Address]],
        known_count: Callable[[], int],
        now: int = 0,
    ) -> None:
        self.name = name
        self.present_peers = present_peers
        self.known_count = known_count
        self.out: list[tuple[Address, bytes]] = []
        self.count: Counter[str] = Counter()
        self.wanted: dict[str, LeaseRequest] = {}
        self.granted: dict[str, dict[str, tuple[int, int]]] = {}  # resource -> {holder: (number, end by our clock)}
        self.number = 0
        self.last_tick_at = now
        self.no_grants_until = now + self._lease_time_with_margin()
        self.view: frozenset[str] = frozenset()  # names of the present members
        self.past_views: list[tuple[int, frozenset[str]]] = []  # recent (end, names)

    def _lease_time_with_margin(self) -> int:
        """Lease time by the coordinator's clock: with clock drift, and a clock step too short to be noticed."""
        return int(LEASE_TIME * (1 + CLOCK_DRIFT)) + STALL_TIME

    # Called by the host
    def request(self, now: int, resource: str, permits: int = 1) -> None:
        """Requests a lease, repeatedly until `release`."""
        if resource not in self.wanted:
            self.wanted[resource] = LeaseRequest(now, permits)

    def release(self, now: int, resource: str) -> None:
        """Cancels the request, and releases the lease if we hold it."""
        request = self.wanted.pop(resource, None)
        if request is not None and now < request.expires_at:
            self._send(request.coordinator, LeaseMessage(VERSION, "done", resource, request.number), now)

    def holds(self, now: int, resource: str) -> bool:
        """Whether we hold the lease."""
        return resource in self.wanted and now < self.wanted[resource].expires_at

    def may_act(self, now: int, resource: str) -> bool:
        """Whether to act: we hold the lease, or no coordinator has answered for FALLBACK_DELAY."""
        request = self.wanted.get(resource)
        if request is None or now < request.expires_at:
            return request is not None
        last_answer_at = max(request.since, request.denied_at, request.expires_at)
        return now - last_answer_at >= FALLBACK_DELAY

    # State machine
    def due(self) -> int:
        """When `tick` has to be called next."""
        return min(
            [request.requested_at + REQUEST_INTERVAL for request in self.wanted.values()],
            default=self.last_tick_at + STALL_TIME // 2,
        )

    def tick(self, now: int) -> None:
        """Sends the requests that are due."""
        self._observe(now)
        for resource, request in self.wanted.items():
            if now - request.requested_at >= REQUEST_INTERVAL and now >= request.expires_at:
                self.number += 1
                request.requested_at, request.number, request.coordinator = now, self.number, self.coordinator(resource)
                self._send(
                    request.coordinator,
                    LeaseMessage(VERSION, "ask", resource, request.number, request.permits),
                    now,
                )

    def _observe(self, now: int) -> None:
        """Notes view changes and gaps: after a suspension or clock step, earlier grants can't be assumed to have ended."""
        if now - self.last_tick_at >= STALL_TIME:
            self.no_grants_until = now + self._lease_time_with_margin()
            self.count["stood still"] += 1
        self.last_tick_at, view = now, frozenset(self.present_peers())
        if view != self.view:
            self.past_views.append((now, self.view))
            self.view = view
        self.past_views = [past for past in self.past_views if now - past[0] < self._lease_time_with_margin()][
            -MAX_PAST_VIEWS:
        ]

    def coordinator(self, resource: str, view: Collection[str] | None = None) -> str:
        """Name of the member that grants leases for a resource, in our current view or the given one."""
        mark = crc32(resource.encode())
        return min(
            [self.name, *(self.view if view is None else view)],
            key=lambda name: (rendezvous_hash(mark_of(name), mark), name),
        )

    def _must_not_grant(self, now: int, resource: str) -> bool:
        """Whether an earlier coordinator's leases may still run, or we are in a minority partition."""
        return (
            now < self.no_grants_until
            or 2 * (len(self.view) + 1) <= self.known_count()
            or any(self.coordinator(resource, view) != self.name for _, view in self.past_views)
        )

    def _send(self, receiver: str, message: LeaseMessage, now: int) -> None:
        if receiver == self.name:
            self._handle(now, receiver, message)
            return
        address = self.present_peers().get(receiver)
        if address is not None:
            self.out.append((address, _encoder.encode(message)))

    def receive(self, now: int, address: Address, payload: bytes, header: Header) -> None:
        """Handles one datagram; an unreadable or invalid one is counted and has no other effect."""
        self._observe(now)
        try:
            message = _decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError):
            self.count["unreadable"] += 1
            return
        valid = (
            0 < len(message.resource) <= MAX_NAME_LENGTH and message.number >= 0 and 1 <= message.permits <= MAX_PERMITS
        )
        if message.version != VERSION or not valid or header.sender not in self.present_peers():
            self.count["out of bounds"] += 1
            return
        self._handle(now, header.sender, message)

    def _handle(self, now: int, sender: str, message: LeaseMessage) -> None:
        if message.kind == "ask":
            self._on_request(now, sender, message)
        elif message.kind == "done":
            holders = self.granted.get(message.resource, {})
            if sender in holders and holders[sender][0] == message.number:
                del holders[sender]
        elif message.kind in ("give", "wait"):
            request = self.wanted.get(message.resource)
            if (
                request is None or request.number != message.number
            ):  # answers an older request: a lease is counted from its own request
                self.count["late"] += 1
            elif message.kind == "give":
                request.expires_at = request.requested_at + int(LEASE_TIME * (1 - CLOCK_DRIFT))
            else:
                request.denied_at = now

    def _on_request(self, now: int, sender: str, message: LeaseMessage) -> None:
        if self.coordinator(message.resource) != self.name:
            return  # the sender's view differs from ours: it asks again once its view has changed
        holders = {name: grant for name, grant in self.granted.get(message.resource, {}).items() if now < grant[1]}
        if not self._must_not_grant(now, message.resource) and (sender in holders or len(holders) < message.permits):
            holders[sender] = message.number, now + self._lease_time_with_margin()
            answer = "give"
        else:
            answer = "wait"
        if holders:
            self.granted[message.resource] = holders
        else:
            self.granted.pop(message.resource, None)
        while len(self.granted) > MAX_RESOURCES:
            self.granted.pop(next(iter(self.granted)))
        self._send(sender, LeaseMessage(VERSION, answer, message.resource, message.number), now)
