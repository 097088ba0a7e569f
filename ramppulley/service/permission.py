"""Last checks before an attempt, a repeat, a close, an acceptance or a release. Pure: facts in, a Refusal or None out.

Every code path that does one of these checks here immediately before, without awaiting in between; the choice of worker and
time is up to the decision module. A refusal is normal operation and is counted by its reason (`service.audit`).
"""

from enum import StrEnum
from typing import NamedTuple


class Refusal(StrEnum):
    """Why an action is refused. The values are counted and, for requests, sent to the client."""

    CLIENT_GONE = "client gone"
    WORKER_CHANGED = "the list told otherwise of the worker"
    TIMED_OUT = "the time ran out before the first byte"
    WINDOW_OVER = "workers may not know it for a repeat any more"
    ALREADY_ANSWERED = "answered already"
    PEER_SENT_OR_CLOSED = "its peer closed, or sent what is no answer"
    LAST_BYTE_WRITTEN = "the request may have begun"
    OUT_OF_TURN = "one request at a time"
    ID_USED = "this one was used already"
    ROUTER_STOPS = "the router stops"
    ROUTER_FULL = "the router holds as many requests as it may"
    OUT_OF_MEMORY = "the router is short of memory"
    BYTES_UNREAD = "bytes wait unread"
    PREFILL_OPEN = "a prefill is out"
    RELEASE_RUNNING = "a release is under way"
    NO_RELEASE_PENDING = "no release is owed"


class AttemptFacts(NamedTuple):
    """State just before the first byte of an attempt. `remaining`: rest of its timeout in tenths of a millisecond."""

    client_gone: bool
    answered: bool
    worker_changed: bool
    window_over: bool  # too late for a repeat to be recognized as one
    remaining: int


def may_begin_attempt(facts: AttemptFacts) -> Refusal | None:
    """Rules 1 to 4: whether to write the first byte of an attempt.

    >>> may_begin_attempt(AttemptFacts(False, False, False, False, 100))
    >>> may_begin_attempt(AttemptFacts(True, False, True, False, 100))
    <Refusal.CLIENT_GONE: 'client gone'>
    """
    if facts.client_gone:
        return Refusal.CLIENT_GONE
    if facts.answered:
        return Refusal.ALREADY_ANSWERED
    if facts.worker_changed:
        return Refusal.WORKER_CHANGED
    if facts.window_over:
        return Refusal.WINDOW_OVER
    return Refusal.TIMED_OUT if facts.remaining <= 0 else None


class WriteFacts(NamedTuple):
    """State of a request that is being written to a connection."""

    was_idle: bool  # the connection was idle before this request
    last_byte_written: bool
    quiet: bool  # the peer has neither closed nor sent anything


def may_write_last_byte(facts: WriteFacts) -> Refusal | None:
    """Rule 2: the worker may run a request once it has the last byte. On a connection that was idle, the last byte is not
    written if the peer has closed or sent anything before.

    >>> may_write_last_byte(WriteFacts(True, False, False)), may_write_last_byte(WriteFacts(False, False, False))
    (<Refusal.PEER_SENT_OR_CLOSED: 'its peer closed, or sent what is no answer'>, None)
    """
    return Refusal.PEER_SENT_OR_CLOSED if facts.was_idle and not facts.quiet else None


def may_repeat_write(facts: WriteFacts) -> Refusal | None:
    """Rule 2: whether to repeat the same attempt on another connection.

    >>> may_repeat_write(WriteFacts(True, False, False)), may_repeat_write(WriteFacts(True, True, True))
    (None, <Refusal.LAST_BYTE_WRITTEN: 'the request may have begun'>)
    """
    return Refusal.LAST_BYTE_WRITTEN if facts.last_byte_written or not facts.was_idle else None


class RequestFacts(NamedTuple):
    """State when a request has been received completely."""

    more_bytes: bool  # the client has sent more bytes after it
    accepting: bool  # not shutting down, or within the grace time of the shutdown
    id_used: bool
    open_requests: int
    max_requests: int
    fits_memory: bool


def may_accept_request(facts: RequestFacts) -> Refusal | None:
    """Rules 1 and 2: whether to accept a request, which must then get an answer.

    >>> (may_accept_request(RequestFacts(False, True, False, 4, 5, True)),
    ...  may_accept_request(RequestFacts(False, False, False, 0, 5, True)))
    (None, <Refusal.ROUTER_STOPS: 'the router stops'>)
    """
    if facts.more_bytes:
        return Refusal.OUT_OF_TURN
    if not facts.accepting:
        return Refusal.ROUTER_STOPS
    if facts.id_used:
        return Refusal.ID_USED
    if facts.open_requests >= facts.max_requests:
        return Refusal.ROUTER_FULL
    return None if facts.fits_memory else Refusal.OUT_OF_MEMORY


def may_close_idle(bytes_waiting: bool) -> Refusal | None:
    """Rule 1: whether to close a client connection that waits for a request.

    >>> may_close_idle(False), may_close_idle(True)
    (None, <Refusal.BYTES_UNREAD: 'bytes wait unread'>)
    """
    return Refusal.BYTES_UNREAD if bytes_waiting else None


class ReleaseFacts(NamedTuple):
    """State of a request's KV state and of its release. An open decode keeps the state that it waits for."""

    pending: bool
    running: bool
    prefill_written: bool  # it may have created KV state that has not been reported yet


def may_release(facts: ReleaseFacts) -> Refusal | None:
    """Rule 5: whether to release KV state that no attempt waits for. It waits for an open prefill, to include its state.

    >>> may_release(ReleaseFacts(True, False, False)), may_release(ReleaseFacts(True, False, True))
    (None, <Refusal.PREFILL_OPEN: 'a prefill is out'>)
    """
    if not facts.pending:
        return Refusal.NO_RELEASE_PENDING
    if facts.running:
        return Refusal.RELEASE_RUNNING
    return Refusal.PREFILL_OPEN if facts.prefill_written else None
