"""The wire's text lines in, the module's events out, and its actions back as lines.

Holds no decision: it parses, keeps ids and objects apart, and converts seconds to tenths of a millisecond.
"""

import json

from ramppulley import door
from ramppulley.profile import Profile, WorkerEntry, Workers, tenths
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
ASK_AGAIN, ASK_MOST = 500, 10_000  # tenths of a millisecond to asking for the list again, doubling up to
STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


class Malformed(Exception):
    """Input that does not follow the wire."""


def seconds(ticks):
    """Tenths of a millisecond as seconds.

    >>> seconds(12345), seconds(-1)
    ('1.2345', '-0.0001')
    """
    sign = "-" if ticks < 0 else ""
    return f"{sign}{abs(ticks) // 10000}.{abs(ticks) % 10000:04d}"


def figure(text):
    """
    >>> figure("1.5"), figure("-"), figure("noise")
    (1.5, None, None)
    """
    try:
        return float(text)
    except ValueError:
        return None


def whole(text):
    return 0 if text == "-" else int(float(text))


class Instance:
    """One router: its ids, its module, and the lines that it answers with."""

    def __init__(self, name, seed, profile, now, out, make=Router):
        self.name, self.out, self.now = name, out, now
        self.views, self.view_ids, self.sends = {}, {}, {}
        self.out_now, self.closed = {}, {}  # sends out of each question; whether it has its final answer
        self.notes, self.next_note, self.answered = {}, 0, []
        self.profile = Profile(profile)
        self.workers = Workers(self.profile)
        self.endpoints, self.ids = self.workers.endpoints, self.workers.ids  # address -> Endpoint, Endpoint -> address
        self.router = self.profile.router(make, self, seed, now)
        self.pause = ASK_AGAIN
        if self.profile.discovery == "on_request":
            self.subscribe()

    def subscribe(self):
        """Where the list is told on request; a call that fails, or a subscription that broke, is repeated."""
        self.act("SUBSCRIBE", "1")

    # What the module asks for (door.Host)
    def act(self, *parts):
        self.out.append(" ".join((parts[0], self.name) + parts[1:]))

    def send(self, view, endpoint, time_out, send):
        self.sends[view].append(send)
        self.out_now[view] += 1
        self.act("ATTEMPT", self.view_ids[view], seconds(time_out), self.ids[endpoint])

    def hold_place(self, view, endpoint):
        self.act("BOOK_SEAT", self.view_ids[view], self.ids[endpoint])

    def let_go(self, view):
        self.act("DROP_STATE", self.view_ids[view])

    def withdraw(self, view, send):
        self.act("WITHDRAW", self.view_ids[view], str(self.sends[view].index(send)))

    def probe(self, endpoint):
        self.act("ASK_LOAD", self.ids[endpoint])

    def close(self, view):
        self.closed[view] = True
        self.answered.append(view)

    def turn_back(self, view, come_back):
        self.close(view)
        self.act("DECLINE", self.view_ids[view], seconds(come_back))

    def scrap(self, view):
        self.close(view)
        self.act("DROP_REQUEST", self.view_ids[view])

    def remind(self, wait, note):
        self.next_note += 1
        self.notes[self.next_note] = note
        self.act("TIMER", str(self.next_note), seconds(max(wait, 1)))

    def log(self, line):
        self.act("PRINT", line)

    # What the wire tells
    def membership(self, now, fields, entries):
        kind = fields[1]
        if kind == "error":
            if self.profile.discovery == "on_request":
                self.remind(self.pause, self.subscribe)
                self.pause = min(ASK_MOST, 2 * self.pause)
            return
        self.pause = ASK_AGAIN
        self.router.listed(
            now,
            self.workers.update(
                [
                    WorkerEntry(
                        address,
                        STATES[state],
                        int(cell),
                        int(zone),
                        int(flavor),
                        1.0 if weight == "-" else float(weight),
                        tenths(born) or None,
                    )
                    for state, cell, address, weight, zone, flavor, born in self.known(entries)
                ],
                kind != "diff",
            ),
        )

    def known(self, entries):
        """Without those of a kind that the settings do not name."""
        for entry in entries:
            if 0 <= int(entry[5]) < len(self.profile.roles):
                yield entry
            else:
                self.log(f"entry of the list passed over: kind {entry[5]}")

    def work_item(self, now, fields):
        (op, most, n_prefix, dialogue, band, cost, prompt, group, prefix, patience, bits) = fields
        use_case, hinted = self.profile.use_cases[int(band)], whole(bits) & 1 and cost != "-"
        view = door.RequestView(
            use_case,
            prompt=whole(prompt),
            most_out=whole(most),
            patience=tenths(patience),
            session=dialogue,
            prefix="" if prefix.strip("0-") == "" else prefix,
            prefix_tokens=whole(n_prefix),
            likely_out=self.profile.likely_out(use_case, tenths(cost) if hinted else None),
            account=whole(group),
            benefit_share=self.profile.over_share,
        )
        self.views[op], self.view_ids[view], self.sends[view] = view, op, []
        self.out_now[view], self.closed[view] = 0, False
        self.router.arrived(now, view)

    def head_received(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.router.first_token(now, view, self.sends[view][int(fields[1])])

    def place_note(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.router.place(now, view, self.endpoints[fields[1]], int(fields[2]) == 1)

    def finished(self, now, fields):
        op, go, _, code, lag, no_more, remark, health = fields
        view = self.views.get(op)
        if view is None:
            return
        outcome = OUTCOMES[code]
        remark = whole(remark)
        if outcome == door.NO_ROOM and remark == 1:
            outcome = door.NO_STATE
        self.out_now[view] -= 1
        self.closed[view] |= no_more == "1"
        kept = remark if outcome in (door.DONE, door.READ) else 0
        self.router.outcome(now, view, self.sends[view][int(go)], outcome, no_more == "1", kept, self.report(health))
        self.forget(view)

    def sampled(self, now, fields):
        code, address, lag, health = fields
        if address not in self.endpoints:
            return  # never listed: nobody asked it
        self.router.probed(now, self.endpoints[address], OUTCOMES[code], self.report(health))

    def gone(self, now, fields):
        view = self.views.get(fields[0])
        if view:
            self.closed[view] = True
            self.router.left(now, view)
            self.forget(view)

    def reminder(self, now, fields):
        note = self.notes.pop(int(fields[0]), None)
        if note == self.subscribe:
            note()
        elif note is not None:
            self.router.reminded(now, note)

    def tidy(self):
        """After each event: what we answered in it."""
        while self.answered:
            self.forget(self.answered.pop())

    def forget(self, view):
        """A question with its final answer and nothing out is never heard of again."""
        if self.closed.get(view) and not self.out_now[view]:
            del self.views[self.view_ids.pop(view)], self.sends[view], self.out_now[view], self.closed[view]

    def report(self, text):
        if text in ("-", ""):
            return None
        values = text.split(",")
        return self.profile.report({f: figure(v) for f, v in zip(self.profile.fields, values)})


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
    """Trailing fields may be left out."""
    return (fields + ["-"] * count)[:count]


def handle(line, following, now, routers, out, make=Router):
    """One event line; `following` yields its entry lines."""
    name, _, rest = line.partition(" ")
    if name == "POWER_ON":
        inst, seed, profile = rest.split(" ", 2)
        try:
            routers[inst] = Instance(inst, int(seed), json.loads(profile), now, out, make)
        except SettingError as fault:
            raise Malformed(str(fault)) from fault
        return
    fields = rest.split(" ")
    inst, fields = fields[0], fields[1:]
    if name == "POWER_OFF":
        routers.pop(inst, None)
        return
    if inst in routers:
        routers[inst].out = out
    if name == "MEMBERSHIP":
        entries = []
        for _ in range(whole(fields[2]) if len(fields) > 2 else 0):
            entry = next(following)
            if not entry.startswith("ENTRY "):
                raise Malformed(f"expected an ENTRY line, found {entry!r}")
            entries.append(pad(entry.split(" ")[1:], 7))
        if inst in routers:
            routers[inst].membership(now, fields, entries)
        return
    if name in EVENTS and inst in routers:
        method, count = EVENTS[name]
        getattr(routers[inst], method)(now, pad(fields, count))
        routers[inst].tidy()


def serve(source, sink, make=Router):
    """Answers batch after batch until the source ends; `make` makes a router as `Router` does."""
    routers = {}
    lines = (line.rstrip("\r\n") for line in source)
    for line in lines:
        if not line:
            continue
        if not line.startswith("BATCH "):
            raise Malformed(f"expected a BATCH line, found {line!r}")
        now, out, crashed = tenths(line.split(" ")[1]), [], False
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
                if fault.__traceback__ and in_module(fault):
                    crashed = crash(event, fault, out)
                else:
                    raise Malformed(f"cannot read {event!r}: {fault!r}") from fault
            except Exception as fault:
                crashed = crash(event, fault, out)
        else:
            raise Malformed("input ended within a batch")
        sink.write("".join(text + "\n" for text in out) + "NEXT\n")
        sink.flush()


def in_module(fault):
    """Whether an exception came out of the decisions, not out of the parsing."""
    step = fault.__traceback__
    while step:
        if step.tb_frame.f_globals.get("__name__") == "ramppulley.rules":
            return True
        step = step.tb_next
    return False


def crash(event, fault, out):
    out.append(f"CRASH {event.split(' ')[1]} {type(fault).__name__}: {fault}".replace("\n", " "))
    return True
