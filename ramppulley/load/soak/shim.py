"""The shim of system calls: built from its C file where a compiler is there, told by a shared file."""

import mmap
import shutil
import struct
import subprocess
from pathlib import Path

from ramppulley.standin import SHIM_SOURCE

FIELDS, BYTES_PER_FIELD = 16, 8
SLOW_TURN_FIELD = 9
FIELD_OF = {"system_accept": 1, "system_connect": 3, "system_setsockopt": 5, "system_socket": 7}


def build(folder: Path) -> Path | None:
    """The library, or None where no compiler is there or it does not build."""
    compiler, library = shutil.which("cc"), folder / "shim.so"
    if compiler is None:
        return None
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    return library if subprocess.run(command, capture_output=True).returncode == 0 else None


class Shim:
    """What one process is told."""

    def __init__(self, path: Path, library: Path) -> None:
        path.write_bytes(bytes(FIELDS * BYTES_PER_FIELD))
        self.path, self.library = path, library
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), FIELDS * BYTES_PER_FIELD)

    def environment(self) -> dict[str, str]:
        """For the process."""
        return {"LD_PRELOAD": str(self.library), "RP_SHIM_FILE": str(self.path)}

    def step_clock(self, seconds: float) -> None:
        """The wall clock is so far off from now on."""
        self._set(0, int(seconds * 1e9))

    def fail(self, kind: str, errno: int, times: int) -> None:
        """The next calls of this kind fail."""
        self._set(FIELD_OF[kind], errno)
        self._set(FIELD_OF[kind] + 1, times)

    def slow_turns(self, seconds: float) -> None:
        """Each turn of its event loop that has something to do begins so late from now on."""
        self._set(SLOW_TURN_FIELD, int(seconds * 1e9))

    def _set(self, field: int, value: int) -> None:
        struct.pack_into("<q", self.map, field * BYTES_PER_FIELD, value)

    def close(self) -> None:
        """The run is over."""
        self.map.close()
