"""Building blocks of the decision module that decide nothing themselves: actors, samples, the prefix cache, the roster,
rendezvous hashing and statistics."""

from array import array
from bisect import bisect_left, insort
from collections import Counter, deque, namedtuple
from functools import partial
from heapq import nlargest, nsmallest
from math import inf, log
from operator import sub
from struct import unpack
from weakref import WeakValueDictionary

#: Estimates of a worker: `prefill_pace` is time per uncached token, `stream_lateness` how much longer its streams take than
#: promised, as a part of the promised time, and `stream_time` how long they last.
Figures = namedtuple("Figures", "memory_load first_token_time prefill_pace queued_tokens stream_lateness stream_time")


class BoundedList(list):
    """A list of the last `max_count` values, which `append` bounds. Unlike a deque, it takes little memory while empty."""

    __slots__ = ("max_count",)

    def __init__(self, max_count):
        super().__init__()
        self.max_count = max_count

    def append(self, value):
        list.append(self, value)
        if len(self) > self.max_count:
            del self[0]


class Actor:
    """Handles notes (messages) one at a time, in the order they were sent: the note `event` by its method `on_<event>`."""

    __slots__ = "router", "turn", "__weakref__"

    def __init__(self, router):
        self.router, self.turn = router, 0

    @property
    def now(self):
        return self.router.clock

    def note(self, event, *arguments):
        """Sends a note to this actor; `Router.tell` delivers it within the same call from the host."""
        self.router.due.append((self, event, arguments))


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
        "limited_by_window",  # whether it is given up earlier than others, as its idempotency key expires
        "__weakref__",
    ]

    def __init__(self, request, worker, is_prefill, uncached_tokens, started_at):
        self.request, self.worker, self.is_prefill, self.uncached_tokens = request, worker, is_prefill, uncached_tokens
        self.started_at, self.first_token_at, self.cancelled, self.first_byte_deadline = started_at, None, False, None
        self.limited_by_window = False
        self.memory = request.view.prompt + (0 if is_prefill else request.expected_output_tokens)
        self.queued_tokens = worker.figures().queued_tokens if worker.can_prefill else 0
        self.expected_time = worker.prefill_time(uncached_tokens) if worker.can_prefill else 0


class RoleAttempts:
    """The workers of one role and the start times of their kept attempts, with the densest run of these.

    Adding a time and finding the densest run take time that does not depend on the number of workers, unless an attempt of
    that very run has been removed since.

    >>> attempts = RoleAttempts()
    >>> for at in (0, 40, 50, 55, 60): attempts.add(at)
    >>> attempts.densest(3), attempts.densest(3), attempts.densest(9)
    ((3, 20), (3, 20), (4, 60))
    >>> attempts.remove([50, 0]); attempts.densest(3)
    (2, 20)
    >>> attempts.replace(40, 61); attempts.densest(3)
    (2, 6)
    """

    __slots__ = "worker_count", "times", "count", "span", "begin", "end"

    def __init__(self):
        self.worker_count = 0
        self.times = []  # ascending
        self.count, self.span, self.begin, self.end = None, 1, 0, 0  # densest run; `count` is None if it is not known

    def add(self, at):
        """Adds the start time of an attempt."""
        if self.times and at < self.times[-1]:
            insort(self.times, at)
            self.count = None
            return
        self.times.append(at)
        if self.count is not None and at - self.times[-1 - self.count] < self.span:
            self._set_run(len(self.times) - 1 - self.count)

    def _set_run(self, index):
        """Makes the run that begins at this index the densest."""
        self.begin, self.end = self.times[index], self.times[index + self.count]
        self.span = max(1, self.end - self.begin)

    def replace(self, removed, at):
        """Adds the start time of an attempt in place of an earlier one."""
        self._forget_run_with(removed)
        del self.times[bisect_left(self.times, removed)]
        self.add(at)

    def remove(self, removed):
        """Removes these times, each of which was added."""
        kept = []
        start = 0
        for at in sorted(removed):
            self._forget_run_with(at)
            index = bisect_left(self.times, at, start)
            kept += self.times[start:index]
            start = index + 1
        self.times = kept + self.times[start:]

    def _forget_run_with(self, at):
        if self.begin <= at <= self.end:
            self.count = None

    def densest(self, count):
        """(count, span): the shortest span between times that are `count` apart, with fewer times between all of them."""
        if not self.times:
            return 0, 1
        count = min(count, len(self.times) - 1)
        if self.count != count:
            self.count = count
            spans = list(map(sub, self.times[count:], self.times))
            self._set_run(spans.index(min(spans)))
        return count, self.span


class TenantUsage:
    """A tenant's usage under one settings object: the requests that its share allows here, and its last arrivals."""

    __slots__ = "expected_count", "arrivals"

    def __init__(self, expected_count):
        self.expected_count, self.arrivals = expected_count, deque(maxlen=64)


class Samples(BoundedList):
    """The last values with their times, in order. Those within the time span, their median and mean are cached until the
    oldest of them expires.

    >>> some = Samples(100, 2)
    >>> for at, figure in ((0, 5), (50, 1), (90, 3)): some.add(at, figure)
    >>> some.recent(100), some.median(149), some.recent(150), some.median(190)
    ([1, 3], 2.0, [3], None)
    """

    __slots__ = "span", "recent_values", "recent_median", "recent_mean", "valid_until"

    def __init__(self, span, max_count):
        super().__init__(max_count)
        self.span = span
        self.recent_values, self.recent_median, self.recent_mean, self.valid_until = (), None, 0.0, inf

    def add(self, at, value):
        self.append((at, value))
        self.valid_until = -inf

    def recent(self, now):
        if now >= self.valid_until:
            fresh = [sample for sample in self if now - sample[0] < self.span]
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
MIN_CACHED_PREFIXES = 16  # per worker, however little memory the router has for all of them


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

    def add(self, name, tokens, max_prefixes=MAX_CACHED_PREFIXES):
        if not name:  # cannot be looked up: embeddings, for example, have no session
            return
        known = self.tokens.pop(name, 0)
        self.tokens[name] = max(tokens, known)
        self.total += self.tokens[name] - known
        while len(self.tokens) > max_prefixes or (self.memory and self.total > self.memory):
            self.total -= self.tokens.pop(next(iter(self.tokens)))

    def clear(self):
        self.tokens, self.total = {}, 0

    def cached_tokens(self, view):
        own, shared = self.tokens.get(view.session, 0), self.tokens.get(view.prefix, 0)
        return own if own > shared else shared


class RoleTable:
    """Workers of one kind, prefill or decode, in the order of their numbers, with what they are ranked by.

    A change moves a few arrays by one place; nothing is made anew for all workers.
    """

    def __init__(self):
        self.numbers = []  # ascending; the other lists have the same order
        self.workers = []
        self.marks = []
        self.weights = []
        self.groups = []
        self.zones = []
        self.packed_marks = bytearray()  # a lane for each worker
        self.by_group = {}  # lists of workers, each in the order of their numbers
        self.numbers_by_group = {}
        self.weight_by_group = {}

    def insert(self, number, worker):
        """Adds a worker that is not in the table."""
        endpoint = worker.endpoint
        index = bisect_left(self.numbers, number)
        self.numbers.insert(index, number)
        self.workers.insert(index, worker)
        self.marks.insert(index, endpoint.mark)
        self.weights.insert(index, endpoint.weight)
        self.groups.insert(index, endpoint.cell)
        self.zones.insert(index, endpoint.zone)
        lane = (endpoint.mark & WORD_MASK).to_bytes(LANE_BYTES, "little")
        self.packed_marks[index * LANE_BYTES : index * LANE_BYTES] = lane
        numbers = self.numbers_by_group.setdefault(endpoint.cell, [])
        index = bisect_left(numbers, number)
        numbers.insert(index, number)
        self.by_group.setdefault(endpoint.cell, []).insert(index, worker)
        self._sum_weights(endpoint.cell)

    def remove(self, number):
        """Removes a worker that is in the table."""
        index = bisect_left(self.numbers, number)
        group = self.groups[index]
        for column in (self.numbers, self.workers, self.marks, self.weights, self.groups, self.zones):
            del column[index]
        del self.packed_marks[index * LANE_BYTES : (index + 1) * LANE_BYTES]
        numbers = self.numbers_by_group[group]
        index = bisect_left(numbers, number)
        del numbers[index], self.by_group[group][index]
        if numbers:
            self._sum_weights(group)
        else:
            del self.numbers_by_group[group], self.by_group[group], self.weight_by_group[group]

    def _sum_weights(self, group):
        self.weight_by_group[group] = sum([worker.endpoint.weight for worker in self.by_group[group]])

    def is_listed_as(self, number, endpoint):
        """Whether the table has the worker of this number with what its endpoint says now."""
        index = bisect_left(self.numbers, number)
        return (
            index < len(self.numbers)
            and self.numbers[index] == number
            and (self.groups[index], self.weights[index], self.zones[index])
            == (endpoint.cell, endpoint.weight, endpoint.zone)
        )

    def group_weights(self):
        """The sum of the workers' weights by group, the group of the first worker first."""
        groups = sorted([(numbers[0], group) for group, numbers in self.numbers_by_group.items()])
        return {group: self.weight_by_group[group] for _, group in groups}

    def ranked_fields(self, spare_share):
        """The RankedFields of the workers; `spare_share` is by group."""
        return RankedFields(
            tuple(self.marks),
            tuple(self.weights),
            tuple(self.groups),
            tuple(self.zones),
            tuple([spare_share[group] for group in self.groups]),
        )


class ReadyWorkers:
    """The ready workers of a fleet, kept in step with the list by `update`."""

    def __init__(self):
        self.prefill, self.decode = RoleTable(), RoleTable()
        self.kinds = {}  # the table of each listed worker, by number

    def update(self, number, worker):
        """Takes a worker's present state, group, zone and weight. `number` is its own, and ascends with the list."""
        table = self.kinds.get(number)
        ready = worker.state == "ready"
        if ready and table is not None and table.is_listed_as(number, worker.endpoint):
            return
        if table is not None:
            table.remove(number)
            del self.kinds[number]
        if ready:
            table = self.kinds[number] = self.decode if worker.can_decode else self.prefill
            table.insert(number, worker)


class Roster:
    """Ready workers by role, and each group's `prefill_share`: its part of all prefill capacity divided by its part of all
    decode capacity. Valid until `ready`, the ReadyWorkers that it shows, changes.

    `near`: how many times their even share the prefill workers of a group may serve for its own decode workers. A group
    whose decode workers need more is in `short_groups`.

    >>> from types import SimpleNamespace as N
    >>> def worker(role, group):
    ...     return N(
    ...         state="ready",
    ...         can_decode=role != "read",
    ...         endpoint=N(role=role, cell=group, zone=0, weight=1, mark=group),
    ...     )
    >>> roster = Roster.of([worker("read", 0), worker("read", 0), worker("write", 0), worker("write", 1)], 1.5)
    >>> len(roster.prefill_workers), len(roster.decode_workers), roster.prefill_share, roster.short_groups
    (2, 2, {0: 2.0, 1: 0.0}, {1})
    """

    def __init__(self, ready, near):
        self.ready, self.near = ready, near
        self.prefill_workers, self.decode_workers = ready.prefill.workers, ready.decode.workers
        self.decode_by_group = ready.decode.by_group
        self._by_role, self._oldest_starts, self._draws = {}, {}, None  # made when a decision first needs them

    @classmethod
    def of(cls, workers, near):
        """A roster of those of these workers that are ready."""
        ready = ReadyWorkers()
        for number, worker in enumerate(workers):
            ready.update(number, worker)
        return cls(ready, near)

    def same_role(self, worker):
        """The ready workers of this worker's role."""
        role = worker.endpoint.role
        if role not in self._by_role:
            candidates = self.decode_workers if worker.can_decode else self.prefill_workers
            self._by_role[role] = [candidate for candidate in candidates if candidate.endpoint.role == role]
        return self._by_role[role]

    def oldest_start(self, worker):
        """The earliest start of a ready worker of this worker's role; None if one has been running for long."""
        role = worker.endpoint.role
        if role not in self._oldest_starts:
            starts = [same.started_at for same in self.same_role(worker)]
            self._oldest_starts[role] = None if None in starts else min(starts, default=worker.started_at)
        return self._oldest_starts[role]

    @property
    def draws(self):
        if self._draws is None:
            self._draws = RosterDraws(self.ready, self.near)
        return self._draws

    @property
    def prefill_share(self):
        return self.draws.prefill_share

    @property
    def short_groups(self):
        return self.draws.short_groups

    @property
    def prefill_orders(self):
        return self.draws.prefill_orders

    @property
    def decode_orders(self):
        return self.draws.decode_orders


class RosterDraws:
    """The shares of a roster's groups, and the orders in which its workers are drawn."""

    def __init__(self, ready, near):
        prefill, decode = ready.prefill.group_weights(), ready.decode.group_weights()
        prefill_weight, decode_weight = sum(prefill.values()) or 1, sum(decode.values()) or 1
        self.prefill_share = {
            group: prefill.get(group, 0) / prefill_weight * decode_weight / (decode.get(group, 0) or 1e-9)
            for group in {**prefill, **decode}
        }
        self.short_groups = {group for group, share in self.prefill_share.items() if share * near < 1}
        # The part of a group's prefill capacity that its own decode workers leave to other groups. It is the whole of it in
        # a short group, whose decode workers use the prefill workers of the entire fleet.
        spare_share = {
            group: 1.0 if group in self.short_groups else max(0.1, 1 - 1 / share)
            for group, share in self.prefill_share.items()
        }
        self.prefill_orders, self.decode_orders = (
            rendezvous_orders_of(table.ranked_fields(spare_share), table.packed_marks)
            for table in (ready.prefill, ready.decode)
        )


#: What workers are ranked by: a tuple for each figure, with one value for each worker.
RankedFields = namedtuple("RankedFields", "marks weights groups zones spare_shares")


FIRST_MULTIPLIER = 0x9E3779B97F4A7C15
SECOND_MULTIPLIER = 0xD6E8FEB86659FD93
WORD_MASK = 0xFFFFFFFFFFFFFFFF
LANE_BITS = 128
LANE_BYTES = LANE_BITS // 8
DRAWN_KEYS = 1024  # maximum number of keys whose orders are cached, per list of workers
MAX_CACHED_ORDERS = 4096  # of all these keys together, but for those of the last key
FIRST_RANKS = 32  # of an order that are cached; few draws look further
HASHED_TOGETHER = 16  # hashing all workers at once costs less than hashing one in so many by itself


class RankedWorkers:
    """The workers of a list as a key ranks them, best first: indices into the list.

    Only the `first` ones are kept. Whoever looks further has the order computed anew by `rank(count, indices)`, which
    returns the first `count` (None: all) of the indices given (None: all).

    >>> whole = [2, 0, 1]
    >>> ranked = RankedWorkers(array("I", [2, 0]), lambda count, among=(0, 1, 2): [i for i in whole if i in among][:count])
    >>> ranked[0], list(ranked[:2]), list(ranked[1:]), list(ranked), ranked.among([0, 1], 1)
    (2, [2, 0], [0, 1], [2, 0, 1], [0])
    """

    __slots__ = "first", "rank"

    def __init__(self, first, rank):
        self.first, self.rank = first, rank

    def __getitem__(self, index):
        last = index.stop if isinstance(index, slice) else index + 1
        return (self.first if last is not None and last <= len(self.first) else self.rank(None))[index]

    def __iter__(self):
        yield from self.first
        yield from self.rank(None)[len(self.first) :]

    def __eq__(self, other):
        return list(self) == list(other)

    def among(self, indices, count):
        """The first `count` (None: all) of these indices, which ascend, as the key ranks them."""
        return self.rank(count, indices)


class RendezvousOrders:
    """Weighted rendezvous hashing: the order in which a key ranks the workers of a list, as indices into it, the same at all
    routers that have the list.

    A worker comes first in proportion to its weight. An order is computed when it is first used, and its first ranks are
    cached: the memory follows the number of orders, not that of the workers.

    >>> orders = RendezvousOrders(RankedFields((7, 8, 9), (1.0, 1.0, 1.0), (0, 0, 1), (0, 0, 0), (1.0, 1.0, 1.0)))
    >>> [list(order) for order in (orders.order(5), orders.in_group(5, 0), orders.outside_group(5, 0, 0, 4))]
    [[0, 1, 2], [0, 1], [2]]
    """

    def __init__(self, workers, packed_marks=None):
        """`packed_marks`: the endpoint ids in lanes of LANE_BYTES, where they are known."""
        self.workers, self.count = workers, len(workers.marks)
        self.orders = {}  # for each key, the first ranks by selection
        self.order_count = 0  # in all of them
        self.weights = [weight or 1 for weight in workers.weights]
        self.equal_weights = len(set(self.weights)) < 2
        self.last_hashes = None, []  # the last key, and the hashes of all workers with it
        self.last_penalized = None, {}  # the last key, and its first ranks with penalties
        self.largest_group = max(Counter(workers.groups).values(), default=0)
        # all endpoint ids packed into one integer, in lanes of 128 bits, so that one multiplication mixes them all
        self.lane_ones = int.from_bytes((1).to_bytes(LANE_BYTES, "little") * self.count, "little")
        self.lane_mask = WORD_MASK * self.lane_ones
        if packed_marks is None:
            packed_marks = b"".join([(mark & WORD_MASK).to_bytes(LANE_BYTES, "little") for mark in workers.marks])
        self.packed_marks = int.from_bytes(packed_marks, "little")

    def hashes(self, key):
        """The rendezvous hash of the key with each worker, as integers from 1 to 2 ** 32."""
        if self.last_hashes[0] != key:
            mask = self.lane_mask
            mixed = ((self.packed_marks ^ key * self.lane_ones) * FIRST_MULTIPLIER) & mask
            mixed = ((mixed ^ (mixed >> 32 & mask)) * SECOND_MULTIPLIER) & mask
            lanes = mixed.to_bytes(LANE_BYTES * self.count, "little")
            self.last_hashes = key, [(value >> 32) + 1 for value in unpack(f"<{2 * self.count}Q", lanes)[::2]]
        return self.last_hashes[1]

    def hash_lookup(self, key, indices):
        """A function from each of these indices to its hash. Few are computed one by one, unless all are at hand."""
        if self.last_hashes[0] != key and len(indices) * HASHED_TOGETHER < self.count:
            marks = self.workers.marks
            return {i: mixed_hash(key, marks[i]) for i in indices}.__getitem__
        return self.hashes(key).__getitem__

    def cached(self, key, selection, rank):
        """The order of this selection of workers; `rank(key, *selection, count)` computes its first `count` indices, or all
        of them where that is None, and given further indices those of them that belong to it."""
        known = self.orders.get(key)
        if known is None:
            while len(self.orders) >= DRAWN_KEYS or (self.orders and self.order_count >= MAX_CACHED_ORDERS):
                self.order_count -= len(self.orders.pop(next(iter(self.orders))))
            known = self.orders[key] = {}
        first = known.get(selection)
        if first is None:
            first = known[selection] = array("I", rank(key, *selection, FIRST_RANKS))
            self.order_count += 1
        return first if len(first) < FIRST_RANKS else RankedWorkers(first, partial(rank, key, *selection))

    def weighted(self, key, indices):
        """What these workers are ranked by, the smallest first."""
        hash_of, weights = self.hash_lookup(key, indices), self.weights
        return [-log(hash_of(i) / 2**32) / weights[i] for i in indices]

    def order(self, key):
        """The ordered indices of all workers."""
        return self.cached(key, (), self.rank_workers)

    def rank_workers(self, key, count, indices=None):
        return self.rank(key, range(self.count) if indices is None else indices, count)

    def rank(self, key, indices, count):
        """The first `count` of these indices, which ascend, in the key's order."""
        if self.equal_weights:  # the weighting would not change their order
            return first_in_order(indices, self.hash_lookup(key, indices), count, largest=True)
        rank_of = dict(zip(indices, self.weighted(key, indices)))
        return first_in_order(indices, rank_of.__getitem__, count)

    def in_group(self, key, group):
        """The ordered indices of a group's workers."""
        return self.cached(key, (group,), self.rank_group)

    def rank_group(self, key, group, count, indices=None):
        groups = self.workers.groups
        if indices is None:
            members = [i for i, own in enumerate(groups) if own == group]
        else:
            members = [i for i in indices if groups[i] == group]
        return self.rank(key, members, count)

    def outside_group(self, key, group, zone, times):
        """The ordered indices of other groups' workers (of all where `group` is None). A worker comes first less often where
        its group has little spare capacity, and `times` less often where it is in another zone."""
        return self.cached(key, (group, zone, times), self.rank_outside)

    def rank_outside(self, key, group, zone, times, count, indices=None):
        groups = self.workers.groups
        if indices is None and count is not None:
            ranked = self.ranked_with_penalty(key, zone, times, count + self.largest_group)
            return [i for i in ranked if groups[i] != group][:count]
        others = [i for i in (range(self.count) if indices is None else indices) if groups[i] != group]
        return self.rank_with_penalty(key, others, zone, times, count)

    def ranked_with_penalty(self, key, zone, times, count):
        """The first `count` workers by `rank_with_penalty`. They are kept until another key comes, as a request may look at
        several groups."""
        if self.last_penalized[0] != key:
            self.last_penalized = key, {}
        known = self.last_penalized[1]
        if (zone, times, count) not in known:
            known[zone, times, count] = self.rank_with_penalty(key, range(self.count), zone, times, count)
        return known[zone, times, count]

    def rank_with_penalty(self, key, indices, zone, times, count):
        """The first `count` of these indices, which ascend, in the order in which other groups draw them."""
        _, _, _, zones, spare_shares = self.workers
        penalized = {
            i: weighted / spare_shares[i] * (1 if zones[i] == zone else times)
            for i, weighted in zip(indices, self.weighted(key, indices))
        }
        return first_in_order(indices, penalized.__getitem__, count)


def first_in_order(indices, sort_key, count, largest=False):
    """The first `count` indices by this key, or all of them where that is None; equal ones stay in their order.

    >>> first_in_order([0, 1, 2], [5, 9, 5].__getitem__, 2), first_in_order([0, 1, 2], [5, 9, 5].__getitem__, None, True)
    ([0, 2], [1, 0, 2])
    """
    if count is None or count >= len(indices):
        return sorted(indices, key=sort_key, reverse=largest)
    return (nlargest if largest else nsmallest)(count, indices, key=sort_key)


class SharedOrders:
    """One RendezvousOrders for each list of workers that is in use, as routers of one process may have the same list."""

    def __init__(self):
        self.in_use = WeakValueDictionary()

    def __call__(self, workers, packed_marks=None):
        orders = self.in_use.get(workers)
        if orders is None:
            orders = self.in_use[workers] = RendezvousOrders(workers, packed_marks)
        return orders

    def cache_clear(self):
        """Later calls share nothing with earlier ones."""
        self.in_use.clear()


rendezvous_orders_of = SharedOrders()


def mixed_hash(key, mark):
    """The rendezvous hash of a key with an endpoint id, an integer from 1 to 2 ** 32."""
    mixed = ((key ^ mark) * FIRST_MULTIPLIER) & WORD_MASK
    mixed = ((mixed ^ mixed >> 32) * SECOND_MULTIPLIER) & WORD_MASK
    return (mixed >> 32) + 1


def rendezvous_hash(key, worker):
    """The rendezvous hash of a key with one worker, uniform from 0 to 1."""
    return mixed_hash(key, worker.endpoint.mark) / 2**32


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
