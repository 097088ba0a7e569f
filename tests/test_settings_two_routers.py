"""Tests that routers and bench adapter instances with different settings in one process do not affect each other."""

import io
import json
from random import Random

from platform_rig import SETTINGS as NODE_SETTINGS
from platform_rig import World
from rig import story
from settings_rig import (
    DURATION,
    LODGE,
    LOOKUP,
    SETTINGS,
    SimulatedRouter,
    decode_attempt_count,
    request_plan,
    simulate,
    start_in_decode,
    with_changes,
)

from ramppulley import parts
from ramppulley.drill import wire as drill

OTHER = with_changes(
    (("Lanes",), [{"Name": "lookup", "AimS": 0.4, "Credit": 9.0, "Effect": "single_shot", "GiveUpS": 2.0}] * 3),
    (("Tenants",), [{"Name": "mill", "QuotaPerS": 0.1}]),
    (("Bounds", "SendCap"), 1),
    (("Bounds", "Probing"), False),
    (("Specifics", "MemoryTokens"), [900, 900, 900]),
    (("NInstances",), 40),
)


def test_two_routers_of_different_settings_in_one_process_act_as_each_does_alone():
    plan = [(at, "lookup", *more) for at, _, *more in request_plan(5)]
    alone = []
    for settings_object in (SETTINGS, OTHER):
        parts.rendezvous_orders_of.cache_clear()
        alone.append(simulate(settings_object, plan, seed=5))
    parts.rendezvous_orders_of.cache_clear()
    pair = [SimulatedRouter(settings_object, plan, seed=5) for settings_object in (SETTINGS, OTHER)]
    while min(router.next_at() for router in pair) <= DURATION:
        min(pair, key=SimulatedRouter.next_at).step()
    assert [router.actions for router in pair] == alone and alone[0] != alone[1]


def test_what_the_process_keeps_of_a_list_is_the_same_whoever_asks_and_whatever_was_asked_before():
    workers = parts.RankedFields(*zip(*((mark * 7919, 1.0 + mark % 2, mark % 3, mark % 2, 0.5) for mark in range(9))))
    asked = [(key, cell, zone) for key in range(40) for cell in range(3) for zone in range(2)]
    shared, one_by_one = parts.rendezvous_orders_of(workers), []
    for key, cell, zone in asked:
        fresh = parts.RendezvousOrders(workers)
        one_by_one.append((fresh.order(key), fresh.in_group(key, cell), fresh.outside_group(key, cell, zone, 4)))
    for key in range(parts.DRAWN_KEYS + 40):
        shared.order(key)
    assert shared is parts.rendezvous_orders_of(workers) and len(shared.orders) == parts.DRAWN_KEYS
    Random(1).shuffle(asked)
    for key, cell, zone in asked:
        found = shared.order(key), shared.in_group(key, cell), shared.outside_group(key, cell, zone, 4)
        fresh = parts.RendezvousOrders(workers)
        assert found == (fresh.order(key), fresh.in_group(key, cell), fresh.outside_group(key, cell, zone, 4))


@story
async def test_two_routers_of_different_classes_in_one_process_do_not_hear_of_each_others():
    other_settings = with_changes(
        (("Lanes",), [LODGE | {"Name": "lookup"}, LOOKUP | {"Name": "deposit"}]), of=NODE_SETTINGS
    )
    async with World(writers=2) as one, World(writers=2, settings=other_settings) as two:
        assert (await one.ask("a", req_kind="lodge"))[0] == 200 and (await two.ask("a", req_kind="lodge"))[0] == 400
        assert (await one.ask("b", req_kind="deposit"))[0] == 400 and (await two.ask("b", req_kind="deposit"))[0] == 200
        attempts = []
        for world in (one, two):
            before = decode_attempt_count(world)
            response_task, held = await start_in_decode(world, "c")
            held.respond.set()
            attempts.append(((await response_task)[0], decode_attempt_count(world) - before))
        assert attempts == [(200, 2), (504, 1)]  # the class of this name is safe in one world and unsafe in the other


@story
async def test_a_request_that_names_no_tenant_counts_against_nobodys_share():
    settings_object = with_changes((("Tenants",), [{"Name": "quay", "QuotaPerS": 5.0}]), of=NODE_SETTINGS)
    async with World(settings=settings_object) as world:
        for name, owner in (("a", None), ("b", "unknown"), ("c", "quay")):
            assert (await world.ask(name, req_owner=owner))[0] == 200
        assert [len(tenant.arrivals) for tenant in world.node.core.router.admission.tenants] == [1]


def batches_of(name, settings_object):
    """Four batches for one instance: its start with a list of workers, a request of each class, all reminders, none."""
    class_count = len(settings_object["Lanes"])
    start = (
        f"POWER_ON {name} 7 {json.dumps(settings_object)}\nMEMBERSHIP {name} 1 disk 2\n"
        "ENTRY SERVING 0 10.0.0.1:5000 1 0 0 -\nENTRY SERVING 0 10.0.0.2:5000 1 0 1 -\n"
    )
    requests = "".join(
        f"WORK_ITEM {name} q{index} 256 - abc {index} - 800 {index} - 0.9 0\n" for index in range(class_count)
    )
    reminders = "".join(f"REMINDER {name} {number}\n" for number in range(1, 20))
    return [start, requests, reminders, ""]


def adapter(batches):
    out, text = io.StringIO(), ""
    for number, batch in enumerate(batches):
        text += f"BATCH {5 + number / 10}\n{batch}COMMIT\n"
    drill.serve(io.StringIO(text), out)
    return [reply.splitlines() for reply in out.getvalue().split("NEXT\n")[:-1]]


def test_instances_of_the_bench_adapter_with_different_settings_act_as_each_does_alone():
    ours, others = batches_of("router_0", SETTINGS), batches_of("router_1", OTHER)
    alone = [adapter(ours), adapter(others)]
    together = adapter([one + other for one, other in zip(ours, others)])
    for number, name in enumerate(("router_0", "router_1")):
        own = [[line for line in reply if line.split()[1] == name] for reply in together]
        assert own == alone[number] and any("ATTEMPT" in line for reply in own for line in reply)


def test_an_instance_that_starts_again_with_other_settings_acts_as_a_first_one():
    before, after = batches_of("router_0", SETTINGS), batches_of("router_0", OTHER)
    after[0] = "POWER_OFF router_0\n" + after[0]
    quiet = [""] * len(before)
    assert adapter(before + after)[len(before) :] == adapter(quiet + after)[len(before) :]
