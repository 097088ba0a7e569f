"""The event log on the platform: keeps nothing, and logs one line per failed request that was sent to a worker."""

from ramppulley.daemon.platform.log import Log
from ramppulley.service.clock import LoopClock
from ramppulley.service.log_limit import LineLimit
from ramppulley.service.neutral import CLIENT_LEFT, COMPLETED, KvEvent
from ramppulley.service.record import AttemptRecord, RequestRecord

MAX_LINES_PER_S = 5


class FailureLog:
    """Logs each request that was attempted but not completed, at most `max_lines_per_s` lines a second."""

    def __init__(self, log: Log, clock: LoopClock, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self.log, self.clock, self.limit = log, clock, LineLimit(max_lines_per_s)

    def add(self, record: RequestRecord) -> None:
        """Receives the record of a finished request; the core calls it like an event log."""
        if record.how in (COMPLETED, CLIENT_LEFT) or not record.sends:
            return
        if self.limit.allows(self.clock.now()):
            self._write(record)

    def _write(self, record: RequestRecord) -> None:
        attempts = "; ".join(_attempt_text(attempt, record.taken) for attempt in record.sends)
        steps = "; ".join(_kv_text(event, record.taken) for event in record.kv_events)
        self.log.info(
            record.how.replace(" ", "_"),
            question=record.name,
            effect=record.effect,
            patience=record.patience // 10,
            ended=(record.ended - record.taken) // 10,
            sends=f"[{attempts}]",
            kv=f"[{steps}]",
            why=record.why,
        )


def _attempt_text(attempt: AttemptRecord, taken: int) -> str:
    """One attempt: worker, start and end in milliseconds after the request was accepted, outcome."""
    begin_ms, end_ms = (attempt.start - taken) // 10, (attempt.end - taken) // 10
    return f"{attempt.worker} {begin_ms}..{end_ms} ms {attempt.outcome} ({attempt.why})"


def _kv_text(event: KvEvent, taken: int) -> str:
    """One KV state event, in milliseconds after the request was accepted."""
    return f"{(event.at - taken) // 10} ms {event.what} {event.worker}".rstrip()
