"""Hosts one decision module for one pool of workers: tells it what happens, carries out what it decides.

A front hands in an InferenceRequest with its Sink (`take`, `left`); an engine connector is told start / cancel / reserve /
release and reports `first`, `ended`, `placed`, `probed`; the list of workers reports `listed`. What a request keeps here is
its body, its Life and one Out for each of its attempts (four at most); tokens pass through and are never collected.
"""

from ramppulley import door
from ramppulley.service.audit import Action, RuleAudit, Violation
from ramppulley.service.neutral import (
    CLIENT_LEFT,
    COMPLETED,
    FAILED,
    REJECTED,
    Ending,
    KvEvent,
    KvStep,
    Life,
    Out,
)
from ramppulley.service.record import QuestionRecord, SendRecord

OVERDUE_SLACK = 1_000  # tenths of a millisecond after a request's deadline: past what a late loop explains
HELD_SLACK = 3_000  # the same for KV state, after the time of the settings


class Core:
    """One pool's questions and its module. Implements `door.Host`.

    `make_router(host, now)` gives the module, or a baseline with the same events. `names` tells a box's name.
    """

    def __init__(
        self, pool, make_router, connector, clock, use_cases, accounts, book, log, estimator, names, audit=None
    ):
        self.pool, self.connector, self.clock, self.book, self._log = pool, connector, clock, book, log
        self.use_cases, self.accounts, self.estimator, self.names = use_cases, accounts, estimator, names
        self.audit = audit or RuleAudit(log, clock)
        self.lives, self.taken, self.draining = {}, 0, False
        self.held_limit = None  # how long KV state may be held, where its engines say; tenths of a millisecond
        self.hear, self.moved = None, None  # called, where set, before a decision, and when a send came or went
        self.router = make_router(self, clock.now())

    # What a front tells
    def take(self, request, sink):
        """From here one final answer is owed; it comes by `sink.final`, perhaps before this returns."""
        if self.hear is not None:
            self.hear()
        now, use_case = self.clock.now(), self.use_cases[request.request_class]
        slip = door.Slip(
            use_case,
            prompt=request.prompt,
            most_out=request.max_out,
            patience=request.deadline,
            session=request.session,
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
            likely_out=request.likely_out,
            account=self.accounts.get(request.tenant, len(self.accounts)),
            benefit_share=request.value_share,
            whole=request.whole,
        )
        life = self.lives[slip] = Life(request, slip, sink, now)
        self.taken += 1
        self.audit.record(request.name, "taken", request.request_class)
        self._tell(life, self.router.arrived, slip)
        return life

    def left(self, life):
        """The client closed its connection: nothing is owed any more, and what runs for it is stopped."""
        if life.ending is None:
            self.audit.record(life.request.name, "client left")
            self._end(life, Ending(CLIENT_LEFT, False, "the client left", streamed=life.first is not None))
            self._tell(life, self.router.left, life.slip)
            for out in life.out:
                self._stop(out)  # also a stream, which the module leaves to the client
            self._forget(life)

    def refused(self, out, refusal):
        """An attempt's first byte was refused by `service.permission`."""
        self.audit.count(Action.REFUSED, refusal, out.life.request.name)

    # What the operators tell
    def configured(self, tenants, **settings):
        """For requests taken from now on; those in flight keep their class, permits and tenant share. `tenants`: the
        numbers of `accounts` by their names."""
        self.use_cases, self.accounts = settings["use_cases"], tenants
        self._guarded("configured", self.router.configured, self.clock.now(), **settings)

    # What the list of workers tells
    def listed(self, boxes):
        self._guarded("listed", self.router.listed, self.clock.now(), boxes)

    # What other routers tell
    def told(self, boxes):
        """`Box.heard` of these is new."""
        self._guarded("told", self.router.told, self.clock.now(), boxes)

    # What an engine connector tells
    def first(self, out):
        """The answer has begun: from now on it is the client's, whatever becomes of it."""
        life = out.life
        if out.ended or life.ending is not None:
            return False
        out.first = life.first = self.clock.now()
        self.audit.record(life.request.name, "first token", out.number)
        if life.placed is None or life.placed > out.started:
            self._let_place_go(life)  # the hold may have come in behind the write, which then took no place
        if life.state is not None:
            self._note_kv(life, KvStep.TAKEN)
        life.state = life.held_at = life.place = None
        self._tell(life, self.router.first_token, life.slip, out.send)
        return True

    def remaining(self, out):
        """What is left of an attempt's time-out, which counts from its decision. Never more than its client waits."""
        return out.started + out.time_out - self.clock.now()

    def window_over(self, out):
        """Whether a repeat would come too late to be known for one."""
        return out.begin_until is not None and self.clock.now() > out.begin_until

    def ended(self, out, end):
        """The one outcome of a send."""
        life = out.life
        if out.ended:
            return
        if self.hear is not None:
            self.hear()
        if end.body and life.ending is None:
            self.first(out)  # in one piece: begun and ended in one moment, or its end looks like a slow stream
        out.ended, out.end = True, (self.clock.now(), end)
        self.audit.count(Action.ENDED, end.outcome, life.request.name)
        final = life.ending is not None
        self._take_state(life, out, end)
        if end.outcome in door.ANSWERED:
            life.held_since = self.clock.now()
        if end.usage:
            life.usage = end.usage
            if life.request.weighed:
                self.estimator.learn(life.request.model, life.request.weighed, end.usage.prompt)
        if end.outcome == door.DONE and not final:
            self._end(life, Ending(COMPLETED, False, status=end.status, streamed=not end.body, body=end.body))
            final = True
        kept = end.usage.cached if end.usage else 0
        self._tell(life, self.router.outcome, life.slip, out.send, end.outcome, final, kept, end.report)
        if self.moved is not None and out.reads:  # what a writer has on top is told with the next
            self.moved()
        self._forget(life)

    def _take_state(self, life, out, end):
        """What an outcome proves of the request's KV state."""
        if end.outcome == door.READ:
            if end.state is not None:
                life.state, life.held_at, life.release_asked = end.state, out.box, False
                self._note_kv(life, KvStep.HELD)
        elif end.outcome in (door.NO_STATE, door.SPOILT):
            self._note_kv(life, KvStep.GONE)
            if end.outcome == door.SPOILT and life.state is not None:
                self.connector.release(
                    life, life.held_at, life.state
                )  # gone by all that we know; if not, nobody else would
            life.state = life.held_at = None

    def placed(self, life, box, held):
        if held and life.place is not box:
            self.connector.release(life, box, None)  # nobody waits for it any more
        elif held:
            life.placed = self.clock.now()
        elif life.place is box:
            life.place = None
        if life.slip in self.lives:
            self._tell(life, self.router.place, life.slip, box, held)

    def probed(self, box, outcome, report):
        self._guarded("probed", self.router.probed, self.clock.now(), box, outcome, report)

    # What the module asks for (door.Host)
    def send(self, slip, box, time_out, send):
        life = self.lives[slip]
        self._check_send(life)
        if life.outs:
            self._count_retry(life.outs[-1])
        out = Out(life, box, send, len(life.outs), box.role == "read", time_out, self.clock.now(), life.state)
        out.begin_until = getattr(send, "begin_until", None)
        life.outs.append(out)
        if not out.reads and life.place is not box:
            self._let_place_go(life)
        self.connector.start(self, out)
        if self.moved is not None:
            self.moved()

    def hold_place(self, slip, box):
        life = self.lives[slip]
        if life.place is not box:
            self._let_place_go(life)
        life.place, life.placed = box, None
        self.connector.reserve(self, life, box)

    def let_go(self, slip):
        life = self.lives.get(slip)
        if life is None:
            return
        if life.state is not None:
            self._release(life)
        self._let_place_go(life)

    def _release(self, life):
        """Asks for the release of its KV state. A decode that is out, where it arrived, keeps what it waits for: then the
        state may be held until that has ended, and is released once more."""
        decode_out = any(not out.reads for out in life.out)
        self._note_kv(life, KvStep.RELEASE_BESIDE if decode_out else KvStep.RELEASE)
        self.connector.release(life, life.held_at, life.state)
        life.release_asked = True
        if not decode_out:
            life.state = life.held_at = None

    def withdraw(self, slip, send):
        for out in self.lives[slip].out:
            if out.send is send:
                self._stop(out)

    def probe(self, box):
        self.connector.probe(self, box)

    def turn_back(self, slip, come_back):
        life = self.lives[slip]
        why = "no worker could take it in time" if not life.outs else "no worker answered in time"
        self._end(life, Ending(REJECTED, True, why, come_back, streamed=life.first is not None))

    def scrap(self, slip):
        life = self.lives[slip]
        self._end(
            life,
            Ending(FAILED, False, "it may have run, and no worker answered in time", streamed=life.first is not None),
        )

    def remind(self, wait, note):
        self.clock.after(wait, self._remind, note)

    def log(self, line):
        self._log.info("mode", pool=self.pool, line=line)

    # Inside
    def _remind(self, note):
        slip = getattr(note, "slip", None)
        if slip in self.lives:
            self._tell(self.lives[slip], self.router.reminded, note)
        else:
            self._guarded("reminded", self.router.reminded, self.clock.now(), note)
        self._sweep(note)

    def _sweep(self, note):
        slip = getattr(note, "slip", None)
        if slip in self.lives:
            self._forget(self.lives[slip])

    def _tell(self, life, event, *args):
        """A fault in the module costs the question that met it, not the others."""
        try:
            event(self.clock.now(), *args)
        except Exception:
            self.audit.own_fault(getattr(event, "__name__", "event"), life.request.name)
            self._give_up(life)

    def _guarded(self, event, call, *args, **more):
        """A fault in an event that belongs to no request costs that event, not the task that told it."""
        try:
            call(*args, **more)
        except Exception:
            self.audit.own_fault(event)

    def _give_up(self, life):
        """The safe way out behind a fault of our own: an answer, and nothing that runs or is held."""
        if life.ending is None:
            self._end(life, Ending(FAILED, False, "a fault in the router", streamed=life.first is not None))
        self.let_go(life.slip)
        for out in life.out:
            self._stop(out)

    def _count_retry(self, last):
        """Another attempt begins behind this one. The hand-over behind a prefill is none."""
        outcome = last.end[1].outcome if last.end else "out"
        if outcome != door.READ:
            self.audit.count(Action.RETRIED, outcome, last.life.request.name)

    def _note_kv(self, life, step):
        """One step of its KV state, for the log and the counters."""
        worker = self.names(life.held_at) if life.held_at is not None else ""
        life.kv_events.append(KvEvent(self.clock.now(), step, worker or ""))
        self.audit.count(Action.KV_STATE, step, life.request.name)

    def _check_send(self, life):
        """What the module is never to ask for; it is counted, and carried out by the rules of `service.permission`."""
        if life.ending is not None:
            self.audit.violation(Violation.ATTEMPT_AFTER_ANSWER, life.request.name)
        if life.out:
            self.audit.violation(Violation.TWO_ATTEMPTS, life.request.name, out=len(life.out))

    def check(self):
        """To be called now and then: answers what is overdue, whatever lost its timer, and counts what is held too long."""
        now = self.clock.now()
        for life in list(self.lives.values()):
            late = now - life.taken - life.request.deadline
            if life.ending is None and life.first is None and late > OVERDUE_SLACK:
                self.audit.violation(Violation.ANSWER_OVERDUE, life.request.name, late_ms=late // 10)
                self._give_up(life)
                self._guarded("left", self.router.left, now, life.slip)
                self._forget(life)
            elif self._holds_too_long(life, now):
                self.audit.violation(Violation.STATE_HELD, life.request.name, ms=(now - life.held_since) // 10)
                self.let_go(life.slip)

    def _stop(self, out):
        if not out.withdrawn:
            out.withdrawn = True
            self.connector.cancel(out)

    def _holds_too_long(self, life, now):
        """Whether KV state is overdue. A decode that is out may not have arrived; one that did keeps its state, and is none
        of that once a release was asked for beside it."""
        if life.state is None or self.held_limit is None or (life.out and life.release_asked):
            return False
        since = life.held_since if life.out else max(life.held_since, life.outs[-1].end[0])
        return now - since > self.held_limit + HELD_SLACK

    def _let_place_go(self, life):
        if life.place is not None:
            self.connector.release(life, life.place, None)
            life.place = None

    def _end(self, life, ending):
        """Rule 1: the first ending is the one, whatever comes after."""
        if life.ending is not None:
            self.audit.violation(Violation.SECOND_ANSWER, life.request.name, first=life.ending.how, second=ending.how)
            return
        life.ending, life.ended = ending, self.clock.now()
        self.audit.count(
            Action.ANSWERED, f"{ending.how}: {ending.why}" if ending.why else ending.how, life.request.name
        )
        life.sink.final(ending)

    def _forget(self, life):
        """After its final answer and its last outcome a question is written down and never heard of again."""
        if life.ending is None or life.out or life.slip not in self.lives:
            return
        if life.state is not None:  # whatever the module made of it: nobody could release it later
            self._release(life)
        del self.lives[life.slip]
        life.request.body = None  # the largest part; what else points here may stand till the next collection
        request, ending, used = life.request, life.ending, life.usage
        case = life.slip.use_case
        self.book.add(
            QuestionRecord(
                name=request.name,
                kind=request.kind,
                model=request.model,
                pool=self.pool,
                use_case=request.request_class,
                effect=case.effect,
                taken=life.taken,
                patience=request.deadline,
                prompt=request.prompt,
                account=request.tenant,
                session=request.session,
                prefix=request.prefix,
                prefix_tokens=request.prefix_tokens,
                most_out=request.max_out,
                promised=case.promised + case.promised_per_k * request.prompt // 1000,
                first=life.first,
                ended=life.ended,
                how=ending.how,
                harmless=ending.retryable,
                why=ending.why,
                come_back=ending.retry_after,
                prompt_counted=used.prompt if used else 0,
                cached=used.cached if used else 0,
                written=used.written if used else 0,
                kv_events=life.kv_events,
                sends=[
                    SendRecord(
                        self.names(out.box),
                        out.reads,
                        out.started,
                        out.end[0],
                        out.first,
                        out.end[1].outcome,
                        out.end[1].why,
                    )
                    for out in life.outs
                ],
            )
        )
