"""Maps final answers to HTTP responses on the platform. Pure.

| result | response |
| --- | --- |
| completed | 200, the worker's events |
| rejected, safe to retry | 503, with `Retry-After` in seconds if the settings allow it |
| failed, deadline exceeded | 504 |
| failed, fault of the router | 500 |

After a 504 the request may or may not have run. Only 429 and 503 tell a client that it may safely retry.
"""

from typing import NamedTuple

from ramppulley.service.neutral import REJECTED, FinalAnswer

TEXT = {"content-type": "text/plain"}
TENTHS_PER_S = 10_000  # of the router's clock


class Answer(NamedTuple):
    """A complete response, except for whether the connection is kept open."""

    status: int
    headers: dict[str, str]
    body: bytes


def text_answer(status: int, text: str) -> Answer:
    """A response with one line of text.

    >>> text_answer(503, "not ready")
    Answer(status=503, headers={'content-type': 'text/plain'}, body=b'not ready\\n')
    """
    return Answer(status, TEXT, text.encode() + b"\n")


def refusal(status: int, text: str, retry_after: int) -> Answer:
    """A response to a message that is not served. `retry_after`: when it may be sent again after a 503."""
    answer = text_answer(status, text)
    return answer._replace(headers=TEXT | retry_headers(retry_after)) if status == 503 else answer


def retry_headers(retry_after: int) -> dict[str, str]:
    """The Retry-After header, if a time is given. `retry_after`: tenths of a millisecond.

    >>> retry_headers(2500), retry_headers(0)
    ({'retry-after': '0.250'}, {})
    """
    return {"retry-after": f"{retry_after / TENTHS_PER_S:.3f}"} if retry_after > 0 else {}


def answer_of(final_answer: FinalAnswer) -> Answer:
    """The response for a final answer that is not a stream."""
    body = final_answer.reason.encode() + b"\n"
    if final_answer.result == REJECTED:
        return Answer(503, TEXT | retry_headers(final_answer.retry_after), body)
    return Answer(500 if "fault" in final_answer.reason else 504, TEXT, body)
