"""KV state is released in time although its decode waits past the release time limit and is given up without a response.

The release sent while the decode is open frees nothing, as the decode waits for the state; another must follow its end.
"""

import asyncio
import time
from itertools import product

from platform_rig import SETTINGS, World, question
from rig import story
from test_race_handover import RELEASE_S, SLACK_S, releases, until_closed

from ramppulley.standin.platform import GOOD

NO_PROBES = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False, "ConnectTimeoutS": 2.0}}
CLOSE_SEEN_AFTER_S = (0.0, 0.1, 0.9)  # a busy or hung worker sees the close of the connection late


class StuckDecode:
    """A decode that waits in its worker's queue until the worker sees the close, `close_seen_after_s` after it happened."""

    def __init__(self, world, close_seen_after_s):
        self.world, self.close_seen_after_s, self.ended_at = world, close_seen_after_s, None
        world.writers[0].scripts.append(self.serve)

    async def serve(self, transport):
        with self.world.yard.waiting("q-1"):
            await until_closed(transport)
            await asyncio.sleep(self.close_seen_after_s)
        self.ended_at = time.monotonic()

    async def state_released_in_time(self):
        await self.world.until(lambda: self.ended_at)
        await asyncio.sleep(max(0.0, self.ended_at + RELEASE_S + SLACK_S - time.monotonic()))
        still_held = "q-1" in self.world.yard
        self.world.yard.clear()
        return not still_held


async def runs_out_of_time(kind, close_seen_after_s):
    async with World(settings=NO_PROBES) as world:
        decode = StuckDecode(world, close_seen_after_s)
        status = (await world.ask("q-1", req_kind=kind, req_deadline_ms="1200"))[0]
        assert status == (503 if kind == "lookup" else 504)
        return await decode.state_released_in_time()


async def worker_falls_suspect(kind, close_seen_after_s):
    """The request continues in the queue: there is no other decode worker."""
    async with World(settings=NO_PROBES) as world:
        decode = StuckDecode(world, close_seen_after_s)
        response = asyncio.create_task(world.ask("q-1", req_kind=kind, req_deadline_ms="3000"))
        await world.until(lambda: releases(world.workers))  # the release sent while the decode is open
        (tracked,) = world.node.core.requests.values()
        decode_worker = world.node.core.router.workers[tracked.attempts[-1].endpoint]
        decode_worker.mark_suspect("silent", True)
        decode_worker.half_open_at += 10**6
        released = await decode.state_released_in_time()
        await response
        return released


async def client_leaves(kind, close_seen_after_s):
    async with World(settings=NO_PROBES) as world:
        decode, client = StuckDecode(world, close_seen_after_s), await world.connect()
        await client.send(question("q-1", req_kind=kind))
        await world.until(lambda: releases(world.workers))
        client.close()
        return await decode.state_released_in_time()


@story
async def test_a_state_is_released_behind_a_decode_that_was_given_up_after_a_release_beside_it():
    cases = list(
        product((runs_out_of_time, worker_falls_suspect, client_leaves), ("lookup", "lodge"), CLOSE_SEEN_AFTER_S)
    )
    released = await asyncio.gather(*[end(kind, seen_after_s) for end, kind, seen_after_s in cases])
    assert not [(end.__name__, *case) for (end, *case), in_time in zip(cases, released) if not in_time]


@story
async def test_a_state_that_its_decode_takes_behind_a_release_is_not_released_again():
    async with World(settings=NO_PROBES) as world:

        async def slow(transport):
            with world.yard.waiting("q-1"):
                await world.until(lambda: releases(world.workers))
            world.yard.discard("q-1")
            await transport.send(GOOD)

        world.writers[0].scripts.append(slow)
        assert (await world.ask("q-1"))[0] == 200
        await world.settled()
        await asyncio.sleep(RELEASE_S)
        assert len(releases(world.workers)) == 1


@story
async def test_a_state_is_released_in_time_where_the_answer_that_declined_its_decode_was_lost():
    """The decode outlasts the first release and is declined; the response is lost, so the router keeps waiting."""
    async with World(settings=NO_PROBES) as world:
        declined_at = []

        async def decline_unheard(transport):
            with world.yard.waiting("q-1"):
                await asyncio.sleep(RELEASE_S + SLACK_S)
            declined_at.append(time.monotonic())
            await until_closed(transport)

        world.writers[0].scripts.append(decline_unheard)
        response = asyncio.create_task(world.ask("q-1", req_kind="lodge", req_deadline_ms="3500"))
        await world.until(lambda: declined_at)
        await asyncio.sleep(RELEASE_S + SLACK_S)
        still_held = "q-1" in world.yard
        await response
        world.yard.clear()
        assert not still_held
