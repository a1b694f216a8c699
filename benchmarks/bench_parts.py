"""What the small parts cost that every change, request or token pays for.

Run with ``python -m pytest benchmarks/bench_parts.py``; a broken bound fails. Bounds
leave room for a busy machine.
"""

import io
import logging

import pytest

from ibishead.documents import parse_document
from ibishead.ids import ClassName, HostId, TeamId
from ibishead.logs import set_up_logging
from ibishead.metrics import Measure, Metrics
from ibishead.settingsfile import LogLevel

ADAPTERS = 3000
HEAD = """[service]
name = mester
team = halo
kind = engine
model = org/base
default_class = draft
adapter_source = store/{adapter}/{version}
[class:draft]
priority = 5
deadline = 30 s
idempotent = yes
"""
LINES = "".join(f"net-{n} = 1 2 3\n" for n in range(ADAPTERS))
SECTIONS = "".join(f"[adapter:net-{n}]\nversions = 1 2 3\n" for n in range(ADAPTERS))

#: Seconds of a host's loop that one change of a document may take.
LINES_BOUND = 0.1
SECTIONS_BOUND = 0.3

#: Seconds that one token may pay for being measured.
OBSERVATION_BOUND = 5e-6

#: Seconds that one request may pay for its log line.
LOG_LINE_BOUND = 150e-6


@pytest.mark.parametrize(
    ("text", "bound"),
    [(HEAD + "[adapters]\n" + LINES, LINES_BOUND), (HEAD + SECTIONS, SECTIONS_BOUND)],
    ids=["lines", "sections"],
)
def test_parse_of_thousands_of_adapters(benchmark, text, bound):
    """One change of a document stops every host's loop for that long."""
    document = benchmark(parse_document, text)
    assert len(document.adapters) == ADAPTERS
    assert benchmark.stats.stats.median < bound


def test_observation(benchmark):
    """Each token of a stream is observed."""
    metrics = Metrics("entry")
    team, request_class = TeamId("tisza"), ClassName("draft")
    benchmark(metrics.observe, Measure.BETWEEN_TOKENS, team, request_class, 0.02)
    assert benchmark.stats.stats.median < OBSERVATION_BOUND


def test_log_line(benchmark):
    """Each request leaves a line."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    set_up_logging(LogLevel.INFO, "entry", HostId("e1"), io.StringIO())
    extra = {"request": "r1", "stage": "relay", "decision": "completed", "attempts": 1}
    benchmark(lambda: logging.getLogger("x").info("request ended", extra=extra))
    root.handlers[:] = handlers
    root.setLevel(level)
    assert benchmark.stats.stats.median < LOG_LINE_BOUND
