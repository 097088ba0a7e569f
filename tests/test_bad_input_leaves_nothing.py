"""Misbehaving clients and workers leave nothing behind in the router: no request, attempt, connection, task or descriptor.

Each client gets the expected error, and each attempt the expected outcome. All peers run in this process, so that their
descriptors and tasks are counted as well.
"""

import asyncio
import gc
import os
import socket
from collections import deque

import pytest
from platform_rig import SETTINGS, World, answer, question
from rig import Rig, story
from test_descriptors import GONE
from test_engines import ENDINGS as ENGINES_ENDINGS
from test_front import SHAPES
from test_platform_input import BAD
from test_platform_workers import ENDINGS

from ramppulley import door
from ramppulley.fronts.platform import server
from ramppulley.standin.platform import DECLINED, EVENTS, GOOD, HEAD
from ramppulley.wire import http
from ramppulley.wire.sockets import connect

SETTINGS_WITHOUT_PROBES = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
ANY_OUTCOME = None  # the outcome is not checked
CANCELLED_OR_TIMED_OUT = (
    door.UNDONE,
    door.TOO_SLOW,
)  # by the decision module or by the attempt's timeout, whichever comes first
PREFILL_ANSWER = http.response(202, {}, b"{}")


@pytest.fixture(autouse=True, scope="module")
def freeze_imported_objects():
    gc.freeze()  # else each garbage collection here would scan all imported objects
    yield
    gc.unfreeze()


async def wait_until(condition, timeout_s=6.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def resources_of_process():
    return {"descriptors": len(os.listdir("/proc/self/fd")), "tasks": len(asyncio.all_tasks())}


def resources_of_node(world):
    """Counts everything that a request, connection or attempt could leave in the router or at its workers."""
    node = world.node
    for worker in node.engines.workers.values():
        for transport, _ in list(worker.connections.idle):
            worker.connections.evict(
                transport
            )  # idle connections may stay open; they are closed so that the counts are zero
    front = node.front
    return {
        "to workers": node.engines.budget.open,
        "idle": len(node.engines.budget.idle),
        "lives": len(node.core.requests),
        "questions": len(node.core.router.requests),
        "sent": len(node.core.router.admission.new_requests),
        "attempts and releases": len(node.engines.tasks),
        "owed": len(node.engines.releases.pending) + len(node.engines.releases.running),
        "states": len(world.yard),
        "clients": len(front.listener.tasks),
        "open": len(front.open_requests),
        "new, refused, idle clients": len(front.new_connections)
        + len(front.lingering_connections)
        + len(front.idle_connections),
    }


async def assert_resources_return_to(resources, before, timeout_s=6.0):
    """Waits until the counts are as before; fails with the difference."""
    try:
        await wait_until(lambda: resources() == before, 0.3)
    except TimeoutError:
        gc.collect()  # unreferenced objects do not count
        try:
            await wait_until(lambda: resources() == before, timeout_s)
        except TimeoutError:
            assert resources() == before


async def assert_nothing_left(play, sockets=256):
    """Runs one misbehaving peer against a router that has served a request; a regular request must succeed afterwards."""
    async with World(readers=2, writers=2, sockets=sockets, settings=SETTINGS_WITHOUT_PROBES) as world:
        await wait_until(lambda: world.list.watches)
        assert (await world.ask("before"))[0] == 200
        await world.settled()

        def resources():
            return resources_of_node(world) | resources_of_process()

        gc.collect()
        await wait_until(lambda: not world.node.front.listener.tasks)
        await wait_until(lambda: resources()["to workers"] == 0 == sum(len(w.listener.tasks) for w in world.workers))
        before = resources()
        assert not any(count for what, count in before.items() if what not in ("descriptors", "tasks"))
        await play(world)
        for worker in world.workers:
            worker.scripts = deque()
        await assert_resources_return_to(resources, before)
        number = 0
        while (await world.ask(f"after-{number}"))[0] != 200:  # a worker may be suspect for a while
            number += 1
            assert number < 40
            await asyncio.sleep(0.1)
        assert not any(fault in world.lines.text for fault in ("connector fault", "module fault", "Traceback"))


# Clients


def send_and_expect(data, status):
    """Sends `data`, expects an answer with `status` and then the end of the connection."""

    async def play(world):
        transport = await world.connect()
        sending = asyncio.create_task(transport.send(data))
        assert (await answer(transport))[0] == status
        async with asyncio.timeout(3):
            assert await transport.receive() == b""
        await asyncio.gather(sending, return_exceptions=True)
        transport.close()
        assert not any(worker.of("POST")[1:] for worker in world.workers)

    return play


def send_and_leave(data, leave):
    """Five clients send as much as they can in 20 ms and leave."""

    async def play(world):
        transports = [await world.connect() for _ in range(5)]
        sending = [asyncio.create_task(transport.send(data)) for transport in transports]
        await asyncio.wait(sending, timeout=0.02)
        for transport in transports:
            getattr(transport, leave)()
        await asyncio.gather(*sending, return_exceptions=True)

    return play


async def send_byte_by_byte(world):
    transport, data = await world.connect(), question("q-1")
    for position in range(len(data)):
        await transport.send(data[position : position + 1])
        await asyncio.sleep(0)
    assert (await answer(transport))[0] == 200
    transport.close()


async def send_chunked_body(world):
    transport = await world.connect()
    request_head, body = question("q-1").split(b"\r\n\r\n")
    lines = [line for line in request_head.split(b"\r\n") if not line.startswith(b"content-length")]
    await transport.send(b"\r\n".join([*lines, b"transfer-encoding: chunked", b"", b""]))
    for position in range(len(body)):
        await transport.send(http.chunk(body[position : position + 1]))
    await transport.send(http.LAST_CHUNK)
    assert (await answer(transport))[0] == 200
    assert any(entry[3] == body for reader in world.readers for entry in reader.of("POST"))
    transport.close()


async def open_many_connections(world):
    transports = [await world.connect() for _ in range(2 * world.node.front.listener.max_connections)]
    await asyncio.sleep(0.05)
    for transport in transports:
        transport.close()


async def send_nothing(world):
    transport = await world.connect()
    assert await transport.receive() == b""
    transport.close()


async def stop_within_first_request(world):
    transport = await world.connect()
    await transport.send(question("q-1")[:-5])
    assert (await answer(transport))[0] == 408
    transport.close()


async def stop_after_100_continue(world):
    transport = await world.connect()
    request_head, _ = question("q-1", expect="100-continue").split(b"\r\n\r\n")
    await transport.send(request_head + b"\r\n\r\n")
    assert b"100 Continue" in await transport.receive()
    assert (await answer(transport))[0] == 408
    transport.close()


async def stop_within_second_request(world):
    transport = await world.connect()
    assert (await world.ask("q-1", transport))[0] == 200
    await transport.send(question("q-2")[:-5])
    assert (await answer(transport))[0] == 408
    transport.close()


async def stay_idle_until_closed(world):
    transport = await world.connect()
    assert (await world.ask("q-1", transport))[0] == 200
    assert await transport.receive() == b""
    transport.close()


async def never_answer(transport):
    await transport.receive()


async def send_during_open_request(world):
    for reader in world.readers:
        reader.scripts.append(never_answer)
    transport = await world.connect()
    await transport.send(question("q-1"))
    await wait_until(lambda: world.node.front.open_requests)
    await transport.send(question("q-2"))
    assert (await answer(transport))[0] == 400
    transport.close()


async def reuse_id_of_open_request(world):
    for reader in world.readers:
        reader.scripts.append(never_answer)
    first = await world.connect()
    await first.send(question("q-1"))
    await wait_until(lambda: world.node.front.open_requests)
    assert (await world.ask("q-1"))[0] == 409 and world.node.front.open_requests
    first.close()


async def exceed_request_limit(world):
    for reader in world.readers:
        reader.scripts.append(never_answer)
    first, world.node.front.max_requests = await world.connect(), 1
    await first.send(question("q-1"))
    await wait_until(lambda: world.node.front.open_requests)
    assert (await world.ask("q-2"))[0] == 503
    first.reset()
    world.node.front.max_requests = 40


def leave_during(role, leave, kind="lookup"):
    """A client leaves while a worker with this role has its request."""

    async def play(world):
        workers = world.readers if role == "read" else world.writers
        for worker in workers:
            worker.scripts.append(never_answer)
        transport = await world.connect()
        await transport.send(question("q-1", req_kind=kind))
        await wait_until(lambda: any(len(worker.scripts) == 0 for worker in workers))
        getattr(transport, leave)()

    return play


async def never_read_answer(world):
    async def send_large_stream(transport):
        world.yard.discard("q-1")
        await transport.send(HEAD)
        for _ in range(400):
            await transport.send(http.chunk(b"data: " + b"x" * 32_000 + b"\n\n"))

    for writer in world.writers:
        writer.scripts.append(send_large_stream)
    transport = await world.connect()
    transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await transport.send(question("q-1"))
    await wait_until(lambda: "q-1" in world.node.front.open_requests)
    await wait_until(lambda: not world.node.front.open_requests)
    transport.close()


HOST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HOST + b"Transfer-Encoding: chunked\r\n\r\n"
CLIENTS = {
    **{name: send_and_expect(data, status) for name, (data, status) in BAD.items()},
    **{
        f"{name}, then {leave}": send_and_leave(data, leave)
        for name, data in GONE.items()
        for leave in ("close", "reset")
    },
    "a limit of zero": send_and_expect(question("q-1", req_deadline_ms="0"), 400),
    "a limit that is too large": send_and_expect(question("q-1", req_deadline_ms="9" * 10), 400),
    "a limit with a fraction": send_and_expect(question("q-1", req_deadline_ms="1.5"), 400),
    "an id that is too long": send_and_expect(question("q" * 129), 400),
    "an id of other letters": send_and_expect(question("q 1"), 400),
    "an extra that is too large": send_and_expect(question("q-1", req_extra="max_out=" + "9" * 40), 400),
    "a path of the router's own": send_and_expect(question("q-1").replace(b"/v1/chat/completions", b"/-/none"), 404),
    "an absolute target": send_and_expect(question("q-1").replace(b" /v1", b" http://a/v1"), 404),
    "an upgrade": send_and_expect(HOST + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n", 400),
    "a head with too many fields": send_and_expect(
        HOST + b"".join(b"a%d: b\r\n" % i for i in range(140)) + b"\r\n", 431
    ),
    "a target without end": send_and_expect(b"POST /" + b"x" * 90_000, 431),
    "two hosts": send_and_expect(HOST + b"Host: b\r\nContent-Length: 0\r\n\r\n", 400),
    "lines without CR": send_and_expect(question("q-1").replace(b"\r\n", b"\n"), 400),
    "another coding": send_and_expect(HOST + b"Transfer-Encoding: gzip\r\n\r\n", 400),
    "a chunk of no size": send_and_expect(CHUNKED + b"zz\r\n", 400),
    "a chunk of a negative size": send_and_expect(CHUNKED + b"-5\r\n", 400),
    "a chunk of a size past all bounds": send_and_expect(CHUNKED + b"f" * 40 + b"\r\n", 400),
    "chunks over the bound of a body": send_and_expect(CHUNKED + b"80000\r\n" + b"x" * 300_000, 413),
    "one byte over the bound of a body": send_and_expect(question("q-1", b"x" * (server.MAX_BODY_BYTES + 1)), 413),
    "byte by byte": send_byte_by_byte,
    "a body in chunks": send_chunked_body,
    "many connections": open_many_connections,
    "nothing": send_nothing,
    "all but the end": stop_within_first_request,
    "a head, then nothing after 100 Continue": stop_after_100_continue,
    "all but the end of a second request": stop_within_second_request,
    "nothing after an answer": stay_idle_until_closed,
    "a request while one is out": send_during_open_request,
    "the id of an open request": reuse_id_of_open_request,
    "one request too many": exceed_request_limit,
    "its answer is never read": never_read_answer,
    **{
        f"goes by {leave} during a {role} of {kind}": leave_during(role, leave, kind)
        for role in ("read", "write")
        for leave in ("close", "reset", "shutdown_write")
        for kind in ("lookup", "lodge")
    },
}


SHORTER_TIMEOUTS = {  # in seconds, to keep the tests of stalled clients short
    send_nothing: {"FIRST_BYTE_TIMEOUT_S": 0.1},
    stop_within_first_request: {"FIRST_REQUEST_TIMEOUT_S": 0.1},
    stop_after_100_continue: {"FIRST_REQUEST_TIMEOUT_S": 0.2},
    stop_within_second_request: {"SLOW_CLIENT_TIMEOUT_S": 0.2},
    stay_idle_until_closed: {"IDLE_TIMEOUT_S": 0.2},
    never_read_answer: {"SLOW_CLIENT_TIMEOUT_S": 0.2},
}


@pytest.mark.parametrize("name", CLIENTS)
def test_after_a_bad_client_nothing_is_left(name, monkeypatch):
    for setting, seconds in SHORTER_TIMEOUTS.get(CLIENTS[name], {}).items():
        monkeypatch.setattr(server, setting, seconds)
    story(lambda: assert_nothing_left(CLIENTS[name]))()


# Workers


def send_slowly(data, count=1, pause=0.0):
    async def script(transport):
        for position in range(0, len(data), count):
            await transport.send(data[position : position + count])
            await asyncio.sleep(pause)

    return script


def send_without_end(response_head, data, pause=0.002):
    async def script(transport):
        await transport.send(response_head)
        while True:
            await transport.send(data)
            await asyncio.sleep(pause)

    return script


def send_then_close(data):
    async def script(transport):
        await transport.send(data)
        transport.close()

    return script


def send_then_stall(data):
    async def script(transport):
        await transport.send(data)
        await never_answer(transport)

    return script


def send_with_delay(data, seconds, more):
    async def script(transport):
        await transport.send(data)
        await asyncio.sleep(seconds)
        await transport.send(more)

    return script


class ResponseStarted:
    """The script of a response that has started: its worker has fetched the KV state."""

    def __init__(self, script):
        self.script = script


def response_head(line, *fields):
    return b"\r\n".join([b"HTTP/1.1 " + line, *fields, b"", b""])


EMPTY_BODY = b"Content-Length: 0"
WORKERS = {
    **{why: (role, script, outcome) for why, role, script, outcome in ENDINGS if outcome != door.TOO_SLOW},
    "a read in single bytes": ("read", send_slowly(PREFILL_ANSWER), door.READ),
    "a stream in single bytes": ("write", ResponseStarted(send_slowly(GOOD)), door.DONE),
    "half a head, then a close": ("read", send_then_close(PREFILL_ANSWER[:20]), door.CUT),
    "half a body, then a close": ("read", send_then_close(PREFILL_ANSWER[:-1]), door.CUT),
    "half an event, then a close": ("write", send_then_close(HEAD + http.chunk(EVENTS[0][:9])), door.CUT),
    "an event, then a close": ("write", ResponseStarted(send_then_close(HEAD + http.chunk(EVENTS[0]))), door.CUT),
    "an event, then noise": ("write", HEAD + http.chunk(EVENTS[0]) + b"\xff\x00noise", ANY_OUTCOME),
    "a whole stream, then a close": ("write", ResponseStarted(send_then_close(GOOD)), door.DONE),
    "a second answer 5 ms later": (
        "write",
        ResponseStarted(send_with_delay(GOOD, 0.005, http.response(503, DECLINED))),
        door.DONE,
    ),
    "a second answer 50 ms later": ("read", send_with_delay(PREFILL_ANSWER, 0.05, PREFILL_ANSWER), door.READ),
    "an answer for another id": ("read", http.response(202, {"Req-Id": "another"}, b"{}"), door.READ),
    "a read without end": ("read", send_without_end(http.response_head(202, {}), http.chunk(b"x" * 9000)), door.FAULT),
    "hints without end": ("read", send_without_end(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"), CANCELLED_OR_TIMED_OUT),
    "a head without end, in bytes": ("read", send_without_end(b"HTTP/1.1 200 OK\r\nA: ", b"x"), CANCELLED_OR_TIMED_OUT),
    "an event without end": ("write", send_without_end(HEAD, http.chunk(b"data: " + b"x" * 9000)), door.SPOILT),
    "comments without end": ("write", ResponseStarted(send_without_end(HEAD, http.chunk(b": x\n\n"))), ANY_OUTCOME),
    "silence": ("read", never_answer, CANCELLED_OR_TIMED_OUT),
    "a head and silence": ("write", send_then_stall(HEAD), CANCELLED_OR_TIMED_OUT),
    "status 100 alone, then a close": ("read", send_then_close(response_head(b"100 Continue")), door.CUT),
    "status 101": ("read", response_head(b"101 Switching", b"Connection: Upgrade", b"Upgrade: x"), door.FAULT),
    "status 204": ("read", response_head(b"204 No Content"), door.FAULT),
    "status 304": ("read", response_head(b"304 Not Modified"), door.FAULT),
    "status 302": ("read", response_head(b"302 Found", b"Location: /", EMPTY_BODY), door.FAULT),
    "status 400": ("write", http.response(400, {}), door.FAULT),
    "status 404": ("write", http.response(404, {}), door.FAULT),
    "status 429": ("write", http.response(429, DECLINED), door.FAULT),
    "status 599": ("write", response_head(b"599 What", EMPTY_BODY), door.FAULT),
    "status 999": ("write", response_head(b"999 What", EMPTY_BODY), ANY_OUTCOME),
    "status 20": ("write", response_head(b"20 OK", EMPTY_BODY), door.SPOILT),
    "status of four digits": ("write", response_head(b"2000 OK", EMPTY_BODY), door.SPOILT),
    "status that is no number": ("write", response_head(b"two OK", EMPTY_BODY), door.SPOILT),
    "another protocol": ("write", b"SSH-2.0-x\r\n\r\n", door.SPOILT),
    "HTTP/1.0 up to the close": ("read", send_then_close(b"HTTP/1.0 202 OK\r\n\r\n{}"), door.FAULT),
    "a negative length": ("read", response_head(b"202 OK", b"Content-Length: -1"), door.FAULT),
    "a length that is no number": ("read", response_head(b"202 OK", b"Content-Length: x"), door.FAULT),
    "a length past all bounds": ("read", response_head(b"202 OK", b"Content-Length: " + b"9" * 40), door.FAULT),
    "a length that is never reached": (
        "read",
        send_then_stall(response_head(b"202 OK", b"Content-Length: 9") + b"{"),
        CANCELLED_OR_TIMED_OUT,
    ),
    "two lengths": ("read", response_head(b"202 OK", b"Content-Length: 0", b"Content-Length: 1"), door.FAULT),
    "a length and chunks": (
        "read",
        response_head(b"202 OK", b"Content-Length: 2", b"Transfer-Encoding: chunked"),
        door.FAULT,
    ),
    "a chunk of a size past all bounds": ("write", HEAD + b"f" * 40 + b"\r\n", door.SPOILT),
    "a chunk of a negative size": ("write", HEAD + b"-5\r\n", door.SPOILT),
    "a stream where a read was asked for": ("read", GOOD, door.FAULT),
    "a report that is noise": ("read", http.response(202, {"Srv-Load": "\x01noise{"}, b"{}"), ANY_OUTCOME),
}


def record_outcomes(world, role):
    outcomes, router = [], world.node.core.router
    outcome = router.outcome

    def record_outcome(now, view, send, what, *rest):
        if send.worker.endpoint.role == role:
            outcomes.append(what)
        outcome(now, view, send, what, *rest)

    router.outcome = record_outcome
    return outcomes


def with_kv_state(world, role, script, outcome):
    """A worker that prefills, or fetches the KV state, before it answers, whatever the answer is."""
    begun = isinstance(script, ResponseStarted) or (isinstance(script, bytes) and HEAD in script)
    script = script.script if isinstance(script, ResponseStarted) else script

    async def play(transport):
        if role == "read" and outcome != door.NO_ROOM:
            world.yard.add("q-1")
        elif role == "write" and begun:
            world.yard.discard("q-1")
        await (transport.send(script) if isinstance(script, bytes) else script(transport))

    return play


@pytest.mark.parametrize("name", WORKERS)
def test_after_a_bad_worker_nothing_is_left(name):
    role, script, outcome = WORKERS[name]
    kind = "lookup" if role == "read" else "lodge"  # unsafe: a decode that has started may not run twice

    async def play(world):
        workers = world.readers if role == "read" else world.writers
        scripts, outcomes = deque([with_kv_state(world, role, script, outcome)]), record_outcomes(world, role)
        for worker in workers:
            worker.scripts = scripts  # the first worker called plays the script
        limit = "200" if outcome in (CANCELLED_OR_TIMED_OUT, ANY_OUTCOME) else "2000"
        try:
            async with asyncio.timeout(0.6 if name == "comments without end" else 4.0):
                status, _, _, whole = await world.ask("q-1", req_kind=kind, req_deadline_ms=limit)
        except TimeoutError:
            assert name == "comments without end"  # the stream continues after the client has left
            return
        assert (status == 200) or (whole and status >= 400)
        expected = outcome if outcome is CANCELLED_OR_TIMED_OUT else (outcome,)
        assert not scripts and (outcome is ANY_OUTCOME or outcomes[0] in expected)

    story(lambda: assert_nothing_left(play))()


# The OpenAI front: a smaller set of cases


def resources_of_rig(rig):
    engines, front = rig.daemon.engines, rig.daemon.front
    for worker in engines.workers.values():
        connections = worker.connections
        for transport, _ in list(connections.idle):
            connections.evict(transport)
        if connections.reserved is not None:
            connections.evict(connections.reserved)
            connections.reserved = None
    return {
        "to workers": sum(worker.connections.budget.open for worker in engines.workers.values()),
        "lives": rig.pools.pending(),
        "questions": sum(len(core.router.requests) for core in rig.pools.cores.values()),
        "attempts and releases": len(engines.tasks) + len(engines.calls),
        "states": len(rig.fleet.yard.states),
        "clients": len(front.listener.tasks),
        "idle clients": len(front.idle_connections),
    }


async def assert_nothing_left_on_openai_front(play):
    async with Rig({"listen": {"slow_s": 0.3}}) as rig:
        assert (await rig.chat()).done

        def resources():
            return resources_of_rig(rig) | resources_of_process()

        gc.collect()
        await wait_until(lambda: not any(resources_of_rig(rig).values()))
        await wait_until(lambda: not any(standin.listener.tasks for standin in rig.fleet.standins.values()))
        before = resources()
        await play(rig)
        await assert_resources_return_to(resources, before)
        async with asyncio.timeout(5):
            while not (await rig.chat()).done:  # a worker may be suspect for a while
                await asyncio.sleep(0.1)


def send_to_rig(data, leave=None):
    async def play(rig):
        transport = await connect("127.0.0.1", rig.port, 1.0)
        sending = asyncio.create_task(transport.send(data))
        if leave is None:
            assert (await answer(transport))[0] in range(400, 432)
        else:
            await asyncio.wait({sending}, timeout=0.02)
            getattr(transport, leave)()
        await asyncio.gather(sending, return_exceptions=True)
        transport.close()

    return play


BODY = b'{"model":"a-model","messages":[{"role":"user","content":"hi"}]}'
HALF_REQUEST = http.request("POST", "/v1/chat/completions", {"host": "x", "content-type": "application/json"}, BODY)[
    :-9
]
OPENAI_CLIENTS = {
    **{repr(shape[:40]): send_to_rig(shape) for shape in SHAPES},
    "half a request, then a close": send_to_rig(HALF_REQUEST, "close"),
    "half a request, then a reset": send_to_rig(HALF_REQUEST, "reset"),
    "half a request, then nothing": send_to_rig(HALF_REQUEST),
    "many requests, then a reset": send_to_rig(http.request("GET", "/healthz", {"host": "x"}) * 2000, "reset"),
}


@pytest.mark.parametrize("name", OPENAI_CLIENTS)
def test_after_a_bad_client_of_the_openai_front_nothing_is_left(name):
    story(lambda: assert_nothing_left_on_openai_front(OPENAI_CLIENTS[name]))()


OPENAI_WORKERS = {
    why: (role, script)
    for why, script, role, outcome in ENGINES_ENDINGS
    if role in ("read", "write") and outcome not in (door.TOO_SLOW, door.DONE, door.READ)
}


#: In these the engine has fetched the KV state, or has none.
STATE_GONE = {
    "reset after the first token",
    "cut within a chunk",
    "a stream without its end",
    "state gone",
    "an error event",
    "an event after the end",
}


@pytest.mark.parametrize("name", OPENAI_WORKERS)
def test_after_a_bad_worker_of_the_openai_side_nothing_is_left(name):
    role, script = OPENAI_WORKERS[name]

    async def play(rig):
        calls = []

        def answer_first_call(original):
            async def answer_once(transport, request):
                if calls or not request.path.startswith("/v1/"):
                    return await original(transport, request)
                calls.append(request)
                for key in list(rig.fleet.yard.states) if name in STATE_GONE else ():
                    rig.fleet.yard.release(key)
                await (script(transport) if callable(script) else transport.send(script))
                return False

            return answer_once

        for standin in rig.fleet.standins.values():
            if standin.engine.kind.role == role:
                standin._answer = answer_first_call(standin._answer)
        answered = await rig.chat(patience=3.0)
        assert calls and answered.status >= 200

    story(lambda: assert_nothing_left_on_openai_front(play))()
