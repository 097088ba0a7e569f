"""Time for the core: whole tenths of a millisecond that only move forward."""

import asyncio
import heapq
import time
from collections.abc import Callable
from itertools import count
from typing import Any

TENTHS = 10_000  # in a second
TENTHS_PER_MS = 10


class StartAges:
    """Ages of workers whose starts are told by the wall clock, which may be stepped while this process runs.

    The first reading is an anchor from which the monotonic clock goes on. Where the two differ, the younger age counts: a
    worker may be taken to be in slow start for longer than it is, never for less.

    >>> ages = StartAges()
    >>> ages.age_ms(1_000, now=0, wall_ms=3_000)
    2000
    >>> ages.age_ms(4_000, now=20_000, wall_ms=3_605_000), ages.age_ms(4_000, now=20_000, wall_ms=5_000)
    (1000, 1000)
    """

    def __init__(self) -> None:
        self._anchor: tuple[int, int] | None = None  # (now, wall_ms)

    def age_ms(self, started_ms: int, now: int, wall_ms: int) -> int:
        """How long ago it started. `now`: the router's clock; `wall_ms`: milliseconds since 1970 at that moment."""
        if self._anchor is None:
            self._anchor = now, wall_ms
        anchor_now, anchor_wall_ms = self._anchor
        steady_ms = anchor_wall_ms + (now - anchor_now) // TENTHS_PER_MS
        return max(0, min(wall_ms, steady_ms) - started_ms)

    def observe(self, now: int, wall_ms: int) -> None:
        """A reading of both clocks: the first one is the anchor."""
        self.age_ms(wall_ms, now, wall_ms)


class LoopClock:
    """The machine's monotonic clock. Not the loop's own time: uvloop's stands still within a turn, in whole milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        """Tenths of a millisecond since some moment in the past."""
        return time.monotonic_ns() // 100_000

    def after(self, wait: int, call: Callable[..., object], *args: Any) -> None:
        """Calls it once so many tenths of a millisecond have passed by this clock, never before."""
        self._call_at(self.now() + wait, call, args)

    def _call_at(self, due: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        """The loop's time is cut to whole milliseconds, and a turn behind at worst: a timer that came early is set again."""
        wait_ms = -(-(due - self.now()) // TENTHS_PER_MS)
        self.loop.call_later(max(0, wait_ms) / 1000, self._on_timer, due, call, args)

    def _on_timer(self, due: int, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if self.now() < due:
            self._call_at(due, call, args)
        else:
            call(*args)


class PlayedClock:
    """A clock that a test or an emulator moves; calls run in the order of their times, then of their making.

    >>> clock, seen = PlayedClock(), []
    >>> clock.after(30, seen.append, "b"); clock.after(10, seen.append, "a")
    >>> clock.run_to(20); seen, clock.now()
    (['a'], 20)
    """

    def __init__(self, now: int = 0) -> None:
        self._now, self._order = now, count()
        self._calls: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def now(self) -> int:
        """The time that it was last moved to."""
        return self._now

    def after(self, wait: int, call: Callable[..., object], *args: Any) -> None:
        """Calls it when the clock is moved past that time."""
        heapq.heappush(self._calls, (self._now + max(0, wait), next(self._order), call, args))

    def next_at(self) -> int | None:
        """When the next call is due."""
        return self._calls[0][0] if self._calls else None

    def run_to(self, until: int) -> None:
        """Makes all calls that are due by then, in order, and stands there."""
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self._now = max(self._now, until)
