"""A fault-injection scenario, read from a JSON5 file: many router processes and the faults injected into them.

It extends a scenario (fleet, streams, engine faults) with faults of routers, links, clocks and disks. No I/O; the same seed
gives the same faults. Times: seconds.
"""

import fnmatch
from random import Random
from typing import Literal

from pydantic import Field, model_validator

from ramppulley.load.day import Day, ScenarioModel
from ramppulley.standin.disk import LyingDisk

ROUTER_FAULTS = {
    "kill",
    "lose",
    "pause",
    "end",
    "roll",
    "add",
    "remove",
    "twice",
    "clock",
    "disk",
    "noise",
    "lie",
    "release",
}
LINK_FAULTS = {"cut", "drop", "delay", "jitter", "double", "reorder", "stall", "bandwidth"}


class Fault(ScenarioModel):
    """One fault. `who`: a shell pattern of router names, of which the share `part` or the number `count` is drawn.
    `release`: all receive the stop signal at the same time, and each restarts once it has exited.

    Link faults apply from `who` to `to`, and in the other direction unless `one_way`. `size` is, by fault: the seconds of a
    delay, jitter or clock step; the share of datagrams that are dropped, duplicated or reordered; the bytes per second of a
    bandwidth; the datagrams per second of noise (corrupt, replayed, of another cluster or version, too long); the factor by
    which a lying router multiplies the load and the open attempts that it reports (0: it always reports none).
    `disk`: the disk fault that takes effect at the next start.
    """

    what: Literal[
        "kill",
        "lose",
        "pause",
        "end",
        "roll",
        "add",
        "remove",
        "twice",
        "clock",
        "disk",
        "noise",
        "lie",
        "release",
        "cut",
        "drop",
        "delay",
        "jitter",
        "double",
        "reorder",
        "stall",
        "bandwidth",
    ]
    at_s: float = Field(ge=0)
    for_s: float = Field(1.0, ge=0)  # of kill, lose, end: time until the restart; 0 = none
    who: str = "*"
    to: str = "*"
    part: float = Field(1.0, gt=0, le=1)
    count: int | None = Field(None, ge=1)
    one_way: bool = False
    size: float = 0.0
    disk: str = ""

    @model_validator(mode="after")
    def _check_fields(self):
        if self.what == "add" and self.count is None:
            raise ValueError("add needs count")
        if self.what == "disk" and self.disk not in (*LyingDisk.FAULTS, ""):
            raise ValueError(f"disk: none of {', '.join(LyingDisk.FAULTS)}")
        if self.what in ("drop", "double", "reorder") and not 0 < self.size <= 1:
            raise ValueError(f"{self.what} needs size, a part over 0 up to 1")
        if self.what == "lie" and self.size < 0:
            raise ValueError("lie needs size of 0 or more")
        if self.what in ("delay", "jitter", "bandwidth", "clock", "noise") and self.size <= 0:
            raise ValueError(f"{self.what} needs size over 0")
        return self


class Storm(Day):
    """A fault-injection file."""

    routers: int = Field(4, ge=1, le=64)
    peers: bool = True
    subset: int | None = Field(12, ge=4)  # the setting workers_least; null = no subsetting
    signals: bool = False
    turns: bool = False
    restart: float = Field(
        0.0, ge=0, le=1
    )  # share of the routers that may stop at the same time, by leases; 0 = no limit
    notices_s: float = Field(2.0, ge=0)  # delay until the clients' load balancer notices a dead router
    warm_s: float = Field(2.0, ge=0)  # from the start of the last router to the first request
    service_least: float = Field(0.0, ge=0, le=1)  # the run fails if service is below this
    uneven: float = Field(1.0, ge=1)  # router 0 gets this many times the requests of each other router
    again: int = Field(0, ge=0, le=8)  # retries of a client whose request was rejected; each counts as a request
    sticky: bool = False  # all requests of a session go to one router; else to any
    faults: list[Fault] = []

    def max_routers(self):
        """The maximum number of routers at any time; each router is configured with it."""
        return self.routers + sum(fault.count for fault in self.faults if fault.what == "add")

    @model_validator(mode="after")
    def _check_router_count(self):
        if self.max_routers() > 64:
            raise ValueError(f"faults: {self.max_routers()} routers in all; 64 are the most")
        return self


def draw_routers(scenario, number, names):
    """The routers that fault `number` affects, in order; the same for the same seed and names."""
    fault = scenario.faults[number]
    matching = sorted((name for name in names if fnmatch.fnmatch(name, fault.who)), key=lambda name: int(name[1:]))
    count = min(len(matching), fault.count if fault.count is not None else round(fault.part * len(matching)))
    return sorted(Random(f"{scenario.seed} fault {number}").sample(matching, count), key=lambda name: int(name[1:]))


def affected_links(fault, names):
    """The directed links, as (from, to), that a fault changes."""
    forward = [
        (a, b)
        for a in names
        for b in names
        if a != b and fnmatch.fnmatch(a, fault.who) and fnmatch.fnmatch(b, fault.to)
    ]
    return sorted({*forward, *([] if fault.one_way else [(b, a) for a, b in forward])})


def link_changes(fault):
    """Fields of `standin.links.Link` to set at the start of a fault, and those to set at its end."""
    ticks = int(fault.size * 10_000)  # tenths of a millisecond
    return {
        "cut": ({"cut": True}, {"cut": False}),
        "stall": ({"stalled": True}, {"stalled": False}),
        "delay": ({"delay": ticks}, {"delay": 0}),
        "jitter": ({"jitter": ticks}, {"jitter": 0}),
        "bandwidth": ({"per_second": int(fault.size)}, {"per_second": 0}),
    }.get(fault.what, ({fault.what: fault.size}, {fault.what: 0.0}))
