"""Commands that run a router: serve, platform, up; and check, which validates its settings."""

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
    """An event that SIGINT and SIGTERM set. Created before the router reports ready, so that no signal is missed."""
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    return stopping


async def run(daemon, seconds=None):
    """Runs a router until a signal, or for a number of seconds; prints where it listens."""
    stopping = stop_signal()
    try:
        await daemon.start()
    except (OSError, json5.InvalidFileError) as error:
        fail(str(error))
    gc.collect()
    gc.freeze()  # objects created at start-up are permanent: full collections skip them
    gc.set_threshold(20_000, 20, 50)  # a full collection stalls every stream for tens of milliseconds
    typer.echo(f"ready http://127.0.0.1:{daemon.front.port}")
    sys.stdout.flush()
    try:
        async with asyncio.timeout(seconds):
            await stopping.wait()
    except TimeoutError:
        pass
    await daemon.stop()


def policy_of(name):
    """The constructor of the policy with this name: the module or a baseline."""
    from ramppulley.load.baselines import POLICIES

    if name not in POLICIES:
        fail(f"no policy {name!r}: {', '.join(POLICIES)}")
    return POLICIES[name]


@app.command()
def serve(
    settings: Path,
    policy: Annotated[str, typer.Option(help="module, or a baseline for comparison: random, least")] = "module",
):
    """Run the router with a settings file."""
    loaded = settings_of(settings)
    extra = {"where": str(settings)} if loaded.peers else {}
    uvloop.run(run(Daemon(loaded, logs(loaded.log), settings.parent, policy_of(policy), **extra)))


@app.command()
def platform():
    """Run the router on the platform, configured by PROXY_CONFIG (`python -m ramppulley platform` loads nothing else)."""
    from ramppulley.daemon.platform.command import main

    raise typer.Exit(main())


@app.command()
def check(settings: Path):
    """Validate a settings file, and the list of workers that it names if that exists."""
    from ramppulley.fleet.listing import Listing

    loaded = settings_of(settings)
    listing = settings.parent / loaded.workers.file
    if listing.exists():
        try:
            count = len(json5.read(listing, Listing).workers)
        except json5.InvalidFileError as error:
            fail(str(error))
        typer.echo(f"{listing}: {count} workers")
    typer.echo(f"{settings}: good")


@app.command()
def up(
    port: Annotated[int, typer.Option(help="0 = any free port")] = 8080,
    for_: Annotated[float | None, typer.Option("--for", help="seconds; default: until a signal")] = None,
):
    """Run a stand-in fleet and the router in the foreground."""
    from ramppulley.standin.demo import demo_fleet, demo_settings

    async def run_both():
        with tempfile.TemporaryDirectory(prefix="rp-") as folder:
            fleet = await demo_fleet(Path(folder) / "workers.json5").start()
            settings = demo_settings(port)
            try:
                await run(Daemon(settings, logs("console"), folder), for_)
            finally:
                await fleet.stop()

    uvloop.run(run_both())
