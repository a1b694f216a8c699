"""Summarizes logs of a test day: where requests spent time and how they ended.

Run with ``python -m benchmarks.stages LOG [--from S] [--to S] [--late S] [--fall S]``.
A log contains the lines of all programs, each prefixed with the seconds of the day and
the name of the program. The output has three tables: requests by placement, requests
without a successful answer, and times of events by name; and, with ``--fall``, the
recovery time after a crash of all programs.
"""

import json
import math
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

__all__ = ["Line", "find_recovery", "main", "read_lines"]

#: Number of consecutive requests, and the share of them that must be in time for the
#: service to have recovered. At 100 requests per second they are those of one second.
RECOVERY_WINDOW = 100
RECOVERY_SHARE = 0.9

#: Seconds of the day, name of the program, and its log record as JSON.
_LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})$")


@dataclass(frozen=True)
class Line:
    """One line of a log.

    :ivar at: time in seconds of the day.
    :ivar program: name of the program that logged it.
    :ivar fields: fields of the log record.
    """

    at: float
    program: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the message, with the fields that distinguish kinds of it."""
        fields = self.fields
        match fields["message"]:
            case "order given":
                what = "adapter" if fields["adapter"] else "model"
                operation = "load" if fields["load"] else "unload"
                return f"order: {operation} {what}, {fields['outcome']}"
            case "request ended":
                return f"request: {fields['outcome']} {fields['reason'][:50]}".rstrip()
            case "started" | "routes in force" as message:
                return f"{message}: {fields['program']}"
            case message:
                return str(message)


def read_lines(path: Path, first: float, last: float) -> Iterator[Line]:
    """Return the lines of a log within a time range.

    :param first: start of the range, in seconds of the day.
    :param last: end of the range, exclusive, in seconds of the day.
    """
    for text in path.read_text(encoding="utf-8").splitlines():
        found = _LINE.match(text)
        if found is None:
            continue
        line = Line(float(found[1]), found[2], json.loads(found[3]))
        if first <= line.at < last:
            yield line


def print_requests(lines: Iterable[Line], late: float) -> None:
    """Print waits and times to the first event of requests to engines, by placement.

    :param late: seconds to the first event above which a request is late.
    """
    groups: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for line in lines:
        if line.fields["message"] == "request ended" and line.fields["placed"]:
            groups[line.fields["placed"]].append(line.fields)
    click.echo(
        "placed         n   late  wait p50   p90   p99  read p50   p90   p99  ends"
    )
    for placed, found in sorted(groups.items()):
        waits = [fields["turn_wait"] for fields in found]
        begun = [fields for fields in found if fields["first"]]
        reads = [fields["first"] - fields["turn_wait"] for fields in begun]
        late_count = sum(fields["first"] > late for fields in begun)
        ends = Counter(fields["outcome"] for fields in found)
        click.echo(
            f"{placed:10s} {len(found):5d} {late_count:6d}   "
            f"{_quantiles(waits)}   {_quantiles(reads)}  {dict(ends.most_common(4))}"
        )


def print_failed(lines: Iterable[Line]) -> None:
    """Print the outcomes of requests without a successful answer, and their progress.

    A begun request had received events. One that was sent may have run as well, if the
    target did not answer.
    """
    found: Counter[tuple[str, str, str]] = Counter()
    for line in lines:
        fields = line.fields
        if fields["message"] != "request ended":
            continue
        failed = "failed with status" in fields["reason"]
        if fields["outcome"] == "answered" and not failed:
            continue
        kind = "engine" if fields["placed"] else "plain"
        begun = (
            "begun" if fields["first"] else "sent" if fields["sends"] else "not sent"
        )
        found[kind, begun, line.event] += 1
    click.echo("    n  at      had been  end")
    for (kind, begun, event), count in found.most_common():
        click.echo(f"{count:5d}  {kind:6s}  {begun:8s}  {event}")


def print_events(lines: Iterable[Line]) -> None:
    """Print the count of each event, and its first, median and last time."""
    times: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        times[line.event].append(line.at)
    click.echo("    n    first   median     last  event")
    for event, found in sorted(times.items(), key=lambda item: item[1][0]):
        middle = found[len(found) // 2]
        click.echo(
            f"{len(found):5d} {found[0]:8.2f} {middle:8.2f} {found[-1]:8.2f}  {event}"
        )


def find_recovery(
    lines: Iterable[Line], fall: float, late: float
) -> tuple[float, float] | None:
    """Return when programs started after a crash, and when the service had recovered.

    The service has recovered at the arrival of the first request in time that begins a
    window of `RECOVERY_WINDOW` requests with a share of `RECOVERY_SHARE` in time.
    Requests whose connection was refused are not in the logs and not counted.

    :param fall: time of the crash, in seconds of the day.
    :param late: seconds to the first event above which a request is late.
    :returns: both times in seconds of the day, ``None`` if the service did not recover.
    """
    started, arrivals = math.inf, []
    for line in lines:
        fields = line.fields
        match fields["message"]:
            case "started" if line.at >= fall:
                started = min(started, line.at)
            case "request ended":
                first = fields["first"] or fields["seconds"]
                timely = fields["outcome"] == "answered" and first <= late
                arrivals.append((line.at - fields["seconds"], timely))
            case "request refused":
                arrivals.append((line.at, False))
    after_start = sorted(found for found in arrivals if found[0] >= started)
    timely = [found for _, found in after_start]
    for number in range(len(after_start) - RECOVERY_WINDOW + 1):
        if (
            timely[number]
            and sum(timely[number : number + RECOVERY_WINDOW])
            >= RECOVERY_SHARE * RECOVERY_WINDOW
        ):
            return started, after_start[number][0]
    return None


def _quantiles(values: list[float]) -> str:
    ordered = sorted(values) or [0.0]
    quantiles = (ordered[int(len(ordered) * share)] for share in (0.5, 0.9, 0.99))
    return " ".join(f"{value:5.2f}" for value in quantiles)


@click.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
@click.option("--from", "first", default=-1e9, help="Start, in seconds of the day.")
@click.option("--to", "last", default=1e9, help="End, in seconds of the day.")
@click.option(
    "--fall", help="Seconds of the day when all programs crashed.", type=float
)
@click.option(
    "--late",
    default=0.5,
    help="Seconds to the first event above which a request is late.",
)
def main(log: Path, first: float, last: float, fall: float | None, late: float) -> None:
    """Summarize a log of a test day."""
    lines = list(read_lines(log, first, last))
    print_requests(lines, late)
    click.echo()
    print_failed(lines)
    click.echo()
    print_events(lines)
    if fall is not None:
        match find_recovery(lines, fall, late):
            case (started, recovered):
                recovery = recovered - started
                click.echo(
                    f"started {started:.2f}, back {recovered:.2f}: {recovery:.2f} s"
                )
            case None:
                click.echo("service doesn't come back")


if __name__ == "__main__":
    main()
