"""Tests for leaks: the state of a router does not grow with the number of workers that were replaced during its life."""

import gc
import weakref

import pytest
from fakehost import FakeHost, S, endpoint
from platform_rig import SETTINGS, Quiet, World
from rig import story
from test_platform_list import list_entry

from ramppulley import door, rules
from ramppulley.daemon.platform.command import _exclude_first_list_from_gc
from ramppulley.daemon.platform.log import Log
from ramppulley.engines import attempts
from ramppulley.engines.connections import ConnectionBudget
from ramppulley.engines.platform.connector import PlatformConnector
from ramppulley.fleet.platform import endpoint_list
from ramppulley.fleet.platform.endpoint_list import EndpointList
from ramppulley.profile import Profile
from ramppulley.wire import platform

REPLACED = 300


@story
async def test_the_list_and_the_connector_forget_workers_that_are_gone():
    patch = pytest.MonkeyPatch()
    patch.setattr(attempts, "GONE_RETENTION_S", 0.0, raising=False)
    profile, log = Profile(SETTINGS), Log("n", Quiet())
    endpoints, engines = EndpointList(profile, log), PlatformConnector(log, profile, ConnectionBudget(16))

    def update_endpoints(seq, *entries):
        update = platform.EndpointUpdate(seq, False, list(entries))
        for worker, address in endpoints.update(update, seq * S, seq * 1000):
            engines.set_address(worker, address)
            if worker.state == "gone":
                engines.close_worker(worker)
        engines.expire_idle()

    for seq in range(1, REPLACED):
        update_endpoints(seq, list_entry(f"w{seq}", born_ms=seq * 1000), {"host": f"w{seq - 1}", "health": "Gone"})
    patch.undo()
    update_endpoints(2 * REPLACED, list_entry("last"))
    gc.collect()
    tables = (
        endpoints.workers.endpoints,
        endpoints.workers.ids,
        endpoints.addresses,
        endpoints.starts,
        endpoints.placements,
    )
    assert [len(part) for part in tables] == [2, 2, 2, 1, 2] and len(engines.workers) == 2


def test_the_decisions_forget_workers_that_are_gone_once_nothing_is_out_there():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")])
    for mark in range(10, 10 + REPLACED):
        worker = endpoint(mark, "read")
        host.router.listed(host.now, [worker])
        host.wait(S)
        worker.state = "gone"
        host.router.listed(host.now, [worker])
    host.wait(60 * S)
    host.router.listed(host.now, [host.endpoints[0]])
    assert len(host.router.workers) == 2


def test_a_worker_that_is_gone_while_a_request_is_out_there_is_remembered_until_its_outcome():
    host = FakeHost([endpoint(1, "read"), endpoint(2, "write")])
    view = host.ask()
    prefill_worker = host.last(view)[2]
    prefill_worker.state = "gone"
    host.router.listed(host.now, [prefill_worker])
    host.wait(3 * S)
    host.ends(view, door.READ)
    assert host.told("send", view)[-1][2].mark == 2


def test_workers_of_the_first_list_are_freed_once_they_leave(monkeypatch):
    """A router excludes them from collections of garbage: what a cycle among them would keep would stay for good."""
    monkeypatch.setattr(attempts, "GONE_RETENTION_S", 0.0)
    monkeypatch.setattr(endpoint_list, "GONE_RETENTION", 0)
    monkeypatch.setattr(rules, "REJECTION_MAX_AGE", 0)

    @story
    async def scenario():
        async with World(readers=6, writers=6) as world:
            await _exclude_first_list_from_gc(world.node)
            for number in range(10):
                assert (await world.ask(f"q-{number}"))[0] == 200
            await world.settled()
            references = references_to(world.node, [worker.name for worker in world.workers[1:]])
            for worker in world.workers[1:]:
                update(world.node, {"host": worker.name, "health": "Gone"})
            update(world.node, world.entry(world.workers[0]))
            gc.collect()  # of the requests
            await world.until(lambda: not any(reference() for reference in references))

    scenario()
    gc.unfreeze()


def references_to(node, names):
    """Weak references to what the module and the connector have of these workers."""
    endpoints = [node.endpoints.workers.endpoints[name] for name in names]
    listed = [node.core.router.workers[endpoint] for endpoint in endpoints]
    connected = [node.engines.workers[endpoint] for endpoint in endpoints]
    return [weakref.ref(each) for each in [*listed, *connected, *(worker.connections for worker in connected)]]


def update(node, entry):
    node._on_update(platform.EndpointUpdate(9, False, [entry]))
    node._on_list_read()
    node.engines.expire_idle()


@story
async def test_the_first_list_is_excluded_from_collections_of_garbage():
    """Guards against collections that go through all workers of a large fleet every few seconds (incident 0023)."""
    gc.unfreeze()
    async with World(readers=20, known=False) as world:
        await _exclude_first_list_from_gc(world.node)
        assert gc.get_freeze_count()
        living = [id(each) for each in gc.get_objects()]
        assert not {id(worker) for worker in world.node.core.router.workers.values()} & set(living)
    gc.unfreeze()


@story
async def test_requests_before_the_first_list_are_still_collected():
    """Guards against open requests that are excluded with a late first list and then stay for good (incident 0023)."""
    gc.unfreeze()
    async with World() as world:
        assert (await world.ask("q-1"))[0] == 200
        await world.node.list_received.wait()
        await _exclude_first_list_from_gc(world.node)
        assert not gc.get_freeze_count()
