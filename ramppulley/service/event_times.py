"""How long events hold the event loop up: the longest one since it was last asked for, for the periodic log line."""

TENTHS_PER_MS = 10


class EventTimes:
    """Keeps the longest event. Durations are in tenths of a millisecond, as the router's clock counts.

    >>> times = EventTimes()
    >>> times.record("listed", 1234), times.record("arrived", 20), times.take(), times.take()
    (None, None, 'listed:123', '')
    """

    def __init__(self) -> None:
        self._name, self._duration = "", 0

    def record(self, name: str, duration: int) -> None:
        """Records an event of this kind."""
        if duration > self._duration:
            self._name, self._duration = name, duration

    def take(self) -> str:
        """The longest event since the last call, as its kind and its duration in milliseconds; empty if none took 0.1 ms."""
        name, duration = self._name, self._duration
        self._name, self._duration = "", 0
        return f"{name}:{duration // TENTHS_PER_MS}" if name else ""
