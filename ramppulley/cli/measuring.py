"""Commands that measure: replay, drill, grid, nets, subsets, bench."""

import json
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from ramppulley.cli.app import app, fail


@app.command()
def replay(
    record: Annotated[Path, typer.Argument(help="a record, or a folder of records, replayed in one process")],
    text: Annotated[Path | None, typer.Option(help="another version of rules.py, with its parts.py beside it")] = None,
    commit: Annotated[str, typer.Option(help="the version of this commit")] = "",
    compare: Annotated[bool, typer.Option(help="stop at the first action that differs")] = True,
    json_: Annotated[bool, typer.Option("--json")] = False,
):
    """Replay a record of module events: compare the actions, and show the module's CPU by kind of event."""
    from ramppulley.check import replay as replays
    from ramppulley.rules import Router

    try:
        with tempfile.TemporaryDirectory() as folder:
            router_class = replays.text_of(text) if text else replays.text_at(commit, folder) if commit else Router
            costs = replays.replay(record, router_class, compare)
    except replays.Difference as difference:
        typer.echo(f"differs at {difference}", err=True)
        raise typer.Exit(1) from None
    except (OSError, ValueError) as error:
        fail(str(error))
    rows = {event: {"count": count, "us_each": round(cpu / count * 1e6, 1)} for event, (count, cpu) in costs.items()}
    if json_:
        typer.echo(json.dumps(rows))
    else:
        for event, row in sorted(rows.items()):
            typer.echo(f"{event:12} {row['count']:8} x {row['us_each']:9.1f} us")
        typer.echo("the same actions" if compare else "not compared")


@app.command()
def drill(record: Annotated[Path, typer.Option(help="folder for the records of the routers' events")]):
    """Run the bench adapter on standard input and output, and record the events of its routers."""
    from ramppulley.drill.wire import Malformed
    from ramppulley.load import tap

    try:
        tap.serve(sys.stdin, sys.stdout, record)
    except Malformed as error:
        fail(f"ramppulley.drill: {error}")


@app.command()
def grid(
    folder: Annotated[Path, typer.Argument(help="folder for cost.csv, cost.svg and the records")],
    commit: Annotated[str, typer.Option(help="measure the version of this commit beside the present one")] = "",
    questions: Annotated[int, typer.Option(min=10, help="requests for each combination")] = 300,
    load: Annotated[float, typer.Option(min=0.1, help="multiple of the usual traffic; 2 is overload")] = 1.0,
    workers: Annotated[str, typer.Option(help="fleet sizes")] = "12,24,48,72,144",
    routers: Annotated[
        str, typer.Option(help="numbers of routers that share the traffic; one is measured")
    ] = "1,8,64,230",
    subset: Annotated[bool, typer.Option(help="measure also with a subset of the workers")] = False,
    rounds: Annotated[int, typer.Option(min=1)] = 2,
):
    """Measure the module's CPU per event by fleet size and share of the traffic; virtual clock, simulated fleets."""
    from ramppulley.check import replay as replays
    from ramppulley.load import grid as grids
    from ramppulley.rules import Router

    try:
        sizes, shares = ([int(n) for n in text.split(",")] for text in (workers, routers))
        with tempfile.TemporaryDirectory() as folder_of_commit:
            versions = {commit: replays.text_at(commit, folder_of_commit)} if commit else {}
            grids.run(
                folder,
                {**versions, "now": Router},
                workers=sizes,
                routers=shares,
                questions=questions,
                load=load,
                rounds=rounds,
                say=typer.echo,
                subset=subset,
            )
    except replays.Difference as difference:
        typer.echo(f"differs at {difference}", err=True)
        raise typer.Exit(1) from None
    except (OSError, ValueError) as error:
        fail(str(error))


@app.command()
def nets(
    file: Annotated[Path, typer.Argument(help="CSV file for the table")],
    sizes: Annotated[str, typer.Option(help="cluster sizes")] = "3,10,50",
    losses: Annotated[str, typer.Option(help="shares of datagrams that are lost")] = "0,0.1,0.3",
    seed: int = 1,
):
    """Measure gossip on a simulated network: time to detect a failure, false positives, bytes per second."""
    from ramppulley.load.nets import table

    try:
        table([int(n) for n in sizes.split(",")], [float(n) for n in losses.split(",")], file, typer.echo, seed)
    except (OSError, ValueError) as error:
        fail(str(error))


@app.command()
def subsets(
    folder: Annotated[Path, typer.Argument(help="folder for subsets.csv and subsets.svg")],
    sizes: Annotated[str, typer.Option(help="numbers of routers")] = "3,8,16,24,32,64,128,230,500,1000",
):
    """Compare subsets with published algorithms by number of routers: fairness, stability, coverage (simulated)."""
    from ramppulley.load.rings import table

    try:
        table(folder, [int(n) for n in sizes.split(",")], typer.echo)
    except (OSError, ValueError) as error:
        fail(str(error))


@app.command()
def bench(
    seconds: Annotated[float, typer.Option(help="duration of each part")] = 12.0,
    soak: Annotated[float, typer.Option(help="run this many seconds at half load instead")] = 0.0,
    json_: Annotated[bool, typer.Option("--json", help="one line of JSON per part")] = False,
):
    """Measure the overhead of the router: ratios from one run, with stand-in engines."""
    from ramppulley.load.bench.command import main

    main(seconds, soak, json_, typer.echo)
