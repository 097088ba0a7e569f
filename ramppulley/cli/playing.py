"""Commands that run fault scenarios on loopback: day and storm."""

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
    policy: Annotated[
        str, typer.Option(help="one, or several separated by commas: the same scenario for each")
    ] = "module",
):
    """Run a scenario on loopback and check the rules on what crossed the sockets."""
    from ramppulley.load.day import Day
    from ramppulley.load.report import report, run_days

    try:
        scenario = json5.read(file, Day)
    except OSError as error:
        fail(f"{file}: {error.strerror}")
    except json5.InvalidFileError as error:
        fail(str(error))
    policies = policy.split(",")
    for name in policies:
        policy_of(name)
    verdicts = run_days(scenario, policies, lambda text: typer.echo(text, err=True))
    report(verdicts, json_)
    if any(v["breaches"] or v["lost"] for v in verdicts if v["policy"] == "module"):
        raise typer.Exit(1)


def seeds_of(text: str) -> list[int]:
    """The seeds of a list such as `1,4` or a range such as `1-20`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last) + 1)) if last else [int(seed) for seed in first.split(",")]


def switched(option: str, from_file, when_on, when_off) -> list:
    """The values of a part of a scenario: as its file has it, on, off, or both in turn."""
    return {"": [from_file], "on": [when_on], "off": [when_off], "both": [when_off, when_on]}[option]


def variants(scenario, routers: str, subset: str, signals: str, turns: str) -> list:
    """The scenario with each combination of the options; raises ValueError or KeyError."""
    from ramppulley.load.storm import Storm

    sizes = [int(size) for size in routers.split(",")] if routers else [scenario.routers]
    default_subset = scenario.subset or Storm.model_fields["subset"].default
    return [
        Storm.model_validate(
            scenario.model_dump()
            | {"routers": size, "subset": subset_size, "signals": with_signals, "turns": with_turns}
        )
        for size in sizes
        for subset_size in switched(subset, scenario.subset, default_subset, None)
        for with_signals in switched(signals, scenario.signals, True, False)
        for with_turns in switched(turns, scenario.turns, True, False)
    ]


def on_or_off(value) -> str:
    return "on" if value else "off"


def replay_command(file: Path, seed: int, scenario, mutant: str) -> str:
    """The command that repeats this run."""
    command = (
        f"./rp storm {file} --seeds {seed} --routers {scenario.routers} --subset {on_or_off(scenario.subset)} "
        f"--signals {on_or_off(scenario.signals)} --turns {on_or_off(scenario.turns)}"
    )
    return f"{command} --mutant {mutant}" if mutant else command


def show_row(row: dict, as_json: bool) -> None:
    """Prints a result as one line on standard output."""
    if as_json:
        typer.echo(json.dumps(row))
    else:
        typer.echo(" ".join(f"{key} {value}" for key, value in row.items() if key not in ("course", "version")))


@app.command()
def storm(
    file: Path,
    seeds: Annotated[str, typer.Option(help="a list separated by commas, or FIRST-LAST; default: as in the file")] = "",
    routers: Annotated[str, typer.Option(help="a list separated by commas; default: as in the file")] = "",
    subset: Annotated[str, typer.Option(help="on, off, or both with the same seeds; default: as in the file")] = "",
    signals: Annotated[str, typer.Option(help="on, off, or both with the same seeds; default: as in the file")] = "",
    turns: Annotated[str, typer.Option(help="on, off, or both with the same seeds; default: as in the file")] = "",
    out: Annotated[Path | None, typer.Option(help="folder for storm.json, .csv and .svg")] = None,
    keep: Annotated[Path | None, typer.Option(help="folder for the routers' settings, logs and disks")] = None,
    mutant: Annotated[str, typer.Option(help="plant this fault in all routers")] = "",
    json_: Annotated[bool, typer.Option("--json", help="one line of JSON per run")] = False,
):
    """Run many router processes on loopback with injected faults, and check sockets, engines and disks."""
    from ramppulley.load import stormreport
    from ramppulley.load.storm import Storm
    from ramppulley.standin.mutants import MUTANTS

    if mutant and mutant not in MUTANTS:
        fail(f"no mutant {mutant!r}: {', '.join(MUTANTS)}")
    try:
        scenario = json5.read(file, Storm)
        numbers = seeds_of(seeds or str(scenario.seed))
        runs = variants(scenario, routers, subset, signals, turns)
    except OSError as error:
        fail(f"{file}: {error.strerror}")
    except json5.InvalidFileError as error:
        fail(str(error))
    except (ValueError, KeyError) as error:
        fail(f"{file}: {error}")
    rows = []
    for number in numbers:
        for run in runs:
            row = stormreport.verdict(run, number, lambda text: typer.echo(text, err=True), keep, mutant)
            rows.append(row)
            show_row(row, json_)
            if not stormreport.good(row):
                typer.echo(f"NOT GOOD: replay it by {replay_command(file, number, run, mutant)}", err=True)
    if out:
        stormreport.written(rows, out)
    if not all(map(stormreport.good, rows)):
        raise typer.Exit(1)
