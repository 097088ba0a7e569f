"""What can be wrong with bytes that came in."""


class BadMessage(Exception):
    """Bytes that do not follow the protocol; answered with 400 towards a client, proof of a broken engine else."""
    status = 400


class TooLarge(BadMessage):
    """A head, body or event over its stated bound."""

    def __init__(self, text, status):
        super().__init__(text)
        self.status = status
