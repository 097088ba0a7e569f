"""Stand-ins for the platform around one router in tests: workers and discovery, which speak the published protocol.

The workers share one set of KV states, as a `DELETE` may reach another worker than the holder. Each of `scripts` replaces
one response: bytes, or a coroutine that gets the transport.
"""

import asyncio
import socket
from collections import Counter, deque
from contextlib import contextmanager

import msgspec

from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.listener import Listener

EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":80,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":64}}}\n\n',
    b"data: [DONE]\n\n",
]
HEAD = http.response_head(200, {"content-type": "text/event-stream"})
GOOD = HEAD + b"".join(http.chunk(event) for event in EVENTS) + http.LAST_CHUNK
DECLINED = {"srv-declined": "1"}


class KvYard(set):
    """Ids of the requests whose KV state a prefill worker holds. A release frees a state unless a decode waits for it."""

    def __init__(self):
        super().__init__()
        self.awaited = Counter()  # decodes that wait, by request id

    def release(self, name):
        """A worker received a `DELETE`, whichever it is."""
        if not self.awaited[name]:
            self.discard(name)

    @contextmanager
    def waiting(self, name):
        """A decode waits for this state, until its worker notices that the request was cancelled."""
        self.awaited[name] += 1
        try:
            yield
        finally:
            self.awaited[name] -= 1


class PlatformWorker:
    """One prefill or decode worker.

    `log`: (method, path, id, body) of each request, in the order of arrival; `limits`: their deadline headers.
    `token_s`: seconds before each event of a stream; 0 = the whole response at once.
    """

    def __init__(self, name, role, yard, token_s=0.0):
        self.name, self.role, self.yard, self.token_s = name, role, yard, token_s
        self.takes = 0.0  # seconds before it handles a POST or a DELETE
        self.scripts, self.log, self.limits, self.connections = deque(), [], [], 0
        self.headers = []  # of each POST, in the order of `log`
        self.reachable, self.backlog_fillers = True, []

    def start(self, port=0):
        self.listener = Listener(self._serve, port=port).start()
        return self

    async def stop(self):
        for sock in self.backlog_fillers:
            sock.close()
        await self.listener.stop()

    def cut_off(self):
        """From now on open connections stay open and silent, and new ones are never established."""
        self.reachable = False
        self.listener._accepting.cancel()
        self.listener.sock.listen(0)  # a backlog of one: when it is full, the kernel answers no further SYN
        for _ in range(3):
            self.backlog_fillers.append(socket.socket())
            self.backlog_fillers[-1].setblocking(False)
            self.backlog_fillers[-1].connect_ex(self.listener.sock.getsockname())

    def of(self, method):
        return [entry for entry in self.log if entry[0] == method]

    async def _serve(self, transport):
        self.connections += 1
        parser = http.RequestParser(1 << 20)
        while True:
            while not parser.ready:
                data = await transport.receive()
                if not data:
                    return
                try:
                    parser.feed(data)
                except BadMessage:
                    return
            request = parser.ready.popleft()
            if not self.reachable:
                await asyncio.Event().wait()
            name = request.headers.get(platform.ID, "")
            self.log.append((request.method, request.target, name, request.body))
            self.limits.append(request.headers.get(platform.DEADLINE))
            if request.method == "POST":
                self.headers.append(request.headers)
            scripted = request.method == "POST" and self.scripts
            if request.method != "GET" and not scripted:
                await asyncio.sleep(self.takes)
            if scripted:
                script = self.scripts.popleft()
                if isinstance(script, bytes):
                    if self.role == "write" and HEAD in script:  # a response begins when the state has been fetched
                        self.yard.discard(name)
                    await transport.send(script)
                else:
                    await script(transport)
            else:
                await self._answer(transport, request, name)

    async def _answer(self, transport, request, name):
        if request.method == "DELETE":
            self.yard.release(request.target.rpartition("/")[2])
            await transport.send(http.response(204, {}))
        elif request.method == "GET":
            report = b'{"lat_ms":12,"x0":0.25,"x1":1.5}' if request.path == platform.LOAD else b""
            await transport.send(http.response(200, {}, report))
        elif self.role == "read":
            self.yard.add(name)
            await transport.send(http.response(202, {}, b'{"cached_tokens":64}'))
        elif name not in self.yard:
            await transport.send(http.response(410, DECLINED))
        else:
            self.yard.discard(name)
            if not self.token_s:
                await transport.send(GOOD)
                return
            await transport.send(HEAD)
            for event in EVENTS:
                await asyncio.sleep(self.token_s)
                await transport.send(http.chunk(event))
            await transport.send(http.LAST_CHUNK)


class PlatformList:
    """Discovery: sends each caller the whole list, or the changes since its version, and then each change.

    After `beat` seconds without a change a watch sends an empty line.
    While `fault` is set, it handles each call instead, and open watches stay silent for good.
    """

    def __init__(self, beat=0.5):
        self.seq, self.hosts, self.changes, self.watches, self.asked = 1, {}, [], set(), []
        self.beat, self.fault = beat, None

    def start(self, port=0):
        self.listener = Listener(self._serve, port=port).start()
        return self

    async def stop(self):
        await self.listener.stop()

    def tell(self, *entries):
        """Sends changed entries to all watches."""
        self.seq += 1
        for entry in entries:
            self.hosts[entry["host"]] = entry
        change = {"seq": self.seq, "whole": False, "hosts": list(entries)}
        self.changes.append(change)
        for queue in self.watches:
            queue.put_nowait(change)

    def whole(self):
        """The whole list as a message."""
        return {"seq": self.seq, "whole": True, "hosts": [h for h in self.hosts.values() if h["health"] != "Gone"]}

    async def _serve(self, transport):
        parser = http.RequestParser(1 << 20)
        while not parser.ready:
            data = await transport.receive()
            if not data:
                return
            parser.feed(data)
        request, queue = parser.ready.popleft(), asyncio.Queue()
        self.asked.append(request.target)
        if self.fault:
            await self.fault(transport)
            return
        since = int(request.target.rpartition("from=")[2])
        await transport.send(http.response_head(200, {"content-type": "application/json"}))
        for change in [c for c in self.changes if c["seq"] > since] if since else [self.whole()]:
            queue.put_nowait(change)
        self.watches.add(queue)
        try:
            while True:
                try:
                    async with asyncio.timeout(self.beat):
                        line = msgspec.json.encode(await queue.get())
                except TimeoutError:
                    line = b""
                if self.fault:
                    await asyncio.Event().wait()
                await transport.send(http.chunk(line + b"\n"))
        finally:
            self.watches.discard(queue)
