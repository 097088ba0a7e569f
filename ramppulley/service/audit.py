"""Detects violations of the router's own invariants; keeps counters and a bounded ring of recent events as evidence.

In normal operation the cost is one tuple per event. A violation logs one line with the ring's events of its request.
"""

from collections import Counter, deque
from enum import StrEnum
from typing import Any, NamedTuple

RING_EVENTS = 512
MAX_SHOWN_EVENTS = 24


class Violation(StrEnum):
    """Invariants that were violated. Each fails a test or a soak run; in production it is logged and handled safely."""

    ANSWER_OVERDUE = "answer_overdue"
    SECOND_ANSWER = "second_answer"
    ATTEMPT_AFTER_ANSWER = "attempt_after_answer"
    TWO_ATTEMPTS = "two_attempts"
    STATE_HELD = "state_held"
    CLOSED_UNANSWERED = "closed_unanswered"
    OWN_FAULT = "own_fault"


class Action(StrEnum):
    """Actions that are counted by reason."""

    REFUSED = "refused"  # an action, by `service.permission`
    ENDED = "ended"  # attempts, by outcome
    CLOSED = "closed"  # client connections
    ANSWERED = "answered"  # requests, by result and reason
    RETRIED = "retried"  # requests, by the outcome that led to the next attempt
    KV_STATE = "kv"  # KV states, by lifecycle step


class Event(NamedTuple):
    """One entry of the ring. `at`: time of the router's clock in tenths of a millisecond."""

    at: int
    request: str
    event_name: str
    detail: object


class RuleAudit:
    """Counts actions and violations and keeps recent events. `clock` and `log` are the router's."""

    def __init__(self, log: Any, clock: Any) -> None:
        self.log, self.clock = log, clock
        self.ring: deque[Event] = deque(maxlen=RING_EVENTS)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.violations: Counter[Violation] = Counter()

    def record(self, request: str, event_name: str, detail: object = "") -> None:
        """Adds an event of a request to the ring. `detail` is formatted only when a violation is logged."""
        self.ring.append(Event(self.clock.now(), request, event_name, detail))

    def count(self, action: Action, reason: str, request: str = "") -> None:
        """Counts an action under a reason; with a request, it also enters the ring."""
        self.counts[action, reason] += 1
        if request:
            self.record(request, action, reason)

    def violation(self, kind: Violation, request: str, **facts: object) -> None:
        """Counts and logs a violation with the recent events of its request."""
        self.violations[kind] += 1
        self.log.error("rule broken", rule=kind.value, question=request, **facts, events=self._history(request))

    def own_fault(self, where: str, request: str = "") -> None:
        """Logs the exception that is being handled, as a fault of the router itself."""
        self.violations[Violation.OWN_FAULT] += 1
        self.log.exception("module fault", where=where, question=request, events=self._history(request))

    def _history(self, request: str) -> str:
        """The ring's events of a request as text; times are milliseconds relative to now."""
        now = self.clock.now()
        events = [event for event in self.ring if event.request == request][-MAX_SHOWN_EVENTS:]
        return "; ".join(
            f"-{(now - at) // 10} ms {event_name} {detail}".rstrip() for at, _, event_name, detail in events
        )

    def counters(self) -> dict[str, object]:
        """Fields of a periodic log line: the total of violations, and the counters by reason."""
        reasons = (f"{action}/{reason.replace(' ', '_')}:{n}" for (action, reason), n in sorted(self.counts.items()))
        return {"violations": sum(self.violations.values()), "reasons": ",".join(reasons)}
