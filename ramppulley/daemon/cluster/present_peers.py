"""Addresses of the peers that signals and leases are exchanged with."""

from ramppulley.service.clock import TENTHS

REFRESH_INTERVAL = TENTHS // 20  # minimum time between lookups, since the addresses are needed for each datagram


class PresentPeers:
    """Caches {name: address} of the routers that are alive or suspect."""

    def __init__(self, members, clock):
        self.members = members
        self.clock = clock
        self.cached = {}
        self.cached_at = -REFRESH_INTERVAL

    def addresses(self):
        """{name: address}."""
        now = self.clock.now()
        if now - self.cached_at >= REFRESH_INTERVAL:
            self.cached_at = now
            self.cached = {
                member.name: member.address
                for member in self.members.members.values()
                if member.state in ("alive", "suspect")
            }
        return self.cached

    def remembered_count(self):
        """Number of known routers including this one, without those that left."""
        return 1 + sum(member.state != "left" for member in self.members.members.values())
