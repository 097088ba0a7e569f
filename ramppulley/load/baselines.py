"""Baseline policies for comparison: they follow the same rules in a simple way and choose at random or by least load.

They receive the same events as `rules.Router` and share no code with it. They are for measurements only, not for production.
"""

from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from ramppulley import door

DEADLINE_MARGIN = 300  # the final answer is due this long before the client's deadline, in tenths of a millisecond


@dataclass(eq=False)
class BaselineRequest:
    """One request as a baseline tracks it."""

    view: Any
    deadline: int
    attempts: list = field(default_factory=list)
    open_attempt: Any = None
    has_kv_state: bool = False
    tried: set = field(default_factory=set)
    may_have_run: bool = False
    streaming: bool = False
    closed: bool = False


class Baseline:
    """Sends each request to a prefill worker, then to a decode worker. An attempt that never ran, or that failed on a
    request that is safe to repeat, is retried elsewhere; otherwise the request fails."""

    def __init__(self, host, *, seed, routers, zone, use_cases, accounts, permits, lawbook, now=0):
        self.host, self.capabilities, self.policy_settings, self.routers = host, permits, lawbook, routers
        self.rng, self.workers, self.requests, self.next_warming_at = Random(seed), {}, {}, {}

    def choose(self, endpoint):
        raise NotImplementedError

    def listed(self, now, endpoints):
        for endpoint in endpoints:
            worker = self.workers.setdefault(
                endpoint, SimpleNamespace(endpoint=endpoint, open_attempts=0, state="", report=None)
            )
            worker.state = endpoint.state

    def arrived(self, now, view):
        request = self.requests[view] = BaselineRequest(view, now + view.patience - DEADLINE_MARGIN)
        self.host.remind(max(1, view.patience - DEADLINE_MARGIN), request)
        self.start_attempt(now, request)

    def usable_endpoints(self, now, request, roles):
        settings = self.policy_settings
        for endpoint, worker in self.workers.items():
            warming = endpoint.born is not None and now - endpoint.born < settings.cold_for
            if (
                worker.state == "ready"
                and endpoint.role in roles
                and not (warming and now < self.next_warming_at.get(endpoint, 0))
            ):
                yield endpoint

    def start_attempt(self, now, request):
        if len(request.attempts) >= self.capabilities.sends or now >= request.deadline:
            return self.give_up(now, request)
        has_prefill_workers = any(endpoint.role == "read" for endpoint in self.workers)
        roles = ("write", "both") if request.has_kv_state or not has_prefill_workers else ("read",)
        endpoints = sorted(self.usable_endpoints(now, request, roles), key=lambda e: e.mark)
        candidates = [endpoint for endpoint in endpoints if endpoint not in request.tried] or endpoints
        if not candidates:
            return self.give_up(now, request)
        endpoint = self.choose(candidates)
        if endpoint.born is not None:
            self.next_warming_at[endpoint] = now + self.policy_settings.cold_window * self.routers // 4
        attempt = SimpleNamespace(
            request=request, endpoint=endpoint, is_prefill=endpoint.role == "read", first_token_at=None
        )
        request.attempts.append(attempt)
        request.open_attempt = attempt
        self.workers[endpoint].open_attempts += 1
        self.host.send(request.view, endpoint, max(1, request.deadline - now), attempt)

    def first_token(self, now, view, attempt):
        attempt.request.streaming, attempt.request.has_kv_state = True, False

    def outcome(self, now, view, attempt, outcome, final, kept, report):
        request, worker = attempt.request, self.workers[attempt.endpoint]
        worker.open_attempts -= 1
        worker.report = report or worker.report
        request.open_attempt = None
        if final or request.closed:
            return self.release(request)
        if outcome == door.READ:
            request.has_kv_state = True
        else:
            request.tried.add(attempt.endpoint)
            if outcome == door.NO_STATE:
                request.has_kv_state = False
            if not attempt.is_prefill and outcome not in door.NEVER_RAN:
                request.may_have_run = True
        if request.streaming or (request.may_have_run and view.use_case.effect != "pure"):
            return self.give_up(now, request)
        self.start_attempt(now, request)

    def give_up(self, now, request):
        """Rejects the request if a retry by the client is safe, else fails it."""
        view = request.view
        decode_open = request.open_attempt is not None and not request.open_attempt.is_prefill
        if view.use_case.effect == "pure" or not (request.may_have_run or decode_open):
            self.host.turn_back(view, min(self.capabilities.longest_wait, view.use_case.promised // 2))
        else:
            self.host.scrap(view)
        self.close(request)

    def close(self, request):
        request.closed = True
        if request.open_attempt is not None:
            self.host.withdraw(request.view, request.open_attempt)
        else:
            self.release(request)

    def release(self, request):
        request.closed = True
        self.host.let_go(request.view)
        self.requests.pop(request.view, None)

    def left(self, now, view):
        if view in self.requests:
            self.close(self.requests[view])

    def reminded(self, now, request):
        if not request.closed and not request.streaming:
            self.give_up(now, request)

    def place(self, now, view, endpoint, held):
        pass

    def probed(self, now, endpoint, outcome, report):
        pass


class RandomChoice(Baseline):
    """Any ready worker."""

    def choose(self, endpoints):
        return self.rng.choice(endpoints)


class LeastLoaded(Baseline):
    """The worker with the lowest sum of this router's open attempts and the load that the worker reported."""

    def choose(self, endpoints):
        def load(endpoint):
            worker = self.workers[endpoint]
            return worker.open_attempts + (worker.report.held or 0 if worker.report else 0), self.rng.random()

        return min(endpoints, key=load)


def _router(*args, **named):
    from ramppulley.rules import Router

    return Router(*args, **named)


POLICIES = {"module": _router, "random": RandomChoice, "least": LeastLoaded}
