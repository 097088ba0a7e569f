"""Snapshot file with the incarnations that a router may have used. Does no I/O.

A block of incarnations is reserved on disk before any of them is used, so that a restart, also after a crash, starts above
every incarnation that was ever announced.
"""

from hashlib import blake2b

import msgspec

MAGIC, VERSION, CHECKSUM_SIZE = b"RPS", 1, 16
MAX_FILE_SIZE = 4_096  # maximum file size in bytes; a longer file is not a snapshot
BLOCK = 1_024  # incarnations reserved at once


class Snapshot(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Content of the snapshot file."""

    cluster: str
    name: str
    highest: int  # the highest incarnation that may have been used


class DamagedSnapshot(ValueError):
    """The bytes are not a complete snapshot."""


class ForeignSnapshot(ValueError):
    """A complete snapshot, but of another cluster, router or format version."""


def encode(snapshot: Snapshot) -> bytes:
    """Encodes the file: magic, version, content, checksum."""
    raw = MAGIC + bytes([VERSION]) + msgspec.msgpack.encode(snapshot)
    return raw + blake2b(raw, digest_size=CHECKSUM_SIZE).digest()


def decode(raw: bytes, cluster: str, name: str) -> Snapshot:
    """Decodes a snapshot file; raises DamagedSnapshot or ForeignSnapshot.

    >>> decode(encode(Snapshot("c", "r0", 1024)), "c", "r0").highest
    1024
    """
    if (
        len(raw) > MAX_FILE_SIZE
        or len(raw) < len(MAGIC) + 1 + CHECKSUM_SIZE
        or raw[:3] != MAGIC
        or blake2b(raw[:-CHECKSUM_SIZE], digest_size=CHECKSUM_SIZE).digest() != raw[-CHECKSUM_SIZE:]
    ):
        raise DamagedSnapshot("torn, or not a snapshot")
    if raw[3] != VERSION:
        raise ForeignSnapshot(f"version {raw[3]}; this program reads {VERSION}")
    try:
        snapshot = msgspec.msgpack.decode(raw[4:-CHECKSUM_SIZE], type=Snapshot)
    except msgspec.MsgspecError as fault:
        raise DamagedSnapshot(str(fault)) from fault
    if (snapshot.cluster, snapshot.name) != (cluster, name):
        raise ForeignSnapshot(f"of router {snapshot.name!r} in cluster {snapshot.cluster!r}")
    return snapshot
