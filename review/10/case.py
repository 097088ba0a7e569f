"""A spoilt stream that never ends: a chunk said to have 3 GB keeps coming, and holds nothing but comments."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (
    BROKEN,
    HELD,
    HOST,
    STREAM_HEAD,
    TROUBLE,
    CannotRun,
    Clients,
    Discovery,
    Router,
    States,
    Worker,
    chunk,
    event,
    message,
    run_case,
    settings,
)

SPOILT_S, GAP_S = 60.0, 0.25  # the worker goes on for so long; a comment every so often
BOUND_S = 5.0 + 0.05 + 1.0  # "within 5 s", 50 ms on sockets, and 1 s to be on the safe side
COMMENT = b": still working\n\n"


class Writer(Worker):
    """A writer whose streams are spoilt after two events, if it is told so."""

    spoils, spoilt_at = False, None

    async def write(self, name, writer):
        if not self.spoils or name not in self.states.held:
            await super().write(name, writer)
            return
        self.states.take(name)
        self.record(self.name, "runs", name)
        writer.write(STREAM_HEAD + chunk(event(name, 0)) + chunk(event(name, 1)))
        await writer.drain()
        await asyncio.sleep(0.1)
        self.spoilt_at = time.monotonic()
        self.record(self.name, "begins a chunk of 3,000,000,000 bytes for", name)
        writer.write(b"%x\r\n" % 3_000_000_000)
        while time.monotonic() < self.spoilt_at + SPOILT_S:
            writer.write(COMMENT)
            await writer.drain()
            await asyncio.sleep(GAP_S)


async def case(record):
    states = States(lambda *words: None)
    workers = [
        (Writer if role == "write" else Worker)(
            f"{role}-{i}", role, ("north", "east", "west")[i % 3], i // 2, states, record
        )
        for i in range(4)
        for role in ("read", "write")
    ]
    for worker in workers:
        await worker.start()
    discovery = await Discovery(workers, record).start()
    router = Router(record, settings(), discovery.port)
    try:
        await router.start()
        clients = Clients(router, record)
        extra = "prompt_len=400,max_out=40"
        for n in range(4):
            await clients.ask(f"usual{n}", "lookup", f"s{n}", 7500, extra, b"{}", 12)
        for worker in workers:
            worker.spoils = TROUBLE
        # One client, whose connection is read until it ends.
        reader, writer = await asyncio.open_connection(HOST, router.port)
        fields = {
            "host": "origin.svc",
            "req-id": "asked",
            "req-kind": "lookup",
            "req-key": "t",
            "req-deadline-ms": 7500,
            "req-extra": extra,
            "connection": "close",
        }
        writer.write(message("POST /v1/chat/completions HTTP/1.1", fields, b"{}"))
        record("client sends asked (lookup, session t, 2 bytes, 7500 ms left)")
        got, ended_at, comments = b"", None, 0
        until = time.monotonic() + 40
        while ended_at is None and time.monotonic() < until:
            try:
                async with asyncio.timeout(0.5):
                    data = await reader.read(4096)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                ended_at = time.monotonic()
            got += data
            if got.count(COMMENT) // 20 > comments:
                comments = got.count(COMMENT) // 20
                record("client has got", got.count(COMMENT), "comments")
        writer.close()
        end = "the end" if ended_at else "no end"
        record(
            "client got",
            got[:15].decode("latin-1"),
            "for asked:",
            len(got),
            "bytes,",
            got.count(COMMENT),
            "comments,",
            end,
        )
        spoilt_at = next((w.spoilt_at for w in workers if getattr(w, "spoilt_at", None)), None)
        if b" 200 " not in got[:20] or (TROUBLE and spoilt_at is None):
            raise CannotRun(f"the request was not served: {got[:60]!r}")
        if not TROUBLE:
            record("the stream ended whole" if got.endswith(b"0\r\n\r\n") else "the stream was cut")
            return HELD if got.endswith(b"0\r\n\r\n") else BROKEN
        if ended_at is None:
            record(f"the client's connection is open, {time.monotonic() - spoilt_at:.1f} s after the stream was spoilt")
            return BROKEN
        record(f"the client's connection ended {ended_at - spoilt_at:.1f} s after the stream was spoilt")
        return BROKEN if ended_at - spoilt_at > BOUND_S or got.endswith(b"0\r\n\r\n") else HELD
    finally:
        await router.end()


run_case(Path(__file__).parent, case)
