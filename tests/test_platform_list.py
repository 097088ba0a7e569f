"""Updates of the platform's list of workers."""

import asyncio

from platform_rig import SETTINGS, Quiet, World, answer, silent
from rig import story

from ramppulley.daemon.platform.log import Log
from ramppulley.fleet.platform.endpoint_list import EndpointList
from ramppulley.profile import Profile, WorkerEntry, Workers
from ramppulley.wire import http, platform


def list_entry(name, **fields):
    """A list entry as discovery sends it."""
    defaults = {
        "host": name,
        "dial": "10.0.0.1:80",
        "site": "south",
        "class": "decode",
        "block": 3,
        "health": "Ready",
        "share": 1.0,
        "born_ms": 0,
    }
    return defaults | fields


def test_the_list_tells_changes_ends_new_starts_and_new_addresses():
    endpoints = EndpointList(Profile(SETTINGS), Log("n", Quiet()))
    entry = list_entry("a")

    def update(whole, *entries, seq=1):
        return endpoints.update(platform.EndpointUpdate(seq, whole, list(entries)), 50_000, 9_000)

    ((endpoint, address),) = update(True, entry)
    assert (endpoint.role, endpoint.zone, endpoint.cell, endpoint.born, address) == (
        "write",
        1,
        3,
        None,
        ("10.0.0.1", 80),
    )
    assert update(False, entry | {"health": "Terminating"})[0][0].state == "draining"
    assert update(False, entry | {"born_ms": 8_000, "dial": "10.0.0.9:81"}, seq=7) == [(endpoint, ("10.0.0.9", 81))]
    assert (endpoint.state, endpoint.born, endpoints.seq) == ("ready", 40_000, 7)
    assert update(False, entry | {"class": "unknown"}, {"host": 3}, entry | {"host": "b", "dial": "nowhere"}) == []
    assert [changed.state for changed, _ in update(True)] == ["gone"]
    assert (
        update(False, entry)[0][0].state == "ready" and update(False, entry | {"health": "Gone"})[0][0].state == "gone"
    )
    assert update(False, entry)[0][0].state == "ready"
    assert update(False, {"host": "a", "health": "Gone"}, {"host": "z", "health": "Gone"}) == [
        (endpoint, ("10.0.0.1", 80))
    ]
    assert endpoint.state == "gone"


def test_a_whole_list_ends_who_is_not_on_it_and_a_change_does_not():
    workers = Workers(Profile(SETTINGS))
    one, two = WorkerEntry("a", "ready", 0, 0, 0, 1.0, None), WorkerEntry("b", "ready", 0, 0, 1, 1.0, None)
    workers.update([one, two], True)
    assert [changed.mark for changed in workers.update([two], False)] == [workers.endpoints["b"].mark]
    workers.update([two], True)
    assert workers.endpoints["a"].state == "gone" and workers.endpoints["b"].state == "ready"


@story
async def test_without_a_known_list_it_is_ready_once_the_watch_told_one():
    async with World(known=False) as world:
        transport = await world.connect()
        for _ in range(200):
            await transport.send(http.request("GET", platform.READY, {"host": "a"}))
            status = (await answer(transport))[0]
            if status == 200:
                break
            await asyncio.sleep(0.01)
        assert status == 200 and (await world.ask("q-1"))[0] == 200
        transport.close()


@story
async def test_a_draining_worker_gets_nothing_new_and_a_new_one_is_used():
    async with World(writers=2) as world:
        old, new = world.writers
        world.list.tell(world.entry(old, "Terminating"))
        await world.until(lambda: "draining" in world.lines.text)
        for number in range(6):
            assert (await world.ask(f"q-{number}", req_key=f"k{number}"))[0] == 200
        assert not old.of("POST") and len(new.of("POST")) == 6


@story
async def test_a_new_address_is_used_from_then_on():
    async with World() as world:
        assert (await world.ask("q-1"))[0] == 200
        moved = world.writers[0]
        old = moved.listener
        moved.start()
        world.list.tell(world.entry(moved))
        await world.until(
            lambda: (
                world.node.engines.workers[world.node.endpoints.workers.endpoints["s-w0"]].address[1]
                == moved.listener.port
            )
        )
        await old.stop()
        assert (await world.ask("q-2"))[0] == 200


@story
async def test_a_broken_watch_is_asked_for_again_and_hears_all_that_came_and_ended_meanwhile():
    async with World(readers=2) as world:
        await world.until(lambda: world.list.watches)
        endpoints = world.node.endpoints.workers.endpoints
        for task in set(world.list.listener.tasks):
            task.cancel()
        del world.list.hosts["s-r1"]
        world.list.tell(world.entry(world.writers[0], born=7000))
        await world.until(
            lambda: (world.node.endpoints.seq, endpoints["s-r1"].state) == (2, "gone") and endpoints["s-w0"].born
        )
        assert len(world.list.asked) == 2 and (await world.ask("q-1"))[0] == 200


@story
async def test_a_start_is_not_ready_by_an_old_list_while_discovery_is_about_to_tell_a_newer_one():
    """Discovery's list must be known from the start of a process, and the list in the configuration may be stale."""
    async with World() as world:
        await world.stop_router()
        gate = asyncio.Event()

        async def answers_late(transport):
            await gate.wait()
            world.list.fault = None
            transport.reset()

        world.list.fault = answers_late
        await world.start_router()
        early = await readiness(world)
        gate.set()
        await world.until(lambda: len(world.list.watches) > 0)
        await asyncio.sleep(0.1)
        assert (early, await readiness(world)) == (503, 200)


@story
async def test_a_start_is_ready_by_the_known_list_where_discovery_stays_silent():
    async with World() as world:
        await world.stop_router()
        world.list.fault = silent
        await world.start_router()
        begin = asyncio.get_running_loop().time()
        while await readiness(world) != 200:
            await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - begin < 1.5


async def readiness(world):
    transport = await world.connect()
    await transport.send(http.request("GET", platform.READY, {"host": "a"}))
    status = (await answer(transport))[0]
    transport.close()
    return status
