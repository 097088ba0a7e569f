"""Common base of the engine connectors: one task per attempt, from its wait for a connection to its single result.

Subclasses build the request (`_build_request`) and interpret the response (`_read_response`).
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
from ramppulley.wire.faults import BadMessage, PendingError
from ramppulley.wire.read_scheduler import ReadScheduler
from ramppulley.wire.sockets import Transport

SETTLE_TIMEOUT_S = 1.0  # limit of `settle` for cancelled attempts and the releases that follow them
SETTLE_POLL_S = 0.005
GONE_RETENTION_S = 30.0  # a worker that is gone is kept this long: its KV state may still be released
READ_BUDGET_S = 0.004  # what one iteration of the event loop spends on parsing what workers send
NO_EXTENSIONS: frozenset[str] = frozenset()
_STAGES: list[str] = list(Stage)

Address = tuple[str, int]


class AttemptEndedError(Exception):
    """Ends an attempt with `result` from within any of its stages."""

    def __init__(self, result: AttemptResult) -> None:
        super().__init__(result.reason)
        self.result = result


class ListedState(NamedTuple):
    """The endpoint list's view of a worker, as far as it decides whether an attempt may be sent there."""

    state: str
    incarnation: int | None
    address: Address


class Worker:
    """A connector's state for one worker."""

    def __init__(
        self, address: Address, max_connections: int, idle_timeout_s: float, budget: ConnectionBudget | None
    ) -> None:
        self.address = address
        self.gone_since: float | None = None  # event loop time
        self.extensions = NO_EXTENSIONS  # protocol extensions that the worker has announced
        self.connections = ConnectionPool(*address, max_connections, idle_timeout_s, budget)


@dataclass(eq=False, slots=True)
class AttemptRun:
    """The resources of a running attempt: its parser, and its connection while it has one."""

    connections: ConnectionPool
    parser: http.ResponseParser
    transport: Transport | None = None
    reusable: bool = False  # whether the connection may be used again after the attempt
    deadline_limits_connect: bool = False  # the time left is shorter than the connect timeout

    def close(self) -> None:
        """Returns the connection to the pool, or discards it."""
        self.parser.close()
        if self.transport is not None:
            (self.connections.release if self.reusable else self.connections.discard)(self.transport)


class BaseConnector:
    """Connections to all workers, by endpoint. `budget` bounds the connections open to all of them together."""

    max_body_bytes = 1 << 20  # of a response, received and not yet taken from the parser
    max_chunk_bytes = 1 << 20  # of a response; a larger one is an error as soon as its size is known
    max_call_body_bytes = 1 << 20  # of a control call's response

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
        self.reads = ReadScheduler(READ_BUDGET_S)
        self.refresh_list: Callable[[], None] = lambda: None  # applies endpoint list updates not read yet

    def set_address(self, endpoint: door.Endpoint, address: Address) -> None:
        """Sets a worker's address. A changed address closes the old connections; a closed pool is replaced by a new one."""
        worker = self.workers.get(endpoint)
        if worker is None or worker.address != address or worker.connections.closed:
            if worker:
                worker.connections.close()
            self.workers[endpoint] = Worker(address, self.max_connections, self.idle_timeout_s, self.budget)

    def set_idle_timeout(self, seconds: float) -> None:
        """Sets the idle timeout, also for connections that are idle already."""
        self.idle_timeout_s = seconds
        for worker in self.workers.values():
            worker.connections.idle_timeout_s = seconds

    def expire_idle(self) -> None:
        """Closes connections past their idle timeout and forgets workers gone for longer than GONE_RETENTION_S.

        To be called periodically.
        """
        for connections in self._pools_with_idle():
            connections.expire_idle()
        forgotten = []
        for endpoint, worker in self.workers.items():
            if endpoint.state != "gone":
                worker.gone_since = None
            elif self._gone_past_retention(worker):
                forgotten.append(endpoint)
        for endpoint in forgotten:
            self.workers.pop(endpoint).connections.close()

    def _pools_with_idle(self) -> list[ConnectionPool]:
        """The pools that may have idle connections: a common budget knows them, most workers of a large fleet have none."""
        if self.budget is None:
            return [worker.connections for worker in self.workers.values()]
        return list(dict.fromkeys(self.budget.idle.values()))

    def _gone_past_retention(self, worker: Worker) -> bool:
        now = asyncio.get_running_loop().time()
        if worker.gone_since is None:
            worker.gone_since = now
        return now - worker.gone_since >= GONE_RETENTION_S

    def has_releases(self) -> bool:
        """Whether releases of KV state are pending or running."""
        raise NotImplementedError

    async def settle(self, cores: Iterable[Any]) -> None:
        """Waits for open attempts and releases to finish; called once all requests have ended, before `close`.

        A cancelled attempt may have left KV state. Its release is scheduled a few event loop iterations later and then
        takes a call to a worker.
        """
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while self.has_releases() or any(
                    tracked.open_attempts for core in cores for tracked in core.requests.values()
                ):
                    await asyncio.sleep(SETTLE_POLL_S)
        except TimeoutError:
            self.log.warning("gave up releases that no worker confirmed in time or that may need repeating")

    async def close(self) -> None:
        """Cancels all running tasks and closes all connections."""
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

    # The Connector interface
    def start(self, core: Any, attempt: EngineAttempt) -> None:
        """Starts an attempt; its result is reported to `core`."""
        attempt.stage, attempt.listed_state = Stage.QUEUE, self._listed_state(attempt.endpoint)
        attempt.connections = self._pool_of(attempt.endpoint)  # a chosen worker is always listed
        attempt.task = self._spawn(self._run_attempt(core, attempt))
        attempt.task.add_done_callback(
            lambda task: self._attempt_ended(core, attempt, self._result_of_task(attempt, task))
        )

    def cancel(self, attempt: EngineAttempt) -> None:
        """Cancels an attempt; its result is reported like any other."""
        attempt.task.cancel()

    # Hooks and helpers for subclasses
    def _attempt_ended(self, core: Any, attempt: EngineAttempt, result: AttemptResult) -> None:
        core.attempt_ended(attempt, result)

    async def _before_first_byte(self, attempt: EngineAttempt) -> None:
        """Waits for whatever must finish before this attempt's first byte is written."""

    def _build_request(self, attempt: EngineAttempt, connections: ConnectionPool) -> list[bytes]:
        """The request in parts, which are written one after another."""
        raise NotImplementedError

    async def _read_response(
        self,
        core: Any,
        attempt: EngineAttempt,
        transport: Transport,
        timeout: asyncio.Timeout,
        parser: http.ResponseParser,
    ) -> tuple[AttemptResult, bool]:
        """Returns the attempt's result and whether the connection may be used again."""
        raise NotImplementedError

    def _outcome_of_corrupt_response(self, attempt: EngineAttempt) -> str:
        """The outcome of a response that cannot be parsed."""
        return outcome_of(max(attempt.stage, Stage.WAIT, key=_STAGES.index), Failure.CORRUPT)

    async def _call_with_timeout(self, call: Awaitable[Any], on_failure: Callable[[], Any]) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await call
        except (OSError, TimeoutError, BadMessage):
            on_failure()

    async def _exchange(self, transport: Transport, request: bytes) -> http.ResponseParser:
        """Performs one control call and returns the parser of its complete response.

        Raises BadMessage, or OSError if the connection ends first.
        """
        parser = http.ResponseParser(self.max_call_body_bytes)
        try:
            await transport.send(request)
            while not parser.done:
                data = await transport.receive()
                if not data:
                    raise ConnectionResetError(errno.ECONNRESET, "the connection ended")
                await self._feed(parser, data)
        finally:
            parser.close()
        return parser

    async def _feed(self, parser: http.ResponseParser, data: bytes) -> None:
        """Parses received bytes when it is their turn; raises BadMessage."""
        fault = PendingError()

        def parse() -> None:
            try:
                parser.feed(data)
            except BadMessage as error:
                fault.store(error)

        await self.reads.run(parse)
        fault.raise_stored()

    # One attempt
    def _result_of_task(self, attempt: EngineAttempt, task: asyncio.Task[AttemptResult]) -> AttemptResult:
        if task.cancelled():
            return AttemptResult(outcome_of(attempt.stage, Failure.CANCELLED), "withdrawn")
        error = task.exception()
        if error is not None:  # a bug in the router: the attempt's progress is unknown, so it may have run
            self.log.error("connector fault", question=attempt.tracked.request.name, error=repr(error))
            return AttemptResult(door.FAULT, f"a fault in the router: {error!r}")
        return task.result()

    def _listed_state(self, endpoint: door.Endpoint) -> ListedState | None:
        """None for a worker that was forgotten after being gone."""
        worker = self.workers.get(endpoint)
        return None if worker is None else ListedState(endpoint.state, endpoint.born, worker.address)

    def _pool_of(self, endpoint: door.Endpoint) -> ConnectionPool:
        """Raises ConnectionRefusedError for a worker that was forgotten after being gone."""
        worker = self.workers.get(endpoint)
        if worker is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the worker is gone")
        return worker.connections

    def _final_check(self, core: Any, attempt: EngineAttempt) -> AttemptResult | None:
        """The result of an attempt that may no longer start, else None. Nothing is awaited from here to the first byte."""
        refusal = permission.may_begin_attempt(
            AttemptFacts(
                client_gone=attempt.tracked.sink.gone(),
                answered=attempt.tracked.final_answer is not None or attempt.cancelled,
                # Draining, gone, restarted or moved.
                worker_changed=self._listed_state(attempt.endpoint) != attempt.listed_state,
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
        """Runs an attempt from its wait for a connection to its result; raises only CancelledError and internal errors."""
        run = AttemptRun(attempt.connections, http.ResponseParser(self.max_body_bytes, self.max_chunk_bytes))
        try:
            async with asyncio.timeout(core.remaining_timeout(attempt) / TENTHS) as timeout:
                transport = await self._send_request(core, attempt, run)
                result, run.reusable = await self._read_response(core, attempt, transport, timeout, run.parser)
                return result
        except AttemptEndedError as ended:
            return ended.result
        except (BadMessage, OSError) as error:  # OSError includes TimeoutError
            return self._result_of_error(attempt, run, error)
        finally:
            run.close()

    async def _send_request(self, core: Any, attempt: EngineAttempt, run: AttemptRun) -> Transport:
        """Writes the request, retrying on another connection if an idle one was unusable; raises AttemptEndedError."""
        connections = run.connections

        def on_capacity() -> None:
            attempt.stage = Stage.CONNECT

        while True:
            time_left_s = core.remaining_timeout(attempt) / TENTHS
            run.deadline_limits_connect = time_left_s < self.connect_timeout_s
            transport = run.transport = await connections.acquire(
                min(self.connect_timeout_s, time_left_s), on_capacity, min_idle_s=_min_idle_s(attempt)
            )
            attempt.stage = Stage.QUEUE  # a failure from here to the first byte is not the worker's
            await self._before_first_byte(attempt)
            self.refresh_list()  # before reading the clock: parsing a long list takes time
            attempt.remaining = core.remaining_timeout(attempt)
            request = self._build_request(attempt, connections)
            result = self._final_check(core, attempt)
            if result is not None:
                connections.release_unused(transport)
                run.transport = None
                raise AttemptEndedError(result)
            attempt.stage = Stage.WRITE
            if await self._write(transport, request):
                attempt.stage = Stage.WAIT
                return transport
            connections.discard(transport)
            run.transport, attempt.stage = None, Stage.QUEUE

    async def _write(self, transport: Transport, request: list[bytes]) -> bool:
        """Writes the request; returns False if the connection was unusable before the last byte was written.

        Data or EOF that is readable by then on a reused connection cannot be the response to this request: it is a second
        response to an earlier one, or the close of the connection. No worker starts a request before its last byte, so
        the request may be written again on another connection. A new connection had no earlier request, so anything
        that it delivers is attributed to its worker.
        """
        was_idle = transport.idle_before_use_s is not None
        if not was_idle:
            for part in request:
                await transport.send(part)
            return True
        *parts, last_part = request
        try:
            for part in [*parts, memoryview(last_part)[:-1]]:
                await transport.send(part)
            facts = WriteFacts(was_idle, last_byte_written=False, quiet=transport.is_quiet())
            if permission.may_write_last_byte(facts) is not None:
                return permission.may_repeat_write(facts) is not None
            await transport.send(last_part[-1:])
        except OSError:  # also while writing the last byte: the kernel did not accept it
            return False
        return True

    def _result_of_error(self, attempt: EngineAttempt, run: AttemptRun, error: Exception) -> AttemptResult:
        """The result for an attempt that failed with this error."""
        if isinstance(error, BadMessage):
            return AttemptResult(self._outcome_of_corrupt_response(attempt), f"{error}{_events_note(attempt)}")
        if isinstance(error, TimeoutError):
            limited_by_deadline = run.deadline_limits_connect and attempt.stage == Stage.CONNECT
            failure = Failure.CANCELLED if limited_by_deadline else Failure.TIMED_OUT
            reason = f"timed out, {attempt.stage}{_events_note(attempt)}"
            return AttemptResult(outcome_of(attempt.stage, failure), reason)
        reason = getattr(error, "strerror", None)
        if isinstance(error, ConnectionLimitError):  # a local limit, before any byte was written
            return AttemptResult(door.STALE, f"{attempt.stage}: {reason}")
        return AttemptResult(
            outcome_of(attempt.stage, Failure.LOST), f"{attempt.stage}: {reason or error}{_idle_note(run.transport)}"
        )


def _events_note(attempt: EngineAttempt) -> str:
    """For the log: how much of a stream had come, if it had begun."""
    return f", after {attempt.event_count} events" if attempt.event_count else ""


def _idle_note(transport: Transport | None) -> str:
    """For the log: how long a lost connection had been idle before this use."""
    if transport is None or transport.idle_before_use_s is None:
        return ""
    return f", after {transport.idle_before_use_s * 1000:.0f} ms at rest"


def _min_idle_s(attempt: EngineAttempt) -> float:
    """Idle time required of a reused connection: longer where a mistaken response would make the request run twice."""
    unsafe = not attempt.is_prefill and attempt.tracked.view.use_case.effect != "pure"
    return MIN_IDLE_UNSAFE_S if unsafe else MIN_IDLE_S
