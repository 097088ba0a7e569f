"""The idle timeout of a started stream, for all connectors."""

import asyncio

from ramppulley.wire.sockets import Transport

RECHECK_S = 0.05  # between checks of an expired stream that may not be ended yet


class StreamTimeout:
    """Expires `timeout` once the worker has sent nothing on a stream for `idle_s`.

    Time spent forwarding an event to the client (`forwarding`) does not count, as the worker is not at fault. A stream with
    unread bytes is not ended either, however late the event loop runs.
    """

    def __init__(self, timeout: asyncio.Timeout, transport: Transport, idle_s: float) -> None:
        self.timeout, self.transport, self.idle_s = timeout, transport, idle_s
        self.loop = asyncio.get_running_loop()
        self.forwarding = False
        self.deadline: float | None = None
        self.timer: asyncio.TimerHandle | None = None

    def restart(self) -> None:
        """Restarts the idle time, as the worker has sent something. The idle timeout replaces the attempt's deadline."""
        self.deadline = self.loop.time() + self.idle_s
        if self.timer is not None:
            return
        try:
            self.timeout.reschedule(None)
        except RuntimeError:
            return  # expired in this event loop iteration: the cancellation is already scheduled
        self.timer = self.loop.call_at(self.deadline, self._on_timer)

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def _on_timer(self) -> None:
        now = self.loop.time()
        if self.forwarding or self.transport.has_unread_bytes():
            self.timer = self.loop.call_later(RECHECK_S, self._on_timer)
        elif self.deadline is not None and now < self.deadline:
            self.timer = self.loop.call_at(self.deadline, self._on_timer)
        else:
            self.timer = None
            # A deadline in the past takes effect after the bytes received in this event loop iteration are handled, which
            # may still call `restart`; cancelling here would lose those bytes.
            self.timeout.reschedule(now)
