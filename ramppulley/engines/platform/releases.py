"""Releases of KV state: which are owed, when they may be sent, and whom they are sent to.

A release is a `DELETE` that any worker takes, and that frees what no attempt waits for. The worker that responded last is
asked first, so that a holder that died cannot keep what it holds.

An attempt that was given up waits for its state until its worker has seen the close of its connection, which may be late:
the worker is busy or hangs, or the close is lost on its way. A release that was heard before that freed nothing. So
releases behind such an attempt are repeated until its worker must have seen the close.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.engines.attempts import Worker
from ramppulley.engines.proof import Stage
from ramppulley.service import permission
from ramppulley.service.neutral import EngineAttempt, TrackedRequest
from ramppulley.service.permission import ReleaseFacts

MAX_CALLS, MAX_CONCURRENT_CALLS = 8, 4  # for one release, each at another worker
CAPACITY_TIMEOUT_S = 5.0  # a release waits so long for a connection; those for control calls are soon free
DELAY_S = 0.02  # from an attempt's closing to the release of what it may have left; also between two calls
RECENT_RESPONSE_S = 1.0  # a worker that responded within this is asked first
REPEAT_SHARE = 0.8  # of the time that KV state may be held: from one release to the next behind an attempt given up
CLOSE_SEEN_WITHIN_S = 1.0  # a worker that responds sees a close within this
MAX_REPEAT_S = 10.0  # a worker that does not respond is given up after this
MAX_UNCONFIRMED = 256  # requests with repeated releases; the oldest is dropped for one more


class ReleaseResult(StrEnum):
    """What came of one call to release."""

    RELEASED = "heard"
    FAILED = "unheard"
    NOT_CALLED = "no connection"  # there was none for it


class GivenUp(NamedTuple):
    """Why releases of a request are repeated, and since when by the clock of the event loop: its last attempt was given up
    at this worker, or nobody took its release."""

    endpoint: door.Endpoint | None
    at: float


def _released_beside(tracked: TrackedRequest) -> bool:
    """Whether a decode is out whose state was to be released beside it: its worker may have ended it unheard meanwhile."""
    return tracked.release_asked and any(not attempt.is_prefill for attempt in tracked.open_attempts)


class KvReleases:
    """The releases of one connector.

    `call(box, request_id)` asks one worker; `spawn` runs a task that ends with the connector; `workers` are those that it
    knows; `held_limit_s()` is how long KV state may be held.
    """

    def __init__(
        self,
        log: Any,
        workers: dict[door.Endpoint, Worker],
        call: Callable[[door.Endpoint, str], Awaitable[ReleaseResult]],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        held_limit_s: Callable[[], float],
    ) -> None:
        self.log, self.workers, self._call, self._spawn = log, workers, call, spawn
        self._held_limit_s = held_limit_s
        self.last_response: dict[door.Endpoint, float] = {}  # when; the worker that responded longest ago first
        self.owed: dict[TrackedRequest, float] = {}  # requests whose KV state has to be released, after so many seconds
        self.running: dict[TrackedRequest, asyncio.Task[None]] = {}
        self.unconfirmed: dict[
            TrackedRequest, GivenUp
        ] = {}  # whose worker may not have seen the close yet, the oldest first
        self._repeats: dict[TrackedRequest, asyncio.TimerHandle] = {}
        self.counts: Counter[str] = Counter()  # calls by their result, and releases that nobody took

    def record_response(self, endpoint: door.Endpoint) -> None:
        """A worker has just responded."""
        self.last_response.pop(endpoint, None)
        if endpoint.state != "gone":
            self.last_response[endpoint] = asyncio.get_running_loop().time()

    def forget_response(self, endpoint: door.Endpoint) -> None:
        """A worker is gone."""
        self.last_response.pop(endpoint, None)

    def outstanding(self) -> bool:
        """Whether releases are owed, under way or to be repeated."""
        return bool(self.owed or self.running or self.unconfirmed)

    def owe(self, tracked: TrackedRequest, delay_s: float) -> None:
        """A release frees all that is held for a request at any worker, also what a later attempt has just left.

        So it goes before that attempt's first byte, or after its end.
        """
        self.owed[tracked] = delay_s
        asyncio.get_running_loop().call_soon(self.start, tracked)

    def given_up(self, tracked: TrackedRequest, endpoint: door.Endpoint | None) -> None:
        """An attempt that was written has ended without an answer: releases behind it are repeated.

        Without a worker: nobody took the release. Also for a decode that is still out, once its state was to be released.
        """
        self.unconfirmed.pop(tracked, None)
        self.unconfirmed[tracked] = GivenUp(endpoint, asyncio.get_running_loop().time())
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            self._confirm(next(iter(self.unconfirmed)))
        self._repeat_later(tracked)

    def close(self) -> None:
        """Repeats nothing any more."""
        for tracked in list(self.unconfirmed):
            self._confirm(tracked)

    def _confirm(self, tracked: TrackedRequest) -> None:
        """No further release is needed for it."""
        self.unconfirmed.pop(tracked, None)
        timer = self._repeats.pop(tracked, None)
        if timer is not None:
            timer.cancel()

    def _repeat_later(self, tracked: TrackedRequest) -> None:
        timer = self._repeats.pop(tracked, None)
        if timer is not None:
            timer.cancel()
        delay_s = REPEAT_SHARE * self._held_limit_s()
        self._repeats[tracked] = asyncio.get_running_loop().call_later(delay_s, self._repeat, tracked)

    def _repeat(self, tracked: TrackedRequest) -> None:
        """One more release, unless the request goes on: it may wait for another state, and has its own release then."""
        if tracked.first_token_at is not None:
            self._confirm(tracked)  # with the first token all else that was held has gone
            return
        beside = _released_beside(tracked)
        busy = bool(tracked.open_attempts) or tracked.state is not None
        if beside or not busy:
            self.counts["repeated"] += 1
            self.owe(tracked, 0.0)
            if not beside and self._close_was_seen(self.unconfirmed[tracked]):
                self._confirm(tracked)
                return
        self._repeat_later(tracked)

    def _close_was_seen(self, given_up: GivenUp) -> bool:
        """Whether the worker of that attempt must have seen its close by now, or never will."""
        age_s = asyncio.get_running_loop().time() - given_up.at
        if given_up.endpoint is None or age_s < CLOSE_SEEN_WITHIN_S:
            return age_s > MAX_REPEAT_S
        responded = self.last_response.get(given_up.endpoint, 0.0) > given_up.at + DELAY_S
        return responded or given_up.endpoint.state == "gone" or age_s > MAX_REPEAT_S

    def start(self, tracked: TrackedRequest) -> None:
        """Begins the release that is owed.

        Only a prefill that was written holds it up, as the release might take what that has just left. A decode keeps what
        it waits for. Until it is answered, it may not have arrived, and the time of what is held goes on.
        """
        prefill_written = any(
            attempt.is_prefill and attempt.stage not in (Stage.QUEUE, Stage.CONNECT)
            for attempt in tracked.open_attempts
        )
        facts = ReleaseFacts(tracked in self.owed, tracked in self.running, prefill_written)
        if permission.may_release(facts) is None:
            release = self._release(tracked, self.owed.pop(tracked))
            task = self.running[tracked] = self._spawn(release)
            task.add_done_callback(lambda _: self.ended(tracked))

    def ended(self, tracked: TrackedRequest) -> None:
        """A release is over; what was owed anew meanwhile begins."""
        del self.running[tracked]
        self.start(tracked)

    async def _release(self, tracked: TrackedRequest, delay_s: float) -> None:
        """One release; where nobody takes it, it is repeated."""
        taken = await self.run(tracked.request.name, delay_s)
        repeated = self.unconfirmed.get(tracked)
        if not taken and repeated is None:
            self.log.warning("nobody took the release of what is held", question=tracked.request.name)
            self.given_up(tracked, None)
        elif taken and repeated is not None and repeated.endpoint is None:
            self._confirm(tracked)

    async def before_first_byte(self, attempt: EngineAttempt) -> None:
        """An attempt is not written before a release was heard: the KV state that it leaves would go with it."""
        self.start(attempt.tracked)
        while attempt.tracked in self.running:
            await asyncio.wait({self.running[attempt.tracked]})

    def _candidates(self) -> list[door.Endpoint]:
        """Whom to ask: those that responded last first, and of the recent ones those with an idle connection first."""
        now = asyncio.get_running_loop().time()
        endpoints = [endpoint for endpoint in reversed(self.last_response) if endpoint.state != "gone"]
        endpoints += [
            endpoint for endpoint in self.workers if endpoint not in self.last_response and endpoint.state == "ready"
        ]

        def rank(endpoint: door.Endpoint) -> tuple[bool, bool]:
            stale = now - self.last_response.get(endpoint, 0) > RECENT_RESPONSE_S
            return stale, not self.workers[endpoint].connections.idle

        return sorted((endpoint for endpoint in endpoints if endpoint in self.workers), key=rank)

    async def run(self, request_id: str, delay_s: float) -> bool:
        """Asks one worker, then two at once, then four: those that responded last may all have been cut off at once.

        Whether one took it, or there is none.
        """
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        asked: set[door.Endpoint] = set()
        calls, concurrent, deadline = 0, 1, loop.time() + CAPACITY_TIMEOUT_S
        while calls < MAX_CALLS:
            endpoints = [endpoint for endpoint in self._candidates() if endpoint not in asked][:concurrent]
            calls += max(1, len(endpoints))
            if not endpoints:
                if not asked:
                    return True  # no worker was ever listed
                asked.clear()
                continue
            asked.update(endpoints)
            results = await asyncio.gather(*[self._call(endpoint, request_id) for endpoint in endpoints])
            self.counts.update(results)
            if ReleaseResult.RELEASED in results:
                return True
            if ReleaseResult.NOT_CALLED in results:
                if loop.time() < deadline:
                    asked -= {
                        endpoint for endpoint, result in zip(endpoints, results) if result is ReleaseResult.NOT_CALLED
                    }
                    calls -= results.count(ReleaseResult.NOT_CALLED)
                await asyncio.sleep(DELAY_S)
            concurrent = min(MAX_CONCURRENT_CALLS, 2 * concurrent)
        self.counts["given up"] += 1
        return False
