"""Measures CPU time of a start: empty interpreter, libraries only, each program.

Run with ``python -m benchmarks.bench_start``; it prints JSON and exits with status 1
if the modules of this project add more to a start than half of what the libraries
take. After a crash of a host all its programs start on the same core, and requests
are not served until they have started.
"""

import os
import resource
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

SOURCES = Path(__file__).resolve().parents[1] / "src"
ROUNDS = 9

#: Third-party and standard modules that all programs import.
LIBRARIES = (
    "aioprometheus",
    "asyncio",
    "cbor2",
    "click",
    "h11",
    "msgspec",
    "websockets.asyncio.client",
    "websockets.asyncio.server",
    "xxhash",
)
PROGRAMS = {
    "gateway": (
        "ibishead.platform.programs",
        "ibishead.gateway.server",
        "ibishead.platform.callers",
        "ibishead.platform.targets",
    ),
    "registry": ("ibishead.platform.programs", "ibishead.registry.server"),
    "steward": (
        "ibishead.platform.programs",
        "ibishead.steward.server",
        "ibishead.platform.engines",
    ),
}

#: Maximum CPU time of a program, as a multiple of that of the libraries alone.
MAX_RATIO = 1.5


class Report(msgspec.Struct):
    """Milliseconds of CPU time, and ratios.

    :ivar ratios: CPU time of each program relative to the libraries.
    :ivar whole: CPU time of each program relative to an empty interpreter.
    """

    empty: float
    libraries: float
    programs: dict[str, float]
    ratios: dict[str, float]
    whole: dict[str, float]
    exceeded: list[str]


def measure_imports(modules: tuple[str, ...]) -> float:
    """Return the median CPU milliseconds of a process that only imports modules."""
    code = "".join(f"import {module}\n" for module in modules)
    durations = []
    with tempfile.TemporaryDirectory() as cache_folder:
        # As in a built installation: the first process writes the bytecode cache and
        # isn't counted, the others load from it.
        overrides = {"PYTHONPATH": str(SOURCES), "PYTHONPYCACHEPREFIX": cache_folder}
        environment = os.environ | overrides
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        for _ in range(1 + ROUNDS):
            before = _read_children_cpu()
            subprocess.run([sys.executable, "-c", code], env=environment, check=True)
            durations.append(1000 * (_read_children_cpu() - before))
    return statistics.median(durations[1:])


def measure() -> Report:
    """Measure the empty interpreter, the libraries and all programs."""
    empty, libraries = measure_imports(()), measure_imports(LIBRARIES)
    programs = {name: measure_imports(modules) for name, modules in PROGRAMS.items()}
    ratios = {name: duration / libraries for name, duration in programs.items()}
    exceeded = [
        f"{name} takes {ratio:.2f} times its libraries' time, more than {MAX_RATIO}"
        for name, ratio in ratios.items()
        if ratio > MAX_RATIO
    ]
    whole = {name: duration / empty for name, duration in programs.items()}
    return Report(empty, libraries, programs, ratios, whole, exceeded)


def _read_children_cpu() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def main() -> None:
    """Print the report as JSON and exit with status 1 if a bound is exceeded."""
    report = measure()
    print(msgspec.json.format(msgspec.json.encode(report)).decode())
    sys.exit(1 if report.exceeded else 0)


if __name__ == "__main__":
    main()
