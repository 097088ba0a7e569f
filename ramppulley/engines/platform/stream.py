"""Forwards the event stream of a decode worker to the client."""

import functools
from collections.abc import Callable
from typing import Any

from ramppulley import door
from ramppulley.engines.attempts import AttemptEndedError
from ramppulley.engines.stream_timeout import StreamTimeout
from ramppulley.engines.usage import usage_of
from ramppulley.service.neutral import AttemptResult, EngineAttempt
from ramppulley.wire import platform, sse
from ramppulley.wire.faults import BadMessage, TooLarge
from ramppulley.wire.read_scheduler import ReadScheduler

MAX_TAIL_BYTES = 4096  # end of the stream that is searched for usage and load report
MAX_LEADING_BYTES = 64 * 1024  # before the first event of a stream
REPORT_COMMENT = b": Srv-Load:"


class EventStream:
    """Forwards complete events immediately and unchanged; the next bytes are read once the client has accepted them.

    The response to the client begins with the first event that has data. Comments before it are forwarded together with it.
    """

    def __init__(self, core: Any, attempt: EngineAttempt, stream_timeout: StreamTimeout, reads: ReadScheduler) -> None:
        self.core, self.attempt, self.stream_timeout, self.reads = core, attempt, stream_timeout, reads
        self.splitter, self.tail = sse.RawEventSplitter(), b""
        self._leading = b""  # what came before the first event

    async def feed(self, data: bytes) -> None:
        """Forwards complete events.

        Raises BadMessage for corrupt data: after forwarding the events before it if the response has started, else at once.
        """
        known_events, received = self.splitter.event_count, bool(data)
        blocks = await self.reads.run(functools.partial(self.splitter.feed, data))
        del data  # not held while the client takes the events
        has_event = self.splitter.event_count > known_events
        self.attempt.event_count = self.splitter.event_count
        if self.attempt.first_token_at is None:
            self.splitter.fault.raise_stored()  # nothing was forwarded yet: another worker can serve the whole response
            blocks = self._with_leading(blocks, has_event)
        if has_event:
            self._begin_response()
            self.stream_timeout.restart()
        if received and self.splitter.has_open_event():
            self.stream_timeout.part_received()
        if blocks:
            await self._pass_on(blocks)
        self.splitter.fault.raise_stored()

    def held_bytes(self) -> int:
        """What has been received and was not passed on."""
        return self.splitter.held_bytes() + len(self._leading)

    def _with_leading(self, blocks: bytes, has_event: bool) -> bytes:
        """What can be forwarded before the response has started: nothing, up to the first event. Raises TooLarge."""
        self._leading += blocks
        if not has_event:
            if len(self._leading) > MAX_LEADING_BYTES:
                raise TooLarge(f"over {MAX_LEADING_BYTES} bytes before the first event", 502)
            return b""
        blocks, self._leading = self._leading, b""
        return blocks

    def _begin_response(self) -> None:
        """Starts the response to the client with its first event; raises AttemptEndedError if it takes none any more."""
        if self.attempt.first_token_at is None and not self.core.first_token(self.attempt):
            raise AttemptEndedError(AttemptResult(door.UNDONE, "answered already"))

    async def _pass_on(self, blocks: bytes) -> None:
        self.tail = (self.tail + blocks)[-MAX_TAIL_BYTES:]
        self.stream_timeout.forwarding = True
        try:
            await self.attempt.tracked.sink.piece(blocks)
        except OSError:
            raise AttemptEndedError(AttemptResult(door.UNDONE, "the client left")) from None
        self.stream_timeout.forwarding = False

    async def finish(self, read_report: Callable[[bytes], door.LoadReport | None]) -> AttemptResult:
        """Forwards the rest and returns the result of a complete stream; `read_report` parses a load report.

        Raises BadMessage for a stream without an event, or one that ends within an event.
        """
        rest = self.splitter.last()
        if self.attempt.first_token_at is None:
            raise BadMessage("a stream without an event")
        if rest:
            await self._pass_on(rest)
        usage, report = None, None
        for line in self.tail.splitlines():
            if line.startswith(REPORT_COMMENT):
                report = read_report(line.removeprefix(REPORT_COMMENT).strip())
            elif line.startswith(b"data:") and b'"usage"' in line:
                usage = (
                    usage_of((platform.parse_report(line.removeprefix(b"data:").strip()) or {}).get("usage")) or usage
                )
        return AttemptResult(door.DONE, "", report, usage)
