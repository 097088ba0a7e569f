"""Shares an event loop among connections whose received bytes are expensive to process.

Parsing what one peer sends takes bounded time, but many peers that send at full speed together could fill an iteration of
the event loop for as long as they like, and everything else would wait for its end.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

T = TypeVar("T")


class _Waiting(NamedTuple):
    """Work that waits for its turn, and the future of its result."""

    work: Callable[[], Any]
    result: asyncio.Future[Any]


class ReadScheduler:
    """Runs short pieces of work, in the order in which they come, for about `budget_s` in one iteration of the event loop.

    An iteration ends with the piece that exceeds the budget, so that it takes one piece longer at the most. A connection
    that has more to do submits its next piece behind those of all others (round robin).
    """

    def __init__(self, budget_s: float) -> None:
        self.budget_s = budget_s
        self._spent_s = 0.0  # since the last call of `_next_iteration`
        self._waiting: deque[_Waiting] = deque()
        self._scheduled = False  # whether `_next_iteration` will be called

    def __len__(self) -> int:
        """How many pieces wait."""
        return len(self._waiting)

    async def run(self, work: Callable[[], T]) -> T:
        """The result of `work`, run once its turn has come: at once while the budget lasts, and not if cancelled before."""
        if not self._scheduled:
            return self._run_now(work)
        result: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(work, result))
        try:
            return await result
        finally:
            del result  # an error refers to this frame

    def _run_now(self, work: Callable[[], T]) -> T:
        began = time.monotonic()
        try:
            return work()
        finally:
            self._spent_s += time.monotonic() - began
            if self._spent_s >= self.budget_s:
                self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._next_iteration)

    def _next_iteration(self) -> None:
        """Runs what waits. Called from the event loop, which looks for arrived bytes and timers between two calls."""
        self._spent_s, self._scheduled = 0.0, False
        while self._waiting and not self._scheduled:
            self._run_waiting(*self._waiting.popleft())

    def _run_waiting(self, work: Callable[[], Any], result: asyncio.Future[Any]) -> None:
        try:
            if not result.done():  # else its task was cancelled
                result.set_result(self._run_now(work))
        except Exception as error:
            result.set_exception(error)
        finally:
            del work, result  # an error refers to this frame
