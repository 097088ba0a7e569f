"""Starts a router for tests with faults: `python -m ramppulley.standin.entry SETTINGS RELAY SEED [DISK-FAULT [MUTANT]]`.

It is the same program, but its datagrams pass the relay, and standard input steps its clock, sets a disk fault or scales
the load that it reports to peers, by one JSON object per line: {"clock": SECONDS}, {"disk": FAULT} or {"lie": FACTOR}.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from random import Random

import uvloop

from ramppulley.cli.app import settings_of
from ramppulley.cli.serving import run
from ramppulley.daemon.daemon import Daemon, logs
from ramppulley.service.clock import TENTHS, LoopClock
from ramppulley.standin.disk import LyingDisk
from ramppulley.standin.links import Tunnel
from ramppulley.standin.mutants import MUTANTS, lie


class SteppedClock(LoopClock):
    """The program's clock with an offset that a test changes. Like any monotonic clock it never goes back."""

    def __init__(self, loop):
        super().__init__(loop)
        self.offset, self.last_now = 0, 0

    def now(self):
        self.last_now = max(self.last_now, super().now() + self.offset)
        return self.last_now


async def main(settings_path, relay, seed, fault="", mutant=""):
    if mutant:
        MUTANTS[mutant]()
    settings = settings_of(settings_path)
    loop = asyncio.get_running_loop()
    disk = LyingDisk(Random(f"disk {seed}"), fault)
    daemon = Daemon(
        settings,
        logs(settings.log),
        settings_path.parent,
        clock=SteppedClock,
        disk=disk,
        socket=lambda host, port: Tunnel(host, port, relay),
    )

    def on_command():
        line = sys.stdin.readline()
        if not line:
            loop.remove_reader(sys.stdin)
            os.kill(os.getpid(), signal.SIGTERM)  # the test process has ended
            return
        command = json.loads(line)
        daemon.clock.offset += int(command.get("clock", 0) * TENTHS)
        disk.fault = command.get("disk", disk.fault)
        if "lie" in command:
            lie(command["lie"])

    loop.add_reader(sys.stdin, on_command)
    await run(daemon)


if __name__ == "__main__":
    uvloop.run(main(Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], *sys.argv[4:6]))
