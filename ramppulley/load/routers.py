"""The routers of a run: in this process, or each in a process of its own."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from ramppulley.daemon.daemon import Daemon
from ramppulley.load.ports import reserve_port
from ramppulley.standin.demo import demo_settings

S = 10_000  # tenths of a millisecond in a second
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15
LOG_TAIL_CHARACTERS = 2000
SOURCE_ROOT = Path(__file__).parents[2]


def router_number(settings):
    """The number in a router's name, as in `r3`."""
    return int(settings["name"][1:])


class TaskRouter:
    """A router in this process; `make` builds its routing policy."""

    process = None
    killed_at = ()
    away = ()

    def __init__(self, settings, folder, log, make):
        self.settings = settings
        self.folder = folder
        self.log = log
        self.make = make
        self.number = router_number(settings)

    async def start(self):
        """Starts the router on a free port."""
        self.daemon = await Daemon(demo_settings(**self.settings), self.log, self.folder, self.make).start()
        self.port = self.daemon.front.port

    async def stop(self):
        """Drains and stops the router."""
        await self.daemon.stop()


class ProcessRouter:
    """A router in a process of its own; it keeps its port across restarts.

    `killed_at`: when it was killed; `away`: spans in which its process did not run. Tenths of a millisecond.
    """

    start_timeout_s = START_TIMEOUT_S
    stdin = None

    def __init__(self, settings, folder, policy="module"):
        self.reserved = reserve_port()
        self.port = self.reserved.getsockname()[1]
        self.name = settings["name"]
        self.number = router_number(settings)
        self.folder = Path(folder)
        self.policy = policy
        self.process = None
        self.killed_at = []
        self.away = []
        self.path = self.folder / f"{self.name}.json5"
        self._write_settings(settings)

    def _write_settings(self, settings):
        checked = demo_settings(**settings | {"listen": {"port": self.port}})
        self.path.write_text(json.dumps(checked.model_dump(exclude_none=True)))

    def command(self):
        """The module to run, and its arguments."""
        return ["ramppulley", "serve", str(self.path), "--policy", self.policy]

    async def start(self):
        """Starts the process and waits until it serves."""
        log = open(self.folder / f"{self.name}.log", "ab")  # noqa: ASYNC230
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.command(),
            stdin=self.stdin,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            env={**os.environ, "PYTHONPATH": str(SOURCE_ROOT)},
        )
        log.close()
        async with asyncio.timeout(self.start_timeout_s):
            line = await self.process.stdout.readline()
        if not line.startswith(b"ready"):
            raise RuntimeError(f"{self.name} did not start: {self._log_tail()}")

    def _log_tail(self):
        return (self.folder / f"{self.name}.log").read_text()[-LOG_TAIL_CHARACTERS:]

    async def kill(self):
        """Kills the process without a drain."""
        at = int(time.monotonic() * S)
        self.killed_at.append(at)
        self.process.kill()
        await self.process.wait()  # on a busy machine its sockets accept connections until it has exited
        self.away.append((at, int(time.monotonic() * S)))

    async def stop(self):
        """Asks the process to stop and kills it if it does not stop in time."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        self.reserved.close()
