"""Translates the bench's text protocol to the decision module's events, and the module's actions back to lines.

It makes no decisions: it parses, maps ids to objects and back, and converts seconds to tenths of a millisecond.
"""

import json

from ramppulley import door
from ramppulley.profile import Profile, WorkerEntry, Workers, to_tenths_ms
from ramppulley.rules import Router
from ramppulley.settings_fields import SettingError

OUTCOMES = {
    "pass": door.DONE,
    "fault": door.FAULT,
    "no_room": door.NO_ROOM,
    "too_slow": door.TOO_SLOW,
    "no_route": door.NO_ROUTE,
    "cut": door.CUT,
    "undone": door.UNDONE,
    "stale_send": door.STALE,
    "read": door.READ,
}
RESUBSCRIBE_DELAY, MAX_RESUBSCRIBE_DELAY = 500, 10_000  # tenths of a millisecond; doubles with each failure
STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


class Malformed(Exception):
    """Input that does not follow the protocol."""


def seconds(ticks):
    """Tenths of a millisecond as seconds.

    >>> seconds(12345), seconds(-1)
    ('1.2345', '-0.0001')
    """
    sign = "-" if ticks < 0 else ""
    return f"{sign}{abs(ticks) // 10000}.{abs(ticks) % 10000:04d}"


def figure(text):
    """A number of a load report; None where the text is not a number.

    >>> figure("1.5"), figure("-"), figure("noise")
    (1.5, None, None)
    """
    try:
        return float(text)
    except ValueError:
        return None


def whole(text):
    """A whole number; 0 for '-'."""
    return 0 if text == "-" else int(float(text))


class Instance:
    """One router: its ids, its decision module and its output lines."""

    def __init__(self, name, seed, profile, now, out, make=Router):
        self.name, self.out, self.now = name, out, now
        self.views, self.view_ids, self.attempts = {}, {}, {}
        self.open_counts, self.is_final = {}, {}  # by request: count of open attempts; whether it has its final answer
        self.notes, self.next_note, self.newly_finished = {}, 0, []
        self.profile = Profile(profile)
        self.workers = Workers(self.profile)
        self.endpoints, self.ids = self.workers.endpoints, self.workers.ids  # address -> Endpoint, Endpoint -> address
        self.router = self.profile.router(make, self, seed, now)
        self.resubscribe_delay = RESUBSCRIBE_DELAY
        if self.profile.discovery == "on_request":
            self.subscribe()

    def subscribe(self):
        """Used where discovery answers only on request. A failed call or a broken subscription is retried."""
        self.emit("SUBSCRIBE", "1")

    # Actions of the decision module (door.Host)
    def emit(self, *parts):
        self.out.append(" ".join((parts[0], self.name) + parts[1:]))

    def send(self, view, endpoint, timeout, attempt):
        self.attempts[view].append(attempt)
        self.open_counts[view] += 1
        self.emit("ATTEMPT", self.view_ids[view], seconds(timeout), self.ids[endpoint])

    def hold_place(self, view, endpoint):
        self.emit("BOOK_SEAT", self.view_ids[view], self.ids[endpoint])

    def let_go(self, view):
        self.emit("DROP_STATE", self.view_ids[view])

    def withdraw(self, view, attempt):
        self.emit("WITHDRAW", self.view_ids[view], str(self.attempts[view].index(attempt)))

    def probe(self, endpoint):
        self.emit("ASK_LOAD", self.ids[endpoint])

    def mark_final(self, view):
        self.is_final[view] = True
        self.newly_finished.append(view)

    def turn_back(self, view, come_back):
        self.mark_final(view)
        self.emit("DECLINE", self.view_ids[view], seconds(come_back))

    def scrap(self, view):
        self.mark_final(view)
        self.emit("DROP_REQUEST", self.view_ids[view])

    def remind(self, wait, note):
        self.next_note += 1
        self.notes[self.next_note] = note
        self.emit("TIMER", str(self.next_note), seconds(max(wait, 1)))

    def log(self, line):
        self.emit("PRINT", line)

    # Events of the protocol
    def membership(self, now, fields, entries):
        kind = fields[1]
        if kind == "error":
            if self.profile.discovery == "on_request":
                self.remind(self.resubscribe_delay, self.subscribe)
                self.resubscribe_delay = min(MAX_RESUBSCRIBE_DELAY, 2 * self.resubscribe_delay)
            return
        self.resubscribe_delay = RESUBSCRIBE_DELAY
        self.router.listed(
            now,
            self.workers.update(
                [
                    WorkerEntry(
                        address,
                        STATES[state],
                        int(group_index),
                        int(zone),
                        int(kind_index),
                        1.0 if weight == "-" else float(weight),
                        to_tenths_ms(born) or None,
                    )
                    for state, group_index, address, weight, zone, kind_index, born in self.supported_entries(entries)
                ],
                kind != "diff",
            ),
        )

    def supported_entries(self, entries):
        """The entries whose kind the settings name; the others are logged and skipped."""
        for entry in entries:
            if 0 <= int(entry[5]) < len(self.profile.roles):
                yield entry
            else:
                self.log(f"entry of the list passed over: kind {entry[5]}")

    def work_item(self, now, fields):
        (op, max_output, prefix_tokens, session, class_index, cost, prompt, group, prefix, deadline, flags) = fields
        use_case, has_hint = self.profile.request_classes[int(class_index)], whole(flags) & 1 and cost != "-"
        view = door.RequestView(
            use_case,
            prompt=whole(prompt),
            most_out=whole(max_output),
            patience=to_tenths_ms(deadline),
            session=session,
            prefix="" if prefix.strip("0-") == "" else prefix,
            prefix_tokens=whole(prefix_tokens),
            likely_out=self.profile.expected_output_tokens(use_case, to_tenths_ms(cost) if has_hint else None),
            account=whole(group),
            benefit_share=self.profile.over_share_value,
        )
        self.views[op], self.view_ids[view], self.attempts[view] = view, op, []
        self.open_counts[view], self.is_final[view] = 0, False
        self.router.arrived(now, view)

    def head_received(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.router.first_token(now, view, self.attempts[view][int(fields[1])])

    def place_note(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.router.place(now, view, self.endpoints[fields[1]], int(fields[2]) == 1)

    def finished(self, now, fields):
        op, attempt_index, _, outcome_word, lag, is_final, detail, report_text = fields
        view = self.views.get(op)
        if view is None:
            return
        outcome = OUTCOMES[outcome_word]
        detail = whole(detail)
        if outcome == door.NO_ROOM and detail == 1:
            outcome = door.NO_STATE
        self.open_counts[view] -= 1
        self.is_final[view] |= is_final == "1"
        cached_tokens = detail if outcome in (door.DONE, door.READ) else 0
        self.router.outcome(
            now,
            view,
            self.attempts[view][int(attempt_index)],
            outcome,
            is_final == "1",
            cached_tokens,
            self.report(report_text),
        )
        self.forget(view)

    def sampled(self, now, fields):
        outcome_word, address, lag, report_text = fields
        if address not in self.endpoints:
            return  # never listed, so it was not probed
        self.router.probed(now, self.endpoints[address], OUTCOMES[outcome_word], self.report(report_text))

    def gone(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.is_final[view] = True
            self.router.left(now, view)
            self.forget(view)

    def reminder(self, now, fields):
        note = self.notes.pop(int(fields[0]), None)
        if note == self.subscribe:
            note()
        elif note is not None:
            self.router.reminded(now, note)

    def forget_finished(self):
        """After each event: forgets the requests that were answered in it, where nothing else is open."""
        while self.newly_finished:
            self.forget(self.newly_finished.pop())

    def forget(self, view):
        """Drops a request that has its final answer and no open attempt: no further event can name it."""
        if self.is_final.get(view) and not self.open_counts[view]:
            del self.views[self.view_ids.pop(view)], self.attempts[view], self.open_counts[view], self.is_final[view]

    def report(self, text):
        if text in ("-", ""):
            return None
        values = text.split(",")
        return self.profile.report({f: figure(v) for f, v in zip(self.profile.report_fields, values)})


EVENTS = {
    "WORK_ITEM": ("work_item", 11),
    "HEAD_RECEIVED": ("head_received", 4),
    "PLACE_NOTE": ("place_note", 5),
    "FINISHED": ("finished", 8),
    "SAMPLED": ("sampled", 4),
    "GONE": ("gone", 1),
    "REMINDER": ("reminder", 1),
}


def pad(fields, count):
    """The fields extended to `count`: trailing ones may be left out."""
    return (fields + ["-"] * count)[:count]


def handle(line, following, now, routers, out, make=Router):
    """Handles one event line; `following` yields the ENTRY lines behind it."""
    name, _, rest = line.partition(" ")
    if name == "POWER_ON":
        router_name, seed, profile = rest.split(" ", 2)
        try:
            routers[router_name] = Instance(router_name, int(seed), json.loads(profile), now, out, make)
        except SettingError as fault:
            raise Malformed(str(fault)) from fault
        return
    fields = rest.split(" ")
    router_name, fields = fields[0], fields[1:]
    if name == "POWER_OFF":
        routers.pop(router_name, None)
        return
    if router_name in routers:
        routers[router_name].out = out
    if name == "MEMBERSHIP":
        entries = []
        for _ in range(whole(fields[2]) if len(fields) > 2 else 0):
            entry = next(following)
            if not entry.startswith("ENTRY "):
                raise Malformed(f"expected an ENTRY line, found {entry!r}")
            entries.append(pad(entry.split(" ")[1:], 7))
        if router_name in routers:
            routers[router_name].membership(now, fields, entries)
        return
    if name in EVENTS and router_name in routers:
        method, count = EVENTS[name]
        getattr(routers[router_name], method)(now, pad(fields, count))
        routers[router_name].forget_finished()


def serve(source, sink, make=Router):
    """Answers each batch until the source ends; `make` creates a router, with the arguments of `Router`."""
    routers = {}
    lines = (line.rstrip("\r\n") for line in source)
    for line in lines:
        if not line:
            continue
        if not line.startswith("BATCH "):
            raise Malformed(f"expected a BATCH line, found {line!r}")
        now, out, crashed = to_tenths_ms(line.split(" ")[1]), [], False
        for event in lines:
            if event == "COMMIT":
                break
            if crashed or not event:
                continue
            try:
                handle(event, lines, now, routers, out, make)
            except Malformed:
                raise
            except (ValueError, KeyError, IndexError, StopIteration) as fault:
                if fault.__traceback__ and raised_in_module(fault):
                    crashed = report_crash(event, fault, out)
                else:
                    raise Malformed(f"cannot read {event!r}: {fault!r}") from fault
            except Exception as fault:
                crashed = report_crash(event, fault, out)
        else:
            raise Malformed("input ended within a batch")
        sink.write("".join(text + "\n" for text in out) + "NEXT\n")
        sink.flush()


def raised_in_module(fault):
    """Whether an exception was raised in the decision module, and not while parsing."""
    trace = fault.__traceback__
    while trace:
        if trace.tb_frame.f_globals.get("__name__") == "ramppulley.rules":
            return True
        trace = trace.tb_next
    return False


def report_crash(event, fault, out):
    out.append(f"CRASH {event.split(' ')[1]} {type(fault).__name__}: {fault}".replace("\n", " "))
    return True
