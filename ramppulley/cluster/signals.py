"""Load signals: what each router reports to the others about its load on workers and the failures it saw there. No I/O.

Each router reports only its own observations, directly to all others and as soon as they change. Nothing is forwarded, so
each claim has one author; each datagram carries the full state, so a lost one is made good by the next. The cost follows
the router's own attempts, up to a fixed rate of datagrams whatever the number of routers or workers; above that rate, and
while nothing changes, the others are served one by one in random order.

Stale load information that all routers share is worse than none (Mitzenmacher 2000; Dahlin 2000): all of them send to
the worker that was idle a moment ago. So a router's report is weighted by an upper bound of its last datagram's transit
time and by the time since then; the missing weight is left to the estimate that is used without signals. The transit time
is bounded by echoes, as in NTP (RFC 5905): a datagram sent at the peer's time t and received at our time was in transit for
no longer than the difference, less the lower bound of the clock offset that the echoes give.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from ramppulley.cluster.config import MS, S
from ramppulley.cluster.rng import RandomSource
from ramppulley.cluster.seal import Header
from ramppulley.cluster.words import MAX_PAYLOAD_SIZE, Address

VERSION = 1
PER_SECOND, BURST = 200, 64  # rate limit of datagrams, whatever the number of routers
ROUTINE_PER_SECOND = 20  # datagrams per second, of that limit, that are sent without a change
COALESCE_DELAY = 4 * MS  # changes within this time are reported together
FRESH_TRANSIT, STALE_TRANSIT = 30 * MS, 400 * MS  # transit time: full weight up to the first, none from the second
FRESH_SILENCE, STALE_SILENCE = 2 * S, 4 * S  # the same for the time since a router's last datagram
OFFSET_WINDOW = 15 * S  # clock offsets are bounded anew in each window, as clocks drift and step
MAX_PEERS, MAX_ROWS = 512, 1024  # peers tracked; rows kept per peer
TRUST_LOSS_FACTOR, TRUST_RECOVERY = 0.6, 0.02  # factor for a refuted claim; part of the missing trust per plausible one
TRUST_MIN = 0.5  # weight above which a peer's success at a worker allows a half-open probe
# a claim is refuted if one router claims both this multiple of what is queued and this many tokens more
REFUTED_RATIO = 3
REFUTED_TOKENS = 4000
EXPLAINED_SMOOTHING = 0.05  # weight of the newest report in the average of the queue that the claims explain
MIN_KNOWN = 0.1  # share of the other routers that must be heard for signals to be used
MAX_TIME = 1 << 62  # upper bound of times in a datagram
NOT_TRIED = -1  # failure level of a worker that the sender did not use recently
MAX_TOKENS = 1 << 32


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The sender's own load on one worker, and how it found that worker."""

    mark: int  # endpoint ID
    prefill_tokens: int  # prompt tokens of the sender's attempts that are still to be prefilled there
    kv_tokens: int  # KV cache tokens of all the sender's attempts there
    failure_percent: int = NOT_TRIED  # certainty that the worker is silent, cut off or rejecting


class SignalMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One datagram. `sent_at`: the sender's clock; `echo`: the newest `sent_at` of ours it received, `echo_age` ago."""

    version: int
    sent_at: int
    echo: int
    echo_age: int
    complete: bool  # all rows are included: the sender has no load on any other worker
    rows: list[Row]


class PeerLoad(msgspec.Struct, frozen=True):
    """Load of all other routers on a worker in tokens, as they claim, and how far it is known, from 0 to 1."""

    unread: int  # prompt tokens still to be prefilled
    memory: int  # KV cache tokens
    known: float
    ill: float  # certainty that the worker fails, from 0 to 1
    well: bool = False  # a trusted router used it recently and it answered


def linear_fade(age: float, fresh: float, stale: float) -> float:
    """1 up to the age `fresh`, 0 from the age `stale` on, linear between.

    >>> linear_fade(1, 2, 4), linear_fade(3, 2, 4), linear_fade(9, 2, 4)
    (1.0, 0.5, 0.0)
    """
    return max(0.0, min(1.0, (stale - age) / (stale - fresh)))


class ClockOffset:
    """Lower bound of the offset between our clock and a peer's, taken from echoes.

    >>> offset = ClockOffset()
    >>> offset.max_transit(1_000, 5_000) is None         # nothing is known before the first echo
    True
    >>> offset.add_echo(1_000, 5_000, 40)                # sent at its 1,000, received at our 5,000, round trip 40
    >>> offset.max_transit(2_000, 6_000), offset.max_transit(3_000, 7_500), offset.max_transit(9_000, 7_600)
    (40, 540, None)
    """

    __slots__ = "bound", "previous_bound", "window_start"

    def __init__(self) -> None:
        self.bound: int | None = None  # largest bound of this window
        self.previous_bound: int | None = None  # of the window before
        self.window_start = 0

    def add_echo(self, sent_at: int, now: int, round_trip: int) -> None:
        """Our clock is ahead of the peer's by at least this bound; the largest bound is kept."""
        bound = now - sent_at - round_trip
        if now - self.window_start >= OFFSET_WINDOW:  # old bounds expire, as a clock may drift or step
            self.previous_bound = self.bound if now - self.window_start < 2 * OFFSET_WINDOW else None
            self.bound, self.window_start = None, now
        self.bound = bound if self.bound is None else max(self.bound, bound)

    def max_transit(self, sent_at: int, now: int) -> int | None:
        """Upper bound of a datagram's transit time; None if it is unknown, or a clock has stepped."""
        known = [bound for bound in (self.bound, self.previous_bound) if bound is not None]
        if not known or now - self.window_start >= 2 * OFFSET_WINDOW:
            return None
        transit = now - sent_at - max(known)
        if transit < 0:  # sent in the future: the peer's clock stepped forward, or ours stood still
            self.bound = self.previous_bound = None
            return None
        return transit


class Peer:
    """State of one run of another router: its rows, its clock offset and how far it is trusted."""

    __slots__ = "run_id", "rows", "offset", "trust", "heard_at", "transit", "newest_sent_at", "newest_received_at"

    def __init__(self, run_id: int, trust: float) -> None:
        self.run_id = run_id
        self.rows: dict[int, Row] = {}  # by endpoint ID
        self.offset = ClockOffset()
        self.trust = trust
        self.heard_at: int | None = None  # when its last datagram with a known transit time was received
        self.transit = STALE_TRANSIT  # maximum transit time of that datagram
        self.newest_sent_at = 0  # its clock in its newest datagram
        self.newest_received_at = 0  # our clock when that was received


@dataclass
class WorkerClaims:
    """Weighted sums of the other routers' claims about one worker."""

    prefill_tokens: float = 0.0
    kv_tokens: float = 0.0
    failure_percent: float = 0.0
    tried_weight: float = 0.0  # total weight of the routers that used it
    tried_count: int = 0  # number of those routers
    well: bool = False

    def add(self, row: Row, weight: float) -> None:
        """Adds one router's claim."""
        self.prefill_tokens += weight * row.prefill_tokens
        self.kv_tokens += weight * row.kv_tokens
        if row.failure_percent == NOT_TRIED:
            return
        self.failure_percent += weight * row.failure_percent
        self.tried_weight += weight
        self.tried_count += 1
        self.well |= not row.failure_percent and weight > TRUST_MIN

    def peer_load(self, known: float, confidence: float) -> PeerLoad:
        """The claims, extrapolated from the known share of the routers to all of them."""
        # a single router's report never marks a worker as failing
        ill = round(self.failure_percent / self.tried_weight / 100, 2) if self.tried_count > 1 else 0.0
        return PeerLoad(round(self.prefill_tokens / known), round(self.kv_tokens / known), confidence, ill, self.well)


_decoder, _encoder = msgspec.msgpack.Decoder(SignalMessage), msgspec.msgpack.Encoder()


class Signals:
    """Sends our rows to the other routers and keeps theirs.

    `own_rows()` returns our rows, `present_peers()` {name: address} of the others. The host calls `changed` when attempts
    started or ended. `receive`, `tick`, `due` and `out` are the interface of all state machines of the cluster.
    """

    def __init__(
        self,
        own_rows: Callable[[], Sequence[Row]],
        present_peers: Callable[[], Mapping[str, Address]],
        rng: RandomSource,
        now: int = 0,
    ) -> None:
        self.own_rows = own_rows
        self.present_peers = present_peers
        self.rng = rng
        self.peers: dict[str, Peer] = {}
        self.out: list[tuple[Address, bytes]] = []
        self.round: list[str] = []  # peers that are still to be served in this round of routine datagrams
        self.count: Counter[str] = Counter()
        self.tokens, self.tokens_updated_at = float(BURST), now  # token bucket of datagrams
        self.broadcast_at: int | None = None  # when a change is sent to all
        self.next_routine_at = now + int(S / ROUTINE_PER_SECOND * rng.random())
        # averages of the tokens queued at workers by other routers, and of those that the claims explain
        self.queued_average, self.explained_average = 0.0, 0.0

    # Sending
    def changed(self, now: int) -> None:
        """Our own attempts changed: schedules a broadcast to all others."""
        if self.broadcast_at is None:
            self.broadcast_at = now + COALESCE_DELAY

    def due(self) -> int:
        """When `tick` has to be called next."""
        return self.next_routine_at if self.broadcast_at is None else min(self.next_routine_at, self.broadcast_at)

    def tick(self, now: int) -> None:
        """Broadcasts a pending change, and sends the next routine datagram."""
        present = self.present_peers()
        for name in [name for name in self.peers if name not in present]:
            del self.peers[name]  # a peer that ended has no load, and starts from scratch if it returns
        self.tokens = min(float(BURST), self.tokens + (now - self.tokens_updated_at) * PER_SECOND / S)
        self.tokens_updated_at = now
        if self.broadcast_at is not None and now >= self.broadcast_at:
            self.broadcast_at, rows = None, self._rows_to_send()
            # peers whose datagrams reach us too late hardly receive ours in time
            useful = self.known_share(now) >= MIN_KNOWN
            for name in self.rng.sample(sorted(present), min(len(present), int(self.tokens))) if useful else ():
                self._send(now, name, present[name], *rows)
        if now >= self.next_routine_at:
            self.next_routine_at = max(
                self.next_routine_at + S // ROUTINE_PER_SECOND, now + S // ROUTINE_PER_SECOND // 2
            )
            while self.round and self.round[-1] not in present:
                self.round.pop()
            if not self.round:
                self.round = sorted(present)
                self.rng.shuffle(self.round)
            if self.round and self.tokens >= 1:
                name = self.round.pop()
                self._send(now, name, present[name], *self._rows_to_send())

    def _rows_to_send(self) -> tuple[bool, list[Row]]:
        """(whether all rows fit, the rows that fit), highest load first."""
        rows = sorted(
            [row for row in self.own_rows() if row.prefill_tokens or row.kv_tokens or row.failure_percent != NOT_TRIED],
            key=lambda row: -row.kv_tokens - row.prefill_tokens,
        )
        remaining, included = MAX_PAYLOAD_SIZE - 64, []
        for row in rows:
            remaining -= len(_encoder.encode(row))
            if remaining < 0:
                break
            included.append(row)
        return len(included) == len(rows), included

    def _send(self, now: int, name: str, address: Address, complete: bool, rows: list[Row]) -> None:
        peer = self.peers.get(name)
        echo, echo_age = (
            (peer.newest_sent_at, now - peer.newest_received_at) if peer is not None and peer.newest_sent_at else (0, 0)
        )
        self.tokens -= 1
        self.out.append((address, _encoder.encode(SignalMessage(VERSION, now, echo, echo_age, complete, rows))))

    # Receiving
    def receive(self, now: int, address: Address, payload: bytes, header: Header) -> None:
        """Handles one datagram; an unusable one is counted and has no other effect."""
        if (
            header.sender not in self.present_peers()
            or len(self.peers) >= MAX_PEERS
            and header.sender not in self.peers
        ):
            self.count["stranger"] += 1
            return
        try:
            message = _decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError):
            self.count["unreadable"] += 1
            return
        if message.version != VERSION or not within_bounds(message):
            self.count["out of bounds"] += 1
            return
        peer = self.peers.get(header.sender)
        if peer is None or peer.run_id != header.run_id:  # after a restart the load of the previous run is gone
            peer = self.peers[header.sender] = Peer(header.run_id, 1.0 if peer is None else peer.trust)
        if message.echo and 0 <= now - message.echo - message.echo_age < STALE_SILENCE:
            peer.offset.add_echo(message.sent_at, now, now - message.echo - message.echo_age)
        if message.sent_at <= peer.newest_sent_at:  # duplicate or out of order
            self.count["overtaken"] += 1
            return
        peer.newest_sent_at, peer.newest_received_at = message.sent_at, now
        transit = peer.offset.max_transit(message.sent_at, now)
        if transit is None:
            self.count["time not known"] += 1
            return
        peer.heard_at, peer.transit = now, transit
        if message.complete:
            peer.rows = {row.mark: row for row in message.rows[:MAX_ROWS]}
        else:
            peer.rows |= {row.mark: row for row in message.rows}
            while len(peer.rows) > MAX_ROWS:
                del peer.rows[next(iter(peer.rows))]

    # Trust
    def check_claims(self, now: int, mark: int, queued: float, own: float) -> None:
        """Checks the claims against a worker's new report: `queued` prompt tokens there, of which `own` are ours."""
        claimed = 0.0
        for peer in self.peers.values():
            weight, row = self.weight(peer, now), peer.rows.get(mark)
            if weight and row is not None and row.prefill_tokens:
                refuted = row.prefill_tokens > REFUTED_RATIO * queued and row.prefill_tokens > queued + REFUTED_TOKENS
                self.count["refuted"] += refuted
                peer.trust = (
                    peer.trust * TRUST_LOSS_FACTOR if refuted else peer.trust + (1 - peer.trust) * TRUST_RECOVERY
                )
                claimed += weight * min(row.prefill_tokens, queued)
        known = self.known_share(now)
        if known >= MIN_KNOWN:  # how much of the others' queue is covered by claims
            by_others = max(0.0, queued - own) * known
            self.queued_average += EXPLAINED_SMOOTHING * (by_others - self.queued_average)
            self.explained_average += EXPLAINED_SMOOTHING * (min(claimed, by_others) - self.explained_average)

    def weight(self, peer: Peer, now: int) -> float:
        """Weight of a peer's claims: its trust, reduced by transit time and by the time since its last datagram."""
        if peer.heard_at is None:
            return 0.0
        return (
            peer.trust
            * linear_fade(peer.transit, FRESH_TRANSIT, STALE_TRANSIT)
            * linear_fade(now - peer.heard_at, FRESH_SILENCE, STALE_SILENCE)
        )

    # Results
    def known_share(self, now: int) -> float:
        """Share of the other routers whose load is known, by weight."""
        return min(1.0, sum(self.weight(peer, now) for peer in self.peers.values()) / max(1, len(self.present_peers())))

    def heard(self, now: int) -> dict[int | str, PeerLoad]:
        """{endpoint ID: PeerLoad} of the workers that other routers report; "" stands for all other workers.

        Empty if too few routers are heard.
        """
        weights = {name: self.weight(peer, now) for name, peer in self.peers.items()}
        known = min(1.0, sum(weights.values()) / max(1, len(self.present_peers())))
        if known < MIN_KNOWN:
            return {}
        claims_by_mark: dict[int, WorkerClaims] = {}
        for name in sorted(weights):
            weight = weights[name]
            for mark, row in self.peers[name].rows.items() if weight else ():
                claims_by_mark.setdefault(mark, WorkerClaims()).add(row, weight)
        confidence = round(known * self.claims_confidence(), 2)
        loads: dict[int | str, PeerLoad] = {
            mark: claims.peer_load(known, confidence) for mark, claims in claims_by_mark.items()
        }
        loads[""] = PeerLoad(0, 0, confidence, 0.0)
        return loads

    def claims_confidence(self) -> float:
        """How far the claims explain the queues that workers report, from 0 to 1: 1 if they explain half or more.

        Routers that hide load reduce the confidence in all signals.
        """
        return 1.0 if self.queued_average < 1 else min(1.0, 2 * self.explained_average / self.queued_average)


def row_of(
    now: int,
    mark: int,
    prefill_tokens: float,
    kv_tokens: float,
    suspect: object,
    last_heard_at: int | None,
    last_rejected_at: int | None,
) -> Row:
    """Our own Row for a worker. `last_heard_at`, `last_rejected_at`: last sign of life and last rejection; None = never."""
    if suspect:
        failure_percent = 100
    elif last_rejected_at is not None and now - last_rejected_at < FRESH_SILENCE:
        failure_percent = 50
    else:
        failure_percent = 0 if last_heard_at is not None and now - last_heard_at < FRESH_SILENCE else NOT_TRIED
    return Row(mark, max(0, int(prefill_tokens)), max(0, int(kv_tokens)), failure_percent)


def within_bounds(message: SignalMessage) -> bool:
    """Whether all numbers of a datagram are within their valid ranges."""
    return (
        0 <= message.sent_at < MAX_TIME
        and 0 <= message.echo < MAX_TIME
        and 0 <= message.echo_age < MAX_TIME
        and all(
            0 <= row.mark < 1 << 32
            and NOT_TRIED <= row.failure_percent <= 100
            and 0 <= row.prefill_tokens < MAX_TOKENS
            and 0 <= row.kv_tokens < MAX_TOKENS
            for row in message.rows
        )
    )
