"""What the decisions are built from, itself without any: actors, kept texts, the roster, lots, middles."""
from collections import deque, namedtuple
from math import log
from statistics import median
from zlib import crc32

#: What a worker is taken to have: memory load, time to the first token, time per unread token, tokens ahead,
#: streams' lateness, streams' time.
Figures = namedtuple("Figures", "load wait pace ahead slowness stays")


class Actor:
    """Takes one note at a time from its inbox; `on_<word>` acts on it."""

    def __init__(self, router):
        self.router, self.inbox, self.turn = router, deque(), 0

    @property
    def now(self):
        return self.router.clock

    def note(self, word, *figures):
        self.inbox.append((word, figures))
        self.router.due.append(self)


class Send:
    """One send of a question: to read there, or to write."""

    def __init__(self, question, worker, reads, unread, start):
        self.question, self.worker, self.reads, self.unread = question, worker, reads, unread
        self.start, self.first, self.withdrawn = start, None, False
        self.memory = question.slip.prompt + (0 if reads else question.likely)
        self.ahead = worker.figures().ahead if worker.reads else 0
        self.expected = worker.read_time(unread) if worker.reads else 0


TEXTS = 1 << 14                 # texts remembered for one worker, also where its memory is not told


class Kept:
    """Texts that a worker has read and their tokens, oldest use first, within its memory (0 = not told).

    >>> kept = Kept(100)
    >>> for text, tokens in (("", 50), ("a", 60), ("b", 30), ("a", 50), ("c", 30)): kept.add(text, tokens)
    >>> kept.tokens
    {'a': 60, 'c': 30}
    """

    def __init__(self, memory):
        self.memory, self.tokens = memory, {}

    def add(self, text, tokens):
        if not text:            # no name to find it by: embeddings and such have no session
            return
        self.tokens[text] = max(tokens, self.tokens.pop(text, 0))
        while len(self.tokens) > TEXTS or (self.memory and sum(self.tokens.values()) > self.memory):
            del self.tokens[next(iter(self.tokens))]

    def of(self, slip):
        return max(self.tokens.get(slip.session, 0), self.tokens.get(slip.prefix, 0))


class Roster:
    """Ready workers by role, and each cell's reach: its part of all readers over its part of all writers.

    >>> from types import SimpleNamespace as N
    >>> def worker(role, cell):
    ...     return N(state="ready", writes=role != "read", box=N(role=role, cell=cell, weight=1))
    >>> roster = Roster([worker("read", 0), worker("read", 0), worker("write", 0), worker("write", 1)])
    >>> len(roster.readers), len(roster.writers), roster.reach
    (2, 2, {0: 2.0, 1: 0.0})
    """

    def __init__(self, workers):
        ready, self.by_role = [w for w in workers if w.state == "ready"], {}
        for worker in ready:
            self.by_role.setdefault(worker.box.role, []).append(worker)
        self.readers, self.writers = self.by_role.get("read", []), [w for w in ready if w.writes]
        weight = [{}, {}]
        for worker in ready:
            part = weight[worker.writes]
            part[worker.box.cell] = part.get(worker.box.cell, 0) + worker.box.weight
        read, write = (sum(part.values()) or 1 for part in weight)
        self.reach = {cell: weight[0].get(cell, 0) / read * write / (weight[1].get(cell, 0) or write)
                      for cell in {**weight[0], **weight[1]}}

    def like(self, worker):
        return self.by_role.get(worker.box.role, [])


def lot(key, worker, bare=False):
    """What a key draws for a worker: the same at all routers; least wins, as often as the worker is heavy."""
    mixed = ((key ^ worker.box.mark) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF
    part = ((mixed >> 32) + 1) / 2 ** 32
    return part if bare else -log(part) / (worker.box.weight or 1)


def in_order(things, most, key):
    """The first of the things by a key, put in order only when the first one is asked for.

    >>> list(in_order([3, 1, 2], 2, abs))
    [1, 2]
    """
    yield from sorted(things, key=key)[:most]


def lots_of(slip, readers):
    """What a question's beginning, else its session, draws for each reader."""
    key = crc32((slip.prefix or slip.session).encode())
    return {r: lot(key, r) for r in readers}


def busiest(many, count):
    """(how many, in which least span) of the last times of many, count at most.

    >>> busiest([[0, 50, 60], [40, 55]], 3), busiest([[]], 3)
    ((3, 20), (0, 1))
    """
    times = sorted(at for some in many for at in some)
    count = max(0, min(count, len(times) - 1))
    return count, max(1, min((b - a for a, b in zip(times, times[count:])), default=1))


def middle(figures):
    return median(figures) if figures else None


def mean(figures):
    """
    >>> mean([1, None, 3]), mean([])
    (2.0, 0.0)
    """
    known = [f for f in figures if f is not None]
    return sum(known) / len(known) if known else 0.0
