"""Rule 3 on an overloaded machine: an update counts from the time discovery has written it, even if it is still unread."""

import asyncio
import json
import time
from types import SimpleNamespace

from platform_rig import World, question
from rig import story
from test_platform_list import readiness
from test_race_handover import heard_in_order

from ramppulley.engines.connections import MIN_IDLE_S
from ramppulley.rules import Router
from ramppulley.service.neutral import InferenceRequest
from ramppulley.standin.platform import PlatformList
from ramppulley.wire import http


class WritingList(PlatformList):
    """Discovery that writes an update immediately, within the loop iteration of its caller."""

    def __init__(self):
        super().__init__()
        self.transports = []

    async def _serve(self, transport):
        self.transports.append(transport)
        await super()._serve(transport)

    def write(self, *entries):
        self.seq += 1
        for entry in entries:
            self.hosts[entry["host"]] = entry
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": list(entries)}).encode()
        self.transports[-1].sock.send(http.chunk(line + b"\n"))


def request(name):
    body = http.RequestParser(1 << 18)
    body.feed(question(name))
    return InferenceRequest(
        name,
        "chat",
        "chat",
        0,
        body.ready.popleft(),
        40_000,
        80,
        max_out=64,
        session="7f3a",
        prefix="5c0f",
        prefix_tokens=40,
    )


def sink():
    async def piece(data):
        pass

    return SimpleNamespace(gone=lambda: False, final=lambda ending: None, piece=piece)


class ToldRouter(Router):
    """Keeps which workers it was told of, and how they stood then; a list for each event."""

    def __init__(self, host, **kwargs):
        self.told_states = []
        super().__init__(host, **kwargs)

    def listed(self, now, endpoints):
        self.told_states.append([(endpoint.mark, endpoint.state) for endpoint in endpoints])
        super().listed(now, endpoints)


async def use_writing_list(world):
    """Replaces the world's discovery by a WritingList."""
    await world.list.stop()
    world.list = WritingList()
    world.list.start()
    world.list.hosts = {worker.name: world.entry(worker) for worker in world.workers}
    world.node.watch.move(("127.0.0.1", world.list.listener.port))
    await world.until(lambda: world.list.watches)


@story
async def test_changes_that_arrive_together_are_told_to_the_policy_together():
    """Guards against an event of the policy for each of many lines that arrive at once (incident 0023)."""
    async with World(readers=30, make=ToldRouter) as world:
        await use_writing_list(world)
        told = world.node.core.router.told_states
        await world.until(lambda: len(told) >= 2)  # the known list, and the first one from discovery
        del told[:]
        for reader in world.readers:
            world.list.write(world.entry(reader, "Terminating"))
        world.node.watch.read_now()
        marks = [world.node.endpoints.workers.endpoints[reader.name].mark for reader in world.readers]
        assert told == [[(mark, "draining") for mark in marks]]


@story
async def test_a_worker_that_changes_twice_in_one_read_is_told_of_each_time():
    async with World(readers=3, make=ToldRouter) as world:
        await use_writing_list(world)
        told = world.node.core.router.told_states
        await world.until(lambda: len(told) >= 2)
        del told[:]
        one, two = world.readers[:2]
        for reader, health in ((one, "Gone"), (two, "Terminating"), (one, "Ready"), (one, "Gone")):
            world.list.write(world.entry(reader, health))
        world.node.watch.read_now()
        first, second = (world.node.endpoints.workers.endpoints[reader.name].mark for reader in (one, two))
        assert told == [[(first, "gone"), (second, "draining")], [(first, "ready")], [(first, "gone")]]


async def open_connections(world):
    """Opens idle connections to all workers, so that attempts begin at once; returns the worker chosen next."""
    assert (await world.ask("q-0"))[0] == 200
    chosen = next(worker for worker in world.readers if worker.of("POST"))
    await heard_in_order(world, world.workers)
    await asyncio.sleep(2 * MIN_IDLE_S)
    return chosen


def test_a_change_that_was_written_is_read_before_an_attempts_first_byte():
    for health in ("Terminating", "Gone"):
        change_is_read_before_the_first_byte(health)


def change_is_read_before_the_first_byte(health):
    @story
    async def scenario():
        async with World(readers=3) as world:
            await use_writing_list(world)
            chosen = await open_connections(world)
            before = len(chosen.of("POST"))
            world.list.write(world.entry(chosen, health))
            world.node.core.submit(request("q-1"), sink())  # in the same loop iteration, as after one that took long
            await world.until(lambda: any(entry[2] == "q-1" for worker in world.writers for entry in worker.of("POST")))
            assert len(chosen.of("POST")) == before
            await world.settled()

    scenario()


@story
async def test_a_start_waits_for_a_discovery_that_is_slow():
    """Discovery answers after 0.9 s; its list must be known before the new process reports ready."""
    async with World() as world:
        await world.stop_router()

        async def slow(transport):
            await asyncio.sleep(0.9)
            await transport.send(http.response_head(200, {"content-type": "application/json"}))
            await transport.send(http.chunk(json.dumps(world.list.whole()).encode() + b"\n"))
            await asyncio.sleep(9)

        world.list.fault = slow
        await world.start_router()
        while await readiness(world) != 200:
            await asyncio.sleep(0.02)
        assert world.node.watch.has_update


@story
async def test_what_the_old_discovery_had_written_before_a_move_is_told():
    async with World(readers=2) as world:
        await use_writing_list(world)
        endpoint = world.node.endpoints.workers.endpoints["s-r0"]
        silent = PlatformList().start()
        silent.fault = lambda transport: asyncio.sleep(9)
        world.list.write(world.entry(world.readers[0], "Terminating"))
        world.node.watch.move(("127.0.0.1", silent.listener.port))
        assert endpoint.state == "draining"
        await silent.stop()


class EndlessResponse:
    """Stands for a connection on which more has always arrived; `told`: what the system says has arrived by now."""

    def __init__(self, connection, told):
        self.connection, self.told, self.received_bytes = connection, told, 0

    def __getattr__(self, name):
        return getattr(self.connection, name)

    def unread_bytes(self):
        return self.told

    def receive_nowait(self):
        if self.received_bytes > MAX_RECEIVED_BYTES:
            raise AssertionError("it does not end")
        data = http.chunk(b"\n" * 100)
        self.received_bytes += len(data)
        return data


MAX_RECEIVED_BYTES = 10 << 20


@story
async def test_a_discovery_that_sends_without_end_holds_up_a_decision_for_what_had_arrived_and_other_tasks_go_on():
    """Guards against a list of workers that is read for as long as more comes, for ever at full speed (review 3's cause)."""
    async with World() as world:
        await world.until(lambda: world.node.watch._active is not None)
        call = world.node.watch._active
        endless = call.connection = EndlessResponse(call.connection, told=50_000)
        world.node.watch.read_now()
        assert 50_000 <= endless.received_bytes < 51_000
        follow = call.task
        world.list.tell()  # wakes the task of the call, which reads for its budget in each iteration
        began = time.monotonic()
        while endless.received_bytes < 200_000:
            before = endless.received_bytes
            await asyncio.sleep(0)
            assert endless.received_bytes - before < MAX_RECEIVED_BYTES // 10
        assert time.monotonic() - began < 5 and not follow.done()
        call.cancel()
        await asyncio.gather(follow, return_exceptions=True)


@story
async def test_where_the_system_does_not_tell_what_has_arrived_all_is_read_that_there_is():
    class Untold(EndlessResponse):
        def receive_nowait(self):
            try:
                return self.connection.sock.recv(16)
            except BlockingIOError:
                return None

    async with World() as world:
        await world.list.stop()
        world.list = WritingList()
        world.list.start()
        world.list.hosts = {worker.name: world.entry(worker) for worker in world.workers}
        world.node.watch.move(("127.0.0.1", world.list.listener.port))
        await world.until(lambda: world.list.watches and world.node.watch._active is not None)
        call = world.node.watch._active
        call.connection = Untold(call.connection, told=0)
        for health in ("Terminating", "Ready", "Terminating"):
            world.list.write(world.entry(world.readers[0], health))
        world.node.watch.read_now()
        assert world.node.endpoints.workers.endpoints["s-r0"].state == "draining"
