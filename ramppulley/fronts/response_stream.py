"""One request's side of a client's connection: its answer's head with the first piece, pieces as they come, its ending."""

import asyncio

from ramppulley.fronts.client_connection import send
from ramppulley.service.neutral import FinalAnswer
from ramppulley.wire import http
from ramppulley.wire.sockets import Transport


class ResponseStream:
    """A streamed answer, and the future that is done with the request's one ending. Each front gives it a head."""

    def __init__(self, transport: Transport, timeout_s: float) -> None:
        self.transport, self.timeout_s = transport, timeout_s
        self.done: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        self.begun, self.sending = False, False

    def head(self) -> bytes:
        """The answer's head, asked for with its first piece."""
        raise NotImplementedError

    async def pass_on(self, data: bytes) -> None:
        """Sends a piece; raises OSError or TimeoutError: the client left."""
        out = http.chunk(data)
        if not self.begun:
            self.begun = True
            out = self.head() + out
        self.sending = True
        await send(self.transport, out, self.timeout_s)
        self.sending = False

    def gone(self) -> bool:
        """By the socket, as the watch runs some turns behind. Who spoke out of turn counts as gone: what it
        sent may hide its end."""
        return self.done.done() or not self.transport.is_quiet()

    def final(self, ending: FinalAnswer) -> None:
        """The one ending; a second one changes nothing."""
        if not self.done.done():
            self.done.set_result(ending)
