"""Tests of the bench adapter with hand-written batches."""

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from ramppulley import door
from ramppulley.drill import wire
from ramppulley.profile import Profile

PROFILE = {
    "Bounds": {"Cancel": True, "SendCap": 4, "MaxRetryAfterS": 1.0, "RetryAfter": True},
    "Kinds": ["r", "w"],
    "Lanes": [{"AimS": 1.2, "Credit": 1.0, "Effect": "free", "GiveUpS": 6.0}],
    "MyZone": 0,
    "NInstances": 1,
    "Report": {"Fields": ["lat_ms", "x0", "x1"], "How": "answers"},
    "ResolutionS": 0.004,
    "NewKey": {"a": 1},
    "Rules": {"ColdFrom": 0.28, "ColdS": 14.0, "DrainGraceS": 2.0, "FallMultiple": 4.0, "FallS": 3.0},
    "Specifics": {"RoleByKind": ["read", "write"], "ReleaseS": 0.3, "TokenAimS": [0.06]},
}
START = (
    f"POWER_ON router_0 7 {json.dumps(PROFILE)}\nMEMBERSHIP router_0 1 disk 2\n"
    "ENTRY SERVING 0 10.0.0.1:5000 1 0 0 -\nENTRY SERVING 0 10.0.0.2:5000 1 0 1 -\n"
)
REQUEST = "WORK_ITEM router_0 q1 256 - abc 0 - 1800 - - 0.9 0\n"


def play(*batches):
    out = io.StringIO()
    text = "".join(f"BATCH {5 + i / 100}\n{batch}COMMIT\n" for i, batch in enumerate(batches))
    wire.serve(io.StringIO(text), out)
    return [reply.splitlines() for reply in out.getvalue().split("NEXT\n")[:-1]]


def attempt_workers(reply):
    return [line.split()[-1] for line in reply if line.startswith("ATTEMPT")]


def test_an_empty_batch_gets_an_empty_reply():
    assert play("") == [[]]


def test_a_question_goes_to_the_reader_and_then_to_the_writer():
    replies = play(START, REQUEST, "FINISHED router_0 q1 0 10.0.0.1:5000 read 0.01 0 0 12.5,0.1,0\n")
    assert attempt_workers(replies[1]) == ["10.0.0.1:5000"] and attempt_workers(replies[2]) == ["10.0.0.2:5000"]


def test_no_room_with_remark_one_means_that_there_is_no_state():
    replies = play(
        START,
        REQUEST,
        "FINISHED router_0 q1 0 10.0.0.1:5000 read 0.01 0 0 -\n",
        "FINISHED router_0 q1 1 10.0.0.2:5000 no_room 0.01 0 1\n",
    )
    assert attempt_workers(replies[3]) == ["10.0.0.1:5000"]


def test_events_on_ended_questions_and_unknown_reminders_are_ignored():
    replies = play(
        START,
        REQUEST + "GONE router_0 q1\n",
        "FINISHED router_0 q1 0 10.0.0.1:5000 undone 0.01 1 - -\nGONE router_0 q1\n"
        "REMINDER router_0 999\nFINISHED router_0 q1 0 10.0.0.1:5000 read 0.01 1 - -\n",
    )
    assert attempt_workers(replies[1]) == ["10.0.0.1:5000"] and not attempt_workers(replies[2])


def test_off_and_on_in_one_batch_forgets_everything():
    replies = play(START, REQUEST, "POWER_OFF router_0\n" + START + "GONE router_0 q1\n")
    assert all("q1" not in line for line in replies[2])


def test_a_worker_missing_from_a_whole_list_is_gone():
    replies = play(START, "MEMBERSHIP router_0 2 snapshot 1\nENTRY SERVING 0 10.0.0.2:5000 1 0 1 -\n", REQUEST)
    assert not attempt_workers(replies[2])


@pytest.mark.parametrize(
    "text,names",
    [
        ("HELLO\n", "HELLO"),
        ("BATCH 5.0\nWORK_ITEM router_0 q1\n", "within a batch"),
        (f"BATCH 5.0\n{START}WORK_ITEM router_0 q1 x - abc 0 - 1 - - 1 0\nCOMMIT\n", "q1 x"),
        (f"BATCH 5.0\n{START}MEMBERSHIP router_0 2 diff 1\nGONE router_0 q1\nCOMMIT\n", "ENTRY"),
    ],
)
def test_malformed_input_is_named(text, names):
    with pytest.raises(wire.Malformed, match=names):
        wire.serve(io.StringIO(text), io.StringIO())


def test_a_fault_in_the_decisions_becomes_one_crash(monkeypatch):
    def broken(*_):
        raise KeyError("oh")

    monkeypatch.setattr(wire.Router, "arrived", broken)
    monkeypatch.setattr(wire, "raised_in_module", lambda fault: True)
    replies = play(START, REQUEST)
    assert replies[1] == ["CRASH router_0 KeyError: 'oh'"]


def profile_with(path, value):
    """PROFILE with one field set; None sets it to null, which counts as absent."""
    profile = json.loads(json.dumps(PROFILE))
    *parents, last = path
    parent = profile
    for key in parents:
        parent = parent[key]
    parent[last] = value
    return profile


@pytest.mark.parametrize(
    "path,value",
    [
        (("DomainType",), "onestage"),
        (("Discovery",), "guessed"),
        (("Specifics", "RoleByKind"), ["read", "rank"]),
        (("Specifics", "RoleByKind"), ["read"]),
        (("Specifics", "ReportX0"), "share of cores that are hot"),
        (("Specifics", "MemoryTokens"), [5]),
        (("Specifics", "ReleaseS"), None),
        (("Specifics", "TokenAimS"), [0.1, 0.1]),
        (("Report", "How"), "carrier"),
        (("Report", "Fields"), ["x0", "zeal"]),
        (("Report",), []),
        (("Lanes",), []),
        (("Lanes", 0, "Effect"), "twice"),
        (("Lanes", 0, "KeyScope"), "rack"),
        (("Lanes", 0, "AimS"), 0),
        (("Lanes", 0, "Credit"), 0),
        (("Lanes", 0, "GiveUpS"), "6"),
        (("Bounds", "SendCap"), 0),
        (("Bounds", "Cancel"), "no"),
        (("Rules", "FallMultiple"), 0),
        (("Rules", "ColdFrom"), 0),
        (("Rules", "FallS"), float("nan")),
        (("NInstances",), 0),
    ],
)
def test_settings_without_a_meaning_here_end_the_start_with_one_line_that_names_the_field(path, value):
    name = "settings" + "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
    with pytest.raises(wire.Malformed) as caught:
        play(START.replace(json.dumps(PROFILE), json.dumps(profile_with(path, value))))
    assert str(caught.value).startswith(name) and "\n" not in str(caught.value) and len(str(caught.value)) < 200


def test_the_adapter_ends_with_that_line_and_a_status():
    text = (
        f"BATCH 5\n{START.replace(json.dumps(PROFILE), json.dumps(profile_with(('Report', 'How'), 'carrier')))}COMMIT\n"
    )
    completed = subprocess.run(
        [sys.executable, "-m", "ramppulley.drill"],
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
        cwd=Path(__file__).parent.parent,
    )
    assert (
        completed.returncode == 2
        and completed.stderr.count("\n") == 1
        and "settings.Report.How: 'carrier'" in completed.stderr
    )


def test_a_reports_figures_are_taken_by_the_meaning_that_the_settings_give_them():
    settings_object = profile_with(
        ("Specifics", "ReportX0"), "thousands of prompt tokens waiting to be read or fetched"
    )
    settings_object["Specifics"]["ReportX1"] = "share of memory that is held"
    assert Profile(settings_object).report({"x0": 1.5, "x1": 0.25}) == door.LoadReport(
        memory_share=0.25, tokens_waiting=1500.0
    )


@pytest.mark.parametrize(
    "report", ["-1,-0.5,-3", "noise,x,", "nan,inf,-inf", "1e308,1e308,1e308", "-", "", "1", "1,2,3,4,5"]
)
def test_an_absurd_or_partial_report_harms_nothing(report):
    probed = "".join(f"SAMPLED router_0 pass {worker} 0.1 {report}\n" for worker in ("10.0.0.1:5000", "10.0.0.9:1"))
    replies = play(
        START,
        probed,
        REQUEST,
        f"FINISHED router_0 q1 0 10.0.0.1:5000 read 0.01 0 0 {report}\n",
        REQUEST.replace("q1", "q2"),
    )
    assert attempt_workers(replies[3]) == ["10.0.0.2:5000"] and attempt_workers(replies[4]) == ["10.0.0.1:5000"]
    assert Profile(PROFILE).report({"lat_ms": True, "x0": -0.5, "x1": 10**400}) == door.LoadReport()


def test_an_entry_of_a_kind_that_the_settings_do_not_name_is_passed_over_and_said():
    replies = play(
        START,
        "MEMBERSHIP router_0 2 snapshot 2\nENTRY SERVING 0 10.0.0.1:5000 1 0 0 -\n"
        "ENTRY SERVING 0 10.0.0.2:5000 1 0 2 -\n",
        REQUEST,
    )
    assert "kind 2" in " ".join(replies[1]) and not attempt_workers(replies[2])


def test_a_list_told_on_request_is_asked_for_and_again_after_a_failure():
    start = START.replace(json.dumps(PROFILE), json.dumps(profile_with(("Discovery",), "on_request")))
    replies = play(
        start,
        "MEMBERSHIP router_0 1 error 0\n",
        "REMINDER router_0 1\n",
        "MEMBERSHIP router_0 1 error 0\n",
        "MEMBERSHIP router_0 2 diff 1\nENTRY DELETED 0 10.0.0.2:5000 1 0 1 -\n",
    )
    assert replies[0] == ["SUBSCRIBE router_0 1"] and replies[2] == ["SUBSCRIBE router_0 1"]
    assert [replies[n][0].split()[0:4:3] for n in (1, 3)] == [["TIMER", "0.0500"], ["TIMER", "0.1000"]]
    assert not any("SUBSCRIBE" in line for line in play(START)[0] + replies[4])
