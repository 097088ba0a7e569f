"""Periodic tasks of a router on the platform: expires idle connections, collects garbage, logs sizes."""

import asyncio
import gc
from collections.abc import Callable, Mapping

from ramppulley.daemon.platform.log import Log

CHECK_INTERVAL_S = 0.25
ROUNDS_PER_EXPIRY = 2
ROUNDS_PER_COLLECTION = 20
ROUNDS_PER_LOG_LINE = 40


async def run_housekeeping(
    check: Callable[[], None],
    expire_idle: Callable[[], None],
    log: Log,
    sizes: Callable[[], Mapping[str, object]],
    counters: Callable[[], Mapping[str, object]],
) -> None:
    """Runs until cancelled.

    `check` handles requests whose timers were lost, `expire_idle` closes worker connections that have been idle for long.
    The log line `holds` contains `sizes()` and the maximum delay of the event loop since the previous one. The counters have
    a line of their own: readers of logs may cut long lines.
    """
    loop, max_late_s, rounds = asyncio.get_running_loop(), 0.0, 0
    while True:
        due = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        max_late_s, rounds = max(max_late_s, loop.time() - due), rounds + 1
        try:
            check()
            if rounds % ROUNDS_PER_EXPIRY == 0:
                expire_idle()
        except Exception:  # housekeeping must go on whatever happens
            log.exception("fault in the housekeeping")
        if rounds % ROUNDS_PER_COLLECTION == 0:
            gc.collect()  # cycles that survived the younger generations; few objects remain, so it is cheap
        if rounds % ROUNDS_PER_LOG_LINE == 0:
            log.info("holds", **sizes(), late_ms=round(max_late_s * 1000))
            log.info("counts", **counters())
            max_late_s = 0.0
