"""Every final answer on the platform as HTTP: one table. Pure.

| ending | status |
| --- | --- |
| completed | 200, the worker's events |
| rejected: trying again is harmless | 503, `Retry-After` in seconds where the settings let it be named |
| failed, time up | 504 |
| failed by a fault | 500 |

A 504 says nothing of whether it ran; only 429 and 503 tell a client that trying again is harmless.
"""

from typing import NamedTuple

from ramppulley.service.neutral import REJECTED, FinalAnswer

TEXT = {"content-type": "text/plain"}
TENTHS_PER_S = 10_000  # of the router's clock


class Answer(NamedTuple):
    """A whole answer, but for whether the connection stays open."""

    status: int
    headers: dict[str, str]
    body: bytes


def text_answer(status: int, text: str) -> Answer:
    """One line of text.

    >>> text_answer(503, "not ready")
    Answer(status=503, headers={'content-type': 'text/plain'}, body=b'not ready\\n')
    """
    return Answer(status, TEXT, text.encode() + b"\n")


def retry_headers(retry_after: int) -> dict[str, str]:
    """The field that names the time to come back, if one may be named. `retry_after`: tenths of a millisecond.

    >>> retry_headers(2500), retry_headers(0)
    ({'retry-after': '0.250'}, {})
    """
    return {"retry-after": f"{retry_after / TENTHS_PER_S:.3f}"} if retry_after > 0 else {}


def answer_of(ending: FinalAnswer) -> Answer:
    """The answer that says how a request ended, where it did not end with a stream."""
    body = ending.reason.encode() + b"\n"
    if ending.result == REJECTED:
        return Answer(503, TEXT | retry_headers(ending.retry_after), body)
    return Answer(500 if "fault" in ending.reason else 504, TEXT, body)
