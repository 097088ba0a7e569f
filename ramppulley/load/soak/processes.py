"""Router processes as operators run them: configuration files, signals, logs and exit status."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from ramppulley.daemon.platform.process_memory import anonymous_memory_mb
from ramppulley.load.soak.evidence import Evidence, ProcessRun
from ramppulley.load.soak.shim import Shim
from ramppulley.standin.platform_mutants import ENTRY

ROOT = Path(__file__).parents[3]
ALLOCATOR_SETTINGS = {  # as in the deploy file
    "MALLOC_ARENA_MAX": "1",
    "MALLOC_MMAP_THRESHOLD_": "16384",
    "MALLOC_TRIM_THRESHOLD_": "65536",
}
READY_POLL_S, LOG_TAIL_LINES = 0.05, 6
FAULT_PATTERNS = (
    "rule broken",
    "module fault",
    "connector fault",
    "fault in",
    "fault while",
    "Traceback",
    "never awaited",
)


class RouterProcess:
    """One router: it keeps its port and files across restarts of its process."""

    def __init__(
        self, number: int, port: int, folder: Path, evidence: Evidence, shim: Shim | None, mutant: str
    ) -> None:
        self.number, self.port, self.evidence, self.shim, self.mutant = number, port, evidence, shim, mutant
        self.path, self.log_path = folder / f"n{number}.json", folder / f"n{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.process_run = ProcessRun(number, 0.0)

    def configure(self, content: dict[str, Any]) -> None:
        """Replaces the configuration file atomically."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(content))
        temporary.replace(self.path)

    async def start(self) -> None:
        """Starts a new process, without waiting until it is ready."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        environment |= {"PROXY_CONFIG": str(self.path), "PYTHONPATH": str(ROOT)} | ALLOCATOR_SETTINGS
        if self.shim is not None:
            environment |= self.shim.environment()
        module = ["ramppulley", "platform"] if not self.mutant else [ENTRY, self.mutant]
        self.process_run = ProcessRun(self.number, time.monotonic())
        self.evidence.process_runs.append(self.process_run)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *module, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Waits until the process listens and reports that it is ready; returns without an error on a timeout or exit."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.is_running():
            if await self._is_ready():
                self.process_run.ready_at = time.monotonic()
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

    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self) -> float:
        """The anonymous memory of the process; 0 if it is not running."""
        return anonymous_memory_mb(self.process.pid) if self.process is not None and self.is_running() else 0.0

    def signal(self, number: int) -> None:
        """Sends a signal if the process is running, and records the time of SIGTERM and SIGKILL."""
        if self.process is None or not self.is_running():
            return
        if number == signal.SIGTERM and self.process_run.sigterm_at is None:
            self.process_run.sigterm_at = time.monotonic()
        if number == signal.SIGKILL:
            self.process_run.sigkill_at = time.monotonic()
        self.process.send_signal(number)

    async def wait_exit(self, timeout_s: float) -> None:
        """Waits until the process has exited; kills it after the timeout."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.process_run.ended_at, self.process_run.exit_status = time.monotonic(), self.process.returncode

    def log_tail(self) -> str:
        """The number of log lines, and the last ones."""
        if not self.log_path.exists():
            return ""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join([f"({len(lines)} log lines, the last ones:)", *lines[-LOG_TAIL_LINES:]])

    def log_fault_lines(self) -> list[str]:
        """Log lines in which the router reports an internal fault."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [f"n{self.number}: {line[:600]}" for line in lines if any(pattern in line for pattern in FAULT_PATTERNS)]
