"""Reads CPU time and memory of a process from procfs."""

from pathlib import Path

__all__ = ["read_cpu", "read_memory"]

NANOSECONDS = 1e-9
KIB = 1024


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a single-threaded process has used so far."""
    running, _, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(running) * NANOSECONDS


def read_memory(pid: int) -> int:
    """Return the resident memory of a process, in bytes.

    :raises ValueError: the status of the process has no VmRSS, as for a zombie."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    raise ValueError(f"process {pid} has no VmRSS")
