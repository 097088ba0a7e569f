"""The faults of one stand-in engine, which a scenario switches on and off by setting the fields."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

SILENCE_POLL_S = 0.02


@dataclass
class EngineFaults:
    """The active faults of a stand-in; by default none. Times: tenths of a millisecond, unless named otherwise."""

    silent_until: int = 0  # answers nothing until then; 0 = not silent
    rejected_fields: Mapping[str, object] | None = None  # rejects requests whose body has one of these values
    accept_delay_s: float = 0.0  # before it reads from a new connection
    cut_share: float = 0.0  # of the responses or tokens: the connection closes within it
    corrupt_share: float = 0.0  # of the responses or tokens: it cannot be decoded
    report_delay: int = 0  # the age of its load reports
    draws: int = 0  # how often a share was evaluated

    def end_silence(self, now: int) -> None:
        """Ends a silence that has expired."""
        if self.silent_until and now >= self.silent_until:
            self.silent_until = 0

    async def wait_for_end_of_silence(self) -> None:
        """Returns at once if the engine is not silent."""
        while self.silent_until:
            await asyncio.sleep(SILENCE_POLL_S)

    def rejects(self, body: Mapping[str, object]) -> bool:
        """Whether a request with this body is rejected."""
        if not self.rejected_fields:
            return False
        return any(body.get(name) == value for name, value in self.rejected_fields.items())

    def cuts_next(self) -> bool:
        """Whether the next response or token is to be cut."""
        return self._happens(self.cut_share)

    def corrupts_next(self) -> bool:
        """Whether the next response or token is to be corrupted."""
        return self._happens(self.corrupt_share)

    def _happens(self, share: float) -> bool:
        """True each n-th time, not by a random draw: the same scenario gets the same responses."""
        if share <= 0:
            return False
        self.draws += 1
        return self.draws % max(1, round(1 / share)) == 0
