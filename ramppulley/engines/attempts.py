"""What every connector does alike: one task for each attempt, from its wait for a connection to its one End.

A connector says how a request looks (`_build_request`) and what a response means (`_read_response`).
"""

import asyncio
import errno
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from ramppulley import door
from ramppulley.engines.connections import (
    MIN_IDLE_S,
    MIN_IDLE_UNSAFE_S,
    ConnectionBudget,
    ConnectionLimitError,
    ConnectionPool,
)
from ramppulley.engines.proof import Failure, Stage, outcome_of
from ramppulley.service import permission
from ramppulley.service.clock import TENTHS
from ramppulley.service.neutral import AttemptResult, EngineAttempt
from ramppulley.service.permission import AttemptFacts, Refusal, WriteFacts
from ramppulley.wire import http
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport

SETTLE_TIMEOUT_S = 1.0  # cancelled attempts and the releases behind them get so long before `close`
SETTLE_POLL_S = 0.005
GONE_RETENTION_S = 30.0  # what is kept for a worker that is gone: what it holds may still be released there
MAX_CALL_BODY_BYTES = 1 << 20  # of the response to a control call
_STAGES: list[str] = list(Stage)

Address = tuple[str, int]


class AttemptEndedError(Exception):
    """Carries the End of an attempt out of its stages."""

    def __init__(self, end: AttemptResult) -> None:
        super().__init__(end.reason)
        self.end = end


class ListedState(NamedTuple):
    """What the endpoint list says of a worker, as far as it decides whether an attempt may go there."""

    state: str
    born: int | None
    address: Address


class Worker:
    """What a connector keeps for one worker."""

    def __init__(
        self, address: Address, max_connections: int, idle_timeout_s: float, budget: ConnectionBudget | None
    ) -> None:
        self.address = address
        self.gone_since: float | None = None  # by the clock of the event loop
        self.extensions: frozenset[str] = frozenset()  # of the protocol, that it has announced
        self.connections = ConnectionPool(*address, max_connections, idle_timeout_s, budget)


@dataclass(eq=False, slots=True)
class AttemptRun:
    """What a running attempt holds: its parser, and its connection while it has one."""

    connections: ConnectionPool
    parser: http.AnswerParser
    transport: Transport | None = None
    reusable: bool = False  # the connection, once the attempt has ended
    short_of_time: bool = False  # it has less time than a connect may take

    def close(self) -> None:
        """Gives the connection back."""
        self.parser.close()
        if self.transport is not None:
            (self.connections.release if self.reusable else self.connections.discard)(self.transport)


class BaseConnector:
    """All workers by their boxes. `budget` bounds the open connections to all of them."""

    max_body_bytes = 1 << 20  # of a response that wait to be taken

    def __init__(
        self,
        log: Any,
        max_connections: int,
        idle_timeout_s: float,
        connect_timeout_s: float,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self.log, self.max_connections, self.idle_timeout_s = log, max_connections, idle_timeout_s
        self.connect_timeout_s, self.budget = connect_timeout_s, budget
        self.workers: dict[door.Endpoint, Worker] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.closing = False
        self.refresh_list: Callable[[], None] = lambda: None  # reads what discovery has written by now

    def set_address(self, endpoint: door.Endpoint, address: Address) -> None:
        """A worker's address. Another one than before closes the old connections; closed ones are replaced by a new pool."""
        worker = self.workers.get(endpoint)
        if worker is None or worker.address != address or worker.connections.closed:
            if worker:
                worker.connections.close()
            self.workers[endpoint] = Worker(address, self.max_connections, self.idle_timeout_s, self.budget)

    def set_idle_timeout(self, seconds: float) -> None:
        """How long an idle connection is kept from now on, also one that is idle already."""
        self.idle_timeout_s = seconds
        for worker in self.workers.values():
            worker.connections.idle_timeout_s = seconds

    def expire_idle(self) -> None:
        """Closes the connections that have been idle for too long, and forgets workers that have been gone for long; to be
        called now and then."""
        for worker in self.workers.values():
            worker.connections.expire_idle()
        for endpoint in [
            endpoint for endpoint, worker in self.workers.items() if self._gone_for_long(endpoint, worker)
        ]:
            self.workers.pop(endpoint).connections.close()

    def _gone_for_long(self, endpoint: door.Endpoint, worker: Worker) -> bool:
        if endpoint.state != "gone":
            worker.gone_since = None
            return False
        now = asyncio.get_running_loop().time()
        if worker.gone_since is None:
            worker.gone_since = now
        return now - worker.gone_since >= GONE_RETENTION_S

    def has_releases(self) -> bool:
        """Whether KV state that workers hold is about to be released."""
        raise NotImplementedError

    async def settle(self, cores: Iterable[Any]) -> None:
        """Waits for attempts and releases, before `close` and once all requests have ended.

        A cancelled attempt may have left a KV state, whose release is owed some turns of the loop later and then takes a
        call to a worker.
        """
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while self.has_releases() or any(
                    tracked.open_attempts for core in cores for tracked in core.requests.values()
                ):
                    await asyncio.sleep(SETTLE_POLL_S)
        except TimeoutError:
            self.log.warning("releases that no worker took in time, or that might be repeated, are given up")

    async def close(self) -> None:
        """Cancels what still runs and closes all connections."""
        self.closing = True
        for task in set(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for worker in self.workers.values():
            worker.connections.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Connector
    def start(self, core: Any, attempt: EngineAttempt) -> None:
        """Begins an attempt; its End is reported to `core`."""
        attempt.stage, attempt.listed_state = Stage.QUEUE, self._listed_state(attempt.endpoint)
        attempt.connections = self._pool_of(attempt.endpoint)  # a worker that is chosen is listed
        attempt.task = self._spawn(self._run_attempt(core, attempt))
        attempt.task.add_done_callback(lambda task: self._attempt_ended(core, attempt, self._end_of(attempt, task)))

    def cancel(self, attempt: EngineAttempt) -> None:
        """Ends an attempt; its End is reported as any other."""
        attempt.task.cancel()

    # For connectors
    def _attempt_ended(self, core: Any, attempt: EngineAttempt, end: AttemptResult) -> None:
        core.attempt_ended(attempt, end)

    async def _before_first_byte(self, attempt: EngineAttempt) -> None:
        """Waits for what must be over before this attempt's first byte."""

    def _build_request(self, attempt: EngineAttempt, connections: ConnectionPool) -> bytes:
        raise NotImplementedError

    async def _read_response(
        self,
        core: Any,
        attempt: EngineAttempt,
        transport: Transport,
        timeout: asyncio.Timeout,
        parser: http.AnswerParser,
    ) -> tuple[AttemptResult, bool]:
        """(End, whether the connection may be used again)."""
        raise NotImplementedError

    def _outcome_of_corrupt(self, attempt: EngineAttempt) -> str:
        """What a response that cannot be read proves."""
        return outcome_of(max(attempt.stage, Stage.WAIT, key=_STAGES.index), Failure.CORRUPT)

    async def _guarded(self, call: Awaitable[Any], on_failure: Callable[[], Any]) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await call
        except (OSError, TimeoutError, BadMessage):
            on_failure()

    async def _exchange(self, transport: Transport, request: bytes) -> http.AnswerParser:
        """One control call: the parser of its whole response.

        Raises BadMessage, or OSError where the connection ends first.
        """
        parser = http.AnswerParser(MAX_CALL_BODY_BYTES)
        try:
            await transport.send(request)
            while not parser.done:
                data = await transport.receive()
                if not data:
                    raise ConnectionResetError(errno.ECONNRESET, "the connection ended")
                parser.feed(data)
        finally:
            parser.close()
        return parser

    # One attempt
    def _end_of(self, attempt: EngineAttempt, task: asyncio.Task[AttemptResult]) -> AttemptResult:
        if task.cancelled():
            return AttemptResult(outcome_of(attempt.stage, Failure.CANCELLED), "withdrawn")
        error = task.exception()
        if error is not None:  # our own; as we cannot tell how far it came, it may have run
            self.log.error("connector fault", question=attempt.tracked.request.name, error=repr(error))
            return AttemptResult(door.FAULT, f"a fault in the router: {error!r}")
        return task.result()

    def _listed_state(self, endpoint: door.Endpoint) -> ListedState | None:
        """None for a worker that was gone for long."""
        worker = self.workers.get(endpoint)
        return None if worker is None else ListedState(endpoint.state, endpoint.born, worker.address)

    def _pool_of(self, endpoint: door.Endpoint) -> ConnectionPool:
        """Raises ConnectionRefusedError for a worker that was gone for long."""
        worker = self.workers.get(endpoint)
        if worker is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the worker is gone")
        return worker.connections

    def _final_check(self, core: Any, attempt: EngineAttempt) -> AttemptResult | None:
        """The End of an attempt that must not begin any more. No wait lies between this and the first byte."""
        refusal = permission.may_begin_attempt(
            AttemptFacts(
                client_gone=attempt.tracked.sink.gone(),
                answered=attempt.tracked.final_answer is not None or attempt.cancelled,
                worker_changed=self._listed_state(attempt.endpoint)
                != attempt.listed_state,  # it drains, is gone, began anew or moved
                window_over=core.repeat_window_over(attempt),
                remaining=core.remaining_timeout(attempt),
            )
        )
        if refusal is None:
            return None
        core.attempt_refused(attempt, refusal)
        if refusal is Refusal.CLIENT_GONE:
            core.client_left(attempt.tracked)
        return AttemptResult(outcome_of(attempt.stage, Failure.CANCELLED), refusal)

    async def _run_attempt(self, core: Any, attempt: EngineAttempt) -> AttemptResult:
        """One attempt from its wait for a connection to its End; raises only faults of our own and CancelledError."""
        run = AttemptRun(attempt.connections, http.AnswerParser(self.max_body_bytes))
        try:
            async with asyncio.timeout(core.remaining_timeout(attempt) / TENTHS) as timeout:
                transport = await self._write_on_a_connection(core, attempt, run)
                end, run.reusable = await self._read_response(core, attempt, transport, timeout, run.parser)
                return end
        except AttemptEndedError as ended:
            return ended.end
        except (BadMessage, OSError) as error:  # also TimeoutError
            return self._end_of_error(attempt, run, error)
        finally:
            run.close()

    async def _write_on_a_connection(self, core: Any, attempt: EngineAttempt, run: AttemptRun) -> Transport:
        """Writes the request, on another connection where an idle one turned out unusable; raises AttemptEndedError."""
        connections = run.connections

        def on_capacity() -> None:
            attempt.stage = Stage.CONNECT

        while True:
            time_left_s = core.remaining_timeout(attempt) / TENTHS
            run.short_of_time = time_left_s < self.connect_timeout_s
            transport = run.transport = await connections.acquire(
                min(self.connect_timeout_s, time_left_s), on_capacity, min_idle_s=_min_idle_s(attempt)
            )
            attempt.stage = Stage.QUEUE  # what ends it from here to its first byte says nothing of the worker
            await self._before_first_byte(attempt)
            self.refresh_list()  # before the time is read: a long list takes some to parse
            attempt.remaining = core.remaining_timeout(attempt)
            request = self._build_request(attempt, connections)
            end = self._final_check(core, attempt)
            if end is not None:
                connections.release_unused(transport)
                run.transport = None
                raise AttemptEndedError(end)
            attempt.stage = Stage.WRITE
            if await self._write(transport, request):
                attempt.stage = Stage.WAIT
                return transport
            connections.discard(transport)
            run.transport, attempt.stage = None, Stage.QUEUE

    async def _write(self, transport: Transport, request: bytes) -> bool:
        """Writes the request; False where the connection turned out unusable before the last byte was written.

        What is there by then on a connection that was idle cannot be the answer to this request: it is a second answer
        to an earlier one, or the connection's end. No worker begins a request without its last byte, so that it may be
        written again on another connection. A new connection has no earlier request: what it does is its worker's.
        """
        was_idle = transport.idle_before_use_s is not None
        if not was_idle:
            await transport.send(request)
            return True
        try:
            await transport.send(request[:-1])
            facts = WriteFacts(was_idle, last_byte_written=False, quiet=transport.is_quiet())
            if permission.may_write_last_byte(facts) is not None:
                return permission.may_repeat_write(facts) is not None
            await transport.send(request[-1:])
        except OSError:  # also of the last byte: it was not taken
            return False
        return True

    def _end_of_error(self, attempt: EngineAttempt, run: AttemptRun, error: Exception) -> AttemptResult:
        """What an error in an attempt proves of its worker."""
        if isinstance(error, BadMessage):
            return AttemptResult(self._outcome_of_corrupt(attempt), str(error))
        if isinstance(error, TimeoutError):
            ours = run.short_of_time and attempt.stage == Stage.CONNECT
            failure = Failure.CANCELLED if ours else Failure.TIMED_OUT
            return AttemptResult(outcome_of(attempt.stage, failure), f"timed out, {attempt.stage}")
        reason = getattr(error, "strerror", None)
        if isinstance(error, ConnectionLimitError):  # ours, before a byte went out
            return AttemptResult(door.STALE, f"{attempt.stage}: {reason}")
        return AttemptResult(
            outcome_of(attempt.stage, Failure.LOST), f"{attempt.stage}: {reason or error}{_idle_note(run.transport)}"
        )


def _idle_note(transport: Transport | None) -> str:
    """How long a lost connection had been idle before its use, for the log."""
    if transport is None or transport.idle_before_use_s is None:
        return ""
    return f", after {transport.idle_before_use_s * 1000:.0f} ms at rest"


def _min_idle_s(attempt: EngineAttempt) -> float:
    """How long a connection must have been idle for this attempt: longer where a wrong answer would have it run twice."""
    unsafe = not attempt.is_prefill and attempt.tracked.view.use_case.effect != "pure"
    return MIN_IDLE_UNSAFE_S if unsafe else MIN_IDLE_S
