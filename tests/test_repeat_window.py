"""Terms 4 and 15: a repeat of what may have run begins within the time for which workers drop repeats, or not at all.

The time runs from the first attempt, also while the repeat waits for its connection.
"""

import asyncio
import time

import pytest
from platform_rig import SETTINGS, World
from rig import story

from ramppulley.engines import connections

WINDOW_S, CONNECT_S = 0.6, 0.5
BOOK = {
    "AimS": 1.5,
    "Credit": 1.0,
    "Effect": "guarded",
    "KeyScope": "all",
    "WindowS": WINDOW_S,
    "GiveUpS": 7.5,
    "Name": "book",
    "Stream": True,
}
GUARDED = SETTINGS | {
    "Lanes": [*SETTINGS["Lanes"], BOOK],
    "Bounds": SETTINGS["Bounds"] | {"Probing": False, "ConnectTimeoutS": 2.0},
    "Specifics": SETTINGS["Specifics"] | {"AimUsPer1000PromptTokens": [40000.0] * 3, "TokenAimS": [0.07] * 3},
}


@story
async def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_begun():
    async with World(readers=2, writers=4, settings=GUARDED) as world:
        begun, connect = [], connections.connect

        async def late(*args):
            await asyncio.sleep(CONNECT_S if begun else 0.0)
            return await connect(*args)

        async def breaks(transport):
            begun.append(time.monotonic())
            world.yard.discard("q-1")
            await asyncio.sleep(0.3 if len(begun) == 1 else 0.0)
            transport.reset()

        for writer in world.writers:
            writer.scripts.append(breaks)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connections, "connect", late)
            status = (await world.ask("q-1", req_kind="book"))[0]
        assert status in (503, 504)
        assert all(at - begun[0] < WINDOW_S for at in begun)


@story
async def test_a_repeat_within_the_window_is_begun():
    async with World(readers=2, writers=4, settings=GUARDED) as world:

        async def breaks(transport):
            world.yard.discard("q-1")
            transport.reset()

        world.writers[0].scripts.append(breaks)
        for _ in range(4):  # until the one that breaks had a turn
            assert (await world.ask(f"q-{_}", req_kind="book"))[0] == 200
