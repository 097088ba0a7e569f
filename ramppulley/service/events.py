"""Records of the decision module's events and actions.

A record holds each call of the Router's event methods with plain arguments (endpoints, request views and attempts by
number) and each action that followed; `check/replay.py` plays it again. Only the recorder stands between host and module,
and only where one is asked for: without it nothing is added to the decision path.
"""

import gzip
from dataclasses import asdict, fields
from weakref import WeakKeyDictionary

import msgspec

VERSION = 1
EVENTS = ("listed", "told", "arrived", "first_token", "outcome", "place", "left", "probed", "reminded")


class Head(msgspec.Struct):
    """What the router was made with."""

    seed: int
    routers: int
    zone: int
    now: int
    use_cases: list[dict]
    accounts: list[dict]
    permits: dict
    lawbook: dict
    about: str = ""
    v: int = VERSION


class Step(msgspec.Struct, array_like=True):
    """One event and the actions that followed it."""

    event: str
    now: int
    given: list
    actions: list


class ObjectNumbers:
    """The numbers by which a record refers to objects, in the order of their first use.

    A recorder holds objects weakly, as long as the module has them; a replay keeps all, to find them by number.
    """

    def __init__(self, keep):
        self.numbers, self.count, self.objects = WeakKeyDictionary(), 0, [] if keep else None

    def of(self, thing):
        if thing not in self.numbers:
            self.numbers[thing], self.count = self.count, self.count + 1
            if self.objects is not None:
                self.objects.append(thing)
        return self.numbers[thing]


class RecordedObjects:
    """Numbers the module's objects, alike in a recorder and in a replay."""

    def __init__(self, keep=False):
        self.endpoints, self.views, self.attempts, self.notes = (ObjectNumbers(keep) for _ in range(4))

    def action(self, word, given):
        if word == "send":
            view, endpoint, time_out, attempt = given
            return [word, self.views.of(view), self.endpoints.of(endpoint), time_out, self.attempts.of(attempt)]
        if word == "withdraw":
            return [word, self.views.of(given[0]), self.attempts.of(given[1])]
        if word == "remind":
            return [word, given[0], self.notes.of(given[1])]
        if word == "probe":
            return [word, self.endpoints.of(given[0])]
        if word == "hold_place":
            return [word, self.views.of(given[0]), self.endpoints.of(given[1])]
        if word in ("let_go", "scrap"):
            return [word, self.views.of(given[0])]
        if word == "turn_back":
            return [word, self.views.of(given[0]), given[1]]
        return [word, *given]


class RecordingHost:
    """Stands between the module and its host: records each action and passes it on."""

    def __init__(self, names, host=None):
        self.names, self.host, self.actions = names, host, []

    def __getattr__(self, word):
        def act(*given):
            self.actions.append(self.names.action(word, given))
            if self.host is not None:
                return getattr(self.host, word)(*given)

        return act

    def take_actions(self):
        actions, self.actions = self.actions, []
        return actions


def _view_fields(view, use_cases):
    told = {f.name: getattr(view, f.name) for f in fields(view) if f.name != "use_case"}
    return [use_cases.index(view.use_case), told]


class Recorder:
    """A Router's stand-in towards its host: the same event methods, each written down before it is passed on.

    What it keeps in memory lives as long as the module's own objects; the file grows by some 16 bytes an event.
    """

    def __init__(
        self, router_class, path, host, *, seed, routers, zone, use_cases, accounts, permits, lawbook, now=0, about=""
    ):
        self.names, self.use_cases = RecordedObjects(), list(use_cases)
        self.recording_host = RecordingHost(self.names, host)
        self.encoder, self.file = msgspec.msgpack.Encoder(), gzip.open(path, "wb", compresslevel=3)
        self._put(
            Head(
                seed,
                routers,
                zone,
                now,
                [asdict(c) for c in use_cases],
                [asdict(a) for a in accounts],
                asdict(permits),
                asdict(lawbook),
                about,
            )
        )
        self.router = router_class(
            self.recording_host,
            seed=seed,
            routers=routers,
            zone=zone,
            use_cases=use_cases,
            accounts=accounts,
            permits=permits,
            lawbook=lawbook,
            now=now,
        )

    def __getattr__(self, word):
        return getattr(self.router, word)  # what the host reads of the module: workers, questions

    def _put(self, what):
        raw = self.encoder.encode(what)
        self.file.write(len(raw).to_bytes(4, "little") + raw)

    def _event(self, word, now, given, *args):
        getattr(self.router, word)(now, *args)
        self._put(Step(word, now, given, self.recording_host.take_actions()))

    def listed(self, now, endpoints):
        self._event("listed", now, [[self.names.endpoints.of(b), asdict(b)] for b in endpoints], endpoints)

    def told(self, now, endpoints):
        self._event(
            "told",
            now,
            [[self.names.endpoints.of(b), b.heard and asdict(b.heard), b.trial] for b in endpoints],
            endpoints,
        )

    def arrived(self, now, view):
        self._event("arrived", now, [self.names.views.of(view), *_view_fields(view, self.use_cases)], view)

    def first_token(self, now, view, attempt):
        self._event("first_token", now, [self.names.views.of(view), self.names.attempts.of(attempt)], view, attempt)

    def outcome(self, now, view, attempt, outcome, final, kept, report):
        self._event(
            "outcome",
            now,
            [
                self.names.views.of(view),
                self.names.attempts.of(attempt),
                outcome,
                final,
                kept,
                report and asdict(report),
            ],
            view,
            attempt,
            outcome,
            final,
            kept,
            report,
        )

    def place(self, now, view, endpoint, held):
        self._event(
            "place", now, [self.names.views.of(view), self.names.endpoints.of(endpoint), held], view, endpoint, held
        )

    def left(self, now, view):
        self._event("left", now, [self.names.views.of(view)], view)

    def probed(self, now, endpoint, outcome, report):
        self._event(
            "probed",
            now,
            [self.names.endpoints.of(endpoint), outcome, report and asdict(report)],
            endpoint,
            outcome,
            report,
        )

    def reminded(self, now, what):
        self._event("reminded", now, [self.names.notes.of(what)], what)

    def close(self):
        self.file.close()


def read(path):
    """(Head, steps one by one). Raises ValueError on what is no record of this version; a cut end is passed over."""

    def steps(file):
        decoder = msgspec.msgpack.Decoder(Step)
        while (raw := _piece(file)) is not None:
            yield decoder.decode(raw)

    file = gzip.open(path, "rb")
    try:
        head = msgspec.msgpack.decode(_piece(file) or b"", type=Head)
    except (msgspec.MsgspecError, OSError) as fault:
        raise ValueError(f"{path}: no record of module events: {fault}") from fault
    if head.v != VERSION:
        raise ValueError(f"{path}: version {head.v}; this program reads {VERSION}")
    return head, steps(file)


def _piece(file):
    try:
        size = int.from_bytes(file.read(4), "little")
        raw = file.read(size)
    except EOFError:  # its writer was killed
        return None
    return raw if size and len(raw) == size else None
