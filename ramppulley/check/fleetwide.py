"""Checks and figures of how many routers together load a fleet, from the engines' ledger alone. Pure.

Times: tenths of a millisecond.
"""

import msgspec

from ramppulley.check.rules import running_time

MIN_SPAN = 100_000  # 10 s: a ready worker must be sent something in it ...
MIN_EXPECTED = 50  # ... if its even share of the requests sent to its role is at least this ...
MIN_UTILISATION = 0.35  # ... and the role this busy: at less load the policy stays with the workers that it knows


class LeftOut(msgspec.Struct):
    """A span in which a ready worker was sent nothing, although the other workers of its role were busy."""

    worker: str
    start: int
    end: int
    expected: float

    def __str__(self):
        return (
            f"{self.worker} was sent nothing for {(self.end - self.start) / 10_000:.1f} s; "
            f"{self.expected:.0f} requests were its even part"
        )


def router_of(request):
    """The router's name in an X-Request-Id.

    >>> router_of("0q17.r3-4-s1")
    'r3'
    """
    return request.partition(".")[2].partition("-")[0]


def left_out(evidence, roles, span=MIN_SPAN):
    """All LeftOut of a run, one for each worker and span. `roles`: worker -> role."""
    arrivals = {name: [] for name in roles}
    for entry in sorted(evidence.ledger, key=lambda e: e.arrived):
        arrivals[entry.engine].append((entry.arrived, entry.weight))
    if not evidence.ledger:
        return []
    first, last = min(a.sent for a in evidence.asked), max(a.sent for a in evidence.asked)
    left_out_spans = []
    for name, times in arrivals.items():
        role_arrivals = [one for other, role in roles.items() if role == roles[name] for one in arrivals[other]]
        count = sum(role == roles[name] for role in roles.values())
        times = [at for at, _ in times]
        for start, end in zip([first, *times], [*times, last]):
            for a, b in _ready_spans(evidence, name, start, end):
                work = [weight for at, weight in role_arrivals if a <= at < b]
                expected, utilisation = len(work) / count, sum(work) / count / max(1, b - a)
                if running_time(evidence, a, b) >= span and expected >= MIN_EXPECTED and utilisation >= MIN_UTILISATION:
                    left_out_spans.append(LeftOut(name, a, b, expected))
    return left_out_spans


def _ready_spans(evidence, name, start, end):
    """The parts of a span in which a worker was listed as ready, was warm and could be reached."""
    listings = [(at, listed.get(name, "gone") == "ready") for at, listed in sorted(evidence.listed, key=lambda p: p[0])]
    warming_up = [(born, born + evidence.cold[worker][1]) for worker, born in evidence.births if worker == name]
    unreachable = [(a, b) for worker, a, b in evidence.unreachable if worker == name]
    cuts = sorted({start, end, *[at for at, _ in listings], *[at for span in warming_up + unreachable for at in span]})
    spans = []
    for a, b in zip(cuts, cuts[1:]):
        if a < start or b > end:
            continue
        ready_before = [ready for at, ready in listings if at <= a]
        if (ready_before[-1] if ready_before else True) and not any(x <= a < y for x, y in warming_up + unreachable):
            if spans and spans[-1][1] == a:
                spans[-1][1] = b
            else:
                spans.append([a, b])
    return spans


def parted(pinged, names, since):
    """Routers that lost contact with the others for good, as texts.

    `pinged`: (source, target) -> time of the last probe that crossed the links. `names`: the routers that ran since.
    A router keeps probing each router that it considers alive.

    >>> parted({("a", "b"): 5, ("b", "a"): 9, ("c", "a"): 9, ("b", "c"): 1}, ["a", "b", "c"], 4)
    ['nobody looked at c any more']
    >>> parted({("a", "b"): 5, ("b", "a"): 5, ("c", "d"): 5, ("d", "c"): 5}, ["a", "b", "c", "d"], 4)
    ['a b look at no other, and no other at them', 'c d look at no other, and no other at them']
    """
    recent = {pair for pair, at in pinged.items() if at >= since and {*pair} <= {*names}}
    lost = [f"nobody looked at {name} any more" for name in names if not any(target == name for _, target in recent)]
    groups = {name: {name} for name in names}
    for source, target in recent:
        if groups[source] is not groups[target]:
            groups[source] |= groups[target]
            for name in groups[target]:
                groups[name] = groups[source]
    distinct = {id(group): group for group in groups.values()}
    if len(distinct) > 1 and not lost:
        lost = [f"{' '.join(sorted(group))} look at no other, and no other at them" for group in distinct.values()]
    return lost


def unevenness(evidence, roles):
    """{role: load of the most loaded worker over the even share}, by the work sent to workers that were always ready."""
    interrupted = {name for _, listed in evidence.listed for name, state in listed.items() if state != "ready"}
    interrupted |= {worker for worker, _ in evidence.births}
    ratios = {}
    for role in sorted(set(roles.values())):
        work = {name: 0 for name, its_role in roles.items() if its_role == role and name not in interrupted}
        for entry in evidence.ledger:
            if entry.engine in work:
                work[entry.engine] += entry.weight
        if work and sum(work.values()):
            ratios[role] = round(max(work.values()) * len(work) / sum(work.values()), 3)
    return ratios


def waits(spans):
    """The 50th, 90th and 99th percentile in milliseconds, of spans in tenths of a millisecond.

    >>> waits([10 * n for n in range(1, 101)])
    {'p50': 51.0, 'p90': 91.0, 'p99': 100.0}
    """
    ordered = sorted(spans)
    return {f"p{percent}": ordered[len(ordered) * percent // 100] / 10 for percent in (50, 90, 99)} if ordered else {}


def hits(evidence):
    """The share of the prompt tokens sent to prefill workers that were in their prefix cache."""
    prefills = [entry for entry in evidence.ledger if entry.what == "read"]
    return round(sum(entry.kept for entry in prefills) / max(1, sum(entry.prompt for entry in prefills)), 3)


def uneven_in_time(evidence, roles, span=10_000):
    """{role: mean over spans of the most loaded worker's load over the even share}, for workers that were always ready."""
    interrupted = {name for _, listed in evidence.listed for name, state in listed.items() if state != "ready"}
    interrupted |= {worker for worker, _ in evidence.births}
    means = {}
    for role in sorted(set(roles.values())):
        names, spans = {name for name, its_role in roles.items() if its_role == role and name not in interrupted}, {}
        for entry in evidence.ledger:
            if entry.engine in names:
                work = spans.setdefault(entry.arrived // span, dict.fromkeys(names, 0))
                work[entry.engine] += entry.weight
        ratios = [max(work.values()) * len(work) / sum(work.values()) for work in spans.values() if sum(work.values())]
        if ratios:
            means[role] = round(sum(ratios) / len(ratios), 2)
    return means


def cold_used(evidence, roles):
    """{role: share of the budget of workers that warm up (rule 4) that all routers together used}."""
    shares = {}
    for worker, born in evidence.births:
        cold_from, cold_for, multiple, _ = evidence.cold[worker]
        last = max((entry.arrived for entry in evidence.ledger), default=born)
        length = min(cold_for, last - born)
        if length > 0 and worker in roles:
            mean_speed = cold_from + (1 - cold_from) * length / cold_for / 2
            sent = sum(e.weight for e in evidence.ledger if e.engine == worker and born <= e.arrived < born + length)
            shares.setdefault(roles[worker], []).append(sent / (multiple * mean_speed * length))
    return {role: round(sum(of_role) / len(of_role), 3) for role, of_role in sorted(shares.items())}


def spread(evidence, roles):
    """(mean, maximum) of the number of routers that sent requests to a worker."""
    routers = {name: set() for name in roles}
    for entry in evidence.ledger:
        routers[entry.engine].add(router_of(entry.request))
    counts = [len(names) for names in routers.values()]
    return round(sum(counts) / max(1, len(counts)), 1), max(counts, default=0)
