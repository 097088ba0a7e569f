"""Discovery of a run, as the agent on each router's machine: the list, a watch, and their faults."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from ramppulley.load.soak.evidence import Evidence
from ramppulley.wire import http
from ramppulley.wire.sockets import Listener, Transport

EMPTY_LINE_S = 2.0
SLOW_S = (1.0, 2.8)  # of a slow agent's answers; the second is longer than a router waits before its next call


class Agent:
    """What one router asks. `entries(router)`: the whole list as that router may have it."""

    def __init__(self, router: int, entries: Callable[[int], list[dict[str, Any]]], evidence: Evidence) -> None:
        self.router, self.entries, self.evidence = router, entries, evidence
        self.queues: set[asyncio.Queue[dict[str, Any]]] = set()
        self.faults: dict[str, int] = {}
        self.seq = 40
        self.slow_s = SLOW_S[router % len(SLOW_S)]
        self.listener = Listener(self._serve).start()

    def move(self) -> tuple[Listener, int]:
        """Listens elsewhere from now on: the old listener, and the new port."""
        old, self.listener = self.listener, Listener(self._serve).start()
        return old, self.listener.port

    def has(self, fault: str) -> bool:
        """Whether this fault is on."""
        return self.faults.get(fault, 0) > 0

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        seq = 7 if self.has("discovery_versions_back") else self.seq
        return {"seq": seq, "whole": True, "hosts": self.entries(self.router)}

    def tell(self, names: set[str]) -> None:
        """These workers changed."""
        self.seq += 1
        hosts = [entry for entry in self.entries(self.router) if entry["host"] in names]
        gone = [{"host": name, "health": "Gone"} for name in names - {entry["host"] for entry in hosts}]
        change = {"seq": self.seq, "whole": False, "hosts": hosts + gone}
        for queue in self.queues:
            queue.put_nowait(self.whole() if self.has("discovery_whole_lists") else change)

    async def _serve(self, transport: Transport) -> None:
        if self.has("discovery_refuse"):
            transport.reset()
            return
        parser = http.RequestParser(1 << 16)
        while not parser.ready:
            data = await transport.receive()
            if not data:
                return
            parser.feed(data)
        if self.has("discovery_silent"):
            await asyncio.Event().wait()
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.queues.add(queue)
        queue.put_nowait(self.whole())
        try:
            await transport.send(http.response_head(200, {"content-type": "application/json"}))
            while True:
                await self._send_next(transport, queue)
        finally:
            self.queues.discard(queue)

    async def _send_next(self, transport: Transport, queue: asyncio.Queue[dict[str, Any]]) -> None:
        try:
            async with asyncio.timeout(EMPTY_LINE_S):
                update = await queue.get()
        except TimeoutError:
            update = None
        if self.has("discovery_slow"):
            await asyncio.sleep(self.slow_s)
            if update or not queue.empty():  # what came meanwhile is told with it
                while not queue.empty():
                    queue.get_nowait()
                update = self.whole()
        if self.has("discovery_silent"):
            await asyncio.Event().wait()  # this watch has fallen silent for good
        line = json.dumps(update, indent=2).encode() if update else b""
        if self.has("discovery_torn") and update:
            await transport.send(http.chunk(line[: len(line) // 2]))
            transport.reset()
            raise ConnectionResetError
        await transport.send(http.chunk(line + b"\n"))
        if update and transport.is_quiet():  # else its router has given this watch up, and never reads it
            self._note(update)

    def _note(self, update: dict[str, Any]) -> None:
        """What the router has been told by now."""
        now, named = time.monotonic(), set()
        for entry in update["hosts"]:
            named.add(entry["host"])
            self.evidence.told.setdefault((self.router, entry["host"]), []).append((now, entry["health"]))
        if update["whole"]:
            for router, worker in list(self.evidence.told):
                if router == self.router and worker not in named:
                    self.evidence.told[router, worker].append((now, "Gone"))
