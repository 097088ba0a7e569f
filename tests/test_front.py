"""Tests of the HTTP front on loopback sockets: the API as public clients use it, and invalid input."""

import asyncio
import base64
import struct

import openai
import pytest
from rig import CHAT, VECTORS, Rig, story

from ramppulley.wire.sockets import connect


@story
async def test_a_streamed_chat_answer_is_read_by_one_worker_and_written_by_another():
    async with Rig() as rig:
        reply = await rig.chat(most=5)
        assert reply.status == 200 and reply.done and reply.text() == "w0 w1 w2 w3 w4 "
        read, write = rig.fleet.ledger
        assert (read.what, write.what) == ("read", "write") and read.engine.startswith("reader")
        await rig.settled()


@story
async def test_a_whole_chat_answer_is_gathered_from_the_stream():
    async with Rig() as rig:
        reply = await rig.chat(most=4, stream=False)
        answer = reply.json()
        assert answer["object"] == "chat.completion" and answer["choices"][0]["message"]["content"] == "w0 w1 w2 w3 "
        assert answer["usage"]["completion_tokens"] == 4 and answer["choices"][0]["finish_reason"] == "stop"


@story
async def test_who_wants_the_whole_answer_within_a_time_it_named_has_a_final_answer_by_then():
    async with Rig() as rig:
        reply = await rig.chat(most=500, stream=False, headers={"x-request-timeout": "0.3"}, patience=0.3)
        assert reply.status == 503 and reply.headers["x-should-retry"] == "true" and not reply.fault
        await rig.settled()
        assert (
            await rig.chat(most=500, headers={"x-request-timeout": "0.3"})
        ).done  # the deadline of a stream applies to its start


@story
async def test_usage_comes_only_where_it_was_asked_for():
    async with Rig() as rig:
        without = await rig.chat()
        assert not any(b'"choices":[]' in event for event in without.events)
        asked = await rig.chat(stream_options={"include_usage": True})
        assert b'"choices":[]' in asked.events[-1] and asked.done


@story
async def test_embeddings_and_rerank_go_the_whole_way():
    async with Rig() as rig:
        reply = await rig.embed(["lock", "boat"], dimensions=8)
        assert [len(d["embedding"]) for d in reply.json()["data"]] == [8, 8]
        for path in ("/v1/rerank", "/rerank", "/v2/rerank"):
            reply = await rig.rerank(path=path, top_n=1, return_documents=True)
            assert reply.json()["results"][0]["document"]["text"] == "lock times"
        assert {entry.what for entry in rig.fleet.ledger} == {"pool"} and len(rig.fleet.ledger) == 4
        await rig.settled()


@story
async def test_an_unmodified_openai_client_works():
    async with (
        Rig() as rig,
        openai.AsyncOpenAI(base_url=f"http://127.0.0.1:{rig.port}/v1", api_key="x", max_retries=0) as client,
    ):
        whole = await client.chat.completions.create(
            model=CHAT, messages=[{"role": "user", "content": "hi"}], max_completion_tokens=3
        )
        assert whole.choices[0].message.content == "w0 w1 w2 "
        stream = await client.chat.completions.create(
            model=CHAT,
            messages=[{"role": "user", "content": "hi"}],
            max_tokens=3,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
        assert chunks[-1].usage.completion_tokens == 3
        text = await client.completions.create(model=CHAT, prompt="Once", max_tokens=2)
        assert text.choices[0].text == "w0 w1 "
        vectors = await client.embeddings.create(model=VECTORS, input=["a", "b"], dimensions=4)
        assert len(vectors.data) == 2 and len(vectors.data[0].embedding) == 4
        assert {m.id async for m in client.models.list()} == {CHAT, VECTORS}
        with pytest.raises(openai.NotFoundError):
            await client.chat.completions.create(model="none", messages=[{"role": "user", "content": "hi"}])


@story
async def test_vectors_as_base64_are_the_same_vectors():
    async with Rig() as rig:
        plain = (await rig.embed("a", dimensions=4)).json()["data"][0]["embedding"]
        packed = (await rig.embed("a", dimensions=4, encoding_format="base64")).json()["data"][0]["embedding"]
        assert struct.unpack("<4f", base64.b64decode(packed)) == pytest.approx(plain, rel=1e-6)


@story
async def test_fields_that_the_router_does_not_know_travel_on():
    async with Rig() as rig:
        seen = []
        for standin in rig.fleet.standins.values():
            generate = standin.generation.handle

            def spy(transport, request, name, body, generate=generate):
                seen.append(body.get("guided_choice"))
                return generate(transport, request, name, body)

            standin.generation.handle = spy
        await rig.chat(guided_choice=["a", "b"])
        assert seen == [["a", "b"], ["a", "b"]]


BAD = [
    (b"{", 400, None),
    (b"[]", 400, None),
    (b"[" * 100_000, 400, None),
    (b'{"messages": []}', 400, "model"),
    (b'{"model": "harbour-70b"}', 400, "messages"),
    (b'{"model": "harbour-70b", "messages": []}', 400, "messages"),
    (b'{"model": "harbour-70b", "messages": "hi"}', 400, "messages"),
    (b'{"model": "harbour-70b", "messages": [{}], "max_tokens": -1}', 400, "max_tokens"),
    (b'{"model": "harbour-70b", "messages": [{}], "max_tokens": "many"}', 400, "max_tokens"),
    (b'{"model": "none", "messages": [{}]}', 404, "model"),
]


@story
async def test_bad_bodies_get_a_clear_error_and_no_worker_hears_of_them():
    async with Rig() as rig:
        for body, status, param in BAD:
            reply = await rig.ask("/v1/chat/completions", body)
            assert (reply.status, reply.json()["error"]["param"]) == (status, param), body[:60]
        for path, body in (
            ("/v1/embeddings", {"model": VECTORS, "input": []}),
            ("/v1/embeddings", {"model": VECTORS, "input": ["a", 1]}),
            ("/v1/rerank", {"model": VECTORS, "query": "a", "documents": [{"no": "text"}]}),
            ("/v1/rerank", {"model": VECTORS, "query": "a", "documents": ["b"], "top_n": 0}),
        ):
            assert (await rig.ask(path, body)).status == 400
        assert not rig.fleet.ledger and (await rig.chat()).done


@story
async def test_wrong_paths_methods_keys_and_patience_are_refused():
    async with Rig(
        {
            "accounts": {"werf": {"per_second": 5, "keys": ["sk-1"]}},
            "naming": {
                "fallback": "afloat",
                "by_kind": {"embeddings": "search", "rerank": "search"},
                "keys_needed": True,
            },
        }
    ) as rig:
        assert (await rig.ask("/v1/none", {})).status == 404
        assert (await rig.ask("/v1/chat/completions", None, method="GET")).status == 405
        assert (await rig.chat()).status == 401
        key = {"authorization": "Bearer sk-1"}
        assert (await rig.chat(headers=key)).status == 200
        for value in ("soon", "-1", "nan", "inf"):
            assert (await rig.chat(headers=key | {"x-request-timeout": value})).status == 400
        assert (await rig.chat(headers=key | {"x-use-case": "none"})).status == 400
        assert (await rig.chat(headers=key | {"content-type": "text/plain"})).status == 415


SHAPES = [
    b"POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
    b"POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    b"POST /v1/embeddings HTTP/1.1\nHost: a\nContent-Length: 2\n\n{}",
    b"POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\n{}",
    b"POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\n{}",
    b"POST /v1/embeddings HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nA: b\r\n c: folded\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nA: " + b"x" * 70_000 + b"\r\n\r\n",
    b"POST /v1/embeddings HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n",
]


async def raw(rig, data, end=False):
    transport = await connect("127.0.0.1", rig.port, 1.0)
    try:
        await transport.send(data)
        if end:
            transport.sock.shutdown(1)
        got = b""
        async with asyncio.timeout(5):
            while piece := await transport.receive():
                got += piece
        return got
    except OSError:
        return got
    finally:
        transport.close()


@story
async def test_smuggling_shapes_and_absurd_lengths_end_the_connection_with_a_4xx():
    async with Rig() as rig:
        for shape in SHAPES:
            got = await raw(rig, shape)
            assert got.startswith(b"HTTP/1.1 4") and b"connection: close" in got and got.count(b"HTTP/1.1 ") == 1, (
                shape[:80]
            )
        assert not rig.fleet.ledger and (await rig.chat()).done


@story
async def test_a_body_cut_half_way_and_a_slow_sender_harm_nobody():
    async with Rig({"listen": {"slow_s": 0.3}}) as rig:
        head = b"POST /v1/embeddings HTTP/1.1\r\nContent-Length: 50\r\n\r\n{"
        assert await raw(rig, head, end=True) == b""
        assert (await raw(rig, head)).startswith(b"HTTP/1.1 408")
        assert not rig.fleet.ledger and (await rig.chat()).done


@story
async def test_pipelined_requests_are_answered_in_order():
    async with Rig() as rig:
        body = b'{"model":"mooring-embed","input":"a","dimensions":2}'
        one = b"POST /v1/embeddings HTTP/1.1\r\ncontent-type: application/json\r\ncontent-length: %d\r\n" % len(body)
        last = one + b"connection: close\r\n\r\n" + body
        got = await raw(rig, (one + b"\r\n" + body) + b"GET /healthz HTTP/1.1\r\n\r\n" + last)
        assert got.count(b"HTTP/1.1 200 OK") == 3 and b"ok\n" in got
        assert len(rig.of("pool")) == 2


@story
async def test_a_client_that_leaves_at_each_stage_leaves_nothing_behind():
    async with Rig() as rig:
        for wait in (0.0, 0.005, 0.02, 0.06, 0.2):
            reply = await rig.chat("a long one " * 400, most=400, patience=max(wait, 0.001))
            assert reply.fault == "gave up"
            await rig.settled()
        assert (await rig.chat()).done


@story
async def test_a_client_that_stops_reading_holds_back_its_own_writer_only():
    async with Rig() as rig:
        transport = await connect("127.0.0.1", rig.port, 1.0)
        transport.sock.setsockopt(1, 8, 4096)  # SO_RCVBUF
        slow = asyncio.create_task(
            rig.ask(
                "/v1/chat/completions",
                {
                    "model": CHAT,
                    "messages": [{"role": "user", "content": "tell all of it"}],
                    "max_tokens": 200,
                    "stream": True,
                },
                transport=transport,
                gap=0.8,
            )
        )
        assert all(reply.done for reply in await asyncio.gather(*(rig.chat(f"q{i}") for i in range(8))))
        reply = await slow
        assert reply.done and reply.text() == "".join(f"w{i} " for i in range(len(reply.events)))
        transport.close()
        await rig.settled()


@story
async def test_health_models_and_metrics_tell():
    async with Rig() as rig:
        await rig.chat()
        assert (await rig.ask("/healthz", None, method="GET")).body == b"ok\n"
        text = (await rig.ask("/metrics", None, method="GET")).body.decode()
        assert 'ramppulley_questions_total{ending="fulfilled",kind="chat",use_case="afloat"} 1.0' in text
        assert 'ramppulley_workers{pool="chat",state="ready"} 8.0' in text
