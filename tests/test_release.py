"""Rule 5 where workers fall silent: what is held is let go within the settings' time, whoever was heard last."""

import asyncio
from types import SimpleNamespace

from platform_rig import World
from rig import story

from ramppulley.service.neutral import TrackedRequest

WITHIN = 0.5  # Specifics.ReleaseS of the rig's settings


@story
async def test_a_release_is_heard_in_time_while_one_worker_that_was_heard_last_is_silent():
    await released_in_time(silent=1)


@story
async def test_a_release_is_heard_in_time_while_the_five_workers_that_were_heard_last_are_silent():
    await released_in_time(silent=5)


async def released_in_time(silent):
    async with World(writers=silent + 1) as world:
        engines, ids = world.node.engines, world.node.endpoints.workers.ids
        endpoints = sorted(engines.workers, key=ids.get, reverse=True)
        workers = {worker.name: worker for worker in world.workers}
        for endpoint in endpoints[-1:] + endpoints[:-1]:  # the reader first, so that it was heard longest ago
            engines.record_response(endpoint)
        for endpoint in endpoints[::-1][:silent]:
            workers[ids[endpoint]].takes = 5.0
        for endpoint in endpoints[::-1]:
            engines.record_response(endpoint)
        for endpoint in endpoints[::-1][:silent]:
            engines.record_response(endpoint)  # a cut: heard last, and silent since
        world.yard.add("q-1")
        release = asyncio.create_task(engines.releases.run("q-1", 0.0))
        await asyncio.wait({release}, timeout=WITHIN)
        late = "q-1" in world.yard
        for worker in world.workers:
            worker.takes = 0.0
        await release
        world.yard.discard("q-1")
        assert not late


@story
async def test_a_release_that_nobody_took_is_repeated_until_somebody_does():
    """A cut that is longer than all calls of one release: what is held has no other end."""
    async with World() as world:
        tracked = TrackedRequest(SimpleNamespace(name="q-1"), None, None, 0)
        for worker in world.workers:
            worker.takes = 5.0
        world.yard.add("q-1")
        world.node.engines.release(tracked, None, "q-1")
        await world.until(lambda: "no worker confirmed the release" in world.lines.text)
        for worker in world.workers:
            worker.takes = 0.0
        await world.until(lambda: not world.yard, WITHIN + 0.3)
        await world.until(lambda: not world.node.engines.has_releases())
