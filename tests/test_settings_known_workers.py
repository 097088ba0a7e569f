"""Tests of known workers whose kinds, roles and zones the new settings add, reorder or leave out."""

import asyncio
import tempfile
from pathlib import Path

from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import Quiet, World
from rig import story
from settings_rig import HeldResponse, sighup, with_changes

from ramppulley.daemon.platform.log import Log
from ramppulley.fleet.platform.endpoint_list import EndpointList
from ramppulley.profile import Profile
from ramppulley.standin.platform import GOOD
from ramppulley.wire import platform


def kinds(names, roles, memory):
    return with_changes(
        (("Kinds",), names),
        (("Specifics", "RoleByKind"), roles),
        (("Specifics", "MemoryTokens"), memory),
        of=NODE_SETTINGS,
    )


@story
async def test_a_worker_of_a_kind_that_is_no_longer_named_ends_what_it_has_and_gets_no_new_attempt():
    without = kinds(["prefill", "other"], ["read", "write"], [1, 1])
    async with World(token_s=0.02) as world:
        held = HeldResponse(rest=GOOD, then=lambda transport: world.yard.discard("old"))
        world.writers[0].scripts.append(held)
        response_task = asyncio.create_task(world.ask("old"))
        await world.until(held.request_arrived.is_set)
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), without)
            endpoint = world.node.endpoints.workers.endpoints["s-w0"]
            assert endpoint.state == "draining" and (await world.ask("none"))[0] == 503
            held.respond.set()
            assert (await response_task)[0] == 200
            await world.until(lambda: len(world.list.asked) == 2)  # entries of new kinds may have been skipped
            await world.until(lambda: world.list.watches)
            assert endpoint.state == "draining"  # the whole list still names it, so it is not gone
            await sighup(world, Path(folder), NODE_SETTINGS)
            await world.until(lambda: endpoint.state == "ready")
            assert (await world.ask("again"))[0] == 200
            await sighup(world, Path(folder), without)
            world.list.tell(world.entry(world.writers[0], "Gone"))
            await world.until(lambda: endpoint.state == "gone")


@story
async def test_a_worker_of_a_kind_that_only_the_new_settings_name_becomes_known():
    async with World(settings=kinds(["prefill", "other"], ["read", "write"], [1, 1])) as world:
        await world.until(lambda: world.node.watch.last_line_at is not None)
        assert list(world.node.endpoints.workers.endpoints) == ["s-r0"]
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), NODE_SETTINGS)
        await world.until(lambda: "s-w0" in world.node.endpoints.workers.endpoints)
        assert (await world.ask("q"))[0] == 200


@story
async def test_a_worker_whose_kind_has_another_role_now_is_used_for_that_alone():
    async with World() as world:
        assert (await world.ask("a"))[0] == 200
        for worker in world.workers:
            worker.role = {"read": "write", "write": "read"}[worker.role]
        with tempfile.TemporaryDirectory() as folder:
            await sighup(world, Path(folder), kinds(["prefill", "decode"], ["write", "read"], [70_000, 80_000]))
        endpoints = world.node.endpoints.workers.endpoints
        assert [(endpoints[name].role, endpoints[name].memory) for name in ("s-r0", "s-w0")] == [
            ("write", 70_000),
            ("read", 80_000),
        ]
        assert (await world.ask("b"))[0] == 200
        assert [entry[2] for entry in world.writers[0].of("POST")] == ["a", "b"]
        assert [endpoint.state for endpoint in world.node.core.router.workers] == ["gone", "gone", "ready", "ready"]


def endpoints_of(profile, *entries):
    endpoint_list = EndpointList(profile, Log("n", Quiet()))
    endpoint_list.update(platform.EndpointUpdate(1, True, list(entries)), 50_000, 9_000)
    return endpoint_list


def entry_of(name, site="north", kind="decode", **more):
    return {"host": name, "dial": "10.0.0.1:80", "site": site, "class": kind, "block": 3, "health": "Ready"} | more


def test_known_workers_follow_their_kind_and_zone_by_name_when_the_settings_order_them_anew():
    endpoint_list = endpoints_of(
        Profile(NODE_SETTINGS), entry_of("a"), entry_of("b", "south", "prefill", born_ms=8_000)
    )
    endpoints = endpoint_list.workers.endpoints
    a, b = endpoints["a"], endpoints["b"]
    before = (a.role, b.role, b.born, b.cell, b.state)
    reordered = kinds(["decode", "prefill"], ["write", "read"], [11, 22]) | {"Azs": ["east", "south", "north"]}
    assert {endpoint for endpoint, _ in endpoint_list.configure(Profile(reordered))} == {a, b}
    assert (endpoints["a"], endpoints["b"]) == (a, b) and (a.role, b.role, b.born, b.cell, b.state) == before
    assert (a.zone, b.zone, a.memory, b.memory) == (2, 1, 11, 22)


def test_no_two_zones_share_a_number_also_where_the_settings_do_not_name_them():
    endpoint_list = endpoints_of(
        Profile(NODE_SETTINGS), entry_of("a", "north"), entry_of("b", "x"), entry_of("c", "y"), entry_of("d", None)
    )
    endpoints = endpoint_list.workers.endpoints
    assert [endpoints[name].zone for name in "abcd"] == [0, 2, 3, 4]
    endpoint_list.configure(Profile(NODE_SETTINGS | {"Azs": ["y"]}))
    assert endpoints["c"].zone == 0 and len({endpoints[name].zone for name in "abcd"}) == 4
    endpoint_list.configure(Profile(NODE_SETTINGS | {"Azs": []}))
    assert {endpoints[name].zone for name in "abcd"} == {0}
    endpoint_list.configure(Profile(with_changes((("Azs",), []), (("Lanes", 0, "KeyScope"), "zone"), of=NODE_SETTINGS)))
    # A retry that is bound to a zone must not reach another zone.
    assert len({endpoints[name].zone for name in "abcd"}) == 4
