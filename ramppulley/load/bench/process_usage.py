"""Resource usage of a process, read from /proc: resident memory, CPU time and open files."""

import os
import resource

PROC_STAT_USER_TICKS = 11  # index among the fields after the command name
PROC_STAT_SYSTEM_TICKS = 12


def resident_bytes(pid: int) -> int:
    """Resident memory of a process."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def cpu_seconds(pid: int) -> float:
    """CPU time that a process has used so far, in user and kernel mode."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(") ")[2].split()
    ticks = int(fields[PROC_STAT_USER_TICKS]) + int(fields[PROC_STAT_SYSTEM_TICKS])
    return ticks / os.sysconf("SC_CLK_TCK")


def open_file_count(pid: int) -> int:
    """Number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
