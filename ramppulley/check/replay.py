"""Replays recorded events of the policy module through any version of it and compares the actions.

Used to show that a change of the module does not change its actions, and to measure its CPU by kind of event.
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
    """The first step whose actions differ from the record."""

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


def _summary_of(router):
    """A summary of the router's state; older versions of the module have other attribute names."""
    requests = router.requests if hasattr(router, "requests") else router.questions
    queue = router.admission if hasattr(router, "admission") else router.desk
    new = queue.new_requests if hasattr(queue, "new_requests") else queue.first
    retried = queue.retried_requests if hasattr(queue, "retried_requests") else queue.further
    suspect = sum(bool(w.suspect if hasattr(w, "suspect") else w.doubted) for w in router.workers.values())
    return (
        f"{len(requests)} requests, {len(new)} + {len(retried)} in line, "
        f"{suspect} of {len(router.workers)} workers suspect"
    )


class _RecordPlayer:
    """Replays one record through a version of the module."""

    def __init__(self, path, router_class):
        header, self.steps = read(path)
        self.path, self.objects = path, RecordedObjects(keep=True)
        self.request_classes = [door.RequestClass(**fields) for fields in header.use_cases]
        self.endpoints = {}
        self.recording_host = RecordingHost(self.objects)
        self.router = router_class(
            self.recording_host,
            seed=header.seed,
            routers=header.routers,
            zone=header.zone,
            use_cases=self.request_classes,
            accounts=[door.TenantShare(**a) for a in header.accounts],
            permits=door.Capabilities(**header.permits),
            lawbook=door.PolicySettings(**header.lawbook),
            now=header.now,
        )

    def play(self, number, step, compare):
        """Replays one step: its CPU time in nanoseconds. Raises Difference."""
        args = _arguments_of(step, self.objects, self.endpoints, self.request_classes)
        handler, started = getattr(self.router, step.event), time.process_time_ns()
        handler(step.now, *args)
        cpu_ns = time.process_time_ns() - started
        actions = self.recording_host.take_actions()
        if compare and actions != step.actions:
            raise Difference(number, step, actions, _summary_of(self.router), self.path)
        return cpu_ns


def replay(path, router_class, compare=True):
    """Replays a record, or all records of a folder in one process, merged by time, through a version.

    Raises Difference at the first step that differs. Returns {event: (count, seconds of CPU)}; the CPU is of the module
    alone, without the comparison.
    """
    paths = sorted(Path(path).glob("*.rec")) if Path(path).is_dir() else [path]
    if not paths:
        raise ValueError(f"{path}: no record in this folder")
    players, cpu_ns, counts = [_RecordPlayer(record, router_class) for record in paths], defaultdict(int), Counter()

    def steps_of(player):
        return ((step.now, player, number, step) for number, step in enumerate(players[player].steps))

    for _, player, number, step in heapq.merge(*map(steps_of, range(len(players))), key=lambda entry: entry[:3]):
        cpu_ns[step.event] += players[player].play(number, step, compare)
        counts[step.event] += 1
    return {event: (counts[event], cpu_ns[event] / 1e9) for event in counts}


def _arguments_of(step, objects, endpoints, request_classes):  # noqa: C901 - one branch per event
    """The arguments of a step as the module's objects."""
    given, event = step.given, step.event
    if event == "listed":
        listed = []
        for number, fields in given:
            fields["heard"] = _peer_report_of(fields.get("heard"))
            endpoint = endpoints.get(number)
            if endpoint is None:
                endpoint = endpoints[number] = door.Endpoint(**fields)
                objects.endpoints.of(endpoint)
            for key, value in fields.items():
                setattr(endpoint, key, value)
            listed.append(endpoint)
        return [listed]
    if event == "told":
        for number, peer_report, trial in given:
            endpoints[number].heard, endpoints[number].trial = _peer_report_of(peer_report), trial
        return [[endpoints[number] for number, *_ in given]]
    if event == "arrived":
        view = door.RequestView(request_classes[given[1]], **given[2])
        objects.views.of(view)
        return [view]
    if event == "reminded":
        return [objects.notes.objects[given[0]]]
    if event == "probed":
        return [objects.endpoints.objects[given[0]], given[1], given[2] and door.LoadReport(**given[2])]
    view = objects.views.objects[given[0]]
    if event == "left":
        return [view]
    if event == "place":
        return [view, objects.endpoints.objects[given[1]], given[2]]
    attempt = objects.attempts.objects[given[1]]
    if event == "first_token":
        return [view, attempt]
    return [view, attempt, *given[2:5], given[5] and door.LoadReport(**given[5])]


def _peer_report_of(fields):
    return fields and door.PeerReport(**fields)


def text_of(path):
    """The Router class of another version of the module: a rules.py, with the parts.py in its folder if there is one."""
    path, name = Path(path), "ramppulley.parts"
    current, parts_path = sys.modules.get(name), path.with_name("parts.py")
    try:
        if parts_path.exists():
            sys.modules[name] = _load_module("ramppulley_other_parts", parts_path)
        return _load_module("ramppulley_other_rules", path).Router
    finally:
        if current is not None:
            sys.modules[name] = current


def text_at(commit, folder):
    """The Router class at a commit of this repository; its files are written to `folder`."""
    for name in ("rules.py", "parts.py"):
        result = subprocess.run(
            ["git", "-C", Path(__file__).parent, "show", f"{commit}:ramppulley/{name}"], capture_output=True, timeout=20
        )
        if result.returncode:
            raise ValueError(f"{commit}: {result.stderr.decode(errors='replace').strip()}")
        Path(folder, name).write_bytes(result.stdout)
    return text_of(Path(folder, "rules.py"))


def _load_module(name, path):
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
