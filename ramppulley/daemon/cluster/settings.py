"""Reads the cluster key that the settings refer to, before anything listens; errors name the field."""

from pathlib import Path

from ramppulley.cluster.seal import MAX_KEY_SIZE, MIN_KEY_SIZE
from ramppulley.daemon.json5 import InvalidFileError
from ramppulley.store.disk import Disk

KEY_FILE_BYTES_MAX = 4_096


def field_fault(where: str, field: str, text: str) -> InvalidFileError:
    """The error for a field in the section `peers`. `where` names the settings file."""
    return InvalidFileError(f"{where}: peers.{field}: {text}")


def read_key(path: Path, where: str) -> bytes:
    """Reads the cluster key; raises InvalidFileError."""
    try:
        raw = Disk().read(path, KEY_FILE_BYTES_MAX)  # provided by operators, not written by the router
    except OSError as fault:
        raise field_fault(where, "key_file", f"{path}: {fault.strerror}") from fault
    if raw is None:
        raise field_fault(where, "key_file", f"{path}: no such file")
    key = raw.strip()
    if not MIN_KEY_SIZE <= len(key) <= MAX_KEY_SIZE:
        raise field_fault(where, "key_file", f"{path}: {len(key)} bytes; {MIN_KEY_SIZE} to {MAX_KEY_SIZE} are needed")
    return key
