"""The command `python -m ramppulley platform`: environment, signals, exit status."""

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

GC_THRESHOLDS = 5_000, 10, 20  # what is left after the start is small: collected often, it does not grow
START_TIMEOUT_S, START_INTERVAL_S = 5.0, 0.1  # a start that the system refuses for a moment is tried again for so long
LASTING_ERRNOS = errno.EADDRNOTAVAIL, errno.EACCES, errno.EPERM, errno.EINVAL, errno.EAFNOSUPPORT
EXIT_OK, EXIT_UNUSABLE_CONFIGURATION = 0, 2


def main() -> int:
    """Runs a router until a signal ends it; gives the exit status."""
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
    """The configuration, with fields that it lacks taken from the environment."""
    for word in ("NAME", "LISTEN", "DISCOVERY"):
        if f"PROXY_{word}" in os.environ:
            content.setdefault(word.lower(), os.environ[f"PROXY_{word}"])
    return content


def _ignore_signals() -> None:
    """The interpreter drops its handlers before it has ended: a late signal would change the exit status."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)


async def run(path: str, content: dict[str, Any], log: Log) -> None:
    """One router from its start to its end by SIGINT or SIGTERM; SIGHUP reloads the configuration at `path`.

    Nothing listens before the handlers stand, and they are called once all of the node is there.
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
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    _collect_only_what_follows()
    await stopping.wait()
    await node.stop()


async def _start(node: Node, log: Log, stopping: asyncio.Event) -> bool:
    """Starts the node, again and again where the system is short of something; raises OSError.

    False where it was told to end meanwhile: nothing runs then.
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
            if fault.errno in LASTING_ERRNOS or loop.time() > deadline:
                raise
            log.warning("start is tried again", fault=fault.strerror)
            await asyncio.sleep(START_INTERVAL_S)


def _collect_only_what_follows() -> None:
    """What the start made stays, the little garbage too: no collection walks it."""
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
