"""Fixture of the platform tests: a router with stand-in workers and a stand-in discovery list, in this process."""

import asyncio
import socket
import time

from ramppulley.daemon.platform.log import Log
from ramppulley.daemon.platform.node import Node
from ramppulley.rules import Router
from ramppulley.standin.platform import EVENTS, KvYard, PlatformList, PlatformWorker
from ramppulley.wire import http
from ramppulley.wire.sockets import connect

SETTINGS = {
    "Azs": ["north", "south"],
    "Kinds": ["prefill", "decode"],
    "MyZone": 0,
    "Me": 0,
    "NInstances": 1,
    "ResolutionS": 0.004,
    "Bounds": {
        "Cancel": True,
        "ConnIdleS": 15.0,
        "ConnectTimeoutS": 0.25,
        "MaxOpen": 500,
        "MaxRetryAfterS": 0.5,
        "MayDuplicate": False,
        "Probing": True,
        "RetryAfter": True,
        "SendCap": 4,
    },
    "Lanes": [
        {"AimS": 1.5, "Credit": 1.0, "Effect": "free", "GiveUpS": 7.5, "Name": "lookup", "Stream": True},
        {"AimS": 2.0, "Credit": 2.0, "Effect": "single_shot", "GiveUpS": 10.0, "Name": "lodge", "Stream": True},
    ],
    "Report": {"Fields": ["lat_ms", "x0", "x1"], "How": "probe"},
    "Rules": {"ColdFrom": 0.3, "ColdS": 10.0, "DrainGraceS": 0.5, "FallMultiple": 3.0, "FallS": 1.5},
    "Specifics": {
        "AimUsPer1000PromptTokens": [40000.0, 40000.0],
        "MayReserve": False,
        "MemoryTokens": [200000, 150000],
        "ReleaseS": 0.5,
        "RoleByKind": ["read", "write"],
        "TokenAimS": [0.07, 0.08],
    },
}


class Quiet:
    """An in-memory log stream."""

    def __init__(self):
        self.text = ""

    def write(self, text):
        self.text += text

    def flush(self):
        pass


class World:
    """A router with its stand-in workers and discovery. `known`: whether its configuration includes the whole list."""

    def __init__(self, readers=1, writers=1, sockets=256, token_s=0.0, known=True, make=Router, settings=SETTINGS):
        self.yard, self.known, self.sockets, self.make, self.settings = KvYard(), known, sockets, make, settings
        self.readers = [PlatformWorker(f"s-r{i}", "read", self.yard) for i in range(readers)]
        self.writers = [PlatformWorker(f"s-w{i}", "write", self.yard, token_s) for i in range(writers)]
        self.list, self.lines = PlatformList(), Quiet()

    async def __aenter__(self):
        self.list.start()
        for worker in self.workers:
            worker.start()
            self.list.hosts[worker.name] = self.entry(worker)
        await self.start_router()
        return self

    async def start_router(self):
        self.node = await Node(self.config(), Log("n0", self.lines), self.make).start()
        self.port = self.node.front.port

    async def stop_router(self):
        await self.node.stop(accept_s=0.0, timeout_s=0.5)

    async def __aexit__(self, *_):
        await self.stop_router()
        for worker in self.workers:
            await worker.stop()
        await self.list.stop()

    @property
    def workers(self):
        return self.readers + self.writers

    def config(self):
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{self.list.listener.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.sockets},
            "known": self.list.whole() if self.known else None,
            "settings": self.settings,
        }

    @staticmethod
    def entry(worker, health="Ready", born=0, port=None):
        return {
            "host": worker.name,
            "dial": f"127.0.0.1:{port or worker.listener.port}",
            "site": "north",
            "class": "prefill" if worker.role == "read" else "decode",
            "block": 3,
            "health": health,
            "share": 1.0,
            "born_ms": born,
        }

    async def connect(self):
        return await connect("127.0.0.1", self.port, 1.0)

    async def ask(self, name="9b1f03aa5c7e2d41", transport=None, **headers):
        """Sends one request; returns (status, headers, body, whether the response was complete)."""
        connection = transport or await self.connect()
        try:
            await connection.send(question(name, **headers))
            return await answer(connection)
        finally:
            if transport is None:
                connection.close()

    async def until(self, true, within=5.0):
        async with asyncio.timeout(within):
            while not true():
                await asyncio.sleep(0.01)

    async def settled(self):
        """Waits until no request is open and no KV state is held, at the router and at the workers."""
        await self.until(lambda: not self.yard and not self.node.core.requests and not self.node.engines.tasks)
        assert not self.node.core.router.requests
        assert not self.node.engines.releases.pending and not self.node.engines.releases.running


def stand_still(seconds):
    """Blocks the event loop: all timers that expire meanwhile are due in its next iteration."""
    time.sleep(seconds)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


BODY = b'{"model":"chat","stream":true,"messages":[]}'


def question(name, body=BODY, **headers):
    fields = {
        "host": "origin.svc",
        "req-id": name,
        "req-kind": "lookup",
        "req-key": "7f3a",
        "req-deadline-ms": "4000",
        "req-extra": "prefix=5c0f,prompt_len=80,prefix_len=40,max_out=64",
    }
    fields |= {field.replace("_", "-"): value for field, value in headers.items()}
    return http.request("POST", "/v1/chat/completions?a=b", {k: v for k, v in fields.items() if v is not None}, body)


async def answer(transport):
    parser, body = http.ResponseParser(1 << 20), b""
    while not parser.done:
        data = await transport.receive()
        if not data:
            break
        parser.feed(data)
        body += parser.take()
    return parser.status, parser.headers, body, parser.done


WHOLE = b"".join(EVENTS)


async def reset(transport):
    transport.reset()


async def pause(transport):
    await asyncio.sleep(0.05)


async def silent(transport):
    await asyncio.sleep(9)


def then(*parts):
    async def script(transport):
        for part in parts:
            await transport.send(part) if isinstance(part, bytes) else await part(transport)

    return script


class Heard(Router):
    """A Router that records the request events that it gets, and the arguments that it is built with."""

    made = []

    def __init__(self, host, **kwargs):
        super().__init__(host, **kwargs)
        self.told, self.reports = [], []
        Heard.made.append((self, {k: v for k, v in kwargs.items() if k not in ("seed", "now")}))

    def arrived(self, now, view):
        self.told.append(("arrived", {k: v for k, v in vars(view).items() if k != "patience"}))
        super().arrived(now, view)

    def first_token(self, now, view, attempt):
        self.told.append(("first", attempt.worker.endpoint.role))
        super().first_token(now, view, attempt)

    def outcome(self, now, view, attempt, outcome, final, kept, report):
        self.told.append((outcome, attempt.worker.endpoint.role, final, kept))
        self.reports.append(report)
        super().outcome(now, view, attempt, outcome, final, kept, report)

    def probed(self, now, endpoint, outcome, report):
        self.told.append(("probed", outcome, report))
        super().probed(now, endpoint, outcome, report)
