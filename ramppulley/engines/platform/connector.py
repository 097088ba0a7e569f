"""The connector for the platform's workers: a client's request goes to a prefill worker, then unchanged to a decode worker.

The KV state that is held for a request is released by `DELETE`, which any worker takes: the one that responded last is asked
first, so that a holder that died cannot keep it. A prefill whose end was not heard may have left a KV state that nobody
named; it is released as well.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from ramppulley import door
from ramppulley.engines.attempts import AttemptEndedError, BaseConnector
from ramppulley.engines.connections import ConnectionBudget, ConnectionLimitError, ConnectionPool
from ramppulley.engines.platform.proof import of_status
from ramppulley.engines.platform.releases import DELAY_S, KvReleases, ReleaseResult
from ramppulley.engines.platform.stream import EventStream
from ramppulley.engines.proof import Failure, Stage, outcome_of
from ramppulley.engines.stream_timeout import StreamTimeout
from ramppulley.engines.usage import usage_of
from ramppulley.service.clock import TENTHS
from ramppulley.service.neutral import AttemptResult, EngineAttempt, TrackedRequest
from ramppulley.wire import http, platform
from ramppulley.wire.faults import BadMessage
from ramppulley.wire.sockets import Transport

IDLE_TIMEOUT_SHARE = 0.8  # of the time that a worker keeps an idle connection; later its close may cross a request
DEFAULT_IDLE_TIMEOUT_S = 1.0  # where the settings do not name that time
STREAM_IDLE_TIMEOUT_S = 4.4  # without an event: a client may not be left waiting for 5 (PROTOCOL, Figures)


@dataclass(eq=False, slots=True)
class Response:
    """A response that is being read."""

    parser: http.AnswerParser
    report: door.LoadReport | None = None
    stream: EventStream | None = None


class PlatformConnector(BaseConnector):
    """All workers by their boxes. `profile` names their times and how their reports come."""

    def __init__(self, log: Any, profile: Any, budget: ConnectionBudget) -> None:
        # one more than there may be in all: a wait for one worker's would not end with ConnectionLimitError
        super().__init__(log, budget.max_open + 1, 0.0, 0.0, budget)
        self.releases = KvReleases(log, self.workers, self._release_at, self._spawn, self._held_limit_s)
        self.configure(profile)

    def configure(self, profile: Any) -> None:
        """Attempts and calls that begin from now on keep these times; reports mean what these settings say."""
        self.profile, self.reports_in_responses = profile, profile.how == "answers"
        self.connect_timeout_s = profile.connect_within / TENTHS
        self.set_idle_timeout(IDLE_TIMEOUT_SHARE * profile.idle / TENTHS if profile.idle else DEFAULT_IDLE_TIMEOUT_S)

    def record_response(self, endpoint: door.Endpoint) -> None:
        """A worker has just responded."""
        self.releases.record_response(endpoint)

    def close_worker(self, endpoint: door.Endpoint) -> None:
        """A worker is gone: its idle connections are not needed any more."""
        self.releases.forget_response(endpoint)
        self.workers[endpoint].connections.close()

    # Connector
    def reserve(self, core: Any, tracked: TrackedRequest, endpoint: door.Endpoint) -> None:
        """The protocol has no call for it."""
        asyncio.get_running_loop().call_soon(core.reservation_answered, tracked, endpoint, False)

    def release(self, tracked: TrackedRequest, endpoint: door.Endpoint | None, state: Any) -> None:
        """Releases all that is held for a request, wherever it is. A decode that was given up has to see that first: what
        an attempt waits for is not released."""
        last = tracked.attempts[-1].result if tracked.attempts else None
        given_up = last is not None and last[1].outcome not in door.ANSWERED
        self._owe_release(tracked, DELAY_S if given_up else 0.0)
        decode = next((attempt for attempt in tracked.open_attempts if not attempt.is_prefill), None)
        if decode is not None and not self.closing:
            self.releases.given_up(tracked, decode.endpoint)

    def probe(self, core: Any, endpoint: door.Endpoint) -> None:
        """Asks a worker for its load; reported to `core.probed`."""
        self._spawn(self._probe(core, endpoint))

    async def close(self) -> None:
        """Also the releases that would be repeated."""
        self.releases.close()
        await super().close()

    def has_releases(self) -> bool:
        """Whether releases are owed or under way."""
        return self.releases.outstanding()

    # Releases
    def _attempt_ended(self, core: Any, attempt: EngineAttempt, end: AttemptResult) -> None:
        may_have_left = attempt.is_prefill and end.outcome not in door.NEVER_RAN
        unanswered = attempt.first_token_at is None and end.outcome not in door.ANSWERED + door.NEVER_RAN
        if may_have_left:
            self._owe_release(attempt.tracked, DELAY_S)  # the worker must see our close before
        if (may_have_left or unanswered) and not self.closing:
            self.releases.given_up(attempt.tracked, attempt.endpoint)
        super()._attempt_ended(core, attempt, end)
        if attempt.tracked in self.releases.owed:  # it waited for this attempt's end
            asyncio.get_running_loop().call_soon(self.releases.start, attempt.tracked)

    def _held_limit_s(self) -> float:
        return float(self.profile.lawbook.let_go_within) / TENTHS

    def _owe_release(self, tracked: TrackedRequest, delay_s: float) -> None:
        if not self.closing:
            self.releases.owe(tracked, delay_s)

    async def _before_first_byte(self, attempt: EngineAttempt) -> None:
        await self.releases.before_first_byte(attempt)

    async def _release_at(self, endpoint: door.Endpoint, request_id: str) -> ReleaseResult:
        try:
            async with asyncio.timeout(self.connect_timeout_s / 2):
                status, _ = await self._call(endpoint, "DELETE", platform.lease(request_id), control=True)
            return ReleaseResult.RELEASED if status < 300 else ReleaseResult.FAILED
        except ConnectionLimitError:
            return ReleaseResult.NOT_CALLED
        except (OSError, TimeoutError, BadMessage):
            return ReleaseResult.FAILED

    # Calls beside the requests
    async def _probe(self, core: Any, endpoint: door.Endpoint) -> None:
        outcome, report = door.TOO_SLOW, None
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                status, figures = await self._call(endpoint, "GET", platform.LOAD)
            outcome = door.DONE if status == 200 else door.FAULT if status != 503 else door.NO_ROOM
            if figures is not None:
                report = self.profile.report(figures)
        except ConnectionLimitError:
            outcome = door.STALE  # ours: it says nothing of the worker
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
        """One small exchange: (status, a load report's figures or None)."""
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
        return parser.status, platform.figures(parser.take() if method == "GET" else None)

    # One attempt
    def _build_request(self, attempt: EngineAttempt, connections: ConnectionPool) -> bytes:
        request = attempt.tracked.request.body  # the client's http.Request
        headers = {
            "host": request.headers.get("host", "origin"),
            platform.ID: attempt.tracked.request.name,
            platform.LIMIT: max(1, attempt.remaining // 10),  # how long its client waits from now on
        }
        headers |= {name: request.headers[name] for name in platform.PASSED_ON if name in request.headers}
        encoded: bytes = http.request(request.method, request.target, headers, request.body)
        return encoded

    def _outcome_of_corrupt(self, attempt: EngineAttempt) -> str:
        """A decode worker's response comes with its first token, and then the KV state has been fetched."""
        return door.FAULT if attempt.is_prefill else door.SPOILT

    async def _read_response(
        self,
        core: Any,
        attempt: EngineAttempt,
        transport: Transport,
        timeout: asyncio.Timeout,
        parser: http.AnswerParser,
    ) -> tuple[AttemptResult, bool]:
        """(End, whether the connection may be used again)."""
        stream_timeout, response = StreamTimeout(timeout, transport, STREAM_IDLE_TIMEOUT_S), Response(parser)
        try:
            while not parser.done:
                await self._receive(attempt, transport, response)
                if parser.status and attempt.stage == Stage.WAIT:
                    self._read_head(core, attempt, response, stream_timeout)
                if response.stream is not None:
                    await response.stream.feed(parser.take())
                    self.record_response(attempt.endpoint)
            if response.stream is not None:
                end = await response.stream.end(self._read_stream_report)
            else:
                end = self._end_of_whole(attempt, response)
            return end, parser.keep_alive
        finally:
            stream_timeout.close()

    async def _receive(self, attempt: EngineAttempt, transport: Transport, response: Response) -> None:
        """Feeds the next bytes to the response's parser."""
        parser = response.parser
        data = await transport.receive()
        if not data:
            outcome = outcome_of(attempt.stage, Failure.LOST)
            raise AttemptEndedError(AttemptResult(outcome, f"{attempt.stage}: the connection ended", response.report))
        try:
            parser.feed(data)
        except BadMessage:
            if response.stream is not None and attempt.first_token_at is not None:
                await response.stream.feed(parser.take())  # whole events that came before what cannot be read
            raise

    def _read_head(self, core: Any, attempt: EngineAttempt, response: Response, stream_timeout: StreamTimeout) -> None:
        """The status and the headers are there."""
        parser = response.parser
        attempt.stage = Stage.ANSWER
        self.record_response(attempt.endpoint)
        if self.reports_in_responses and platform.REPORT in parser.headers:
            response.report = self._read_report(parser.headers[platform.REPORT])
        if parser.status == 200 and not attempt.is_prefill:
            if not parser.headers.get("content-type", "").startswith("text/event-stream"):
                raise BadMessage("a stream was asked for")
            response.stream = EventStream(core, attempt, stream_timeout)

    def _end_of_whole(self, attempt: EngineAttempt, response: Response) -> AttemptResult:
        """The End by a response in one piece: a prefill's, or a refusal."""
        parser = response.parser
        body = parser.take()
        outcome = of_status(parser.status, parser.headers.get(platform.NEVER) == "1", attempt.is_prefill)
        why = f"status {parser.status}"
        if outcome != door.READ:
            return AttemptResult(outcome, why, response.report)
        usage = usage_of({"prompt_tokens_details": platform.figures(body) or {}})
        return AttemptResult(outcome, why, response.report, usage, attempt.tracked.request.name)

    def _read_stream_report(self, text: bytes) -> door.LoadReport | None:
        return self._read_report(text) if self.reports_in_responses else None

    def _read_report(self, text: str | bytes) -> door.LoadReport | None:
        figures = platform.figures(text)
        return None if figures is None else self.profile.report(figures)
