"""A limit on the log lines that events of one kind may write, as clients can cause such events at any rate."""

from ramppulley.service.clock import TENTHS


class LineLimit:
    """Allows at most `lines_per_s` lines within each second of the router's clock."""

    def __init__(self, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self._second, self._lines = 0, 0

    def allows(self, now: int) -> bool:
        """Whether one more line may be written at this time, in tenths of a millisecond; counts it.

        >>> limit = LineLimit(1)
        >>> limit.allows(10_000), limit.allows(19_999), limit.allows(20_000)
        (True, False, True)
        """
        second = now // TENTHS
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self.lines_per_s
