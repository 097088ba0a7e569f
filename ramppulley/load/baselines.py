"""Policies to measure against: they keep the rules in the plainest way and choose at random, or the least loaded.

The same events as `rules.Router`; nothing of the module is in them. They are never served to anyone.
"""

from random import Random
from types import SimpleNamespace

from ramppulley import door

MARGIN = 300  # answers this long before the client leaves, in tenths of a millisecond


class Baseline:
    """One question's life: a reader, then a writer; a failure that proves that nothing ran, or a pure question, is
    tried elsewhere; else scrapped."""

    def __init__(self, host, *, seed, routers, zone, use_cases, accounts, permits, lawbook, now=0):
        self.host, self.permits, self.lawbook, self.routers = host, permits, lawbook, routers
        self.chance, self.workers, self.requests, self.next_cold = Random(seed), {}, {}, {}

    def key(self, endpoint):
        raise NotImplementedError

    def listed(self, now, endpoints):
        for endpoint in endpoints:
            worker = self.workers.setdefault(endpoint, SimpleNamespace(endpoint=endpoint, out=0, state="", report=None))
            worker.state = endpoint.state

    def arrived(self, now, view):
        request = self.requests[view] = SimpleNamespace(
            view=view,
            leaves=now + view.patience - MARGIN,
            sends=[],
            out=None,
            state=False,
            tried=set(),
            ran=False,
            streams=False,
            closed=False,
        )
        self.host.remind(max(1, view.patience - MARGIN), request)
        self.go(now, request)

    def usable(self, now, request, roles):
        law = self.lawbook
        for endpoint, worker in self.workers.items():
            cold = endpoint.born is not None and now - endpoint.born < law.cold_for
            if (
                worker.state == "ready"
                and endpoint.role in roles
                and not (cold and now < self.next_cold.get(endpoint, 0))
            ):
                yield endpoint

    def go(self, now, request):
        if len(request.sends) >= self.permits.sends or now >= request.leaves:
            return self.give_up(now, request)
        readers = any(endpoint.role == "read" for endpoint in self.workers)
        roles = ("write", "both") if request.state or not readers else ("read",)
        endpoints = sorted(self.usable(now, request, roles), key=lambda b: b.mark)
        fresh = [endpoint for endpoint in endpoints if endpoint not in request.tried] or endpoints
        if not fresh:
            return self.give_up(now, request)
        endpoint = self.key(fresh)
        if endpoint.born is not None:
            self.next_cold[endpoint] = now + self.lawbook.cold_window * self.routers // 4
        attempt = SimpleNamespace(request=request, endpoint=endpoint, is_prefill=endpoint.role == "read", first=None)
        request.sends.append(attempt)
        request.out = attempt
        self.workers[endpoint].out += 1
        self.host.send(request.view, endpoint, max(1, request.leaves - now), attempt)

    def first_token(self, now, view, attempt):
        attempt.request.streams, attempt.request.state = True, False

    def outcome(self, now, view, attempt, outcome, final, kept, report):
        request, worker = attempt.request, self.workers[attempt.endpoint]
        worker.out -= 1
        worker.report = report or worker.report
        request.out = None
        if final or request.closed:
            return self.end(request)
        if outcome == door.READ:
            request.state = True
        else:
            request.tried.add(attempt.endpoint)
            if outcome == door.NO_STATE:
                request.state = False
            if not attempt.is_prefill and outcome not in door.NEVER_RAN:
                request.ran = True
        if request.streams or (request.ran and view.use_case.effect != "pure"):
            return self.give_up(now, request)
        self.go(now, request)

    def give_up(self, now, request):
        view = request.view
        out_writes = request.out is not None and not request.out.is_prefill
        if view.use_case.effect == "pure" or not (request.ran or out_writes):
            self.host.turn_back(view, min(self.permits.longest_wait, view.use_case.promised // 2))
        else:
            self.host.scrap(view)
        self.close(request)

    def close(self, request):
        request.closed = True
        if request.out is not None:
            self.host.withdraw(request.view, request.out)
        else:
            self.end(request)

    def end(self, request):
        request.closed = True
        self.host.let_go(request.view)
        self.requests.pop(request.view, None)

    def left(self, now, view):
        if view in self.requests:
            self.close(self.requests[view])

    def reminded(self, now, request):
        if not request.closed and not request.streams:
            self.give_up(now, request)

    def place(self, now, view, endpoint, held):
        pass

    def probed(self, now, endpoint, outcome, report):
        pass


class RandomChoice(Baseline):
    """Any ready worker."""

    def key(self, endpoints):
        return self.chance.choice(endpoints)


class LeastLoaded(Baseline):
    """The worker with the fewest of our own sends and the least reported."""

    def key(self, endpoints):
        def load(endpoint):
            worker = self.workers[endpoint]
            return worker.out + (worker.report.held or 0 if worker.report else 0), self.chance.random()

        return min(endpoints, key=load)


def _module(*args, **named):
    from ramppulley.rules import Router

    return Router(*args, **named)


POLICIES = {"module": _module, "random": RandomChoice, "least": LeastLoaded}
