"""The pools of one router: selects the core for a request, limits open requests and exports metrics."""

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily


class PoolRegistry:
    """`cores` by pool; `routes` maps (kind, model) to a pool. `router_prefix` makes request ids unique among routers."""

    def __init__(self, cores, routes, naming, event_log, router_prefix, max_requests=20_000):
        self.cores, self.routes, self.naming, self.event_log, self.router_prefix, self.max_requests = (
            cores,
            routes,
            naming,
            event_log,
            router_prefix,
            max_requests,
        )
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def core(self, kind, model):
        pool = self.routes.get((kind, model))
        return self.cores.get(pool)

    def models(self):
        return sorted({model for _, model in self.routes})

    def has_capacity(self):
        return self.pending() < self.max_requests

    def pending(self):
        return sum(len(core.requests) for core in self.cores.values())

    def ready(self):
        """Whether any pool has a ready worker."""
        return any(worker.state == "ready" for core in self.cores.values() for worker in core.router.workers.values())

    def collect(self):
        """Prometheus collector interface: reads the counts from the cores on each scrape."""
        ended = CounterMetricFamily("ramppulley_questions", "Final answers.", labels=["kind", "use_case", "ending"])
        for (kind, request_class, result), count in self.event_log.counts.items():
            ended.add_metric([kind, request_class, result], count)
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
