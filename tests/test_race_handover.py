"""Races around the hand-over from prefill to decode that are rare in production, each forced over real connections."""

import asyncio
import time
from functools import partial

import pytest
from platform_rig import SETTINGS, World, question, stand_still
from rig import story

from ramppulley.engines.connections import MIN_IDLE_S
from ramppulley.standin.platform import EVENTS, GOOD, HEAD
from ramppulley.wire import http

WHOLE = b"".join(EVENTS)
PREFILL_RESPONSE = http.response(202, {}, b"{}")
GONE = http.response(410, {"srv-declined": "1"})
DECLINED = http.response(503, {"srv-declined": "1"})
# no probe opens a connection
NO_PROBES = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
# connects on a busy machine do not time out
PLAIN = NO_PROBES | {"Bounds": NO_PROBES["Bounds"] | {"ConnectTimeoutS": 2.0}}
SHORT_TIMEOUT = PLAIN | {"Lanes": [lane | {"AimS": 0.1} for lane in PLAIN["Lanes"]]}  # an attempt times out after 0.2 s
RELEASE_S, SLACK_S = SETTINGS["Specifics"]["ReleaseS"], 0.3


def posted_ids(workers):
    return [entry[2] for worker in workers for entry in worker.of("POST")]


def releases(workers):
    return [entry for worker in workers for entry in worker.of("DELETE")]


async def heard_in_order(world, workers):
    """Probes each worker in order, so that the first has the least recent response; connections stay open."""
    for worker in workers:
        endpoint = world.node.endpoints.workers.endpoints[worker.name]
        world.node.engines.releases.last_response.pop(endpoint, None)
        world.node.engines.probe(world.node.core, endpoint)
        await world.until(lambda endpoint=endpoint: endpoint in world.node.engines.releases.last_response)


async def until_closed(transport):
    """Waits until the router closes or resets this connection."""
    try:
        await transport.receive()
    except OSError:
        pass


# The prefill worker, between prefill and decode


@pytest.mark.parametrize("kind", ["lookup", "lodge"])
@pytest.mark.parametrize(
    "listed", [False, True], ids=["before the list update", "list update in the same loop iteration"]
)
def test_a_holder_that_starts_anew_after_its_read_has_the_request_read_again(listed, kind):
    @story
    async def scenario():
        async with World(writers=2, settings=PLAIN) as world:
            reader = world.readers[0]

            async def prefill_and_lose_state(transport):
                if listed:
                    world.list.tell(world.entry(reader, born=int(time.time() * 1000) - 60_000))
                transport.sock.send(PREFILL_RESPONSE)  # its KV state is lost

            reader.scripts.append(prefill_and_lose_state)
            assert (await world.ask("q-1", req_kind=kind))[2:] == (WHOLE, True)
            assert len(posted_ids(world.readers)) == len(posted_ids(world.writers)) == 2
            await world.settled()

    scenario()


@story
async def test_a_holder_that_drains_after_its_read_keeps_the_state_for_the_decode():
    async with World(settings=PLAIN) as world:
        reader = world.readers[0]

        async def prefill(transport):
            world.yard.add("q-1")
            world.list.tell(world.entry(reader, "Terminating"))
            await world.until(lambda: "draining" in world.lines.text)
            transport.sock.send(PREFILL_RESPONSE)

        reader.scripts.append(prefill)
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        assert len(posted_ids(world.readers)) == len(posted_ids(world.writers)) == 1


@story
async def test_a_decode_worker_that_drains_while_the_prompt_is_read_is_not_sent_the_decode():
    async with World(writers=2, settings=PLAIN) as world:
        first, other = world.writers

        async def prefill(transport):
            world.yard.add("q-1")
            world.list.tell(world.entry(first, "Terminating"))
            await world.until(lambda: "draining" in world.lines.text)
            transport.sock.send(PREFILL_RESPONSE)

        world.readers[0].scripts.append(prefill)
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        assert (posted_ids([first]), posted_ids([other])) == ([], ["q-1"])


@story
async def test_a_state_that_was_fetched_by_a_decode_that_broke_is_not_fetched_twice():
    async with World(writers=3, settings=PLAIN | {"Bounds": PLAIN["Bounds"] | {"SendCap": 6}}) as world:
        fetched = []

        async def decode(transport):
            if "q-1" not in world.yard:
                await transport.send(GONE)
                return
            world.yard.discard("q-1")
            fetched.append(transport)
            if len(fetched) == 1:
                transport.reset()
            else:
                await transport.send(GOOD)

        for writer in world.writers:
            writer.scripts.extend([decode] * 2)
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        assert len(posted_ids(world.readers)) == len(fetched) == 2
        await world.settled()


# One attempt at a time


@story
async def test_the_next_attempt_begins_after_the_last_ones_connection_was_closed():
    async with World(readers=2, settings=SHORT_TIMEOUT) as world:
        order = []

        async def prefill(transport):
            order.append("begun")
            if len(order) > 1:
                world.yard.add("q-1")
                await transport.send(PREFILL_RESPONSE)
                return
            await until_closed(transport)
            order.append("over")

        for reader in world.readers:
            reader.scripts.append(prefill)
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        assert order == ["begun", "over", "begun"]
        await world.settled()


# Releases


@story
async def test_a_release_comes_after_the_worker_saw_that_its_read_was_given_up():
    async with World(settings=PLAIN) as world:
        reader, client, releases_before = world.readers[0], await world.connect(), []

        async def prefill(transport):
            client.close()
            await until_closed(transport)
            world.yard.add("q-1")  # the prefill had finished when the close arrived
            releases_before.extend(releases(world.workers))

        reader.scripts.append(prefill)
        await client.send(question("q-1"))
        await world.until(lambda: releases(world.workers))
        await world.settled()
        assert not releases_before


@story
async def test_what_a_prefill_leaves_whose_worker_sees_its_close_late_is_released_in_time():
    """On a slow link the close arrives after the release, which went to another worker."""
    async with World(settings=PLAIN) as world:
        reader, client, left_at = world.readers[0], await world.connect(), []

        async def prefill(transport):
            client.close()
            await until_closed(transport)
            await asyncio.sleep(0.1)  # network delay of the close
            world.yard.add("q-1")
            left_at.append(time.monotonic())

        reader.scripts.append(prefill)
        await client.send(question("q-1"))
        await world.until(lambda: left_at)
        await asyncio.sleep(RELEASE_S + SLACK_S)
        still_held = "q-1" in world.yard
        world.yard.clear()
        assert not still_held


@story
async def test_a_state_is_not_released_while_a_decode_is_out_for_it():
    async with World(settings=PLAIN) as world:
        client, releases_seen = await world.connect(), []

        async def decode(transport):
            client.close()
            await until_closed(transport)
            releases_seen.append(len(releases(world.workers)))

        world.writers[0].scripts.append(decode)
        await client.send(question("q-1"))
        await world.until(lambda: releases(world.workers))
        await world.settled()
        assert releases_seen == [0]


@story
async def test_a_release_does_not_overtake_the_close_of_the_decode_that_waits_for_the_state():
    """A release frees state that no attempt waits for: before the decode's close it frees nothing and the state leaks."""
    async with World(settings=PLAIN) as world:
        client, releases_seen = await world.connect(), []

        async def decode(transport):
            client.close()
            await until_closed(transport)
            await asyncio.sleep(0.01)  # another worker responds first
            releases_seen.append(len(releases(world.workers)))

        world.writers[0].scripts.append(decode)
        await client.send(question("q-1"))
        await world.until(lambda: releases(world.workers))
        await world.settled()
        assert releases_seen == [0]


@story
async def test_a_release_that_is_under_way_is_heard_before_the_next_attempt_is_written():
    async with World(readers=2, settings=PLAIN) as world:
        order = []
        await heard_in_order(world, world.workers)  # each has an idle connection: the next attempt can start at once
        await asyncio.sleep(1.5 * MIN_IDLE_S)
        for worker in world.workers:
            worker.takes = 0.05

        async def prefill(transport):
            order.append(len(releases(world.workers)))
            if len(order) == 1:
                transport.reset()
                return
            world.yard.add("q-1")
            await transport.send(PREFILL_RESPONSE)

        for reader in world.readers:
            reader.scripts.append(prefill)
        assert (await world.ask("q-1"))[2:] == (WHOLE, True)
        assert order == [0, 1] and len(posted_ids(world.writers)) == 1
        await world.settled()


@story
async def test_what_a_broken_read_left_is_released_in_time_while_the_next_attempts_do_not_connect():
    async with World(readers=5, settings=NO_PROBES) as world:
        broke_at = []

        async def prefill_and_reset(transport):
            for reader in world.readers:
                if reader.log == []:
                    reader.cut_off()
            world.yard.add("q-1")
            broke_at.append(time.monotonic())
            transport.reset()

        for reader in world.readers:
            reader.scripts.append(prefill_and_reset)
        await heard_in_order(world, world.writers)
        for worker in world.writers:
            worker.log.clear()
        response = asyncio.create_task(world.ask("q-1"))
        await world.until(lambda: releases(world.workers))
        assert time.monotonic() - broke_at[0] < RELEASE_S
        assert (await response)[0] == 503
        await world.settled()


@pytest.mark.parametrize(
    "readers, writers, later_responders",
    [(2, 4, 1), (6, 1, 4)],
    ids=["two decodes do not connect", "one decode does not connect and five workers are silent"],
)
def test_a_state_is_released_in_time_where_those_heard_last_are_cut_off(readers, writers, later_responders):
    @story
    async def scenario():
        async with World(readers=readers, writers=writers, settings=NO_PROBES) as world:
            ended_at = []

            async def prefill_and_go_silent(transport, holder):
                alive = next(reader for reader in world.readers if reader is not holder)
                cut_off = [worker for worker in world.workers if worker not in (holder, alive)][::-1]
                await heard_in_order(world, cut_off[later_responders:] + [alive] + cut_off[:later_responders])
                for worker in (holder, *cut_off):
                    worker.cut_off()
                world.yard.add("q-1")
                ended_at.append(time.monotonic())
                transport.sock.send(PREFILL_RESPONSE)  # so that the worker with the KV state responded most recently

            for reader in world.readers:
                reader.scripts.append(partial(prefill_and_go_silent, holder=reader))
            response = asyncio.create_task(world.ask("q-1", req_kind="lodge", req_deadline_ms="1000"))
            await world.until(lambda: releases(world.workers))
            assert time.monotonic() - ended_at[0] < RELEASE_S + SLACK_S
            assert (await response)[0] == 503
            await world.settled()

    scenario()


@story
async def test_a_release_that_nobody_takes_ends_and_holds_up_nothing():
    async with World(settings=NO_PROBES) as world:
        reader = world.readers[0]

        async def prefill_and_go_silent(transport):
            for worker in world.workers:
                worker.cut_off()
            transport.sock.send(PREFILL_RESPONSE)

        reader.scripts.append(prefill_and_go_silent)
        assert (await world.ask("q-1", req_deadline_ms="700"))[0] == 503
        await world.until(lambda: "nobody took the release" in world.lines.text)
        engines = world.node.engines
        await world.until(
            lambda: not engines.releases.running and not engines.releases.pending and not world.node.core.requests
        )


# The first token


@story
async def test_a_decode_that_is_declined_in_the_turn_of_the_deadline_has_its_state_released():
    async with World(writers=2, settings=PLAIN) as world:

        async def decline(transport):
            transport.sock.send(DECLINED)
            stand_still(0.65)

        for writer in world.writers:
            writer.scripts.append(decline)
        assert (await world.ask("q-1", req_deadline_ms="600", req_kind="lodge"))[0] in (503, 504)
        await world.settled()
        assert len(posted_ids(world.writers)) == 1 and releases(world.workers)


@story
async def test_a_first_token_in_the_turn_of_an_attempts_time_out_begins_no_second_decode_of_an_unsafe_request():
    async with World(writers=2, settings=SHORT_TIMEOUT) as world:

        async def decode(transport):
            world.yard.discard("q-1")
            await asyncio.sleep(0.05)
            transport.sock.send(HEAD + http.chunk(EVENTS[0]))
            stand_still(0.65)

        for writer in world.writers:
            writer.scripts.append(decode)
        assert (await world.ask("q-1", req_deadline_ms="600", req_kind="lodge"))[0] == 504
        await world.settled()
        assert posted_ids(world.writers) == ["q-1"]
