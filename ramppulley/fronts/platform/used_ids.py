"""Remembers the ids of requests that were sent to workers, which a client may not use again. Pure."""

from array import array
from bisect import bisect_left

GENERATION_IDS = 32_768  # the ids that are remembered in any case; eight bytes each, twice
HASH_MASK = (1 << 64) - 1


class UsedIds:
    """The most recent ids, as sorted arrays of their hashes: a full one replaces the one before.

    >>> ids = UsedIds(generation_ids=2)
    >>> for name in ("a", "b", "c", "d", "e"): ids.add(name)
    >>> [name in ids for name in ("a", "b", "c", "d", "e")]
    [False, False, True, True, True]
    """

    def __init__(self, generation_ids: int = GENERATION_IDS) -> None:
        self.generation_ids = generation_ids
        self._older, self._newer = array("Q"), array("Q")

    def add(self, name: str) -> None:
        """Remembers an id."""
        if len(self._newer) >= self.generation_ids:
            self._older, self._newer = self._newer, array("Q")
        number = hash(name) & HASH_MASK
        self._newer.insert(bisect_left(self._newer, number), number)

    def __len__(self) -> int:
        return len(self._older) + len(self._newer)

    def __contains__(self, name: str) -> bool:
        number = hash(name) & HASH_MASK
        return _contains(self._newer, number) or _contains(self._older, number)


def _contains(numbers: "array[int]", number: int) -> bool:
    index = bisect_left(numbers, number)
    return index < len(numbers) and numbers[index] == number
