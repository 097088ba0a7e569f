"""Which workers this router uses ordinarily, worked out anew when routers, workers or traffic change."""

import asyncio
from zlib import crc32

from ramppulley.cluster.subsets import Peer, Place, View, part_of, traffic_of
from ramppulley.service.clock import TENTHS

INTERVAL_S = 0.5  # between two times that subsets are worked out
TRAFFIC_INTERVAL = 5 * TENTHS  # between two times that our own traffic is measured


class SubsetSelection:
    """Joins `cluster.subsets` to the list of workers. `tell(boxes)` is called with those whose place changed."""

    def __init__(self, orders, clock, fleet, cores, members, datagrams, tell, log, measured_at):
        self.name = orders.name
        self.zone = orders.zone
        self.subset = orders.peers.subset
        self.clock = clock
        self.fleet = fleet
        self.cores = cores
        self.members = members
        self.datagrams = datagrams
        self.tell = tell
        self.log = log
        self.changed = True  # routers, workers or traffic, since subsets were worked out
        self.parts = {}  # pool -> part of the list that is used
        self.sizes = {}  # pool -> workers used ordinarily, 0 for all
        self.requests_before = 0
        self.measured_at = measured_at

    async def run(self):
        """Until it is cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._measure_traffic()
            if self.changed and self.subset is not None:
                self.changed = False
                try:
                    found = await asyncio.to_thread(self._found, *self._seen())  # not on the loop: streams go on
                    self._apply(found)
                except Exception:  # the whole list stays usable whatever happens here
                    self.log.exception("subsets not worked out")

    def _measure_traffic(self):
        """Our own traffic, coarsely, told anew where it moved."""
        now = self.clock.now()
        requests = sum(core.accepted for core in self.cores().values())
        if now - self.measured_at < TRAFFIC_INTERVAL:
            return
        rate = (requests - self.requests_before) * TENTHS / (now - self.measured_at)
        self.requests_before = requests
        self.measured_at = now
        traffic = self.members.local.traffic
        level = traffic_of(rate, traffic)
        if level != traffic:
            self.members.told_traffic(level)
            self.changed = True
            self.datagrams.turn()

    def _seen(self):
        """(ourselves, all routers, each pool's workers, each pool's part so far) as subsets see them."""
        own = Peer(self.name, crc32(self.zone.encode()), 2.0**self.members.local.traffic)
        return own, [own, *self._other_routers()], self._pools(), dict(self.parts)

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

    def _found(self, own, peers, pools, before):
        """{pool: (part, {mark: weight within what is used})}, empty where the whole list is used."""
        found = {}
        for pool, places in pools.items():
            part = part_of(len(peers), len(places), self.subset.workers_least, before.get(pool, 1.0))
            found[pool] = part, View(peers, places, part).weights(own.name) if part < 1 else {}
        return found

    def _apply(self, found):
        changed = self._changed_boxes(found)
        for pool, (part, weights) in found.items():
            if part != self.parts.get(pool, 1.0):
                self.log.info("subset", pool=pool, part=part, workers=len(weights) or "all")
            self.parts[pool], self.sizes[pool] = part, len(weights)
        if changed:
            self.tell(changed)

    def _changed_boxes(self, found):
        """[(pool, box)] of those that got another place or weight."""
        changed = []
        for name, endpoint in self.fleet.endpoints.items():
            entry = self.fleet.entries[name]
            _, weights = found.get(entry.pool, (1.0, {}))
            if endpoint.state != "ready":
                continue
            usual = not weights or endpoint.mark in weights
            weight = weights.get(endpoint.mark, entry.weight)
            if (usual, weight) != (endpoint.usual, endpoint.weight):
                endpoint.usual, endpoint.weight = usual, weight
                changed.append((entry.pool, endpoint))
        return changed
