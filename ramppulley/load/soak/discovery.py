"""Simulated discovery: the agent on each router's machine, which serves the endpoint list, a watch, and their faults."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterator
from typing import Any

from ramppulley.load.soak.evidence import Evidence
from ramppulley.load.soak.hostile import HostileSenders
from ramppulley.standin import hostile_input
from ramppulley.wire import http
from ramppulley.wire.listener import Listener
from ramppulley.wire.sockets import Transport

KEEPALIVE_LINE_S = 2.0
SLOW_RESPONSE_S = (
    1.0,
    2.8,
)  # delays of a slow agent; the second exceeds the time that a router waits before its next call


class DiscoveryAgent:
    """The discovery agent of one router. `entries(router)` returns the full list with that router's addresses."""

    def __init__(
        self,
        router: int,
        entries: Callable[[int], list[dict[str, Any]]],
        evidence: Evidence,
        hostile: HostileSenders,
    ) -> None:
        self.router, self.entries, self.evidence, self.hostile = router, entries, evidence, hostile
        self.queues: set[asyncio.Queue[dict[str, Any]]] = set()
        self.faults: dict[str, int] = {}
        self.seq = 40
        self.slow_response_s = SLOW_RESPONSE_S[router % len(SLOW_RESPONSE_S)]
        self.listener = Listener(self._serve).start()

    def move_to_new_port(self) -> tuple[Listener, int]:
        """Starts listening on a new port; returns the old listener, still open, and the new port."""
        old, self.listener = self.listener, Listener(self._serve).start()
        return old, self.listener.port

    def has_fault(self, kind: str) -> bool:
        """Whether a fault of this kind is active."""
        return self.faults.get(kind, 0) > 0

    def full_list(self) -> dict[str, Any]:
        """The full endpoint list as an update message."""
        seq = 7 if self.has_fault("discovery_versions_back") else self.seq
        return {"seq": seq, "whole": True, "hosts": self.entries(self.router)}

    def push_changes(self, names: set[str]) -> None:
        """Sends the changed entries of these workers to all watches."""
        self.seq += 1
        hosts = [entry for entry in self.entries(self.router) if entry["host"] in names]
        removed = [{"host": name, "health": "Gone"} for name in names - {entry["host"] for entry in hosts}]
        change = {"seq": self.seq, "whole": False, "hosts": hosts + removed}
        for queue in self.queues:
            queue.put_nowait(self.full_list() if self.has_fault("discovery_whole_lists") else change)

    async def _serve(self, transport: Transport) -> None:
        if self.has_fault("discovery_refuse"):
            transport.reset()
            return
        parser = http.RequestParser(1 << 16)
        while not parser.ready:
            data = await transport.receive()
            if not data:
                return
            parser.feed(data)
        if self.has_fault("discovery_silent"):
            await asyncio.Event().wait()
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.queues.add(queue)
        queue.put_nowait(self.full_list())
        try:
            await transport.send(http.response_head(200, {"content-type": "application/json"}))
            while True:
                await self._send_update(transport, queue)
                if self.has_fault("discovery_hostile") and self.hostile.may_begin():
                    await self._send_hostile(transport)
        finally:
            self.queues.discard(queue)

    async def _send_update(self, transport: Transport, queue: asyncio.Queue[dict[str, Any]]) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_LINE_S):
                update = await queue.get()
        except TimeoutError:
            update = None
        if self.has_fault("discovery_slow"):
            await asyncio.sleep(self.slow_response_s)
            if update or not queue.empty():  # coalesces the updates queued meanwhile
                while not queue.empty():
                    queue.get_nowait()
                update = self.full_list()
        if self.has_fault("discovery_silent"):
            await asyncio.Event().wait()  # this watch never sends again
        line = json.dumps(update, indent=2).encode() if update else b""
        if self.has_fault("discovery_torn") and update:
            await transport.send(http.chunk(line[: len(line) // 2]))
            transport.reset()
            raise ConnectionResetError
        await transport.send(http.chunk(line + b"\n"))
        if update and transport.is_quiet():  # otherwise the router has closed this watch and will not read the update
            self._record_notified(update)

    async def _send_hostile(self, transport: Transport) -> None:
        """Goes on with hostile input, or with sound updates without a pause, while the fault is active; then resets."""
        rng = self.hostile.rng
        parts = hostile_input.draw(rng, (*hostile_input.LIST_FORMS, self._updates_in_a_row))
        await self.hostile.send(parts, transport.send, lambda: self.has_fault("discovery_hostile"))
        transport.reset()
        raise ConnectionResetError

    def _updates_in_a_row(self, rng: random.Random) -> Iterator[bytes]:
        """The whole list, or all entries as a change, again and again."""
        whole = rng.random() < 0.5
        while True:
            yield http.chunk(json.dumps(self.full_list() | {"whole": whole}).encode() + b"\n")

    def _record_notified(self, update: dict[str, Any]) -> None:
        """Records the worker health states that the router has been notified of."""
        now, listed = time.monotonic(), set()
        for entry in update["hosts"]:
            listed.add(entry["host"])
            self.evidence.notified.setdefault((self.router, entry["host"]), []).append((now, entry["health"]))
        if update["whole"]:
            for router, worker in list(self.evidence.notified):
                if router == self.router and worker not in listed:
                    self.evidence.notified[router, worker].append((now, "Gone"))
