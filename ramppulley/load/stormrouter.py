"""The router processes of a fault-injection run, and the load balancer that distributes clients among them."""

import asyncio
import json
import os
import signal
import socket
import time
from pathlib import Path

from ramppulley.load.routers import ProcessRouter
from ramppulley.load.scenario_settings import router_settings

S = 10_000  # tenths of a millisecond in a second
UDP_PORTS = range(20_000, 32_000)  # below the kernel's ephemeral ports, so that no other program is given one
START_TIMEOUT_S = 90.0  # enough for 64 routers that start at once on a busy machine
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def choose_udp_port(taken, rng):
    """A UDP port that is free and not in `taken`, to which it is added."""
    while True:
        port = rng.choice(UDP_PORTS)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


class StormRouter(ProcessRouter):
    """A router process whose datagrams pass through the relay and into whose clock and disk faults can be injected."""

    start_timeout_s = START_TIMEOUT_S
    stdin = asyncio.subprocess.PIPE

    def __init__(self, scenario, number, folder, port, seeds, relay, name=None, mutant=""):
        name = name or f"r{number}"
        settings = router_settings(scenario, number, name=name, routers=scenario.max_routers(), log="json")
        if scenario.peers:
            settings["peers"] = {
                "cluster": "storm",
                "key_file": str(folder / "key"),
                "snapshot": f"{name}.snap",
                "port": port,
                "seeds": seeds,
                "machine": f"m{number}",
            }
            settings["peers"] |= {"signals": scenario.signals, "turns": scenario.turns or bool(scenario.restart)}
            if scenario.restart:
                settings["peers"]["restart"] = {"part": scenario.restart}
            if scenario.subset:
                settings["peers"]["subset"] = {"workers_least": scenario.subset}
        super().__init__(settings, folder)
        self.number, self.relay, self.seed, self.udp_port, self.disk_fault = number, relay, scenario.seed, port, ""
        self.mutant, self.stops_in_turns = mutant, bool(scenario.restart)
        self.process, self.cpu_s, self.end_times = None, 0.0, []

    def command(self):
        """Runs the test entry point, which can inject faults and mutants into the router."""
        return [
            "ramppulley.standin.entry",
            str(self.path),
            str(self.relay),
            f"{self.seed} {self.name}",
            self.disk_fault,
            self.mutant,
        ]

    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    def add_cpu_time(self):
        """Adds the processor time of the current process, as the kernel counts it, to `cpu_s`."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AttributeError):
            return
        self.cpu_s += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    async def kill(self):
        self.add_cpu_time()
        self.end_times.append(time.time())
        await super().kill()

    async def stop(self):
        self.add_cpu_time()
        self.end_times.append(time.time())
        if self.stops_in_turns and self.is_alive():
            self.process.kill()  # the run is over: do not wait for the routers to stop in turns
        await super().stop()

    def send_command(self, **command):
        if self.is_alive():
            self.process.stdin.write(json.dumps(command).encode() + b"\n")

    async def pause(self, duration_s):
        at = int(time.monotonic() * S)
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if self.is_alive():
            self.process.send_signal(signal.SIGCONT)
        self.away.append((at, int(time.monotonic() * S)))


async def accepts_connections(port):
    """Whether the port accepts connections, as checked by a load balancer's health check."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        return True
    except OSError:
        return False


class LoadBalancer:
    """The list of routers to which clients connect. A dead router is noticed with a delay, a new one when it is ready."""

    def __init__(self, notice_delay_s, uneven):
        self.notice_delay_s, self.uneven, self.serving = notice_delay_s, uneven, []

    def add(self, router):
        if router not in self.serving:
            self.serving = sorted([*self.serving, router], key=lambda r: r.number)

    def remove(self, router):
        self.serving = [r for r in self.serving if r is not router]

    def remove_if_dead(self, router):
        asyncio.get_running_loop().call_later(self.notice_delay_s, lambda: router.is_alive() or self.remove(router))

    def position(self, drawn):
        """Maps a draw from 0 to 1 to a position in the list, with router 0 `uneven` times as likely as each other router."""
        if self.uneven == 1 or not self.serving or self.serving[0].number:
            return drawn
        total_weight = len(self.serving) - 1 + self.uneven
        first_share, first_width = self.uneven / total_weight, 1 / len(self.serving)
        return (
            drawn / first_share * first_width
            if drawn < first_share
            else first_width + (drawn - first_share) / (1 - first_share) * (1 - first_width)
        )
