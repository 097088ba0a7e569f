"""The response of one request on a client connection: head and first chunk, further chunks, and the final answer."""

import asyncio

from ramppulley.fronts.client_connection import send
from ramppulley.service.neutral import FinalAnswer
from ramppulley.wire import http
from ramppulley.wire.sockets import Transport


class ResponseStream:
    """A streamed response and a future for the final answer. Each front defines the head in a subclass."""

    def __init__(self, transport: Transport, timeout_s: float) -> None:
        self.transport, self.timeout_s = transport, timeout_s
        self.done: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        self.begun, self.sending = False, False

    def head(self) -> bytes:
        """The response head, called when the first chunk is sent."""
        raise NotImplementedError

    async def pass_on(self, data: bytes) -> None:
        """Sends a chunk; raises OSError or TimeoutError if the client left."""
        parts = http.chunk_parts(data)
        if not self.begun:
            self.begun = True
            parts[0] = self.head() + parts[0]
        self.sending = True
        for part in parts:
            await send(self.transport, part, self.timeout_s)
        self.sending = False

    def gone(self) -> bool:
        """Whether the client is gone. Asks the socket, as the connection's task notices a close some loop iterations later.
        A client that sent unexpected bytes counts as gone, as these may hide its close."""
        return self.done.done() or not self.transport.is_quiet()

    def final(self, final_answer: FinalAnswer) -> None:
        """Sets the final answer; a second one is ignored."""
        if not self.done.done():
            self.done.set_result(final_answer)
