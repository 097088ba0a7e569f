"""A client of the HTTP API for load: one question, and what crossed its socket. Not a library for users."""

import asyncio
import time
from dataclasses import dataclass, field

import msgspec

from ramppulley.wire import http, sse
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import connect


@dataclass
class Reply:
    """What came back. Times: seconds on the machine's monotonic clock."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    events: list = field(default_factory=list)
    sent: float = 0.0
    first: float | None = None
    ended: float = 0.0
    done: bool = False  # a whole answer: a stream with its [DONE], or all of its length
    fault: str = ""  # refused, reset, cut, gave up

    def json(self):
        return msgspec.json.decode(self.body)

    def text(self):
        """The answer's text, of a chat or completion, streamed or whole."""
        if self.events:
            choices = [c for e in self.events for c in msgspec.json.decode(e).get("choices", [])]
            return "".join(c["delta"].get("content") or "" if "delta" in c else c.get("text", "") for c in choices)
        choice = self.json()["choices"][0]
        return choice["message"]["content"] if "message" in choice else choice["text"]


def _last_look(transport, parser, reply):
    """An answer that had crossed the socket when time ran out came in time, though this busy process had not read it."""
    try:
        while not parser.done:
            data = transport.sock.recv(1 << 16)
            if not data:
                return
            parser.feed(data)
    except (OSError, BadMessage):
        return
    reply.status, reply.headers, reply.body, reply.done, reply.fault = (
        parser.status,
        parser.headers,
        parser.take(),
        True,
        "",
    )


async def ask(  # noqa: C901 - one branch a way in which a client misbehaves
    host,
    port,
    path,
    body=None,
    headers=None,
    patience=30.0,
    method="POST",
    read_slowly=0.0,
    transport=None,
    gap=0.0,
    after_first=0.0,
):
    """One question on a connection of its own, or on `transport`, which is then left open. Never raises for what the
    other side does; `read_slowly`: seconds between reads, `gap`: before the first one;
    `after_first`: seconds that a stream may go on once it has begun, in place of `patience`.
    """
    loop, reply, own, parser = asyncio.get_running_loop(), Reply(), transport is None, None
    reply.sent, splitter = time.monotonic(), sse.EventDataSplitter(4 << 20)
    raw = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        async with asyncio.timeout(patience) as limit:
            transport = transport or await connect(host, port, patience)
            await transport.send(
                http.request(
                    method, path, {"host": f"{host}:{port}", "content-type": "application/json", **(headers or {})}, raw
                )
            )
            limit.reschedule(loop.time() + patience)  # patience begins when the question was written
            if gap:
                await asyncio.sleep(gap)
            parser = http.ResponseParser(256 << 20)
            while not parser.done:
                data = await transport.receive()
                if not data:
                    reply.fault = reply.fault or "cut"
                    break
                parser.feed(data)
                if parser.status and not reply.status:
                    reply.status, reply.headers = parser.status, parser.headers
                if parser.headers.get("content-type", "").startswith("text/event-stream"):
                    for event in splitter.feed(parser.take()):
                        if reply.first is None:
                            reply.first = time.monotonic()
                            if after_first:
                                limit.reschedule(loop.time() + after_first)
                        if event == sse.DONE:
                            reply.done = True
                        elif event.startswith(b'{"error"'):
                            reply.fault = "error event"
                        else:
                            reply.events.append(event)
                if read_slowly:
                    await asyncio.sleep(read_slowly)
            else:
                reply.body = parser.take()
                if not reply.events:
                    reply.done, reply.first = True, reply.first or time.monotonic()
    except TimeoutError:
        reply.fault = "gave up"
        if parser is not None and not reply.events:
            _last_look(transport, parser, reply)
    except BadMessage as fault:
        reply.fault = f"bad answer: {fault}"
    except OSError as fault:
        reply.fault = f"{type(fault).__name__}"
    finally:
        reply.ended = time.monotonic()
        if transport is not None and (own or not reply.done):
            transport.close()
    return reply
