"""Admission of requests to the engine model, and their entries in the ledger."""

import asyncio

from ramppulley.standin.ledger import Entry
from ramppulley.standin.model import Engine, EngineEvent, Job
from ramppulley.standin.server.clock import monotonic_now
from ramppulley.standin.server.faults import EngineFaults
from ramppulley.standin.server.pump import EnginePump
from ramppulley.standin.server.responses import ResponseWriter
from ramppulley.wire.http import Request
from ramppulley.wire.sockets import Transport


class Admission:
    """Records each request that arrived, offers its job to the engine, and records how it ended."""

    def __init__(
        self,
        engine: Engine,
        ledger: list[Entry],
        faults: EngineFaults,
        pump: EnginePump,
        responses: ResponseWriter,
    ) -> None:
        self._engine = engine
        self.ledger = ledger
        self._faults = faults
        self._pump = pump
        self._responses = responses

    def enter(self, transport: Transport, what: str, request: Request, job: Job) -> Entry:
        """The ledger's new entry of a request that arrived now."""
        now = monotonic_now()
        entry = Entry(
            engine=self._engine.name,
            request=job.name,
            what=what,
            arrived=now,
            opened=int(transport.opened_at or now),
            receipt=request.headers.get("idempotency-key", ""),
            weight=self._engine.work(job),
            prompt=job.prompt_tokens,
            kept=min(job.prompt_tokens, self._engine.count_cached_tokens(job.blocks)),
        )
        self.ledger.append(entry)
        return entry

    async def take(self, transport: Transport, entry: Entry, job: Job) -> asyncio.Queue[EngineEvent] | None:
        """Offers the job to the engine: the queue of its events, or None when it was rejected and answered."""
        try:
            await self._faults.wait_for_end_of_silence()
        except asyncio.CancelledError:
            entry.ended, entry.how = monotonic_now(), "withdrawn"
            raise
        outcome = self._engine.offer(job, monotonic_now())
        if outcome == "taken":
            return self._pump.subscribe(job)
        entry.ended, entry.how = monotonic_now(), outcome
        await self._answer_rejected(transport, outcome)
        return None

    async def _answer_rejected(self, transport: Transport, outcome: str) -> None:
        if outcome == "no_state":
            await self._responses.state_gone(transport)
        elif outcome == "full":
            await self._responses.overloaded(transport, "full")
        else:
            transport.reset()

    def finish(self, entry: Entry, job: Job) -> None:
        """The request has ended, answered or not; the engine drops the rest of its job."""
        self._pump.unsubscribe(job)
        self._engine.cancel(job)
        entry.ran |= job.began_at is not None
        entry.ended = monotonic_now()
        entry.how = entry.how or "withdrawn"
