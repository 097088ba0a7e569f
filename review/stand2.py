"""Stand-ins and rig for the cases from 6 on: the platform, its clients, workers and discovery.

Standard library only; loopback addresses, the real clock. The router is started by `run` of the deploy file, which ends in
one process, and ended by its id.
"""

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run: nothing is said of the rule."""


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder; times are seconds since the start."""

    def __init__(self, folder):
        self.began, self.file = time.monotonic(), open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        self.file.write(f"{self.now():9.3f}  {' '.join(str(word) for word in words)}\n")
        self.file.flush()


def settings(**changes):
    """Settings like those of a small deployment; a change replaces the value at its path (`Rules__ColdS=14.0`)."""
    lane = {"Stream": True, "KeyScope": "all", "WindowS": 5.0}
    made = {
        "DomainType": "twostage",
        "Azs": ["north", "east", "west"],
        "MyZone": 0,
        "Me": 0,
        "NInstances": 3,
        "Kinds": ["prefill", "decode"],
        "Discovery": "pushed",
        "Lanes": [
            {"Name": "lookup", "AimS": 1.5, "GiveUpS": 7.5, "Credit": 1.0, "LateWorth": 0.3, "Effect": "free"} | lane,
            {"Name": "lodging", "AimS": 2.0, "GiveUpS": 10.0, "Credit": 2.0, "LateWorth": 0.2, "Effect": "single_shot"}
            | lane,
        ],
        "Bounds": {
            "Cancel": True,
            "ConnIdleS": 15.0,
            "ConnectTimeoutS": 0.25,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500000,
            "MaxOpen": 30000,
            "MaxRetryAfterS": 0.5,
            "MayDuplicate": False,
            "Peers": False,
            "Probing": True,
            "RetryAfter": True,
            "SendCap": 4,
            "StreamsPerConn": 32,
        },
        "Clients": {"MarksRetry": True},
        "OverShareWorth": 1.0,
        "Report": {"Fields": ["lat_ms", "x0", "x1"], "How": "probe"},
        "ResolutionS": 0.004,
        "Rules": {
            "AnswerSlackS": 0.016,
            "ColdFrom": 0.27,
            "ColdS": 14.0,
            "DrainGraceS": 0.5,
            "FallMultiple": 3.0,
            "FallS": 1.5,
            "MustAskInS": 10.0,
        },
        "Specifics": {
            "AimUsPer1000PromptTokens": [40000.0, 40000.0],
            "MayReserve": False,
            "MemoryTokens": [220000, 165000],
            "MoveFee": 0.04,
            "ReleaseS": 0.5,
            "ReportX0": "share of memory that is held",
            "ReportX1": "thousands of prompt tokens waiting to be read or fetched",
            "Resume": False,
            "RoleByKind": ["read", "write"],
            "SelfPrefill": False,
            "TokenAimS": [0.07, 0.08],
        },
        "Stages": ["model-fleet"],
        "Tenants": [],
        "Tier": 0,
        "Weights": "none",
        "WorthBy": "work",
    }
    for path, value in changes.items():
        place, *names = made, *path.split("__")
        for name in names[:-1]:
            place = place[name]
        place[names[-1]] = value
    return made


# HTTP/1.1, as far as the protocol page needs it
async def read_head(reader):
    """(first line, fields) of a message; raises IncompleteReadError at the end of the connection."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def message(first_line, fields, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{head}content-length: {len(body)}\r\n\r\n".encode("latin-1") + body


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
LINGER_RESET = b"\1\0\0\0\0\0\0\0"  # struct linger: a close sends a reset
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


class States:
    """The read states that all readers hold, by request id. A release at any worker frees one that no writer waits for."""

    def __init__(self, record):
        self.record, self.held, self.awaited = record, {}, {}

    def add(self, name, worker):
        self.held[name] = worker, time.monotonic()
        self.record("state", name, "is held at", worker)

    def release(self, name):
        if name in self.held and not self.awaited.get(name):
            self.record("state", name, "released at", self.held.pop(name)[0])

    def lose(self, worker):
        """This worker's machine has gone, and what it held with it."""
        for name in [name for name, (holder, _) in self.held.items() if holder == worker]:
            del self.held[name]

    def take(self, name):
        if name in self.held:
            self.record("state", name, "fetched from", self.held.pop(name)[0])


WORKER_PORTS, ROUTER_PORTS = range(12000, 32000), range(10000, 12000)  # below those of outgoing connections


def bound_socket(ports, reuse=False):
    """A socket at a free port, which nobody else can take meanwhile. `reuse`: but a router that is started may."""
    for port in random.sample(ports, 400):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(reuse))
        try:
            sock.bind((HOST, port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # it may listen again after its connections' ends
        sock.setblocking(False)
        return sock
    raise CannotRun("no free port")


class Worker:
    """One reader or writer. What waits there is dropped once its connection has ended; a read that runs goes on."""

    def __init__(self, name, role, zone, block, states, record):
        self.name, self.role, self.zone, self.block, self.states, self.record = name, role, zone, block, states, record
        self.born_ms, self.health = 0, "Ready"
        self.read_s, self.first_s, self.events, self.gap_s = 0.06, 0.03, 4, 0.05
        self.waiting, self.connections, self.ended = 0, {}, {}

    async def start(self):
        self.sock = bound_socket(WORKER_PORTS)
        self.port = self.sock.getsockname()[1]
        await self.listen()
        return self

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, sock=self.sock.dup(), limit=1 << 19)

    def entry(self):
        """Its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.zone,
            "class": "prefill" if self.role == "read" else "decode",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def die(self):
        """Its process dies: connections are reset, new ones are refused, and what it held is gone."""
        for writer, (task, _) in list(self.connections.items()):
            with contextlib.suppress(OSError):  # closed by now
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
            task.cancel()
        self.states.lose(self.name)
        self.server.close()
        self.sock.shutdown(socket.SHUT_RDWR)

    async def come_back(self):
        """It starts anew at its address, cold."""
        self.born_ms, self.waiting = int(time.time() * 1000), 0
        await self.listen()

    def gone(self, writer):
        """Whether the router has ended this connection, or its sending on it."""
        return writer.transport.is_closing() or self.connections[writer][1].at_eof()

    async def serve(self, reader, writer):
        self.connections[writer] = asyncio.current_task(), reader
        try:
            while True:
                first, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = first.split(" ")
                if method == "POST":
                    self.record(self.name, "received", fields.get("req-id"), f"({len(body)} bytes)")
                await self.answer(method, target, fields, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def answer(self, method, target, fields, writer):
        if method == "DELETE":
            self.states.release(target.rpartition("/")[2].replace("%3A", ":"))
            writer.write(message("HTTP/1.1 204 No Content", {}))
        elif method == "GET":
            load = {"lat_ms": 1000 * self.read_s, "x0": 0.2, "x1": 0.5 * self.waiting}
            writer.write(message("HTTP/1.1 200 OK", {}, json.dumps(load).encode()))
        elif self.role == "read":
            await self.read(fields["req-id"], writer)
        else:
            await self.write(fields["req-id"], writer)

    async def read(self, name, writer):
        self.waiting += 1
        await asyncio.sleep(self.read_s)
        self.waiting -= 1
        if self.gone(writer):
            self.record(self.name, "has read", name, "for nobody: its connection has ended")
            raise ConnectionResetError
        self.states.add(name, self.name)
        self.record(self.name, "answers 202 to", name)
        writer.write(message("HTTP/1.1 202 Accepted", {}, b'{"cached_tokens":0}'))

    async def write(self, name, writer):
        if name not in self.states.held:
            self.record(self.name, "answers 410 to", name)
            writer.write(message("HTTP/1.1 410 Gone", {"srv-declined": "1"}))
            return
        self.states.awaited[name] = self.states.awaited.get(name, 0) + 1
        try:
            await asyncio.sleep(self.first_s)
        finally:
            self.states.awaited.pop(name)
        if self.gone(writer):
            self.record(self.name, "drops", name, "as its connection has ended")
            raise ConnectionResetError
        self.states.take(name)
        self.record(self.name, "runs", name)
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            writer.write(chunk(event(name, number)))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        usage = {"prompt_tokens": 100, "completion_tokens": 4, "prompt_tokens_details": {"cached_tokens": 0}}
        writer.write(chunk(f"data: {json.dumps({'choices': [], 'usage': usage})}\n\n".encode()))
        self.ended[name] = time.monotonic()
        writer.write(chunk(b"data: [DONE]\n\n") + LAST_CHUNK)
        self.record(self.name, "has written the end of", name)


def event(name, number):
    """An event of a request's answer: it names the request, so that nobody else's answer can pass for it."""
    choice = {"index": 0, "delta": {"content": f"{name}-{number}"}, "finish_reason": None}
    return f"data: {json.dumps({'choices': [choice]})}\n\n".encode()


class Link:
    """The network between the router and one worker, as a proxy. `cut` begins a partition: open connections stay open and
    silent, new ones never come up. `heal` ends it: what both ends still want to send arrives then, as TCP sends it again.
    A connection that was reset meanwhile delivers nothing more, as its machine has dropped what was not acknowledged.
    """

    CLOSED = 7  # TCP_CLOSE in the kernel's tcp_info

    def __init__(self, record):
        self.record, self.up, self.fillers, self.tasks = record, asyncio.Event(), [], set()
        self.up.set()

    async def start(self, worker):
        self.worker_port = worker.port
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.bind((HOST, 0))
        self.sock.listen(64)
        worker.port = self.sock.getsockname()[1]  # the address that discovery tells
        self.accepting = self.spawn(self.accept())
        return self

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def cut(self):
        self.up.clear()
        self.accepting.cancel()
        self.sock.listen(0)  # a backlog of one: when it is full, the kernel answers no further SYN
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.sock.listen(64)
        self.accepting = self.spawn(self.accept())
        self.up.set()

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self.sock)
            near.setblocking(False)
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.spawn(self.carry(near))

    async def carry(self, near):
        far = socket.socket()
        far.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(far, (HOST, self.worker_port))
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pumps = [self.spawn(self.pump(near, far)), self.spawn(self.pump(far, near))]
            done, others = await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
            for pump in others:
                pump.cancel()
        finally:
            for sock in (near, far):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                sock.close()

    async def pump(self, source, target):
        """Raises OSError where either end was reset."""
        loop = asyncio.get_running_loop()
        while True:
            await self.up.wait()
            data = await loop.sock_recv(source, 1 << 16)
            if not self.up.is_set():
                await self.up.wait()
                if source.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[0] == self.CLOSED:
                    raise ConnectionResetError
            if not data:
                target.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(target, data)


class Discovery:
    """The agent on the router's machine: sends the whole list, then each change; an empty line every 2 s without one."""

    def __init__(self, workers, record):
        self.workers, self.record, self.seq, self.watches = workers, record, 1, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [worker.entry() for worker in self.workers]}

    def tell(self, workers, why):
        """Tells all watches of these workers' present entries, in one object."""
        self.seq += 1
        self.record("discovery tells", len(workers), "entries:", why)
        change = {"seq": self.seq, "whole": False, "hosts": [worker.entry() for worker in workers]}
        for queue in self.watches:
            queue.put_nowait(change)

    async def serve(self, reader, writer):
        queue = asyncio.Queue()
        try:
            first, _ = await read_head(reader)
            while "watch=1" not in first:  # a call for the whole list
                writer.write(message("HTTP/1.1 200 OK", {}, json.dumps(self.whole()).encode()))
                first, _ = await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")
            queue.put_nowait(self.whole())
            self.watches.add(queue)
            while True:
                try:
                    async with asyncio.timeout(2.0):
                        line = json.dumps(await queue.get()).encode()
                except TimeoutError:
                    line = b""
                writer.write(chunk(line + b"\n"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(queue)
            writer.close()


class Router:
    """One router, started as the platform starts it: by `run` of the deploy file, told by PROXY_CONFIG."""

    def __init__(self, record, made_settings, discovery_port, known=None, memory_mb=192, sockets=1024, name="n1"):
        self.record, self.name, self.memory_mb, self.was_killed = record, name, memory_mb, False
        self.reservation = bound_socket(ROUTER_PORTS, reuse=True)  # keeps the port
        self.port = self.reservation.getsockname()[1]
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": made_settings,
        }
        if known is not None:
            self.config["known"] = known
        self.process = None

    async def start(self, ready_within_s=30.0):
        (self.folder / "config.json").write_text(json.dumps(self.config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("router", self.name, "started")
        until = time.monotonic() + ready_within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"the router ended with status {self.process.returncode}: {self.log()[-300:]}")
            if " listening " in self.log() and await self.is_ready():
                self.record("router", self.name, "is ready")
                return self
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready in time")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(message("GET /-/ready HTTP/1.1", {"host": "origin.svc", "connection": "close"}))
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    def log(self):
        try:
            return (self.folder / "log.txt").read_text(errors="replace")
        except OSError:
            return ""

    def anonymous_mb(self):
        """Its own memory in MB: anonymous pages and files in memory, without what the file system backs."""
        sizes = {}
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(("RssAnon", "RssShmem")):
                    sizes[line.split(":")[0]] = int(line.split()[1]) / 1024
        except OSError:
            return 0.0
        return sum(sizes.values())

    def kill(self):
        """As the platform does, over the limit of memory."""
        self.was_killed = True
        if self.process.returncode is None:
            self.process.kill()

    async def end(self):
        """Ends it if it still runs, and removes its folder. Raises CannotRun if it had ended by itself."""
        ended_itself = self.process is not None and self.process.returncode is not None and not self.was_killed
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        self.reservation.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        if ended_itself:
            raise CannotRun("the router had ended by itself")


class Answer:
    """What a client got: `status` 0 = no answer; times in seconds after it had sent the request."""

    def __init__(self, name):
        self.name, self.status, self.body, self.whole, self.at, self.error = name, 0, b"", False, None, ""
        self.ended_at = None  # on this process's clock
        self.sent_as = ""  # what the record tells of the request


class Clients:
    """Clients of the platform: they keep their connections, send one request at a time on each and open more when all are
    busy. A request on a resting connection that ends unanswered is sent once more on a new connection."""

    def __init__(self, router, record):
        self.router, self.record, self.idle = router, record, []

    async def ask(self, name, kind, session, deadline_ms, extra, body, wait_s):
        """Sends one request, and waits for the end of its answer for `wait_s` at most."""
        answer = Answer(name)
        answer.sent_as = f"({kind}, session {session}, {len(body)} bytes, {deadline_ms} ms left)"
        text = message(
            "POST /v1/chat/completions HTTP/1.1",
            {
                "host": "origin.svc",
                "req-id": name,
                "req-kind": kind,
                "req-key": session,
                "req-deadline-ms": deadline_ms,
                "req-extra": extra,
                "content-type": "application/json",
            },
            body,
        )
        try:
            async with asyncio.timeout(wait_s):
                resting = self.idle.pop() if self.idle else None
                if resting is None or not await self.exchange(answer, resting, text):
                    await self.exchange(answer, await asyncio.open_connection(HOST, self.router.port), text)
        except (OSError, TimeoutError) as fault:
            answer.error = type(fault).__name__
        took = "-" if answer.at is None else f"{answer.at:.3f} s"
        form = "whole" if answer.whole else "not whole"
        self.record("client got", answer.status or answer.error or "a close", f"({form}) for", name, "after", took)
        return answer

    async def exchange(self, answer, connection, text):
        """Returns whether the connection brought an answer, or part of one."""
        reader, writer = connection
        keep, answer.error = False, ""
        try:
            sent_at = time.monotonic()
            writer.write(text)
            self.record("client sends", answer.name, answer.sent_as)
            first, fields = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            answer.at = time.monotonic() - sent_at
            if "content-length" in fields:
                answer.body = await reader.readexactly(int(fields["content-length"]))
            else:
                while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            answer.whole, keep = True, fields.get("connection", "").lower() != "close"
            answer.ended_at = time.monotonic()
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            answer.error = type(fault).__name__
        finally:
            if keep:
                self.idle.append(connection)
            else:
                writer.close()
        return answer.status != 0

    def close(self):
        for _, writer in self.idle:
            writer.close()
        self.idle = []


def check_disruption(began, limit_s):
    """A disruption that was longer than the pages allow says nothing of the rule."""
    if time.monotonic() - began > limit_s:
        raise CannotRun(f"the disruption was longer than {limit_s} s")


def check_served(served, sent):
    """Without its disruption, a case in which little was served says nothing of the rule."""
    if not TROUBLE and served < 0.5 * sent:
        raise CannotRun(f"the stand-ins served {served} of {sent}: too little for a verdict")


def run_case(folder, case, limit_s=115.0):
    """Runs `case(record)`, a coroutine that returns the exit status, and exits with it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16384), hard))
    record = Record(folder)

    async def limited():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # connections that end with the case
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        status = asyncio.run(limited())
    except Exception as fault:  # a fault of the case, or a machine that cannot run it, says nothing of the rule
        record("the case could not run:", repr(fault))
        status = COULD_NOT_RUN
    record("exit", status)
    print(f"{Path(folder).name}: {['the rule held', 'the rule was broken', 'could not run'][status]}")
    sys.exit(status)


__all__ = [name for name in dir() if not name.startswith("_")]
