"""Virtual time for simulated fleets of real decision modules, and the settings of their slow start."""

from heapq import heappop, heappush
from itertools import count

from ramppulley import door

S = 10_000  # tenths of a millisecond in a second
LAW = door.PolicySettings(
    drain_grace=S // 2,
    cold_from=0.3,
    cold_for=10 * S,
    cold_multiple=3.0,
    cold_window=3 * S // 2,
    let_go_within=S // 2,
    step=40,
)


class VirtualTime:
    """Runs scheduled calls by due time; calls due at the same time in the order they were scheduled."""

    def __init__(self):
        self.now, self.calls, self.order = 0, [], count()

    def after(self, wait, call):
        heappush(self.calls, (self.now + max(0, int(wait)), next(self.order), call))

    def run(self, until):
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call = heappop(self.calls)
            call()
        return self
