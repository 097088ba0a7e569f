"""Schedules of faults: typed events drawn from one seed, two or three of which overlap. Pure."""

import random
from itertools import combinations
from pathlib import Path

import msgspec

ROUTERS, READERS, WRITERS = 10, 6, 6
QUIET_S = 1.0  # before the first fault; longer in some schedules
LENGTH_S, LONG_S = 9.0, 17.0  # of the clients' traffic; a change counts as told after 6 s
LONG_SHARE = 0.25
FEW_DESCRIPTORS, FEW_SHARE = 64, 0.2
MIN_KINDS, MAX_KINDS = 3, 6  # of faults in one schedule (swarm testing): few kinds meet each other more often
CROWD_SHARE, CROWD_ROUTERS, CROWD_REQUESTS_PER_S = 0.2, 24, 3.0  # schedules on a machine that is short of CPU
CROWD_SIZES = (6, 12)  # processes beside the routers that are busy half of the time
SWARM_DRAWS = 12

#: What a fault is done to, by its kind.
LINK_FAULTS = (
    "link_delay",
    "link_stall",
    "link_one_way",
    "link_reset_request",
    "link_reset_answer",
    "link_pieces",
    "link_late_connect",
    "link_refuse",
)
DISCOVERY_FAULTS = (
    "discovery_silent",
    "discovery_refuse",
    "discovery_slow",
    "discovery_whole_lists",
    "discovery_versions_back",
    "discovery_torn",
)
WORKER_FAULTS = (
    "worker_hang",
    "worker_deaf",
    "worker_crash",
    "worker_drain",
    "worker_vanish",
    "worker_join",
    "worker_decline",
    "worker_answer_twice",
    "worker_half",
    "worker_garbage",
    "worker_slow",
    "worker_queue",
    "worker_idle_close",
    "worker_idle_reset",
    "worker_idle_forget",
)
CLIENT_FAULTS = (
    "client_leave",
    "client_leave_in_stream",
    "client_stall_in_request",
    "client_slow_write",
    "client_pipeline",
    "client_flood",
    "client_repeat_id",
    "client_never_read",
)
PROCESS_FAULTS = (
    "signal_term",
    "signal_hup",
    "signal_kill",
    "signal_stop",
    "signal_term_hup",
    "signal_hup_term",
    "signal_hup_series",
    "signal_stop_series",
    "signal_mixed_series",
)
SYSTEM_FAULTS = (
    "clock_forward",
    "clock_back",
    "system_accept",
    "system_connect",
    "system_setsockopt",
    "system_socket",
    "system_slow_turns",
)
KINDS = LINK_FAULTS + DISCOVERY_FAULTS + WORKER_FAULTS + CLIENT_FAULTS + PROCESS_FAULTS + SYSTEM_FAULTS


class Fault(msgspec.Struct, frozen=True):
    """One fault: `routers` and `workers` are the numbers of those that it is done to; empty is all."""

    kind: str
    at_s: float
    length_s: float
    routers: list[int] = []
    workers: list[int] = []

    def overlaps(self, other: "Fault") -> bool:
        """Whether both are on at some moment."""
        return self.at_s < other.at_s + other.length_s and other.at_s < self.at_s + self.length_s

    def hits(self, router: int) -> bool:
        """Whether it is done to this router."""
        return not self.routers or router in self.routers


class Schedule(msgspec.Struct, frozen=True):
    """What one run of the soak plays. `mutant`: how all routers are broken on purpose; empty is not."""

    seed: int
    faults: list[Fault]
    length_s: float = LENGTH_S
    routers: int = ROUTERS
    requests_per_s: float = 6.0  # at each router
    mutant: str = ""
    descriptors: int = 256  # that a router may have open
    crowd: int = 0  # busy processes beside the routers
    slow_turn_s: float = 0.03  # by which turns of the event loop begin late while `system_slow_turns` is on


def draw(seed: int, only: tuple[str, ...] = (), played: dict[tuple[str, str], int] | None = None) -> Schedule:
    """The schedule of a seed. `played`: how often pairs of kinds overlapped so far; rare ones are drawn first."""
    rng = random.Random(seed)
    kinds = _swarm(rng, only or KINDS, played or {})
    crowd = rng.choice(CROWD_SIZES) if rng.random() < CROWD_SHARE else 0
    routers = CROWD_ROUTERS if crowd else ROUTERS
    faults: list[Fault] = []
    quiet_s = QUIET_S if rng.random() < 0.8 else 3.0
    at_s = quiet_s
    length_s = LONG_S if rng.random() < LONG_SHARE else LENGTH_S
    while at_s < length_s - 2.0:
        for kind in rng.sample(kinds, min(len(kinds), rng.choice((2, 2, 3)))):
            faults.append(_draw_fault(rng, kind, at_s + rng.uniform(0.0, 0.4), routers))
        at_s += rng.uniform(0.8, 1.6)
    descriptors = FEW_DESCRIPTORS if rng.random() < FEW_SHARE else 256
    if not crowd:
        return Schedule(seed, faults, length_s, descriptors=descriptors)
    return Schedule(seed, faults, length_s, routers, CROWD_REQUESTS_PER_S, descriptors=descriptors, crowd=crowd)


def _swarm(rng: random.Random, kinds: tuple[str, ...], played: dict[tuple[str, str], int]) -> tuple[str, ...]:
    """A few of these kinds: of some draws the one of whose pairs the least part was played."""
    if len(kinds) <= MAX_KINDS:
        return kinds
    size = rng.randint(MIN_KINDS, MAX_KINDS)
    draws = [tuple(rng.sample(kinds, size)) for _ in range(SWARM_DRAWS)]
    return min(draws, key=lambda draw: sum(pair in played for pair in combinations(sorted(draw), 2)))


def _draw_fault(rng: random.Random, kind: str, at_s: float, count: int) -> Fault:
    length_s = rng.choice((0.3, 0.8, 1.5, 2.5))
    routers = rng.sample(range(count), rng.choice((2, 4, count)))
    workers = rng.sample(range(READERS + WRITERS), rng.choice((1, 3, 6)))
    if kind in PROCESS_FAULTS:
        routers, workers, length_s = routers[: rng.choice((1, 2, 3))], [], 4.5
    elif kind in SYSTEM_FAULTS + CLIENT_FAULTS + DISCOVERY_FAULTS:
        workers = []
    elif kind in WORKER_FAULTS:
        routers = []
    if kind == "discovery_silent":
        length_s = rng.choice((1.5, 3.0, 4.0))
    if kind == "discovery_slow":
        length_s = rng.choice((2.5, 8.0))
    return Fault(kind, round(at_s, 3), length_s, sorted(routers), sorted(workers))


def pairs_of(schedule: Schedule) -> set[tuple[str, str]]:
    """The pairs of kinds that overlap in it."""
    return {
        (min(one.kind, other.kind), max(one.kind, other.kind))
        for i, one in enumerate(schedule.faults)
        for other in schedule.faults[i + 1 :]
        if one.kind != other.kind and one.overlaps(other)
    }


def read(path: Path) -> Schedule:
    """A schedule from its file; raises OSError or ValueError."""
    return msgspec.json.decode(path.read_bytes(), type=Schedule)


def write(path: Path, schedule: Schedule) -> None:
    """Keeps a schedule, to be played again by `./rp soak FILE`."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=2) + b"\n")
