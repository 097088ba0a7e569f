"""The event record: one line of JSON for each question, written when its last outcome is in.

Checkers, replays, bills, the planner and the console read this one format. A field is added with a default;
a change of meaning raises VERSION.
"""

from collections import Counter, deque
from dataclasses import MISSING, dataclass, field, fields

from ramppulley.service.neutral import KvEvent

VERSION = 1


@dataclass(slots=True)
class SendRecord:
    """One send. Times: tenths of a millisecond on the machine's monotonic clock."""

    worker: str
    reads: bool
    start: int
    end: int = 0
    first: int | None = None
    outcome: str = ""
    why: str = ""


@dataclass(slots=True)
class QuestionRecord:
    """One question from taken to its last outcome."""

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
    sends: list[SendRecord] = field(default_factory=list)
    kv_events: list[KvEvent] = field(default_factory=list)
    v: int = VERSION


def _line(record):
    """What a line says of it: the fields that are not as their defaults."""
    told = {
        one.name: getattr(record, one.name)
        for one in fields(record)
        if one.default is MISSING or getattr(record, one.name) != one.default
    }
    if sends := told.pop("sends", ()):
        told["sends"] = [_line(send) for send in sends]
    if not told.get("kv_events"):
        told.pop("kv_events", None)
    return told


class Book:
    """The last records in memory, counts by kind and ending, and a file if one is named."""

    def __init__(self, path=None, last=512):
        self.last, self.counts = deque(maxlen=last), Counter()
        self._file = None
        if path:
            import msgspec  # here: a start on the platform, which writes none, would pay for it

            self._encoder, self._file = msgspec.json.Encoder(), open(path, "ab")

    def add(self, record):
        self.last.append(record)
        self.counts[record.kind, record.use_case, record.how] += 1
        if self._file:
            self._file.write(self._encoder.encode(_line(record)) + b"\n")

    def close(self):
        if self._file:
            self._file.close()
            self._file = None


def read_book(path):
    """All records of a file; raises ValueError that names the line of one that cannot be read.

    A last line without its end is what a killed writer left: it is passed over.
    """
    import msgspec

    decoder, records = msgspec.json.Decoder(QuestionRecord), []
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
