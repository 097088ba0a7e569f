"""Latency histograms, recorded in microseconds and summarized in milliseconds."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1000
MIN_VALUE_US = 1
MAX_VALUE_US = 60_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class LatencySummary:
    """Percentiles of one histogram in milliseconds, and its number of values."""

    p50_ms: float
    p99_ms: float
    count: int


class LatencyHistogram:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Adds a duration; values below the minimum are recorded as the minimum."""
        self._histogram.record_value(max(MIN_VALUE_US, int(seconds * MICROSECONDS_PER_SECOND)))

    def summary(self) -> LatencySummary:
        """Percentiles of the values recorded so far."""
        return LatencySummary(
            p50_ms=self._percentile_ms(50),
            p99_ms=self._percentile_ms(99),
            count=self._histogram.get_total_count(),
        )

    def _percentile_ms(self, percentile: float) -> float:
        value_us: int = self._histogram.get_value_at_percentile(percentile)
        return round(value_us / MICROSECONDS_PER_MILLISECOND, 3)


class StreamHistograms:
    """Time to the first token and mean time between tokens of streamed responses."""

    def __init__(self) -> None:
        self.first_token = LatencyHistogram()
        self.per_token = LatencyHistogram()


def difference_ms(routed_ms: float, direct_ms: float) -> float:
    """The latency that the router adds, rounded to the precision of the summaries."""
    return round(routed_ms - direct_ms, 3)
