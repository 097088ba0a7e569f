"""Tests that the platform's router reads requests as the bench adapter does, and answers malformed input with an error."""

import asyncio
import io
import json
import time

import msgspec
import pytest
from platform_rig import SETTINGS, WHOLE, Heard, World, answer, question, silent
from rig import story

from ramppulley import door
from ramppulley.drill import wire as drill
from ramppulley.profile import Profile
from ramppulley.wire import platform
from ramppulley.wire.faults import BadMessage

# The decision module gets the same events from both hosts


@story
async def test_one_question_told_by_the_bench_adapter_and_by_sockets_is_the_same_to_the_module():
    Heard.made.clear()
    async with World(make=Heard) as world:
        assert (await world.ask("q-1", req_cost="560000"))[0] == 200
        await world.settled()
    output = io.StringIO()
    batches = [
        f"POWER_ON router_0 7 {json.dumps(SETTINGS)}\nMEMBERSHIP router_0 1 disk 2\n"
        "ENTRY SERVING 3 s-r0 1 0 0 -\nENTRY SERVING 3 s-w0 1 0 1 -\n",
        "WORK_ITEM router_0 q1 64 40 7f3a 0 0.56 80 0 5c0f 4.0 1\n",
        "SAMPLED router_0 pass s-w0 0.001 12,0.25,1.5\nSAMPLED router_0 pass s-r0 0.001 12,0.25,1.5\n",
        "FINISHED router_0 q1 0 s-r0 read 0.01 0 64 -\n",
        "HEAD_RECEIVED router_0 q1 1 s-w0 0.01\n",
        "FINISHED router_0 q1 1 s-w0 pass 0.02 1 64 -\n",
    ]
    text = "".join(f"BATCH {5 + i / 100}\n{batch}COMMIT\n" for i, batch in enumerate(batches))
    drill.serve(io.StringIO(text), output, Heard)
    (sockets, made), (adapter, adapter_made) = Heard.made
    assert made == adapter_made
    probes = [t for t in sockets.told if t[0] == "probed"]
    assert probes and set(probes) == {t for t in adapter.told if t[0] == "probed"}
    assert [t for t in sockets.told if t[0] != "probed"] == [t for t in adapter.told if t[0] != "probed"]
    endpoints = [
        {(b.mark, b.role, b.cell, b.zone, b.memory, b.weight, b.state, b.born) for b in r.workers}
        for r in (sockets, adapter)
    ]
    assert endpoints[0] == endpoints[1]


def test_a_report_is_read_by_the_settings_names_and_noise_is_none():
    profile = Profile(SETTINGS)
    assert profile.report({"lat_ms": 12, "x0": 0.25, "x1": 1.5, "y": 3}) == door.LoadReport(None, 0.25, 1500.0, 120)
    assert profile.report({"lat_ms": "x", "x0": float("nan"), "x1": None}) == door.LoadReport()
    assert platform.parse_report(b"\xff\xfe") is None and platform.parse_report("[1]") is None
    assert platform.parse_report("[" * 30_000) is None


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b'{"a":NaN}',
        b'{"a":-Infinity}',
        b'{"a":1e999}',
        b'{"a":"\\ud800"}',
        b'{"a":"\xff"}',
        b'{"a":"\n"}',
        b"\xef\xbb\xbf{}",
        "{}".encode("utf-16"),
        b'{"a":01}',
        b'{"a":1,}',
        b"{} {}",
        pytest.param(b"9" * 5000, id="long"),
        pytest.param(b"[" * 100_000, id="deep"),
    ],
)
def test_what_is_no_json_is_refused_as_strictly_by_the_platforms_reader(text):
    with pytest.raises((msgspec.DecodeError, RecursionError)):
        msgspec.json.decode(text)
    with pytest.raises(BadMessage):
        platform.decode(text)


@pytest.mark.parametrize(
    "text",
    [
        b' {"a":[1,-0,2.5e3,true,null]}\r\n',
        b'{"a":"\\ud83d\\ude00\\u0000\\\\u"}',
        '"\u00e9"'.encode(),
        b'{"a":1,"a":2}',
        b"9" * 30,
    ],
)
def test_json_reads_the_same_by_the_platforms_reader(text):
    assert platform.decode(text) == platform.decode(text.decode()) == msgspec.json.decode(text)


# Responses to malformed input


BAD = {
    "noise": (b"\x00\xff\xfe\x01\r\n\r\n", 400),
    "a head without end": (b"POST / HTTP/1.1\r\nA: " + b"x" * 200_000, 431),
    "a negative length": (b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", 400),
    "a length that is no number": (b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
    "a huge length": (b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 30 + b"\r\n\r\n", 400),
    "two lengths": (b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
    "a length and chunks": (question("q-1").replace(b"req-id", b"transfer-encoding: chunked\r\nreq-id"), 400),
    "a body too large": (b"POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 500_000, 413),
    "a class that does not exist": (question("q-1", req_kind="none"), 400),
    "no class": (question("q-1", req_kind=None), 400),
    "a limit that is no number": (question("q-1", req_deadline_ms="soon"), 400),
    "a negative limit": (question("q-1", req_deadline_ms="-4"), 400),
    "no limit": (question("q-1", req_deadline_ms=None), 400),
    "no id": (question("q-1", req_id=None), 400),
    "two ids": (question("q-1").replace(b"req-id: q-1", b"req-id: q-1\r\nreq-id: q-2"), 400),
    "extras that are no numbers": (question("q-1", req_extra="prompt_len=many"), 400),
    "another method": (question("q-1").replace(b"POST", b"PUT", 1), 404),
    "two requests at once": (question("q-1") + question("q-2"), 400),
    "one and a half": (question("q-1") + question("q-2")[:40], 400),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_gets_its_error_and_a_close_and_nothing_is_passed_on(name):
    @story
    async def scenario():
        async with World() as world:
            data, status = BAD[name]
            transport = await world.connect()
            started_at = time.monotonic()
            sending = asyncio.create_task(transport.send(data))
            assert (await answer(transport))[0] == status
            async with asyncio.timeout(3):
                assert await transport.receive() == b""
            assert time.monotonic() - started_at < 2
            await asyncio.gather(sending, return_exceptions=True)
            transport.close()
            assert not world.readers[0].of("POST") and not world.node.core.accepted
            assert (await world.ask("q-9"))[0] == 200

    scenario()


@story
async def test_the_id_of_an_open_question_or_of_one_that_ended_is_refused_and_the_open_one_goes_on():
    async with World(token_s=0.1) as world:
        first = asyncio.create_task(world.ask("q-1"))
        await world.until(lambda: world.node.front.open_requests)
        assert (await world.ask("q-1"))[0] == 409
        assert (await first)[2:] == (WHOLE, True)
        assert (await world.ask("q-1"))[0] == 409 and len(world.readers[0].of("POST")) == 1


@story
async def test_who_speaks_while_its_question_is_out_is_refused():
    async with World() as world:
        world.readers[0].scripts.append(silent)
        transport = await world.connect()
        await transport.send(question("q-1"))
        await world.until(lambda: world.node.front.open_requests)
        await transport.send(b"more")
        assert (await answer(transport))[0] == 400
        transport.close()


@story
async def test_silent_connections_and_half_requests_end_within_three_seconds():
    async with World() as world:
        silent_connection, half = await world.connect(), await world.connect()
        await half.send(question("q-1")[:60])
        async with asyncio.timeout(2.9):
            assert await silent_connection.receive() == b"" and (await answer(half))[0] == 408
        silent_connection.close()
        half.close()


@story
async def test_hundreds_of_silent_connections_leave_room_for_a_client_that_asks():
    async with World(sockets=96) as world:
        silent_connections = [await world.connect() for _ in range(120)]
        await asyncio.sleep(0.2)
        assert (await world.ask("q-1"))[0] == 200
        assert len(world.node.front.listener.tasks) <= world.node.front.listener.max_connections + 1
        for transport in silent_connections:
            transport.close()
