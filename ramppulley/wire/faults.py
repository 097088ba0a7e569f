"""Errors in received bytes."""


class BadMessage(Exception):
    """Bytes that violate the protocol. From a client: answered with `status`; from an engine: proof that it is faulty."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class TooLarge(BadMessage):
    """A message head, body or event over its size limit."""
