"""Signals: what other routers have out at workers, and what this router tells them."""

from ramppulley import door
from ramppulley.cluster import signals
from ramppulley.daemon.cluster.pool_workers import listed_workers
from ramppulley.service.clock import TENTHS

MIN_INTERVAL = 5 * TENTHS // 1000  # between two times that the modules are told


class SignalExchange:
    """Joins the machine `signals.Signals` to the pools' modules."""

    def __init__(self, clock, fleet, cores, present, switch, datagrams, rng, now):
        self.clock = clock
        self.fleet = fleet
        self.cores = cores
        self.switch = switch
        self.datagrams = datagrams
        self.machine = signals.Signals(self._own_rows, present.addresses, rng, now)
        self.told_at = 0
        self.reported_at = {}  # mark -> time of the worker's newest report that claims were held against
        for core in cores().values():
            core.before_decision, core.attempts_changed = self.tell_modules, self.own_sends_changed

    def own_sends_changed(self):
        """A send of this router came or went: the others are told soon."""
        if not self.switch.muted:
            self.machine.changed(self.clock.now())
            self.datagrams.soon("signals", self.machine.due())

    def _own_rows(self):
        """What this router's modules know of workers themselves."""
        now = self.clock.now()
        return [
            signals.row_of(
                now,
                endpoint.mark,
                sum(send.unread for send in worker.open_attempts if send.first_token_at is None),
                worker.memory,
                worker.suspect,
                worker.last_heard_at,
                worker.refused[-1][0] if worker.refused else None,
            )
            for endpoint, worker in listed_workers(self.cores())
        ]

    def tell_modules(self):
        """The modules are told what is known now, if anything came since."""
        now = self.clock.now()
        if now - self.told_at >= MIN_INTERVAL:
            self.told_at = now
            self.switch.guard(self._tell_modules, now)

    def _tell_modules(self, now):
        heard = {} if self.switch.muted else self.machine.heard(now)
        elsewhere = heard.get("")
        changed = {}
        for name, endpoint in self.fleet.endpoints.items():
            told = heard.get(endpoint.mark, elsewhere)
            new = told and door.PeerReport(told.unread, told.memory, told.known, told.ill, told.well)
            if new != endpoint.heard:
                endpoint.heard = new
                changed.setdefault(self.fleet.entries[name].pool, []).append(endpoint)
        for pool, endpoints in changed.items():
            self.cores()[pool].peer_reports_changed(endpoints)
        self._check_claims()

    def _check_claims(self):
        """New reports of prefill workers to ourselves: others' claims are held against them."""
        for endpoint, worker in listed_workers(self.cores()):
            if worker.can_prefill and worker.reports and worker.reports[-1][0] > self.reported_at.get(endpoint.mark, 0):
                at, report, ours, _ = worker.reports[-1]
                self.reported_at[endpoint.mark] = at
                if report.tokens_waiting is not None:
                    self.machine.saw(at, endpoint.mark, report.tokens_waiting, ours)
