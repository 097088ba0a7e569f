"""Worker subsetting: the workers that a router normally uses, computed from the worker list and its view of the routers.

Does no I/O; equal views give equal subsets. Each (router, worker) pair has a rendezvous hash from 0 to 1, the same at all
routers. A router uses the groups with its lowest hashes, whole or in part, and also every worker for which it is among the
few routers in its view with the lowest hashes, so that no worker is left out. The fraction used is a half, a quarter ... of
the list, so that a router that joins or leaves doesn't change the others' subsets. The routers' traffic shares are then
fitted (iterative proportional fitting: Deming and Stephan 1940) so that all workers of a role get equal traffic by
weight, although the subsets are random.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil, floor, log, log2
from zlib import crc32

# odd multipliers that mix the bits of a hash, and the mask that keeps 64 of them
MULTIPLIER_1 = 0x9E3779B97F4A7C15
MULTIPLIER_2 = 0xD6E8FEB86659FD93
MASK_64 = 0xFFFFFFFFFFFFFFFF
GUARANTEED_ROUTERS = 2  # routers that use a worker whatever the fraction is
MIN_MEAN_ROUTERS = 8  # mean number of routers per worker that is kept: with fewer the load would be uneven
MIN_PER_ROLE = 2  # prefill workers, and decode workers, used of each group that is used at all
MIN_GROUPS = 2  # groups that a router uses, if there are that many
ZONE_SLACK = 1.1  # a zone's workers may get this multiple of their even share before its routers use other zones
ZONE_STEPS = 16  # granularity of the traffic share kept in a zone, so that a small traffic change moves no subset
FITTING_ROUNDS = 12  # measured: after 8, the most loaded worker gets at most 1.02 times its share
MIN_WEIGHT = 1e-3  # of a worker that is used at all
TRAFFIC_HYSTERESIS = 0.75  # change of the traffic's binary logarithm before it is announced anew, against flapping
FRACTION_HYSTERESIS = 0.8  # a fraction is kept down to this share of what choosing it requires, against flapping


@dataclass(frozen=True)
class Place:
    """A worker as seen by the subsetting. `mark` is the endpoint ID, the same at all routers."""

    mark: int
    role: str  # "read" (prefill), "write" (decode) or "both" (mixed)
    cell: int
    zone: int
    weight: float = 1.0


@dataclass(frozen=True)
class Peer:
    """A router in the view, including this one. `traffic`: requests per second, rounded to a power of two."""

    name: str
    zone: int
    traffic: float = 1.0
    reliable: bool = True  # False while it is a suspect: it counts as a router, but not towards GUARANTEED_ROUTERS


def mark_of(name: str) -> int:
    """64-bit hash of a name.

    >>> mark_of("r0") == mark_of("r0") != mark_of("r1")
    True
    """
    return crc32(name.encode()) * MULTIPLIER_1 & MASK_64


def rendezvous_hash(router: int, worker: int) -> float:
    """Rendezvous hash of a router's and a worker's hash, uniform from 0 to 1."""
    mixed = ((router ^ worker * MULTIPLIER_2) * MULTIPLIER_1) & MASK_64
    mixed = ((mixed ^ mixed >> 29) * MULTIPLIER_2) & MASK_64
    mixed = ((mixed ^ mixed >> 32) * MULTIPLIER_1) & MASK_64
    return (mixed >> 11) / 2**53


def traffic_level(rate: float, before: int) -> int:
    """Binary logarithm of the requests per second, rounded; stays at `before` while the rate is near it.

    >>> traffic_level(0.1, 0), traffic_level(40, 0), traffic_level(45, 5), traffic_level(60, 5)
    (0, 5, 5, 6)
    """
    level = log2(max(1.0, rate))
    return round(level) if abs(level - before) > TRAFFIC_HYSTERESIS else before


def subset_fraction(routers: int, workers: int, min_workers: int, before: float = 1.0) -> float:
    """The fraction of the list that a router uses: 1, 1/2, 1/4 ..., as small as leaves MIN_MEAN_ROUTERS routers per worker
    and `min_workers` workers per router. `before`: the current fraction, kept within a band so that a router that flaps
    moves nothing.

    >>> subset_fraction(64, 64, 12), subset_fraction(7, 64, 12), subset_fraction(1000, 256, 12)
    (0.25, 1.0, 0.0625)
    >>> subset_fraction(15, 64, 12), subset_fraction(15, 64, 12, 0.5)
    (1.0, 0.5)
    """
    fraction = 1.0
    while True:
        factor = FRACTION_HYSTERESIS if fraction / 2 >= before else 1.0
        if fraction / 2 * workers < min_workers * factor or fraction / 2 * routers < MIN_MEAN_ROUTERS * factor:
            return fraction
        fraction /= 2


def zone_flows(peers: Sequence[Peer], places: Sequence[Place]) -> dict[tuple[int, int], float]:
    """{(router zone, worker zone): share of the traffic of the first zone's routers}: workers of the same zone first; the
    excess goes to zones with spare capacity.

    >>> peers, places = [Peer("a", 0), Peer("b", 1)], [Place(1, "write", 0, 0), Place(2, "write", 0, 1)]
    >>> zone_flows(peers, places), zone_flows(peers, places[:1])
    ({(0, 0): 1.0, (1, 1): 1.0}, {(0, 0): 1.0, (1, 0): 1.0})
    """
    traffic: dict[int, float] = {}
    capacity: dict[int, float] = {}
    for peer in peers:
        traffic[peer.zone] = traffic.get(peer.zone, 0.0) + max(peer.traffic, 1e-9)
    for place in places:
        capacity[place.zone] = capacity.get(place.zone, 0.0) + place.weight
    total_traffic, total_capacity = sum(traffic.values()) or 1.0, sum(capacity.values()) or 1.0
    traffic, capacity = (
        {zone: amount / total for zone, amount in amounts.items()}
        for amounts, total in ((traffic, total_traffic), (capacity, total_capacity))
    )
    local = {
        zone: min(ZONE_STEPS, round(ZONE_STEPS * ZONE_SLACK * capacity.get(zone, 0.0) / share)) / ZONE_STEPS
        for zone, share in traffic.items()
    }
    spare = {zone: max(0.0, share - traffic.get(zone, 0.0) * local.get(zone, 0.0)) for zone, share in capacity.items()}
    flows = {}
    for zone in traffic:
        if local[zone]:
            flows[zone, zone] = local[zone]
        others = {z: s for z, s in spare.items() if z != zone and s} or {z: c for z, c in capacity.items() if z != zone}
        for other, amount in others.items():
            if local[zone] < 1:
                flows[zone, other] = (1 - local[zone]) * amount / sum(others.values())
    return flows


class View:
    """One router's view of routers and workers, and the subsets that follow from it."""

    def __init__(self, peers: Sequence[Peer], places: Sequence[Place], fraction: float) -> None:
        self.peers = sorted(peers, key=lambda p: p.name)
        self.places = list(places)
        self.fraction = fraction
        self.marks = {peer.name: mark_of(peer.name) for peer in self.peers}
        self.flows = zone_flows(self.peers, self.places)
        self.groups: dict[int, list[Place]] = {}
        self.groups_by_zone: dict[int, int] = {}  # zone -> number of groups with workers in it
        for place in self.places:
            self.groups.setdefault(place.cell, []).append(place)
        for members in self.groups.values():
            for zone in {place.zone for place in members}:
                self.groups_by_zone[zone] = self.groups_by_zone.get(zone, 0) + 1
        # endpoint ID -> names of the routers that use it in any case
        self.guaranteed = (
            {} if fraction >= 1 else {place.mark: self._guaranteed_routers(place) for place in self.places}
        )
        self.subsets: dict[str, set[int]] = {}
        self.mean_traffic = sum(p.traffic for p in self.peers) / len(self.peers)

    def fraction_for(self, peer: Peer) -> float:
        """A router with 2, 4 ... times the mean traffic uses that multiple of the fraction, so as not to overload its
        workers."""
        return min(
            1.0, self.fraction * 2.0 ** max(0, floor(log2(max(peer.traffic, 1e-9) / max(self.mean_traffic, 1e-9))))
        )

    def _guaranteed_routers(self, place: Place) -> set[str]:
        reliable = [peer.name for peer in self.peers if peer.reliable]
        return set(
            sorted(reliable, key=lambda name: rendezvous_hash(self.marks[name], place.mark))[:GUARANTEED_ROUTERS]
        )

    def subset(self, peer: Peer) -> set[int]:
        """Endpoint IDs of the workers that this router uses, with prefill and decode workers of the same groups."""
        if self.fraction_for(peer) >= 1:
            return {place.mark for place in self.places}
        if peer.name not in self.subsets:
            self.subsets[peer.name] = self._subset(peer)
        return self.subsets[peer.name]

    def _subset(self, peer: Peer) -> set[int]:
        """Whole groups by rendezvous hash, fewer from zones that get little of its traffic; parts of groups if the list has
        few groups. Nothing here depends on the number of workers, so a worker that joins or leaves moves only itself."""
        mark, fraction = self.marks[peer.name], self.fraction_for(peer)
        chosen: set[int] = set()
        group_weights = {
            group: max(
                self.flows.get((peer.zone, place.zone), 0.0) / self.groups_by_zone[place.zone] for place in places
            )
            for group, places in self.groups.items()
        }
        # weighted rendezvous hashing: a group comes first with a probability in proportion to its weight
        order = sorted(
            [group for group in group_weights if group_weights[group]],
            key=lambda g: -log(1 - rendezvous_hash(mark, g)) / group_weights[g],
        )
        count = min(len(order), max(MIN_GROUPS, round(fraction * len(self.groups)))) or 1
        group_fraction = min(1.0, fraction * len(self.groups) / count)
        for group in order[:count]:
            for role in ("both", "read", "write"):
                same_role = sorted(
                    [p for p in self.groups[group] if p.role == role], key=lambda p: rendezvous_hash(mark, p.mark)
                )
                chosen.update([p.mark for p in same_role[: max(MIN_PER_ROLE, ceil(group_fraction * len(same_role)))]])
        for place in self.places:
            if peer.name in self.guaranteed[place.mark] and place.mark not in chosen:
                chosen |= self._with_partner(mark, place)
        return chosen

    def _with_partner(self, mark: int, place: Place) -> set[int]:
        """A worker, and one of its group with the complementary role."""
        other_role = {"read": "write", "write": "read"}.get(place.role)
        partners = [p for p in self.groups[place.cell] if p.role == other_role]
        return {place.mark} | {p.mark for p in sorted(partners, key=lambda p: rendezvous_hash(mark, p.mark))[:1]}

    def shares(self, rounds: int = FITTING_ROUNDS) -> dict[str, dict[int, float]]:
        """{router: {endpoint ID: share of its traffic}}; decode workers and prefill workers each add up to 1.

        All workers of a role get equal traffic by weight, prefill workers within their group in proportion to the traffic
        of its decode workers.
        """
        traffic = {peer.name: max(peer.traffic, 1e-9) for peer in self.peers}
        used = {peer.name: self.subset(peer) for peer in self.peers}
        decode = [place for place in self.places if place.role != "read"]
        shares = fit_shares(traffic, {n: [w for w in decode if w.mark in used[n]] for n in used}, rounds)
        for places in self.groups.values():
            decode_marks = {place.mark for place in places if place.role != "read"}
            group_traffic = {
                n: sum(share for mark, share in row.items() if mark in decode_marks) * traffic[n]
                for n, row in shares.items()
            }
            group_traffic = {n: amount for n, amount in group_traffic.items() if amount}
            prefill = [place for place in places if place.role == "read"]
            prefill_shares = fit_shares(
                group_traffic, {n: [w for w in prefill if w.mark in used[n]] for n in group_traffic}, rounds
            )
            for name, row in prefill_shares.items():
                shares[name] = shares[name] | {
                    mark: share * group_traffic[name] / traffic[name] for mark, share in row.items()
                }
        return shares

    def weights(self, name: str) -> dict[int, float]:
        """{endpoint ID: weight} of this router's subset: the total weight of each role, redistributed by its shares."""
        row = self.shares()[name]
        weights: dict[int, float] = {}
        for is_decode in (False, True):
            places = [p for p in self.places if p.mark in row and (p.role != "read") == is_decode]
            total, total_share = sum(p.weight for p in places), sum(row[p.mark] for p in places) or 1.0
            weights |= {p.mark: max(MIN_WEIGHT, row[p.mark] / total_share * total) for p in places}
        return weights


def fit_shares(
    traffic: Mapping[str, float], used: Mapping[str, Sequence[Place]], rounds: int
) -> dict[str, dict[int, float]]:
    """{router: {endpoint ID: share}}: rows add up to 1, and each worker gets traffic by weight as far as `used` allows.

    >>> one, two = Place(1, "write", 0, 0), Place(2, "write", 0, 0)
    >>> rows = fit_shares({"a": 1.0, "b": 1.0}, {"a": [one, two], "b": [two]}, 30)
    >>> round(rows["a"][1], 1), rows["b"]
    (1.0, {2: 1.0})
    """
    rows = {name: {w.mark: w.weight for w in places} for name, places in used.items() if places}
    targets = {w.mark: w.weight for places in used.values() for w in places}
    targets = {mark: weight * sum(traffic[n] for n in rows) / sum(targets.values()) for mark, weight in targets.items()}
    for remaining in reversed(range(rounds)):
        received = dict.fromkeys(targets, 0.0)
        for name, row in rows.items():
            scale = traffic[name] / sum(row.values())
            for mark in row:
                row[mark] *= scale
                received[mark] += row[mark]
        for row in rows.values() if remaining else ():
            for mark in row:
                row[mark] *= targets[mark] / received[mark]
    return {name: {mark: amount / traffic[name] for mark, amount in row.items()} for name, row in rows.items()}
