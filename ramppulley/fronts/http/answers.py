"""Maps final answers to HTTP responses. Pure.

| result | status | `x-should-retry` |
| --- | --- | --- |
| completed | 200, or a 4xx from the engine | - |
| rejected before any attempt | 429, `Retry-After` | true |
| rejected after attempts | 503, `Retry-After` | true |
| failed, deadline exceeded | 504 | false |
| failed, fault of the router | 502 | false |

The API's official clients read `x-should-retry`: whether it is safe to retry.
"""

import msgspec

from ramppulley.service.neutral import COMPLETED, REJECTED

JSON = {"content-type": "application/json"}


def error(text, kind, code=None, param=None):
    """The API's error object as JSON bytes."""
    return msgspec.json.encode({"error": {"message": text, "type": kind, "param": param, "code": code}})


def retry_headers(retry_after):
    """Retry-After in seconds, rounded up as it takes whole ones (RFC 9110, 10.2.3), and the clients' `retry-after-ms`.

    >>> retry_headers(2500)
    {'retry-after': '1', 'retry-after-ms': '250'}
    """
    return {"retry-after": str(max(1, -(-retry_after // 10_000))), "retry-after-ms": str(max(1, retry_after // 10))}


def answer_of(final_answer, attempts):
    """(status, headers, body) for a final answer that is neither streamed nor aggregated from a stream."""
    if final_answer.result == COMPLETED:
        return final_answer.status, JSON, final_answer.body
    headers = {**JSON, "x-should-retry": "true" if final_answer.retryable else "false"}
    if final_answer.result == REJECTED:
        status, code = (503, "unavailable") if attempts else (429, "overloaded")
        return (
            status,
            headers | retry_headers(final_answer.retry_after),
            error(final_answer.reason, "turned_back", code),
        )
    status = 502 if "fault" in final_answer.reason else 504
    return status, headers, error(final_answer.reason, "scrapped", "may_have_run")
