"""Writes a stand-in engine's responses to a connection, cut or corrupted where its faults say so."""

from typing import Any

import msgspec

from ramppulley.standin.ledger import Entry
from ramppulley.standin.server.faults import EngineFaults
from ramppulley.standin.server.load_reports import LoadReports
from ramppulley.wire import http, sse
from ramppulley.wire.sockets import Transport

JsonObject = dict[str, Any]

CUT_CHUNK_BYTES = 9  # missing at the end of a chunk that is cut
CORRUPT_BODY_BYTES = 2  # missing at the end of a pooled response that is corrupt
CORRUPT_PREFILL_BYTES = 5


class ResponseWriter:
    """Methods that end a response return whether the connection stays open."""

    def __init__(self, reports: LoadReports, faults: EngineFaults) -> None:
        self._reports = reports
        self._faults = faults

    async def error(self, transport: Transport, status: int, code: str, message: str) -> bool:
        """An error in the API's form."""
        body = msgspec.json.encode({"error": {"message": message, "type": "engine_error", "code": code}})
        await transport.send(http.response(status, self._reports.headers(), body))
        return True

    async def state_gone(self, transport: Transport, message: str = "that state is gone") -> bool:
        """The KV state that a decode asks for is not there."""
        return await self.error(transport, 409, "kv_state_gone", message)

    async def overloaded(self, transport: Transport, message: str) -> bool:
        """The request is rejected and may be retried elsewhere."""
        return await self.error(transport, 503, "overloaded", message)

    async def empty(self, transport: Transport, status: int) -> bool:
        """An empty object."""
        await transport.send(http.response(status, self._reports.headers(), b"{}"))
        return True

    async def metrics(self, transport: Transport) -> bool:
        """The load figures as a page of text."""
        text = self._reports.metrics_text()
        await transport.send(http.response(200, self._reports.headers("text/plain"), text.encode()))
        return True

    async def prefill(self, transport: Transport, answer: JsonObject) -> None:
        """The answer of a prefill, unless a fault corrupts it."""
        raw = msgspec.json.encode(answer)
        if self._faults.corrupts_next():
            raw = raw[:-CORRUPT_PREFILL_BYTES]
        await transport.send(http.response(200, self._reports.headers(), raw))

    async def pooled(self, transport: Transport, entry: Entry, answer: JsonObject) -> bool:
        """A pooled engine's answer in one piece, unless a fault cuts or corrupts it."""
        raw = msgspec.json.encode(answer)
        whole = http.response(200, self._reports.headers(), raw)
        if self._faults.cuts_next():
            await transport.send(whole[: -len(raw) // 2])
            entry.how = "cut"
            transport.close()
            return False
        if self._faults.corrupts_next():
            whole = http.response(200, self._reports.headers(), raw[:-CORRUPT_BODY_BYTES])
        await transport.send(whole)
        entry.how = "answered"
        return True

    async def stream_head(self, transport: Transport) -> None:
        """The head of a streamed response."""
        await transport.send(http.response_head(200, self._reports.headers("text/event-stream")))

    async def stream_event(self, transport: Transport, entry: Entry, event: JsonObject) -> bool:
        """One event of a stream, unless a fault cuts or corrupts it; whether the connection stays open."""
        data = sse.event(msgspec.json.encode(event))
        if self._faults.cuts_next():
            await transport.send(http.chunk(data)[:-CUT_CHUNK_BYTES])
            entry.how = "cut"
            transport.close()
            return False
        if self._faults.corrupts_next():
            data = data.replace(b"{", b"", 1)
        await transport.send(http.chunk(data))
        return True

    async def stream_end(self, transport: Transport, usage: JsonObject | None) -> None:
        """The end of a stream, with the usage event where the client asked for it."""
        tail = sse.event(msgspec.json.encode(usage)) if usage else b""
        await transport.send(http.chunk(tail + sse.event(sse.DONE)) + http.LAST_CHUNK)

    async def whole(self, transport: Transport, answer: JsonObject) -> None:
        """An answer in one piece that no fault touches."""
        await transport.send(http.response(200, self._reports.headers(), msgspec.json.encode(answer)))
