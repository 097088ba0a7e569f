"""Background CPU load: processes that are busy half of the time, so that routers are scheduled late."""

import subprocess
import sys

#: Alternates 20 ms busy and 20 ms idle, like the processes of a fleet on one machine.
BUSY_LOOP_SCRIPT = """
import sys, time
until = time.monotonic() + float(sys.argv[1])
while (now := time.monotonic()) < until:
    while time.monotonic() < now + 0.02:
        pass
    time.sleep(0.02)
"""


class BackgroundLoad:
    """A number of busy processes; each exits by itself after `seconds` at the latest."""

    def __init__(self, count: int, seconds: float) -> None:
        command = [sys.executable, "-S", "-c", BUSY_LOOP_SCRIPT, str(seconds)]
        self.processes = [subprocess.Popen(command, stdin=subprocess.DEVNULL) for _ in range(count)]

    def stop(self) -> None:
        """Kills all processes and waits for them."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
