"""Leases: a suspect worker is probed by one router at a time, and routers stop a few at a time."""

import asyncio

from ramppulley.cluster.turns import LeaseManager
from ramppulley.daemon.cluster.pool_workers import workers_of
from ramppulley.service.clock import TENTHS

RESTART = "restart"  # name of the lease for stopping
RESTART_POLL_INTERVAL_S = 0.1


class LeaseHolder:
    """Connects the lease state machine `turns.LeaseManager` to the pools' policies and to this router's shutdown."""

    def __init__(self, name, clock, cores, present, switch, datagrams, log, now):
        self.clock = clock
        self.cores = cores
        self.present = present
        self.switch = switch
        self.datagrams = datagrams
        self.log = log
        self.machine = LeaseManager(name, present.addresses, present.remembered_count, now)
        self.consecutive_failures = {}  # of suspect workers, by endpoint, when their lease was requested

    def assign_half_open_probes(self):
        """Sets for each suspect worker whether this router holds the lease for its half-open probe."""
        now = self.clock.now()
        changed = {}
        for pool, core in self.cores().items():
            for endpoint, worker in workers_of(core).items():
                may_probe = self._may_probe(now, endpoint, worker)
                if may_probe != endpoint.trial:
                    endpoint.trial = may_probe
                    changed.setdefault(pool, []).append(endpoint)
        for pool, endpoints in changed.items():
            self.cores()[pool].peer_reports_changed(endpoints)

    def _may_probe(self, now, endpoint, worker):
        lease = f"trial {endpoint.mark}"
        if worker.suspect and endpoint.state != "gone":
            if worker.consecutive_failures != self.consecutive_failures.setdefault(
                endpoint, worker.consecutive_failures
            ):
                self.machine.release(now, lease)  # this router's probe failed: let another router try
                self.consecutive_failures[endpoint] = worker.consecutive_failures
            self.machine.request(now, lease)
        elif self.consecutive_failures.pop(endpoint, None) is not None:
            self.machine.release(now, lease)
        return not worker.suspect or self.switch.sharing_disabled or self.machine.may_act(now, lease)

    async def wait_for_permit_to_stop(self, restart):
        """Returns once this router may stop: with a permit, or after the configured time."""
        started_at = self.clock.now()
        while self.clock.now() - started_at < restart.within_s * TENTHS:
            permits = max(1, int(restart.part * (1 + len(self.present.addresses()))))
            self.machine.request(self.clock.now(), RESTART, permits)
            self.datagrams.run_all_machines()
            if self.machine.may_act(self.clock.now(), RESTART):
                break
            await asyncio.sleep(RESTART_POLL_INTERVAL_S)
        self.log.info(
            "turn to stop",
            waited_s=round((self.clock.now() - started_at) / TENTHS, 1),
            held=self.machine.holds(self.clock.now(), RESTART),
        )
