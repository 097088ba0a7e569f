"""Commands that play faults on loopback: day and storm."""

import json
from pathlib import Path
from typing import Annotated

import typer

from ramppulley.cli.app import app, fail
from ramppulley.cli.serving import policy_of
from ramppulley.daemon import json5


@app.command()
def day(
    file: Path,
    json_: Annotated[bool, typer.Option("--json", help="the verdict as JSON")] = False,
    policy: Annotated[str, typer.Option(help="one, or several with commas between: the same day for each")] = "module",
):
    """Play a scripted day on loopback and judge it by what crossed the sockets."""
    from ramppulley.load.day import Day
    from ramppulley.load.report import report, run_days

    try:
        told = json5.read(file, Day)
    except OSError as fault:
        fail(f"{file}: {fault.strerror}")
    except json5.InvalidFileError as fault:
        fail(str(fault))
    policies = policy.split(",")
    for name in policies:
        policy_of(name)
    verdicts = run_days(told, policies, lambda text: typer.echo(text, err=True))
    report(verdicts, json_)
    if any(v["breaches"] or v["lost"] for v in verdicts if v["policy"] == "module"):
        raise typer.Exit(1)


def seeds_of(text: str) -> list[int]:
    """`1,4` or `1-20`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last) + 1)) if last else [int(seed) for seed in first.split(",")]


def switched(word: str, as_told, when_on, when_off) -> list:
    """What a part of a scenario is played with: as its file says, on, off, or both in turn."""
    return {"": [as_told], "on": [when_on], "off": [when_off], "both": [when_off, when_on]}[word]


def variants(told, routers: str, subset: str, signals: str, turns: str) -> list:
    """The scenario in each combination that the options ask for; raises ValueError or KeyError."""
    from ramppulley.load.storm import Storm

    sizes = [int(size) for size in routers.split(",")] if routers else [told.routers]
    usual_subset = told.subset or Storm.model_fields["subset"].default
    return [
        Storm.model_validate(told.model_dump() | {"routers": size, "subset": part, "signals": talk, "turns": take})
        for size in sizes
        for part in switched(subset, told.subset, usual_subset, None)
        for talk in switched(signals, told.signals, True, False)
        for take in switched(turns, told.turns, True, False)
    ]


def on_or_off(value) -> str:
    return "on" if value else "off"


def replay_command(file: Path, seed: int, one, mutant: str) -> str:
    """The command that plays this very run again."""
    command = (
        f"./rp storm {file} --seeds {seed} --routers {one.routers} --subset {on_or_off(one.subset)} "
        f"--signals {on_or_off(one.signals)} --turns {on_or_off(one.turns)}"
    )
    return f"{command} --mutant {mutant}" if mutant else command


def show_row(row: dict, as_json: bool) -> None:
    """One line on standard output."""
    if as_json:
        typer.echo(json.dumps(row))
    else:
        typer.echo(" ".join(f"{key} {value}" for key, value in row.items() if key not in ("course", "version")))


@app.command()
def storm(
    file: Path,
    seeds: Annotated[str, typer.Option(help="several with commas between, or FIRST-LAST; else the file's")] = "",
    routers: Annotated[str, typer.Option(help="instead of the file's number, several with commas between")] = "",
    subset: Annotated[str, typer.Option(help="on, off, or both on the same seeds; else as the file says")] = "",
    signals: Annotated[str, typer.Option(help="on, off, or both on the same seeds; else as the file says")] = "",
    turns: Annotated[str, typer.Option(help="on, off, or both on the same seeds; else as the file says")] = "",
    out: Annotated[Path | None, typer.Option(help="folder for storm.json, .csv and .svg")] = None,
    keep: Annotated[Path | None, typer.Option(help="folder that keeps the routers' settings, logs, disks")] = None,
    mutant: Annotated[str, typer.Option(help="break all routers on purpose in one way")] = "",
    json_: Annotated[bool, typer.Option("--json", help="a line of JSON each")] = False,
):
    """Run many router processes on loopback with faults between them, and judge them by sockets, engines and disks."""
    from ramppulley.load import stormreport
    from ramppulley.load.storm import Storm
    from ramppulley.standin.mutants import MUTANTS

    if mutant and mutant not in MUTANTS:
        fail(f"no mutant {mutant!r}: {', '.join(MUTANTS)}")
    try:
        told = json5.read(file, Storm)
        numbers = seeds_of(seeds or str(told.seed))
        runs = variants(told, routers, subset, signals, turns)
    except OSError as fault:
        fail(f"{file}: {fault.strerror}")
    except json5.InvalidFileError as fault:
        fail(str(fault))
    except (ValueError, KeyError) as fault:
        fail(f"{file}: {fault}")
    rows = []
    for number in numbers:
        for one in runs:
            row = stormreport.verdict(one, number, lambda text: typer.echo(text, err=True), keep, mutant)
            rows.append(row)
            show_row(row, json_)
            if not stormreport.good(row):
                typer.echo(f"NOT GOOD: replay it by {replay_command(file, number, one, mutant)}", err=True)
    if out:
        stormreport.written(rows, out)
    if not all(map(stormreport.good, rows)):
        raise typer.Exit(1)
