"""Term 16: a client that stalls within a request gets an error or a close within 3 s, on its first and on later requests."""

import asyncio

from platform_rig import World, answer, question
from rig import story

ANSWER_LIMIT_S = 3.0


async def stall_within_request(world, requests_before):
    """Sends `requests_before` whole requests, then a part of one; returns the status, 0 for a close. Raises TimeoutError."""
    client = await world.connect()
    for number in range(requests_before):
        await client.send(question(f"q-{requests_before}-{number}"))
        await answer(client)
    await client.send(question(f"q-{requests_before}-half")[:-10])
    async with asyncio.timeout(ANSWER_LIMIT_S):
        return (await answer(client))[0]


@story
async def test_a_client_that_stops_inside_a_later_request_gets_its_error_in_time():
    async with World() as world:
        assert await stall_within_request(world, 1) == 408


@story
async def test_a_client_that_stops_inside_its_first_request_gets_its_error_in_time():
    async with World() as world:
        assert await stall_within_request(world, 0) == 408


@story
async def test_a_slow_client_that_goes_on_writing_a_later_request_is_served():
    async with World() as world:
        client = await world.connect()
        await client.send(question("q-1"))
        await answer(client)
        whole = question("q-2")
        for begin in range(0, len(whole), len(whole) // 4 + 1):
            await client.send(whole[begin : begin + len(whole) // 4 + 1])
            await asyncio.sleep(0.8)
        assert (await answer(client))[0] == 200
