"""Record format of a log segment, and the scan that tells torn tails from corruption. Does no I/O.

A frame is a header, a payload and an xxHash64 of both and the log's identity. The header has the record's number, the epoch
of its writer, the number up to which the log was known to be flushed when it was written, and the checksum of the previous
frame: so a frame of another log, from another position or from an earlier history of the log doesn't match where it is.

Bytes that don't match are one of two things. A torn tail: records whose flush was never confirmed to anybody; it is skipped.
Corruption: a damaged record that a later frame reports as flushed, or that is in a closed segment; it is reported, and has
to be restored from a replica.
"""

import struct
from dataclasses import dataclass, field

import xxhash

HEADER = struct.Struct("<IQQQIB")  # payload length, number, flushed number, previous checksum, epoch, kind
CHECKSUM = struct.Struct("<Q")
MAX_PAYLOAD = 1 << 20  # bytes
IDENTITY_SIZE = 16  # bytes
SEGMENT_HEADER = 0  # kind of a segment's first frame, whose payload has the log's owner and generation


@dataclass(frozen=True)
class Record:
    """`number`: consecutive within the log. `kind`: type of the payload, 1 to 255."""

    number: int
    epoch: int
    kind: int
    payload: bytes


@dataclass(frozen=True)
class CorruptRange:
    """The records from `first` up to, not including, `end` can't be read; `at` is the byte offset of the damage."""

    first: int
    end: int
    at: int


@dataclass
class Scan:
    """Content of a segment. `end`: offset after the last valid frame; `checksum`: of that frame; `torn`: size of the torn
    tail."""

    records: list = field(default_factory=list)
    corrupt_ranges: list = field(default_factory=list)  # CorruptRange
    end: int = 0
    checksum: int = 0
    number: int = 0  # of the next record
    flushed: int = 0  # highest number that a frame reports as flushed
    torn: int = 0


def frame_checksum(identity, header, payload):
    digest = xxhash.xxh64(identity)
    digest.update(header)
    digest.update(payload)
    return digest.intdigest()


def encode_frame(identity, record, flushed, previous):
    """(bytes of a frame, its checksum). Raises ValueError if the payload exceeds MAX_PAYLOAD."""
    if len(record.payload) > MAX_PAYLOAD:
        raise ValueError(f"record of {len(record.payload)} bytes exceeds the maximum of {MAX_PAYLOAD}")
    header = HEADER.pack(len(record.payload), record.number, flushed, previous, record.epoch, record.kind)
    checksum = frame_checksum(identity, header, record.payload)
    return header + record.payload + CHECKSUM.pack(checksum), checksum


def decode_frame(identity, raw, at):
    """(Record, flushed, previous checksum, checksum, end offset) of the frame at an offset; None if there is none."""
    if at + HEADER.size + CHECKSUM.size > len(raw):
        return None
    header = raw[at : at + HEADER.size]
    length, number, flushed, previous, epoch, kind = HEADER.unpack(header)
    end = at + HEADER.size + length + CHECKSUM.size
    if length > MAX_PAYLOAD or end > len(raw):
        return None
    payload = raw[at + HEADER.size : end - CHECKSUM.size]
    checksum = CHECKSUM.unpack_from(raw, end - CHECKSUM.size)[0]
    if checksum != frame_checksum(identity, header, payload):
        return None
    return Record(number, epoch, kind, payload), flushed, previous, checksum, end


def scan_segment(identity, raw, number, previous, until=None):
    """The Scan of a segment, given the number of its first record and the checksum of the frame before it.

    `until`: first number of the next segment, if there is one: all records before it were flushed, and any frames of this
    segment from that number on never were.

    >>> log = b"i" * IDENTITY_SIZE
    >>> first, checksum = encode_frame(log, Record(5, 1, 1, b"a"), 0, 0)
    >>> second, _ = encode_frame(log, Record(6, 1, 1, b"b"), 5, checksum)
    >>> scan_segment(log, first + second[:9], 5, 0).torn, scan_segment(log, first + second, 5, 0).number
    (9, 7)
    >>> scan_segment(log, b"x" + first[1:] + second, 5, 0).corrupt_ranges
    [CorruptRange(first=5, end=6, at=0)]
    """
    found, at = Scan(checksum=previous, number=number), 0
    while at < len(raw) and found.number != until:
        frame = decode_frame(identity, raw, at)
        if frame is not None and (frame[0].number, frame[2]) == (found.number, found.checksum):
            record, flushed, _, found.checksum, at = frame
            found.records.append(record)
            found.number, found.flushed, found.end = record.number + 1, max(found.flushed, flushed), at
            continue
        later = _find_later_frame(identity, raw, at, found.number)
        if later is None:
            found.torn = len(raw) - at
            break
        offset, (record, flushed, previous, checksum, end) = later
        if until is None and flushed < found.number:  # neither the damaged record nor those after it were confirmed
            found.torn = len(raw) - at
            break
        found.corrupt_ranges.append(CorruptRange(found.number, record.number, at))
        found.number, found.checksum, at = record.number, previous, offset
    if until is not None:
        if found.number < until:
            found.corrupt_ranges.append(CorruptRange(found.number, until, found.end))
        found.number, found.torn = until, 0
    return found


def _find_later_frame(identity, raw, at, number):
    """(offset, frame) of the first valid frame after an offset whose number isn't lower than the given one."""
    for offset in range(at + 1, len(raw) - HEADER.size - CHECKSUM.size + 1):
        length, frame_number = struct.unpack_from("<IQ", raw, offset)
        if length <= MAX_PAYLOAD and number <= frame_number <= number + len(raw):
            frame = decode_frame(identity, raw, offset)
            if frame is not None:
                return offset, frame
    return None
