"""The end of a run: waits until KV states and reservations are released, and gathers the evidence of all observers."""

import asyncio

from ramppulley.check.evidence import Evidence
from ramppulley.load.scenario_settings import REQUEST_CLASSES
from ramppulley.standin.demo import demo_settings

S = 10_000  # tenths of a millisecond in a second
RELEASE_TIMEOUT_S = 1.0
RELEASE_POLL_S = 0.02
MAX_ATTEMPTS = 4
NEVER = 1 << 62  # end of a span that is still open


async def wait_for_releases(fleet, within=RELEASE_TIMEOUT_S):
    """Waits this long at most; a KV state or reservation that is still held then is a breach."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + within
    while loop.time() < limit and fleet.open_held():
        await asyncio.sleep(RELEASE_POLL_S)


async def stop_fleet(fleet):
    """Stops the stand-ins; whatever is still held at that time counts as never released."""
    never_released = [held for held in fleet.held if held.until is None]
    await fleet.stop()
    for held in never_released:
        held.until, held.how = None, ""


def gather_evidence(requests, fleet, routers, event_loop_monitor, settings, starvation_monitor):
    """The evidence of a run that has ended. `settings`: those of any router of the run."""
    rules = demo_settings(**settings).rules
    return Evidence(
        asked=requests,
        ledger=fleet.ledger,
        held=fleet.held,
        listed=fleet.listed_at,
        births=fleet.births,
        places=_places(fleet),
        killed=[(router.number, at) for router in routers for at in router.killed_at],
        cold=_warm_up_limits(fleet),
        windows=_idempotency_windows(),
        unreachable=_unreachable_spans(fleet),
        away=[(router.number, since, until) for router in routers for since, until in router.away],
        starved=starvation_monitor.starved,
        stood=event_loop_monitor.stalls,
        drain_grace=int(rules.drain_grace_s * S),
        let_go_within=int(rules.let_go_within_s * S),
        sends=MAX_ATTEMPTS,
    )


def _places(fleet):
    return {name: (standin.engine.cell, standin.engine.zone) for name, standin in fleet.standins.items()}


def _warm_up_limits(fleet):
    kinds = {name: standin.engine.kind for name, standin in fleet.standins.items()}
    return {name: (kind.cold_from, kind.cold_for, kind.fall_multiple, kind.fall_window) for name, kind in kinds.items()}


def _idempotency_windows():
    return {
        name: (settings["group"], int(settings["window_s"] * S))
        for name, settings in REQUEST_CLASSES.items()
        if "window_s" in settings
    }


def _unreachable_spans(fleet):
    return [
        (name, span.since, span.until if span.until is not None else NEVER)
        for name, standin in fleet.standins.items()
        for span in standin.unreachable
    ]
