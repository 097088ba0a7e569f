"""Checks the five rules on the evidence of a run alone. Pure.

SLACK is the difference that two processes on one machine may see: one notices a close an event loop iteration later, or a
client's time starts at its own connect. A smaller breach is not detected. Time in which the observer or the router cannot
act does not count: while the stand-ins' process does not run (`Evidence.stood`) no arrival is seen, and a router does
nothing without a CPU (`Evidence.starved`, as the kernel counts it) or while it is stopped (`away`).
"""

from collections import defaultdict

import msgspec

SLACK = 1_000  # 100 ms


class Breach(msgspec.Struct):
    """One breach of a rule: its number, the request, and what was seen."""

    rule: int
    question: str
    text: str

    def __str__(self):
        return f"rule {self.rule}: {self.question}: {self.text}"


def request_name_of(request_id):
    """The client's name of a request, from the X-Request-Id of one of its attempts.

    >>> request_name_of("0q17.r0-4-s1")
    '0q17'
    """
    return request_id.rpartition("-s")[0].partition(".")[0]


def attempts_of(evidence):
    """{request name: its attempts at engines, in order of arrival}."""
    attempts = defaultdict(list)
    for entry in evidence.ledger:
        attempts[request_name_of(entry.request)].append(entry)
    for entries in attempts.values():
        entries.sort(key=lambda e: (e.arrived, e.request))
    return attempts


def running_time(evidence, start, end, router=None):
    """The time from start to end in which both the stand-ins' process and this router's ran."""
    spans = sorted(
        (max(start, a), min(end, b))
        for a, b in [*evidence.stood, *[(a, b) for name, a, b in [*evidence.starved, *evidence.away] if name == router]]
        if a < end and b > start
    )
    paused, at = 0, start
    for a, b in spans:
        paused, at = paused + max(0, b - max(a, at)), max(at, b)
    return end - start - paused


def is_excused(evidence, request):
    """Whether the request's router was killed or stopped while it had the request."""
    return any(
        router == request.router and start <= max(request.ended, request.sent) + SLACK and request.sent - SLACK <= end
        for router, start, end in [*[(router, at, at) for router, at in evidence.killed], *evidence.away]
    )


def one_answer(evidence, attempts):
    """Rule 1: one final response before the client leaves, and no attempt after that."""
    for request in evidence.asked:
        if request.how in ("lost", "") and not is_excused(evidence, request):
            yield Breach(1, request.name, f"no final answer in {request.patience / 10_000:.2f} s; {request.why}")
        if request.finals > 1:
            yield Breach(1, request.name, f"{request.finals} final answers")
        if not request.in_order:
            yield Breach(1, request.name, "tokens missing, doubled or out of order")
        for entry in attempts[request.name]:
            if (
                request.ended
                and request.how != "unreached"
                and running_time(evidence, request.ended, entry.arrived, request.router) > SLACK
            ):
                yield Breach(
                    1,
                    request.name,
                    f"sent to {entry.engine} {(entry.arrived - request.ended) / 10:.0f} ms after it was {request.how}",
                )


def no_effect_twice(evidence, attempts):
    """Rule 2: an effect at most once, repeats by key only in their scope and window, one attempt open at a time.

    Also limits the number of attempts to `evidence.sends`, four by default.
    """
    for request in evidence.asked:
        entries = attempts[request.name]
        if len(entries) > evidence.sends:
            yield Breach(2, request.name, f"{len(entries)} sends")
        for before, after in zip(entries, entries[1:]):
            if before.ended is None or running_time(evidence, after.arrived, before.ended, request.router) > SLACK:
                yield Breach(2, request.name, f"out at {before.engine} and {after.engine} at once")
        may_have_run = [e for e in entries if e.what != "read" and e.how not in ("full", "no_state")]
        for entry in (e for e in entries if e.what != "read"):
            earlier = [e for e in may_have_run if e.arrived < entry.arrived]
            if earlier and request.effect == "effectful":
                yield Breach(2, request.name, f"sent to {entry.engine} though it may have run at {earlier[0].engine}")
            if earlier and request.effect == "receipted":
                group, window = evidence.windows.get(request.use_case, ("all", 0))
                scope_of = {
                    "all": lambda e: 0,
                    "cell": lambda e: evidence.places[e.engine][0],
                    "zone": lambda e: evidence.places[e.engine][1],
                }[group]
                if any(scope_of(e) != scope_of(entry) for e in earlier):
                    yield Breach(2, request.name, f"repeated at {entry.engine}, outside its {group}")
                if entry.arrived - earlier[0].arrived > window + SLACK:
                    yield Breach(2, request.name, "repeated after its receipt's window")
        if (
            request.how == "turned back"
            and request.effect == "effectful"
            and any(e.ran and e.what != "read" for e in entries)
        ):
            yield Breach(2, request.name, "told that trying again is harmless, though it ran")


def drains_respected(evidence, attempts):
    """Rule 3: no new attempt at a worker later than the grace period after the list had it as draining or gone."""
    spans = defaultdict(list)  # worker -> [(from, to)] in which it was not ready
    states = {}
    for at, listed in sorted(evidence.listed, key=lambda pair: pair[0]):
        for worker in set(listed) | set(states):
            new_state = listed.get(worker, "gone")
            if new_state != "ready" and states.get(worker, "ready") == "ready" and worker in states:
                spans[worker].append([at, None])
            if new_state == "ready" and spans[worker] and spans[worker][-1][1] is None:
                spans[worker][-1][1] = at
            states[worker] = new_state
    for entries in attempts.values():
        for entry in entries:
            for start, end in spans[entry.engine]:
                if start + evidence.drain_grace + SLACK < entry.arrived and (end is None or entry.arrived < end):
                    yield Breach(
                        3,
                        request_name_of(entry.request),
                        f"sent to {entry.engine} "
                        f"{(entry.arrived - start) / 10_000:.2f} s after it was listed as not ready",
                    )


def warm_up_within_budget(evidence, attempts):
    """Rule 4: all routers together keep within the budget of a worker that warms up, in every window."""
    for worker, born in evidence.births:
        cold_from, cold_for, multiple, window = evidence.cold[worker]
        entries = sorted(
            (e for es in attempts.values() for e in es if e.engine == worker and born <= e.arrived < born + cold_for),
            key=lambda e: e.arrived,
        )
        for entry in entries:
            speed = cold_from + (1 - cold_from) * (entry.arrived - born) / cold_for
            sent = sum(e.weight for e in entries if entry.arrived - window < e.arrived <= entry.arrived)
            if sent > multiple * speed * window or entry.how == "fell":
                yield Breach(
                    4,
                    request_name_of(entry.request),
                    f"{worker}, {(entry.arrived - born) / 10_000:.1f} s old, was "
                    f"sent {sent / window:.2f} of a warm one's work; {multiple * speed:.2f} is its budget",
                )
                break


def holds_released(evidence, attempts):
    """Rule 5: a KV state or reservation is used or released in time once its request has no open attempt."""
    excused = {a.name for a in evidence.asked if is_excused(evidence, a)}
    routers = {a.name: a.router for a in evidence.asked}
    for held in evidence.held:
        name = request_name_of(held.request if "-s" in held.request else held.request + "-s0")
        if held.how == "died" or name in excused:
            continue  # it ended with its engine, or its router was killed or stopped and could not release it
        at, until = held.since, held.until
        for entry in attempts[name]:
            if until is not None and entry.opened >= until:
                break
            if running_time(evidence, at, entry.opened, routers.get(name)) > evidence.let_go_within + SLACK:
                break
            at = max(at, entry.ended if entry.ended is not None else at)
        for worker, start, end in evidence.unreachable:  # no time counts while no router can reach it
            if worker == held.engine and at < end and (until is None or until > start):
                at = max(at, end)
        if until is None or running_time(evidence, at, until, routers.get(name)) > evidence.let_go_within + SLACK:
            lasted = "until the end" if until is None else f"{(until - at) / 10:.0f} ms"
            yield Breach(5, name, f"a {held.what} at {held.engine} stayed {lasted} with no send out")


RULES = {1: one_answer, 2: no_effect_twice, 3: drains_respected, 4: warm_up_within_budget, 5: holds_released}


def breaches(evidence):
    """All breaches, by rule."""
    attempts = attempts_of(evidence)
    return [breach for rule in RULES.values() for breach in rule(evidence, attempts)]


def table(evidence):
    """For each kind and request class: the number of requests by outcome, and the share served in time (`service`)."""
    rows = {}
    for request in evidence.asked:
        row = rows.setdefault(
            (request.kind, request.use_case),
            dict.fromkeys(("taken", "in_time", "late", "turned_back", "scrapped", "left", "lost", "unreached"), 0)
            | {"service": 0.0},
        )
        row["taken"] += request.how != "unreached"
        how = request.how
        if how == "fulfilled":
            how = "in_time" if request.in_time() else "late"
        elif how == "lost" and is_excused(evidence, request):
            how = "unreached"
        row[how.replace(" ", "_")] += 1
    for row in rows.values():
        row["service"] = round(row["in_time"] / max(1, row["taken"] + row["unreached"] - row["left"]), 4)
    return rows


def service(evidence):
    """The value of the requests answered in time over the value of all, without those whose client left early."""
    stayed = [a for a in evidence.asked if a.how != "left"]
    return sum(a.benefit for a in stayed if a.in_time()) / (sum(a.benefit for a in stayed) or 1)
