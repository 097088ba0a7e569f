"""The log of the router on the platform: plain lines on standard error, written without blocking."""

import os
import select
import sys
import time
from typing import TextIO

MAX_LINE_BYTES = 4096  # PIPE_BUF: a writable pipe accepts this many bytes atomically without blocking


class Log:
    """Writes one line per event: time, router, level, event, then its fields as key=value.

    A line that cannot be written immediately is dropped and counted in the next line, since the reader of the log may be
    slow or gone, or the disk full. structlog is not used because it would add to CPU and memory at startup, both of which
    are bounded.
    """

    def __init__(self, name: str, stream: TextIO = sys.stderr) -> None:
        self.name, self.stream = name, stream
        self.lost_lines = 0
        self._descriptor = _descriptor_of(stream)

    def info(self, event: str, **fields: object) -> None:
        self._write_line("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._write_line("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        self._write_line("error", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Like `error`, with the traceback of the exception being handled."""
        import traceback

        self._write_line("error", event, fields | {"trace": repr(traceback.format_exc())})

    def _write_line(self, level: str, event: str, fields: dict[str, object]) -> None:
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{time.time():.3f} {self.name} {level} {event} {pairs}".rstrip()
        if self.lost_lines:
            line += f" ({self.lost_lines} lines lost before)"
        if self._write(line):
            self.lost_lines = 0
        else:
            self.lost_lines += 1

    def _write(self, line: str) -> bool:
        """Writes a line without blocking; whether it was written."""
        try:
            if self._descriptor is None:
                print(line, file=self.stream, flush=True)
                return True
            return self._write_bytes(self._descriptor, line.encode(errors="replace"))
        except (OSError, ValueError):
            return False  # the log has no reader or is closed; that must not end a task

    @staticmethod
    def _write_bytes(descriptor: int, line: bytes) -> bool:
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        if not any(events & select.POLLOUT for _, events in poll.poll(0)):
            return False
        os.write(descriptor, line[: MAX_LINE_BYTES - 1] + b"\n")
        return True


def _descriptor_of(stream: TextIO) -> int | None:
    """The stream's file descriptor, or None. Writing to it bypasses the buffer, where a full disk leaves data behind."""
    try:
        stream.flush()
        return stream.fileno()
    except (OSError, ValueError, AttributeError):
        return None
