"""Tests of idempotency by key (terms 4 and 15): a request that may have run is repeated only within the time for which
workers remember its key.

The time runs from the first attempt, also while the repeat waits for its connection.
"""

import asyncio
import time

import pytest
from platform_rig import SETTINGS, World
from rig import story

from ramppulley.engines import connections

WINDOW_S = 0.6  # for which workers remember keys
CONNECT_DELAY_S = 0.5
BOOK_CLASS = {
    "AimS": 1.5,
    "Credit": 1.0,
    "Effect": "guarded",
    "KeyScope": "all",
    "WindowS": WINDOW_S,
    "GiveUpS": 7.5,
    "Name": "book",
    "Stream": True,
}
GUARDED_SETTINGS = SETTINGS | {
    "Lanes": [*SETTINGS["Lanes"], BOOK_CLASS],
    "Bounds": SETTINGS["Bounds"] | {"Probing": False, "ConnectTimeoutS": 2.0},
    "Specifics": SETTINGS["Specifics"] | {"AimUsPer1000PromptTokens": [40000.0] * 3, "TokenAimS": [0.07] * 3},
}


@story
async def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_begun():
    async with World(readers=2, writers=4, settings=GUARDED_SETTINGS) as world:
        started_at, connect = [], connections.connect

        async def connect_late(*args):
            await asyncio.sleep(CONNECT_DELAY_S if started_at else 0.0)
            return await connect(*args)

        async def break_connection(transport):
            started_at.append(time.monotonic())
            world.yard.discard("q-1")
            await asyncio.sleep(0.3 if len(started_at) == 1 else 0.0)
            transport.reset()

        for writer in world.writers:
            writer.scripts.append(break_connection)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connections, "connect", connect_late)
            status = (await world.ask("q-1", req_kind="book"))[0]
        assert status in (503, 504)
        assert all(at - started_at[0] < WINDOW_S for at in started_at)


@story
async def test_a_repeat_within_the_window_is_begun():
    async with World(readers=2, writers=4, settings=GUARDED_SETTINGS) as world:

        async def break_connection(transport):
            world.yard.discard("q-1")
            transport.reset()

        world.writers[0].scripts.append(break_connection)
        for _ in range(4):  # until a request has gone to the worker that breaks its connection
            assert (await world.ask(f"q-{_}", req_kind="book"))[0] == 200
