"""Tests of requests in flight while new settings come by SIGHUP, over real connections."""

import asyncio
import tempfile
import time
from pathlib import Path

import pytest
from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import World, answer, question
from rig import story
from settings_rig import ONLY_NEW, Held, changed, decode_attempts, in_decode, sighup

from ramppulley.standin.platform import EVENTS, HEAD, PlatformWorker
from ramppulley.wire import http, platform

WHOLE = b"".join(EVENTS)
ALL_SAFE = changed((("Lanes", 1, "Effect"), "free"), of=NODE_SETTINGS)
SWAPPED = changed((("Lanes", 0, "Effect"), "single_shot"), (("Lanes", 1, "Effect"), "free"), of=NODE_SETTINGS)


async def broken(transport):
    transport.reset()


@pytest.mark.parametrize("new", [ONLY_NEW, ALL_SAFE], ids=["its class is gone", "its class is safe now"])
def test_an_unsafe_request_in_flight_gets_no_second_attempt_after_one_that_may_have_run(new, tmp_path):
    @story
    async def told():
        async with World(writers=2) as world:
            asking, held = await in_decode(world, "old", req_kind="lodge")
            assert "new_settings=True" in await sighup(world, tmp_path, new)
            held.go.set()
            assert (await asking)[0] == 504
            await world.settled()
            assert decode_attempts(world) == 1

    told()


def test_a_safe_request_in_flight_is_tried_again_although_its_class_is_unsafe_now(tmp_path):
    @story
    async def told():
        async with World(writers=4) as world:
            asking, held = await in_decode(world, "old")
            await sighup(world, tmp_path, SWAPPED)
            held.go.set()
            assert (await asking)[0] == 200 and decode_attempts(world) == 2
            asking, held = await in_decode(world, "new")
            held.go.set()
            assert (await asking)[0] == 504 and decode_attempts(world) == 3

    told()


@story
async def test_after_new_settings_a_new_class_is_served_and_one_that_is_gone_is_refused():
    async with World() as world:
        assert (await world.ask("a"))[0] == 200 and (await world.ask("b", req_kind="inquiry"))[0] == 400
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), ONLY_NEW)
        assert (await world.ask("c", req_kind="inquiry"))[0] == 200 and (await world.ask("d"))[0] == 400
        assert len(world.writers[0].of("POST")) == 2


class Loaded(PlatformWorker):
    """A worker that reports so many thousands of tokens waiting; many keep a request in the queue."""

    waiting = 0.0

    async def _answer(self, transport, request, name):
        if request.path == platform.LOAD:
            await transport.send(http.answer(200, {}, b'{"lat_ms":12,"x0":0.25,"x1":%f}' % self.waiting))
        else:
            await super()._answer(transport, request, name)


PATIENT = changed((("Lanes", 0, "AimS"), 4.0), of=NODE_SETTINGS)
HASTY = changed((("Lanes", 0, "AimS"), 0.02), (("Lanes", 0, "GiveUpS"), 0.1), of=NODE_SETTINGS)


async def probe_all(world):
    for endpoint in world.node.endpoints.workers.endpoints.values():
        await world.node.engines._probe(world.node.core, endpoint)


async def queued(world, name, **headers):
    """Asks, and returns once the request is in the queue: all workers have just told how much waits there."""
    await probe_all(world)
    asking = asyncio.create_task(world.ask(name, **headers))
    await world.until(lambda: world.node.core.router.admission.new_requests)
    return asking


def loaded_world(**more):
    world = World(settings=PATIENT, **more)
    world.readers = [Loaded("s-r0", "read", world.yard)]
    world.readers[0].waiting = 200.0
    return world


@story
async def test_a_request_in_the_queue_keeps_its_deadline_and_a_new_one_has_the_new_one():
    async with loaded_world() as world:
        began = time.monotonic()
        old = await queued(world, "old", req_deadline_ms="700")
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), HASTY)
        assert (await world.ask("new", req_deadline_ms="700"))[0] == 503 and not old.done()
        assert (await old)[0] == 503 and time.monotonic() - began > 0.6
        await world.settled()
        assert not world.readers[0].of("POST")


STAGES = "half sent", "queued", "prefill", "between attempts", "decode", "streaming"


class Stage:
    """Holds one request in a stage of its life; `settings` for its router."""

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
            self.asking = await queued(world, "old")
            return
        if self.name == "prefill":
            self.held = Held(rest=http.answer(202, {}, b"{}"))
            self.held.then = lambda transport: world.yard.add("old")
            for each in world.readers:
                each.scripts.append(self.held)
        elif self.name == "between attempts":
            for each in world.readers:  # what a broken prefill may have left is released before the next attempt
                each.scripts.append(broken)
            self.held = Held()
            for worker in world.workers:
                worker.release = self.held
        else:
            whole = HEAD + b"".join(http.chunk(event) for event in EVENTS) + http.LAST_CHUNK
            cut = len(HEAD + http.chunk(EVENTS[0])) if self.name == "streaming" else 0
            self.held = Held(head=whole[:cut], rest=whole[cut:], then=lambda transport: world.yard.discard("old"))
            writer.scripts.append(self.held)
        self.asking = asyncio.create_task(world.ask("old"))
        await world.until(self.held.reached.is_set)
        for each in world.readers:
            each.scripts.clear()

    async def go_on(self, world):
        """The request's answer."""
        if self.name == "half sent":
            await self.transport.send(self.data[-5:])
            return await answer(self.transport)
        if self.name == "queued":
            for reader in world.readers:
                reader.waiting = 0.0
            await probe_all(world)
        if self.held:
            self.held.go.set()
        return await self.asking


class Releasing(Loaded):
    """Holds releases, where it is given a `Held`."""

    release = None

    async def _answer(self, transport, request, name):
        if request.method == "DELETE" and self.release:
            await self.release(transport)
        await super()._answer(transport, request, name)


@pytest.mark.parametrize("stage", STAGES)
def test_a_request_in_any_stage_is_served_as_it_was_admitted_while_new_settings_come(stage, tmp_path):
    @story
    async def told():
        slow = changed((("Bounds", "ConnectTimeoutS"), 4.0), of=PATIENT)
        world = World(settings=slow)
        world.readers = [Releasing(f"s-r{n}", "read", world.yard) for n in range(2)]
        world.writers = [Releasing("s-w0", "write", world.yard)]
        for reader in world.readers:
            reader.waiting = 200.0 if stage == "queued" else 0.0
        async with world:
            held = Stage(stage)
            await held.reach(world)
            await sighup(world, tmp_path, ONLY_NEW)
            status, _, body, whole = await held.go_on(world)
            if stage == "half sent":  # it arrives with its last byte
                assert status == 400
            else:
                assert (status, body, whole) == (200, WHOLE, True)
            assert (await world.ask("new", req_kind="inquiry"))[0] == 200
            assert (await world.ask("late"))[0] == 400
            await world.settled()

    told()
