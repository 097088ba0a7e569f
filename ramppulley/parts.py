"""Building blocks of the decision module that decide nothing themselves: actors, samples, the prefix cache, the roster,
rendezvous hashing and statistics."""

from collections import deque, namedtuple
from functools import lru_cache
from math import inf, log
from struct import unpack

#: Estimates of a worker: `prefill_pace` is time per uncached token, `stream_lateness` how much longer its streams take than
#: promised, as a part of the promised time, and `stream_time` how long they last.
Figures = namedtuple("Figures", "memory_load first_token_time prefill_pace queued_tokens stream_lateness stream_time")


class Actor:
    """Handles the notes (messages) in its inbox one at a time: the note `event` by its method `on_<event>`."""

    __slots__ = "router", "inbox", "turn", "__weakref__"

    def __init__(self, router):
        self.router, self.inbox, self.turn = router, deque(), 0

    @property
    def now(self):
        return self.router.clock

    def note(self, event, *arguments):
        """Adds a note to the inbox; `Router.tell` delivers it within the same call from the host."""
        self.inbox.append((event, arguments))
        self.router.due.append(self)


class PolicyAttempt:
    """One attempt of a request as the decision module tracks it: a prefill, or a decode."""

    __slots__ = [
        "request",
        "worker",
        "is_prefill",
        "uncached_tokens",
        "started_at",
        "first_token_at",
        "cancelled",
        "memory",
        "queued_tokens",
        "expected_time",
        "first_byte_deadline",  # latest time at which a retry sends its first byte; None: not bounded
        "__weakref__",
    ]

    def __init__(self, request, worker, is_prefill, uncached_tokens, started_at):
        self.request, self.worker, self.is_prefill, self.uncached_tokens = request, worker, is_prefill, uncached_tokens
        self.started_at, self.first_token_at, self.cancelled, self.first_byte_deadline = started_at, None, False, None
        self.memory = request.view.prompt + (0 if is_prefill else request.expected_output_tokens)
        self.queued_tokens = worker.figures().queued_tokens if worker.can_prefill else 0
        self.expected_time = worker.prefill_time(uncached_tokens) if worker.can_prefill else 0


class TenantUsage:
    """A tenant's usage under one settings object: the requests that its share allows here, and its last arrivals."""

    __slots__ = "expected_count", "arrivals"

    def __init__(self, expected_count):
        self.expected_count, self.arrivals = expected_count, deque(maxlen=64)


class Samples:
    """The last values with their times, in order. Those within the time span, their median and mean are cached until the
    oldest of them expires.

    >>> some = Samples(100, 2)
    >>> for at, figure in ((0, 5), (50, 1), (90, 3)): some.add(at, figure)
    >>> some.recent(100), some.median(149), some.recent(150), some.median(190)
    ([1, 3], 2.0, [3], None)
    """

    __slots__ = "span", "samples", "recent_values", "recent_median", "recent_mean", "valid_until"

    def __init__(self, span, max_count):
        self.span, self.samples = span, deque(maxlen=max_count)
        self.recent_values, self.recent_median, self.recent_mean, self.valid_until = [], None, 0.0, inf

    def add(self, at, value):
        self.samples.append((at, value))
        self.valid_until = -inf

    def recent(self, now):
        if now >= self.valid_until:
            fresh = [sample for sample in self.samples if now - sample[0] < self.span]
            self.valid_until = fresh[0][0] + self.span if fresh else inf
            self.recent_values = [value for _, value in fresh]
            self.recent_median, self.recent_mean = median(self.recent_values), mean(self.recent_values)
        return self.recent_values

    def median(self, now):
        if now >= self.valid_until:
            self.recent(now)
        return self.recent_median

    def mean(self, now):
        if now >= self.valid_until:
            self.recent(now)
        return self.recent_mean


MAX_CACHED_PREFIXES = 1 << 14  # per worker; also bounds a cache whose worker's memory is not known


class PrefixCache:
    """The prefixes that a worker is expected to have cached, with their tokens, least recently used first, within its memory
    (0 = not known).

    >>> cache = PrefixCache(100)
    >>> for name, tokens in (("", 50), ("a", 60), ("b", 30), ("a", 50), ("c", 30)): cache.add(name, tokens)
    >>> cache.tokens
    {'a': 60, 'c': 30}
    """

    def __init__(self, memory):
        self.memory, self.tokens, self.total = memory, {}, 0

    def add(self, name, tokens):
        if not name:  # cannot be looked up: embeddings, for example, have no session
            return
        known = self.tokens.pop(name, 0)
        self.tokens[name] = max(tokens, known)
        self.total += self.tokens[name] - known
        while len(self.tokens) > MAX_CACHED_PREFIXES or (self.memory and self.total > self.memory):
            self.total -= self.tokens.pop(next(iter(self.tokens)))

    def clear(self):
        self.tokens, self.total = {}, 0

    def cached_tokens(self, view):
        own, shared = self.tokens.get(view.session, 0), self.tokens.get(view.prefix, 0)
        return own if own > shared else shared


class Roster:
    """Ready workers by role, and each group's `prefill_share`: its part of all prefill capacity divided by its part of all
    decode capacity.

    `near`: how many times their even share the prefill workers of a group may serve for its own decode workers. A group
    whose decode workers need more is in `short_groups`.

    >>> from types import SimpleNamespace as N
    >>> def worker(role, group):
    ...     return N(
    ...         state="ready",
    ...         can_decode=role != "read",
    ...         endpoint=N(role=role, cell=group, zone=0, weight=1, mark=group),
    ...     )
    >>> roster = Roster([worker("read", 0), worker("read", 0), worker("write", 0), worker("write", 1)], 1.5)
    >>> len(roster.prefill_workers), len(roster.decode_workers), roster.prefill_share, roster.short_groups
    (2, 2, {0: 2.0, 1: 0.0}, {1})
    """

    def __init__(self, workers, near):
        ready, self.by_role, self.decode_by_group = [w for w in workers if w.state == "ready"], {}, {}
        for worker in ready:
            self.by_role.setdefault(worker.endpoint.role, []).append(worker)
        self.prefill_workers, self.decode_workers = self.by_role.get("read", []), [w for w in ready if w.can_decode]
        weight = [{}, {}]
        for worker in ready:
            part = weight[worker.can_decode]
            part[worker.endpoint.cell] = part.get(worker.endpoint.cell, 0) + worker.endpoint.weight
            if worker.can_decode:
                self.decode_by_group.setdefault(worker.endpoint.cell, []).append(worker)
        prefill_weight, decode_weight = (sum(part.values()) or 1 for part in weight)
        self.prefill_share = {
            group: weight[0].get(group, 0) / prefill_weight * decode_weight / (weight[1].get(group, 0) or 1e-9)
            for group in {**weight[0], **weight[1]}
        }
        self.short_groups = {group for group, share in self.prefill_share.items() if share * near < 1}
        # The part of a group's prefill capacity that its own decode workers leave to other groups. It is the whole of it in
        # a short group, whose decode workers use the prefill workers of the entire fleet.
        spare = {
            group: 1.0 if group in self.short_groups else max(0.1, 1 - 1 / share)
            for group, share in self.prefill_share.items()
        }
        self.prefill_orders, self.decode_orders = (
            rendezvous_orders_of(
                tuple(
                    [
                        (w.endpoint.mark, w.endpoint.weight, w.endpoint.cell, w.endpoint.zone, spare[w.endpoint.cell])
                        for w in ready_workers
                    ]
                )
            )
            for ready_workers in (self.prefill_workers, self.decode_workers)
        )

    def same_role(self, worker):
        return self.by_role.get(worker.endpoint.role, [])


FIRST_MULTIPLIER = 0x9E3779B97F4A7C15
SECOND_MULTIPLIER = 0xD6E8FEB86659FD93
WORD_MASK = 0xFFFFFFFFFFFFFFFF
LANE_BITS = 128
DRAWN_KEYS = 1024  # maximum number of keys whose orders are cached, per list of workers
MAX_CACHED_LISTS = 16  # more than one, as the routers of a process may see different lists at a time


class RendezvousOrders:
    """Weighted rendezvous hashing: the order in which a key ranks the workers of a list, as indices into it, the same at all
    routers that have the list.

    A worker comes first in proportion to its weight. An order is computed when it is first used, and cached.

    >>> orders = RendezvousOrders(((7, 1.0, 0, 0, 1.0), (8, 1.0, 0, 0, 1.0), (9, 1.0, 1, 0, 1.0)))
    >>> orders.order(5), orders.in_group(5, 0), orders.outside_group(5, 0, 0, 4)
    ((0, 1, 2), (0, 1), (2,))
    """

    def __init__(self, workers):
        self.workers, self.orders = workers, {}
        self.weights = [weight or 1 for _, weight, *_ in workers]
        self.equal_weights = len(set(self.weights)) < 2
        # all endpoint ids packed into one integer, in lanes of 128 bits, so that one multiplication mixes them all
        self.lane_ones = sum([1 << LANE_BITS * i for i in range(len(workers))])
        self.packed_marks = sum([(workers[i][0] & WORD_MASK) << LANE_BITS * i for i in range(len(workers))])

    def hashes(self, key):
        """The rendezvous hash of the key with each worker, as integers from 1 to 2 ** 32."""
        mask = WORD_MASK * self.lane_ones
        mixed = ((self.packed_marks ^ key * self.lane_ones) * FIRST_MULTIPLIER) & mask
        mixed = ((mixed ^ (mixed >> 32 & mask)) * SECOND_MULTIPLIER) & mask
        lanes = mixed.to_bytes(LANE_BITS // 8 * len(self.workers), "little")
        return [(value >> 32) + 1 for value in unpack(f"<{2 * len(self.workers)}Q", lanes)[::2]]

    def cached(self, key):
        known = self.orders.get(key)
        if known is None:
            while len(self.orders) >= DRAWN_KEYS:
                del self.orders[next(iter(self.orders))]
            known = self.orders[key] = {"hashes": self.hashes(key)}
        return known

    def weighted_hashes(self, key):
        known = self.cached(key)
        if "weighted" not in known:
            known["weighted"] = [-log(value / 2**32) / weight for value, weight in zip(known["hashes"], self.weights)]
        return known["weighted"]

    def order(self, key):
        known = self.cached(key)
        if "order" not in known:
            if self.equal_weights:  # the weighting would not change their order
                by_hash = known["hashes"].__getitem__
                known["order"] = tuple(sorted(range(len(self.workers)), key=by_hash, reverse=True))
            else:
                known["order"] = tuple(sorted(range(len(self.workers)), key=self.weighted_hashes(key).__getitem__))
        return known["order"]

    def in_group(self, key, group):
        """The ordered indices of a group's workers."""
        known, selection = self.cached(key), (group,)
        if selection not in known:
            known[selection] = tuple([i for i in self.order(key) if self.workers[i][2] == group])
        return known[selection]

    def outside_group(self, key, group, zone, times):
        """The ordered indices of other groups' workers (of all where `group` is None). A worker comes first less often where
        its group has little spare capacity, and `times` less often where it is in another zone."""
        known, selection = self.cached(key), (group, zone)
        if selection not in known:
            penalized = [
                weighted / spare * (1 if worker_zone == zone else times)
                for weighted, (_, _, _, worker_zone, spare) in zip(self.weighted_hashes(key), self.workers)
            ]
            known[selection] = tuple(
                sorted([i for i, worker in enumerate(self.workers) if worker[2] != group], key=penalized.__getitem__)
            )
        return known[selection]


rendezvous_orders_of = lru_cache(maxsize=MAX_CACHED_LISTS)(RendezvousOrders)


def rendezvous_hash(key, worker):
    """The rendezvous hash of a key with one worker, uniform from 0 to 1."""
    mixed = ((key ^ worker.endpoint.mark) * FIRST_MULTIPLIER) & WORD_MASK
    mixed = ((mixed ^ mixed >> 32) * SECOND_MULTIPLIER) & WORD_MASK
    return ((mixed >> 32) + 1) / 2**32


def densest_window(series, count):
    """(count, span): the shortest span between times that are `count` apart, in all the series of times together.

    >>> densest_window([[0, 50, 60], [40, 55]], 3), densest_window([[]], 3)
    ((3, 20), (0, 1))
    """
    times = sorted(at for one in series for at in one)
    count = max(0, min(count, len(times) - 1))
    return count, max(1, min((b - a for a, b in zip(times, times[count:])), default=1))


def blended(own, reported, part, max_change):
    """Our own estimate, moved towards a reported one by a part of the difference, and by no more than `max_change`.

    >>> blended(0.5, 0.1, 0.5, 1), blended(0.5, 0.1, 1, 0.25)
    (0.3, 0.25)
    """
    return own + max(-max_change, min(max_change, (reported - own) * part))


def median(figures):
    """The median; None for an empty list.

    >>> median([3, 1, 2]), median([1, 2]), median([])
    (2, 1.5, None)
    """
    if not figures:
        return None
    ordered, half = sorted(figures), len(figures) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def mean(figures):
    """The mean of the figures that are not None; 0.0 if there are none.

    >>> mean([1, None, 3]), mean([])
    (2.0, 0.0)
    """
    known = [f for f in figures if f is not None]
    return sum(known) / len(known) if known else 0.0
