"""Router processes as operators start them: their configuration, their signals, what they write, how they end."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from ramppulley.load.soak.evidence import Evidence, ProcessLife
from ramppulley.load.soak.shim import Shim
from ramppulley.standin.platform_mutants import ENTRY

ROOT = Path(__file__).parents[3]
READY_POLL_S, LAST_LINES = 0.05, 6
FAULT_WORDS = (
    "rule broken",
    "module fault",
    "connector fault",
    "fault in",
    "fault while",
    "Traceback",
    "never awaited",
)


class RouterProcess:
    """One router: its address and folder last, its processes come and go."""

    def __init__(
        self, number: int, port: int, folder: Path, evidence: Evidence, shim: Shim | None, mutant: str
    ) -> None:
        self.number, self.port, self.evidence, self.shim, self.mutant = number, port, evidence, shim, mutant
        self.path, self.log_path = folder / f"n{number}.json", folder / f"n{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.life = ProcessLife(number, 0.0)

    def configure(self, content: dict[str, Any]) -> None:
        """Writes the configuration file whole, in place of the one before."""
        draft = self.path.with_suffix(".new")
        draft.write_text(json.dumps(content))
        draft.replace(self.path)

    async def start(self) -> None:
        """A new process; `wait_ready` waits for it."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(self.path), "PYTHONPATH": str(ROOT)}
        if self.shim is not None:
            environment |= self.shim.environment()
        module = ["ramppulley", "platform"] if not self.mutant else [ENTRY, self.mutant]
        self.life = ProcessLife(self.number, time.monotonic())
        self.evidence.lives.append(self.life)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *module, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def wait_ready(self, within_s: float = 15.0) -> None:
        """Until it listens and says that it is ready; no exception where it does not."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline and self.alive():
            if await self._is_ready():
                self.life.ready_at = time.monotonic()
                return
            await asyncio.sleep(READY_POLL_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal, if its process runs."""
        if self.process is None or not self.alive():
            return
        if number == signal.SIGTERM and self.life.term_at is None:
            self.life.term_at = time.monotonic()
        if number == signal.SIGKILL:
            self.life.kill_at = time.monotonic()
        self.process.send_signal(number)

    async def wait_end(self, within_s: float) -> None:
        """Until its process has ended, which is killed after so long."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(within_s):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.life.ended_at, self.life.status = time.monotonic(), self.process.returncode

    def log_end(self) -> str:
        """Its last lines."""
        if not self.log_path.exists():
            return ""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join([f"({len(lines)} lines in all, the last of them:)", *lines[-LAST_LINES:]])

    def log_faults(self) -> list[str]:
        """Lines by which it reports a fault of its own."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [f"n{self.number}: {line[:600]}" for line in lines if any(word in line for word in FAULT_WORDS)]
