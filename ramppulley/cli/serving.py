"""Commands that run a router: serve, platform, up; and check, which reads what one would run by."""

import asyncio
import gc
import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from ramppulley.cli.app import app, fail, settings_of
from ramppulley.daemon import json5
from ramppulley.daemon.daemon import Daemon, logs


def stop_signal():
    """An event that SIGINT and SIGTERM set; made before anything says that it is ready."""
    loop, told = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, told.set)
    return told


async def run(daemon, seconds=None):
    """Runs a router until a signal or for so many seconds; prints where it listens."""
    stopping = stop_signal()
    try:
        await daemon.start()
    except (OSError, json5.InvalidFileError) as fault:
        fail(str(fault))
    gc.collect()
    gc.freeze()  # what the start made stays: no full collection walks it again
    gc.set_threshold(20_000, 20, 50)  # a full one stops every stream for tens of milliseconds
    typer.echo(f"ready http://127.0.0.1:{daemon.front.port}")
    sys.stdout.flush()
    try:
        async with asyncio.timeout(seconds):
            await stopping.wait()
    except TimeoutError:
        pass
    await daemon.stop()


def policy_of(name):
    """The maker of the module or of a baseline with this name."""
    from ramppulley.load.baselines import POLICIES

    if name not in POLICIES:
        fail(f"no policy {name!r}: {', '.join(POLICIES)}")
    return POLICIES[name]


@app.command()
def serve(
    settings: Path,
    policy: Annotated[str, typer.Option(help="module, or a baseline to measure against: random, least")] = "module",
):
    """Run the router alone, by a settings file."""
    orders = settings_of(settings)
    edges = {"where": str(settings)} if orders.peers else {}
    uvloop.run(run(Daemon(orders, logs(orders.log), settings.parent, policy_of(policy), **edges)))


@app.command()
def platform():
    """Run the router on the operators' platform, by PROXY_CONFIG (`python -m ramppulley platform` loads nothing else)."""
    from ramppulley.daemon.platform.command import main

    raise typer.Exit(main())


@app.command()
def check(settings: Path):
    """Check a settings file, and the list of workers that it names if that is there."""
    from ramppulley.fleet.listing import Listing

    orders = settings_of(settings)
    listing = settings.parent / orders.workers.file
    if listing.exists():
        try:
            count = len(json5.read(listing, Listing).workers)
        except json5.InvalidFileError as fault:
            fail(str(fault))
        typer.echo(f"{listing}: {count} workers")
    typer.echo(f"{settings}: good")


@app.command()
def up(
    port: Annotated[int, typer.Option(help="0 = any free one")] = 8080,
    for_: Annotated[float | None, typer.Option("--for", help="seconds; else until told to stop")] = None,
):
    """Run a stand-in fleet and the router in the foreground."""
    from ramppulley.standin.demo import demo_fleet, demo_orders

    async def both():
        with tempfile.TemporaryDirectory(prefix="rp-") as folder:
            fleet = await demo_fleet(Path(folder) / "workers.json5").start()
            orders = demo_orders(port)
            try:
                await run(Daemon(orders, logs("console"), folder), for_)
            finally:
                await fleet.stop()

    uvloop.run(both())
