"""All disk access for a router's durable state. Tests and fault-injection runs replace it with one that injects faults."""

import os
from pathlib import Path


class Disk:
    """Small files, read and replaced whole, and the files of a log. Every method passes on the system's OSError."""

    def read(self, path, max_size):
        """The content of a file, at most `max_size` + 1 bytes; None if there is no such file."""
        try:
            with open(path, "rb") as file:
                return file.read(max_size + 1)
        except FileNotFoundError:
            return None

    def replace(self, path, raw):
        """Replaces the whole file durably and atomically: after a crash it has the old or the new content."""
        path = Path(path)
        new = path.with_name(path.name + ".new")
        with open(new, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)
        self._sync_directory(path)

    # Files of a log
    def list_files(self, folder):
        """Sorted names of the files in a folder, which is created if it doesn't exist."""
        Path(folder).mkdir(parents=True, exist_ok=True)
        return sorted(path.name for path in Path(folder).iterdir() if path.is_file())

    def read_all(self, path):
        return Path(path).read_bytes()

    def create(self, path):
        """Creates a file to append to, with a durable directory entry. Raises FileExistsError."""
        file = open(path, "xb", buffering=0)
        self._sync_directory(path)
        return file

    def write(self, file, raw):
        """Writes all bytes, or raises OSError."""
        view = memoryview(raw)
        while view:
            view = view[file.write(view) :]

    def flush(self, file):
        """Makes all written bytes durable. After an OSError their state is unknown, and a retry would prove nothing."""
        os.fsync(file.fileno())

    def remove(self, path):
        os.unlink(path)
        self._sync_directory(path)

    def _sync_directory(self, path):
        folder = os.open(Path(path).parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)  # makes the directory entry durable
        finally:
            os.close(folder)
