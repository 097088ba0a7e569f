"""A crowd beside the routers: processes that want the CPU half of the time, so that routers have their turns late."""

import subprocess
import sys

#: Half a turn of the scheduler busy, half idle, as a fleet on one machine is.
BUSY = """
import sys, time
until = time.monotonic() + float(sys.argv[1])
while (now := time.monotonic()) < until:
    while time.monotonic() < now + 0.02:
        pass
    time.sleep(0.02)
"""


class Crowd:
    """So many busy processes; each ends by itself after `seconds` at the latest."""

    def __init__(self, count: int, seconds: float) -> None:
        command = [sys.executable, "-S", "-c", BUSY, str(seconds)]
        self.processes = [subprocess.Popen(command, stdin=subprocess.DEVNULL) for _ in range(count)]

    def end(self) -> None:
        """Ends them all."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
