"""A timer of the core never fires early: the decision module loses a timer that does."""

import asyncio
import time

from platform_rig import SETTINGS, World, silent, stand_still
from rig import story

from ramppulley.service.clock import LoopClock

MS, NS_PER_MS = 10, 1_000_000  # tenths of a millisecond; nanoseconds


@story
async def test_a_timer_never_comes_before_its_time_however_long_the_turn_was_that_set_it():
    clock, early = LoopClock(asyncio.get_running_loop()), []
    for wait in (1, 3, 7 * MS, 20 * MS + 4):
        for block_s in (0.0, 0.0007, 0.003, 0.02):
            await asyncio.sleep(0)
            stand_still(block_s)
            due, fired = clock.now() + wait, asyncio.Event()

            def fire(due=due, fired=fired):
                if clock.now() < due:
                    early.append(due - clock.now())
                fired.set()

            clock.after(wait, fire)
            await fired.wait()
    assert not early


@story
async def test_the_decisions_tick_goes_on_while_a_request_waits_for_its_first_token():
    no_probes = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
    async with World(settings=no_probes) as world:
        core, ticks = world.node.core, []
        on_reminder = core._on_reminder

        def late_reminder(note):
            while len(ticks) % 2 == 0 and time.monotonic_ns() % NS_PER_MS < 0.85 * NS_PER_MS:
                pass  # until the loop's time, in whole milliseconds, lags by most of a millisecond
            if note is core.router:
                ticks.append(core.clock.now())
            on_reminder(note)

        core._on_reminder = late_reminder
        world.readers[0].scripts.append(silent)
        asking = asyncio.create_task(world.ask("q-1", req_deadline_ms="1500"))
        await asyncio.sleep(1.2)
        assert len(ticks) >= 10  # the interval is 80 ms
        await asking
