"""Orders of events around repeated attempts that are rare in service, each forced over real connections."""

import asyncio
import socket
import time

import pytest
from platform_rig import SETTINGS, World, answer, question, stand_still
from rig import story

from ramppulley.engines.connections import MIN_IDLE_S, MIN_IDLE_UNSAFE_S, IdleConnection
from ramppulley.fronts.platform import server
from ramppulley.standin.platform import EVENTS, GOOD, HEAD
from ramppulley.wire import http

WHOLE = b"".join(EVENTS)
DECLINED = http.answer(503, {"srv-declined": "1"})
READ = http.answer(202, {}, b"{}")
# no probe opens a connection, and a busy machine does not fail one
PLAIN = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False, "ConnectTimeoutS": 2.0}}
HELD = 0.15  # seconds of a handshake: the module gives up a prefill that is silent for 0.6
LARGE = b'{"model":"chat","stream":true,"messages":[' + b" " * 250_000 + b"]}"  # more than a socket takes unread


def connections(world, worker):
    """The router's connections to this worker."""
    return world.node.engines.workers[world.node.endpoints.workers.endpoints[worker.name]].connections


def age(idle, seconds):
    """As if the idle connections had been idle for so much longer."""
    for _ in range(len(idle.idle)):
        transport, since = idle.idle.popleft()
        idle.idle.append(IdleConnection(transport, since - seconds))


def posts(workers):
    return [entry[2] for worker in workers for entry in worker.of("POST")]


def under_way(world):
    """How far each attempt that is out has come, and its worker's role."""
    return [
        (attempt.stage, attempt.endpoint.role)
        for tracked in world.node.core.requests.values()
        for attempt in tracked.open_attempts
    ]


async def idle_after(world, name, worker):
    """Serves one request and returns the worker's connections, of which one is idle then."""
    assert (await world.ask(name))[0] == 200
    kept = connections(world, worker)
    await world.until(lambda: len(kept.idle) == 1)
    return kept


# The deadline


@pytest.mark.parametrize("first", ["the deadline", "the outcome"])
def test_an_outcome_and_the_deadline_in_one_turn_cause_no_further_attempt(first):
    @story
    async def told():
        async with World(readers=2, settings=PLAIN) as world:
            engines = world.node.engines

            async def decline(transport):
                transport.sock.send(DECLINED)
                if first == "the deadline":
                    stand_still(0.25)  # timers run first

            def late_over(core, attempt, end, over=engines._attempt_ended):
                if first == "the outcome":
                    stand_still(0.25)  # the outcome is told after the deadline, and before its reminder
                over(core, attempt, end)

            engines._attempt_ended = late_over
            for reader in world.readers:
                reader.scripts.append(decline)
            status, *_ = await world.ask("q-1", req_deadline_ms="200")
            await world.settled()
            assert status == 503 and posts(world.readers) == ["q-1"]

    told()


@story
async def test_a_deadline_that_passes_before_the_first_byte_ends_the_attempt_unwritten():
    async with World(settings=PLAIN) as world:
        engines = world.node.engines

        def late_request(attempt, kept, request=engines._build_request):
            stand_still(0.25)
            return request(attempt, kept)

        engines._build_request = late_request
        status, *_ = await world.ask("q-1", req_deadline_ms="200")
        await world.settled()
        assert status == 503 and not posts(world.workers)


@story
async def test_a_time_out_shorter_than_a_handshake_may_take_says_nothing_of_the_worker():
    hurried = PLAIN | {"Lanes": [lane | {"AimS": 0.05} for lane in PLAIN["Lanes"]]}
    async with World(settings=hurried) as world:
        world.readers[0].cut_off()
        status, *_ = await world.ask("q-1", req_deadline_ms="600")
        await world.settled()
        assert status == 503 and "doubted" not in world.lines.text


@pytest.mark.parametrize("role, deadline, time_out", [("read", 2500, 2500), ("write", 9000, 3010)])
def test_the_time_told_to_a_worker_is_what_is_left_after_the_handshake(role, deadline, time_out):
    """2,500 ms: the deadline ends the attempt; 9,000 ms: its own time-out, twice the latency target, does."""

    @story
    async def told():
        async with World(settings=PLAIN) as world:
            worker = (world.readers if role == "read" else world.writers)[0]
            kept, come_up = connections(world, worker), asyncio.Event()

            async def held(within, open_one=kept._open):
                await come_up.wait()
                return await open_one(within)

            kept._open = held
            asking = asyncio.create_task(world.ask("q-1", req_deadline_ms=str(deadline)))
            await world.until(lambda: ("connect", role) in under_way(world))
            await asyncio.sleep(HELD)
            come_up.set()
            assert (await asking)[0] == 200
            told = [limit for limit, entry in zip(worker.limits, worker.log) if entry[0] == "POST"]
            assert int(told[0]) <= time_out - 1000 * HELD

    told()


# A second answer on an idle connection


@pytest.mark.parametrize("second", [DECLINED, GOOD, DECLINED[:20]], ids=["declined", "a stream", "half an answer"])
@pytest.mark.parametrize("kind", ["lookup", "lodge"])
def test_a_second_answer_that_comes_before_the_next_request_is_not_taken_for_its_answer(kind, second):
    @story
    async def told():
        async with World(settings=PLAIN) as world:
            writer = world.writers[0]

            async def twice(transport):
                world.yard.discard("q-1")
                await transport.send(GOOD)
                await world.until(lambda: connections(world, writer).idle)
                transport.sock.send(second)

            writer.scripts.append(twice)
            kept = await idle_after(world, "q-1", writer)
            await world.until(kept.idle[0][0].has_unread_bytes)
            age(kept, 1.0)
            assert (await world.ask("q-2", req_kind=kind))[2:] == (WHOLE, True)
            assert posts(world.writers) == ["q-1", "q-2"] and writer.connections == 2

    told()


def declines(transport):
    transport.sock.send(DECLINED)


def answers_half(transport):
    transport.sock.send(DECLINED[:20])


def ends(transport):
    transport.shutdown_write()


def resets(transport):
    transport.reset()


@pytest.mark.parametrize("spoil", [declines, answers_half, ends, resets])
def test_what_comes_before_a_requests_last_byte_on_an_idle_connection_has_it_written_on_another(spoil):
    @story
    async def told():
        async with World(settings=PLAIN) as world:
            writer = world.writers[0]

            async def first(transport):
                world.yard.discard("q-1")
                await transport.send(GOOD)
                await world.until(
                    transport.has_unread_bytes
                )  # the next request has begun; as nobody reads, it cannot end
                spoil(transport)

            writer.scripts.append(first)
            kept = await idle_after(world, "q-1", writer)
            kept.idle[0][0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            age(kept, 1.0)
            transport = await world.connect()
            await transport.send(question("q-2", LARGE, req_kind="lodge"))
            assert (await answer(transport))[2:] == (WHOLE, True)
            transport.close()
            await world.settled()
            assert posts(world.writers) == ["q-1", "q-2"] and writer.connections == 2
            assert "doubted" not in world.lines.text

    told()


@story
async def test_a_second_answer_after_the_write_cannot_have_an_unsafe_request_refused_while_it_runs():
    async with World(settings=PLAIN) as world:
        writer, came, tasks = world.writers[0], asyncio.Event(), []

        async def first(transport):
            async def second():
                await world.until(lambda: len(writer.of("POST")) == 2)
                transport.sock.send(DECLINED)
                came.set()

            world.yard.discard("q-1")
            await transport.send(GOOD)
            tasks.append(asyncio.create_task(second()))

        async def true_answer(transport):
            await came.wait()
            world.yard.discard("q-2")
            await transport.send(GOOD)

        writer.scripts.extend([first, true_answer])
        kept = await idle_after(world, "q-1", writer)
        age(kept, (MIN_IDLE_S + MIN_IDLE_UNSAFE_S) / 3)
        status, _, body, _ = await world.ask("q-2", req_kind="lodge")
        await asyncio.gather(*tasks)
        assert (status, body) == (200, WHOLE) and posts(world.writers) == ["q-1", "q-2"]


@story
async def test_an_unsafe_request_uses_a_connection_that_was_idle_for_long():
    async with World(settings=PLAIN) as world:
        kept = await idle_after(world, "q-1", world.writers[0])
        age(kept, MIN_IDLE_UNSAFE_S)
        assert (await world.ask("q-2", req_kind="lodge"))[0] == 200 and world.writers[0].connections == 1


# Answers that do not end


def endless(head, piece):
    async def script(transport):
        try:
            await transport.send(head)
            while True:
                await transport.send(piece)
                await asyncio.sleep(0.01)
        except OSError:
            pass

    return script


ENDLESS = {
    "a body": ("read", b"HTTP/1.1 202 Accepted\r\ncontent-length: 100000\r\n\r\n", b" "),
    "chunks": ("read", b"HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n", b"1\r\n \r\n"),
    "a head": ("read", b"HTTP/1.1 202 Accepted\r\n", b"a: b\r\n"),
    "a field": ("write", b"HTTP/1.1 200 OK\r\na: ", b"b"),
    "1xx": ("write", b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"),
    "an event": ("write", HEAD + b"fffff\r\ndata: ", b"x"),
    "a declined body": ("write", b"HTTP/1.1 503 No\r\nsrv-declined: 1\r\ncontent-length: 100000\r\n\r\n", b" "),
}


@pytest.mark.parametrize("what", ENDLESS)
def test_an_answer_that_does_not_end_is_given_up_by_the_deadline(what):
    @story
    async def told():
        role, head, piece = ENDLESS[what]
        async with World(settings=PLAIN) as world:
            worker = (world.readers if role == "read" else world.writers)[0]
            worker.scripts.extend([endless(head, piece)] * 4)
            began, deadline = time.monotonic(), 250 if role == "read" else 500  # the decode begins before
            status, *_ = await world.ask("q-1", req_kind="lodge", req_deadline_ms=str(deadline))
            assert 0.8 * deadline < 1000 * (time.monotonic() - began) < deadline + 750
            assert status == (503 if role == "read" else 504) and len(worker.of("POST")) == 1
            await world.settled()

    told()


# Time-outs and cancels that cross an answer


@pytest.mark.parametrize("leaves", [False, True], ids=["the time-out", "the client's close"])
def test_a_read_that_ends_in_the_turn_in_which_it_is_given_up_leaves_nothing(leaves):
    @story
    async def told():
        async with World(settings=PLAIN) as world:
            transport = await world.connect()

            async def read(to):
                world.yard.add("q-1")
                to.sock.send(READ)
                if leaves:
                    transport.close()
                stand_still(0.25)

            world.readers[0].scripts.append(read)
            await transport.send(question("q-1", req_deadline_ms="200"))
            if not leaves:
                assert (await answer(transport))[0] == 503
                assert (await world.ask("q-2", transport))[2:] == (WHOLE, True)  # nothing came after the final answer
                transport.close()
            await world.settled()
            assert "q-1" not in posts(world.writers)

    told()


@pytest.mark.parametrize("turns", range(5))
def test_a_cancel_at_each_turn_after_a_reads_answer_leaves_nothing(turns):
    @story
    async def told():
        async with World(settings=PLAIN) as world:
            core, given_up = world.node.core, asyncio.Event()

            async def read(transport):
                (tracked,) = core.requests.values()
                world.yard.add("q-1")
                transport.sock.send(READ)
                for _ in range(turns):
                    await asyncio.sleep(0)
                core.client_left(tracked)
                given_up.set()

            world.readers[0].scripts.append(read)
            asking = asyncio.create_task(world.ask("q-1"))
            await given_up.wait()
            await world.settled()
            await asyncio.gather(asking, return_exceptions=True)

    told()


@pytest.mark.parametrize("kind, status", [("lookup", 503), ("lodge", 504)])
def test_a_first_token_in_the_turn_of_the_time_out_gets_one_final_answer(kind, status):
    @story
    async def told():
        async with World(settings=PLAIN) as world:

            async def write(transport):
                world.yard.discard("q-1")
                transport.sock.send(HEAD + http.chunk(EVENTS[0]))
                stand_still(0.45)

            world.writers[0].scripts.append(write)
            transport = await world.connect()
            assert (await world.ask("q-1", transport, req_kind=kind, req_deadline_ms="400"))[0] == status
            assert (await world.ask("q-2", transport))[2:] == (WHOLE, True)  # nothing came after the final answer
            transport.close()
            await world.settled()
            assert posts(world.writers) == ["q-1", "q-2"]

    told()


# Repeats of a request id


@pytest.mark.parametrize("turns", range(6))
def test_a_repeat_of_an_id_in_the_turns_in_which_the_first_ends_is_refused(turns):
    @story
    async def told():
        async with World(settings=PLAIN) as world:
            again = await world.connect()

            async def write(transport):
                world.yard.discard("q-1")
                transport.sock.send(GOOD)
                for _ in range(turns):
                    await asyncio.sleep(0)
                again.sock.send(question("q-1"))

            world.writers[0].scripts.append(write)
            status, repeated = (await world.ask("q-1"))[0], (await answer(again))[0]
            again.close()
            assert (status, repeated) == (200, 409) and posts(world.writers) == ["q-1"]

    told()


@story
async def test_an_id_is_remembered_for_the_window_and_served_again_outside_of_it():
    used, server.MAX_ENDED_NAMES = server.MAX_ENDED_NAMES, 3
    try:
        async with World(settings=PLAIN) as world:
            for name in ("q-1", "q-2", "q-3"):
                assert (await world.ask(name))[0] == 200
            assert (await world.ask("q-1"))[0] == 409
            assert (await world.ask("q-4"))[0] == 200
            assert (await world.ask("q-2"))[0] == 409 and (await world.ask("q-1"))[2:] == (WHOLE, True)
            await world.settled()
    finally:
        server.MAX_ENDED_NAMES = used


# An unsafe request whose connection breaks


async def reset_the_connection(transport):
    transport.reset()


@story
async def test_an_unsafe_request_whose_connection_breaks_after_its_last_byte_is_not_sent_again():
    async with World(writers=2, settings=PLAIN) as world:
        for writer in world.writers:
            writer.scripts.append(reset_the_connection)
        assert (await world.ask("q-1", req_kind="lodge"))[0] == 504
        await world.settled()
        assert posts(world.writers) == ["q-1"]


@story
async def test_an_unsafe_request_whose_connection_breaks_within_its_write_is_sent_again():
    async with World(writers=2, settings=PLAIN) as world:
        broken = []
        for writer in world.writers:
            serve, opened = writer.listener.serve, connections(world, writer)

            async def breaks_first(transport, serve=serve):
                if not broken:
                    broken.append(transport)
                    await world.until(
                        transport.has_unread_bytes
                    )  # the first bytes have come; as nobody reads, the last cannot
                    transport.reset()
                    return
                await serve(transport)

            async def small(within, open_one=opened._open):
                transport = await open_one(within)
                transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                return transport

            writer.listener.serve, opened._open = breaks_first, small
        transport = await world.connect()
        await transport.send(question("q-1", LARGE, req_kind="lodge"))
        assert (await answer(transport))[2:] == (WHOLE, True)
        transport.close()
        await world.settled()
        assert broken and posts(world.writers) == ["q-1"]
