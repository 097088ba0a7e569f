"""Maps each way an attempt can end, by stage and failure, to an outcome of the policy. No I/O.

"Never ran" must be proven, because unsafe requests are repeated on that basis: no connection was established, the request
was not written completely, or the engine said so by a status that the deployment names. Everything else may have run.
"""

from collections.abc import Sequence
from enum import StrEnum

from ramppulley import door


class Stage(StrEnum):
    """How far an attempt has progressed."""

    QUEUE = "queue"  # waiting for a connection, for a release or to write its first byte
    CONNECT = "connect"
    WRITE = "write"
    WAIT = "wait"  # the request is completely written
    ANSWER = "answer"  # status and headers of the response have arrived


class Failure(StrEnum):
    """What ended an attempt."""

    REFUSED = "refused"
    LOST = "lost"  # the connection closed
    TIMED_OUT = "timed out"
    CORRUPT = "corrupt"  # the response cannot be parsed
    CANCELLED = "cancelled"  # by the router


#: (stage, failure) -> outcome
TABLE = {
    (Stage.QUEUE, Failure.LOST): door.STALE,  # all connections are in use: not the worker's failure
    (Stage.QUEUE, Failure.TIMED_OUT): door.STALE,
    (Stage.QUEUE, Failure.CANCELLED): door.STALE,
    (Stage.CONNECT, Failure.REFUSED): door.NO_ROUTE,  # not connected: no byte was written
    (Stage.CONNECT, Failure.LOST): door.NO_ROUTE,
    (Stage.CONNECT, Failure.TIMED_OUT): door.NO_ROUTE,
    (Stage.CONNECT, Failure.CANCELLED): door.STALE,  # cancelled by the router before any byte was written
    (Stage.WRITE, Failure.LOST): door.NO_ROUTE,  # incomplete by its content-length: no engine can have started it
    (Stage.WRITE, Failure.TIMED_OUT): door.TOO_SLOW,
    (Stage.WRITE, Failure.CANCELLED): door.UNDONE,
    (Stage.WAIT, Failure.LOST): door.CUT,  # completely written, no response: it may have run
    (Stage.WAIT, Failure.TIMED_OUT): door.TOO_SLOW,
    (Stage.WAIT, Failure.CORRUPT): door.FAULT,
    (Stage.WAIT, Failure.CANCELLED): door.UNDONE,
    (Stage.ANSWER, Failure.LOST): door.CUT,  # closed within a chunk or before the last chunk
    (Stage.ANSWER, Failure.TIMED_OUT): door.TOO_SLOW,
    (Stage.ANSWER, Failure.CORRUPT): door.FAULT,
    (Stage.ANSWER, Failure.CANCELLED): door.UNDONE,
}

STATE_GONE = "kv_state_gone"  # error code of an engine for KV state that is no longer available (extension)


def outcome_of(stage: str, failure: Failure) -> str:
    """The outcome of an attempt that ended in `stage` by `failure`.

    >>> outcome_of(Stage.CONNECT, Failure.REFUSED), outcome_of(Stage.WAIT, Failure.LOST)
    ('no_route', 'cut')
    """
    return TABLE[Stage(stage), failure]


def status_outcome(status: int, code: str, rejection_statuses: Sequence[int], is_prefill: bool) -> str | None:
    """The outcome of a complete response with this status and error code; None if the response itself is to be used.

    `rejection_statuses` are those by which this deployment's engines say that they did not start a request. The client
    errors below that are not among them concern the request itself and are passed to the client unchanged.

    >>> status_outcome(503, "", (429, 503), False), status_outcome(500, "", (503,), True), status_outcome(200, "", (), True)
    ('no_room', 'fault', None)
    >>> status_outcome(400, "context_length_exceeded", (503,), False) is None, status_outcome(409, STATE_GONE, (), False)
    (True, 'no_state')
    """
    if code == STATE_GONE and not is_prefill:
        return door.NO_STATE
    if status in rejection_statuses:
        return door.NO_ROOM
    if status in (400, 404, 413, 415, 422) or status == 200:
        return None
    return door.FAULT
