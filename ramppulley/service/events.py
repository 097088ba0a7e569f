"""Recordings of the decision module's events and actions.

A recording holds each call of the Router's event methods with plain arguments (endpoints, request views and attempts by
number) and the actions that followed; `check/replay.py` replays it. The recorder is placed between host and module only
where one is configured: otherwise the decision path has no overhead.
"""

import gzip
from dataclasses import asdict, fields
from weakref import WeakKeyDictionary

import msgspec

VERSION = 1
EVENTS = ("listed", "told", "arrived", "first_token", "outcome", "place", "left", "probed", "reminded")


class Head(msgspec.Struct):
    """Header of a recording: the arguments that the router was created with."""

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
    """One event and the actions that followed it, one entry of a recording."""

    event: str
    now: int
    given: list
    actions: list


class ObjectNumbers:
    """Numbers objects in the order of their first use, as a recording refers to them.

    A recorder holds objects weakly, while the module uses them; a replay keeps all, to look them up by number.
    """

    def __init__(self, keep):
        self.numbers, self.count, self.objects = WeakKeyDictionary(), 0, [] if keep else None

    def of(self, obj):
        if obj not in self.numbers:
            self.numbers[obj], self.count = self.count, self.count + 1
            if self.objects is not None:
                self.objects.append(obj)
        return self.numbers[obj]


class RecordedObjects:
    """Numbers the module's objects in the same way for a recorder and a replay."""

    def __init__(self, keep=False):
        self.endpoints, self.views, self.attempts, self.notes = (ObjectNumbers(keep) for _ in range(4))

    def action(self, method, args):
        if method == "send":
            view, endpoint, timeout, attempt = args
            return [method, self.views.of(view), self.endpoints.of(endpoint), timeout, self.attempts.of(attempt)]
        if method == "withdraw":
            return [method, self.views.of(args[0]), self.attempts.of(args[1])]
        if method == "remind":
            return [method, args[0], self.notes.of(args[1])]
        if method == "probe":
            return [method, self.endpoints.of(args[0])]
        if method == "hold_place":
            return [method, self.views.of(args[0]), self.endpoints.of(args[1])]
        if method in ("let_go", "scrap"):
            return [method, self.views.of(args[0])]
        if method == "turn_back":
            return [method, self.views.of(args[0]), args[1]]
        return [method, *args]


class RecordingHost:
    """Host proxy: records each action of the module and passes it on to the host, if there is one."""

    def __init__(self, objects, host=None):
        self.objects, self.host, self.actions = objects, host, []

    def __getattr__(self, method):
        def act(*args):
            self.actions.append(self.objects.action(method, args))
            if self.host is not None:
                return getattr(self.host, method)(*args)

        return act

    def take_actions(self):
        actions, self.actions = self.actions, []
        return actions


def _view_fields(view, use_cases):
    values = {f.name: getattr(view, f.name) for f in fields(view) if f.name != "use_case"}
    return [use_cases.index(view.use_case), values]


class Recorder:
    """Router proxy with the same event methods: passes each event on and writes it with the resulting actions.

    Its memory use is bounded by the module's own objects; the file grows by about 16 bytes per event.
    """

    def __init__(
        self, router_class, path, host, *, seed, routers, zone, use_cases, accounts, permits, lawbook, now=0, about=""
    ):
        self.objects, self.use_cases = RecordedObjects(), list(use_cases)
        self.recording_host = RecordingHost(self.objects, host)
        self.encoder, self.file = msgspec.msgpack.Encoder(), gzip.open(path, "wb", compresslevel=3)
        self._write(
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

    def __getattr__(self, name):
        return getattr(self.router, name)  # attributes that the host reads, such as workers and requests

    def _write(self, entry):
        frame = self.encoder.encode(entry)
        self.file.write(len(frame).to_bytes(4, "little") + frame)

    def _record(self, method, now, recorded_args, *args):
        getattr(self.router, method)(now, *args)
        self._write(Step(method, now, recorded_args, self.recording_host.take_actions()))

    def listed(self, now, endpoints):
        self._record("listed", now, [[self.objects.endpoints.of(e), asdict(e)] for e in endpoints], endpoints)

    def told(self, now, endpoints):
        self._record(
            "told",
            now,
            [[self.objects.endpoints.of(e), e.heard and asdict(e.heard), e.trial] for e in endpoints],
            endpoints,
        )

    def arrived(self, now, view):
        self._record("arrived", now, [self.objects.views.of(view), *_view_fields(view, self.use_cases)], view)

    def first_token(self, now, view, attempt):
        self._record(
            "first_token", now, [self.objects.views.of(view), self.objects.attempts.of(attempt)], view, attempt
        )

    def outcome(self, now, view, attempt, outcome, final, kept, report):
        self._record(
            "outcome",
            now,
            [
                self.objects.views.of(view),
                self.objects.attempts.of(attempt),
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
        self._record(
            "place", now, [self.objects.views.of(view), self.objects.endpoints.of(endpoint), held], view, endpoint, held
        )

    def left(self, now, view):
        self._record("left", now, [self.objects.views.of(view)], view)

    def probed(self, now, endpoint, outcome, report):
        self._record(
            "probed",
            now,
            [self.objects.endpoints.of(endpoint), outcome, report and asdict(report)],
            endpoint,
            outcome,
            report,
        )

    def reminded(self, now, note):
        self._record("reminded", now, [self.objects.notes.of(note)], note)

    def close(self):
        self.file.close()


def read(path):
    """(Head, iterator of steps). Raises ValueError unless it is a recording of this version; a truncated end is ignored."""

    def steps(file):
        decoder = msgspec.msgpack.Decoder(Step)
        while (frame := _read_frame(file)) is not None:
            yield decoder.decode(frame)

    file = gzip.open(path, "rb")
    try:
        head = msgspec.msgpack.decode(_read_frame(file) or b"", type=Head)
    except (msgspec.MsgspecError, OSError) as fault:
        raise ValueError(f"{path}: no record of module events: {fault}") from fault
    if head.v != VERSION:
        raise ValueError(f"{path}: version {head.v}; this program reads {VERSION}")
    return head, steps(file)


def _read_frame(file):
    try:
        size = int.from_bytes(file.read(4), "little")
        frame = file.read(size)
    except EOFError:  # the process that wrote it was killed
        return None
    return frame if size and len(frame) == size else None
