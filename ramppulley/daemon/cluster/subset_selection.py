"""Selects the subset of workers that this router normally uses; recomputed when routers, workers or traffic change."""

import asyncio
from zlib import crc32

from ramppulley.cluster.subsets import Peer, Place, View, subset_fraction, traffic_level
from ramppulley.service.clock import TENTHS

INTERVAL_S = 0.5  # between computations of subsets
TRAFFIC_INTERVAL = 5 * TENTHS  # between measurements of this router's traffic


class SubsetSelection:
    """Connects `cluster.subsets` to the list of workers.

    `notify` gets the [(pool, endpoint)] that entered or left the subset, or whose weight in it changed.
    """

    def __init__(self, orders, clock, fleet, cores, members, datagrams, notify, log, measured_at):
        self.name = orders.name
        self.zone = orders.zone
        self.subset = orders.peers.subset
        self.clock = clock
        self.fleet = fleet
        self.cores = cores
        self.members = members
        self.datagrams = datagrams
        self.notify = notify
        self.log = log
        self.changed = True  # whether routers, workers or traffic changed since the last computation
        self.fractions = {}  # pool -> fraction of the list that is used
        self.sizes = {}  # pool -> number of workers in the subset, 0 for all
        self.requests_before = 0
        self.measured_at = measured_at

    async def run(self):
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._measure_traffic()
            if self.changed and self.subset is not None:
                self.changed = False
                try:
                    # Runs in a thread, so that streams are not delayed.
                    results = await asyncio.to_thread(self._compute_subsets, *self._subset_inputs())
                    self._apply(results)
                except Exception:  # the whole list stays usable after a failure
                    self.log.exception("subsets not worked out")

    def _measure_traffic(self):
        """Measures this router's traffic level and announces it if it changed."""
        now = self.clock.now()
        requests = sum(core.accepted for core in self.cores().values())
        if now - self.measured_at < TRAFFIC_INTERVAL:
            return
        rate = (requests - self.requests_before) * TENTHS / (now - self.measured_at)
        self.requests_before = requests
        self.measured_at = now
        traffic = self.members.local.traffic
        level = traffic_level(rate, traffic)
        if level != traffic:
            self.members.set_traffic(level)
            self.changed = True
            self.datagrams.run_all_machines()

    def _subset_inputs(self):
        """Input of the subset computation: (this router, all routers, workers by pool, current fraction by pool)."""
        own = Peer(self.name, crc32(self.zone.encode()), 2.0**self.members.local.traffic)
        return own, [own, *self._other_routers()], self._pools(), dict(self.fractions)

    def _other_routers(self):
        return [
            Peer(member.name, crc32(member.zone.encode()), 2.0**member.traffic, member.state == "alive")
            for member in self.members.members.values()
            if member.state in ("alive", "suspect")
        ]

    def _pools(self):
        pools = {}
        for name, endpoint in self.fleet.endpoints.items():
            entry = self.fleet.entries[name]
            if endpoint.state == "ready":
                pools.setdefault(entry.pool, []).append(
                    Place(endpoint.mark, endpoint.role, endpoint.cell, endpoint.zone, entry.weight)
                )
        return pools

    def _compute_subsets(self, own, peers, pools, previous_fractions):
        """{pool: (fraction, {endpoint ID: weight in the subset})}; no weights if the whole list is used."""
        results = {}
        for pool, places in pools.items():
            fraction = subset_fraction(
                len(peers), len(places), self.subset.workers_least, previous_fractions.get(pool, 1.0)
            )
            results[pool] = fraction, View(peers, places, fraction).weights(own.name) if fraction < 1 else {}
        return results

    def _apply(self, results):
        changed = self._changed_endpoints(results)
        for pool, (fraction, weights) in results.items():
            if fraction != self.fractions.get(pool, 1.0):
                self.log.info("subset", pool=pool, part=fraction, workers=len(weights) or "all")
            self.fractions[pool], self.sizes[pool] = fraction, len(weights)
        if changed:
            self.notify(changed)

    def _changed_endpoints(self, results):
        """[(pool, endpoint)] whose subset membership or weight changed."""
        changed = []
        for name, endpoint in self.fleet.endpoints.items():
            entry = self.fleet.entries[name]
            _, weights = results.get(entry.pool, (1.0, {}))
            if endpoint.state != "ready":
                continue
            in_subset = not weights or endpoint.mark in weights
            weight = weights.get(endpoint.mark, entry.weight)
            if (in_subset, weight) != (endpoint.usual, endpoint.weight):
                endpoint.usual, endpoint.weight = in_subset, weight
                changed.append((entry.pool, endpoint))
        return changed
