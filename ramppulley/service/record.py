"""The event log: one line of JSON for each request, written after the outcome of its last attempt.

Checkers, replays, billing, the planner and the console read this format. New fields get a default; a change of a field's
meaning increments VERSION.
"""

from collections import Counter, deque
from dataclasses import MISSING, dataclass, field, fields

from ramppulley.service.neutral import KvEvent, Usage

VERSION = 1


@dataclass(slots=True)
class AttemptRecord:
    """One attempt. Times are tenths of a millisecond of the machine's monotonic clock."""

    worker: str
    reads: bool
    start: int
    end: int = 0
    first: int | None = None
    outcome: str = ""
    why: str = ""


@dataclass(slots=True)
class RequestRecord:
    """One request, from its acceptance to the outcome of its last attempt."""

    name: str
    kind: str
    model: str
    pool: str
    use_case: str
    effect: str
    taken: int
    patience: int
    prompt: int
    account: str = ""
    session: str = ""
    prefix: str = ""
    prefix_tokens: int = 0
    most_out: int = 1
    promised: int = 0
    first: int | None = None
    ended: int = 0
    how: str = ""
    harmless: bool = False
    why: str = ""
    come_back: int = 0
    prompt_counted: int = 0
    cached: int = 0
    written: int = 0
    sends: list[AttemptRecord] = field(default_factory=list)
    kv_events: list[KvEvent] = field(default_factory=list)
    v: int = VERSION


def record_of(tracked, pool, name_of):
    """The record of a TrackedRequest whose attempts have all ended; `name_of` returns an endpoint's name."""
    request, answer, request_class = tracked.request, tracked.final_answer, tracked.view.use_case
    usage = tracked.usage or Usage()
    return RequestRecord(
        name=request.name,
        kind=request.kind,
        model=request.model,
        pool=pool,
        use_case=request.request_class,
        effect=request_class.effect,
        taken=tracked.accepted_at,
        patience=request.deadline,
        prompt=request.prompt,
        account=request.tenant,
        session=request.session,
        prefix=request.prefix,
        prefix_tokens=request.prefix_tokens,
        most_out=request.max_out,
        promised=request_class.promised + request_class.promised_per_k * request.prompt // 1000,
        first=tracked.first_token_at,
        ended=tracked.ended_at,
        how=answer.result,
        harmless=answer.retryable,
        why=answer.reason,
        come_back=answer.retry_after,
        prompt_counted=usage.prompt,
        cached=usage.cached,
        written=usage.written,
        kv_events=tracked.kv_events,
        sends=[_attempt_record_of(attempt, name_of) for attempt in tracked.attempts],
    )


def _attempt_record_of(attempt, name_of):
    ended_at, result = attempt.result
    return AttemptRecord(
        worker=name_of(attempt.endpoint),
        reads=attempt.is_prefill,
        start=attempt.started,
        end=ended_at,
        first=attempt.first_token_at,
        outcome=result.outcome,
        why=result.reason,
    )


def _to_dict(record):
    """The fields of a record that differ from their defaults, as they are written to its line."""
    values = {
        f.name: getattr(record, f.name)
        for f in fields(record)
        if f.default is MISSING or getattr(record, f.name) != f.default
    }
    if sends := values.pop("sends", ()):
        values["sends"] = [_to_dict(send) for send in sends]
    if not values.get("kv_events"):
        values.pop("kv_events", None)
    return values


class EventLog:
    """The most recent records, counts by kind, request class and result, and a file if a path is given."""

    def __init__(self, path=None, last=512):
        self.last, self.counts = deque(maxlen=last), Counter()
        self._file = None
        if path:
            import msgspec  # imported here to keep the start on the platform, which writes no file, fast

            self._encoder, self._file = msgspec.json.Encoder(), open(path, "ab")

    def add(self, record):
        self.last.append(record)
        self.counts[record.kind, record.use_case, record.how] += 1
        if self._file:
            self._file.write(self._encoder.encode(_to_dict(record)) + b"\n")

    def close(self):
        if self._file:
            self._file.close()
            self._file = None


def read_event_log(path):
    """All records of a file; raises ValueError with the number of a line that cannot be decoded.

    An incomplete last line, which a killed process leaves, is ignored.
    """
    import msgspec

    decoder, records = msgspec.json.Decoder(RequestRecord), []
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith(b"\n"):
                break
            try:
                record = decoder.decode(line)
            except msgspec.MsgspecError as fault:
                raise ValueError(f"{path}:{number}: {fault}") from fault
            if record.v > VERSION:
                raise ValueError(f"{path}:{number}: version {record.v}; this program reads up to {VERSION}")
            records.append(record)
    return records
