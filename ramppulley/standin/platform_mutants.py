"""The router on the platform with one planted fault: `python -m ramppulley.standin.platform_mutants NAME`.

Each shows that an invariant of the soak test detects the fault that it is for. The program itself has no code for them.
"""

import asyncio
import re
import signal
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

ENTRY = "ramppulley.standin.platform_mutants"


def replace(owner: object, name: str, planted: object) -> None:
    """Replaces the attribute `name`, which has to exist, by `planted`."""
    getattr(owner, name)
    setattr(owner, name, planted)


def wall_clock() -> None:
    """Computes the ages of workers from the wall clock alone."""
    from ramppulley.service.clock import StartAges

    replace(StartAges, "age_ms", lambda self, started, now, wall_ms: max(0, wall_ms - started))


def accept_dies() -> None:
    """Stops accepting connections after one failed accept."""
    from ramppulley.wire.listener import Listener

    async def accept(self: Any, readable: Any) -> None:
        while await self._accept_next(readable):
            pass

    replace(Listener, "_accept", accept)
    replace(Listener, "_on_accepting_done", lambda self, task: None)


def ignores_leaving() -> None:
    """Does not notice that a client closes before its response."""
    from ramppulley.fronts.client_connection import ClientConnection
    from ramppulley.fronts.response_stream import ResponseStream

    async def wait_for(self: Any, done: Any, timeout_s: Any = None) -> bool:
        await asyncio.wait({done})
        return True

    replace(ClientConnection, "wait_for", wait_for)
    replace(ResponseStream, "gone", lambda self: False)


def ignores_drain() -> None:
    """Goes on using a worker that drains."""
    from ramppulley.wire import platform

    platform.STATES[platform.DRAINING] = "ready"


def endless_watch() -> None:
    """Never times out a silent watch."""
    from ramppulley.fleet.platform import watch

    watch.TIMEOUTS = watch.TIMEOUTS._replace(silence_s=1e6, first_line_s=1e6)


def no_release() -> None:
    """Never releases KV state."""
    from ramppulley.engines.platform.releases import KvReleases

    replace(KvReleases, "schedule", lambda self, tracked, delay_s: None)


def release_waits() -> None:
    """Delays a release for a decode that may never have arrived."""
    from ramppulley.rules import PolicyRequest

    replace(PolicyRequest, "on_unanswered", lambda self, attempt: None)


def whole_deadline_told() -> None:
    """Sends each worker the client's whole deadline instead of the remaining time."""
    from ramppulley.engines.platform.connector import PlatformConnector

    build = PlatformConnector._build_request

    def build_request(self: Any, attempt: Any, connections: Any) -> list[bytes]:
        attempt.remaining = attempt.tracked.request.deadline + 3_000
        return build(self, attempt, connections)

    replace(PlatformConnector, "_build_request", build_request)


def lost_means_never_ran() -> None:
    """Treats a connection lost after the request was sent as proof that the request never ran."""
    from ramppulley import door
    from ramppulley.engines import proof

    for stage in (proof.Stage.WAIT, proof.Stage.ANSWER):
        proof.TABLE[stage, proof.Failure.LOST] = door.NO_ROUTE


def holds_events() -> None:
    """Forwards events late."""
    from ramppulley.fronts.response_stream import ResponseStream

    pass_on = ResponseStream.pass_on

    async def late(self: Any, data: bytes) -> None:
        if self.begun:
            await asyncio.sleep(0.5)
        await pass_on(self, data)

    from ramppulley.fronts.platform.server import EventStream

    replace(EventStream, "piece", late)


def patient_with_stalled() -> None:
    """Waits for a client that stalls within its request."""
    from ramppulley.fronts import client_connection
    from ramppulley.fronts.platform import server

    client_connection.STALLED_TIMEOUT_S = 30.0
    server.FIRST_REQUEST_TIMEOUT_S = server.SLOW_CLIENT_TIMEOUT_S = 30.0


def stops_at_once() -> None:
    """Cuts accepted requests at shutdown."""
    from ramppulley.daemon.platform import node

    stop = node.Node.stop

    async def at_once(self: Any, accept_s: float = 0.0, timeout_s: float = 0.0) -> None:
        await stop(self, 0.0, 0.0)

    replace(node.Node, "stop", at_once)


def takes_after_shutdown() -> None:
    """Goes on accepting requests on open connections during shutdown."""
    from ramppulley.daemon.platform import node

    node.ACCEPT_AFTER_SIGTERM_S = 3.0
    stop = node.Node.stop

    async def late(self: Any, accept_s: float = 3.0, timeout_s: float = 600.0) -> None:
        await stop(self, 3.0, timeout_s)

    replace(node.Node, "stop", late)


def closes_rejected() -> None:
    """Closes the connection of a rejected request without a response."""
    from ramppulley.fronts.platform.server import PlatformFront
    from ramppulley.service.neutral import COMPLETED

    send_final_answer = PlatformFront._send_final_answer

    async def silent(self: Any, connection: Any, stream: Any, ending: Any, keep_alive: bool) -> bool:
        if ending.result != COMPLETED:
            return False
        return await send_final_answer(self, connection, stream, ending, keep_alive)

    replace(PlatformFront, "_send_final_answer", silent)


def late_timers() -> None:
    """Fires timers after three times their delay."""
    from ramppulley.service.clock import LoopClock

    after = LoopClock.after
    replace(LoopClock, "after", lambda self, delay, call, *args: after(self, 3 * delay, call, *args))


def dies_by_reload() -> None:
    """Dies on SIGHUP."""
    from ramppulley.daemon.platform import node

    def reload(self: Any, path: str) -> None:
        signal.raise_signal(signal.SIGKILL)

    replace(node.Node, "reload", reload)


def serves_used_ids() -> None:
    """Serves a request id that was used before."""
    from ramppulley.fronts.platform.server import PlatformFront

    replace(PlatformFront, "_forget_request", lambda self, name, was_sent: self.open_requests.pop(name))


def no_memory_limit() -> None:
    """Holds whatever peers send."""
    from ramppulley.service.memory import MemoryPool

    replace(MemoryPool, "is_exceeded", lambda self, share=1.0: False)
    replace(MemoryPool, "fits", lambda self, count, share=1.0: True)


def believes_chunk_sizes() -> None:
    """Takes a chunk of any size."""
    from ramppulley.wire.chunk_framing import ChunkFraming

    replace(ChunkFraming, "scan", lambda self, data, begin: len(data))


def cuts_slow_events() -> None:
    """Takes a worker for silent that writes an event slowly."""
    from ramppulley.engines.stream_timeout import StreamTimeout

    replace(StreamTimeout, "part_received", lambda self: None)


def reads_all_told() -> None:
    """Reads all that discovery has sent before a decision, a line at a time."""
    from ramppulley.fleet.platform import json_lines, list_call

    replace(list_call, "READ_NOW_BUDGET_S", 60.0)
    replace(list_call, "READ_NOW_PAUSE", 0)
    replace(json_lines, "BLANK_LINES", re.compile(rb"(?!)"))


def counts_blank_events() -> None:
    """Takes what brings no data for an event of the answer."""
    from ramppulley.wire import sse

    replace(sse, "DATA", re.compile(rb""))


def reads_without_turns() -> None:
    """Reads and answers all that a client has sent before anything else runs."""
    from ramppulley.fronts import client_connection
    from ramppulley.wire.http_parser import RequestParser
    from ramppulley.wire.read_scheduler import ReadScheduler

    async def run(self: Any, work: Callable[[], Any]) -> Any:
        return work()

    replace(ReadScheduler, "run", run)
    replace(client_connection, "READ_QUANTUM_S", 60.0)
    replace(RequestParser, "_end_within", lambda self, piece: len(piece))


def repeats_late() -> None:
    """Repeats requests of a guarded class whenever there is time left, after a pause."""
    from ramppulley.engines.platform.connector import PlatformConnector
    from ramppulley.rules import PolicyRequest
    from ramppulley.service.core import Core

    replace(Core, "repeat_window_over", lambda self, attempt: False)
    replace(PolicyRequest, "may_run_at", lambda self, worker: not self.open_attempts)
    before = PlatformConnector._before_first_byte

    async def late(self: Any, attempt: Any) -> None:
        if attempt.is_prefill and any(not earlier.is_prefill for earlier in attempt.tracked.attempts[:-1]):
            await asyncio.sleep(1.1)  # delays the second prefill
        await before(self, attempt)

    replace(PlatformConnector, "_before_first_byte", late)


def two_attempts() -> None:
    """Sends two prefills at once."""
    from ramppulley.engines.platform.connector import PlatformConnector

    start = PlatformConnector.start

    def twice(self: Any, core: Any, attempt: Any) -> None:
        start(self, core, attempt)
        if attempt.is_prefill:
            candidates = [
                endpoint
                for endpoint in self.workers
                if endpoint.role == "read" and endpoint.state == "ready" and endpoint is not attempt.endpoint
            ]
            for endpoint in candidates[:1]:
                self._spawn(self._shadow(attempt, endpoint))

    async def shadow(self: Any, attempt: Any, endpoint: Any) -> None:
        from ramppulley.wire import http

        transport = await self.workers[endpoint].connections.acquire(0.5)
        await transport.send(self._build_request(attempt, None))
        parser = http.ResponseParser(1 << 16)
        while not parser.done:
            parser.feed(await transport.receive())
        self.workers[endpoint].connections.discard(transport)

    setattr(PlatformConnector, "_shadow", shadow)  # noqa: B010 - `replace` needs an existing attribute
    replace(PlatformConnector, "start", twice)


def forgets_state_beside() -> None:
    """Forgets the KV state after a release during an open decode, so that it is not released again."""
    from ramppulley.service.core import Core

    release: Any = Core._release_kv_state

    def once(self: Any, tracked: Any) -> None:
        release(self, tracked)
        tracked.state = tracked.state_endpoint = None

    replace(Core, "_release_kv_state", once)


def releases_once() -> None:
    """Never repeats the release after an attempt that was cancelled."""
    from ramppulley.engines.platform.releases import KvReleases

    replace(KvReleases, "repeat_release", lambda self, tracked, endpoint: None)


def begins_for_nobody() -> None:
    """Does not check whether the client is connected before an attempt begins."""
    from ramppulley.service import permission

    may_begin = permission.may_begin_attempt

    def without_client_check(facts: permission.AttemptFacts) -> permission.Refusal | None:
        return may_begin(facts._replace(client_gone=False))

    replace(permission, "may_begin_attempt", without_client_check)


def impatient_watch() -> None:
    """Abandons a call to discovery that has returned nothing yet, and starts the next call."""
    from ramppulley.fleet.platform import watch

    watch.TIMEOUTS = watch.TIMEOUTS._replace(slow_line_s=watch.TIMEOUTS.first_line_s)


class Mutant(NamedTuple):
    """A planted fault, and the kinds of faults in a schedule that expose it."""

    plant: Callable[[], None]
    shows_under: tuple[str, ...]


MUTANTS = {
    "wall_clock": Mutant(wall_clock, ("clock_forward", "worker_join", "worker_crash")),
    "accept_dies": Mutant(accept_dies, ("system_accept", "client_slow_write")),
    "ignores_leaving": Mutant(ignores_leaving, ("client_leave", "worker_hang", "link_refuse")),
    "ignores_drain": Mutant(ignores_drain, ("worker_drain", "worker_slow")),
    "endless_watch": Mutant(endless_watch, ("discovery_silent", "worker_drain")),
    "no_release": Mutant(no_release, ("client_leave", "worker_hang")),
    "release_waits": Mutant(release_waits, ("link_stall", "link_pieces")),
    "whole_deadline_told": Mutant(whole_deadline_told, ("worker_decline", "worker_slow")),
    "lost_means_never_ran": Mutant(lost_means_never_ran, ("link_reset_answer", "worker_half")),
    "holds_events": Mutant(holds_events, ("client_slow_write", "worker_decline")),
    "patient_with_stalled": Mutant(patient_with_stalled, ("client_stall_in_request", "client_slow_write")),
    "stops_at_once": Mutant(stops_at_once, ("signal_term", "worker_slow")),
    "takes_after_shutdown": Mutant(takes_after_shutdown, ("signal_term", "client_slow_write")),
    "closes_rejected": Mutant(closes_rejected, ("worker_hang", "worker_decline")),
    "late_timers": Mutant(late_timers, ("worker_hang", "link_stall")),
    "dies_by_reload": Mutant(dies_by_reload, ("signal_hup", "discovery_slow")),
    "serves_used_ids": Mutant(serves_used_ids, ("client_repeat_id", "client_leave")),
    "repeats_late": Mutant(repeats_late, ("worker_half", "worker_garbage")),
    "two_attempts": Mutant(two_attempts, ("worker_slow", "worker_decline")),
    "forgets_state_beside": Mutant(forgets_state_beside, ("worker_queue", "worker_decline")),
    "releases_once": Mutant(releases_once, ("worker_deaf", "worker_queue")),
    "impatient_watch": Mutant(impatient_watch, ("discovery_slow", "worker_drain")),
    "no_memory_limit": Mutant(no_memory_limit, ("client_large_body", "client_leave")),
    "believes_chunk_sizes": Mutant(believes_chunk_sizes, ("worker_huge_chunk", "client_leave")),
    "cuts_slow_events": Mutant(cuts_slow_events, ("worker_slow_events", "client_leave")),
    "reads_all_told": Mutant(reads_all_told, ("discovery_hostile", "client_leave")),
    "counts_blank_events": Mutant(counts_blank_events, ("worker_hostile", "client_leave")),
    "reads_without_turns": Mutant(reads_without_turns, ("client_hostile", "client_leave")),
    "begins_for_nobody": Mutant(begins_for_nobody, ("client_leave", "system_slow_turns", "worker_half")),
}


def main(name: str) -> int:
    """Runs a router with this fault; returns the exit status of the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from ramppulley.daemon.platform.command import main as run_platform

    MUTANTS[name].plant()
    return run_platform()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
