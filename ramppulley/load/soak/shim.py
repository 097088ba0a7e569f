"""The system call shim: a preloaded library, built if a C compiler is present, and controlled by a shared file."""

import mmap
import shutil
import struct
import subprocess
from pathlib import Path

from ramppulley.standin import SHIM_SOURCE

FIELDS, BYTES_PER_FIELD = 16, 8
LOOP_DELAY_FIELD = 9
FIELD_BY_KIND = {"system_accept": 1, "system_connect": 3, "system_setsockopt": 5, "system_socket": 7}


def build(folder: Path) -> Path | None:
    """Builds the library; returns None without a compiler or when the build fails."""
    compiler, library = shutil.which("cc"), folder / "shim.so"
    if compiler is None:
        return None
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    return library if subprocess.run(command, capture_output=True).returncode == 0 else None


class Shim:
    """Controls the shim of one process through a memory-mapped file."""

    def __init__(self, path: Path, library: Path) -> None:
        path.write_bytes(bytes(FIELDS * BYTES_PER_FIELD))
        self.path, self.library = path, library
        with path.open("r+b") as file:
            self.mapping = mmap.mmap(file.fileno(), FIELDS * BYTES_PER_FIELD)

    def environment(self) -> dict[str, str]:
        """Environment variables that load the shim into the process."""
        return {"LD_PRELOAD": str(self.library), "RP_SHIM_FILE": str(self.path)}

    def step_clock(self, seconds: float) -> None:
        """Offsets the wall clock by a number of seconds; 0 restores it."""
        self._set(0, int(seconds * 1e9))

    def fail_calls(self, kind: str, errno: int, times: int) -> None:
        """Makes the next calls of this kind fail, a number of times, with the given errno."""
        self._set(FIELD_BY_KIND[kind], errno)
        self._set(FIELD_BY_KIND[kind] + 1, times)

    def delay_event_loop(self, seconds: float) -> None:
        """Delays each event loop iteration that has work to do; 0 ends the delay."""
        self._set(LOOP_DELAY_FIELD, int(seconds * 1e9))

    def _set(self, field: int, value: int) -> None:
        struct.pack_into("<q", self.mapping, field * BYTES_PER_FIELD, value)

    def close(self) -> None:
        """Unmaps the control file."""
        self.mapping.close()
