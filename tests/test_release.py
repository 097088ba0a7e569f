"""KV state is released within the configured time although workers fall silent, whichever responded last."""

import asyncio
from types import SimpleNamespace

from platform_rig import World
from rig import story

from ramppulley.service.neutral import TrackedRequest

RELEASE_S = 0.5  # Specifics.ReleaseS in the settings of platform_rig


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
        for endpoint in endpoints[-1:] + endpoints[:-1]:  # the prefill worker first: its response is the least recent
            engines.record_response(endpoint)
        for endpoint in endpoints[::-1][:silent]:
            workers[ids[endpoint]].takes = 5.0
        for endpoint in endpoints[::-1]:
            engines.record_response(endpoint)
        for endpoint in endpoints[::-1][:silent]:
            engines.record_response(endpoint)  # most recent responders, now unreachable
        world.yard.add("q-1")
        release = asyncio.create_task(engines.releases.run("q-1", 0.0))
        await asyncio.wait({release}, timeout=RELEASE_S)
        still_held = "q-1" in world.yard
        for worker in world.workers:
            worker.takes = 0.0
        await release
        world.yard.discard("q-1")
        assert not still_held


@story
async def test_a_release_that_nobody_took_is_repeated_until_somebody_does():
    """A partition that outlasts all calls of one release: nothing else frees the KV state."""
    async with World() as world:
        tracked = TrackedRequest(SimpleNamespace(name="q-1"), None, None, 0)
        for worker in world.workers:
            worker.takes = 5.0
        world.yard.add("q-1")
        world.node.engines.release(tracked, None, "q-1")
        await world.until(lambda: "nobody took the release" in world.lines.text)
        for worker in world.workers:
            worker.takes = 0.0
        await world.until(lambda: not world.yard, RELEASE_S + 0.3)
        await world.until(lambda: not world.node.engines.has_releases())
