"""The benchmark's setup: stand-in engines that answer almost at once, behind one router process."""

import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from ramppulley.load.day import Day, Stream
from ramppulley.load.routers import ProcessRouter
from ramppulley.load.scenario_settings import router_settings
from ramppulley.standin.demo import machines
from ramppulley.standin.fleet import StandinFleet

LOOPBACK = "127.0.0.1"
CONNECT_TIMEOUT_S = 5
ROUNDS = ("direct", "routed", "direct", "routed")  # alternating, so that a drift of the machine's speed shows
MAX_CONNECTIONS = 20_000

FAST_PREFILL = {
    "slots": 64,
    "queue": 2000,
    "memory": 10_000_000,
    "step": 2,
    "per_seq": 0,
    "read_per_s": 10_000_000,
}
FAST_DECODE = {
    "slots": 2000,
    "queue": 2000,
    "memory": 10_000_000,
    "step": 100,
    "per_seq": 0,
    "context_per_k": 0,
}
FAST_KINDS = {  # by stand-in role
    "read": FAST_PREFILL,
    "write": FAST_DECODE,
    "pool": FAST_PREFILL,
    "both": FAST_DECODE | {"read_per_s": 10_000_000},
}


@dataclass(frozen=True)
class BenchRig:
    """Stand-in engines and a router process, both started."""

    fleet: StandinFleet
    router: ProcessRouter


def fast_fleet(list_path):
    """Builds, without starting it, a fleet of one group with two prefill and two decode engines, and two pool engines."""
    engines = machines(1, 2, 2, 2)
    for engine in engines:
        engine["kind"] = FAST_KINDS[engine["role"]]
    return StandinFleet(engines, list_path)


def bench_scenario():
    """A scenario whose latency targets and limits are too wide for any request to be rejected."""
    request_classes = {
        name: {"promised_s": 30, "outer_limit_s": 120, "pace_s": 0.06}
        for name in ("desk", "afloat", "booking", "ticket", "search")
    }
    return Day(
        name="bench",
        streams=[Stream(per_s=1)],
        orders={"use_cases": request_classes, "listen": {"connections": MAX_CONNECTIONS}},
    )


@asynccontextmanager
async def running_rig(build_fleet=fast_fleet, scenario=None):
    """Starts a fleet and a router process, and stops both at the end. `build_fleet` gets the path of the worker list."""
    scenario = scenario or bench_scenario()
    with tempfile.TemporaryDirectory() as folder:
        fleet = await build_fleet(Path(folder) / "workers.json5").start()
        router = ProcessRouter(router_settings(scenario), folder)
        try:
            await router.start()
            yield BenchRig(fleet, router)
        finally:
            await router.stop()
            await fleet.stop()
