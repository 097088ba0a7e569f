"""Records of the decision module's events and actions, and their replay through any text of the module. Pure but for files.

A record holds each call of the Router's event methods with plain arguments (boxes, slips and sends by number) and each
action that followed. Replaying makes the calls again and compares the actions one by one. Only the recorder stands
between host and module, and only where one is asked for: without it nothing is added to the decision path.
"""
import gzip
import heapq
import importlib.util
import subprocess
import sys
import time
from collections import Counter, defaultdict
from dataclasses import asdict, fields
from pathlib import Path
from weakref import WeakKeyDictionary

import msgspec

from ramppulley import door

VERSION = 1
EVENTS = ("listed", "arrived", "first_token", "outcome", "place", "left", "probed", "reminded")


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


class _Numbers:
    """Objects to the numbers by which a record names them, in the order of their first use.

    A recorder forgets what the module has forgotten; a replay keeps all, to find them by number.
    """

    def __init__(self, keep):
        self.numbers, self.count, self.kept = WeakKeyDictionary(), 0, [] if keep else None

    def of(self, thing):
        if thing not in self.numbers:
            self.numbers[thing], self.count = self.count, self.count + 1
            if self.kept is not None:
                self.kept.append(thing)
        return self.numbers[thing]


class _Names:
    """How a recorder and a replay name the module's objects alike."""

    def __init__(self, keep=False):
        self.boxes, self.slips, self.sends, self.notes = (_Numbers(keep) for _ in range(4))

    def action(self, word, given):
        if word == "send":
            slip, box, time_out, send = given
            return [word, self.slips.of(slip), self.boxes.of(box), time_out, self.sends.of(send)]
        if word == "withdraw":
            return [word, self.slips.of(given[0]), self.sends.of(given[1])]
        if word == "remind":
            return [word, given[0], self.notes.of(given[1])]
        if word == "probe":
            return [word, self.boxes.of(given[0])]
        if word == "hold_place":
            return [word, self.slips.of(given[0]), self.boxes.of(given[1])]
        if word in ("let_go", "scrap"):
            return [word, self.slips.of(given[0])]
        if word == "turn_back":
            return [word, self.slips.of(given[0]), given[1]]
        return [word, *given]


class _Ears:
    """Stands between the module and its host, writes each action down and passes it on."""

    def __init__(self, names, host=None):
        self.names, self.host, self.heard = names, host, []

    def __getattr__(self, word):
        def act(*given):
            self.heard.append(self.names.action(word, given))
            if self.host is not None:
                return getattr(self.host, word)(*given)
        return act

    def taken(self):
        heard, self.heard = self.heard, []
        return heard


def _slip_of(slip, use_cases):
    told = {f.name: getattr(slip, f.name) for f in fields(slip) if f.name != "use_case"}
    return [use_cases.index(slip.use_case), told]


class Recorder:
    """A Router's stand-in towards its host: the same event methods, each written down before it is passed on.

    What it keeps in memory lives as long as the module's own objects; the file grows by some 16 bytes an event.
    """

    def __init__(self, router_class, path, host, *, seed, routers, zone, use_cases, accounts, permits, lawbook, now=0,
                 about=""):
        self.names, self.use_cases = _Names(), list(use_cases)
        self.ears = _Ears(self.names, host)
        self.encoder, self.file = msgspec.msgpack.Encoder(), gzip.open(path, "wb", compresslevel=3)
        self._put(Head(seed, routers, zone, now, [asdict(c) for c in use_cases], [asdict(a) for a in accounts],
                       asdict(permits), asdict(lawbook), about))
        self.router = router_class(self.ears, seed=seed, routers=routers, zone=zone, use_cases=use_cases,
                                   accounts=accounts, permits=permits, lawbook=lawbook, now=now)

    def __getattr__(self, word):
        return getattr(self.router, word)       # what the host reads of the module: workers, questions

    def _put(self, what):
        raw = self.encoder.encode(what)
        self.file.write(len(raw).to_bytes(4, "little") + raw)

    def _event(self, word, now, given, *args):
        getattr(self.router, word)(now, *args)
        self._put(Step(word, now, given, self.ears.taken()))

    def listed(self, now, boxes):
        self._event("listed", now, [[self.names.boxes.of(b), asdict(b)] for b in boxes], boxes)

    def arrived(self, now, slip):
        self._event("arrived", now, [self.names.slips.of(slip), *_slip_of(slip, self.use_cases)], slip)

    def first_token(self, now, slip, send):
        self._event("first_token", now, [self.names.slips.of(slip), self.names.sends.of(send)], slip, send)

    def outcome(self, now, slip, send, outcome, final, kept, report):
        self._event("outcome", now, [self.names.slips.of(slip), self.names.sends.of(send), outcome, final, kept,
                                     report and asdict(report)], slip, send, outcome, final, kept, report)

    def place(self, now, slip, box, held):
        self._event("place", now, [self.names.slips.of(slip), self.names.boxes.of(box), held], slip, box, held)

    def left(self, now, slip):
        self._event("left", now, [self.names.slips.of(slip)], slip)

    def probed(self, now, box, outcome, report):
        self._event("probed", now, [self.names.boxes.of(box), outcome, report and asdict(report)], box, outcome, report)

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
    except EOFError:                    # its writer was killed
        return None
    return raw if size and len(raw) == size else None


class Difference(Exception):
    """The first step whose actions are not those of the record."""

    def __init__(self, number, step, actions, state, path=""):
        at = next((i for i, (a, b) in enumerate(zip(step.actions, actions)) if a != b),
                  min(len(step.actions), len(actions)))
        self.number, self.step, self.actions, self.state = number, step, actions, state
        super().__init__(
            f"{Path(path).name} step {number}, {step.event} at {step.now}, given {step.given}: action {at} was "
            f"{step.actions[at] if at < len(step.actions) else 'none'}, is now "
            f"{actions[at] if at < len(actions) else 'none'}; {state}")


def _state(router):
    """What stands around a difference, in few words."""
    return (f"{len(router.questions)} questions, {len(router.desk.first)} + {len(router.desk.further)} in line, "
            f"{sum(bool(w.doubted) for w in router.workers.values())} of {len(router.workers)} workers doubted")


class _Player:
    """One record on its way through a text of the module."""

    def __init__(self, path, router_class):
        head, self.steps = read(path)
        self.path, self.names = path, _Names(keep=True)
        self.cases, self.boxes, self.ears = [door.UseCase(**c) for c in head.use_cases], {}, _Ears(self.names)
        self.router = router_class(
            self.ears, seed=head.seed, routers=head.routers, zone=head.zone, use_cases=self.cases,
            accounts=[door.Account(**a) for a in head.accounts], permits=door.Permits(**head.permits),
            lawbook=door.Lawbook(**head.lawbook), now=head.now)

    def play(self, number, step, compare):
        """Nanoseconds of CPU of one step; raises Difference."""
        args = _args(step, self.names, self.boxes, self.cases)
        call, began = getattr(self.router, step.event), time.process_time_ns()
        call(step.now, *args)
        spent = time.process_time_ns() - began
        actions = self.ears.taken()
        if compare and actions != step.actions:
            raise Difference(number, step, actions, _state(self.router), self.path)
        return spent


def replay(path, router_class, compare=True):
    """Plays a record, or all of a folder by their times in one process, through a text of the module.

    Raises Difference at the first step that is not the same. Returns {event: (times, seconds of CPU)}; CPU is the module's
    alone, the comparing is not in it.
    """
    paths = sorted(Path(path).glob("*.rec")) if Path(path).is_dir() else [path]
    if not paths:
        raise ValueError(f"{path}: no record in this folder")
    players, spent, times = [_Player(one, router_class) for one in paths], defaultdict(int), Counter()

    def line(who):
        return ((step.now, who, number, step) for number, step in enumerate(players[who].steps))

    for _, who, number, step in heapq.merge(*map(line, range(len(players))), key=lambda told: told[:3]):
        spent[step.event] += players[who].play(number, step, compare)
        times[step.event] += 1
    return {event: (times[event], spent[event] / 1e9) for event in times}


def _args(step, names, boxes, cases):
    """A step's plain arguments as the module's objects."""
    given, event = step.given, step.event
    if event == "listed":
        found = []
        for number, told in given:
            box = boxes.get(number)
            if box is None:
                box = boxes[number] = door.Box(**told)
                names.boxes.of(box)
            for key, value in told.items():
                setattr(box, key, value)
            found.append(box)
        return [found]
    if event == "arrived":
        slip = door.Slip(cases[given[1]], **given[2])
        names.slips.of(slip)
        return [slip]
    if event == "reminded":
        return [names.notes.kept[given[0]]]
    if event == "probed":
        return [names.boxes.kept[given[0]], given[1], given[2] and door.Report(**given[2])]
    slip = names.slips.kept[given[0]]
    if event == "left":
        return [slip]
    if event == "place":
        return [slip, names.boxes.kept[given[1]], given[2]]
    send = names.sends.kept[given[1]]
    if event == "first_token":
        return [slip, send]
    return [slip, send, *given[2:5], given[5] and door.Report(**given[5])]


def text_of(path):
    """The Router of another text of the module, from its rules.py; with the parts.py beside it if there is one."""
    path, name = Path(path), "ramppulley.parts"
    now, beside = sys.modules.get(name), path.with_name("parts.py")
    try:
        if beside.exists():
            sys.modules[name] = _module("ramppulley_other_parts", beside)
        return _module("ramppulley_other_rules", path).Router
    finally:
        if now is not None:
            sys.modules[name] = now


def text_at(commit, folder):
    """The Router as it stood at a commit of this repository; its files are put into the folder."""
    for name in ("rules.py", "parts.py"):
        told = subprocess.run(["git", "-C", Path(__file__).parent, "show", f"{commit}:ramppulley/{name}"],
                              capture_output=True, timeout=20)
        if told.returncode:
            raise ValueError(f"{commit}: {told.stderr.decode(errors='replace').strip()}")
        Path(folder, name).write_bytes(told.stdout)
    return text_of(Path(folder, "rules.py"))


def _module(name, path):
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
