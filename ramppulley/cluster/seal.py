"""Authenticated datagram framing: sender, sequence number and a MAC under the cluster's shared key. Does no I/O.

A datagram is a header (MessagePack), its payload, and a keyed BLAKE2b tag (RFC 7693) over both. The tag is verified first,
so a forged datagram costs one hash over a bounded number of bytes. Each run of a router numbers its datagrams; a replay
window as in RFC 6479 accepts each number once. All routers share one key: the tag keeps outsiders out, but doesn't stop a
member from lying about another member.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from hmac import compare_digest

import msgspec

from ramppulley.cluster.rng import RandomSource
from ramppulley.cluster.words import MAX_PAYLOAD_SIZE

VERSION = 1
TAG_SIZE, MAGIC = 16, b"RP"  # size of the tag in bytes; first bytes of each datagram
MAX_DATAGRAM_SIZE = 1_400  # maximum datagram size in bytes, with header and tag: below the Ethernet MTU
MIN_KEY_SIZE, MAX_KEY_SIZE = 16, 64  # minimum and maximum key size in bytes
RUN_ID_BITS = 62
REPLAY_WINDOW = 1 << 10  # sequence numbers behind the newest that are still accepted
MAX_SENDERS = 1_024  # sender names tracked; the least recently heard is evicted first
MIN_ALTERNATIONS = 2  # an older run that resumes this often runs at the same time as the newer one

CAUSES = (
    "too long",
    "too short",
    "not ours",
    "other version",
    "forged",
    "unreadable",
    "other cluster",
    "replayed",
    "own",
    "own name",
)


class Header(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Header of a datagram. `run_id`: random ID of the sender's run, so that two processes with one name are told apart."""

    cluster: str
    sender: str
    run_id: int
    incarnation: int
    number: int
    kind: str  # the state machine it is for: "members", "signals" ...


class InvalidDatagram(ValueError):
    """A datagram that is rejected without effect; the message is one of CAUSES."""


_decoder, _encoder = msgspec.msgpack.Decoder(Header), msgspec.msgpack.Encoder()


class SenderRun:
    """Replay window of one run of a sender, and how often the run resumed after another run of the same name."""

    __slots__ = "run_id", "newest", "received", "alternations"

    def __init__(self, run_id: int) -> None:
        self.run_id = run_id
        self.newest = -1
        self.received = 0  # bitmap of the newest number and the REPLAY_WINDOW - 1 before it
        self.alternations = 0

    def accept(self, number: int) -> bool:
        """Records a sequence number; False if it was received before or is older than the window.

        >>> run = SenderRun(1)
        >>> [run.accept(n) for n in (5, 5, 4, 2000, 4, 1999)]
        [True, False, True, True, False, True]
        """
        if number > self.newest:
            self.received = (self.received << min(number - self.newest, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.newest = number
            return True
        behind = self.newest - number
        if behind >= REPLAY_WINDOW or self.received >> behind & 1:
            return False
        self.received |= 1 << behind
        return True


class Seal:
    """Encodes and verifies one router's datagrams. `rng` draws its run ID; `incarnation()` is called for each datagram."""

    def __init__(
        self,
        cluster: str,
        key: bytes,
        name: str,
        rng: RandomSource,
        incarnation: Callable[[], int] = lambda: 0,
    ) -> None:
        if not MIN_KEY_SIZE <= len(key) <= MAX_KEY_SIZE:
            raise ValueError(f"cluster key has {len(key)} bytes; it must have {MIN_KEY_SIZE} to {MAX_KEY_SIZE}")
        self.cluster = cluster
        self.name = name
        self.incarnation = incarnation
        self.run_id = rng.getrandbits(RUN_ID_BITS)
        self.number = 0
        self.hash = blake2b(key=key, digest_size=TAG_SIZE)
        self.senders: OrderedDict[str, list[SenderRun]] = OrderedDict()  # runs of each name, the latest last
        self.own_name_count = 0  # datagrams from other runs under our own name
        self.count: Counter[str] = Counter()  # rejected datagrams by cause
        self.duplicate_names: list[str] = []  # names used by two routers at once; emptied by the host

    def _tag(self, raw: bytes) -> bytes:
        digest = self.hash.copy()
        digest.update(raw)
        return digest.digest()

    def seal(self, kind: str, payload: bytes) -> bytes:
        """The datagram for a payload. Raises ValueError if the payload is too large."""
        if len(payload) > MAX_PAYLOAD_SIZE:
            raise ValueError(f"payload of {len(payload)} bytes exceeds the maximum of {MAX_PAYLOAD_SIZE}")
        self.number += 1
        header = _encoder.encode(Header(self.cluster, self.name, self.run_id, self.incarnation(), self.number, kind))
        raw = MAGIC + bytes([VERSION, len(header)]) + header + payload
        return raw + self._tag(raw)

    def open(self, data: bytes) -> tuple[Header, bytes]:
        """Verifies a datagram and returns (header, payload); raises InvalidDatagram and counts its cause."""
        try:
            return self._open(data)
        except InvalidDatagram as fault:
            self.count[str(fault)] += 1
            raise

    def _open(self, data: bytes) -> tuple[Header, bytes]:
        if len(data) > MAX_DATAGRAM_SIZE:
            raise InvalidDatagram("too long")
        if len(data) < len(MAGIC) + 2 + TAG_SIZE:
            raise InvalidDatagram("too short")
        if data[:2] != MAGIC:
            raise InvalidDatagram("not ours")
        if data[2] != VERSION:
            raise InvalidDatagram("other version")
        raw, tag = data[:-TAG_SIZE], data[-TAG_SIZE:]
        if not compare_digest(self._tag(raw), tag):
            raise InvalidDatagram("forged")
        header, payload = self._split(raw[3:])
        if header.cluster != self.cluster:
            raise InvalidDatagram("other cluster")
        if header.run_id == self.run_id:
            raise InvalidDatagram("own")  # our own datagram was sent back to us
        self._check_sequence(header)
        if header.sender == self.name:
            self.own_name_count += 1  # a single one may be a late datagram from our previous run
            if self.own_name_count % MIN_ALTERNATIONS == 0:
                self.duplicate_names.append(header.sender)
            raise InvalidDatagram("own name")
        return header, payload

    def _split(self, raw: bytes) -> tuple[Header, bytes]:
        try:
            header = _decoder.decode(raw[1 : 1 + raw[0]])
        except (msgspec.MsgspecError, RecursionError) as fault:
            raise InvalidDatagram("unreadable") from fault
        if not 0 < len(header.sender) <= 64 or header.number < 0 or not 0 <= header.incarnation < 1 << 48:
            raise InvalidDatagram("unreadable")
        return header, raw[1 + raw[0] :]

    def _check_sequence(self, header: Header) -> None:
        """Accepts each number of a run once; raises InvalidDatagram for a replay.

        The last two runs of a name are tracked, so a restart is accepted. If the older run repeatedly sends new datagrams
        after the newer one did, two processes use the name at the same time: that is reported in `duplicate_names`, and
        both are still accepted.
        """
        runs = self.senders.setdefault(header.sender, [])
        self.senders.move_to_end(header.sender)
        while len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
        run = next((candidate for candidate in runs if candidate.run_id == header.run_id), None)
        if run is None:
            run = SenderRun(header.run_id)
            runs.append(run)
            del runs[:-2]
        if not run.accept(header.number):
            raise InvalidDatagram("replayed")
        if run is not runs[-1]:
            runs.reverse()
            run.alternations += 1
            if run.alternations >= MIN_ALTERNATIONS:
                self.duplicate_names.append(header.sender)
                run.alternations = 0


def unverified_header(data: bytes) -> Header | None:
    """The header of a datagram, unverified, or None if it can't be decoded: for passive observers."""
    try:
        return _decoder.decode(data[4 : 4 + data[3]])
    except (msgspec.MsgspecError, RecursionError, IndexError):
        return None


__all__ = ["CAUSES", "Header", "Seal", "InvalidDatagram", "unverified_header"]
