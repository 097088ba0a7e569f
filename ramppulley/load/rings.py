"""Compares the subsets of `cluster.subsets` with published methods, for 3 to 1,000 routers; computed, without a network.

Baselines: a random subset for each router; rendezvous hashing (Thaler and Ravishankar 1998); deterministic subsetting (Site
Reliability Engineering, O'Reilly 2016, chapter 20); an aperture ring (Finagle's deterministic aperture, implemented from its
description); and a low-discrepancy ring (Rocksteadier Subsetting, ACM Queue). All give each router a set of workers; ours
also gives traffic shares.
"""

import csv
from random import Random

from ramppulley.cluster.subsets import Peer, Place, View, mark_of, rendezvous_hash, subset_fraction

MIN_SUBSET_WORKERS = 12
FLEETS = ((4, 3, 3), (8, 4, 4), (16, 4, 4), (16, 8, 8))  # groups, prefill and decode workers of each group


def fleet(groups, prefill_workers, decode_workers, zones=2):
    return [
        Place(mark_of(f"{role}-{group}-{n}") >> 32, role, mark_of(f"rack{group}") >> 32, group % zones)
        for group in range(groups)
        for role, count in (("read", prefill_workers), ("write", decode_workers))
        for n in range(count)
    ]


def routers(count, first_traffic=1.0, zones=2):
    return [Peer(f"r{n}", n % zones, first_traffic if n == 0 else 1.0) for n in range(count)]


class Ours:
    """`cluster.subsets`; `previous_part` is the part of the list that the routers used before."""

    name = "subsets"

    def __init__(self, peers, places, previous_part=1.0):
        self.part = subset_fraction(len(peers), len(places), MIN_SUBSET_WORKERS, previous_part)
        self.view = View(peers, places, self.part)

    def subset_of(self, peer):
        return self.view.subset(peer)

    def shares(self):
        return self.view.shares()


class Baseline:
    """Subsets of about the size of ours, with equal shares for the workers of each role."""

    def __init__(self, peers, places, previous_part=1.0):
        self.part = subset_fraction(len(peers), len(places), MIN_SUBSET_WORKERS, previous_part)
        self.peers, self.places = peers, places
        self.size = max(1, round(self.part * len(places)))
        self.subsets = {}

    def subset_of(self, peer):
        if peer.name not in self.subsets:
            self.subsets[peer.name] = self.choose_subset(peer)
        return self.subsets[peer.name]

    def shares(self):
        shares_by_router = {}
        for peer in self.peers:
            peer_shares, subset = {}, self.subset_of(peer)
            for can_decode in (False, True):
                ids = [p.mark for p in self.places if p.mark in subset and (p.role != "read") == can_decode]
                peer_shares |= {worker_id: 1 / len(ids) for worker_id in ids}
            shares_by_router[peer.name] = peer_shares
        return shares_by_router


class RandomSubset(Baseline):
    name = "random"

    def choose_subset(self, peer):
        return set(Random(peer.name).sample(sorted(p.mark for p in self.places), self.size))


class Rendezvous(Baseline):
    name = "rendezvous"

    def choose_subset(self, peer):
        router_id = mark_of(peer.name)
        return {p.mark for p in sorted(self.places, key=lambda p: rendezvous_hash(router_id, p.mark))[: self.size]}


class DeterministicSubsetting(Baseline):
    """Each round of routers divides a shuffled list of workers among them; every round has its own shuffle."""

    name = "deterministic"

    def choose_subset(self, peer):
        number, count = [p.name for p in self.peers].index(peer.name), max(1, len(self.places) // self.size)
        ids = sorted(p.mark for p in self.places)
        Random(number // count).shuffle(ids)
        first = number % count * self.size
        return set(ids[first : first + self.size])


class ApertureRing(Baseline):
    """Routers are spaced evenly on a ring of workers; each uses the next ones."""

    name = "aperture ring"

    def ring_position(self, number):
        return number / len(self.peers)

    def choose_subset(self, peer):
        ids = sorted((p.mark for p in self.places), key=lambda i: rendezvous_hash(1, i))
        first = int(self.ring_position([p.name for p in self.peers].index(peer.name)) * len(ids))
        return {ids[(first + n) % len(ids)] for n in range(self.size)}


class LowDiscrepancyRing(ApertureRing):
    """Positions are the bit-reversed numbers of the routers, so that adding a router moves no other."""

    name = "low-discrepancy ring"

    def ring_position(self, number):
        return int(f"{number:032b}"[::-1], 2) / 2**32


KINDS = (Ours, RandomSubset, Rendezvous, DeterministicSubsetting, ApertureRing, LowDiscrepancyRing)


def fairness(method, peers, places):
    """(load of the most loaded worker over the mean of its role, the larger of both roles; minimum routers of a worker)."""
    subsetting = method(peers, places)
    shares, loads = subsetting.shares(), dict.fromkeys([p.mark for p in places], 0.0)
    for peer in peers:
        for worker_id, share in shares[peer.name].items():
            loads[worker_id] += share * peer.traffic
    max_ratio = 0.0
    for can_decode in (False, True):
        role_loads = [loads[p.mark] / p.weight for p in places if (p.role != "read") == can_decode]
        max_ratio = max(max_ratio, max(role_loads) * len(role_loads) / sum(role_loads) if sum(role_loads) else 0.0)
    return max_ratio, min(sum(p.mark in subsetting.subset_of(peer) for peer in peers) for p in places)


def changed(method, peers, places, peers_after, places_after):
    """(changed memberships; the unavoidable ones among them; whether the part of the list changed).

    Unavoidable are the memberships of routers and workers that exist only before or only after the change.
    """
    before = method(peers, places)
    after = method(peers_after, places_after, before.part)
    old, new = {p.name: before.subset_of(p) for p in peers}, {p.name: after.subset_of(p) for p in peers_after}
    ids_after, ids_before = {p.mark for p in places_after}, {p.mark for p in places}
    count = sum(len(old.get(name, set()) ^ new.get(name, set())) for name in {*old, *new})
    unavoidable = sum(len(subset) for name, subset in new.items() if name not in old)
    unavoidable += sum(len(subset) for name, subset in old.items() if name not in new)
    unavoidable += sum(len(subset - ids_after) for name, subset in old.items() if name in new)
    unavoidable += sum(len(subset - ids_before) for name, subset in new.items() if name in old)
    return count, unavoidable, before.part != after.part


def rows(sizes, fleets=FLEETS):
    """One row for each fleet, number of routers and method."""
    for fleet_size in fleets:
        for router_count in sizes:
            for method in KINDS:
                places, peers = fleet(*fleet_size), routers(router_count)
                even_ratio, min_routers = fairness(method, peers, places)
                uneven_ratio, _ = fairness(method, routers(router_count, 10.0), places)
                router_added = changed(
                    method, peers, places, [*peers, Peer(f"r{router_count}", router_count % 2)], places
                )
                router_removed = changed(method, peers, places, peers[:-2] + peers[-1:], places)
                worker_added = changed(
                    method, peers, places, peers, [*places, Place(7, "write", places[0].cell, places[0].zone)]
                )
                worker_removed = changed(method, peers, places, peers, places[1:])
                yield {
                    "kind": method.name,
                    "routers": router_count,
                    "workers": len(places),
                    "part": method(peers, places).part,
                    "most_loaded": round(even_ratio, 3),
                    "one_of_ten_times": round(uneven_ratio, 3),
                    "least_routers": min_routers,
                    **{
                        f"{change}_{column}": count
                        for change, counts in (
                            ("router_more", router_added),
                            ("router_less", router_removed),
                            ("worker_more", worker_added),
                            ("worker_less", worker_removed),
                        )
                        for column, count in zip(("changed", "least"), counts)
                    },
                }


def table(folder, sizes, echo=print, fleets=FLEETS):
    """Writes subsets.csv and subsets.svg; returns the rows."""
    folder.mkdir(parents=True, exist_ok=True)
    results = []
    for row in rows(sizes, fleets):
        results.append(row)
        echo(" ".join(f"{key} {value}" for key, value in row.items()))
    with open(folder / "subsets.csv", "w", newline="") as file:
        writer = csv.DictWriter(file, results[0])
        writer.writeheader()
        writer.writerows(results)
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, plots = pyplot.subplots(1, 2, figsize=(11, 4))
    workers = sorted({row["workers"] for row in results})[len({row["workers"] for row in results}) // 2]
    for method in KINDS:
        selected = [row for row in results if row["kind"] == method.name and row["workers"] == workers]
        plots[0].plot(
            [r["routers"] for r in selected], [r["most_loaded"] for r in selected], marker=".", label=method.name
        )
        plots[1].plot(
            [r["routers"] for r in selected],
            [max(0.5, r["router_less_changed"] / max(1, r["router_less_least"])) for r in selected],
            marker=".",
            label=method.name,
        )
    for axes, title in zip(
        plots,
        (
            f"most loaded worker over its even part, {workers} workers",
            "memberships changed over the least, one router less",
        ),
    ):
        axes.set(xscale="log", xlabel="routers", title=title)
        axes.legend(fontsize=7)
    plots[1].set(yscale="log")
    figure.savefig(folder / "subsets.svg")
    return results
