"""Stories of clients that close in the turn in which an attempt is caused: none begins, nothing stays held.

The client is a blocking socket of this process: when its call returns, the router's socket has been told.
"""

import asyncio
import socket
import time

import pytest
from client_endings import WAYS, fin, reset
from platform_rig import SETTINGS, World, question
from rig import CHAT, Rig, story

from ramppulley.engines.connections import MIN_IDLE_S
from ramppulley.wire import http

BODY = b'{"model":"%s","messages":[{"role":"user","content":"hi"}],"max_tokens":4}' % CHAT.encode()
ONE = http.request("POST", "/v1/chat/completions", {"host": "x", "content-type": "application/json"}, BODY)
PLAIN = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
LATE = 0.12  # seconds that the loop stands still after a close: 0.1 later none may begin


class Client:
    """`close` is how it goes; `at` when."""

    def __init__(self, port, data, close):
        self.sock, self.how, self.at = socket.create_connection(("127.0.0.1", port)), close, None
        self.sock.sendall(data)

    def close(self):
        if self.at is None:
            self.at = time.monotonic()
            self.how(self.sock)
            time.sleep(LATE)

    async def answer(self):
        """All that comes till the end."""
        return await asyncio.to_thread(lambda: b"".join(iter(lambda: self.sock.recv(4096), b"")))


def junk(sock):
    sock.sendall(b"x")


def pipelined_and_fin(sock):
    sock.sendall(ONE * 50)
    sock.close()


def closes_before(engines, number, client):
    """The client closes just before the first byte of its attempt of this number: its connection is there."""
    request = engines._build_request

    def asked(attempt, connections):
        if attempt.number == number:
            client.close()
        return request(attempt, connections)

    engines._build_request = asked


def after(of, word, client):
    """The client closes as this method, or the task that it makes, has ended."""
    method = getattr(of, word)

    async def ended(*args):
        try:
            return await method(*args)
        finally:
            client.close()

    setattr(of, word, ended)


async def none_begins(world, client, reads, writes=0):
    """So many attempts came to the workers, those before the close, and what was held is gone in its time."""
    await world.until(lambda: client.at)
    await world.settled()
    assert time.monotonic() - client.at < LATE + 0.5  # ReleaseS
    assert sum(len(reader.of("POST")) for reader in world.readers) == reads
    assert sum(len(writer.of("POST")) for writer in world.writers) == writes


# Waits before the connector: the module's event starts the attempt


@pytest.mark.parametrize("close", WAYS)
def test_at_a_reads_end_a_client_that_closed_gets_no_write_and_the_state_is_let_go(close):
    @story
    async def told():
        async with World() as world:
            assert (await world.ask("q-0"))[0] == 200  # a connection to the writer is at rest
            client = Client(world.port, question("q-1"), close)

            async def read(transport):
                world.yard.add("q-1")
                transport.sock.send(http.answer(202, {}, b"{}"))  # both are there in the loop's next turn
                client.close()

            world.readers[0].scripts.append(read)
            await none_begins(world, client, reads=2, writes=1)
            assert world.readers[0].of("DELETE") or world.writers[0].of("DELETE")

    told()


@story
async def test_a_close_over_unread_bytes_is_a_close():
    async with World() as world:
        head, body = question("q-1", expect="100-continue").split(b"\r\n\r\n")
        client = Client(world.port, head + b"\r\n\r\n", fin)
        assert (await asyncio.to_thread(client.sock.recv, 4, socket.MSG_PEEK)) == b"HTTP"
        closes_before(world.node.engines, 1, client)
        client.sock.sendall(body)
        await none_begins(world, client, reads=1)


@pytest.mark.parametrize("close", [fin, reset])
@pytest.mark.parametrize("waits", ["arrival", "probes", "a failure"])
def test_after_a_wait_at_the_module_a_client_that_closed_gets_no_attempt(waits, close):
    @story
    async def told():
        async with World(readers=2, settings=PLAIN if waits == "arrival" else SETTINGS) as world:
            for reader in world.readers if waits == "a failure" else ():
                reader.scripts.append(http.answer(503, {"Srv-Declined": "1"}))
            client = Client(world.port, question("q-1"), close)
            closes_before(world.node.engines, int(waits == "a failure"), client)
            await none_begins(world, client, reads=int(waits == "a failure"))

    told()


@story
async def test_in_line_a_client_that_closed_gets_no_attempt():
    async with World() as world:

        async def read_and_break(transport):
            transport.reset()

        world.readers[0].scripts.append(read_and_break)  # suspect for half a second: nobody else reads
        first = asyncio.create_task(world.ask("q-1", req_deadline_ms="400"))
        await world.until(lambda: "doubted" in world.lines.text)
        client = Client(world.port, question("q-2", req_kind="lodge", req_deadline_ms="9000"), fin)
        await world.until(lambda: len(world.node.core.router.admission.new_requests) == 1)
        closes_before(world.node.engines, 0, client)
        assert (await first)[0] == 503
        await none_begins(world, client, reads=1)


# Waits in the connector


@story
async def test_after_a_release_a_client_that_closed_gets_no_attempt():
    async with World() as world:
        client, engines = Client(world.port, question("q-1"), fin), world.node.engines
        after(engines.releases, "run", client)
        start = engines.start

        def started(core, attempt):
            task = engines.releases.running[attempt.tracked] = engines._spawn(engines.releases.run("q-1", 0.0))
            task.add_done_callback(lambda _: engines.releases.ended(attempt.tracked))
            start(core, attempt)

        engines.start = started
        await none_begins(world, client, reads=0)
        assert world.readers[0].of("DELETE") or world.writers[0].of("DELETE")


@story
async def test_after_a_handshake_a_client_that_closed_gets_no_attempt_and_the_connection_is_kept():
    async with World(settings=PLAIN) as world:
        client = Client(world.port, question("q-1"), fin)
        reader = world.readers[0]
        connections = next(
            w.connections for w in world.node.engines.workers.values() if w.address[1] == reader.listener.port
        )
        after(connections, "_open", client)
        await none_begins(world, client, reads=0)
        assert len(connections.idle) == connections.opened == world.node.engines.budget.open == 1
        await asyncio.sleep(1.5 * MIN_IDLE_S)
        assert (await world.ask("q-2"))[0] == 200 and reader.connections == 1


@story
async def test_after_a_wait_for_a_connection_a_client_that_closed_gets_no_attempt():
    async with World(settings=PLAIN) as world:
        reader = world.readers[0]
        connections = next(
            w.connections for w in world.node.engines.workers.values() if w.address[1] == reader.listener.port
        )
        connections._capacity = asyncio.Semaphore(1)

        async def read(transport):
            await world.until(
                lambda: any(
                    attempt.stage == "queue"
                    for tracked in world.node.core.requests.values()
                    for attempt in tracked.open_attempts
                )
            )
            world.yard.add("q-1")
            transport.sock.send(http.answer(202, {}, b"{}"))
            client.close()

        reader.scripts.append(read)
        first = asyncio.create_task(world.ask("q-1"))
        await world.until(lambda: reader.of("POST"))
        client = Client(world.port, question("q-2"), fin)
        assert (await first)[0] == 200
        await none_begins(world, client, reads=1, writes=1)


# What is no close, and what is our own


@pytest.mark.parametrize("behind", [0.0, 0.05], ids=["at once", "the watch runs behind"])
def test_who_speaks_as_an_attempt_is_caused_gets_its_refusal_and_no_attempt(behind):
    @story
    async def told():
        async with World() as world:
            client = Client(world.port, question("q-1"), junk)
            if behind:  # as if the look had seen what is only read later
                later, sinks = asyncio.get_running_loop().call_later, world.node.front.open_requests
                client.how = lambda sock: (
                    setattr(sinks["q-1"], "gone", lambda: True),
                    later(LATE + behind, junk, sock),
                )
            closes_before(world.node.engines, 1, client)
            assert (await client.answer()).startswith(b"HTTP/1.1 400")
            await none_begins(world, client, reads=1)
            client.sock.close()

    told()


@story
async def test_a_request_that_has_its_answer_gets_no_attempt():
    async with World() as world:
        core = world.node.core
        client = Client(world.port, question("q-1"), lambda _: core.turn_back(next(iter(core.requests)), 0))
        closes_before(world.node.engines, 0, client)
        assert (await asyncio.to_thread(client.sock.recv, 99)).startswith(b"HTTP/1.1 503")
        await none_begins(world, client, reads=0)
        client.sock.close()


@story
async def test_a_request_that_crosses_our_end_of_a_resting_connection_is_not_sent_on():
    async with World() as world:
        transport = await world.connect()
        assert (await world.ask("q-1", transport))[0] == 200
        await world.until(lambda: world.node.front.idle_connections)
        (conn,) = world.node.front.idle_connections.values()
        close = conn.close

        def crossed():  # the last look has found nothing, and the socket is closed next
            transport.sock.send(question("q-2"))
            close()

        conn.close = crossed
        stop = asyncio.create_task(world.node.front.stop(0.1, 0.1))
        with pytest.raises(ConnectionResetError):  # by a close over unread bytes: the client asks once more, elsewhere
            await transport.receive()
        await stop
        assert world.node.core.accepted == 1
        assert not [e for w in world.workers for e in w.of("POST") if e[2] == "q-2"]
        transport.close()


# The HTTP front, where a next request may come early


@pytest.mark.parametrize("close", [fin, reset, pipelined_and_fin])
@pytest.mark.parametrize("number", [0, 1])
def test_on_the_http_front_a_client_that_closed_gets_no_attempt(number, close):
    @story
    async def told():
        async with Rig() as rig:
            client = Client(rig.port, ONE, close)
            closes_before(rig.daemon.engines, number, client)
            async with asyncio.timeout(3.0):
                while not client.at:
                    await asyncio.sleep(0.01)
            await rig.settled()
            assert len(rig.of("read")) == number and not rig.of("write")

    told()


@story
async def test_on_the_http_front_a_next_request_that_comes_as_an_attempt_is_caused_is_answered_in_its_turn():
    async with Rig() as rig:
        last = ONE.replace(b"host: x", b"host: x\r\nconnection: close")
        client = Client(rig.port, ONE, lambda sock: sock.sendall(last))
        closes_before(rig.daemon.engines, 1, client)
        assert (await client.answer()).count(b"HTTP/1.1 200 OK") == 2
        client.sock.close()
