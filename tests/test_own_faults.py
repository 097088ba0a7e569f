"""An exception in the router fails the affected request with an error and no other one."""

import asyncio

import pytest
from platform_rig import WHOLE, World
from rig import story

from ramppulley.fronts.platform.requests import RequestTranslator
from ramppulley.rules import AdmissionQueue, Router


def raise_planted(*_, **__):
    raise RuntimeError("planted")


@story
async def test_a_fault_in_a_connections_task_is_answered_and_named_in_the_log():
    async with World() as world:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(RequestTranslator, "translate", raise_planted)
            assert (await world.ask("q-1"))[0] == 500
        assert "planted" in world.lines.text and "q-1" in world.lines.text
        assert (await world.ask("q-2"))[2:] == (WHOLE, True)


@story
async def test_a_fault_in_a_requests_last_timer_still_has_it_answered_in_time():
    async with World() as world:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(AdmissionQueue, "try_admit", lambda *_: False)  # the request waits in the queue
            patch.setattr(Router, "reminded", raise_planted)
            async with asyncio.timeout(1.5):  # the deadline of 1 s and a slack of 0.5 s
                assert (await world.ask("q-1", req_deadline_ms="1000"))[0] >= 500
        await world.until(lambda: not world.node.core.requests)
        assert "planted" in world.lines.text


@story
async def test_a_fault_in_an_event_about_workers_is_named_and_ends_no_task():
    async with World() as world:
        core, endpoint = world.node.core, next(iter(world.node.engines.workers))
        for event, trigger in {
            "listed": lambda: core.endpoints_changed([endpoint]),
            "probed": lambda: core.probed(endpoint, "done", None),
            "configured": lambda: core.reconfigured({}, use_cases=core.request_classes),
        }.items():
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(Router, event, raise_planted)
                trigger()
        assert world.lines.text.count("planted") >= 3
        assert (await world.ask("q-2"))[2:] == (WHOLE, True)
