"""One router on the platform: wiring of its components, reload and shutdown.

Imports only what this command needs, since its memory and CPU are bounded.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Self
from weakref import WeakKeyDictionary

from ramppulley import door
from ramppulley.daemon.platform.configuration import (
    ConfigurationError,
    load_object,
    parse_configuration,
    parse_reloaded,
)
from ramppulley.daemon.platform.failures import FailureLog
from ramppulley.daemon.platform.housekeeping import run_housekeeping
from ramppulley.daemon.platform.limits import divide_descriptors, divide_memory
from ramppulley.daemon.platform.log import Log
from ramppulley.daemon.platform.process_memory import anonymous_memory_mb
from ramppulley.engines.connections import ConnectionBudget
from ramppulley.engines.platform.connector import PlatformConnector
from ramppulley.fleet.platform.endpoint_list import EndpointList, ListedEndpoint
from ramppulley.fleet.platform.watch import DiscoveryWatch
from ramppulley.fronts.platform.server import PlatformFront
from ramppulley.profile import Profile
from ramppulley.rules import Router
from ramppulley.service.clock import LoopClock
from ramppulley.service.core import Core
from ramppulley.settings_fields import SettingError
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage

ACCEPT_AFTER_SIGTERM_S = 0.6  # new connections are still accepted for this long after SIGTERM
FIRST_LIST_TIMEOUT_S = 1.2  # wait for discovery before the router is ready with the known list
SHUTDOWN_TIMEOUT_S = 600.0  # for accepted requests; the platform kills the process earlier


class Node:
    """A router made from one configuration, with `start`, `reload` and `stop`.

    `make_router` creates the routing policy. Raises ConfigurationError.
    """

    def __init__(self, content: dict[str, Any], log: Log, make_router: Callable[..., Any] = Router) -> None:
        self.configuration = parse_configuration(content)
        self.profile = self.configuration.profile
        self.limits, self.memory_limits = divide_memory(
            self.configuration.memory_mb, divide_descriptors(self.configuration.descriptors)
        )
        self.memory = self.memory_limits.budget()
        self.log, self.make_router = log, make_router
        self.endpoints_known = False  # whether a list of workers has been received
        self.list_received = asyncio.Event()  # set once the policy knows discovery's first list
        self._logged_states: WeakKeyDictionary[door.Endpoint, str] = WeakKeyDictionary()  # last logged state
        self._ready_logged = False
        self._unpublished: dict[str, list[door.Endpoint]] = {}  # changed, by id; the policy does not know of it yet

    async def start(self) -> Self:
        """Does not await, so that no signal handler sees a partly started node.

        Raises OSError if its address cannot be listened on; nothing runs then, and `start` may be called again.
        """
        loop = asyncio.get_running_loop()
        self.clock = LoopClock(loop)
        self.engines = PlatformConnector(
            self.log,
            self.profile,
            ConnectionBudget(self.limits.workers, self.limits.small_calls, self.memory),
            self.memory,
        )
        self.endpoints = EndpointList(self.profile, self.log)
        self.core = self._make_core()
        self.core.kv_state_limit = self.profile.policy_settings.let_go_within
        self.core.router.limit_cached_prefixes(self.memory_limits.cached_prefixes)
        known = self.configuration.known_endpoints
        if known is not None and known.entries:
            self._on_update(known)
            self._publish_changes()
        self.front = self._make_front()
        self.watch = self._make_watch().start()
        self.engines.refresh_list = self.watch.read_now
        self.front.start()
        self._listening_since = loop.time()
        self._housekeeping = loop.create_task(
            run_housekeeping(self.core.check, self.engines.expire_idle, self.log, self.sizes, self.counters)
        )
        self.log.info(
            "listening",
            port=self.front.port,
            workers=len(self.endpoints.workers.endpoints),
            clients=self.limits.clients,
            to_workers=self.engines.budget.max_open,
        )
        return self

    def _make_core(self) -> Core:
        profile, seed = self.profile, self.configuration.seed
        return Core(
            "",
            lambda host, now: profile.router(self.make_router, host, seed, now),
            self.engines,
            self.clock,
            profile.request_classes,
            self._tenants(),
            FailureLog(self.log, self.clock),
            self.log,
            None,
            self.endpoints.workers.ids.get,
        )

    def _make_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(
            self.configuration.discovery,
            self._on_update,
            lambda: self.endpoints.seq,
            self.log,
            random.Random(self.configuration.seed).random,
            self._on_list_read,
        )

    def _make_front(self) -> PlatformFront:
        host, port = self.configuration.listen
        return PlatformFront(
            self.core,
            self.profile,
            self.log,
            self._is_ready,
            host=host,
            port=port,
            max_connections=self.limits.clients,
            max_requests=self._max_requests(),
            memory=self.memory,
            free_worker_connection=self.engines.budget.evict_idle,
        )

    def _is_ready(self) -> bool:
        """Whether there is a list of workers, and discovery has sent one, failed, or exceeded FIRST_LIST_TIMEOUT_S. It waits
        for discovery because the known list may be stale."""
        self.watch.read_now()
        now = asyncio.get_running_loop().time()
        requested_at = now if self.watch.requested_at is None else self.watch.requested_at
        answered = self.watch.has_update or self.watch.has_failed_call or now - requested_at >= FIRST_LIST_TIMEOUT_S
        ready = self.endpoints_known and answered
        if ready and not self._ready_logged:
            self._ready_logged = True
            self.log.info(
                "ready",
                list="told" if self.watch.has_update else "known",
                after_ms=round((now - self._listening_since) * 1000),
                seq=self.endpoints.seq,
            )
        return ready

    def _tenants(self) -> dict[str, int]:
        """Tenant numbers by name; a request without a tenant has no share."""
        return {name: i for i, name in enumerate(self.profile.tenant_names)}

    def _max_requests(self) -> int:
        """Maximum number of open requests."""
        return min(self.profile.max_requests or self.limits.clients, self.limits.max_requests)

    def _on_update(self, update: platform.EndpointUpdate) -> None:
        """Handles an endpoint update from the configuration or from discovery."""
        if update.whole or any(str(entry.get("host")) in self._unpublished for entry in update.entries):
            self._publish_changes()  # the routing policy gets each state of a worker, not only its last one
        started = self.clock.now()
        self._apply(self.endpoints.update(update, started, int(time.time() * 1000)))
        self.core.event_times.record("list_update", self.clock.now() - started)

    def _apply(self, changed: list[ListedEndpoint]) -> None:
        """Passes changed endpoints and their addresses to the connections, where they count from now on."""
        self._log_states(changed)
        for endpoint, address in changed:
            self.engines.set_address(endpoint, address)
            if endpoint.state == "gone":
                self.engines.close_worker(endpoint)
            self._unpublished.setdefault(self.endpoints.workers.ids[endpoint], []).append(endpoint)
        self.endpoints_known = self.endpoints_known or bool(changed)

    def _on_list_read(self) -> None:
        """Called after each read of the watch, once all updates that it brought have been applied."""
        self._publish_changes()
        if self.watch.has_update:
            self.list_received.set()

    def _publish_changes(self) -> None:
        """Passes the changed endpoints to the routing policy, those of updates that arrived together at once."""
        changed = [endpoint for endpoints in self._unpublished.values() for endpoint in endpoints]
        self._unpublished.clear()
        if changed:
            self.core.endpoints_changed(changed)

    def _log_states(self, changed: list[ListedEndpoint]) -> None:
        """Logs a line for each known worker whose state changed, under its name in the list."""
        for endpoint, _ in changed:
            previous = self._logged_states.get(endpoint)
            if previous is not None and previous != endpoint.state:
                name = self.endpoints.workers.ids.get(endpoint)
                self.log.info("endpoint", host=name, change=f"{previous}->{endpoint.state}", seq=self.endpoints.seq)
            self._logged_states[endpoint] = endpoint.state

    def reload(self, path: str) -> None:
        """Applies settings and the discovery address of a replaced configuration; all else stays as at startup. An invalid
        configuration changes nothing; one without settings leaves the current ones in force."""
        try:
            new = parse_reloaded(load_object(path), self.profile)
        except (ConfigurationError, SettingError, BadMessage) as fault:
            self.log.error("new configuration not usable, the old one stays", fault=fault)
            return
        new_settings, new_kinds = new.profile != self.profile, new.profile.kinds != self.profile.kinds
        host, port = new.discovery
        self.log.info("new configuration", discovery=f"{host}:{port}", new_settings=new_settings)
        if new_settings:
            self._configure(new.profile)
        if new.discovery != self.watch.address:
            self.watch.move(new.discovery)
        elif new_kinds:  # entries of kinds that had no name before were skipped
            self.watch.restart()

    def _configure(self, profile: Profile) -> None:
        """Applies settings to new requests, within one event loop iteration; requests in flight keep theirs."""
        self.profile = profile
        self.engines.configure(profile)
        self.front.configure(profile, self._max_requests())
        self.core.reconfigured(self._tenants(), **profile.module_arguments())
        self.core.kv_state_limit = profile.policy_settings.let_go_within
        self._publish_changes()
        self._apply(self.endpoints.configure(profile))
        self._publish_changes()

    def sizes(self) -> dict[str, object]:
        """Sizes of everything that could grow, for the log."""
        router = self.core.router
        return {
            "open": len(self.front.open_requests),
            "clients": len(self.front.listener.tasks),
            "lives": len(self.core.requests),
            "questions": len(router.requests),
            "workers": len(router.workers),
            "taken": self.core.accepted,
            "to_workers": self.engines.budget.open,
            "at_rest": len(self.engines.budget.idle),
            "tasks": len(self.engines.tasks),
            "refused": self.front.refused_requests,
            "unread_ms": self.front.max_unread_ms(),
            "turned_away": self.front.listener.rejected,
            "failed_accepts": self.front.listener.failed_accepts,
            "longest_event": self.core.event_times.take(),
            "cpu_s": round(time.process_time(), 2),
            "releases": ",".join(
                f"{result}:{n}".replace(" ", "_") for result, n in sorted(self.engines.releases.counts.items())
            ),
            "list": f"seq:{self.endpoints.seq},calls:{self.watch.calls},line_age_ms:{self.watch.line_age_ms()}",
        }

    def counters(self) -> dict[str, object]:
        """The process's memory, what the pools hold, and the counters by reason, for the log."""
        held = {f"{name}_kb": pool.used // 1024 for name, pool in self.memory.pools().items()}
        peak = {"memory_mb": anonymous_memory_mb(), "peak_clients": self.front.listener.take_peak()}
        return peak | held | self.core.audit.counters()

    async def stop(self, accept_s: float = ACCEPT_AFTER_SIGTERM_S, timeout_s: float = SHUTDOWN_TIMEOUT_S) -> None:
        """Shuts down in order: accepts late requests, answers all accepted ones, then releases KV state.

        New requests are accepted for `accept_s` seconds; accepted ones get `timeout_s` seconds.
        """
        self.log.info("stops", open=len(self.front.open_requests))
        await self.front.stop(accept_s, timeout_s)
        self._housekeeping.cancel()
        await asyncio.gather(self._housekeeping, return_exceptions=True)
        await self.watch.stop()
        await self.engines.settle([self.core])
        await self.engines.close()
        self.log.info("stopped")
