"""Hosts one decision module for one pool of workers: tells it what happens, carries out what it decides.

A front hands in an InferenceRequest with its ResponseSink (`submit`, `client_left`); an engine connector is told start /
cancel / reserve / release and reports `first_token`, `attempt_ended`, `reservation_answered`, `probed`; discovery reports
`endpoints_changed`. What a request keeps here is its body, its TrackedRequest and one EngineAttempt for each of its
attempts (four at most); tokens pass through and are never collected.
"""

from ramppulley import door
from ramppulley.service.audit import Action, RuleAudit, Violation
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
from ramppulley.service.record import QuestionRecord, SendRecord

OVERDUE_SLACK = 1_000  # tenths of a millisecond after a request's deadline: past what a late loop explains
HELD_SLACK = 3_000  # the same for KV state, after the time of the settings


class Core:
    """One pool's questions and its module. Implements `door.Host`.

    `make_router(host, now)` gives the module, or a baseline with the same events. `name_of` tells a box's name.
    """

    def __init__(
        self, pool, make_router, connector, clock, use_cases, accounts, event_log, log, estimator, name_of, audit=None
    ):
        self.pool, self.connector, self.clock, self.event_log, self._log = pool, connector, clock, event_log, log
        self.request_classes, self.tenant_numbers, self.estimator, self.name_of = (
            use_cases,
            accounts,
            estimator,
            name_of,
        )
        self.audit = audit or RuleAudit(log, clock)
        self.requests, self.accepted, self.draining = {}, 0, False
        self.kv_state_limit = None  # how long KV state may be held, where its engines say; tenths of a millisecond
        self.before_decision, self.attempts_changed = (
            None,
            None,
        )  # called, where set, before a decision, and when a send came or went
        self.router = make_router(self, clock.now())

    # What a front tells
    def submit(self, request, sink):
        """From here one final answer is owed; it comes by `sink.final`, perhaps before this returns."""
        if self.before_decision is not None:
            self.before_decision()
        now, use_case = self.clock.now(), self.request_classes[request.request_class]
        view = door.RequestView(
            use_case,
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
        self._tell(tracked, self.router.arrived, view)
        return tracked

    def client_left(self, tracked):
        """The client closed its connection: nothing is owed any more, and what runs for it is stopped."""
        if tracked.final_answer is None:
            self.audit.record(tracked.request.name, "client left")
            self._end(
                tracked, FinalAnswer(CLIENT_LEFT, False, "the client left", streamed=tracked.first_token_at is not None)
            )
            self._tell(tracked, self.router.left, tracked.view)
            for attempt in tracked.open_attempts:
                self._stop(attempt)  # also a stream, which the module leaves to the client
            self._forget(tracked)

    def attempt_refused(self, attempt, refusal):
        """An attempt's first byte was refused by `service.permission`."""
        self.audit.count(Action.REFUSED, refusal, attempt.tracked.request.name)

    # What the operators tell
    def reconfigured(self, tenants, **settings):
        """For requests taken from now on; those in flight keep their class, permits and tenant share. `tenants`: the
        numbers of `accounts` by their names."""
        self.request_classes, self.tenant_numbers = settings["use_cases"], tenants
        self._guarded("configured", self.router.configured, self.clock.now(), **settings)

    # What the list of workers tells
    def endpoints_changed(self, endpoints):
        self._guarded("listed", self.router.listed, self.clock.now(), endpoints)

    # What other routers tell
    def peer_reports_changed(self, endpoints):
        """`Endpoint.heard` of these is new."""
        self._guarded("told", self.router.told, self.clock.now(), endpoints)

    # What an engine connector tells
    def first_token(self, attempt):
        """The answer has begun: from now on it is the client's, whatever becomes of it."""
        tracked = attempt.tracked
        if attempt.ended or tracked.final_answer is not None:
            return False
        attempt.first_token_at = tracked.first_token_at = self.clock.now()
        self.audit.record(tracked.request.name, "first token", attempt.number)
        if tracked.reserved_at is None or tracked.reserved_at > attempt.started:
            self._let_place_go(tracked)  # the hold may have come in behind the write, which then took no place
        if tracked.state is not None:
            self._note_kv(tracked, KvStep.TAKEN)
        tracked.state = tracked.state_endpoint = tracked.reserved_endpoint = None
        self._tell(tracked, self.router.first_token, tracked.view, attempt.policy_attempt)
        return True

    def remaining_timeout(self, attempt):
        """What is left of an attempt's time-out, which counts from its decision. Never more than its client waits."""
        return attempt.started + attempt.time_out - self.clock.now()

    def repeat_window_over(self, attempt):
        """Whether a repeat would come too late to be known for one."""
        return attempt.first_byte_deadline is not None and self.clock.now() > attempt.first_byte_deadline

    def attempt_ended(self, attempt, end):
        """The one outcome of a send."""
        tracked = attempt.tracked
        if attempt.ended:
            return
        if self.before_decision is not None:
            self.before_decision()
        if end.body and tracked.final_answer is None:
            self.first_token(
                attempt
            )  # in one piece: begun and ended in one moment, or its end looks like a slow stream
        attempt.ended, attempt.result = True, (self.clock.now(), end)
        self.audit.count(Action.ENDED, end.outcome, tracked.request.name)
        final = tracked.final_answer is not None
        self._take_state(tracked, attempt, end)
        if end.outcome in door.ANSWERED:
            tracked.held_since = self.clock.now()
        if end.usage:
            tracked.usage = end.usage
            if tracked.request.weighed:
                self.estimator.learn(tracked.request.model, tracked.request.weighed, end.usage.prompt)
        if end.outcome == door.DONE and not final:
            self._end(tracked, FinalAnswer(COMPLETED, False, status=end.status, streamed=not end.body, body=end.body))
            final = True
        kept = end.usage.cached if end.usage else 0
        self._tell(
            tracked, self.router.outcome, tracked.view, attempt.policy_attempt, end.outcome, final, kept, end.report
        )
        if self.attempts_changed is not None and attempt.is_prefill:  # what a writer has on top is told with the next
            self.attempts_changed()
        self._forget(tracked)

    def _take_state(self, tracked, attempt, end):
        """What an outcome proves of the request's KV state."""
        if end.outcome == door.READ:
            if end.state is not None:
                tracked.state, tracked.state_endpoint, tracked.release_asked = end.state, attempt.endpoint, False
                self._note_kv(tracked, KvStep.HELD)
        elif end.outcome in (door.NO_STATE, door.SPOILT):
            self._note_kv(tracked, KvStep.GONE)
            if end.outcome == door.SPOILT and tracked.state is not None:
                self.connector.release(
                    tracked, tracked.state_endpoint, tracked.state
                )  # gone by all that we know; if not, nobody else would
            tracked.state = tracked.state_endpoint = None

    def reservation_answered(self, tracked, endpoint, held):
        if held and tracked.reserved_endpoint is not endpoint:
            self.connector.release(tracked, endpoint, None)  # nobody waits for it any more
        elif held:
            tracked.reserved_at = self.clock.now()
        elif tracked.reserved_endpoint is endpoint:
            tracked.reserved_endpoint = None
        if tracked.view in self.requests:
            self._tell(tracked, self.router.place, tracked.view, endpoint, held)

    def probed(self, endpoint, outcome, report):
        self._guarded("probed", self.router.probed, self.clock.now(), endpoint, outcome, report)

    # What the module asks for (door.Host)
    def send(self, view, endpoint, time_out, policy_attempt):
        tracked = self.requests[view]
        self._check_send(tracked)
        if tracked.attempts:
            self._count_retry(tracked.attempts[-1])
        attempt = EngineAttempt(
            tracked,
            endpoint,
            policy_attempt,
            len(tracked.attempts),
            endpoint.role == "read",
            time_out,
            self.clock.now(),
            tracked.state,
        )
        attempt.first_byte_deadline = getattr(policy_attempt, "first_byte_deadline", None)
        tracked.attempts.append(attempt)
        if not attempt.is_prefill and tracked.reserved_endpoint is not endpoint:
            self._let_place_go(tracked)
        self.connector.start(self, attempt)
        if self.attempts_changed is not None:
            self.attempts_changed()

    def hold_place(self, view, endpoint):
        tracked = self.requests[view]
        if tracked.reserved_endpoint is not endpoint:
            self._let_place_go(tracked)
        tracked.reserved_endpoint, tracked.reserved_at = endpoint, None
        self.connector.reserve(self, tracked, endpoint)

    def let_go(self, view):
        tracked = self.requests.get(view)
        if tracked is None:
            return
        if tracked.state is not None:
            self._release(tracked)
        self._let_place_go(tracked)

    def _release(self, tracked):
        """Asks for the release of its KV state. A decode that is out, where it arrived, keeps what it waits for: then the
        state may be held until that has ended, and is released once more."""
        decode_out = any(not attempt.is_prefill for attempt in tracked.open_attempts)
        self._note_kv(tracked, KvStep.RELEASE_BESIDE if decode_out else KvStep.RELEASE)
        self.connector.release(tracked, tracked.state_endpoint, tracked.state)
        tracked.release_asked = True
        if not decode_out:
            tracked.state = tracked.state_endpoint = None

    def withdraw(self, view, policy_attempt):
        for attempt in self.requests[view].open_attempts:
            if attempt.policy_attempt is policy_attempt:
                self._stop(attempt)

    def probe(self, endpoint):
        self.connector.probe(self, endpoint)

    def turn_back(self, view, come_back):
        tracked = self.requests[view]
        why = "no worker could take it in time" if not tracked.attempts else "no worker answered in time"
        self._end(tracked, FinalAnswer(REJECTED, True, why, come_back, streamed=tracked.first_token_at is not None))

    def scrap(self, view):
        tracked = self.requests[view]
        self._end(
            tracked,
            FinalAnswer(
                FAILED,
                False,
                "it may have run, and no worker answered in time",
                streamed=tracked.first_token_at is not None,
            ),
        )

    def remind(self, wait, note):
        self.clock.after(wait, self._remind, note)

    def log(self, line):
        self._log.info("mode", pool=self.pool, line=line)

    # Inside
    def _remind(self, note):
        view = getattr(note, "view", None)
        if view in self.requests:
            self._tell(self.requests[view], self.router.reminded, note)
        else:
            self._guarded("reminded", self.router.reminded, self.clock.now(), note)
        self._sweep(note)

    def _sweep(self, note):
        view = getattr(note, "view", None)
        if view in self.requests:
            self._forget(self.requests[view])

    def _tell(self, tracked, event, *args):
        """A fault in the module costs the question that met it, not the others."""
        try:
            event(self.clock.now(), *args)
        except Exception:
            self.audit.own_fault(getattr(event, "__name__", "event"), tracked.request.name)
            self._give_up(tracked)

    def _guarded(self, event, call, *args, **more):
        """A fault in an event that belongs to no request costs that event, not the task that told it."""
        try:
            call(*args, **more)
        except Exception:
            self.audit.own_fault(event)

    def _give_up(self, tracked):
        """The safe way out behind a fault of our own: an answer, and nothing that runs or is held."""
        if tracked.final_answer is None:
            self._end(
                tracked,
                FinalAnswer(FAILED, False, "a fault in the router", streamed=tracked.first_token_at is not None),
            )
        self.let_go(tracked.view)
        for attempt in tracked.open_attempts:
            self._stop(attempt)

    def _count_retry(self, last):
        """Another attempt begins behind this one. The hand-over behind a prefill is none."""
        outcome = last.result[1].outcome if last.result else "out"
        if outcome != door.READ:
            self.audit.count(Action.RETRIED, outcome, last.tracked.request.name)

    def _note_kv(self, tracked, step):
        """One step of its KV state, for the log and the counters."""
        worker = self.name_of(tracked.state_endpoint) if tracked.state_endpoint is not None else ""
        tracked.kv_events.append(KvEvent(self.clock.now(), step, worker or ""))
        self.audit.count(Action.KV_STATE, step, tracked.request.name)

    def _check_send(self, tracked):
        """What the module is never to ask for; it is counted, and carried out by the rules of `service.permission`."""
        if tracked.final_answer is not None:
            self.audit.violation(Violation.ATTEMPT_AFTER_ANSWER, tracked.request.name)
        if tracked.open_attempts:
            self.audit.violation(Violation.TWO_ATTEMPTS, tracked.request.name, out=len(tracked.open_attempts))

    def check(self):
        """To be called now and then: answers what is overdue, whatever lost its timer, and counts what is held too long."""
        now = self.clock.now()
        for tracked in list(self.requests.values()):
            late = now - tracked.accepted_at - tracked.request.deadline
            if tracked.final_answer is None and tracked.first_token_at is None and late > OVERDUE_SLACK:
                self.audit.violation(Violation.ANSWER_OVERDUE, tracked.request.name, late_ms=late // 10)
                self._give_up(tracked)
                self._guarded("left", self.router.left, now, tracked.view)
                self._forget(tracked)
            elif self._holds_too_long(tracked, now):
                self.audit.violation(Violation.STATE_HELD, tracked.request.name, ms=(now - tracked.held_since) // 10)
                self.let_go(tracked.view)

    def _stop(self, attempt):
        if not attempt.cancelled:
            attempt.cancelled = True
            self.connector.cancel(attempt)

    def _holds_too_long(self, tracked, now):
        """Whether KV state is overdue. A decode that is out may not have arrived; one that did keeps its state, and is none
        of that once a release was asked for beside it."""
        if tracked.state is None or self.kv_state_limit is None or (tracked.open_attempts and tracked.release_asked):
            return False
        since = tracked.held_since if tracked.open_attempts else max(tracked.held_since, tracked.attempts[-1].result[0])
        return now - since > self.kv_state_limit + HELD_SLACK

    def _let_place_go(self, tracked):
        if tracked.reserved_endpoint is not None:
            self.connector.release(tracked, tracked.reserved_endpoint, None)
            tracked.reserved_endpoint = None

    def _end(self, tracked, ending):
        """Rule 1: the first ending is the one, whatever comes after."""
        if tracked.final_answer is not None:
            self.audit.violation(
                Violation.SECOND_ANSWER, tracked.request.name, first=tracked.final_answer.result, second=ending.result
            )
            return
        tracked.final_answer, tracked.ended_at = ending, self.clock.now()
        self.audit.count(
            Action.ANSWERED,
            f"{ending.result}: {ending.reason}" if ending.reason else ending.result,
            tracked.request.name,
        )
        tracked.sink.final(ending)

    def _forget(self, tracked):
        """After its final answer and its last outcome a question is written down and never heard of again."""
        if tracked.final_answer is None or tracked.open_attempts or tracked.view not in self.requests:
            return
        if tracked.state is not None:  # whatever the module made of it: nobody could release it later
            self._release(tracked)
        del self.requests[tracked.view]
        tracked.request.body = None  # the largest part; what else points here may stand till the next collection
        request, ending, used = tracked.request, tracked.final_answer, tracked.usage
        case = tracked.view.use_case
        self.event_log.add(
            QuestionRecord(
                name=request.name,
                kind=request.kind,
                model=request.model,
                pool=self.pool,
                use_case=request.request_class,
                effect=case.effect,
                taken=tracked.accepted_at,
                patience=request.deadline,
                prompt=request.prompt,
                account=request.tenant,
                session=request.session,
                prefix=request.prefix,
                prefix_tokens=request.prefix_tokens,
                most_out=request.max_out,
                promised=case.promised + case.promised_per_k * request.prompt // 1000,
                first=tracked.first_token_at,
                ended=tracked.ended_at,
                how=ending.result,
                harmless=ending.retryable,
                why=ending.reason,
                come_back=ending.retry_after,
                prompt_counted=used.prompt if used else 0,
                cached=used.cached if used else 0,
                written=used.written if used else 0,
                kv_events=tracked.kv_events,
                sends=[
                    SendRecord(
                        self.name_of(attempt.endpoint),
                        attempt.is_prefill,
                        attempt.started,
                        attempt.result[0],
                        attempt.first_token_at,
                        attempt.result[1].outcome,
                        attempt.result[1].reason,
                    )
                    for attempt in tracked.attempts
                ],
            )
        )
