"""The clock of the stand-in servers: tenths of a millisecond on the machine's monotonic clock."""

import time

from ramppulley.standin.model import S

NANOSECONDS_PER_SECOND = 1_000_000_000


def monotonic_now() -> int:
    """The time, comparable between all processes of a machine."""
    return time.monotonic_ns() * S // NANOSECONDS_PER_SECOND
