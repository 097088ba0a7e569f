"""Errors in received bytes."""


class BadMessage(Exception):
    """Bytes that violate the protocol. From a client: answered with `status`; from an engine: proof that it is faulty."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class TooLarge(BadMessage):
    """A message head, body or event over its size limit."""


class PendingError:
    """An error that was found and is to be raised later, once.

    A raised error refers to the frames that it passed, and with them to what was received. An object that still stored it
    would be in a reference cycle, and stay in memory with all of that until a full garbage collection, which is rare.
    """

    __slots__ = ("_error",)

    def __init__(self) -> None:
        self._error: Exception | None = None

    def __bool__(self) -> bool:
        return self._error is not None

    def store(self, error: Exception) -> None:
        """Stores an error, unless an earlier one is stored."""
        self._error = self._error or error

    def discard(self) -> None:
        """Forgets the error."""
        self._error = None

    def raise_stored(self) -> None:
        """Raises the stored error, if there is one, and forgets it."""
        error, self._error = self._error, None
        try:
            if error is not None:
                raise error
        finally:
            del error  # else this frame and the error would refer to each other
