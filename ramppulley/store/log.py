"""The durable log of one router on the local disk.

`open_log` reads the existing log before the router listens. `Log.append` returns once its record is flushed; records that
arrive during a flush are written together in the next one (group commit), in a separate thread, so that the event loop never
waits for the disk. A failed flush is never retried, as a kernel may drop the pages it could not write and report success for
the next one (Rebello and others, Can Applications Recover from fsync Failures, ATC 2020): `append` raises OSError for its
records, none of which was confirmed, and the next records go into a new segment, numbered on from the last confirmed one.
"""

import asyncio
import errno
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from ramppulley.store.frames import (
    IDENTITY_SIZE,
    SEGMENT_HEADER,
    CorruptRange,
    Record,
    decode_frame,
    encode_frame,
    scan_segment,
)

IDENTITY_FILE = "log.identity"
VERSION = 1
MAX_IDENTITY_FILE_SIZE = 4096
SUFFIX = ".seg"


class InvalidLog(ValueError):
    """The folder isn't a log of this router. The message has the reason; nothing was changed in the folder."""


class LogUnavailable(OSError):
    """The log accepts no more records: its disk is full or fails repeatedly, or too many records wait."""


class LogIdentity(msgspec.Struct):
    """Content of the identity file. `generation` counts how often the log was opened; a log that lost its content gets a new
    identity. `base`, `check`: number of the first record still needed, and the checksum of the frame before it."""

    version: int
    cluster: str
    owner: str
    identity: bytes
    generation: int
    base: int = 0
    check: int = 0


class SegmentHeader(msgspec.Struct, array_like=True):
    """Payload of a segment's first frame."""

    owner: str
    generation: int


@dataclass
class LogContent:
    """Content of a log when it was opened. `new`: there was no log. `corrupt_ranges`: confirmed records that can't be read.
    `torn`: bytes of unconfirmed records after the last one; they stay on disk, and are ignored from the next segment's first
    number on.
    """

    records: list = field(default_factory=list)
    corrupt_ranges: list = field(default_factory=list)  # CorruptRange
    torn: int = 0
    new: bool = False
    generation: int = 0


@dataclass
class _Segment:
    path: object
    first: int  # number of its first record
    previous: int  # checksum of the frame before that


def _name(number):
    return f"{number:020d}{SUFFIX}"


def read_identity(disk, folder):
    """The LogIdentity of a folder, None if there is no log; raises InvalidLog and OSError."""
    raw = disk.read(folder / IDENTITY_FILE, MAX_IDENTITY_FILE_SIZE)
    if raw is None:
        return None
    try:
        identity = msgspec.msgpack.decode(raw, type=LogIdentity)
    except msgspec.MsgspecError as fault:
        raise InvalidLog(
            f"{folder / IDENTITY_FILE}: not readable: {fault}; it is never started over as if empty"
        ) from fault
    if identity.version != VERSION:
        raise InvalidLog(f"{folder / IDENTITY_FILE}: version {identity.version}; this program reads {VERSION}")
    if len(identity.identity) != IDENTITY_SIZE:
        raise InvalidLog(f"{folder / IDENTITY_FILE}: an identity of {len(identity.identity)} bytes")
    return identity


def read_log(folder, cluster, owner, disk):
    """(LogIdentity, LogContent, segments, checksum of the last frame, number of the next record); changes nothing.

    Raises InvalidLog and OSError. The LogIdentity is None if there is no log.
    """
    identity, names = read_identity(disk, folder), [name for name in disk.list_files(folder) if name.endswith(SUFFIX)]
    if identity is None:
        if names:
            raise InvalidLog(
                f"{folder}: has {len(names)} segments and no {IDENTITY_FILE}; it is never started over as if empty"
            )
        return None, LogContent(new=True), [], 0, 0
    if (identity.cluster, identity.owner) != (cluster, owner):
        raise InvalidLog(f"{folder}: the log of router {identity.owner!r} of cluster {identity.cluster!r}")
    numbers = sorted(int(name.removesuffix(SUFFIX)) for name in names if name.removesuffix(SUFFIX).isdigit())
    content, segments, checksum, number = LogContent(generation=identity.generation), [], identity.check, identity.base
    for index, first in enumerate(numbers):
        until = numbers[index + 1] if index + 1 < len(numbers) else None
        if first > number:
            content.corrupt_ranges.append(CorruptRange(number, first, 0))
        raw = disk.read_all(folder / _name(first))
        if first > number:  # the previous frame is lost: the checksum that this segment has of it can't be verified
            frame = decode_frame(identity.identity, raw, 0)
            checksum = checksum if frame is None else frame[2]
        scan = scan_segment(identity.identity, raw, first, checksum, until)
        segments.append(_Segment(folder / _name(first), first, checksum))
        content.records += [record for record in scan.records if record.kind != SEGMENT_HEADER]
        content.corrupt_ranges += scan.corrupt_ranges
        content.torn, checksum, number = scan.torn, scan.checksum, scan.number
    return identity, content, segments, checksum, number


def open_log(folder, cluster, owner, disk, rng, **options):
    """(Log, LogContent) of the log in a folder, created if there is none. Raises InvalidLog, and OSError from the disk."""
    identity, content, segments, checksum, number = read_log(folder, cluster, owner, disk)
    if identity is None:
        identity = LogIdentity(
            VERSION, cluster, owner, rng.getrandbits(8 * IDENTITY_SIZE).to_bytes(IDENTITY_SIZE, "little"), 0
        )
    identity.generation += 1
    disk.replace(folder / IDENTITY_FILE, msgspec.msgpack.encode(identity))
    content.generation = identity.generation
    return Log(folder, identity, disk, segments, checksum, number, **options), content


class Log:
    """The log's only writer. `max_segment_size`: bytes after which a new segment begins; `max_pending`: records that may
    wait for a flush."""

    def __init__(
        self,
        folder,
        identity,
        disk,
        segments,
        checksum,
        number,
        epoch=0,
        max_segment_size=8 << 20,
        max_pending=10_000,
    ):
        self.folder = folder
        self.identity = identity
        self.disk = disk
        self.segments = segments
        self.epoch = epoch
        self.checksum = checksum  # of the last valid frame
        self.number = number  # of the next record
        self.flushed = number  # all records before this number are flushed
        self.max_segment_size = max_segment_size
        self.max_pending = max_pending
        self.pending = []  # (kind, payload, future of the number)
        self.commit_task = None
        self.file = None  # of the current segment
        self.size = 0  # of that file
        self.executor = ThreadPoolExecutor(1, "log")
        self.fatal_error = None  # (errno, text) after which the log accepts no more records
        self.flushes = 0
        self.failures = 0  # failed writes and flushes since the log was opened
        self.bytes = 0  # written

    async def append(self, kind, payload):
        """Returns the record's number once it is flushed.

        Raises LogUnavailable, ValueError (payload too large), or OSError if its flush failed.
        """
        if self.fatal_error is not None:
            raise LogUnavailable(*self.fatal_error)
        if len(self.pending) >= self.max_pending:
            raise LogUnavailable(errno.EAGAIN, "too many records wait for the disk")
        # raises ValueError for a payload that is too large here, so that it doesn't fail the whole batch
        encode_frame(self.identity.identity, Record(0, 0, kind, payload), 0, 0)
        done = asyncio.get_running_loop().create_future()
        self.pending.append((kind, payload, done))
        if self.commit_task is None:
            self.commit_task = asyncio.get_running_loop().create_task(self._commit_pending())
        return await done

    async def _commit_pending(self):
        loop = asyncio.get_running_loop()
        try:
            while self.pending:
                batch, self.pending = self.pending, []
                try:
                    first = await loop.run_in_executor(self.executor, self._commit, [entry[:2] for entry in batch])
                except OSError as fault:
                    for _, _, done in batch:
                        if not done.done():
                            done.set_exception(OSError(fault.errno, fault.strerror))
                    continue
                for index, (_, _, done) in enumerate(batch):
                    if not done.done():
                        done.set_result(first + index)
        finally:
            self.commit_task = None

    def _commit(self, batch):
        """Writes and flushes a batch, in the executor's thread; returns the number of its first record."""
        try:
            if self.file is None or self.size >= self.max_segment_size:
                self._begin_segment()
            return self._write_batch(batch)
        except OSError as fault:
            self._abandon_segment(fault)
            raise

    def _write_batch(self, batch):
        number, checksum, raw = self.number, self.checksum, []
        for kind, payload in batch:
            frame, checksum = encode_frame(
                self.identity.identity, Record(number, self.epoch, kind, payload), self.flushed, checksum
            )
            raw.append(frame)
            number += 1
        whole = b"".join(raw)
        self.disk.write(self.file, whole)
        self.disk.flush(self.file)
        first, self.number, self.flushed, self.checksum = self.number, number, number, checksum
        self.size, self.flushes, self.bytes = self.size + len(whole), self.flushes + 1, self.bytes + len(whole)
        return first

    def _begin_segment(self):
        """Starts a segment at the next number; frames from that number on in the previous segment were never confirmed."""
        if self.file is not None:
            self.file.close()
            self.file = None
        path = self.folder / _name(self.number)
        if self.segments and self.segments[-1].first == self.number:  # none of its records was ever flushed
            self.disk.remove(self.segments.pop().path)
        self.file, self.size = self.disk.create(path), 0
        self.segments.append(_Segment(path, self.number, self.checksum))
        self._write_batch(
            [(SEGMENT_HEADER, msgspec.msgpack.encode(SegmentHeader(self.identity.owner, self.identity.generation)))]
        )

    def _abandon_segment(self, fault):
        """Closes the segment after a failed write or flush, as its tail is in an unknown state; the next batch starts
        another."""
        self.failures += 1
        if self.file is not None:
            self.file.close()
            self.file = None
        if fault.errno == errno.ENOSPC or self.failures >= 8:
            self.fatal_error = fault.errno, fault.strerror

    async def discard_before(self, number):
        """Deletes the segments that only have records before this number. Raises OSError."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self._discard_before, number)

    def _discard_before(self, number):
        obsolete = [segment for segment, after in zip(self.segments, self.segments[1:]) if after.first <= number]
        if obsolete:
            after = self.segments[len(obsolete)]
            identity = msgspec.structs.replace(self.identity, base=after.first, check=after.previous)
            # the identity file first: a crash in between leaves segments too many, never too few
            self.disk.replace(self.folder / IDENTITY_FILE, msgspec.msgpack.encode(identity))
            self.identity, self.segments = identity, self.segments[len(obsolete) :]
            for segment in obsolete:
                self.disk.remove(segment.path)

    async def close(self):
        if self.commit_task is not None:
            await self.commit_task
        self.executor.shutdown()
        if self.file is not None:
            self.file.close()
            self.file = None
