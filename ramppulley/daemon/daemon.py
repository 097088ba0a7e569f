"""Wires the parts of one router together; the only place that knows them all."""

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
from ramppulley.fleet.listing import Fleet
from ramppulley.fleet.watch import Watcher
from ramppulley.fronts.http.server import HttpFront
from ramppulley.rules import Router
from ramppulley.service.clock import LoopClock
from ramppulley.service.core import Core
from ramppulley.service.estimate import Estimator
from ramppulley.service.events import Recorder
from ramppulley.service.naming import Naming
from ramppulley.service.record import Book
from ramppulley.service.switchboard import Switchboard


def logs(form, stream=None):
    """Structured logs on standard error: for people, or JSON lines."""
    last = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
    )
    return structlog.get_logger()


class Daemon:
    """One router. `make` builds the decision module of a pool; baselines and broken ones come in here."""

    def __init__(self, orders, log, base=".", make=Router, clock=LoopClock, **edges):
        self.orders, self.log, self.base, self.make = orders, log, Path(base), make
        self.make_clock, self.edges, self.cluster = clock, edges, None  # `edges`: other ones than the machine's
        self.fleet, self.front, self.recorders = Fleet(), None, []

    async def start(self):
        """Raises OSError (port taken, no such file) or BadFile before anything runs."""
        orders, loop = self.orders, asyncio.get_running_loop()
        self.clock, estimator = self.make_clock(loop), Estimator()
        if orders.peers is not None:
            from ramppulley.daemon.cluster import Cluster

            self.cluster = Cluster(
                orders, self.base, self.clock, self.fleet, lambda: self.board.cores, self._tell, self.log, **self.edges
            )
        self.book = Book(self.base / orders.record if orders.record else None)
        self.engines = OpenAIConnector(
            self.log,
            frozenset(orders.engines.full_statuses),
            orders.engines.connections,
            orders.engines.idle_s,
            orders.engines.connect_s,
            orders.engines.load,
            orders.engines.quiet_s,
        )
        cases = {name: case.of_door() for name, case in orders.use_cases.items()}
        accounts = {name: i for i, name in enumerate(orders.accounts)}
        cores = {}
        for number, (pool, told) in enumerate(orders.pools.items()):
            served = {name: cases[name] for name in told.use_cases or cases}
            cores[pool] = Core(
                pool,
                self._maker(number, pool, served),
                self.engines,
                self.clock,
                served,
                accounts,
                self.book,
                self.log,
                estimator,
                self.fleet.name_of,
            )
        naming = Naming(
            frozenset(cases),
            **orders.naming.model_dump(),
            keys={key: name for name, account in orders.accounts.items() for key in account.keys},
        )
        self.board = Switchboard(cores, orders.routes(), naming, self.book, f"{orders.name}-", orders.questions_most)
        self.watcher = Watcher(
            self.base / orders.workers.file, json5.read, self._listed, self.log, orders.workers.every_s
        )
        self.watcher.look()
        if self.cluster is not None:
            self.cluster.start()
            self.board.registry.register(self.cluster)
        listen = orders.listen
        self.front = HttpFront(
            self.board,
            self.log,
            host=listen.host,
            port=listen.port,
            max_body_bytes=listen.body_most_bytes,
            max_connections=listen.connections,
            idle_timeout_s=listen.idle_s,
            slow_client_timeout_s=listen.slow_s,
        ).start()
        self.watcher.start()
        self._tidying = loop.create_task(self._tidy())
        self.log.info(
            "router ready", name=orders.name, port=self.front.port, pid=os.getpid(), workers=len(self.fleet.endpoints)
        )
        return self

    def _maker(self, number, pool, cases):
        orders = self.orders
        permits = door.Capabilities(
            sends=orders.permits.sends,
            probes=orders.engines.load == "probe",
            places=orders.permits.places,
            longest_wait=int(orders.permits.longest_wait_s * 10_000),
        )

        def make(host, now):
            given = dict(
                seed=orders.seed * 1000 + number,
                routers=orders.routers,
                zone=crc32(orders.zone.encode()),
                use_cases=list(cases.values()),
                permits=permits,
                lawbook=orders.rules.of_door(),
                now=now,
                accounts=[door.TenantShare(a.per_second) for a in orders.accounts.values()],
            )
            if not orders.record_events:
                return self.make(host, **given)
            folder = self.base / orders.record_events
            folder.mkdir(parents=True, exist_ok=True)
            self.recorders.append(
                Recorder(
                    self.make,
                    folder / f"{orders.name}-{pool}-{int(time.time())}.events",
                    host,
                    about=f"{orders.name} {pool}",
                    **given,
                )
            )
            return self.recorders[-1]

        return make

    def _listed(self, entries):
        unknown = sorted({e.pool for e in entries} - set(self.orders.pools))
        if unknown:
            self.log.warning("workers of pools that the orders do not name are passed over", pools=unknown)
        changed = self.fleet.update([e for e in entries if e.pool in self.orders.pools], self.clock.now(), time.time())
        for _, endpoint, address in changed:
            self.engines.set_address(endpoint, address)
        self._tell([(pool, endpoint) for pool, endpoint, _ in changed])
        if self.cluster is not None:
            self.cluster.listed()

    def _tell(self, changed):
        for pool, core in self.board.cores.items():
            endpoints = [endpoint for where, endpoint in changed if where == pool]
            if endpoints:
                core.endpoints_changed(endpoints)

    async def _tidy(self):
        while True:
            await asyncio.sleep(1.0)
            self.engines.expire_idle()

    async def stop(self):
        """Takes no more; what it has taken is answered, within the orders' time."""
        if self.front is None:
            return
        if self.cluster is not None:
            await self.cluster.turn_to_stop()
        self.log.info("router stops", pending=self.board.pending())
        await self.front.stop(self.orders.stop_within_s)
        if self.cluster is not None:
            await self.cluster.stop()
        self._tidying.cancel()
        await asyncio.gather(self._tidying, return_exceptions=True)
        await self.watcher.stop()
        await self.engines.settle(self.board.cores.values())
        await self.engines.close()
        self.book.close()
        for recorder in self.recorders:
            recorder.close()
        self.log.info("router stopped")
