"""What the system says of a process: CPU time and memory."""

from pathlib import Path

__all__ = ["read_cpu", "read_memory"]

NANOSECONDS = 1e-9
KIB = 1024


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process with one thread has used so far."""
    running, _, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(running) * NANOSECONDS


def read_memory(pid: int) -> int:
    """Return the resident bytes of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    raise ValueError(f"process {pid} shows no VmRSS")
