"""Fault schedules: typed events drawn from a seed, two or three of which overlap. I/O only in `read` and `write`."""

import random
from itertools import combinations
from pathlib import Path

import msgspec

ROUTERS, PREFILL_WORKERS, DECODE_WORKERS = 10, 6, 6
LEAD_IN_S = 1.0  # fault-free time at the start; longer in some schedules
LENGTH_S, LONG_LENGTH_S = 9.0, 17.0  # duration of the client traffic; a router must know a discovery change after 6 s
LONG_SHARE = 0.25
FEW_DESCRIPTORS, FEW_DESCRIPTORS_SHARE = 64, 0.2
MIN_DESCRIPTORS = 256  # the fewest that the platform gives a router
MIN_KINDS, MAX_KINDS = 3, 6  # per schedule (swarm testing): fewer kinds overlap each other more often
BACKGROUND_LOAD_SHARE = 0.2  # schedules with background CPU load, so that routers compete for the CPU
BACKGROUND_LOAD_ROUTERS, BACKGROUND_LOAD_REQUESTS_PER_S = 24, 3.0
BACKGROUND_LOAD_PROCESSES = (6, 12)  # each is busy half of the time
SWARM_DRAWS = 12

#: Fault kinds, grouped by what they affect.
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
EARLIER_KINDS = LINK_FAULTS + DISCOVERY_FAULTS + WORKER_FAULTS + CLIENT_FAULTS + PROCESS_FAULTS + SYSTEM_FAULTS
#: Kinds that were added later. Seeds below the first one of a kind draw what they always drew.
LATER_WORKER_FAULTS = "worker_slow_events", "worker_huge_chunk"
LATER_CLIENT_FAULTS = ("client_large_body",)
HOSTILE_FAULTS = "client_hostile", "worker_hostile", "discovery_hostile"
KINDS_WITHOUT_HOSTILE = EARLIER_KINDS + LATER_WORKER_FAULTS + LATER_CLIENT_FAULTS
KINDS = KINDS_WITHOUT_HOSTILE + HOSTILE_FAULTS
FIRST_SEED_OF_LATER_KINDS, FIRST_SEED_OF_ALL_KINDS = 10_000, 20_000
HOSTILE_ROUTERS = 1, 2  # that one hostile fault affects


class Fault(msgspec.Struct, frozen=True):
    """One fault. `routers` and `workers` are the numbers of the targets; an empty list means all."""

    kind: str
    at_s: float
    length_s: float
    routers: list[int] = []
    workers: list[int] = []

    def overlaps(self, other: "Fault") -> bool:
        """Whether both faults are active at the same time."""
        return self.at_s < other.at_s + other.length_s and other.at_s < self.at_s + self.length_s

    def affects(self, router: int) -> bool:
        """Whether the fault affects this router."""
        return not self.routers or router in self.routers


class Schedule(msgspec.Struct, frozen=True):
    """The parameters and faults of one soak run. `mutant`: a defect planted in all routers; empty for none."""

    seed: int
    faults: list[Fault]
    length_s: float = LENGTH_S
    routers: int = ROUTERS
    requests_per_s: float = 6.0  # per router
    mutant: str = ""
    descriptors: int = 256  # open file limit of a router
    crowd: int = 0  # background processes that load the CPU
    slow_turn_s: float = 0.03  # delay of each event loop iteration while `system_slow_turns` is active


def draw(seed: int, only: tuple[str, ...] = (), overlap_counts: dict[tuple[str, str], int] | None = None) -> Schedule:
    """Draws the schedule of a seed. `overlap_counts`: pairs of kinds that overlapped so far; other pairs are preferred."""
    rng = random.Random(seed)
    kinds = _draw_kinds(rng, only or _kinds_of(seed), overlap_counts or {})
    background_load = rng.choice(BACKGROUND_LOAD_PROCESSES) if rng.random() < BACKGROUND_LOAD_SHARE else 0
    routers = BACKGROUND_LOAD_ROUTERS if background_load else ROUTERS
    faults: list[Fault] = []
    lead_in_s = LEAD_IN_S if rng.random() < 0.8 else 3.0
    at_s = lead_in_s
    length_s = LONG_LENGTH_S if rng.random() < LONG_SHARE else LENGTH_S
    while at_s < length_s - 2.0:
        for kind in rng.sample(kinds, min(len(kinds), rng.choice((2, 2, 3)))):
            faults.append(_draw_fault(rng, kind, at_s + rng.uniform(0.0, 0.4), routers))
        at_s += rng.uniform(0.8, 1.6)
    descriptors = FEW_DESCRIPTORS if rng.random() < FEW_DESCRIPTORS_SHARE else MIN_DESCRIPTORS
    if {fault.kind for fault in faults} & {*LATER_WORKER_FAULTS, *LATER_CLIENT_FAULTS, *HOSTILE_FAULTS}:
        descriptors = MIN_DESCRIPTORS  # such requests hold connections for seconds, and fill a few at once
    if not background_load:
        return Schedule(seed, faults, length_s, descriptors=descriptors)
    return Schedule(
        seed, faults, length_s, routers, BACKGROUND_LOAD_REQUESTS_PER_S, descriptors=descriptors, crowd=background_load
    )


def _kinds_of(seed: int) -> tuple[str, ...]:
    """The kinds among which this seed draws."""
    if seed >= FIRST_SEED_OF_ALL_KINDS:
        return KINDS
    return KINDS_WITHOUT_HOSTILE if seed >= FIRST_SEED_OF_LATER_KINDS else EARLIER_KINDS


def _draw_kinds(
    rng: random.Random, kinds: tuple[str, ...], overlap_counts: dict[tuple[str, str], int]
) -> tuple[str, ...]:
    """Selects a few kinds: of several random draws, the one with the fewest pairs that overlapped before."""
    if len(kinds) <= MAX_KINDS:
        return kinds
    size = rng.randint(MIN_KINDS, MAX_KINDS)
    draws = [tuple(rng.sample(kinds, size)) for _ in range(SWARM_DRAWS)]
    return min(draws, key=lambda draw: sum(pair in overlap_counts for pair in combinations(sorted(draw), 2)))


def _draw_fault(rng: random.Random, kind: str, at_s: float, count: int) -> Fault:
    length_s = rng.choice((0.3, 0.8, 1.5, 2.5))
    routers = rng.sample(range(count), rng.choice((2, 4, count)))
    workers = rng.sample(range(PREFILL_WORKERS + DECODE_WORKERS), rng.choice((1, 3, 6)))
    if kind in PROCESS_FAULTS:
        routers, workers, length_s = routers[: rng.choice((1, 2, 3))], [], 4.5
    elif kind in SYSTEM_FAULTS + CLIENT_FAULTS + LATER_CLIENT_FAULTS + DISCOVERY_FAULTS:
        workers = []
    elif kind in WORKER_FAULTS + LATER_WORKER_FAULTS:
        routers = []
    if kind in HOSTILE_FAULTS:
        routers = [] if kind == "worker_hostile" else routers[: rng.choice(HOSTILE_ROUTERS)]
        workers = workers if kind == "worker_hostile" else []
    if kind == "discovery_silent":
        length_s = rng.choice((1.5, 3.0, 4.0))
    if kind == "discovery_slow":
        length_s = rng.choice((2.5, 8.0))
    return Fault(kind, round(at_s, 3), length_s, sorted(routers), sorted(workers))


def pairs_of(schedule: Schedule) -> set[tuple[str, str]]:
    """The pairs of fault kinds that overlap in the schedule."""
    return {
        (min(one.kind, other.kind), max(one.kind, other.kind))
        for i, one in enumerate(schedule.faults)
        for other in schedule.faults[i + 1 :]
        if one.kind != other.kind and one.overlaps(other)
    }


def read(path: Path) -> Schedule:
    """Reads a schedule file; raises OSError or ValueError."""
    return msgspec.json.decode(path.read_bytes(), type=Schedule)


def write(path: Path, schedule: Schedule) -> None:
    """Writes a schedule file, which `./rp soak FILE` runs again."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=2) + b"\n")
