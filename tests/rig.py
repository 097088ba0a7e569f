"""Fixture of the tests on sockets: a stand-in fleet and a router in this process, on ports chosen by the system."""

import asyncio
import tempfile
from pathlib import Path

import structlog
import uvloop

from ramppulley.daemon.daemon import Daemon
from ramppulley.load.client import ask
from ramppulley.rules import Router
from ramppulley.standin.demo import CHAT, VECTORS, demo_settings, machines
from ramppulley.standin.fleet import StandinFleet

LOG = structlog.get_logger().bind()
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


class Rig:
    """A stand-in fleet and a router that runs its requests, both in this process."""

    def __init__(self, orders=None, make=Router, extensions=("release", "hold"), **fleet):
        self.orders, self.make, self.fleet_shape, self.extensions = orders or {}, make, fleet, extensions

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="rp-test-")
        self.fleet = await StandinFleet(
            machines(**self.fleet_shape), Path(self.folder.name) / "workers.json5", self.extensions
        ).start()
        self.daemon = await Daemon(
            demo_settings(stop_within_s=1.0, **self.orders), LOG, self.folder.name, self.make
        ).start()
        self.port, self.pools = self.daemon.front.port, self.daemon.pools
        return self

    async def __aexit__(self, *_):
        await self.daemon.stop()
        await self.fleet.stop()
        self.folder.cleanup()

    async def ask(self, path, body, **kwargs):
        return await ask("127.0.0.1", self.port, path, body, **kwargs)

    async def chat(self, text="When does the lock open?", most=6, stream=True, headers=None, patience=30.0, **body):
        return await self.ask(
            "/v1/chat/completions",
            {
                "model": CHAT,
                "messages": [{"role": "user", "content": text}],
                "max_tokens": most,
                "stream": stream,
                **body,
            },
            headers=headers,
            patience=patience,
        )

    async def embed(self, given="lock times", **fields):
        return await self.ask("/v1/embeddings", {"model": VECTORS, "input": given, **fields})

    async def rerank(self, query="lock", documents=("lock times", "boat hire"), path="/v1/rerank", **fields):
        return await self.ask(path, {"model": VECTORS, "query": query, "documents": list(documents), **fields})

    async def settled(self, within=3.0):
        """Waits until no request is pending and no KV state is held, and fails if any remains after `within` seconds."""
        for _ in range(int(within / 0.02)):
            if (
                not self.pools.pending()
                and not self.fleet.yard.states
                and not any(s.engine.places or s.engine.running for s in self.fleet.standins.values())
            ):
                break
            await asyncio.sleep(0.02)
        assert not self.pools.pending()
        assert not self.fleet.yard.states
        assert not any(core.router.requests for core in self.pools.cores.values())

    def of(self, *what):
        return [entry for entry in self.fleet.ledger if entry.what in what]


def story(test):
    """Makes an async test function into one that runs on uvloop."""

    def run():
        uvloop.run(test())

    run.__name__ = test.__name__
    return run
