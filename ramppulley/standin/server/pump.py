"""Runs the engine model on the real clock and hands its events to the requests that wait for them."""

import asyncio

from ramppulley.standin.model import Engine, EngineEvent, Job, S
from ramppulley.standin.server.clock import monotonic_now
from ramppulley.standin.server.faults import EngineFaults
from ramppulley.standin.server.holds import Holds

MAX_WAIT_S = 0.25  # between two calls of the model


class EnginePump:
    """One task that advances the model whenever a step is due. `wake` is set when a request arrived."""

    def __init__(self, engine: Engine, faults: EngineFaults, holds: Holds) -> None:
        self._engine = engine
        self._faults = faults
        self._holds = holds
        self._task: asyncio.Task[None] | None = None
        self._queues: dict[Job | None, asyncio.Queue[EngineEvent]] = {}  # of events, by job
        self.wake = asyncio.Event()

    def start(self) -> None:
        """Needs the running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Ends the task; the jobs' events stay queued."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def subscribe(self, job: Job) -> asyncio.Queue[EngineEvent]:
        """The queue of a job's events, from now on."""
        queue: asyncio.Queue[EngineEvent] = asyncio.Queue()
        self._queues[job] = queue
        self.wake.set()
        return queue

    def unsubscribe(self, job: Job) -> None:
        """Drops the queue of a job that is no longer awaited."""
        self._queues.pop(job, None)

    def unsubscribe_all(self) -> None:
        """Drops the queues of all jobs."""
        self._queues.clear()

    async def _run(self) -> None:
        while True:
            now = monotonic_now()
            self._faults.end_silence(now)
            if now >= self._faults.silent_until:
                self._advance(now)
            self._holds.expire(now)
            await self._wait(now)

    def _advance(self, now: int) -> None:
        for event in self._engine.advance(now):
            queue = self._queues.get(event.job)
            if queue is not None:
                queue.put_nowait(event)
            elif event.what == "read" and event.job is not None:  # its KV state is no longer awaited
                self._engine.held_tokens -= event.job.prompt_tokens

    async def _wait(self, now: int) -> None:
        """Until the next step is due, at most for a while."""
        due = self._engine.next_at(now)
        if now < self._faults.silent_until:
            due = self._faults.silent_until
        wait_s = MAX_WAIT_S if due is None else max(0.0, min(MAX_WAIT_S, (due - monotonic_now()) / S))
        self.wake.clear()
        try:
            async with asyncio.timeout(wait_s):  # not wait_for, which may swallow the cancel that ends this task
                await self.wake.wait()
        except TimeoutError:
            pass
