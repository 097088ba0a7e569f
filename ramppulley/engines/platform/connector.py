"""The connector for the platform's workers: a client's request goes to a prefill worker, then unchanged to a decode worker.

A request's KV state is released by `DELETE`, which any worker accepts. The worker that responded most recently is called
first, so that the death of the worker holding the state cannot block the release. A prefill whose result was not received
may have left KV state without naming it; that is released as well.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from ramppulley import door
from ramppulley.engines.attempts import AttemptEndedError, BaseConnector
from ramppulley.engines.connections import ConnectionBudget, ConnectionLimitError, ConnectionPool
from ramppulley.engines.platform.proof import status_outcome
from ramppulley.engines.platform.releases import DELAY_S, KvReleases, ReleaseResult
from ramppulley.engines.platform.stream import EventStream
from ramppulley.engines.proof import Failure, Stage, outcome_of
from ramppulley.engines.stream_timeout import StreamTimeout
from ramppulley.engines.usage import usage_of
from ramppulley.service.clock import TENTHS
from ramppulley.service.memory import NOTHING, MemoryAccount, MemoryBudget, MemoryUse
from ramppulley.service.neutral import AttemptResult, EngineAttempt, TrackedRequest
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport

IDLE_TIMEOUT_SHARE = 0.8  # of the worker's idle timeout; beyond it, the worker's close may cross a new request
DEFAULT_IDLE_TIMEOUT_S = 1.0  # if the settings give no idle timeout
STREAM_IDLE_TIMEOUT_S = 4.4  # without an event: a client may wait 5 s at most (PROTOCOL, Figures)


# Responses that are not streams are small; a report or a count of tokens.
MAX_WHOLE_RESPONSE_BYTES = 64 * 1024
FREE_RESPONSE_BYTES = 4 * 1024  # of a response, which are not charged to the pool: most responses never hold more
MEMORY_POLL_S = 0.02  # between looks whether more may be received


@dataclass(eq=False, slots=True)
class Response:
    """A response being received."""

    parser: http.ResponseParser
    account: MemoryAccount
    report: door.LoadReport | None = None
    stream: EventStream | None = None

    def held_bytes(self) -> int:
        """What has been received and was not passed on."""
        return self.parser.held_bytes() + (self.stream.held_bytes() if self.stream else 0)


class PlatformConnector(BaseConnector):
    """Connector for all workers. `profile` gives their timeouts and how they report load; `memory` bounds what they send."""

    max_body_bytes = max_call_body_bytes = MAX_WHOLE_RESPONSE_BYTES

    def __init__(self, log: Any, profile: Any, budget: ConnectionBudget, memory: MemoryBudget | None = None) -> None:
        self.memory = memory or MemoryBudget()
        self.waiting_for_memory: dict[MemoryAccount, None] = {}  # of responses, the one that waits longest first
        # One above the total budget, so that exhaustion raises ConnectionLimitError: a wait for a pool's capacity would not.
        super().__init__(log, budget.max_open + 1, 0.0, 0.0, budget)
        self.releases = KvReleases(log, self.workers, self._release_at, self._spawn, self._release_limit_s, self.memory)
        self.configure(profile)

    def configure(self, profile: Any) -> None:
        """Applies new timeouts to attempts and calls that start from now on, and a new interpretation of load reports."""
        self.profile, self.reports_in_responses = profile, profile.report_mode == "answers"
        self.connect_timeout_s = profile.connect_timeout / TENTHS
        self.set_idle_timeout(
            IDLE_TIMEOUT_SHARE * profile.idle_timeout / TENTHS if profile.idle_timeout else DEFAULT_IDLE_TIMEOUT_S
        )

    def record_response(self, endpoint: door.Endpoint) -> None:
        """Records that a worker has just responded."""
        self.releases.record_response(endpoint)

    def close_worker(self, endpoint: door.Endpoint) -> None:
        """Closes the pool of a worker that is gone."""
        self.releases.forget_response(endpoint)
        self.workers[endpoint].connections.close()

    # The Connector interface
    def reserve(self, core: Any, tracked: TrackedRequest, endpoint: door.Endpoint) -> None:
        """Answers that nothing was reserved: the protocol has no reservations."""
        asyncio.get_running_loop().call_soon(core.reservation_answered, tracked, endpoint, False)

    def release(self, tracked: TrackedRequest, endpoint: door.Endpoint | None, state: Any) -> None:
        """Releases all KV state of a request, at whichever worker it is.

        A worker does not free state that an attempt waits for. After a decode was given up, its worker must first see the
        connection close, so the release is delayed.
        """
        last_result = tracked.attempts[-1].result if tracked.attempts else None
        given_up = last_result is not None and last_result[1].outcome not in door.ANSWERED
        self._schedule_release(tracked, DELAY_S if given_up else 0.0)
        decode = next((attempt for attempt in tracked.open_attempts if not attempt.is_prefill), None)
        if decode is not None and not self.closing:
            self.releases.repeat_release(tracked, decode.endpoint)

    def probe(self, core: Any, endpoint: door.Endpoint) -> None:
        """Requests a worker's load report; the result is passed to `core.probed`."""
        self._spawn(self._probe(core, endpoint))

    async def close(self) -> None:
        """Also stops repeating releases."""
        self.releases.close()
        await super().close()

    def has_releases(self) -> bool:
        """Whether releases are pending, running or to be repeated."""
        return self.releases.outstanding()

    # Releases
    def _attempt_ended(self, core: Any, attempt: EngineAttempt, result: AttemptResult) -> None:
        may_have_left_state = attempt.is_prefill and result.outcome not in door.NEVER_RAN
        unanswered = attempt.first_token_at is None and result.outcome not in door.ANSWERED + door.NEVER_RAN
        if may_have_left_state:
            self._schedule_release(attempt.tracked, DELAY_S)  # the worker has to see the connection close first
        if (may_have_left_state or unanswered) and not self.closing:
            self.releases.repeat_release(attempt.tracked, attempt.endpoint)
        super()._attempt_ended(core, attempt, result)
        if attempt.tracked in self.releases.pending:  # it was waiting for this attempt to end
            asyncio.get_running_loop().call_soon(self.releases.start, attempt.tracked)

    def _release_limit_s(self) -> float:
        return float(self.profile.policy_settings.let_go_within) / TENTHS

    def _schedule_release(self, tracked: TrackedRequest, delay_s: float) -> None:
        if not self.closing:
            self.releases.schedule(tracked, delay_s)

    async def _before_first_byte(self, attempt: EngineAttempt) -> None:
        await self.releases.before_first_byte(attempt)

    async def _release_at(self, endpoint: door.Endpoint, request_id: str) -> ReleaseResult:
        try:
            async with asyncio.timeout(self.connect_timeout_s / 2):
                status, _ = await self._call(endpoint, "DELETE", platform.lease_path(request_id), control=True)
            return ReleaseResult.RELEASED if status < 300 else ReleaseResult.FAILED
        except ConnectionLimitError:
            return ReleaseResult.NOT_CALLED
        except (OSError, TimeoutError, BadMessage):
            return ReleaseResult.FAILED

    # Control calls
    async def _probe(self, core: Any, endpoint: door.Endpoint) -> None:
        outcome, report = door.TOO_SLOW, None
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                status, fields = await self._call(endpoint, "GET", platform.LOAD)
            outcome = door.DONE if status == 200 else door.FAULT if status != 503 else door.NO_ROOM
            if fields is not None:
                report = self.profile.report(fields)
        except ConnectionLimitError:
            outcome = door.STALE  # a local limit: not the worker's failure
        except BadMessage:
            outcome = door.FAULT
        except TimeoutError:
            pass
        except OSError:
            outcome = door.NO_ROUTE
        core.probed(endpoint, outcome, report)

    async def _call(
        self, endpoint: door.Endpoint, method: str, target: str, control: bool = False
    ) -> tuple[int, dict[str, Any] | None]:
        """Performs one control call; returns the status, and for GET the load report's fields or None."""
        connections = self._pool_of(endpoint)
        transport = await connections.acquire(self.connect_timeout_s, control=control)
        reusable = False
        try:
            host = f"{connections.host}:{connections.port}"
            parser = await self._exchange(transport, http.request(method, target, {"host": host}))
            reusable = parser.keep_alive
        finally:
            (connections.release if reusable else connections.discard)(transport)
        self.record_response(endpoint)
        return parser.status, platform.parse_report(parser.take() if method == "GET" else None)

    # One attempt
    def _build_request(self, attempt: EngineAttempt, connections: ConnectionPool) -> list[bytes]:
        request = attempt.tracked.request.body  # the client's http.Request
        headers = {
            "host": request.headers.get("host", "origin"),
            platform.ID: attempt.tracked.request.name,
            platform.DEADLINE: max(1, attempt.remaining // 10),  # remaining client timeout, in ms
        }
        headers |= {name: request.headers[name] for name in platform.FORWARDED_HEADERS if name in request.headers}
        return http.request_parts(request.method, request.target, headers, request.body)

    def _outcome_of_corrupt_response(self, attempt: EngineAttempt) -> str:
        """A decode worker responds only with its first token, by which time it has fetched the KV state."""
        return door.FAULT if attempt.is_prefill else door.SPOILT

    async def _read_response(
        self,
        core: Any,
        attempt: EngineAttempt,
        transport: Transport,
        timeout: asyncio.Timeout,
        parser: http.ResponseParser,
    ) -> tuple[AttemptResult, bool]:
        """Returns the attempt's result and whether the connection may be used again."""
        stream_timeout = StreamTimeout(timeout, transport, STREAM_IDLE_TIMEOUT_S)
        response = Response(parser, MemoryAccount(self.memory))
        try:
            while not parser.done:
                await self._receive(attempt, transport, response, stream_timeout)
                if parser.status and attempt.stage == Stage.WAIT:
                    self._read_head(core, attempt, response, stream_timeout)
                if response.stream is not None:
                    await response.stream.feed(parser.take())
                    self.record_response(attempt.endpoint)
                stream_timeout.handled()
                await self._wait_for_memory(response)
            if response.stream is not None:
                result = await response.stream.finish(self._read_stream_report)
            else:
                result = self._result_of_whole_response(attempt, response)
            return result, parser.keep_alive
        finally:
            stream_timeout.close()
            response.account.close()
            self.waiting_for_memory.pop(response.account, None)

    async def _wait_for_memory(self, response: Response) -> None:
        """Charges what the response holds, and waits while the pool has too much: the worker is read no further.

        The response that waits longest goes on, so that its event becomes whole. The attempt's timeout bounds the wait.
        """
        held, account = response.held_bytes(), response.account
        account.hold(MemoryUse(responses=held) if held > FREE_RESPONSE_BYTES else NOTHING)
        if not account.held.responses:
            self.waiting_for_memory.pop(account, None)
            return
        while self.memory.responses.is_exceeded():
            self.waiting_for_memory[account] = None
            if next(iter(self.waiting_for_memory)) is account:
                return
            await asyncio.sleep(MEMORY_POLL_S)

    async def _receive(
        self, attempt: EngineAttempt, transport: Transport, response: Response, stream_timeout: StreamTimeout
    ) -> None:
        """Receives the next bytes and feeds them to the response's parser."""
        parser = response.parser
        data = await transport.receive()
        stream_timeout.received(len(data))
        if not data:
            outcome = outcome_of(attempt.stage, Failure.LOST)
            raise AttemptEndedError(AttemptResult(outcome, f"{attempt.stage}: the connection ended", response.report))
        try:
            await self._feed(parser, data)
        except BadMessage:
            if response.stream is not None and attempt.first_token_at is not None:
                await response.stream.feed(parser.take())  # complete events received before the corrupt bytes
            raise

    def _read_head(self, core: Any, attempt: EngineAttempt, response: Response, stream_timeout: StreamTimeout) -> None:
        """Handles the status and headers once they have arrived."""
        parser = response.parser
        attempt.stage = Stage.ANSWER
        self.record_response(attempt.endpoint)
        if self.reports_in_responses and platform.REPORT in parser.headers:
            response.report = self._read_report(parser.headers[platform.REPORT])
        if parser.status == 200 and not attempt.is_prefill:
            if not parser.headers.get("content-type", "").startswith("text/event-stream"):
                raise BadMessage("a stream was asked for")
            response.stream = EventStream(core, attempt, stream_timeout, self.reads)

    def _result_of_whole_response(self, attempt: EngineAttempt, response: Response) -> AttemptResult:
        """The result of a non-streamed response: of a prefill, or a rejection."""
        parser = response.parser
        body = parser.take()
        outcome = status_outcome(parser.status, parser.headers.get(platform.DECLINED) == "1", attempt.is_prefill)
        reason = f"status {parser.status}"
        if outcome != door.READ:
            return AttemptResult(outcome, reason, response.report)
        usage = usage_of({"prompt_tokens_details": platform.parse_report(body) or {}})
        return AttemptResult(outcome, reason, response.report, usage, attempt.tracked.request.name)

    def _read_stream_report(self, text: bytes) -> door.LoadReport | None:
        return self._read_report(text) if self.reports_in_responses else None

    def _read_report(self, text: str | bytes) -> door.LoadReport | None:
        fields = platform.parse_report(text)
        return None if fields is None else self.profile.report(fields)
