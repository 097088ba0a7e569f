"""Tests of reloading settings over real connections, and of configurations that are rejected or change nothing."""

import asyncio
import tempfile
from pathlib import Path

import pytest
from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import World
from rig import story
from settings_rig import ABSENT, OTHER_CLASSES, HeldResponse, sighup, with_changes

from ramppulley import door
from ramppulley.rules import Router
from ramppulley.standin.platform import PlatformList


@story
async def test_new_settings_bring_their_limits_time_outs_and_meaning_of_reports():
    reports = []

    class ReportRecorder(Router):
        def probed(self, now, endpoint, outcome, report):
            reports.append(report)
            super().probed(now, endpoint, outcome, report)

    new = with_changes(
        (("Bounds", "MaxOpen"), 1),
        (("Bounds", "ConnIdleS"), 40.0),
        (("Bounds", "ConnectTimeoutS"), 2.0),
        (("Specifics", "ReportX0"), "thousands of prompt tokens waiting to be read or fetched"),
        (("Specifics", "ReportX1"), "share of memory that is held"),
        of=NODE_SETTINGS,
    )
    async with World(make=ReportRecorder) as world:
        assert (await world.ask("a"))[0] == 200
        await world.until(lambda: len(reports) >= 2)
        assert set(reports) == {door.LoadReport(memory_share=0.25, tokens_waiting=1500.0, latency=120)}
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), new)
        connections = [worker.connections for worker in world.node.engines.workers.values()]
        assert {connection.idle_timeout_s for connection in connections} == {32.0} and len(connections) == 2
        assert world.node.engines.connect_timeout_s == 2.0
        reports.clear()
        await world.node.engines._probe(world.node.core, world.node.endpoints.workers.endpoints["s-r0"])
        assert reports == [door.LoadReport(memory_share=1.5, tokens_waiting=250.0, latency=120)]
        held = HeldResponse()
        world.readers[0].scripts.append(held)
        response_task = asyncio.create_task(world.ask("b"))
        await world.until(held.request_arrived.is_set)
        assert (await world.ask("c"))[0] == 503
        response_task.cancel()


class CountingRouter(Router):
    """Counts the configurations and the lists that it receives."""

    def __init__(self, host, **given):
        self.configurations = self.lists = 0
        super().__init__(host, **given)

    def configured(self, now, **new):
        self.configurations += 1
        super().configured(now, **new)

    def listed(self, now, endpoints):
        self.lists += 1
        super().listed(now, endpoints)


@pytest.mark.parametrize(
    "fields",
    [{}, {"settings": NODE_SETTINGS | {"Me": 7, "Prices": {"Probe": 2}}}, {"settings": ABSENT}, {"seed": "ff"}],
    ids=["the same", "other keys that have no meaning here", "no settings", "another seed"],
)
def test_a_configuration_with_settings_of_the_same_meaning_leaves_the_module_alone(fields, tmp_path):
    @story
    async def scenario():
        async with World(make=CountingRouter) as world:
            await world.until(lambda: world.list.watches)
            router = world.node.core.router
            before = router.configurations, router.lists, len(world.list.asked)
            assert "new_settings=False" in await sighup(world, tmp_path, **fields)
            assert (await world.ask("q"))[0] == 200
            assert (router.configurations, router.lists, len(world.list.asked)) == before

    scenario()


INVALID = {
    "settings.Lanes[1].Effect": with_changes((("Lanes", 1, "Effect"), "twice"), of=OTHER_CLASSES),
    "settings.Lanes[1].Name": with_changes((("Lanes", 1, "Name"), "inquiry"), of=OTHER_CLASSES),
    "settings.Lanes[0].Name": with_changes((("Lanes", 0, "Name"), None), of=OTHER_CLASSES),
    "settings.Tenants[1].Name": with_changes((("Tenants",), [{"Name": "a", "QuotaPerS": 1}] * 2), of=OTHER_CLASSES),
    "settings.Kinds": with_changes((("Kinds",), None), of=OTHER_CLASSES),
    "settings.Kinds[1]": with_changes((("Kinds",), ["prefill", "prefill"]), of=OTHER_CLASSES),
    "settings.Azs[1]": with_changes((("Azs",), ["north", "north"]), of=OTHER_CLASSES),
    "settings.Bounds.ConnectTimeoutS": with_changes((("Bounds", "ConnectTimeoutS"), 0), of=OTHER_CLASSES),
    "settings.Rules": with_changes((("Rules",), None), of=OTHER_CLASSES),
    "settings": [],
    "discovery": None,
}


@pytest.mark.parametrize("field", INVALID)
def test_a_configuration_that_cannot_be_used_names_the_field_and_changes_nothing(field, tmp_path):
    @story
    async def scenario():
        async with World(make=CountingRouter) as world:
            other = PlatformList()
            other.hosts = dict(world.list.hosts)
            other.start()
            address = ABSENT if field == "discovery" else f"127.0.0.1:{other.listener.port}"
            line = await sighup(
                world, tmp_path, OTHER_CLASSES if INVALID[field] is None else INVALID[field], discovery=address
            )
            assert "not usable, the old one stays" in line and f"fault={field}" in line
            assert (await world.ask("q"))[0] == 200 and (await world.ask("r", req_kind="inquiry"))[0] == 400
            assert world.node.core.router.configurations == 1
            assert world.node.watch.address[1] == world.list.listener.port and not other.asked
            await other.stop()

    scenario()


@story
async def test_new_settings_and_a_new_place_of_discovery_come_together():
    async with World() as world:
        other = PlatformList()
        other.hosts, other.seq = dict(world.list.hosts), 5
        other.start()
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), OTHER_CLASSES, discovery=f"127.0.0.1:{other.listener.port}")
        await world.until(lambda: other.watches)
        assert (await world.ask("q", req_kind="inquiry"))[0] == 200 and len(other.asked) == 1
        await other.stop()
