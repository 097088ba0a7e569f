"""The command `python -m ramppulley platform`: environment variables, signals, exit status."""

import asyncio
import errno
import gc
import os
import signal
import sys
from typing import Any

import uvloop

from ramppulley.daemon.platform.configuration import ConfigurationError, load_object
from ramppulley.daemon.platform.log import Log
from ramppulley.daemon.platform.node import Node

GC_THRESHOLDS = 5_000, 10, 20  # few objects are tracked after startup: frequent collection is cheap and bounds memory
# Retries of a start that fails for lack of resources.
START_TIMEOUT_S, START_RETRY_INTERVAL_S = 5.0, 0.1
PERMANENT_ERRNOS = errno.EADDRNOTAVAIL, errno.EACCES, errno.EPERM, errno.EINVAL, errno.EAFNOSUPPORT
EXIT_OK, EXIT_UNUSABLE_CONFIGURATION = 0, 2


def main() -> int:
    """Runs a router until a signal stops it; returns the exit status."""
    path = os.environ.get("PROXY_CONFIG")
    try:
        if not path:
            raise ConfigurationError("PROXY_CONFIG names no configuration")
        content = _with_environment(load_object(path))
        uvloop.run(run(path, content, Log(str(content.get("name", "router")))))
        _ignore_signals()
    except ConfigurationError as fault:
        print(f"ramppulley platform: {fault}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    return EXIT_OK


def _with_environment(content: dict[str, Any]) -> dict[str, Any]:
    """Fills missing fields of the configuration from environment variables."""
    for suffix in ("NAME", "LISTEN", "DISCOVERY"):
        if f"PROXY_{suffix}" in os.environ:
            content.setdefault(suffix.lower(), os.environ[f"PROXY_{suffix}"])
    return content


def _ignore_signals() -> None:
    """The interpreter removes signal handlers before it exits, so a late signal would change the exit status."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)


async def run(path: str, content: dict[str, Any], log: Log) -> None:
    """Runs one router until SIGINT or SIGTERM; SIGHUP reloads the configuration at `path`.

    Signal handlers are installed before the router listens, and they run only once the node is complete.
    """
    loop, stopping = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    node = Node(content, log)
    loop.add_signal_handler(signal.SIGHUP, node.reload, path)
    try:
        started = await _start(node, log, stopping)
    except OSError as fault:
        raise ConfigurationError(f"cannot listen on {content['listen']}: {fault.strerror}") from fault
    if not started:
        log.info("told to end before it had started")
        return
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # blocked since the start of the process
    _exclude_startup_objects_from_gc()
    first_list = loop.create_task(_exclude_first_list_from_gc(node))
    await stopping.wait()
    first_list.cancel()
    await node.stop()


async def _start(node: Node, log: Log, stopping: asyncio.Event) -> bool:
    """Starts the node, with retries if the system is short of resources; raises OSError.

    Returns False, with nothing running, if a stop signal arrived meanwhile.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT_S
    while True:
        try:
            await node.start()
            return True
        except OSError as fault:
            if stopping.is_set():
                return False
            if fault.errno in PERMANENT_ERRNOS or loop.time() > deadline:
                raise
            log.warning("start is tried again", fault=fault.strerror)
            await asyncio.sleep(START_RETRY_INTERVAL_S)


def _exclude_startup_objects_from_gc() -> None:
    """Excludes objects made during startup from garbage collection: they live until exit.

    The little garbage among them stays too.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)


async def _exclude_first_list_from_gc(node: Node) -> None:
    """Excludes the workers of the first list as well, which comes soon after the start. In a large fleet a collection would
    spend most of its time on them; those that leave the list are freed without one.

    Not once a request has been accepted: it needs a collection to be freed, and would stay for good.
    """
    await node.list_received.wait()
    if not node.core.accepted:
        gc.freeze()
