"""Bad clients and bad workers: after each of them the router is as it was before.

Each gets its stated answer, and each worker's attempt ends by what it proves. All peers live in this process, so that their
descriptors and tasks count too.
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

PLAIN = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
ANY = None  # any outcome
GIVEN_UP = door.UNDONE, door.TOO_SLOW  # by the module or by the attempt's own time-out, whichever comes first
READ = http.answer(202, {}, b"{}")


@pytest.fixture(autouse=True, scope="module")
def what_was_there_before_is_not_collected():
    gc.freeze()  # else each collection here would walk all that was imported
    yield
    gc.unfreeze()


async def until(true, within=6.0):
    async with asyncio.timeout(within):
        while not true():
            await asyncio.sleep(0.005)


def held_by_process():
    return {"descriptors": len(os.listdir("/proc/self/fd")), "tasks": len(asyncio.all_tasks())}


def held_by_node(world):
    """All that a request, a connection or an attempt may leave in the router, or at its workers."""
    node = world.node
    for worker in node.engines.workers.values():
        for transport, _ in list(worker.connections.idle):
            worker.connections.evict(transport)  # what is idle may stay; closed, it can be counted
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


async def comes_back_to(held, before, within=6.0):
    """Waits until all is as before, or tells what is not."""
    try:
        await until(lambda: held() == before, 0.3)
    except TimeoutError:
        gc.collect()  # what is not referred to any more does not count
        try:
            await until(lambda: held() == before, within)
        except TimeoutError:
            assert held() == before


async def leaves_nothing(play, sockets=256):
    """Plays one bad peer against a router that has served before; a usual request is served after it."""
    async with World(readers=2, writers=2, sockets=sockets, settings=PLAIN) as world:
        await until(lambda: world.list.watches)
        assert (await world.ask("before"))[0] == 200
        await world.settled()

        def held():
            return held_by_node(world) | held_by_process()

        gc.collect()
        await until(lambda: not world.node.front.listener.tasks)
        await until(lambda: held()["to workers"] == 0 == sum(len(w.listener.tasks) for w in world.workers))
        before = held()
        assert not any(count for what, count in before.items() if what not in ("descriptors", "tasks"))
        await play(world)
        for worker in world.workers:
            worker.scripts = deque()
        await comes_back_to(held, before)
        number = 0
        while (await world.ask(f"after-{number}"))[0] != 200:  # a worker may be doubted for a while
            number += 1
            assert number < 40
            await asyncio.sleep(0.1)
        assert not any(fault in world.lines.text for fault in ("connector fault", "module fault", "Traceback"))


# Clients


def sends(data, status):
    """Sends all, reads the answer and then up to the end."""

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


def sends_and_goes(data, leave):
    """Five at once that send what they can and are gone."""

    async def play(world):
        transports = [await world.connect() for _ in range(5)]
        sending = [asyncio.create_task(transport.send(data)) for transport in transports]
        await asyncio.wait(sending, timeout=0.02)
        for transport in transports:
            getattr(transport, leave)()
        await asyncio.gather(*sending, return_exceptions=True)

    return play


async def sends_byte_by_byte(world):
    transport, data = await world.connect(), question("q-1")
    for place in range(len(data)):
        await transport.send(data[place : place + 1])
        await asyncio.sleep(0)
    assert (await answer(transport))[0] == 200
    transport.close()


async def sends_a_body_in_chunks(world):
    transport = await world.connect()
    head, body = question("q-1").split(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"content-length")]
    await transport.send(b"\r\n".join([*lines, b"transfer-encoding: chunked", b"", b""]))
    for place in range(len(body)):
        await transport.send(http.chunk(body[place : place + 1]))
    await transport.send(http.LAST_CHUNK)
    assert (await answer(transport))[0] == 200
    assert any(entry[3] == body for reader in world.readers for entry in reader.of("POST"))
    transport.close()


async def opens_many(world):
    transports = [await world.connect() for _ in range(2 * world.node.front.listener.max_connections)]
    await asyncio.sleep(0.05)
    for transport in transports:
        transport.close()


async def says_nothing(world):
    transport = await world.connect()
    assert await transport.receive() == b""
    transport.close()


async def stops_within_a_request(world):
    transport = await world.connect()
    await transport.send(question("q-1")[:-5])
    assert (await answer(transport))[0] == 408
    transport.close()


async def waits_to_be_told_to_continue_and_stops(world):
    transport = await world.connect()
    head, _ = question("q-1", expect="100-continue").split(b"\r\n\r\n")
    await transport.send(head + b"\r\n\r\n")
    assert b"100 Continue" in await transport.receive()
    assert (await answer(transport))[0] == 408
    transport.close()


async def stops_within_a_second_request(world):
    transport = await world.connect()
    assert (await world.ask("q-1", transport))[0] == 200
    await transport.send(question("q-2")[:-5])
    assert (await answer(transport))[0] == 408
    transport.close()


async def rests_until_it_is_closed(world):
    transport = await world.connect()
    assert (await world.ask("q-1", transport))[0] == 200
    assert await transport.receive() == b""
    transport.close()


async def silent(transport):
    await transport.receive()


async def speaks_while_its_request_is_out(world):
    for reader in world.readers:
        reader.scripts.append(silent)
    transport = await world.connect()
    await transport.send(question("q-1"))
    await until(lambda: world.node.front.open_requests)
    await transport.send(question("q-2"))
    assert (await answer(transport))[0] == 400
    transport.close()


async def bears_the_id_of_an_open_request(world):
    for reader in world.readers:
        reader.scripts.append(silent)
    first = await world.connect()
    await first.send(question("q-1"))
    await until(lambda: world.node.front.open_requests)
    assert (await world.ask("q-1"))[0] == 409 and world.node.front.open_requests
    first.close()


async def is_one_too_many(world):
    for reader in world.readers:
        reader.scripts.append(silent)
    first, world.node.front.max_requests = await world.connect(), 1
    await first.send(question("q-1"))
    await until(lambda: world.node.front.open_requests)
    assert (await world.ask("q-2"))[0] == 503
    first.reset()
    world.node.front.max_requests = 40


def leaves(role, leave, kind="lookup"):
    """A client that goes while a worker in this role has its request."""

    async def play(world):
        workers = world.readers if role == "read" else world.writers
        for worker in workers:
            worker.scripts.append(silent)
        transport = await world.connect()
        await transport.send(question("q-1", req_kind=kind))
        await until(lambda: any(len(worker.scripts) == 0 for worker in workers))
        getattr(transport, leave)()

    return play


async def never_reads(world):
    async def much(transport):
        world.yard.discard("q-1")
        await transport.send(HEAD)
        for _ in range(400):
            await transport.send(http.chunk(b"data: " + b"x" * 32_000 + b"\n\n"))

    for writer in world.writers:
        writer.scripts.append(much)
    transport = await world.connect()
    transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await transport.send(question("q-1"))
    await until(lambda: "q-1" in world.node.front.open_requests)
    await until(lambda: not world.node.front.open_requests)
    transport.close()


HOST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HOST + b"Transfer-Encoding: chunked\r\n\r\n"
CLIENTS = {
    **{name: sends(data, status) for name, (data, status) in BAD.items()},
    **{
        f"{name}, then {leave}": sends_and_goes(data, leave)
        for name, data in GONE.items()
        for leave in ("close", "reset")
    },
    "a limit of zero": sends(question("q-1", req_deadline_ms="0"), 400),
    "a limit that is too large": sends(question("q-1", req_deadline_ms="9" * 10), 400),
    "a limit with a fraction": sends(question("q-1", req_deadline_ms="1.5"), 400),
    "an id that is too long": sends(question("q" * 129), 400),
    "an id of other letters": sends(question("q 1"), 400),
    "an extra that is too large": sends(question("q-1", req_extra="max_out=" + "9" * 40), 400),
    "a path of the router's own": sends(question("q-1").replace(b"/v1/chat/completions", b"/-/none"), 404),
    "an absolute target": sends(question("q-1").replace(b" /v1", b" http://a/v1"), 404),
    "an upgrade": sends(HOST + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n", 400),
    "a head with too many fields": sends(HOST + b"".join(b"a%d: b\r\n" % i for i in range(140)) + b"\r\n", 431),
    "a target without end": sends(b"POST /" + b"x" * 90_000, 431),
    "two hosts": sends(HOST + b"Host: b\r\nContent-Length: 0\r\n\r\n", 400),
    "lines without CR": sends(question("q-1").replace(b"\r\n", b"\n"), 400),
    "another coding": sends(HOST + b"Transfer-Encoding: gzip\r\n\r\n", 400),
    "a chunk of no size": sends(CHUNKED + b"zz\r\n", 400),
    "a chunk of a negative size": sends(CHUNKED + b"-5\r\n", 400),
    "a chunk of a size past all bounds": sends(CHUNKED + b"f" * 40 + b"\r\n", 400),
    "chunks over the bound of a body": sends(CHUNKED + b"80000\r\n" + b"x" * 300_000, 413),
    "one byte over the bound of a body": sends(question("q-1", b"x" * (server.MAX_BODY_BYTES + 1)), 413),
    "byte by byte": sends_byte_by_byte,
    "a body in chunks": sends_a_body_in_chunks,
    "many connections": opens_many,
    "nothing": says_nothing,
    "all but the end": stops_within_a_request,
    "a head, then nothing after 100 Continue": waits_to_be_told_to_continue_and_stops,
    "all but the end of a second request": stops_within_a_second_request,
    "nothing after an answer": rests_until_it_is_closed,
    "a request while one is out": speaks_while_its_request_is_out,
    "the id of an open request": bears_the_id_of_an_open_request,
    "one request too many": is_one_too_many,
    "its answer is never read": never_reads,
    **{
        f"goes by {leave} during a {role} of {kind}": leaves(role, leave, kind)
        for role in ("read", "write")
        for leave in ("close", "reset", "shutdown_write")
        for kind in ("lookup", "lodge")
    },
}


WAITED_FOR = {  # seconds, for the clients that are waited for
    says_nothing: {"FIRST_BYTE_TIMEOUT_S": 0.1},
    stops_within_a_request: {"FIRST_REQUEST_TIMEOUT_S": 0.1},
    waits_to_be_told_to_continue_and_stops: {"FIRST_REQUEST_TIMEOUT_S": 0.2},
    stops_within_a_second_request: {"SLOW_CLIENT_TIMEOUT_S": 0.2},
    rests_until_it_is_closed: {"IDLE_TIMEOUT_S": 0.2},
    never_reads: {"SLOW_CLIENT_TIMEOUT_S": 0.2},
}


@pytest.mark.parametrize("name", CLIENTS)
def test_after_a_bad_client_nothing_is_left(name, monkeypatch):
    for word, seconds in WAITED_FOR.get(CLIENTS[name], {}).items():
        monkeypatch.setattr(server, word, seconds)
    story(lambda: leaves_nothing(CLIENTS[name]))()


# Workers


def drips(data, count=1, pause=0.0):
    async def script(transport):
        for place in range(0, len(data), count):
            await transport.send(data[place : place + count])
            await asyncio.sleep(pause)

    return script


def for_ever(head, data, pause=0.002):
    async def script(transport):
        await transport.send(head)
        while True:
            await transport.send(data)
            await asyncio.sleep(pause)

    return script


def then_close(data):
    async def script(transport):
        await transport.send(data)
        transport.close()

    return script


def then_silence(data):
    async def script(transport):
        await transport.send(data)
        await silent(transport)

    return script


def later(data, seconds, more):
    async def script(transport):
        await transport.send(data)
        await asyncio.sleep(seconds)
        await transport.send(more)

    return script


class Begun:
    """An answer that has begun: to that its worker has fetched the state."""

    def __init__(self, script):
        self.script = script


def head(line, *fields):
    return b"\r\n".join([b"HTTP/1.1 " + line, *fields, b"", b""])


LENGTH = b"Content-Length: 0"
WORKERS = {
    **{why: (role, script, outcome) for why, role, script, outcome in ENDINGS if outcome != door.TOO_SLOW},
    "a read in single bytes": ("read", drips(READ), door.READ),
    "a stream in single bytes": ("write", Begun(drips(GOOD)), door.DONE),
    "half a head, then a close": ("read", then_close(READ[:20]), door.CUT),
    "half a body, then a close": ("read", then_close(READ[:-1]), door.CUT),
    "half an event, then a close": ("write", then_close(HEAD + http.chunk(EVENTS[0][:9])), door.CUT),
    "an event, then a close": ("write", Begun(then_close(HEAD + http.chunk(EVENTS[0]))), door.CUT),
    "an event, then noise": ("write", HEAD + http.chunk(EVENTS[0]) + b"\xff\x00noise", ANY),
    "a whole stream, then a close": ("write", Begun(then_close(GOOD)), door.DONE),
    "a second answer 5 ms later": ("write", Begun(later(GOOD, 0.005, http.answer(503, DECLINED))), door.DONE),
    "a second answer 50 ms later": ("read", later(READ, 0.05, READ), door.READ),
    "an answer for another id": ("read", http.answer(202, {"Req-Id": "another"}, b"{}"), door.READ),
    "a read without end": ("read", for_ever(http.answer_head(202, {}), http.chunk(b"x" * 9000)), door.FAULT),
    "hints without end": ("read", for_ever(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"), GIVEN_UP),
    "a head without end, in bytes": ("read", for_ever(b"HTTP/1.1 200 OK\r\nA: ", b"x"), GIVEN_UP),
    "an event without end": ("write", for_ever(HEAD, http.chunk(b"data: " + b"x" * 9000)), door.SPOILT),
    "comments without end": ("write", Begun(for_ever(HEAD, http.chunk(b": x\n\n"))), ANY),
    "silence": ("read", silent, GIVEN_UP),
    "a head and silence": ("write", then_silence(HEAD), GIVEN_UP),
    "status 100 alone, then a close": ("read", then_close(head(b"100 Continue")), door.CUT),
    "status 101": ("read", head(b"101 Switching", b"Connection: Upgrade", b"Upgrade: x"), door.FAULT),
    "status 204": ("read", head(b"204 No Content"), door.FAULT),
    "status 304": ("read", head(b"304 Not Modified"), door.FAULT),
    "status 302": ("read", head(b"302 Found", b"Location: /", LENGTH), door.FAULT),
    "status 400": ("write", http.answer(400, {}), door.FAULT),
    "status 404": ("write", http.answer(404, {}), door.FAULT),
    "status 429": ("write", http.answer(429, DECLINED), door.FAULT),
    "status 599": ("write", head(b"599 What", LENGTH), door.FAULT),
    "status 999": ("write", head(b"999 What", LENGTH), ANY),
    "status 20": ("write", head(b"20 OK", LENGTH), door.SPOILT),
    "status of four digits": ("write", head(b"2000 OK", LENGTH), door.SPOILT),
    "status that is no number": ("write", head(b"two OK", LENGTH), door.SPOILT),
    "another protocol": ("write", b"SSH-2.0-x\r\n\r\n", door.SPOILT),
    "HTTP/1.0 up to the close": ("read", then_close(b"HTTP/1.0 202 OK\r\n\r\n{}"), door.FAULT),
    "a negative length": ("read", head(b"202 OK", b"Content-Length: -1"), door.FAULT),
    "a length that is no number": ("read", head(b"202 OK", b"Content-Length: x"), door.FAULT),
    "a length past all bounds": ("read", head(b"202 OK", b"Content-Length: " + b"9" * 40), door.FAULT),
    "a length that is never reached": (
        "read",
        then_silence(head(b"202 OK", b"Content-Length: 9") + b"{"),
        GIVEN_UP,
    ),
    "two lengths": ("read", head(b"202 OK", b"Content-Length: 0", b"Content-Length: 1"), door.FAULT),
    "a length and chunks": ("read", head(b"202 OK", b"Content-Length: 2", b"Transfer-Encoding: chunked"), door.FAULT),
    "a chunk of a size past all bounds": ("write", HEAD + b"f" * 40 + b"\r\n", door.SPOILT),
    "a chunk of a negative size": ("write", HEAD + b"-5\r\n", door.SPOILT),
    "a stream where a read was asked for": ("read", GOOD, door.FAULT),
    "a report that is noise": ("read", http.answer(202, {"Srv-Load": "\x01noise{"}, b"{}"), ANY),
}


def outcomes_of(world, role):
    heard, router = [], world.node.core.router
    outcome = router.outcome

    def told(now, view, send, what, *rest):
        if send.worker.endpoint.role == role:
            heard.append(what)
        outcome(now, view, send, what, *rest)

    router.outcome = told
    return heard


def with_its_state(world, role, script, outcome):
    """The script of a worker that has read, or fetched the state, before it answers: whatever the answer says."""
    begun = isinstance(script, Begun) or (isinstance(script, bytes) and HEAD in script)
    script = script.script if isinstance(script, Begun) else script

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
    kind = "lookup" if role == "read" else "lodge"  # what a writer has begun may not run twice

    async def play(world):
        workers = world.readers if role == "read" else world.writers
        scripts, heard = deque([with_its_state(world, role, script, outcome)]), outcomes_of(world, role)
        for worker in workers:
            worker.scripts = scripts  # whoever is asked first
        limit = "200" if outcome in (GIVEN_UP, ANY) else "2000"
        try:
            async with asyncio.timeout(0.6 if name == "comments without end" else 4.0):
                status, _, _, whole = await world.ask("q-1", req_kind=kind, req_deadline_ms=limit)
        except TimeoutError:
            assert name == "comments without end"  # its worker's stream goes on; the client has gone
            return
        assert (status == 200) or (whole and status >= 400)
        expected = outcome if outcome is GIVEN_UP else (outcome,)
        assert not scripts and (outcome is ANY or heard[0] in expected)

    story(lambda: leaves_nothing(play))()


# The OpenAI front: a smaller set


def held_by_rig(rig):
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
        "lives": rig.board.pending(),
        "questions": sum(len(core.router.requests) for core in rig.board.cores.values()),
        "attempts and releases": len(engines.tasks) + len(engines.calls),
        "states": len(rig.fleet.yard.states),
        "clients": len(front.listener.tasks),
        "idle clients": len(front.idle_connections),
    }


async def leaves_nothing_at_the_openai_front(play):
    async with Rig({"listen": {"slow_s": 0.3}}) as rig:
        assert (await rig.chat()).done

        def held():
            return held_by_rig(rig) | held_by_process()

        gc.collect()
        await until(lambda: not any(held_by_rig(rig).values()))
        await until(lambda: not any(standin.listener.tasks for standin in rig.fleet.standins.values()))
        before = held()
        await play(rig)
        await comes_back_to(held, before)
        async with asyncio.timeout(5):
            while not (await rig.chat()).done:  # a worker may be doubted for a while
                await asyncio.sleep(0.1)


def sends_to_rig(data, leave=None):
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
HALF = http.request("POST", "/v1/chat/completions", {"host": "x", "content-type": "application/json"}, BODY)[:-9]
OPENAI_CLIENTS = {
    **{repr(shape[:40]): sends_to_rig(shape) for shape in SHAPES},
    "half a request, then a close": sends_to_rig(HALF, "close"),
    "half a request, then a reset": sends_to_rig(HALF, "reset"),
    "half a request, then nothing": sends_to_rig(HALF),
    "many requests, then a reset": sends_to_rig(http.request("GET", "/healthz", {"host": "x"}) * 2000, "reset"),
}


@pytest.mark.parametrize("name", OPENAI_CLIENTS)
def test_after_a_bad_client_of_the_openai_front_nothing_is_left(name):
    story(lambda: leaves_nothing_at_the_openai_front(OPENAI_CLIENTS[name]))()


OPENAI_WORKERS = {
    why: (role, script)
    for why, script, role, outcome in ENGINES_ENDINGS
    if role in ("read", "write") and outcome not in (door.TOO_SLOW, door.DONE, door.READ)
}


#: To these the engine has fetched the state, or has none.
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
        played = []

        def plays_once(usual):
            async def answer_once(transport, request):
                if played or not request.path.startswith("/v1/"):
                    return await usual(transport, request)
                played.append(request)
                for key in list(rig.fleet.yard.states) if name in STATE_GONE else ():
                    rig.fleet.yard.release(key)
                await (script(transport) if callable(script) else transport.send(script))
                return False

            return answer_once

        for standin in rig.fleet.standins.values():
            if standin.engine.kind.role == role:
                standin._answer = plays_once(standin._answer)
        answered = await rig.chat(patience=3.0)
        assert played and answered.status >= 200

    story(lambda: leaves_nothing_at_the_openai_front(play))()
