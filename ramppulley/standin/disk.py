"""A disk with injected faults, for what a router stores. Installed by the entry point of the tests; no setting does."""

import errno
import os
import time
from pathlib import Path

from ramppulley.store.disk import Disk


def previous_path_of(path):
    """The file with the contents that the last replacement replaced."""
    return Path(f"{path}.before")


class LyingDisk(Disk):
    """`fault` is one of FAULTS, or "" for a sound disk. `rng` is seeded by the scenario."""

    FAULTS = ("flush_fails", "flush_lies", "torn", "lost", "elsewhere", "flipped", "old", "full", "unreadable", "slow")

    def __init__(self, rng, fault="", delay_s=5.0):
        self.rng, self.fault, self.unflushed, self.delay_s = rng, fault, {}, delay_s
        self.durable_sizes = {}  # path -> bytes that a real flush made durable

    def read(self, path, most):
        if self.fault == "unreadable":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        raw = super().read(path, most)
        if raw and self.fault == "flipped":
            position = self.rng.randrange(len(raw))
            raw = raw[:position] + bytes([raw[position] ^ 1 << self.rng.randrange(8)]) + raw[position + 1 :]
        if self.fault == "old":  # the contents before the last replacement
            previous = super().read(previous_path_of(path), most)
            return raw if previous is None else previous
        return raw

    def replace(self, path, raw):
        path = Path(path)
        if self.fault == "slow":
            time.sleep(self.delay_s)
        if self.fault == "elsewhere":
            path = path.with_name(path.name + ".elsewhere")
        replaced = super().read(path, 1 << 20)
        if self.fault == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self.fault == "flush_fails":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if self.fault == "lost":
            return  # reports success without writing
        if self.fault == "flush_lies":  # visible until `power_cut`
            self.unflushed[path] = replaced
        if replaced is not None:
            previous_path_of(path).write_bytes(replaced)
        super().replace(path, raw[: self.rng.randrange(1, len(raw))] if self.fault == "torn" else raw)

    # For the files of a log
    def read_all(self, path):
        if self.fault == "unreadable":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        raw = super().read_all(path)
        if raw and self.fault == "flipped":
            position = self.rng.randrange(len(raw))
            raw = raw[:position] + bytes([raw[position] ^ 1 << self.rng.randrange(8)]) + raw[position + 1 :]
        return raw[: len(raw) // 2] if self.fault == "old" else raw

    def create(self, path):
        file = super().create(path)
        self.durable_sizes[Path(path)] = 0
        return file

    def write(self, file, raw):
        if self.fault == "slow":
            time.sleep(self.delay_s)
        if self.fault == "full":
            super().write(file, raw[: self.rng.randrange(len(raw))])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self.fault == "lost":
            return
        if self.fault == "elsewhere":
            Path(f"{file.name}.elsewhere").write_bytes(raw)
            return
        super().write(file, raw[: self.rng.randrange(len(raw))] if self.fault == "torn" else raw)

    def flush(self, file):
        path = Path(file.name)
        if self.fault == "flush_fails":  # as a kernel does: drops what it could not write, and the next flush succeeds
            os.truncate(path, self.durable_sizes.get(path, 0))
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if self.fault != "flush_lies":
            super().flush(file)
            self.durable_sizes[path] = os.path.getsize(path)

    def power_cut(self):
        """Undoes all writes that no flush really made durable."""
        for path, size in self.durable_sizes.items():
            if path.exists():
                os.truncate(path, size)
        for path, raw in self.unflushed.items():
            if raw is None:
                path.unlink(missing_ok=True)
            else:
                path.write_bytes(raw)
        self.unflushed.clear()
