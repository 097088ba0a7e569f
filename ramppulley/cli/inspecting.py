"""Commands that look at what routers know or keep: peers, store verify, store show."""

import json
from pathlib import Path
from typing import Annotated

import typer

from ramppulley.cli.app import app, fail, settings_of

store_app = typer.Typer(no_args_is_help=True, help="What a router keeps on its disk, read without changing it.")
app.add_typer(store_app, name="store")


@app.command()
def peers(
    settings: Path,
    port: Annotated[int, typer.Option(help="of the router's datagrams, where the settings say 0")] = 0,
    count: Annotated[str, typer.Option(help="off: from now on no router heeds signals and turns; on: they do")] = "",
    json_: Annotated[bool, typer.Option("--json")] = False,
):
    """Show a running router's view of the other routers, by its settings file; or switch signals and turns for all."""
    from rich.console import Console
    from rich.table import Table

    from ramppulley.daemon import asking

    orders = settings_of(settings)
    told = orders.peers
    if told is None:
        fail(f"{settings}: peers: this router keeps to itself (add this part to have it talk to others)")
    if not (port or told.port):
        fail(f"{settings}: peers.port: any free one; say --port, the router's log line `peers ready` has it")
    try:
        key = (settings.parent / told.key_file).read_bytes().strip()
        rows = asking.fetch_view(told.cluster, key, (told.host, port or told.port))
        if count:
            heard, there = asking.set_sharing(told.cluster, key, rows, {"on": True, "off": False}[count])
            typer.echo(
                f"{len(heard)} of {len(there)} routers heard it"
                + "".join(f"; {name} did not" for name in sorted(there - heard))
            )
            raise typer.Exit(int(heard != there))
    except KeyError:
        fail(f"--count {count}: on or off")
    except (OSError, ValueError) as fault:
        fail(f"{settings}: {getattr(fault, 'strerror', None) or fault}")
    names = ("name", "state", "incarnation", "zone", "machine", "traffic", "host", "port", "for_s")
    if json_:
        typer.echo(json.dumps([dict(zip(names, row)) for row in rows]))
        return
    table = Table(*names)
    for row in rows:
        table.add_row(*map(str, row[:5]), f"~{2 ** row[5]}/s", *map(str, row[6:]))
    Console(width=120).print(table)


def read_store(folder):
    """(Mark, Found) of a log's folder, of whatever router it is; nothing is changed there."""
    from ramppulley.store.disk import Disk
    from ramppulley.store.log import Unfit, mark_of, read_log

    if not folder.is_dir():
        fail(f"{folder}: no such folder")
    try:
        mark = mark_of(Disk(), folder)
        if mark is None:
            fail(f"{folder}: no log is here")
        return mark, read_log(folder, mark.cluster, mark.owner, Disk())[1]
    except Unfit as fault:
        fail(str(fault))
    except OSError as fault:
        fail(f"{folder}: {fault.strerror}")


@store_app.command("verify")
def store_verify(folder: Path):
    """Read a log's folder whole, of a router that does not run: exit code 1 if records that were promised cannot be read."""
    mark, found = read_store(folder)
    typer.echo(
        f"log of router {mark.owner} of cluster {mark.cluster}, opened {mark.generation} times: "
        f"{len(found.records)} records from {mark.base} on"
    )
    if found.torn:
        typer.echo(f"{found.torn} bytes at the end were promised to nobody, and are passed over")
    for rot in found.rots:
        typer.echo(f"ROT: records {rot.first} to {rot.end - 1} cannot be read here")
    if found.rots:
        raise typer.Exit(1)


@store_app.command("show")
def store_show(folder: Path, json_: Annotated[bool, typer.Option("--json")] = False):
    """The records of a log's folder: number, epoch, kind, bytes."""
    for record in read_store(folder)[1].records:
        told = {"number": record.number, "epoch": record.epoch, "kind": record.kind, "bytes": len(record.payload)}
        typer.echo(json.dumps(told) if json_ else " ".join(f"{key} {value}" for key, value in told.items()))
