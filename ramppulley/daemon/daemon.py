"""Wires the components of one router together; the only module that depends on all of them."""

import asyncio
import os
import sys
import time
from pathlib import Path
from zlib import crc32

import structlog

from ramppulley import door
from ramppulley.daemon import json5
from ramppulley.engines.openai import OpenAIConnector
from ramppulley.fleet.listing import WorkerList
from ramppulley.fleet.watch import WorkerFileWatcher
from ramppulley.fronts.http.server import HttpFront
from ramppulley.rules import Router
from ramppulley.service.clock import LoopClock
from ramppulley.service.core import Core
from ramppulley.service.estimate import TokenEstimator
from ramppulley.service.events import Recorder
from ramppulley.service.naming import Naming
from ramppulley.service.record import EventLog
from ramppulley.service.switchboard import PoolRegistry


def logs(log_format, stream=None):
    """Configures structured logs on standard error: as JSON lines or human-readable."""
    renderer = (
        structlog.processors.JSONRenderer() if log_format == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )
    return structlog.get_logger()


class Daemon:
    """One router. `make_router` creates the routing policy of a pool; baselines and mutants replace it in tests.

    `cluster_arguments` replaces the disk, socket, random numbers or settings name that `Cluster` uses.
    """

    def __init__(self, settings, log, base=".", make_router=Router, clock=LoopClock, **cluster_arguments):
        self.settings, self.log, self.base, self.make_router = settings, log, Path(base), make_router
        self.make_clock, self.cluster_arguments, self.cluster = clock, cluster_arguments, None
        self.fleet, self.front, self.recorders = WorkerList(), None, []

    async def start(self):
        """Raises OSError (port in use, file missing) or InvalidFileError before anything runs."""
        settings, loop = self.settings, asyncio.get_running_loop()
        self.clock, estimator = self.make_clock(loop), TokenEstimator()
        if settings.peers is not None:
            from ramppulley.daemon.cluster import Cluster

            self.cluster = Cluster(
                settings,
                self.base,
                self.clock,
                self.fleet,
                lambda: self.pools.cores,
                self._notify_cores,
                self.log,
                **self.cluster_arguments,
            )
        self.event_log = EventLog(self.base / settings.record if settings.record else None)
        self.engines = OpenAIConnector(
            self.log,
            frozenset(settings.engines.full_statuses),
            settings.engines.connections,
            settings.engines.idle_s,
            settings.engines.connect_s,
            settings.engines.load,
            settings.engines.quiet_s,
        )
        request_classes = {name: request_class.to_policy_type() for name, request_class in settings.use_cases.items()}
        tenant_numbers = {name: i for i, name in enumerate(settings.accounts)}
        cores = {}
        for number, (pool, pool_settings) in enumerate(settings.pools.items()):
            served = {name: request_classes[name] for name in pool_settings.use_cases or request_classes}
            cores[pool] = Core(
                pool,
                self._router_factory(number, pool, served),
                self.engines,
                self.clock,
                served,
                tenant_numbers,
                self.event_log,
                self.log,
                estimator,
                self.fleet.name_of,
            )
        naming = Naming(
            frozenset(request_classes),
            **settings.naming.model_dump(),
            keys={key: name for name, account in settings.accounts.items() for key in account.keys},
        )
        self.pools = PoolRegistry(
            cores, settings.routes(), naming, self.event_log, f"{settings.name}-", settings.questions_most
        )
        self.watcher = WorkerFileWatcher(
            self.base / settings.workers.file, json5.read, self._workers_changed, self.log, settings.workers.every_s
        )
        self.watcher.reload_if_changed()
        if self.cluster is not None:
            self.cluster.start()
            self.pools.registry.register(self.cluster)
        listen = settings.listen
        self.front = HttpFront(
            self.pools,
            self.log,
            host=listen.host,
            port=listen.port,
            max_body_bytes=listen.body_most_bytes,
            max_connections=listen.connections,
            idle_timeout_s=listen.idle_s,
            slow_client_timeout_s=listen.slow_s,
        ).start()
        self.watcher.start()
        self._expiry_task = loop.create_task(self._expire_idle_connections())
        self.log.info(
            "router ready", name=settings.name, port=self.front.port, pid=os.getpid(), workers=len(self.fleet.endpoints)
        )
        return self

    def _router_factory(self, number, pool, request_classes):
        settings = self.settings
        capabilities = door.Capabilities(
            sends=settings.permits.sends,
            probes=settings.engines.load == "probe",
            places=settings.permits.places,
            longest_wait=int(settings.permits.longest_wait_s * 10_000),
        )

        def make(host, now):
            arguments = dict(
                seed=settings.seed * 1000 + number,
                routers=settings.routers,
                zone=crc32(settings.zone.encode()),
                use_cases=list(request_classes.values()),
                permits=capabilities,
                lawbook=settings.rules.to_policy_type(),
                now=now,
                accounts=[door.TenantShare(tenant.per_second) for tenant in settings.accounts.values()],
            )
            if not settings.record_events:
                return self.make_router(host, **arguments)
            directory = self.base / settings.record_events
            directory.mkdir(parents=True, exist_ok=True)
            self.recorders.append(
                Recorder(
                    self.make_router,
                    directory / f"{settings.name}-{pool}-{int(time.time())}.events",
                    host,
                    about=f"{settings.name} {pool}",
                    **arguments,
                )
            )
            return self.recorders[-1]

        return make

    def _workers_changed(self, entries):
        unknown = sorted({e.pool for e in entries} - set(self.settings.pools))
        if unknown:
            self.log.warning("workers of pools that the orders do not name are passed over", pools=unknown)
        changed = self.fleet.update(
            [e for e in entries if e.pool in self.settings.pools], self.clock.now(), time.time()
        )
        for _, endpoint, address in changed:
            self.engines.set_address(endpoint, address)
        self._notify_cores([(pool, endpoint) for pool, endpoint, _ in changed])
        if self.cluster is not None:
            self.cluster.listed()

    def _notify_cores(self, changed):
        for pool, core in self.pools.cores.items():
            endpoints = [endpoint for changed_pool, endpoint in changed if changed_pool == pool]
            if endpoints:
                core.endpoints_changed(endpoints)

    async def _expire_idle_connections(self):
        while True:
            await asyncio.sleep(1.0)
            self.engines.expire_idle()

    async def stop(self):
        """In a cluster with leases, waits for a permit to stop. Then accepts no more requests, and answers those accepted,
        within `stop_within_s`."""
        if self.front is None:
            return
        if self.cluster is not None:
            await self.cluster.wait_for_permit_to_stop()
        self.log.info("router stops", pending=self.pools.pending())
        await self.front.stop(self.settings.stop_within_s)
        if self.cluster is not None:
            await self.cluster.stop()
        self._expiry_task.cancel()
        await asyncio.gather(self._expiry_task, return_exceptions=True)
        await self.watcher.stop()
        await self.engines.settle(self.pools.cores.values())
        await self.engines.close()
        self.event_log.close()
        for recorder in self.recorders:
            recorder.close()
        self.log.info("router stopped")
