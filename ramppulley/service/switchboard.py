"""All pools of one router: which core takes a question, and what the whole is told to hold at most."""

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


class Switchboard:
    """`cores` by pool; `routes` maps (kind, model) to a pool. `mark` tells this router's questions from others'."""

    def __init__(self, cores, routes, naming, book, mark, most=20_000):
        self.cores, self.routes, self.naming, self.book, self.mark, self.most = cores, routes, naming, book, mark, most
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def core(self, kind, model):
        pool = self.routes.get((kind, model))
        return self.cores.get(pool)

    def models(self):
        return sorted({model for _, model in self.routes})

    def room(self):
        return self.pending() < self.most

    def pending(self):
        return sum(len(core.requests) for core in self.cores.values())

    def ready(self):
        """Whether any pool has a worker to send to."""
        return any(worker.state == "ready" for core in self.cores.values() for worker in core.router.workers.values())

    def collect(self):
        """Prometheus' collector: counted from the cores when asked, nothing kept twice."""
        ended = CounterMetricFamily("ramppulley_questions", "Final answers.", labels=["kind", "use_case", "ending"])
        for (kind, case, how), count in self.book.counts.items():
            ended.add_metric([kind, case, how], count)
        taken = CounterMetricFamily("ramppulley_taken", "Questions taken.", labels=["pool"])
        pending = GaugeMetricFamily("ramppulley_pending", "Questions taken and not yet done with.", labels=["pool"])
        workers = GaugeMetricFamily("ramppulley_workers", "Workers on the list.", labels=["pool", "state"])
        for pool, core in self.cores.items():
            taken.add_metric([pool], core.accepted)
            pending.add_metric([pool], len(core.requests))
            states = [worker.state for worker in core.router.workers.values()]
            for state in ("ready", "draining", "gone"):
                workers.add_metric([pool, state], states.count(state))
        yield from (ended, taken, pending, workers)
