"""Commands that run faults and floods against real router processes: soak, flood."""

import os
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer

from ramppulley.cli.app import app, fail
from ramppulley.cli.playing import seeds_of

MAX_JOBS = 3


@app.command()
def soak(
    file: Annotated[Path | None, typer.Argument(help="a schedule that was saved, instead of seeds")] = None,
    seeds: Annotated[str, typer.Option(help="a list separated by commas, or FIRST-LAST")] = "1-3",
    minutes: Annotated[float, typer.Option(help="no schedule starts after this time")] = 30.0,
    jobs: Annotated[int, typer.Option(min=1, help="schedules at once; each runs eleven processes")] = min(
        MAX_JOBS, max(1, (os.cpu_count() or 1) // 3)
    ),
    only: Annotated[str, typer.Option(help="kinds of faults, separated by commas")] = "",
    mutant: Annotated[str, typer.Option(help="plant this fault in all routers; `all` tries each")] = "",
    keep: Annotated[Path | None, typer.Option(help="folder for failing schedules, minimised")] = None,
    coverage: Annotated[Path | None, typer.Option(help="CSV file for the combinations that occurred")] = None,
):
    """Run random faults against real router processes and check what crossed the sockets; exit code 1 on a breach."""
    from ramppulley.load.soak import run, schedule
    from ramppulley.standin.platform_mutants import MUTANTS

    kinds = tuple(only.split(",")) if only else ()
    if unknown := set(kinds) - set(schedule.KINDS):
        fail(f"no such faults: {', '.join(sorted(unknown))}; there are {', '.join(schedule.KINDS)}")
    if mutant and mutant != "all" and mutant not in MUTANTS:
        fail(f"no mutant {mutant!r}: {', '.join(MUTANTS)}")
    if mutant == "all":
        raise typer.Exit(_try_mutants(seeds_of(seeds), kinds, jobs))
    try:
        schedules = [schedule.read(file)] if file else list(run.draw_all(seeds_of(seeds), kinds, mutant))
    except (OSError, ValueError) as error:
        fail(str(error))
    verdicts = []
    for verdict in run.play_all(schedules, jobs, time.monotonic() + 60 * minutes):
        verdicts.append(verdict)
        _show(verdict)
        if verdict.breaches and keep:
            _keep(verdict, keep)
    _show_coverage(verdicts, coverage)
    if any(verdict.breaches for verdict in verdicts):
        raise typer.Exit(1)


@app.command()
def flood(
    peers: Annotated[str, typer.Option(help="numbers of hostile clients, separated by commas")] = "0,1,30,300",
    memory: Annotated[str, typer.Option(help="memory limits of the router in MB, separated by commas")] = "32",
    descriptors: Annotated[int, typer.Option(min=256, help="open file limit of the router")] = 1024,
    seconds: Annotated[float, typer.Option(min=1.0, help="of regular traffic, in each play")] = 5.0,
    runs: Annotated[int, typer.Option(min=1, help="plays of each combination, with seeds from 1 on")] = 1,
):
    """Measure what regular clients of one router wait, and its memory, beside hostile clients at full speed."""
    from ramppulley.load.soak.flood import HEADER, play_flood

    typer.echo(HEADER)
    for memory_mb in memory.split(","):
        for count in peers.split(","):
            for seed in range(1, runs + 1):
                typer.echo(play_flood(seed, int(count), float(memory_mb), descriptors, seconds).row())


def _show(verdict) -> None:
    kinds = Counter(breach.invariant for breach in verdict.breaches)
    breaches = ", ".join(f"{name} {count}" for name, count in kinds.items()) or "no breach"
    typer.echo(
        f"seed {verdict.schedule.seed}: {verdict.requests} requests, {verdict.completed} completed, "
        f"{verdict.rejected} rejected, {len(verdict.schedule.faults)} faults, shim {'on' if verdict.shim else 'NOT RUN'}, "
        f"rig late {verdict.worst_lag_s:.2f} s, {breaches}"
    )
    for text in verdict.timelines:
        typer.echo(text)


def _keep(verdict, folder: Path) -> None:
    from ramppulley.load.soak import run, schedule

    folder.mkdir(parents=True, exist_ok=True)
    for invariant in sorted(verdict.invariants):
        minimised = run.shrink(verdict.schedule, invariant, typer.echo)
        path = folder / f"{invariant}-{verdict.schedule.seed}.json"
        schedule.write(path, minimised)
        typer.echo(f"kept: ./rp soak {path}")


def _show_coverage(verdicts, path: Path | None) -> None:
    from ramppulley.load.soak import run, schedule

    missing = run.never_played(verdict.schedule for verdict in verdicts)
    pairs = len(schedule.KINDS) * (len(schedule.KINDS) - 1) // 2
    typer.echo(f"{len(verdicts)} schedules; {pairs - len(missing)} of {pairs} pairs of faults overlapped")
    if path is None:
        return
    combinations: Counter[tuple[str, str, str]] = Counter()
    for verdict in verdicts:
        combinations.update(verdict.phases)
    lines = ["fault,phase of a request,phase of its process,times"]
    lines += [f"{','.join(key)},{count}" for key, count in sorted(combinations.items())]
    lines += [f"never overlapped,{one},{other},0" for one, other in missing]
    path.write_text("\n".join(lines) + "\n")


def _try_mutants(numbers: list[int], kinds: tuple[str, ...], jobs: int) -> int:
    """Runs schedules with each planted fault until an invariant detects it; returns 0 if all were detected."""
    from ramppulley.load.soak import run
    from ramppulley.standin.platform_mutants import MUTANTS

    undetected = []
    for name in MUTANTS:
        schedules = run.draw_all(numbers, kinds or MUTANTS[name].shows_under, name)
        for count, verdict in enumerate(run.play_all(schedules, jobs, time.monotonic() + 600), 1):
            if verdict.breaches:
                typer.echo(f"{name}: seen by {', '.join(sorted(verdict.invariants))}, schedule {count}")
                typer.echo("\n".join(verdict.timelines[:2]))
                break
        else:
            undetected.append(name)
            typer.echo(f"{name}: NOT SEEN in {len(numbers)} schedules")
    return int(bool(undetected))
