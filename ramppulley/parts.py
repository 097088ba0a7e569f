"""What the decisions are built from, itself without any: actors, kept texts, the roster, lots, middles."""

from collections import deque, namedtuple
from functools import lru_cache
from math import inf, log
from struct import unpack

#: What a worker is taken to have: memory load, time to the first token, time per unread token, tokens ahead,
#: streams' lateness, streams' time.
Figures = namedtuple("Figures", "load wait pace ahead slowness stays")


class Actor:
    """Takes one note at a time from its inbox; `on_<word>` acts on it."""

    __slots__ = "router", "inbox", "turn", "__weakref__"

    def __init__(self, router):
        self.router, self.inbox, self.turn = router, deque(), 0

    @property
    def now(self):
        return self.router.clock

    def note(self, word, *figures):
        self.inbox.append((word, figures))
        self.router.due.append(self)


class PolicyAttempt:
    """One attempt of a request as the decision module tracks it: a prefill, or a decode."""

    __slots__ = [
        "request",
        "worker",
        "is_prefill",
        "unread",
        "start",
        "first_token_at",
        "cancelled",
        "memory",
        "ahead",
        "expected",
        "first_byte_deadline",  # a repeat writes its first byte no later; None is no bound
        "__weakref__",
    ]

    def __init__(self, request, worker, is_prefill, unread, start):
        self.request, self.worker, self.is_prefill, self.unread = request, worker, is_prefill, unread
        self.start, self.first_token_at, self.cancelled, self.first_byte_deadline = start, None, False, None
        self.memory = request.view.prompt + (0 if is_prefill else request.likely)
        self.ahead = worker.figures().ahead if worker.can_prefill else 0
        self.expected = worker.read_time(unread) if worker.can_prefill else 0


class TenantUsage:
    """A tenant under one settings object: the requests that its share allows here, and the times of its last ones."""

    __slots__ = "expected_count", "arrivals"

    def __init__(self, expected_count):
        self.expected_count, self.arrivals = expected_count, deque(maxlen=64)


class Samples:
    """The last figures with their times, in order; those within a span, and their middle, are kept till one is too old.

    >>> some = Samples(100, 2)
    >>> for at, figure in ((0, 5), (50, 1), (90, 3)): some.add(at, figure)
    >>> some.recent(100), some.median(149), some.recent(150), some.median(190)
    ([1, 3], 2.0, [3], None)
    """

    __slots__ = "span", "samples", "figures", "half", "even", "until"

    def __init__(self, span, most):
        self.span, self.samples = span, deque(maxlen=most)
        self.figures, self.half, self.even, self.until = [], None, 0.0, inf

    def add(self, at, figure):
        self.samples.append((at, figure))
        self.until = -inf

    def recent(self, now):
        if now >= self.until:
            fresh = [sample for sample in self.samples if now - sample[0] < self.span]
            self.until = fresh[0][0] + self.span if fresh else inf
            self.figures = [figure for _, figure in fresh]
            self.half, self.even = median(self.figures), mean(self.figures)
        return self.figures

    def median(self, now):
        if now >= self.until:
            self.recent(now)
        return self.half

    def mean(self, now):
        if now >= self.until:
            self.recent(now)
        return self.even


TEXTS = 1 << 14  # texts remembered for one worker, also where its memory is not told


class PrefixCache:
    """Prefixes cached at a worker and their tokens, least recently used first, within its memory (0 = not known).

    >>> kept = PrefixCache(100)
    >>> for text, tokens in (("", 50), ("a", 60), ("b", 30), ("a", 50), ("c", 30)): kept.add(text, tokens)
    >>> kept.tokens
    {'a': 60, 'c': 30}
    """

    def __init__(self, memory):
        self.memory, self.tokens, self.total = memory, {}, 0

    def add(self, text, tokens):
        if not text:  # no name to find it by: embeddings and such have no session
            return
        known = self.tokens.pop(text, 0)
        self.tokens[text] = max(tokens, known)
        self.total += self.tokens[text] - known
        while len(self.tokens) > TEXTS or (self.memory and self.total > self.memory):
            self.total -= self.tokens.pop(next(iter(self.tokens)))

    def clear(self):
        self.tokens, self.total = {}, 0

    def cached_tokens(self, view):
        own, shared = self.tokens.get(view.session, 0), self.tokens.get(view.prefix, 0)
        return own if own > shared else shared


class Roster:
    """Ready workers by role, and each group's `prefill_share`: its part of all prefill workers over its part of all decode
    workers.

    `near`: up to how many times their even share a group's prefill workers serve its decode workers; a group that needs more
    is in `short_groups`.

    >>> from types import SimpleNamespace as N
    >>> def worker(role, cell):
    ...     return N(
    ...         state="ready",
    ...         can_decode=role != "read",
    ...         endpoint=N(role=role, cell=cell, zone=0, weight=1, mark=cell),
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
        read, write = (sum(part.values()) or 1 for part in weight)
        self.prefill_share = {
            cell: weight[0].get(cell, 0) / read * write / (weight[1].get(cell, 0) or 1e-9)
            for cell in {**weight[0], **weight[1]}
        }
        self.short_groups = {cell for cell, reach in self.prefill_share.items() if reach * near < 1}
        # the part of a cell's readers that its own writers leave to others: all where those use the whole fleet's
        spare = {
            cell: 1.0 if cell in self.short_groups else max(0.1, 1 - 1 / reach)
            for cell, reach in self.prefill_share.items()
        }
        self.prefill_orders, self.decode_orders = (
            rendezvous_orders_of(
                tuple(
                    [
                        (w.endpoint.mark, w.endpoint.weight, w.endpoint.cell, w.endpoint.zone, spare[w.endpoint.cell])
                        for w in some
                    ]
                )
            )
            for some in (self.prefill_workers, self.decode_workers)
        )

    def like(self, worker):
        return self.by_role.get(worker.endpoint.role, [])


MIX, MIX_MORE, WORD, LANE = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93, 0xFFFFFFFFFFFFFFFF, 128
DRAWN_KEYS, DRAWN_LISTS = 1024, 16  # kept at once: keys of a list; lists, which routers may see at other times


class RendezvousOrders:
    """Weighted rendezvous hashing: the order in which a key ranks the workers of a list, as indices into it, the same at all
    routers that have the list.

    A worker comes first in proportion to its weight. An order is computed when it is first used, and cached.

    >>> draws = RendezvousOrders(((7, 1.0, 0, 0, 1.0), (8, 1.0, 0, 0, 1.0), (9, 1.0, 1, 0, 1.0)))
    >>> draws.order(5), draws.in_group(5, 0), draws.outside_group(5, 0, 0, 4)
    ((0, 1, 2), (0, 1), (2,))
    """

    def __init__(self, told):
        self.told, self.orders = told, {}
        self.weights = [weight or 1 for _, weight, *_ in told]
        self.alike = len(set(self.weights)) < 2
        # all marks side by side in one whole number, 128 bits each, so that one multiplication mixes them all
        self.ones = sum([1 << LANE * i for i in range(len(told))])
        self.marks = sum([(told[i][0] & WORD) << LANE * i for i in range(len(told))])

    def hashes(self, key):
        """The rendezvous hash of the key with each worker, as whole numbers from 1 to 2 ** 32."""
        words = WORD * self.ones
        mixed = ((self.marks ^ key * self.ones) * MIX) & words
        mixed = ((mixed ^ (mixed >> 32 & words)) * MIX_MORE) & words
        lanes = mixed.to_bytes(LANE // 8 * len(self.told), "little")
        return [(word >> 32) + 1 for word in unpack(f"<{2 * len(self.told)}Q", lanes)[::2]]

    def cached(self, key):
        known = self.orders.get(key)
        if known is None:
            while len(self.orders) >= DRAWN_KEYS:
                del self.orders[next(iter(self.orders))]
            known = self.orders[key] = {"parts": self.hashes(key)}
        return known

    def weighted_hashes(self, key):
        known = self.cached(key)
        if "lots" not in known:
            known["lots"] = [-log(part / 2**32) / weight for part, weight in zip(known["parts"], self.weights)]
        return known["lots"]

    def order(self, key):
        known = self.cached(key)
        if "order" not in known:
            if self.alike:  # the logarithm keeps their order
                by = known["parts"].__getitem__
                known["order"] = tuple(sorted(range(len(self.told)), key=by, reverse=True))
            else:
                known["order"] = tuple(sorted(range(len(self.told)), key=self.weighted_hashes(key).__getitem__))
        return known["order"]

    def in_group(self, key, cell):
        """The ordered indices of a group's workers."""
        known, what = self.cached(key), (cell,)
        if what not in known:
            known[what] = tuple([i for i in self.order(key) if self.told[i][2] == cell])
        return known[what]

    def outside_group(self, key, cell, zone, times):
        """The ordered indices of other groups' workers (of all where `cell` is None): rarer where a group leaves little
        capacity to others, and `times` as rare from another zone."""
        known, what = self.cached(key), (cell, zone)
        if what not in known:
            lots = [
                weighted / spare * (1 if its == zone else times)
                for weighted, (_, _, _, its, spare) in zip(self.weighted_hashes(key), self.told)
            ]
            known[what] = tuple(
                sorted([i for i, told in enumerate(self.told) if told[2] != cell], key=lots.__getitem__)
            )
        return known[what]


rendezvous_orders_of = lru_cache(maxsize=DRAWN_LISTS)(RendezvousOrders)


def rendezvous_hash(key, worker):
    """The rendezvous hash of a key with one worker, uniform from 0 to 1."""
    mixed = ((key ^ worker.endpoint.mark) * MIX) & WORD
    mixed = ((mixed ^ mixed >> 32) * MIX_MORE) & WORD
    return ((mixed >> 32) + 1) / 2**32


def densest_window(many, count):
    """(count, span): the shortest span between times that are `count` apart, over all the lists together.

    >>> densest_window([[0, 50, 60], [40, 55]], 3), densest_window([[]], 3)
    ((3, 20), (0, 1))
    """
    times = sorted(at for some in many for at in some)
    count = max(0, min(count, len(times) - 1))
    return count, max(1, min((b - a for a, b in zip(times, times[count:])), default=1))


def blended(own, told, part, most):
    """Our own estimate, moved towards a reported one by a part of the difference, and by `most` at most.

    >>> blended(0.5, 0.1, 0.5, 1), blended(0.5, 0.1, 1, 0.25)
    (0.3, 0.25)
    """
    return own + max(-most, min(most, (told - own) * part))


def median(figures):
    """The median, None of nothing.

    >>> median([3, 1, 2]), median([1, 2]), median([])
    (2, 1.5, None)
    """
    if not figures:
        return None
    ordered, half = sorted(figures), len(figures) // 2
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def mean(figures):
    """
    >>> mean([1, None, 3]), mean([])
    (2.0, 0.0)
    """
    known = [f for f in figures if f is not None]
    return sum(known) / len(known) if known else 0.0
