"""What a router did against its own rules, and the evidence for it: counters, and a bounded ring of recent events.

In ordinary service this costs one tuple an event. A violation is one log line with what the ring has of its request.
"""

from collections import Counter, deque
from enum import StrEnum
from typing import Any, NamedTuple

RING_EVENTS = 512
MAX_SHOWN_EVENTS = 24


class Violation(StrEnum):
    """What must not happen: in tests and in the soak each is a failure, in service a line and the safe way out."""

    ANSWER_OVERDUE = "answer_overdue"
    SECOND_ANSWER = "second_answer"
    ATTEMPT_AFTER_ANSWER = "attempt_after_answer"
    TWO_ATTEMPTS = "two_attempts"
    STATE_HELD = "state_held"
    CLOSED_UNANSWERED = "closed_unanswered"
    OWN_FAULT = "own_fault"


class Action(StrEnum):
    """What is counted by its reason."""

    REFUSED = "refused"  # by `service.permission`
    ENDED = "ended"  # attempts, by outcome
    CLOSED = "closed"  # clients' connections
    ANSWERED = "answered"  # requests, by how and why
    RETRIED = "retried"  # requests, by the outcome behind which their next attempt began
    KV_STATE = "kv"  # KV states, by step


class Event(NamedTuple):
    """One entry of the ring. `at`: the router's clock, tenths of a millisecond."""

    at: int
    request: str
    what: str
    detail: object


class RuleAudit:
    """Counts and remembers. `clock` and `log` are the router's."""

    def __init__(self, log: Any, clock: Any) -> None:
        self.log, self.clock = log, clock
        self.ring: deque[Event] = deque(maxlen=RING_EVENTS)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.violations: Counter[Violation] = Counter()

    def record(self, request: str, what: str, detail: object = "") -> None:
        """An event of a request, for the ring. `detail` is shown only after a violation."""
        self.ring.append(Event(self.clock.now(), request, what, detail))

    def count(self, action: Action, reason: str, request: str = "") -> None:
        """One more of this action for this reason."""
        self.counts[action, reason] += 1
        if request:
            self.record(request, action, reason)

    def violation(self, kind: Violation, request: str, **facts: object) -> None:
        """Something was done against the rules: one line, with what is known of its request."""
        self.violations[kind] += 1
        self.log.error("rule broken", rule=kind.value, question=request, **facts, events=self._history(request))

    def own_fault(self, where: str, request: str = "") -> None:
        """An exception of our own is being handled."""
        self.violations[Violation.OWN_FAULT] += 1
        self.log.exception("module fault", where=where, question=request, events=self._history(request))

    def _history(self, request: str) -> str:
        """What the ring has of a request; the times are milliseconds before now."""
        now = self.clock.now()
        events = [event for event in self.ring if event.request == request][-MAX_SHOWN_EVENTS:]
        return "; ".join(f"-{(now - at) // 10} ms {what} {detail}".rstrip() for at, _, what, detail in events)

    def sizes(self) -> dict[str, object]:
        """For the periodic log line: violations in all, and the counters by their reasons."""
        reasons = (f"{action}/{reason.replace(' ', '_')}:{n}" for (action, reason), n in sorted(self.counts.items()))
        return {"violations": sum(self.violations.values()), "counts": ",".join(reasons)}
