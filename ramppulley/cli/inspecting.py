"""Commands that show what routers know and store: peers, store verify, store show."""

import json
from pathlib import Path
from typing import Annotated

import typer

from ramppulley.cli.app import app, fail, settings_of

store_app = typer.Typer(no_args_is_help=True, help="Read what a router stores on its disk, without changing it.")
app.add_typer(store_app, name="store")


@app.command()
def peers(
    settings: Path,
    port: Annotated[int, typer.Option(help="the router's UDP port, if the settings have 0")] = 0,
    count: Annotated[
        str, typer.Option(help="off: from now on all routers ignore signals and turns; on: they use them")
    ] = "",
    json_: Annotated[bool, typer.Option("--json")] = False,
):
    """Show how a running router, given by its settings file, sees the other routers; or switch signals and turns for all."""
    from rich.console import Console
    from rich.table import Table

    from ramppulley.daemon import asking

    loaded = settings_of(settings)
    peer_settings = loaded.peers
    if peer_settings is None:
        fail(f"{settings}: peers: this router keeps to itself (add this part to have it talk to others)")
    if not (port or peer_settings.port):
        fail(f"{settings}: peers.port: any free one; say --port, the router's log line `peers ready` has it")
    try:
        key = (settings.parent / peer_settings.key_file).read_bytes().strip()
        rows = asking.fetch_view(peer_settings.cluster, key, (peer_settings.host, port or peer_settings.port))
        if count:
            confirmed, known = asking.set_sharing(peer_settings.cluster, key, rows, {"on": True, "off": False}[count])
            typer.echo(
                f"{len(confirmed)} of {len(known)} routers heard it"
                + "".join(f"; {name} did not" for name in sorted(known - confirmed))
            )
            raise typer.Exit(int(confirmed != known))
    except KeyError:
        fail(f"--count {count}: on or off")
    except (OSError, ValueError) as error:
        fail(f"{settings}: {getattr(error, 'strerror', None) or error}")
    names = ("name", "state", "incarnation", "zone", "machine", "traffic", "host", "port", "for_s")
    if json_:
        typer.echo(json.dumps([dict(zip(names, row)) for row in rows]))
        return
    table = Table(*names)
    for row in rows:
        table.add_row(*map(str, row[:5]), f"~{2 ** row[5]}/s", *map(str, row[6:]))
    Console(width=120).print(table)


def read_store(folder):
    """(LogIdentity, LogContent) of the log in a folder, which may be of any router. Changes nothing."""
    from ramppulley.store.disk import Disk
    from ramppulley.store.log import InvalidLog, read_identity, read_log

    if not folder.is_dir():
        fail(f"{folder}: no such folder")
    try:
        identity = read_identity(Disk(), folder)
        if identity is None:
            fail(f"{folder}: no log is here")
        return identity, read_log(folder, identity.cluster, identity.owner, Disk())[1]
    except InvalidLog as error:
        fail(str(error))
    except OSError as error:
        fail(f"{folder}: {error.strerror}")


@store_app.command("verify")
def store_verify(folder: Path):
    """Read the whole log of a router that is not running: exit code 1 if committed records cannot be read."""
    identity, found = read_store(folder)
    typer.echo(
        f"log of router {identity.owner} of cluster {identity.cluster}, opened {identity.generation} times: "
        f"{len(found.records)} records from {identity.base} on"
    )
    if found.torn:
        typer.echo(f"{found.torn} bytes at the end were promised to nobody, and are passed over")
    for corrupt in found.corrupt_ranges:
        typer.echo(f"ROT: records {corrupt.first} to {corrupt.end - 1} cannot be read here")
    if found.corrupt_ranges:
        raise typer.Exit(1)


@store_app.command("show")
def store_show(folder: Path, json_: Annotated[bool, typer.Option("--json")] = False):
    """List the records of a log: number, epoch, kind, bytes."""
    for record in read_store(folder)[1].records:
        row = {"number": record.number, "epoch": record.epoch, "kind": record.kind, "bytes": len(record.payload)}
        typer.echo(json.dumps(row) if json_ else " ".join(f"{key} {value}" for key, value in row.items()))
