"""Token bucket: limits the rate of datagrams sent, whatever is received."""

from ramppulley.cluster.config import S


class TokenBucket:
    """Refills `per_second` tokens per second, up to `burst`.

    >>> bucket = TokenBucket(10, 2)
    >>> [bucket.take(now) for now in (0, 0, 0, 1_000)]
    [True, True, False, True]
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.tokens = float(burst)
        self.updated_at = 0

    def take(self, now: int) -> bool:
        """Takes a token; False if there is none."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.per_second / S)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
