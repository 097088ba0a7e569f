"""Records of module events played again through any text of the module, action by action.

The regression proof of a change of the module, and its cost by kind of event.
"""

import heapq
import importlib.util
import subprocess
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path

from ramppulley import door
from ramppulley.service.events import RecordedObjects, RecordingHost, read


class Difference(Exception):
    """The first step whose actions are not those of the record."""

    def __init__(self, number, step, actions, state, path=""):
        at = next(
            (i for i, (a, b) in enumerate(zip(step.actions, actions)) if a != b), min(len(step.actions), len(actions))
        )
        self.number, self.step, self.actions, self.state = number, step, actions, state
        super().__init__(
            f"{Path(path).name} step {number}, {step.event} at {step.now}, given {step.given}: action {at} was "
            f"{step.actions[at] if at < len(step.actions) else 'none'}, is now "
            f"{actions[at] if at < len(actions) else 'none'}; {state}"
        )


def _state(router):
    """The router's state at a difference, in few words; an older text of the module has other attribute names."""
    requests = router.requests if hasattr(router, "requests") else router.questions
    queue = router.admission if hasattr(router, "admission") else router.desk
    first = queue.new_requests if hasattr(queue, "new_requests") else queue.first
    further = queue.retried_requests if hasattr(queue, "retried_requests") else queue.further
    suspect = sum(bool(w.suspect if hasattr(w, "suspect") else w.doubted) for w in router.workers.values())
    return (
        f"{len(requests)} requests, {len(first)} + {len(further)} in line, "
        f"{suspect} of {len(router.workers)} workers suspect"
    )


class _Player:
    """One record on its way through a text of the module."""

    def __init__(self, path, router_class):
        head, self.steps = read(path)
        self.path, self.names = path, RecordedObjects(keep=True)
        self.cases, self.endpoints, self.recording_host = (
            [door.RequestClass(**c) for c in head.use_cases],
            {},
            RecordingHost(self.names),
        )
        self.router = router_class(
            self.recording_host,
            seed=head.seed,
            routers=head.routers,
            zone=head.zone,
            use_cases=self.cases,
            accounts=[door.TenantShare(**a) for a in head.accounts],
            permits=door.Capabilities(**head.permits),
            lawbook=door.PolicySettings(**head.lawbook),
            now=head.now,
        )

    def play(self, number, step, compare):
        """Nanoseconds of CPU of one step; raises Difference."""
        args = _args(step, self.names, self.endpoints, self.cases)
        call, began = getattr(self.router, step.event), time.process_time_ns()
        call(step.now, *args)
        spent = time.process_time_ns() - began
        actions = self.recording_host.take_actions()
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


def _args(step, names, endpoints, cases):  # noqa: C901 - one branch an event
    """A step's plain arguments as the module's objects."""
    given, event = step.given, step.event
    if event == "listed":
        found = []
        for number, told in given:
            told["heard"] = _hearsay(told.get("heard"))
            endpoint = endpoints.get(number)
            if endpoint is None:
                endpoint = endpoints[number] = door.Endpoint(**told)
                names.endpoints.of(endpoint)
            for key, value in told.items():
                setattr(endpoint, key, value)
            found.append(endpoint)
        return [found]
    if event == "told":
        for number, told, trial in given:
            endpoints[number].heard, endpoints[number].trial = _hearsay(told), trial
        return [[endpoints[number] for number, *_ in given]]
    if event == "arrived":
        view = door.RequestView(cases[given[1]], **given[2])
        names.views.of(view)
        return [view]
    if event == "reminded":
        return [names.notes.objects[given[0]]]
    if event == "probed":
        return [names.endpoints.objects[given[0]], given[1], given[2] and door.LoadReport(**given[2])]
    view = names.views.objects[given[0]]
    if event == "left":
        return [view]
    if event == "place":
        return [view, names.endpoints.objects[given[1]], given[2]]
    attempt = names.attempts.objects[given[1]]
    if event == "first_token":
        return [view, attempt]
    return [view, attempt, *given[2:5], given[5] and door.LoadReport(**given[5])]


def _hearsay(told):
    return told and door.PeerReport(**told)


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
        told = subprocess.run(
            ["git", "-C", Path(__file__).parent, "show", f"{commit}:ramppulley/{name}"], capture_output=True, timeout=20
        )
        if told.returncode:
            raise ValueError(f"{commit}: {told.stderr.decode(errors='replace').strip()}")
        Path(folder, name).write_bytes(told.stdout)
    return text_of(Path(folder, "rules.py"))


def _module(name, path):
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
