"""Interface of the random source, implemented by `random.Random` and `SystemRandom`; the state machines import neither."""

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol, TypeVar

Item = TypeVar("Item")


class RandomSource(Protocol):
    """Random source of the state machines, passed in by the host; seeded in tests."""

    def random(self) -> float:
        """A float from 0 up to, not including, 1."""

    def getrandbits(self, k: int, /) -> int:
        """An integer with `k` random bits."""

    def randrange(self, stop: int, /) -> int:
        """An integer from 0 up to, not including, `stop`."""

    def shuffle(self, x: MutableSequence[Any], /) -> None:
        """Shuffles a list in place."""

    def sample(self, population: Sequence[Item], k: int, /) -> list[Item]:
        """`k` distinct items."""

    def choice(self, seq: Sequence[Item], /) -> Item:
        """One item."""
