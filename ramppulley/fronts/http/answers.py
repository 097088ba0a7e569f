"""Every final answer as HTTP: one table. Pure.

| ending | status | `x-should-retry` |
| --- | --- | --- |
| completed | 200, or the engine's own 4xx on the request | - |
| rejected before any attempt | 429, `Retry-After` | true |
| rejected after attempts | 503, `Retry-After` | true |
| failed, time up | 504 | false |
| failed by a fault | 502 | false |

`x-should-retry` is the header that the API's own clients heed: whether trying again is harmless.
"""

import msgspec

from ramppulley.service.neutral import COMPLETED, REJECTED

JSON = {"content-type": "application/json"}


def error(text, kind, code=None, param=None):
    """The API's error object as JSON bytes."""
    return msgspec.json.encode({"error": {"message": text, "type": kind, "param": param, "code": code}})


def retry_headers(retry_after):
    """Seconds rounded up, as Retry-After has no parts (RFC 9110, 10.2.3), and the clients' own finer one.

    >>> retry_headers(2500)
    {'retry-after': '1', 'retry-after-ms': '250'}
    """
    return {"retry-after": str(max(1, -(-retry_after // 10_000))), "retry-after-ms": str(max(1, retry_after // 10))}


def answer_of(ending, attempts):
    """(status, headers, body) of an ending other than a gathered or streamed answer."""
    if ending.result == COMPLETED:
        return ending.status, JSON, ending.body
    headers = {**JSON, "x-should-retry": "true" if ending.retryable else "false"}
    if ending.result == REJECTED:
        status, code = (503, "unavailable") if attempts else (429, "overloaded")
        return status, headers | retry_headers(ending.retry_after), error(ending.reason, "turned_back", code)
    status = 502 if "fault" in ending.reason else 504
    return status, headers, error(ending.reason, "scrapped", "may_have_run")
