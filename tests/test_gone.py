"""Clients that close in the loop iteration that triggers an attempt: the attempt is not made, and nothing stays in use.

The client is a blocking socket in this process, so the kernel has passed its close to the router's socket when the call
returns. The router may only notice it by checking the socket just before the first byte of the attempt.
"""

import asyncio
import socket
import time

import pytest
from client_endings import CLIENT_ENDINGS, fin, reset
from platform_rig import SETTINGS, World, question
from rig import CHAT, Rig, story

from ramppulley.engines.connections import MIN_IDLE_S
from ramppulley.wire import http

BODY = b'{"model":"%s","messages":[{"role":"user","content":"hi"}],"max_tokens":4}' % CHAT.encode()
CHAT_REQUEST = http.request("POST", "/v1/chat/completions", {"host": "x", "content-type": "application/json"}, BODY)
SETTINGS_WITHOUT_PROBES = SETTINGS | {"Bounds": SETTINGS["Bounds"] | {"Probing": False}}
LOOP_BLOCK_S = 0.12  # time in s that the loop is blocked after a close; 0.1 s after a close no attempt may start


class Client:
    """A client on a blocking socket. `close_action` is the way it closes, `closed_at` the time."""

    def __init__(self, port, data, close):
        self.sock, self.close_action, self.closed_at = socket.create_connection(("127.0.0.1", port)), close, None
        self.sock.sendall(data)

    def close(self):
        if self.closed_at is None:
            self.closed_at = time.monotonic()
            self.close_action(self.sock)
            time.sleep(LOOP_BLOCK_S)

    async def answer(self):
        """All bytes up to the end of the connection."""
        return await asyncio.to_thread(lambda: b"".join(iter(lambda: self.sock.recv(4096), b"")))


def send_junk(sock):
    sock.sendall(b"x")


def pipelined_and_fin(sock):
    sock.sendall(CHAT_REQUEST * 50)
    sock.close()


def close_before_attempt(engines, number, client):
    """Closes the client just before the first byte of attempt `number`, when the connection to the worker is ready."""
    original = engines._build_request

    def build_request(attempt, connections):
        if attempt.number == number:
            client.close()
        return original(attempt, connections)

    engines._build_request = build_request


def close_after_call(owner, method_name, client):
    """Closes the client when a call of this coroutine method has ended."""
    method = getattr(owner, method_name)

    async def ended(*args):
        try:
            return await method(*args)
        finally:
            client.close()

    setattr(owner, method_name, ended)


async def assert_no_further_attempt(world, client, prefills, decodes=0):
    """The workers got only these attempts, which came before the close, and all resources were released in time."""
    await world.until(lambda: client.closed_at)
    await world.settled()
    assert time.monotonic() - client.closed_at < LOOP_BLOCK_S + 0.5  # ReleaseS
    assert sum(len(reader.of("POST")) for reader in world.readers) == prefills
    assert sum(len(writer.of("POST")) for writer in world.writers) == decodes


# Waits before the connector: an event of the decision module starts the attempt


@pytest.mark.parametrize("close", CLIENT_ENDINGS)
def test_at_a_reads_end_a_client_that_closed_gets_no_write_and_the_state_is_let_go(close):
    @story
    async def run():
        async with World() as world:
            assert (await world.ask("q-0"))[0] == 200  # leaves an idle connection to the decode worker
            client = Client(world.port, question("q-1"), close)

            async def answer_prefill(transport):
                world.yard.add("q-1")
                transport.sock.send(
                    http.response(202, {}, b"{}")
                )  # the answer and the close are both seen in the next loop iteration
                client.close()

            world.readers[0].scripts.append(answer_prefill)
            await assert_no_further_attempt(world, client, prefills=2, decodes=1)
            assert world.readers[0].of("DELETE") or world.writers[0].of("DELETE")

    run()


@story
async def test_a_close_over_unread_bytes_is_a_close():
    async with World() as world:
        head, body = question("q-1", expect="100-continue").split(b"\r\n\r\n")
        client = Client(world.port, head + b"\r\n\r\n", fin)
        assert (await asyncio.to_thread(client.sock.recv, 4, socket.MSG_PEEK)) == b"HTTP"
        close_before_attempt(world.node.engines, 1, client)
        client.sock.sendall(body)
        await assert_no_further_attempt(world, client, prefills=1)


@pytest.mark.parametrize("close", [fin, reset])
@pytest.mark.parametrize("waits", ["arrival", "probes", "a failure"])
def test_after_a_wait_at_the_module_a_client_that_closed_gets_no_attempt(waits, close):
    @story
    async def run():
        async with World(readers=2, settings=SETTINGS_WITHOUT_PROBES if waits == "arrival" else SETTINGS) as world:
            for reader in world.readers if waits == "a failure" else ():
                reader.scripts.append(http.response(503, {"Srv-Declined": "1"}))
            client = Client(world.port, question("q-1"), close)
            close_before_attempt(world.node.engines, int(waits == "a failure"), client)
            await assert_no_further_attempt(world, client, prefills=int(waits == "a failure"))

    run()


@story
async def test_in_line_a_client_that_closed_gets_no_attempt():
    async with World() as world:

        async def break_connection(transport):
            transport.reset()

        world.readers[0].scripts.append(break_connection)  # makes the only prefill worker suspect for half a second
        first_request = asyncio.create_task(world.ask("q-1", req_deadline_ms="400"))
        await world.until(lambda: "doubted" in world.lines.text)
        client = Client(world.port, question("q-2", req_kind="lodge", req_deadline_ms="9000"), fin)
        await world.until(lambda: len(world.node.core.router.admission.new_requests) == 1)
        close_before_attempt(world.node.engines, 0, client)
        assert (await first_request)[0] == 503
        await assert_no_further_attempt(world, client, prefills=1)


# Waits in the connector


@story
async def test_after_a_release_a_client_that_closed_gets_no_attempt():
    async with World() as world:
        client, engines = Client(world.port, question("q-1"), fin), world.node.engines
        close_after_call(engines.releases, "run", client)
        start = engines.start

        def start_behind_release(core, attempt):
            task = engines.releases.running[attempt.tracked] = engines._spawn(engines.releases.run("q-1", 0.0))
            task.add_done_callback(lambda _: engines.releases.ended(attempt.tracked))
            start(core, attempt)

        engines.start = start_behind_release
        await assert_no_further_attempt(world, client, prefills=0)
        assert world.readers[0].of("DELETE") or world.writers[0].of("DELETE")


@story
async def test_after_a_handshake_a_client_that_closed_gets_no_attempt_and_the_connection_is_kept():
    async with World(settings=SETTINGS_WITHOUT_PROBES) as world:
        client = Client(world.port, question("q-1"), fin)
        reader = world.readers[0]
        connections = next(
            w.connections for w in world.node.engines.workers.values() if w.address[1] == reader.listener.port
        )
        close_after_call(connections, "_open", client)
        await assert_no_further_attempt(world, client, prefills=0)
        assert len(connections.idle) == connections.opened == world.node.engines.budget.open == 1
        await asyncio.sleep(1.5 * MIN_IDLE_S)
        assert (await world.ask("q-2"))[0] == 200 and reader.connections == 1


@story
async def test_after_a_wait_for_a_connection_a_client_that_closed_gets_no_attempt():
    async with World(settings=SETTINGS_WITHOUT_PROBES) as world:
        reader = world.readers[0]
        connections = next(
            w.connections for w in world.node.engines.workers.values() if w.address[1] == reader.listener.port
        )
        connections._capacity = asyncio.Semaphore(1)

        async def answer_prefill(transport):
            await world.until(
                lambda: any(
                    attempt.stage == "queue"
                    for tracked in world.node.core.requests.values()
                    for attempt in tracked.open_attempts
                )
            )
            world.yard.add("q-1")
            transport.sock.send(http.response(202, {}, b"{}"))
            client.close()

        reader.scripts.append(answer_prefill)
        first_request = asyncio.create_task(world.ask("q-1"))
        await world.until(lambda: reader.of("POST"))
        client = Client(world.port, question("q-2"), fin)
        assert (await first_request)[0] == 200
        await assert_no_further_attempt(world, client, prefills=1, decodes=1)


# Other events than a close, and closes by the router


@pytest.mark.parametrize("behind", [0.0, 0.05], ids=["at once", "the watch runs behind"])
def test_who_speaks_as_an_attempt_is_caused_gets_its_refusal_and_no_attempt(behind):
    @story
    async def run():
        async with World() as world:
            client = Client(world.port, question("q-1"), send_junk)
            if behind:  # as if the check had seen bytes that are read only later
                later, sinks = asyncio.get_running_loop().call_later, world.node.front.open_requests
                client.close_action = lambda sock: (
                    setattr(sinks["q-1"], "gone", lambda: True),
                    later(LOOP_BLOCK_S + behind, send_junk, sock),
                )
            close_before_attempt(world.node.engines, 1, client)
            assert (await client.answer()).startswith(b"HTTP/1.1 400")
            await assert_no_further_attempt(world, client, prefills=1)
            client.sock.close()

    run()


@story
async def test_a_request_that_has_its_answer_gets_no_attempt():
    async with World() as world:
        core = world.node.core
        client = Client(world.port, question("q-1"), lambda _: core.turn_back(next(iter(core.requests)), 0))
        close_before_attempt(world.node.engines, 0, client)
        assert (await asyncio.to_thread(client.sock.recv, 99)).startswith(b"HTTP/1.1 503")
        await assert_no_further_attempt(world, client, prefills=0)
        client.sock.close()


@story
async def test_a_request_that_crosses_our_end_of_a_resting_connection_is_not_sent_on():
    async with World() as world:
        transport = await world.connect()
        assert (await world.ask("q-1", transport))[0] == 200
        await world.until(lambda: world.node.front.idle_connections)
        (connection,) = world.node.front.idle_connections.values()
        close = connection.close

        def send_request_and_close():  # after the last check found no bytes, just before the close
            transport.sock.send(question("q-2"))
            close()

        connection.close = send_request_and_close
        shutdown = asyncio.create_task(world.node.front.stop(0.1, 0.1))
        with pytest.raises(
            ConnectionResetError
        ):  # reset by the close with unread bytes: the client may retry elsewhere
            await transport.receive()
        await shutdown
        assert world.node.core.accepted == 1
        assert not [e for w in world.workers for e in w.of("POST") if e[2] == "q-2"]
        transport.close()


# The HTTP front, where requests may be pipelined


@pytest.mark.parametrize("close", [fin, reset, pipelined_and_fin])
@pytest.mark.parametrize("number", [0, 1])
def test_on_the_http_front_a_client_that_closed_gets_no_attempt(number, close):
    @story
    async def run():
        async with Rig() as rig:
            client = Client(rig.port, CHAT_REQUEST, close)
            close_before_attempt(rig.daemon.engines, number, client)
            async with asyncio.timeout(3.0):
                while not client.closed_at:
                    await asyncio.sleep(0.01)
            await rig.settled()
            assert len(rig.of("read")) == number and not rig.of("write")

    run()


@story
async def test_on_the_http_front_a_next_request_that_comes_as_an_attempt_is_caused_is_answered_in_its_turn():
    async with Rig() as rig:
        last_request = CHAT_REQUEST.replace(b"host: x", b"host: x\r\nconnection: close")
        client = Client(rig.port, CHAT_REQUEST, lambda sock: sock.sendall(last_request))
        close_before_attempt(rig.daemon.engines, 1, client)
        assert (await client.answer()).count(b"HTTP/1.1 200 OK") == 2
        client.sock.close()
