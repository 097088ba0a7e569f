"""Stories of the connector against a scripted engine: each way to end a send, and what it proves."""

import asyncio
import socket

import pytest
import structlog
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rig import story

from ramppulley import door
from ramppulley.engines import proof
from ramppulley.engines.connections import MIN_IDLE_S
from ramppulley.engines.openai import OpenAIConnector
from ramppulley.service.neutral import CHAT, EMBEDDINGS, EngineAttempt, InferenceRequest, TrackedRequest
from ramppulley.wire import http, sse
from ramppulley.wire.sockets import Listener

STATE = {"do_remote_prefill": True, "remote_engine_id": "r", "remote_block_ids": ["b"]}
CASE = door.RequestClass(10_000, 0, 60_000, 600)


class FakeCore:
    def __init__(self):
        self.ends, self.firsts, self.pieces = [], 0, []
        self.over = asyncio.Event()

    def first_token(self, attempt):
        attempt.first_token_at, self.firsts = 1, self.firsts + 1
        return True

    def repeat_window_over(self, attempt):
        return False

    def attempt_refused(self, attempt, refusal):
        pass

    def remaining_timeout(self, attempt):
        return attempt.time_out

    def attempt_ended(self, attempt, end):
        self.ends.append(end)
        self.over.set()

    async def piece(self, data):
        self.pieces.append(data)

    def gone(self):
        return False


def whole(status, body, **headers):
    return http.answer(status, {"content-type": "application/json", **headers}, body)


def stream(*events):
    return http.answer_head(200, {"content-type": "text/event-stream"}) + b"".join(
        http.chunk(sse.event(e)) for e in events
    )


TOKEN = b'{"choices":[{"index":0,"delta":{"content":"a"}}]}'
USAGE = b'{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":1}}'


async def play(script, what="write", time_out=3000, act=None, address=None, size=10, times=1, quiet=20.0):
    """Sends to an engine that answers with the script's bytes, or that runs it; the core's view of it."""

    async def serve(transport):
        parser = http.RequestParser(64 << 20)
        while True:
            while not parser.ready:
                data = await transport.receive()
                if not data:
                    return
                parser.feed(data)
            parser.ready.popleft()
            if callable(script):
                await script(transport)
            else:
                await transport.send(script)
            if callable(script) or b"connection: close" in script:
                return

    listener = Listener(serve).start()
    engines, core = (
        OpenAIConnector(structlog.get_logger(), connect_timeout_s=0.3, stream_idle_timeout_s=quiet),
        FakeCore(),
    )
    endpoint = door.Endpoint(1, "read" if what == "read" else "both" if what == "pool" else "write", 0, 0, 0)
    engines.set_address(endpoint, address or ("127.0.0.1", listener.port))
    body = {"model": "m", "input": "x" * size} if what == "pool" else {"model": "m", "messages": ["x" * size]}
    request = InferenceRequest("q.r0-1", EMBEDDINGS if what == "pool" else CHAT, "m", "c", body, 60_000, 1, stream=True)
    try:
        for number in range(times):
            await asyncio.sleep(1.5 * MIN_IDLE_S * bool(number))  # a connection is not used again before
            core.over.clear()
            tracked = TrackedRequest(request, door.RequestView(CASE, 1, 1, 60_000), core, 0)
            attempt = EngineAttempt(
                tracked, endpoint, None, number, what == "read", time_out, 0, None if what == "pool" else STATE
            )
            engines.start(core, attempt)
            if act:
                await act(engines, attempt)
            async with asyncio.timeout(10):
                await core.over.wait()
    finally:
        await engines.close()
        await listener.stop()
    core.made = engines.workers[endpoint].connections.opened
    return core


async def reset(transport):
    transport.reset()


async def nothing(transport):
    await asyncio.sleep(9)


def then(*parts):
    async def script(transport):
        for part in parts:
            await transport.send(part) if isinstance(part, bytes) else await part(transport)
        transport.close()

    return script


READ = whole(
    200,
    b'{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"r"},"usage":{"prompt_tokens":9,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}',
)
GOOD = stream(TOKEN, USAGE, sse.DONE) + http.LAST_CHUNK
ENDINGS = [
    ("a whole stream", GOOD, "write", door.DONE),
    ("a read with its state", READ, "read", door.READ),
    ("a batch", whole(200, b'{"data":[],"usage":{"total_tokens":3}}'), "pool", door.DONE),
    ("reset after the request was written", reset, "write", door.CUT),
    ("closed without an answer", then(), "write", door.CUT),
    ("reset after the first token", then(stream(TOKEN), reset), "write", door.CUT),
    ("cut within a chunk", then(stream(TOKEN, TOKEN)[:-20]), "write", door.CUT),
    ("a batch cut short", then(whole(200, b'{"data":[]}')[:-3]), "pool", door.CUT),
    ("a stream without its end", stream(TOKEN) + http.LAST_CHUNK, "write", door.CUT),
    ("full, by 503", whole(503, b'{"error":{"code":"overloaded"}}'), "write", door.NO_ROOM),
    ("full, by 429, no JSON", whole(429, b"later"), "read", door.NO_ROOM),
    ("state gone", whole(409, b'{"error":{"code":"kv_state_gone"}}'), "write", door.NO_STATE),
    ("a conflict that is not about a state", whole(409, b'{"error":{"code":"x"}}'), "write", door.FAULT),
    ("a reader that speaks of a state", whole(409, b'{"error":{"code":"kv_state_gone"}}'), "read", door.FAULT),
    ("a server error", whole(500, b"{}"), "write", door.FAULT),
    ("a server error that is no JSON", whole(502, b"<html>"), "read", door.FAULT),
    ("the engine's verdict on the question", whole(400, b'{"error":{"code":"too_long"}}'), "write", door.DONE),
    ("no HTTP at all", b"SSH-2.0-x\r\n\r\n", "write", door.FAULT),
    ("not JSON", whole(200, b"{"), "read", door.FAULT),
    ("JSON that is no object", whole(200, b"[]"), "pool", door.FAULT),
    ("a read without its state", whole(200, b"{}"), "read", door.FAULT),
    ("a batch without its list", whole(200, b'{"data":3}'), "pool", door.FAULT),
    ("a whole answer where a stream was asked for", whole(200, b"{}"), "write", door.FAULT),
    ("an error event", stream(TOKEN, b'{"error":{"message":"x"}}') + http.LAST_CHUNK, "write", door.FAULT),
    ("an event after the end", stream(TOKEN, sse.DONE, TOKEN) + http.LAST_CHUNK, "write", door.FAULT),
    ("an event that is not JSON", stream(b"hello") + http.LAST_CHUNK, "write", door.FAULT),
    ("a stream without a token", stream(USAGE, sse.DONE) + http.LAST_CHUNK, "write", door.FAULT),
    ("no length and no chunks", b"HTTP/1.1 200 OK\r\n\r\n{}", "read", door.FAULT),
    ("a head without end", b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000, "read", door.FAULT),
    ("silence", nothing, "write", door.TOO_SLOW),
    (
        "silence after the head",
        then(http.answer_head(200, {"content-type": "text/event-stream"}), nothing),
        "write",
        door.TOO_SLOW,
    ),
    ("half a batch, then silence", then(whole(200, b'{"data":[]}')[:-3], nothing), "pool", door.TOO_SLOW),
]


@pytest.mark.parametrize("why,script,what,outcome", ENDINGS, ids=[e[0] for e in ENDINGS])
def test_an_ending_and_what_it_proves(why, script, what, outcome):
    @story
    async def told():
        core = await play(script, what)
        assert [end.outcome for end in core.ends] == [outcome], core.ends

    told()


@story
async def test_a_refused_connection_proves_that_nothing_ran():
    with socket.socket() as gone:
        gone.bind(("127.0.0.1", 0))
        core = await play(GOOD, address=gone.getsockname())
    assert core.ends[0].outcome == door.NO_ROUTE and core.ends[0].outcome in door.NEVER_RAN


@story
async def test_a_handshake_that_does_not_end_proves_that_nothing_ran():
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        core = await play(GOOD, address=full.getsockname())
        for sock in filling:
            sock.close()
    assert core.ends[0].outcome == door.NO_ROUTE


@story
async def test_a_request_that_was_not_written_whole_cannot_have_run():
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    listening.setblocking(False)

    async def cut():
        sock, _ = await asyncio.get_running_loop().sock_accept(listening)
        await asyncio.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()

    task = asyncio.create_task(cut())
    core = await play(GOOD, address=listening.getsockname(), size=20 << 20)
    await task
    listening.close()
    assert core.ends[0].outcome == door.NO_ROUTE and core.ends[0].reason.startswith(proof.Stage.WRITE)


@story
async def test_withdrawing_closes_the_connection_and_says_how_far_it_came():
    async def at_once(engines, attempt):
        engines.cancel(attempt)

    async def later(engines, attempt):
        await asyncio.sleep(0.1)
        engines.cancel(attempt)

    assert (await play(nothing, act=at_once)).ends[0].outcome == door.STALE
    assert (await play(nothing, act=later)).ends[0].outcome == door.UNDONE


@story
async def test_what_a_read_left_is_let_go_though_its_answer_came_too_late_to_be_heard():
    engines, core = OpenAIConnector(structlog.get_logger(), connect_timeout_s=0.3), FakeCore()
    told, released = [], asyncio.Event()

    async def serve(transport):
        parser = http.RequestParser(1 << 20)
        while not parser.ready:
            parser.feed(await transport.receive())
        request = parser.ready.popleft()
        told.append((request.path, request.body))
        await transport.send(READ if len(told) == 1 else whole(200, b"{}"))
        if len(told) == 1:
            engines.cancel(attempt)  # in the turn in which the answer is on its way
        else:
            released.set()

    listener = Listener(serve).start()
    endpoint = door.Endpoint(1, "read", 0, 0, 0)
    engines.set_address(endpoint, ("127.0.0.1", listener.port))
    engines.workers[endpoint].extensions = frozenset({"release"})
    request = InferenceRequest("q.r0-1", CHAT, "m", "c", {"model": "m", "messages": []}, 60_000, 1, stream=True)
    attempt = EngineAttempt(
        TrackedRequest(request, door.RequestView(CASE, 1, 1, 60_000), core, 0), endpoint, None, 0, True, 3000, 0, None
    )
    try:
        engines.start(core, attempt)
        async with asyncio.timeout(5):
            await released.wait()
    finally:
        await engines.close()
        await listener.stop()
    assert core.ends[0].outcome == door.UNDONE
    assert told[1] == ("/kv/release", b'{"request_id":"q.r0-1-s0"}')


@story
async def test_a_connection_is_used_again_after_a_whole_answer_and_only_then():
    assert (await play(GOOD, times=3)).made == 1
    assert (await play(whole(500, b"{}"), times=3)).made == 1
    assert (await play(then(GOOD), times=3)).made == 3  # closed by the engine: seen before it is used
    assert (await play(stream(TOKEN) + http.LAST_CHUNK, times=2)).made == 1


@story
async def test_tokens_pass_in_order_and_the_usage_is_kept_from_who_did_not_ask():
    core = await play(GOOD)
    assert core.pieces == [TOKEN, sse.DONE] and core.firsts == 1 and core.ends[0].usage.prompt == 7


def test_every_stage_and_sight_has_its_outcome():
    for stage in (proof.Stage.QUEUE, proof.Stage.CONNECT, proof.Stage.WRITE, proof.Stage.WAIT, proof.Stage.ANSWER):
        for seen in (proof.Failure.LOST, proof.Failure.TIMED_OUT, proof.Failure.CANCELLED):
            outcome = proof.outcome_of(stage, seen)
            assert (outcome in door.NEVER_RAN) == (
                stage in (proof.Stage.QUEUE, proof.Stage.CONNECT)
                or (stage, seen) == (proof.Stage.WRITE, proof.Failure.LOST)
            )


@story
async def test_a_send_that_waits_for_a_free_connection_blames_no_worker():
    async def another(engines, attempt):
        engines.workers[attempt.endpoint].connections._capacity = asyncio.Semaphore(1)  # the first has the only one
        second = EngineAttempt(attempt.tracked, attempt.endpoint, None, 1, False, 800, 0, STATE)
        engines.start(attempt.tracked.sink, second)

    core = await play(nothing, act=another)
    assert core.ends[0].outcome == door.STALE and core.made == 1


PART = st.sampled_from(
    [
        GOOD,
        READ,
        TOKEN,
        b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"content-length: 4\r\n\r\n",
        b"0\r\n\r\n",
        http.LAST_CHUNK,
        b"data: ",
        b"\xff\xfe",
    ]
)


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.lists(st.one_of(PART, st.binary(max_size=40)), max_size=6), st.sampled_from(["read", "write", "pool"]))
def test_whatever_an_engine_answers_a_send_ends_once(parts, what):
    @story
    async def told():
        core = await play(then(b"".join(parts) or b" "), what, time_out=1000)
        assert len(core.ends) == 1
        assert core.ends[0].outcome not in door.NEVER_RAN or core.ends[0].outcome == door.READ

    told()


@story
async def test_a_stream_that_has_begun_and_stands_still_is_ended_after_the_time_that_the_settings_name():
    core = await play(then(stream(TOKEN), nothing), quiet=0.2)
    assert core.ends[0].outcome == door.TOO_SLOW and core.firsts == 1
