"""Tests of idempotency by key (terms 4 and 15): a request that may have run is repeated only within the time for which
workers remember its key.

The time runs from the first attempt, also while the repeat waits for its connection or for its answer.
"""

import asyncio
import copy
import time

import pytest
from platform_rig import SETTINGS, WHOLE, World, silent
from rig import story

from ramppulley.engines import connections
from ramppulley.standin.platform import EVENTS, HEAD
from ramppulley.wire import http

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


SILENT_WINDOW_S = 1.6
ATTEMPT_TIMEOUT_S = 1.0  # twice the target


def silent_link_settings(scope="all"):
    """An attempt is given up 1.0 s after its begin, so that a repeat has 0.6 s of the window left."""
    settings = copy.deepcopy(GUARDED_SETTINGS)
    settings["Lanes"][-1] |= {"AimS": ATTEMPT_TIMEOUT_S / 2, "WindowS": SILENT_WINDOW_S, "KeyScope": scope}
    settings["Specifics"]["AimUsPer1000PromptTokens"] = [0.0] * 3
    return settings


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
def test_a_repeat_without_an_answer_is_given_up_before_the_window_is_over(scope):
    """Guards against a repeat that lay in a partitioned link and took effect again behind the window (incident 0021)."""

    @story
    async def play():
        async with World(readers=2, writers=2, settings=silent_link_settings(scope)) as world:
            written_at, closed_at = [], []

            async def fall_silent(transport):
                written_at.append(time.monotonic())
                while transport.is_quiet():
                    await asyncio.sleep(0.005)
                closed_at.append(time.monotonic())

            for writer in world.writers:
                writer.scripts.append(fall_silent)
            assert (await world.ask("q-1", req_kind="book", req_deadline_ms="7000"))[0] in (503, 504)
            await world.until(lambda: len(closed_at) == 2)
            assert closed_at[0] - written_at[0] > 0.9 * ATTEMPT_TIMEOUT_S  # the first attempt has its usual time
            assert closed_at[1] - written_at[0] < SILENT_WINDOW_S

    play()


@story
async def test_a_repeat_that_is_answered_within_the_window_goes_on_behind_it():
    async with World(readers=2, writers=2, settings=silent_link_settings()) as world:
        written_at = []

        async def answer_the_second(transport):
            written_at.append(time.monotonic())
            if len(written_at) == 1:
                await silent(transport)
            world.yard.discard("q-1")
            await transport.send(HEAD + http.chunk(EVENTS[0]))
            await asyncio.sleep(SILENT_WINDOW_S)
            await transport.send(b"".join(map(http.chunk, EVENTS[1:])) + http.LAST_CHUNK)

        for writer in world.writers:
            writer.scripts.append(answer_the_second)
        status, _, body, whole = await world.ask("q-1", req_kind="book", req_deadline_ms="7000")
        assert status == 200 and whole and body == WHOLE and len(written_at) == 2
