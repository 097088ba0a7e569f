"""Monotonic clocks of the core, in whole tenths of a millisecond."""

import asyncio
import heapq
import time
from collections.abc import Callable
from itertools import count
from typing import Any

TENTHS = 10_000  # per second
TENTHS_PER_MS = 10


def remaining_time(deadline: int, age_s: float) -> int:
    """What is left of a deadline, both in tenths of a millisecond, `age_s` seconds after it began to run.

    >>> remaining_time(30_000, 0.5), remaining_time(30_000, 4.0)
    (25000, 0)
    """
    return max(0, deadline - round(age_s * TENTHS))


class StartAges:
    """Ages of workers whose start times are wall clock times, although the wall clock may be stepped at run time.

    The first reading of both clocks is an anchor that the monotonic clock extends. Where the two clocks disagree, the
    smaller age is used: a worker may stay in slow start for longer than needed, but never for a shorter time.

    >>> ages = StartAges()
    >>> ages.age_ms(1_000, now=0, wall_ms=3_000)
    2000
    >>> ages.age_ms(4_000, now=20_000, wall_ms=3_605_000), ages.age_ms(4_000, now=20_000, wall_ms=5_000)
    (1000, 1000)
    """

    def __init__(self) -> None:
        self._anchor: tuple[int, int] | None = None  # (now, wall_ms)

    def age_ms(self, started_ms: int, now: int, wall_ms: int) -> int:
        """Milliseconds since the start. `now`: the router's clock; `wall_ms`: the wall clock at that time, since 1970."""
        if self._anchor is None:
            self._anchor = now, wall_ms
        anchor_now, anchor_wall_ms = self._anchor
        steady_ms = anchor_wall_ms + (now - anchor_now) // TENTHS_PER_MS
        return max(0, min(wall_ms, steady_ms) - started_ms)

    def observe(self, now: int, wall_ms: int) -> None:
        """Reads both clocks; the first reading becomes the anchor."""
        self.age_ms(wall_ms, now, wall_ms)


class LoopClock:
    """The machine's monotonic clock. uvloop's time has whole milliseconds and does not advance within an iteration."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        """Tenths of a millisecond since an arbitrary point in the past."""
        return time.monotonic_ns() // 100_000

    def after(self, wait: int, call: Callable[..., object], *args: Any) -> None:
        """Schedules a call after `wait` tenths of a millisecond of this clock; the call is never early."""
        self._call_at(self.now() + wait, call, args)

    def _call_at(self, due: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        """The loop rounds its time down and may lag by one iteration, so a timer that fires early is set again."""
        wait_ms = -(-(due - self.now()) // TENTHS_PER_MS)
        self.loop.call_later(max(0, wait_ms) / 1000, self._on_timer, due, call, args)

    def _on_timer(self, due: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.now() < due:
            self._call_at(due, call, args)
        else:
            call(*args)


class VirtualClock:
    """A clock that a test or an emulator advances; calls run by due time, then in the order they were scheduled.

    >>> clock, seen = VirtualClock(), []
    >>> clock.after(30, seen.append, "b"); clock.after(10, seen.append, "a")
    >>> clock.run_to(20); seen, clock.now()
    (['a'], 20)
    """

    def __init__(self, now: int = 0) -> None:
        self._now, self._order = now, count()
        self._calls: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def now(self) -> int:
        """The current virtual time."""
        return self._now

    def after(self, wait: int, call: Callable[..., object], *args: Any) -> None:
        """Schedules a call for when the clock reaches that time."""
        heapq.heappush(self._calls, (self._now + max(0, wait), next(self._order), call, args))

    def next_at(self) -> int | None:
        """Due time of the next call, if there is one."""
        return self._calls[0][0] if self._calls else None

    def run_to(self, until: int) -> None:
        """Runs all calls due by `until` in order, then sets the time to `until`."""
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self._now = max(self._now, until)
