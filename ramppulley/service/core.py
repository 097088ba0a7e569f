"""Hosts one decision module for one pool of workers: passes events to it and carries out its decisions.

A front submits an InferenceRequest with its ResponseSink (`submit`, `client_left`). An engine connector is called to start,
cancel, reserve and release, and reports `first_token`, `attempt_ended`, `reservation_answered` and `probed`. Discovery
reports `endpoints_changed`. Memory per request is its body, its TrackedRequest and an EngineAttempt for each attempt (four
at most); tokens are passed through and not accumulated. It is freed once the request has its final answer and no attempt is
open, at the end of the event that did so.
"""

import weakref

from ramppulley import door
from ramppulley.service.audit import Action, RuleAudit, Violation
from ramppulley.service.event_times import EventTimes
from ramppulley.service.neutral import (
    CLIENT_LEFT,
    COMPLETED,
    FAILED,
    REJECTED,
    EngineAttempt,
    FinalAnswer,
    KvEvent,
    KvStep,
    TrackedRequest,
)
from ramppulley.service.record import record_of

ANSWER_SLACK = 1_000  # after a request's deadline, in tenths of a millisecond; more than event loop delay explains
KV_STATE_SLACK = 3_000  # the same for KV state, after `kv_state_limit`


class Core:
    """The requests and the decision module of one pool. Implements `door.Host`.

    `make_router(host, now)` returns the module, or a baseline with the same events. `name_of` returns an endpoint's name.
    """

    def __init__(
        self, pool, make_router, connector, clock, use_cases, accounts, event_log, log, estimator, name_of, audit=None
    ):
        self.pool, self.connector, self.clock, self.event_log, self._log = pool, connector, clock, event_log, log
        self.request_classes = use_cases
        self.tenant_numbers = accounts
        self.estimator = estimator
        self.name_of = name_of
        self.audit = audit or RuleAudit(log, clock)
        self.event_times = EventTimes()
        self.requests, self.accepted, self.draining = {}, 0, False
        self._answered = []  # requests that the present event has given their final answer
        # maximum time that KV state is held, if the engines set one; tenths of a millisecond
        self.kv_state_limit = None
        self.before_decision = None  # optional callback before a decision
        self.attempts_changed = None  # optional callback when an attempt has started, or a prefill has ended
        self.router = make_router(self, clock.now())

    # Called by a front
    def submit(self, request, sink):
        """Accepts a request. It gets exactly one final answer through `sink.final`, possibly before this returns."""
        if self.before_decision is not None:
            self.before_decision()
        now, request_class = self.clock.now(), self.request_classes[request.request_class]
        view = door.RequestView(
            request_class,
            prompt=request.prompt,
            most_out=request.max_out,
            patience=request.deadline,
            session=request.session,
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
            likely_out=request.likely_out,
            account=self.tenant_numbers.get(request.tenant, len(self.tenant_numbers)),
            benefit_share=request.value_share,
            whole=request.whole,
        )
        tracked = self.requests[view] = TrackedRequest(request, view, sink, now)
        self.accepted += 1
        self.audit.record(request.name, "taken", request.request_class)
        self._dispatch(tracked, self.router.arrived, view)
        return tracked

    def client_left(self, tracked):
        """The client closed its connection: no answer is due any more, and open attempts are cancelled."""
        if tracked.final_answer is None:
            self.audit.record(tracked.request.name, "client left")
            self._set_final_answer(
                tracked, FinalAnswer(CLIENT_LEFT, False, "the client left", streamed=tracked.first_token_at is not None)
            )
            self._dispatch(tracked, self.router.left, tracked.view)
            for attempt in tracked.open_attempts:
                self._cancel(attempt)  # including a stream, which the module does not cancel
            self._forget(tracked)

    def attempt_refused(self, attempt, refusal):
        """`service.permission` refused the first byte of an attempt."""
        self.audit.count(Action.REFUSED, refusal, attempt.tracked.request.name)

    # Called on changes of the settings
    def reconfigured(self, tenants, **settings):
        """Applies to requests accepted from now on; those in flight keep their class, capabilities and tenant share.
        `tenants` maps the names of `accounts` to their numbers."""
        self.request_classes, self.tenant_numbers = settings["use_cases"], tenants
        self._call_guarded("configured", self.router.configured, self.clock.now(), **settings)

    # Called by discovery
    def endpoints_changed(self, endpoints):
        self._call_guarded("listed", self.router.listed, self.clock.now(), endpoints)

    # Called by the exchange with other routers
    def peer_reports_changed(self, endpoints):
        """`Endpoint.heard`, the peer report, of these endpoints has changed."""
        self._call_guarded("told", self.router.told, self.clock.now(), endpoints)

    # Called by an engine connector
    def first_token(self, attempt):
        """The response has started and is passed on, whatever its end. Returns whether the request still takes it."""
        tracked = attempt.tracked
        if attempt.ended or tracked.final_answer is not None:
            return False
        attempt.first_token_at = tracked.first_token_at = self.clock.now()
        self.audit.record(tracked.request.name, "first token", attempt.number)
        if tracked.reserved_at is None or tracked.reserved_at > attempt.started:
            # the reservation may have arrived after the decode, which then did not use it
            self._release_reservation(tracked)
        if tracked.state is not None:
            self._note_kv(tracked, KvStep.TAKEN)
        tracked.state = tracked.state_endpoint = tracked.reserved_endpoint = None
        self._dispatch(tracked, self.router.first_token, tracked.view, attempt.policy_attempt)
        return True

    def remaining_timeout(self, attempt):
        """The rest of an attempt's timeout, which counts from its decision and does not exceed the client's deadline."""
        return attempt.started + attempt.timeout - self.clock.now()

    def repeat_window_over(self, attempt):
        """Whether a repeat would be too late for the workers to recognize it as one."""
        return attempt.first_byte_deadline is not None and self.clock.now() > attempt.first_byte_deadline

    def attempt_ended(self, attempt, result):
        """Reports the outcome of an attempt; a second outcome is ignored."""
        tracked = attempt.tracked
        if attempt.ended:
            return
        if self.before_decision is not None:
            self.before_decision()
        if result.body and tracked.final_answer is None:
            # a whole answer starts and ends at once; else its end would look like a slow stream
            self.first_token(attempt)
        attempt.ended, attempt.result = True, (self.clock.now(), result)
        self.audit.count(Action.ENDED, result.outcome, tracked.request.name)
        final = tracked.final_answer is not None
        self._update_kv_state(tracked, attempt, result)
        if result.outcome in door.ANSWERED:
            tracked.held_since = self.clock.now()
        if result.usage:
            tracked.usage = result.usage
            if tracked.request.prompt_bytes:
                self.estimator.learn(tracked.request.model, tracked.request.prompt_bytes, result.usage.prompt)
        if result.outcome == door.DONE and not final:
            self._set_final_answer(
                tracked, FinalAnswer(COMPLETED, False, status=result.status, streamed=not result.body, body=result.body)
            )
            final = True
        cached_tokens = result.usage.cached if result.usage else 0
        self._dispatch(
            tracked,
            self.router.outcome,
            tracked.view,
            attempt.policy_attempt,
            result.outcome,
            final,
            cached_tokens,
            result.report,
        )
        # the end of a decode is reported with the next change
        if self.attempts_changed is not None and attempt.is_prefill:
            self.attempts_changed()
        self._forget(tracked)

    def _update_kv_state(self, tracked, attempt, result):
        """Updates what is known of the request's KV state from an outcome."""
        if result.outcome == door.READ:
            if result.state is not None:
                tracked.state, tracked.state_endpoint, tracked.release_asked = result.state, attempt.endpoint, False
                self._note_kv(tracked, KvStep.HELD)
        elif result.outcome in (door.NO_STATE, door.SPOILT):
            self._note_kv(tracked, KvStep.GONE)
            if result.outcome == door.SPOILT and tracked.state is not None:
                # probably gone; if it is not, nothing else would release it
                self.connector.release(tracked, tracked.state_endpoint, tracked.state)
            tracked.state = tracked.state_endpoint = None

    def reservation_answered(self, tracked, endpoint, reserved):
        if reserved and tracked.reserved_endpoint is not endpoint:
            self.connector.release(tracked, endpoint, None)  # no longer needed
        elif reserved:
            tracked.reserved_at = self.clock.now()
        elif tracked.reserved_endpoint is endpoint:
            tracked.reserved_endpoint = None
        if tracked.view in self.requests:
            self._dispatch(tracked, self.router.place, tracked.view, endpoint, reserved)

    def probed(self, endpoint, outcome, report):
        self._call_guarded("probed", self.router.probed, self.clock.now(), endpoint, outcome, report)

    # door.Host, called by the decision module
    def send(self, view, endpoint, timeout, policy_attempt):
        tracked = self.requests[view]
        self._audit_send(tracked)
        if tracked.attempts:
            self._count_retry(tracked.attempts[-1])
        attempt = EngineAttempt(
            tracked,
            endpoint,
            policy_attempt,
            len(tracked.attempts),
            endpoint.role == "read",
            timeout,
            self.clock.now(),
            tracked.state,
        )
        attempt.first_byte_deadline = getattr(policy_attempt, "first_byte_deadline", None)
        tracked.attempts.append(attempt)
        if not attempt.is_prefill and tracked.reserved_endpoint is not endpoint:
            self._release_reservation(tracked)
        self.connector.start(self, attempt)
        if self.attempts_changed is not None:
            self.attempts_changed()

    def hold_place(self, view, endpoint):
        tracked = self.requests[view]
        if tracked.reserved_endpoint is not endpoint:
            self._release_reservation(tracked)
        tracked.reserved_endpoint, tracked.reserved_at = endpoint, None
        self.connector.reserve(self, tracked, endpoint)

    def let_go(self, view):
        tracked = self.requests.get(view)
        if tracked is None:
            return
        if tracked.state is not None:
            self._release_kv_state(tracked)
        self._release_reservation(tracked)

    def _release_kv_state(self, tracked):
        """Requests the release of its KV state. An open decode that has reached its worker keeps the state it waits for:
        the state may then be held until the decode has ended, and is released again."""
        decode_open = any(not attempt.is_prefill for attempt in tracked.open_attempts)
        self._note_kv(tracked, KvStep.RELEASE_BESIDE if decode_open else KvStep.RELEASE)
        self.connector.release(tracked, tracked.state_endpoint, tracked.state)
        tracked.release_asked = True
        if not decode_open:
            tracked.state = tracked.state_endpoint = None

    def withdraw(self, view, policy_attempt):
        for attempt in self.requests[view].open_attempts:
            if attempt.policy_attempt is policy_attempt:
                self._cancel(attempt)

    def probe(self, endpoint):
        self.connector.probe(self, endpoint)

    def turn_back(self, view, come_back):
        tracked = self.requests[view]
        reason = "no worker could take it in time" if not tracked.attempts else "no worker answered in time"
        self._set_final_answer(
            tracked, FinalAnswer(REJECTED, True, reason, come_back, streamed=tracked.first_token_at is not None)
        )

    def scrap(self, view):
        tracked = self.requests[view]
        self._set_final_answer(
            tracked,
            FinalAnswer(
                FAILED,
                False,
                "it may have run, and no worker answered in time",
                streamed=tracked.first_token_at is not None,
            ),
        )

    def remind(self, wait, note):
        # A timer keeps nothing alive: one for a request's deadline may outlive the request by hours.
        self.clock.after(wait, self._on_timer, weakref.ref(note))

    def log(self, line):
        self._log.info("mode", pool=self.pool, line=line)

    # Internal
    def _on_timer(self, reference):
        note = reference()
        if note is not None:  # else it has ended, and the module keeps it no longer
            self._on_reminder(note)

    def _on_reminder(self, note):
        view = getattr(note, "view", None)
        if view in self.requests:
            self._dispatch(self.requests[view], self.router.reminded, note)
        else:
            self._call_guarded("reminded", self.router.reminded, self.clock.now(), note)

    def _dispatch(self, tracked, event, *args):
        """Passes a request's event to the module; an exception there fails this request and no other one."""
        name, started = getattr(event, "__name__", "event"), self.clock.now()
        try:
            event(started, *args)
        except Exception:
            self.audit.own_fault(name, tracked.request.name)
            self._fail_request(tracked)
        self._forget_answered()
        self.event_times.record(name, self.clock.now() - started)

    def _call_guarded(self, event, call, *args, **options):
        """Passes an event of no request to the module; an exception there loses the event, but does not end the caller."""
        started = self.clock.now()
        try:
            call(*args, **options)
        except Exception:
            self.audit.own_fault(event)
        self._forget_answered()
        self.event_times.record(event, self.clock.now() - started)

    def _forget_answered(self):
        """Forgets the requests that an event has ended. It may have ended others than its own: the queue's, for instance."""
        while self._answered:
            self._forget(self._answered.pop())

    def _fail_request(self, tracked):
        """Ends a request safely after a fault of our own: answers it, cancels its attempts and releases what it holds. The
        module is told that it has ended, and does not go on with it."""
        if tracked.final_answer is None:
            self._set_final_answer(
                tracked,
                FinalAnswer(FAILED, False, "a fault in the router", streamed=tracked.first_token_at is not None),
            )
        self.let_go(tracked.view)
        for attempt in tracked.open_attempts:
            self._cancel(attempt)
        self._call_guarded("left", self.router.left, self.clock.now(), tracked.view)

    def _count_retry(self, last):
        """Counts a retry after attempt `last`. The hand-over from prefill to decode is not one."""
        outcome = last.result[1].outcome if last.result else "out"
        if outcome != door.READ:
            self.audit.count(Action.RETRIED, outcome, last.tracked.request.name)

    def _note_kv(self, tracked, step):
        """Records a step of the KV state for the event log and the counters."""
        worker = self.name_of(tracked.state_endpoint) if tracked.state_endpoint is not None else ""
        tracked.kv_events.append(KvEvent(self.clock.now(), step, worker or ""))
        self.audit.count(Action.KV_STATE, step, tracked.request.name)

    def _audit_send(self, tracked):
        """Counts attempts that the module must never request; whether they begin is up to `service.permission`."""
        if tracked.final_answer is not None:
            self.audit.violation(Violation.ATTEMPT_AFTER_ANSWER, tracked.request.name)
        if tracked.open_attempts:
            self.audit.violation(Violation.TWO_ATTEMPTS, tracked.request.name, out=len(tracked.open_attempts))

    def check(self):
        """Called periodically: answers overdue requests whose timer was lost and releases KV state held too long."""
        now = self.clock.now()
        for tracked in list(self.requests.values()):
            overdue = now - tracked.accepted_at - tracked.request.deadline
            if tracked.final_answer is None and tracked.first_token_at is None and overdue > ANSWER_SLACK:
                self.audit.violation(Violation.ANSWER_OVERDUE, tracked.request.name, late_ms=overdue // 10)
                self._fail_request(tracked)
            elif self._kv_state_overdue(tracked, now):
                self.audit.violation(Violation.STATE_HELD, tracked.request.name, ms=(now - tracked.held_since) // 10)
                self.let_go(tracked.view)

    def _cancel(self, attempt):
        if not attempt.cancelled:
            attempt.cancelled = True
            self.connector.cancel(attempt)

    def _kv_state_overdue(self, tracked, now):
        """Whether KV state is held for longer than allowed. An open decode may not have reached its worker; one that did
        keeps the state, which is not overdue if its release was requested beside that decode."""
        if tracked.state is None or self.kv_state_limit is None or (tracked.open_attempts and tracked.release_asked):
            return False
        since = tracked.held_since if tracked.open_attempts else max(tracked.held_since, tracked.attempts[-1].result[0])
        return now - since > self.kv_state_limit + KV_STATE_SLACK

    def _release_reservation(self, tracked):
        if tracked.reserved_endpoint is not None:
            self.connector.release(tracked, tracked.reserved_endpoint, None)
            tracked.reserved_endpoint = None

    def _set_final_answer(self, tracked, final_answer):
        """Rule 1: sets and sends the final answer. Each request has exactly one: a later one is counted as a violation."""
        if tracked.final_answer is not None:
            self.audit.violation(
                Violation.SECOND_ANSWER,
                tracked.request.name,
                first=tracked.final_answer.result,
                second=final_answer.result,
            )
            return
        tracked.final_answer, tracked.ended_at = final_answer, self.clock.now()
        self._answered.append(tracked)
        self.audit.count(
            Action.ANSWERED,
            f"{final_answer.result}: {final_answer.reason}" if final_answer.reason else final_answer.result,
            tracked.request.name,
        )
        tracked.sink.final(final_answer)

    def _forget(self, tracked):
        """Logs and drops a request once it has its final answer and the outcomes of all its attempts."""
        if tracked.final_answer is None or tracked.open_attempts or tracked.view not in self.requests:
            return
        if tracked.state is not None:  # it could not be released later, whatever the module decided
            self._release_kv_state(tracked)
        del self.requests[tracked.view]
        tracked.request.body = None  # the largest part; other references may live until the next garbage collection
        self.event_log.add(record_of(tracked, self.pool, self.name_of))
