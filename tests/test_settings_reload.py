"""Tests of what new settings bring over real connections, and of configurations that are refused or mean the same."""

import asyncio
import tempfile
from pathlib import Path

import pytest
from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import World
from rig import story
from settings_rig import ABSENT, ONLY_NEW, Held, changed, sighup

from ramppulley import door
from ramppulley.rules import Router
from ramppulley.standin.platform import PlatformList


@story
async def test_new_settings_bring_their_limits_time_outs_and_meaning_of_reports():
    heard = []

    class Hearing(Router):
        def probed(self, now, endpoint, outcome, report):
            heard.append(report)
            super().probed(now, endpoint, outcome, report)

    new = changed(
        (("Bounds", "MaxOpen"), 1),
        (("Bounds", "ConnIdleS"), 40.0),
        (("Bounds", "ConnectTimeoutS"), 2.0),
        (("Specifics", "ReportX0"), "thousands of prompt tokens waiting to be read or fetched"),
        (("Specifics", "ReportX1"), "share of memory that is held"),
        of=NODE_SETTINGS,
    )
    async with World(make=Hearing) as world:
        assert (await world.ask("a"))[0] == 200
        await world.until(lambda: len(heard) >= 2)
        assert set(heard) == {door.LoadReport(memory_share=0.25, tokens_waiting=1500.0, latency=120)}
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), new)
        connections = [worker.connections for worker in world.node.engines.workers.values()]
        assert {connection.idle_timeout_s for connection in connections} == {32.0} and len(connections) == 2
        assert world.node.engines.connect_timeout_s == 2.0
        heard.clear()
        await world.node.engines._probe(world.node.core, world.node.endpoints.workers.endpoints["s-r0"])
        assert heard == [door.LoadReport(memory_share=1.5, tokens_waiting=250.0, latency=120)]
        held = Held()
        world.readers[0].scripts.append(held)
        asking = asyncio.create_task(world.ask("b"))
        await world.until(held.reached.is_set)
        assert (await world.ask("c"))[0] == 503
        asking.cancel()


class Counting(Router):
    """Counts what it was told of settings and of the list."""

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
    async def told():
        async with World(make=Counting) as world:
            await world.until(lambda: world.list.watches)
            router = world.node.core.router
            before = router.configurations, router.lists, len(world.list.asked)
            assert "new_settings=False" in await sighup(world, tmp_path, **fields)
            assert (await world.ask("q"))[0] == 200
            assert (router.configurations, router.lists, len(world.list.asked)) == before

    told()


BAD = {
    "settings.Lanes[1].Effect": changed((("Lanes", 1, "Effect"), "twice"), of=ONLY_NEW),
    "settings.Lanes[1].Name": changed((("Lanes", 1, "Name"), "inquiry"), of=ONLY_NEW),
    "settings.Lanes[0].Name": changed((("Lanes", 0, "Name"), None), of=ONLY_NEW),
    "settings.Tenants[1].Name": changed((("Tenants",), [{"Name": "a", "QuotaPerS": 1}] * 2), of=ONLY_NEW),
    "settings.Kinds": changed((("Kinds",), None), of=ONLY_NEW),
    "settings.Kinds[1]": changed((("Kinds",), ["prefill", "prefill"]), of=ONLY_NEW),
    "settings.Azs[1]": changed((("Azs",), ["north", "north"]), of=ONLY_NEW),
    "settings.Bounds.ConnectTimeoutS": changed((("Bounds", "ConnectTimeoutS"), 0), of=ONLY_NEW),
    "settings.Rules": changed((("Rules",), None), of=ONLY_NEW),
    "settings": [],
    "discovery": None,
}


@pytest.mark.parametrize("field", BAD)
def test_a_configuration_that_cannot_be_used_names_the_field_and_changes_nothing(field, tmp_path):
    @story
    async def told():
        async with World(make=Counting) as world:
            other = PlatformList()
            other.hosts = dict(world.list.hosts)
            other.start()
            place = ABSENT if field == "discovery" else f"127.0.0.1:{other.listener.port}"
            line = await sighup(world, tmp_path, ONLY_NEW if BAD[field] is None else BAD[field], discovery=place)
            assert "not usable, the old one stays" in line and f"fault={field}" in line
            assert (await world.ask("q"))[0] == 200 and (await world.ask("r", req_kind="inquiry"))[0] == 400
            assert world.node.core.router.configurations == 1
            assert world.node.watch.address[1] == world.list.listener.port and not other.asked
            await other.stop()

    told()


@story
async def test_new_settings_and_a_new_place_of_discovery_come_together():
    async with World() as world:
        other = PlatformList()
        other.hosts, other.seq = dict(world.list.hosts), 5
        other.start()
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), ONLY_NEW, discovery=f"127.0.0.1:{other.listener.port}")
        await world.until(lambda: other.watches)
        assert (await world.ask("q", req_kind="inquiry"))[0] == 200 and len(other.asked) == 1
        await other.stop()
