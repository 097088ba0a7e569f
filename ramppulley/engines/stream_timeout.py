"""The idle timeout of a started stream, for all connectors."""

import asyncio

from ramppulley.wire.sockets import Transport

RECHECK_S = 0.05  # between checks of an expired stream that may not be ended yet
# How long an unfinished event may stand still once the idle time is over: twice the longest pause between its parts, if
# they show a rhythm, and this long in any case. A client may be left waiting for 5 s, the idle time is 4.4 s.
MIN_PART_SILENCE_S = 0.4
PARTS_OF_A_RHYTHM = 3


class StreamTimeout:
    """Expires `timeout` once the worker has sent no event on a stream for `idle_s`, whatever else it sends, and is not
    writing one either.

    Time spent forwarding an event to the client (`forwarding`) does not count, as the worker is not at fault. Neither does
    the time that the router takes to handle what had arrived by then, however late the event loop runs.
    """

    def __init__(self, timeout: asyncio.Timeout, transport: Transport, idle_s: float) -> None:
        self.timeout, self.transport, self.idle_s = timeout, transport, idle_s
        self.loop = asyncio.get_running_loop()
        self.forwarding = False
        self.deadline: float | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._received_bytes = 0
        self._handled_bytes = 0  # of the received ones
        self._arrived_bytes: int | None = None  # when the deadline was found to have passed
        self._parts, self._last_part_at, self._longest_pause_s = 0, 0.0, 0.0  # of the event that is not whole yet

    def received(self, count: int) -> None:
        """The next bytes have been received from the worker."""
        self._received_bytes += count

    def handled(self) -> None:
        """All received bytes have been handled, and `restart` was called for each event in them."""
        self._handled_bytes = self._received_bytes

    def restart(self) -> None:
        """Restarts the idle time, as the worker has sent an event. The idle timeout replaces the attempt's deadline."""
        self.deadline = self.loop.time() + self.idle_s
        self._arrived_bytes = None
        self._parts, self._longest_pause_s = 0, 0.0
        if self.timer is not None:
            return
        try:
            self.timeout.reschedule(None)
        except RuntimeError:
            return  # expired in this event loop iteration: the cancellation is already scheduled
        self.timer = self.loop.call_at(self.deadline, self._on_timer)

    def part_received(self) -> None:
        """Part of an event has come, which is not whole yet: a worker that writes slowly is not silent."""
        now = self.loop.time()
        if self._parts:
            self._longest_pause_s = max(self._longest_pause_s, now - self._last_part_at)
        self._parts += 1
        self._last_part_at = now
        self._arrived_bytes = None

    def _end(self) -> float:
        """When the stream is to be ended, if nothing more comes."""
        end = self.deadline or 0.0
        if not self._parts:
            return end
        silence_s = 2 * self._longest_pause_s if self._parts >= PARTS_OF_A_RHYTHM else 0.0
        return max(end, self._last_part_at + min(max(silence_s, MIN_PART_SILENCE_S), self.idle_s))

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def _on_timer(self) -> None:
        now = self.loop.time()
        if now < self._end():
            self.timer = self.loop.call_at(self._end(), self._on_timer)
        elif self.forwarding or self._has_unhandled_bytes():
            self.timer = self.loop.call_later(RECHECK_S, self._on_timer)
        else:
            self.timer = None
            # A deadline in the past takes effect after the bytes received in this event loop iteration are handled, which
            # may still call `restart`; cancelling here would lose those bytes.
            self.timeout.reschedule(now)

    def _has_unhandled_bytes(self) -> bool:
        """Whether the router has yet to handle bytes that had arrived when the deadline passed; later ones do not count."""
        if self._arrived_bytes is None:
            # `unread_bytes` is 0 where the system does not tell the number.
            unread_bytes = max(self.transport.unread_bytes(), int(self.transport.has_unread_bytes()))
            self._arrived_bytes = self._received_bytes + unread_bytes
        return self._handled_bytes < self._arrived_bytes
