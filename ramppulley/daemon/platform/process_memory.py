"""How much memory a process has, as the kernel tells it."""

import os

BYTES_PER_MB = 1_000_000


def anonymous_memory_mb(process: int | str = "self") -> float:
    """Resident memory that no file backs, in MB of a million bytes; 0 where the system does not tell."""
    try:
        with open(f"/proc/{process}/statm", "rb") as file:  # page counts: size, resident, shared with files, ...
            _, resident, shared, *_ = file.read().split()
    except (OSError, ValueError):
        return 0.0
    pages = int(resident) - int(shared)
    return round(pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB, 1)
