"""Turns: a suspect worker is tried by one router at a time, and routers stop a few at a time."""

import asyncio

from ramppulley.cluster.turns import Turns
from ramppulley.daemon.cluster.pool_workers import workers_of
from ramppulley.service.clock import TENTHS

RESTART = "restart"  # the turn of those that are to stop
RESTART_POLL_S = 0.1


class TurnTaking:
    """Joins the machine `turns.Turns` to the pools' modules and to this router's stop."""

    def __init__(self, name, clock, cores, present, switch, datagrams, log, now):
        self.clock = clock
        self.cores = cores
        self.present = present
        self.switch = switch
        self.datagrams = datagrams
        self.log = log
        self.machine = Turns(name, present.addresses, present.remembered, now)
        self.consecutive_failures = {}  # of suspect workers, by box, when their turn was asked for

    def assign_trials(self):
        """Whose turn it is to try each worker that this router holds for a suspect."""
        now = self.clock.now()
        changed = {}
        for pool, core in self.cores().items():
            for endpoint, worker in workers_of(core).items():
                trial = self._may_try(now, endpoint, worker)
                if trial != endpoint.trial:
                    endpoint.trial = trial
                    changed.setdefault(pool, []).append(endpoint)
        for pool, endpoints in changed.items():
            self.cores()[pool].peer_reports_changed(endpoints)

    def _may_try(self, now, endpoint, worker):
        thing = f"trial {endpoint.mark}"
        if worker.suspect and endpoint.state != "gone":
            if worker.consecutive_failures != self.consecutive_failures.setdefault(
                endpoint, worker.consecutive_failures
            ):
                self.machine.leave(now, thing)  # ours did not do well: another's turn
                self.consecutive_failures[endpoint] = worker.consecutive_failures
            self.machine.want(now, thing)
        elif self.consecutive_failures.pop(endpoint, None) is not None:
            self.machine.leave(now, thing)
        return not worker.suspect or self.switch.muted or self.machine.may(now, thing)

    async def turn_to_stop(self, restart):
        """Returns once this router may stop: in its turn, or after the time that the settings name."""
        began = self.clock.now()
        while self.clock.now() - began < restart.within_s * TENTHS:
            seats = max(1, int(restart.part * (1 + len(self.present.addresses()))))
            self.machine.want(self.clock.now(), RESTART, seats)
            self.datagrams.turn()
            if self.machine.may(self.clock.now(), RESTART):
                break
            await asyncio.sleep(RESTART_POLL_S)
        self.log.info(
            "turn to stop",
            waited_s=round((self.clock.now() - began) / TENTHS, 1),
            held=self.machine.holds(self.clock.now(), RESTART),
        )
