"""Exchanges signals with other routers: the load that each has placed on workers."""

from ramppulley import door
from ramppulley.cluster import signals
from ramppulley.daemon.cluster.pool_workers import listed_workers
from ramppulley.service.clock import TENTHS

MIN_INTERVAL = 5 * TENTHS // 1000  # between updates of the policies


class SignalExchange:
    """Connects the state machine `signals.Signals` to the pools' policies."""

    def __init__(self, clock, fleet, cores, present, switch, datagrams, rng, now):
        self.clock = clock
        self.fleet = fleet
        self.cores = cores
        self.switch = switch
        self.datagrams = datagrams
        self.machine = signals.Signals(self._own_rows, present.addresses, rng, now)
        self.updated_at = 0
        self.reported_at = {}  # endpoint ID -> time of the newest worker report that peer claims were checked against
        for core in cores().values():
            core.before_decision, core.attempts_changed = self.update_policies, self.own_attempts_changed

    def own_attempts_changed(self):
        """An attempt of this router started or ended: schedules a signal to the peers."""
        if not self.switch.sharing_disabled:
            self.machine.changed(self.clock.now())
            self.datagrams.reschedule("signals", self.machine.due())

    def _own_rows(self):
        """Rows with this router's own observations of workers."""
        now = self.clock.now()
        return [
            signals.row_of(
                now,
                endpoint.mark,
                sum(attempt.uncached_tokens for attempt in worker.open_attempts if attempt.first_token_at is None),
                worker.open_memory_tokens,
                worker.suspect,
                worker.last_heard_at,
                worker.rejections[-1][0] if worker.rejections else None,
            )
            for endpoint, worker in listed_workers(self.cores())
        ]

    def update_policies(self):
        """Passes new peer reports to the policies, at most once per MIN_INTERVAL."""
        now = self.clock.now()
        if now - self.updated_at >= MIN_INTERVAL:
            self.updated_at = now
            self.switch.guard(self._update_policies, now)

    def _update_policies(self, now):
        reports = {} if self.switch.sharing_disabled else self.machine.heard(now)
        default_report = reports.get("")
        changed = {}
        for name, endpoint in self.fleet.endpoints.items():
            report = reports.get(endpoint.mark, default_report)
            peer_report = report and door.PeerReport(
                report.unread, report.memory, report.known, report.ill, report.well
            )
            if peer_report != endpoint.heard:
                endpoint.heard = peer_report
                changed.setdefault(self.fleet.entries[name].pool, []).append(endpoint)
        for pool, endpoints in changed.items():
            self.cores()[pool].peer_reports_changed(endpoints)
        self._check_peer_claims()

    def _check_peer_claims(self):
        """Checks peers' claims against new reports that prefill workers sent to this router."""
        for endpoint, worker in listed_workers(self.cores()):
            if worker.can_prefill and worker.reports and worker.reports[-1][0] > self.reported_at.get(endpoint.mark, 0):
                at, report, ours, _ = worker.reports[-1]
                self.reported_at[endpoint.mark] = at
                if report.tokens_waiting is not None:
                    self.machine.check_claims(at, endpoint.mark, report.tokens_waiting, ours)
