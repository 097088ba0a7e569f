"""Tests of requests in flight while SIGHUP loads new settings, over real connections."""

import asyncio
import tempfile
import time
from pathlib import Path

import pytest
from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import World, answer, question
from rig import story
from settings_rig import OTHER_CLASSES, HeldResponse, decode_attempt_count, sighup, start_in_decode, with_changes

from ramppulley.standin.platform import EVENTS, HEAD, PlatformWorker
from ramppulley.wire import http, platform

WHOLE_BODY = b"".join(EVENTS)
ALL_CLASSES_SAFE = with_changes((("Lanes", 1, "Effect"), "free"), of=NODE_SETTINGS)
EFFECTS_SWAPPED = with_changes(
    (("Lanes", 0, "Effect"), "single_shot"), (("Lanes", 1, "Effect"), "free"), of=NODE_SETTINGS
)


async def reset_connection(transport):
    transport.reset()


@pytest.mark.parametrize("new", [OTHER_CLASSES, ALL_CLASSES_SAFE], ids=["its class is gone", "its class is safe now"])
def test_an_unsafe_request_in_flight_gets_no_second_attempt_after_one_that_may_have_run(new, tmp_path):
    @story
    async def scenario():
        async with World(writers=2) as world:
            response_task, held = await start_in_decode(world, "old", req_kind="lodge")
            assert "new_settings=True" in await sighup(world, tmp_path, new)
            held.respond.set()
            assert (await response_task)[0] == 504
            await world.settled()
            assert decode_attempt_count(world) == 1

    scenario()


def test_a_safe_request_in_flight_is_tried_again_although_its_class_is_unsafe_now(tmp_path):
    @story
    async def scenario():
        async with World(writers=4) as world:
            response_task, held = await start_in_decode(world, "old")
            await sighup(world, tmp_path, EFFECTS_SWAPPED)
            held.respond.set()
            assert (await response_task)[0] == 200 and decode_attempt_count(world) == 2
            response_task, held = await start_in_decode(world, "new")
            held.respond.set()
            assert (await response_task)[0] == 504 and decode_attempt_count(world) == 3

    scenario()


@story
async def test_after_new_settings_a_new_class_is_served_and_one_that_is_gone_is_refused():
    async with World() as world:
        assert (await world.ask("a"))[0] == 200 and (await world.ask("b", req_kind="inquiry"))[0] == 400
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), OTHER_CLASSES)
        assert (await world.ask("c", req_kind="inquiry"))[0] == 200 and (await world.ask("d"))[0] == 400
        assert len(world.writers[0].of("POST")) == 2


class LoadedWorker(PlatformWorker):
    """A worker that reports `waiting` thousands of queued prompt tokens; a high load keeps new requests in the queue."""

    waiting = 0.0

    async def _answer(self, transport, request, name):
        if request.path == platform.LOAD:
            await transport.send(http.response(200, {}, b'{"lat_ms":12,"x0":0.25,"x1":%f}' % self.waiting))
        else:
            await super()._answer(transport, request, name)


LONG_TARGET = with_changes((("Lanes", 0, "AimS"), 4.0), of=NODE_SETTINGS)
SHORT_DEADLINE = with_changes((("Lanes", 0, "AimS"), 0.02), (("Lanes", 0, "GiveUpS"), 0.1), of=NODE_SETTINGS)


async def probe_all(world):
    for endpoint in world.node.endpoints.workers.endpoints.values():
        await world.node.engines._probe(world.node.core, endpoint)


async def start_queued(world, name, **headers):
    """Sends a request and returns once it is in the queue: all workers have just reported their load."""
    await probe_all(world)
    response_task = asyncio.create_task(world.ask(name, **headers))
    await world.until(lambda: world.node.core.router.admission.new_requests)
    return response_task


def world_with_loaded_worker(**more):
    world = World(settings=LONG_TARGET, **more)
    world.readers = [LoadedWorker("s-r0", "read", world.yard)]
    world.readers[0].waiting = 200.0
    return world


@story
async def test_a_request_in_the_queue_keeps_its_deadline_and_a_new_one_has_the_new_one():
    async with world_with_loaded_worker() as world:
        started_at = time.monotonic()
        old = await start_queued(world, "old", req_deadline_ms="700")
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), SHORT_DEADLINE)
        assert (await world.ask("new", req_deadline_ms="700"))[0] == 503 and not old.done()
        assert (await old)[0] == 503 and time.monotonic() - started_at > 0.6
        await world.settled()
        assert not world.readers[0].of("POST")


STAGES = "half sent", "queued", "prefill", "between attempts", "decode", "streaming"


class Stage:
    """Holds one request in one stage of its processing."""

    def __init__(self, name):
        self.name, self.held = name, None

    async def reach(self, world):
        writer = world.writers[0]
        if self.name == "half sent":
            self.transport = await world.connect()
            self.data = question("old")
            await self.transport.send(self.data[:-5])
            await world.until(lambda: any(conn.parser.begun for conn in world.node.front.new_connections.values()))
            return
        if self.name == "queued":
            self.response_task = await start_queued(world, "old")
            return
        if self.name == "prefill":
            self.held = HeldResponse(rest=http.response(202, {}, b"{}"))
            self.held.then = lambda transport: world.yard.add("old")
            for reader in world.readers:
                reader.scripts.append(self.held)
        elif self.name == "between attempts":
            for reader in world.readers:  # KV state of a failed prefill is released before the next attempt
                reader.scripts.append(reset_connection)
            self.held = HeldResponse()
            for worker in world.workers:
                worker.release = self.held
        else:
            whole = HEAD + b"".join(http.chunk(event) for event in EVENTS) + http.LAST_CHUNK
            cut = len(HEAD + http.chunk(EVENTS[0])) if self.name == "streaming" else 0
            self.held = HeldResponse(
                head=whole[:cut], rest=whole[cut:], then=lambda transport: world.yard.discard("old")
            )
            writer.scripts.append(self.held)
        self.response_task = asyncio.create_task(world.ask("old"))
        await world.until(self.held.request_arrived.is_set)
        for reader in world.readers:
            reader.scripts.clear()

    async def finish(self, world):
        """Lets the request continue; returns its response."""
        if self.name == "half sent":
            await self.transport.send(self.data[-5:])
            return await answer(self.transport)
        if self.name == "queued":
            for reader in world.readers:
                reader.waiting = 0.0
            await probe_all(world)
        if self.held:
            self.held.respond.set()
        return await self.response_task


class ReleaseHoldingWorker(LoadedWorker):
    """Holds the response to a release while `release` is a `HeldResponse`."""

    release = None

    async def _answer(self, transport, request, name):
        if request.method == "DELETE" and self.release:
            await self.release(transport)
        await super()._answer(transport, request, name)


@pytest.mark.parametrize("stage", STAGES)
def test_a_request_in_any_stage_is_served_as_it_was_admitted_while_new_settings_come(stage, tmp_path):
    @story
    async def scenario():
        slow = with_changes((("Bounds", "ConnectTimeoutS"), 4.0), of=LONG_TARGET)
        world = World(settings=slow)
        world.readers = [ReleaseHoldingWorker(f"s-r{n}", "read", world.yard) for n in range(2)]
        world.writers = [ReleaseHoldingWorker("s-w0", "write", world.yard)]
        for reader in world.readers:
            reader.waiting = 200.0 if stage == "queued" else 0.0
        async with world:
            held_request = Stage(stage)
            await held_request.reach(world)
            await sighup(world, tmp_path, OTHER_CLASSES)
            status, _, body, whole = await held_request.finish(world)
            if stage == "half sent":  # it arrives with its last byte, under the new settings
                assert status == 400
            else:
                assert (status, body, whole) == (200, WHOLE_BODY, True)
            assert (await world.ask("new", req_kind="inquiry"))[0] == 200
            assert (await world.ask("late"))[0] == 400
            await world.settled()

    scenario()
