"""A client of the HTTP API for load tests: sends one request and records what it received. Not a library for users."""

import asyncio
import time
from dataclasses import dataclass, field

import msgspec

from ramppulley.wire import http, sse
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import connect


@dataclass
class Reply:
    """What the client received. Times: seconds on the machine's monotonic clock."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    events: list = field(default_factory=list)
    sent: float = 0.0
    first: float | None = None
    ended: float = 0.0
    done: bool = False  # a complete response: a stream up to its [DONE], or a body of full length
    # Empty, or what went wrong: "cut", "gave up", "error event", "bad answer: ..." or the class name of an OSError
    fault: str = ""

    def json(self):
        return msgspec.json.decode(self.body)

    def text(self):
        """The text of a chat or completion response, streamed or not."""
        if self.events:
            choices = [c for event in self.events for c in msgspec.json.decode(event).get("choices", [])]
            return "".join(c["delta"].get("content") or "" if "delta" in c else c.get("text", "") for c in choices)
        choice = self.json()["choices"][0]
        return choice["message"]["content"] if "message" in choice else choice["text"]


def _read_remainder(transport, parser, reply):
    """Reads a response that was already in the socket buffer at the timeout: it came in time, this process was only too busy
    to read it."""
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


async def ask(  # noqa: C901 - one branch for each way in which a client misbehaves
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
    """Sends one request on a connection of its own, or on `transport`, which then stays open. Never raises because of what
    the server does. `patience`: timeout in seconds from the end of the send; `read_slowly`: seconds between reads; `gap`:
    seconds before the first read; `after_first`: timeout in seconds that replaces `patience` at the first stream event.
    """
    loop, reply, owns_transport, parser = asyncio.get_running_loop(), Reply(), transport is None, None
    reply.sent, splitter = time.monotonic(), sse.EventDataSplitter(4 << 20)
    payload = b"" if body is None else body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        async with asyncio.timeout(patience) as timeout:
            transport = transport or await connect(host, port, patience)
            await transport.send(
                http.request(
                    method,
                    path,
                    {"host": f"{host}:{port}", "content-type": "application/json", **(headers or {})},
                    payload,
                )
            )
            timeout.reschedule(loop.time() + patience)  # the timeout starts when the request has been written
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
                                timeout.reschedule(loop.time() + after_first)
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
            _read_remainder(transport, parser, reply)
    except BadMessage as error:
        reply.fault = f"bad answer: {error}"
    except OSError as error:
        reply.fault = f"{type(error).__name__}"
    finally:
        reply.ended = time.monotonic()
        if transport is not None and (owns_transport or not reply.done):
            transport.close()
    return reply
