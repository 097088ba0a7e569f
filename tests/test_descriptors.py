"""Stories of descriptors: idle and bad clients may fill what is theirs; the watch, workers, releases and SIGHUP go on."""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import pytest
from platform_rig import SETTINGS, Quiet, World, answer, question
from rig import story

from ramppulley.daemon.platform.configuration import ConfigurationError
from ramppulley.daemon.platform.limits import MIN_CONNECTIONS, RESERVED_DESCRIPTORS
from ramppulley.daemon.platform.log import Log
from ramppulley.daemon.platform.node import Node
from ramppulley.engines.connections import ConnectionLimitError
from ramppulley.service.neutral import TrackedRequest
from ramppulley.standin.platform import PlatformList
from ramppulley.wire import http
from ramppulley.wire.sockets import Listener, connect

ROOT = Path(__file__).parents[1]
HALF = question("q-half")[:80]


class Apart(World):
    """The router is a process of its own with so many descriptors."""

    async def start_router(self):
        self.folder, self.peak = tempfile.TemporaryDirectory(prefix="rp-test-"), 0
        config, folder = self.config(), Path(self.folder.name)
        self.path, self.err, self.port = folder / "config.json", folder / "err", int(config["listen"].split(":")[1])
        self.path.write_text(json.dumps(config))
        with self.err.open("w") as err:
            self.process = subprocess.Popen(  # noqa: ASYNC220
                [sys.executable, "-m", "ramppulley", "platform"],
                cwd=ROOT,
                stderr=err,
                env={**os.environ, "PROXY_CONFIG": str(self.path)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )
        await self.until(lambda: "listening" in self.log(), 10.0)
        self.watching = asyncio.create_task(self.watch_peak())

    async def watch_peak(self):
        while True:
            self.peak = max(self.peak, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            await asyncio.sleep(0.005)

    async def stop_router(self):
        self.watching.cancel()
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    async def fill(self):
        """Opens all connections to workers that there may be: more requests at once than are taken."""
        await asyncio.gather(*(self.ask(f"f-{i}", req_key=f"k{i}") for i in range(40)), return_exceptions=True)

    def log(self):
        return self.err.read_text()


class Flood:
    """Many clients that connect at once, say `data` and stay; others like them until the end."""

    def __init__(self, port, data=b"", at_once=100, each=20):
        self.port, self.data, self.at_once, self.each, self.socks = port, data, at_once, each, []

    async def __aenter__(self):
        self.more(self.at_once)
        self.task = asyncio.create_task(self.go_on())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        for sock in self.socks:
            sock.close()

    def more(self, count):
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            self.socks.append(sock)
            try:
                sock.connect(("127.0.0.1", self.port))
            except BlockingIOError:
                pass
            try:
                sock.send(self.data)
            except OSError:
                pass  # turned away already
        for sock in self.socks[:-1000]:
            sock.close()
        del self.socks[:-1000]

    async def go_on(self):
        while True:
            await asyncio.sleep(0.02)
            self.more(self.each)


@story
async def test_while_idle_clients_fill_all_and_discovery_is_down_what_was_taken_is_served_and_a_change_is_told():
    async with Apart(readers=2, writers=2, sockets=64, token_s=0.1) as world:
        await world.fill()
        taken = asyncio.create_task(world.ask("taken"))
        await world.until(lambda: any("taken" in entry for worker in world.writers for entry in worker.of("POST")))
        port = world.list.listener.port
        async with Flood(world.port):
            await world.list.stop()
            world.list.tell(world.entry(world.readers[0], "Terminating"))
            await asyncio.sleep(0.5)
            world.list.start(port)
            await world.until(lambda: "ready -> draining" in world.log(), 4.0)
            assert (await taken)[0::3] == (200, True)
            assert (await world.ask("new"))[0] == 200
        assert world.peak < 64  # at the limit, something else went without


@story
async def test_while_idle_clients_fill_all_a_release_goes_out_and_sighup_moves_discovery():
    async with Apart(sockets=64) as world:
        other = PlatformList()
        other.hosts, other.seq = dict(world.list.hosts), 5
        other.start()
        await world.fill()
        async with Flood(world.port):
            await asyncio.sleep(0.2)
            world.writers[0].scripts.extend([http.answer(503, {"Srv-Declined": "1"})] * 8)
            assert (await world.ask("held", req_deadline_ms="400"))[0] == 503
            await world.until(lambda: not world.yard, 1.0)
            world.path.write_text(json.dumps({"discovery": f"127.0.0.1:{other.listener.port}"}))
            world.process.send_signal(signal.SIGHUP)
            await world.until(lambda: other.watches, 2.0)
        assert world.peak < 64
        assert any(worker.of("DELETE") for worker in world.workers) and "Traceback" not in world.log()
        await other.stop()


@pytest.mark.parametrize("data", [b"", HALF, b"\x00 noise\r\n\r\n"], ids=["silent", "half", "refused"])
def test_a_usual_client_that_comes_into_a_flood_is_served(data):
    @story
    async def told():
        async with World(sockets=64) as world:
            rests = await world.connect()
            assert (await world.ask("q-0", rests))[0] == 200
            async with Flood(world.port, data, at_once=60, each=1):
                if data == HALF:
                    await asyncio.sleep(0.15)
                for number in range(12):
                    assert (await world.ask(f"q-{number + 1}"))[0] == 200
                    await asyncio.sleep(0.02)
                assert (await world.ask("q-99", rests))[0] == 200  # others made room before one that asked
            rests.close()

    told()


@story
async def test_who_sent_a_request_that_was_not_read_yet_does_not_make_room():
    async with World(sockets=64) as world:
        asks = [await world.connect() for _ in range(world.node.front.listener.max_connections)]
        await world.until(lambda: len(world.node.front.idle_connections) == len(asks))
        await asks[0].send(question("q-1"))
        front = world.node.front
        assert all(front._evict_connection() for _ in asks[1:]) and not front._evict_connection()
        assert (await answer(asks[0]))[0] == 200
        assert await asks[1].receive() == await asks[-1].receive() == b""
        for transport in asks:
            transport.close()


async def rest_all(world, count):
    """So many clients that asked once and rest for longer than they must be let."""
    transports = [await world.connect() for _ in range(count)]
    await asyncio.gather(*(world.ask(f"q-{i}", transport) for i, transport in enumerate(transports)))
    for conn in world.node.front.idle_connections.values():
        conn.waiting_since -= 2.0
    return transports


@story
async def test_clients_at_rest_make_room_before_one_that_just_came():
    async with World(sockets=64) as world:
        front = world.node.front
        transports = await rest_all(world, 15)
        oldest = list(front.idle_connections)[:2]
        transports += [await world.connect() for _ in range(front.listener.max_connections - 15 + 2)]
        await world.until(lambda: len(front.new_connections) == len(transports) - 15)
        await world.until(lambda: all(transport.closed for transport in oldest))
        assert sum(conn.requests_served for conn in front.idle_connections.values()) == 13
        assert (await world.ask("q-new", transports[15]))[0] == 200
        for transport in transports:
            transport.close()


@story
async def test_a_flood_of_silent_clients_does_not_end_those_at_rest():
    async with World(sockets=64) as world:
        transports = await rest_all(world, 12)
        async with Flood(world.port, each=5):
            await asyncio.sleep(0.1)
            assert sum(conn.requests_served for conn in world.node.front.idle_connections.values()) == 12
        for transport in transports:
            transport.close()


@story
async def test_a_flood_never_holds_more_clients_than_there_may_be():
    most = []

    async def serve(transport):
        most.append(len(listener.tasks))
        held[transport] = None
        await transport.receive()
        await asyncio.sleep(0.01)  # its descriptor is free some turns after it was asked to leave

    def make_room():
        if held:
            transport = next(iter(held))
            del held[transport]
            transport.close()
            return True
        return False

    held, listener = {}, Listener(serve, max_connections=4, free_capacity=make_room).start()
    transports = [await connect("127.0.0.1", listener.port, 1.0) for _ in range(20)]
    while len(most) < len(transports):
        await asyncio.sleep(0.01)
    assert max(most) == 4 and not listener.rejected
    for transport in transports:
        transport.close()
    await listener.stop()


@story
async def test_where_descriptors_run_out_all_the_same_the_next_client_gets_one():
    served, limits = [], resource.getrlimit(resource.RLIMIT_NOFILE)

    async def serve(transport):
        served.append(transport)
        await transport.receive()

    def make_room():
        served[0].close()
        return True

    listener = Listener(serve, free_capacity=make_room).start()
    first, late = await connect("127.0.0.1", listener.port, 1.0), socket.socket()
    while not served:
        await asyncio.sleep(0.01)
    resource.setrlimit(resource.RLIMIT_NOFILE, (served[0].sock.fileno() + 1, limits[1]))
    gaps = []
    try:
        while True:  # all numbers below are taken
            gaps.append(os.dup(0))
    except OSError:
        pass
    try:
        late.connect(("127.0.0.1", listener.port))
        async with asyncio.timeout(1):
            while len(served) < 2:
                await asyncio.sleep(0.01)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for number in gaps:
            os.close(number)
        late.close()
        first.close()
        await listener.stop()


# Connections to workers


async def use_all(world, control=False):
    """Takes connections until there is no room for one more."""
    connections, taken = world.node.engines.workers[world.node.endpoints.workers.endpoints["s-w0"]].connections, []
    try:
        while True:
            taken.append(await connections.acquire(1.0, control=control))
    except ConnectionLimitError:
        return connections, taken


def owe(world, name):
    world.yard.add(name)
    world.node.engines.release(TrackedRequest(SimpleNamespace(name=name), None, None, 0), None, name)


@story
async def test_a_release_goes_out_while_requests_use_all_connections():
    async with World(sockets=64) as world:
        connections, taken = await use_all(world)
        owe(world, "q-1")
        await world.until(lambda: not world.yard, 0.5)
        for transport in taken:
            connections.discard(transport)


@story
async def test_idle_connections_do_not_let_requests_use_those_of_releases():
    async with World(sockets=64) as world:
        connections, taken = await use_all(world, control=True)
        for transport in taken:
            connections.release(transport)
        taken = (await use_all(world))[1]
        owe(world, "q-1")
        await world.until(lambda: not world.yard, 0.5)
        for transport in taken:
            connections.discard(transport)


@story
async def test_a_release_that_finds_no_connection_waits_for_one():
    async with World(sockets=64) as world:
        connections, taken = await use_all(world, control=True)
        owe(world, "q-1")
        await asyncio.sleep(0.4)  # eight tries would be over
        connections.discard(taken.pop())
        await world.until(lambda: not world.yard, 0.5)
        for transport in taken:
            connections.discard(transport)


@story
async def test_no_more_requests_are_taken_than_there_are_connections_for():
    async with World(sockets=64, token_s=0.1) as world:
        asked = await asyncio.gather(*(world.ask(f"q-{i}", req_key=f"k{i}") for i in range(20)))
        assert sorted(status for status, *_ in asked) == [200] * 16 + [503] * 4
        assert "all connections to workers are in use" not in world.lines.text


# Limits


def told_of(sockets):
    return {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"sockets": sockets}, "settings": SETTINGS}


def test_a_limit_that_is_too_small_is_told_in_one_line():
    for sockets in (1, RESERVED_DESCRIPTORS, RESERVED_DESCRIPTORS + MIN_CONNECTIONS - 1, -5):
        with pytest.raises(ConfigurationError, match=rf"^configuration: limits.sockets: {sockets} .* 40 are needed$"):
            Node(told_of(sockets), Log("n0", Quiet()))
    assert Node(told_of(40), Log("n0", Quiet())).configuration.descriptors == 40


def test_the_systems_bound_counts_where_it_is_lower():
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (96, limits[1]))
    try:
        assert Node(told_of(1024), Log("n0", Quiet())).configuration.descriptors == 96
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.mark.parametrize("sockets", [40, 64, 256, 1024])
def test_the_parts_together_stay_within_the_limit(sockets):
    @story
    async def told():
        async with World(sockets=sockets) as world:
            node = world.node
            assert node.front.listener.max_connections + node.engines.budget.max_open + RESERVED_DESCRIPTORS <= sockets
            assert node.front.max_requests <= node.engines.budget.max_open - node.engines.budget.reserved

    told()


# Bad clients

GONE = {
    "within a head": question("q-1")[:100],
    "within a long body": question("q-1", b"x" * 250_000)[:-1],
    "after more than a body may be": b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n"
    + b"x" * 900_000,
    "after a request": question("q-1"),
    "after many requests": b"".join(question(f"q-{i}") for i in range(300)),
    "after a request and noise": question("q-1") + b"\x00\xff noise",
    "after one that is refused": question("q-1", req_kind="none") + b"x" * 200_000,
}


@pytest.mark.parametrize("leave", ["close", "reset"])
@pytest.mark.parametrize("name", GONE)
def test_who_sends_much_and_goes_leaves_nothing_behind(name, leave):
    @story
    async def told():
        async with World() as world:
            transports = [await world.connect() for _ in range(5)]
            sending = [asyncio.create_task(transport.send(GONE[name])) for transport in transports]
            await asyncio.wait(sending, timeout=0.05)
            for transport in transports:
                getattr(transport, leave)()
            await asyncio.gather(*sending, return_exceptions=True)
            front = world.node.front
            await world.until(lambda: not front.listener.tasks, 2.0)
            assert not (
                front.new_connections or front.lingering_connections or front.idle_connections or front.open_requests
            )
            await world.settled()
            assert (await world.ask("q-new"))[0] == 200 and "fault" not in world.lines.text

    told()
