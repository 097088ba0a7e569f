"""Measures startup time beside busy processes: of the bare interpreter, and of the router until it is ready.

    PYTHONPATH=.:tests python tests/start_under_load.py BUSY STARTS

BUSY processes spin while STARTS of each kind are measured, eight in parallel; figures are seconds of real time.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median

from platform_rig import SETTINGS, free_port

ROOT = Path(__file__).parents[1]
PARALLEL_STARTS, TIMEOUT_S = 8, 60.0
READY = b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n"
LIST = {
    "seq": 1,
    "whole": True,
    "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:9", "site": "north", "class": "prefill", "block": 1, "health": "Ready"},
        {"host": "s-2", "dial": "127.0.0.1:9", "site": "north", "class": "decode", "block": 1, "health": "Ready"},
    ],
}


def bare_start():
    """Seconds until an interpreter that does nothing has exited."""
    began = time.monotonic()
    subprocess.run([sys.executable, "-c", "pass"], check=True, timeout=TIMEOUT_S)
    return time.monotonic() - began


def router_start():
    """Seconds until a router with a list in its configuration reports ready."""
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "known": LIST,
        "settings": SETTINGS,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        began = time.monotonic()
        router = subprocess.Popen(
            [sys.executable, "-m", "ramppulley", "platform"],
            cwd=ROOT,
            env=os.environ | {"PROXY_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        try:
            while not is_ready(port):
                if time.monotonic() - began > TIMEOUT_S:
                    raise TimeoutError("router not ready in time")
                time.sleep(0.01)
            return time.monotonic() - began
        finally:
            router.terminate()
            router.wait()


def is_ready(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.sendall(READY)
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def measure(start, count):
    with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
        durations = sorted(pool.map(lambda _: start(), range(count)))
    return f"median {median(durations):.2f}, 95th percentile {durations[int(0.95 * count) - 1]:.2f}, max {durations[-1]:.2f}"


def main(busy, starts):
    spinning = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(busy)]
    try:
        print(
            f"{busy} busy processes, {os.cpu_count()} cores, {starts} starts of each kind, {PARALLEL_STARTS} in parallel"
        )
        print("bare interpreter:", measure(bare_start, starts), flush=True)
        print("router until ready:", measure(router_start, starts), flush=True)
    finally:
        for process in spinning:
            process.kill()
            process.wait()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
