"""Whether something may be sent, repeated, closed, taken or released now. Pure: typed facts in, a typed refusal or None out.

Every path that does one of these asks here just before it does, with no wait in between; which worker and when is the
decision module's. A refusal is an ordinary event and is counted by its reason (`service.audit`).
"""

from enum import StrEnum
from typing import NamedTuple


class Refusal(StrEnum):
    """Why something may not be done now."""

    CLIENT_GONE = "client gone"
    WORKER_CHANGED = "the list told otherwise of the worker"
    TIME_OVER = "the time ran out before the first byte"
    WINDOW_OVER = "workers may not know it for a repeat any more"
    ALREADY_ANSWERED = "answered already"
    PEER_SPOKE = "its peer closed, or sent what is no answer"
    LAST_BYTE_WRITTEN = "the request may have begun"
    OUT_OF_TURN = "one request at a time"
    ID_USED = "this one was used already"
    ROUTER_STOPS = "the router stops"
    ROUTER_FULL = "the router holds as many requests as it may"
    BYTES_UNREAD = "bytes wait unread"
    PREFILL_OUT = "a prefill is out"
    RELEASE_RUNNING = "a release is under way"
    NOTHING_OWED = "no release is owed"


class AttemptFacts(NamedTuple):
    """What is known just before an attempt's first byte. `remaining`: of its time, tenths of a millisecond."""

    client_gone: bool
    answered: bool
    worker_changed: bool
    window_over: bool  # of a repeat
    remaining: int


def may_begin_attempt(facts: AttemptFacts) -> Refusal | None:
    """Rules 1 to 4: an attempt's first byte.

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
    return Refusal.TIME_OVER if facts.remaining <= 0 else None


class WriteFacts(NamedTuple):
    """What is known of a request that is being written to a connection."""

    was_idle: bool  # the connection, before this request
    last_byte_written: bool
    quiet: bool  # its peer has neither closed nor sent anything


def may_write_last_byte(facts: WriteFacts) -> Refusal | None:
    """Rule 2: with its last byte a request may begin; on a connection that was idle, nothing may have come before it.

    >>> may_write_last_byte(WriteFacts(True, False, False)), may_write_last_byte(WriteFacts(False, False, False))
    (<Refusal.PEER_SPOKE: 'its peer closed, or sent what is no answer'>, None)
    """
    return Refusal.PEER_SPOKE if facts.was_idle and not facts.quiet else None


def may_repeat_write(facts: WriteFacts) -> Refusal | None:
    """Rule 2: the same attempt once more, on another connection.

    >>> may_repeat_write(WriteFacts(True, False, False)), may_repeat_write(WriteFacts(True, True, True))
    (None, <Refusal.LAST_BYTE_WRITTEN: 'the request may have begun'>)
    """
    return Refusal.LAST_BYTE_WRITTEN if facts.last_byte_written or not facts.was_idle else None


class RequestFacts(NamedTuple):
    """What is known of a request that was read whole."""

    more_bytes: bool  # its client has sent more behind it
    taking: bool  # no shutdown, or not long ago
    id_used: bool
    open_requests: int
    max_requests: int


def may_take_request(facts: RequestFacts) -> Refusal | None:
    """Rules 1 and 2: from here on an answer is owed.

    >>> may_take_request(RequestFacts(False, True, False, 4, 5)), may_take_request(RequestFacts(False, False, False, 0, 5))
    (None, <Refusal.ROUTER_STOPS: 'the router stops'>)
    """
    if facts.more_bytes:
        return Refusal.OUT_OF_TURN
    if not facts.taking:
        return Refusal.ROUTER_STOPS
    if facts.id_used:
        return Refusal.ID_USED
    return Refusal.ROUTER_FULL if facts.open_requests >= facts.max_requests else None


def may_close_idle(bytes_waiting: bool) -> Refusal | None:
    """Rule 1: the close of a client's connection that waits for a request.

    >>> may_close_idle(False), may_close_idle(True)
    (None, <Refusal.BYTES_UNREAD: 'bytes wait unread'>)
    """
    return Refusal.BYTES_UNREAD if bytes_waiting else None


class ReleaseFacts(NamedTuple):
    """What is known of a request's KV state. A decode that is out keeps what it waits for."""

    owed: bool
    running: bool
    prefill_written: bool  # it may have left a state that nobody named yet


def may_release(facts: ReleaseFacts) -> Refusal | None:
    """Rule 5: a release frees what no attempt waits for, also what a prefill has just left.

    >>> may_release(ReleaseFacts(True, False, False)), may_release(ReleaseFacts(True, False, True))
    (None, <Refusal.PREFILL_OUT: 'a prefill is out'>)
    """
    if not facts.owed:
        return Refusal.NOTHING_OWED
    if facts.running:
        return Refusal.RELEASE_RUNNING
    return Refusal.PREFILL_OUT if facts.prefill_written else None
