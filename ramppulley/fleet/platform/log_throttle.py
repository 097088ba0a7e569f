"""The log interface of the worker list and its watch, and a rate limit for log lines of repeated faults."""

from typing import Protocol

LOG_INTERVAL_S = 10.0


class Log(Protocol):
    """Log that receives faults of the list and state changes of its watch."""

    def info(self, event: str, **fields: object) -> None: ...
    def warning(self, event: str, **fields: object) -> None: ...
    def exception(self, event: str, **fields: object) -> None: ...


class LogThrottle:
    """Allows one log line per `interval_s` seconds, so that a list with a persistent fault does not flood the log."""

    def __init__(self, interval_s: float = LOG_INTERVAL_S) -> None:
        self.interval_s = interval_s
        self.next_line: float | None = None

    def due(self, now: float) -> bool:
        """Whether a line may be written now; True starts the next interval. `now`: seconds."""
        if self.next_line is not None and now < self.next_line:
            return False
        self.next_line = now + self.interval_s
        return True
