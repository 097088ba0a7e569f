"""Tests of the cost grid, of records taken by the bench adapter, and of other versions of the decision module."""

import csv
import io
from pathlib import Path

import pytest

from ramppulley import rules
from ramppulley.check import replay
from ramppulley.drill import wire
from ramppulley.load import grid, tap
from ramppulley.service import events

SMALL = grid.Size(workers=12, routers=2, questions=40, load=2.0)


def test_a_made_day_has_every_trouble_and_leaves_nothing_behind(tmp_path):
    path = grid.record(SMALL, tmp_path / "events.rec")
    _, steps = events.read(path)
    steps = list(steps)
    outcomes = {step.given[2] for step in steps if step.event == "outcome"}
    assert {"read", "done", "no_room", "too_slow"} <= outcomes
    assert sum(step.event == "listed" for step in steps) == 2
    final_answers = sum(a[0] in ("turn_back", "scrap") for step in steps for a in step.actions) + sum(
        step.event == "outcome" and step.given[3] for step in steps
    )
    assert final_answers == SMALL.questions


def test_one_seed_gives_one_record(tmp_path):
    one, two = (list(events.read(grid.record(SMALL, tmp_path / name))[1]) for name in ("one", "two"))
    assert one == two


def test_a_text_that_decides_otherwise_is_no_cell_of_the_grid(tmp_path):
    text = Path(rules.__file__).read_text()
    for setting, changed_setting in (
        ("SHORT_LIST_WORKERS = 5 ", "SHORT_LIST_WORKERS = 1 "),
        ("DRAWN_WORKERS = 8 ", "DRAWN_WORKERS = 1 "),
    ):
        assert text.count(setting) == 1
        text = text.replace(setting, changed_setting)
    (tmp_path / "rules.py").write_text(text)
    path = grid.record(SMALL, tmp_path / "events.rec")
    with pytest.raises(replay.Difference, match=r"events\.rec step \d+"):
        grid.measure(SMALL, path, {"other": replay.text_of(tmp_path / "rules.py")}, 1)


def test_another_text_brings_its_own_parts_and_leaves_ours_alone(tmp_path):
    parts = Path(rules.__file__).with_name("parts.py").read_text()
    (tmp_path / "parts.py").write_text(parts + "\n\ndef median(figures):\n    return 12345\n")
    (tmp_path / "rules.py").write_text(Path(rules.__file__).read_text())
    other_router = replay.text_of(tmp_path / "rules.py")
    assert other_router.on_ended.__globals__["median"]([1]) == 12345
    assert rules.median([1]) == 1


def test_a_commit_that_is_not_there_is_told(tmp_path):
    with pytest.raises(ValueError, match="0000000"):
        replay.text_at("0000000", tmp_path)


def test_the_grid_writes_a_row_for_each_kind_and_a_chart(tmp_path):
    printed = []
    means = grid.run(
        tmp_path,
        {"now": rules.Router, "again": rules.Router},
        workers=[12],
        routers=[1, 8],
        questions=20,
        rounds=1,
        say=printed.append,
    )
    rows = list(csv.DictReader((tmp_path / "cost.csv").open()))
    assert {(row["routers"], row["text"]) for row in rows} == {
        ("1", "now"),
        ("1", "again"),
        ("8", "now"),
        ("8", "again"),
    }
    assert {"arrived", "outcome", "reminded"} <= {row["event"] for row in rows}
    assert len(means) == 4 and len(printed) == 2 and "ratio" in printed[0]
    assert (tmp_path / "cost.svg").read_text().startswith("<?xml")


PROFILE = """{"NInstances": 2, "MyZone": 0, "Rules": {"DrainGraceS": 2, "ColdFrom": 0.3, "ColdS": 14, "FallMultiple": 4,
"FallS": 3}, "Bounds": {"SendCap": 4, "Cancel": true}, "Specifics": {"RoleByKind": ["read", "write"], "MemoryTokens":
[50000, 50000], "ReleaseS": 0.3, "TokenAimS": [0.05]}, "Lanes": [{"AimS": 1.5, "GiveUpS": 6, "Credit": 1,
"Effect": "free"}], "Report": {"How": "none"}, "ResolutionS": 0.004}""".replace("\n", " ")


def bench_input(names):
    """Bench input lines for two routers: a list of workers, then requests that are prefilled and decoded."""
    lines = ["BATCH 0.0"] + [f"POWER_ON {name} {seed} {PROFILE}" for seed, name in enumerate(names)]
    for name in names:
        lines += [f"MEMBERSHIP {name} 1 full 4"] + [
            f"ENTRY SERVING 0 w{number} 1 0 {number % 2} -" for number in range(4)
        ]
    lines.append("COMMIT")
    for number in range(6):
        lines += [
            f"BATCH {0.1 + number / 10:.1f}",
            f"WORK_ITEM {names[number % 2]} q{number} 100 0 s{number} 0 - 400 0 - 6 0",
            "COMMIT",
        ]
    return lines


def test_a_tapped_adapter_answers_the_same_and_its_records_replay(tmp_path):
    expected, recorded = io.StringIO(), io.StringIO()
    wire.serve(iter(bench_input(["a", "b"])), expected)
    tap.serve(iter(bench_input(["a", "b"])), recorded, tmp_path)
    assert expected.getvalue() == recorded.getvalue() and "ATTEMPT a q0" in expected.getvalue()
    assert [path.name for path in sorted(tmp_path.iterdir())] == ["000-a.rec", "001-b.rec"]
    costs = replay.replay(tmp_path, rules.Router)
    assert costs["arrived"][0] == 6 and costs["listed"][0] == 2


def test_records_are_closed_when_the_wire_breaks_off(tmp_path):
    with pytest.raises(wire.Malformed):
        tap.serve(iter(bench_input(["a", "b"])[:-1]), io.StringIO(), tmp_path)
    assert replay.replay(tmp_path, rules.Router)["arrived"][0] == 6


def test_an_empty_folder_is_no_record(tmp_path):
    with pytest.raises(ValueError, match="no record"):
        replay.replay(tmp_path, rules.Router)
