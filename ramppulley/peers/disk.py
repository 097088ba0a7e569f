"""The one way to a disk of what a router must not forget. The rig puts a lying one in its place."""
import os
from pathlib import Path


class Disk:
    """Small files, whole. Every call raises OSError as the machine does."""

    def read(self, path, most):
        """The bytes of a file, one more than `most` at most; None if there is none."""
        try:
            with open(path, "rb") as file:
                return file.read(most + 1)
        except FileNotFoundError:
            return None

    def replace(self, path, raw):
        """The whole file becomes `raw`, durably: old or new after a crash, never a part."""
        path = Path(path)
        new = path.with_name(path.name + ".new")
        with open(new, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)            # the name too
        finally:
            os.close(folder)
