"""A decode that may not have arrived does not suspend the release time limit of the prefill's KV state."""

import asyncio
import time

import pytest
from platform_rig import SETTINGS, WHOLE, World
from rig import story
from test_race_handover import GONE, PLAIN, RELEASE_S, SLACK_S, releases

from ramppulley.standin.platform import GOOD


def test_a_state_is_released_in_time_while_its_decode_stands_on_a_silent_connection():
    for kind in ("lookup", "lodge"):

        @story
        async def scenario(kind=kind):
            async with World(writers=2, settings=PLAIN) as world:
                started_at = []

                async def ignore_request(transport):
                    if started_at:  # the other worker, after a second prefill
                        world.yard.discard("q-1")
                        await transport.send(GOOD)
                        return
                    started_at.append(time.monotonic())
                    await world.until(lambda: releases(world.workers))
                    await transport.send(GONE)

                for writer in world.writers:
                    writer.scripts.append(ignore_request)
                response = asyncio.create_task(world.ask("q-1", req_kind=kind))
                await world.until(lambda: releases(world.workers))
                assert time.monotonic() - started_at[0] < RELEASE_S + SLACK_S
                assert (await response)[2:] == (WHOLE, True)  # it never ran: the prefill is repeated
                await world.settled()

        scenario()


@pytest.mark.parametrize("kind", ["lookup", "lodge"])
def test_a_decode_that_waits_for_its_turn_is_not_given_up_for_the_release(kind):
    @story
    async def scenario():
        async with World(settings=SETTINGS) as world:  # probes show that its worker is alive

            async def slow(transport):
                await asyncio.sleep(RELEASE_S + SLACK_S)
                world.yard.discard("q-1")
                await transport.send(GOOD)

            world.writers[0].scripts.append(slow)
            assert (await world.ask("q-1", req_kind=kind))[2:] == (WHOLE, True)
            assert len(world.readers[0].of("POST")) == 1
            await world.settled()

    scenario()


@story
async def test_a_state_taken_at_once_is_not_released():
    async with World(settings=SETTINGS) as world:
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        await asyncio.sleep(RELEASE_S)
        assert not releases(world.workers)
