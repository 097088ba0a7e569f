"""Schedules and sends releases of KV state.

A release is a `DELETE` that any worker accepts and that frees state no attempt waits for. The worker that responded most
recently is called first, so that the death of the worker holding the state cannot block the release.

A worker regards an attempt that was given up as waiting for its state until it sees the attempt's connection close. That
can be late: the worker is busy or hangs, or the close is lost on the network. A release confirmed before that freed
nothing, so releases after such an attempt are repeated until its worker must have seen the close.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from enum import StrEnum
from itertools import islice, takewhile
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.engines.attempts import Worker
from ramppulley.engines.proof import Stage
from ramppulley.service import memory, permission
from ramppulley.service.memory import MemoryAccount, MemoryBudget
from ramppulley.service.neutral import EngineAttempt, TrackedRequest
from ramppulley.service.permission import ReleaseFacts

MAX_CALLS, MAX_CONCURRENT_CALLS = 8, 4  # per release; a worker is called again only once all others have been
CAPACITY_TIMEOUT_S = 5.0  # how long a release waits for a connection; the reserved ones are soon free
DELAY_S = 0.02  # from closing an attempt's connection to the release of leftover state; also between calls
RECENT_RESPONSE_S = 1.0  # a worker that responded within this is called first
REPEAT_SHARE = 0.8  # of the release time limit: interval between repeated releases
CLOSE_SEEN_WITHIN_S = 1.0  # a responsive worker sees a close within this
MAX_REPEAT_S = 10.0  # an unresponsive worker is given up after this
MAX_UNCONFIRMED = 256  # requests with repeated releases; the oldest is dropped beyond this


class ReleaseResult(StrEnum):
    """The result of one release call."""

    RELEASED = "heard"
    FAILED = "unheard"
    NOT_CALLED = "no connection"  # none was available


class UnconfirmedClose(NamedTuple):
    """Why releases of a request are repeated: its last attempt was given up at `endpoint`, or no worker confirmed its
    release (None). `at` is the event loop time of that."""

    endpoint: door.Endpoint | None
    at: float


def _decode_open_after_release(tracked: TrackedRequest) -> bool:
    """Whether a decode is open whose state is already to be released: it may have ended at its worker without a response."""
    return tracked.release_asked and any(not attempt.is_prefill for attempt in tracked.open_attempts)


class KvReleases:
    """Releases of one connector.

    `call(endpoint, request_id)` sends one release call; `spawn` starts a task that ends with the connector; `workers` are
    the connector's; `release_limit_s()` is the time limit for releasing KV state, `budget` the router's memory.
    """

    def __init__(
        self,
        log: Any,
        workers: dict[door.Endpoint, Worker],
        call: Callable[[door.Endpoint, str], Awaitable[ReleaseResult]],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        release_limit_s: Callable[[], float],
        budget: MemoryBudget | None = None,
    ) -> None:
        self.account = MemoryAccount(budget or MemoryBudget())  # of all releases
        self.log, self.workers, self._call, self._spawn = log, workers, call, spawn
        self._release_limit_s = release_limit_s
        self.last_response: dict[door.Endpoint, float] = {}  # event loop time, least recent first
        self.pending: dict[TrackedRequest, float] = {}  # to be released, with the delay in seconds
        self.running: dict[TrackedRequest, asyncio.Task[None]] = {}
        self.unconfirmed: dict[TrackedRequest, UnconfirmedClose] = {}  # releases to be repeated, oldest first
        self._repeat_timers: dict[TrackedRequest, asyncio.TimerHandle] = {}
        self.counts: Counter[str] = Counter()  # calls by result, repeated releases and releases given up

    def record_response(self, endpoint: door.Endpoint) -> None:
        """Records that a worker has just responded."""
        self.last_response.pop(endpoint, None)
        if endpoint.state != "gone":
            self.last_response[endpoint] = asyncio.get_running_loop().time()

    def forget_response(self, endpoint: door.Endpoint) -> None:
        """Forgets a worker that is gone."""
        self.last_response.pop(endpoint, None)

    def outstanding(self) -> bool:
        """Whether releases are pending, running or to be repeated."""
        return bool(self.pending or self.running or self.unconfirmed)

    def schedule(self, tracked: TrackedRequest, delay_s: float) -> None:
        """Schedules a release.

        It frees all KV state of the request at any worker, including state that a later attempt has just left. So it is
        sent before that attempt's first byte, or after its end.
        """
        self.pending[tracked] = delay_s
        asyncio.get_running_loop().call_soon(self.start, tracked)

    def repeat_release(self, tracked: TrackedRequest, endpoint: door.Endpoint | None) -> None:
        """Repeats the releases after an attempt that was written and ended without a response.

        `endpoint` is None if no worker confirmed the release. Also called for a decode that is still open when its state is
        to be released.
        """
        self.unconfirmed.pop(tracked, None)
        self.unconfirmed[tracked] = UnconfirmedClose(endpoint, asyncio.get_running_loop().time())
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            self._confirm(next(iter(self.unconfirmed)))
        self._update_account()
        self._schedule_repeat(tracked)

    def close(self) -> None:
        """Stops repeating releases."""
        for tracked in list(self.unconfirmed):
            self._confirm(tracked)

    def _confirm(self, tracked: TrackedRequest) -> None:
        """Stops repeating releases of this request."""
        self.unconfirmed.pop(tracked, None)
        timer = self._repeat_timers.pop(tracked, None)
        if timer is not None:
            timer.cancel()
        self._update_account()

    def _update_account(self) -> None:
        """Charges the calls of running releases, and the requests that are kept for releases to be repeated."""
        held = memory.RELEASE_BYTES * len(self.running) + memory.KEPT_REQUEST_BYTES * len(self.unconfirmed)
        self.account.hold(memory.MemoryUse(requests=held))

    def _schedule_repeat(self, tracked: TrackedRequest) -> None:
        timer = self._repeat_timers.pop(tracked, None)
        if timer is not None:
            timer.cancel()
        delay_s = REPEAT_SHARE * self._release_limit_s()
        self._repeat_timers[tracked] = asyncio.get_running_loop().call_later(delay_s, self._repeat, tracked)

    def _repeat(self, tracked: TrackedRequest) -> None:
        """Releases once more, unless the request continues: it may wait for new state, which gets a release of its own."""
        if tracked.first_token_at is not None:
            self._confirm(tracked)  # the first token means that all KV state is gone
            return
        decode_open = _decode_open_after_release(tracked)
        in_use = bool(tracked.open_attempts) or tracked.state is not None
        if decode_open or not in_use:
            self.counts["repeated"] += 1
            self.schedule(tracked, 0.0)
            if not decode_open and self._close_was_seen(self.unconfirmed[tracked]):
                self._confirm(tracked)
                return
        self._schedule_repeat(tracked)

    def _close_was_seen(self, unconfirmed: UnconfirmedClose) -> bool:
        """Whether the worker of that attempt must have seen the close by now, or never will."""
        age_s = asyncio.get_running_loop().time() - unconfirmed.at
        if unconfirmed.endpoint is None or age_s < CLOSE_SEEN_WITHIN_S:
            return age_s > MAX_REPEAT_S
        responded = self.last_response.get(unconfirmed.endpoint, 0.0) > unconfirmed.at + DELAY_S
        return responded or unconfirmed.endpoint.state == "gone" or age_s > MAX_REPEAT_S

    def start(self, tracked: TrackedRequest) -> None:
        """Starts a pending release if it may be sent now.

        Only a prefill that was written delays it, as the release could free the state that it has just left. An open decode
        does not: its worker keeps the state that it waits for. But until it gets a response it may not have reached its
        worker, so the release time limit still runs.
        """
        prefill_written = any(
            attempt.is_prefill and attempt.stage not in (Stage.QUEUE, Stage.CONNECT)
            for attempt in tracked.open_attempts
        )
        facts = ReleaseFacts(tracked in self.pending, tracked in self.running, prefill_written)
        if permission.may_release(facts) is None:
            release = self._release(tracked, self.pending.pop(tracked))
            task = self.running[tracked] = self._spawn(release)
            task.add_done_callback(lambda _: self.ended(tracked))
            self._update_account()

    def ended(self, tracked: TrackedRequest) -> None:
        """Handles the end of a release; starts one that became pending meanwhile."""
        del self.running[tracked]
        self._update_account()
        self.start(tracked)

    async def _release(self, tracked: TrackedRequest, delay_s: float) -> None:
        """Runs one release; repeats it if no worker confirms it."""
        confirmed = await self.run(tracked.request.name, delay_s)
        repeated = self.unconfirmed.get(tracked)
        if not confirmed and repeated is None:
            self.log.warning("nobody took the release of what is held", question=tracked.request.name)
            self.repeat_release(tracked, None)
        elif confirmed and repeated is not None and repeated.endpoint is None:
            self._confirm(tracked)

    async def before_first_byte(self, attempt: EngineAttempt) -> None:
        """Starts a pending release and waits for the running one: later, it would also free KV state of this attempt."""
        self.start(attempt.tracked)
        while attempt.tracked in self.running:
            await asyncio.wait({self.running[attempt.tracked]})

    def _candidates(self) -> Iterator[door.Endpoint]:
        """Workers to call, most recent responders first; among the recent ones, those with an idle connection first. The
        others are looked at only once all recent ones have been taken."""
        recent_after = asyncio.get_running_loop().time() - RECENT_RESPONSE_S
        responders = list(reversed(self.last_response))
        recent = list(takewhile(lambda endpoint: self.last_response[endpoint] >= recent_after, responders))
        yield from self._idle_first(recent)
        silent = [
            endpoint for endpoint in self.workers if endpoint not in self.last_response and endpoint.state == "ready"
        ]
        yield from self._idle_first(responders[len(recent) :] + silent)

    def _idle_first(self, endpoints: list[door.Endpoint]) -> list[door.Endpoint]:
        """These endpoints without those that are gone, first those with an idle connection."""
        listed = [endpoint for endpoint in endpoints if endpoint.state != "gone" and endpoint in self.workers]
        return sorted(listed, key=lambda endpoint: not self.workers[endpoint].connections.idle)

    async def run(self, request_id: str, delay_s: float) -> bool:
        """Calls one worker, then two at once, then four: the latest responders may all have been partitioned at once.

        Returns whether a worker confirmed the release, or there is no worker.
        """
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        tried: set[door.Endpoint] = set()
        calls, concurrent, deadline = 0, 1, loop.time() + CAPACITY_TIMEOUT_S
        while calls < MAX_CALLS:
            endpoints = list(islice((endpoint for endpoint in self._candidates() if endpoint not in tried), concurrent))
            calls += max(1, len(endpoints))
            if not endpoints:
                if not tried:
                    return True  # no worker is known
                tried.clear()
                continue
            tried.update(endpoints)
            results = await asyncio.gather(*[self._call(endpoint, request_id) for endpoint in endpoints])
            self.counts.update(results)
            if ReleaseResult.RELEASED in results:
                return True
            if ReleaseResult.NOT_CALLED in results:
                if loop.time() < deadline:
                    tried -= {
                        endpoint for endpoint, result in zip(endpoints, results) if result is ReleaseResult.NOT_CALLED
                    }
                    calls -= results.count(ReleaseResult.NOT_CALLED)
                await asyncio.sleep(DELAY_S)
            concurrent = min(MAX_CONCURRENT_CALLS, 2 * concurrent)
        self.counts["given up"] += 1
        return False
