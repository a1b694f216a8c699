"""Measures operations that run once per document change, request or token.

Run with ``python -m pytest benchmarks/bench_parts.py``; a test fails if its
bound is exceeded. The bounds allow for a busy machine.
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

#: Seconds for which a document change may block the event loop of a host.
LINES_BOUND_SECONDS = 0.1
SECTIONS_BOUND_SECONDS = 0.3

#: Seconds that one metrics observation, made for each token, may take.
OBSERVATION_BOUND_SECONDS = 5e-6

#: Seconds that the log record of one request may take.
LOG_LINE_BOUND_SECONDS = 150e-6


@pytest.mark.parametrize(
    ("text", "bound"),
    [
        (HEAD + "[adapters]\n" + LINES, LINES_BOUND_SECONDS),
        (HEAD + SECTIONS, SECTIONS_BOUND_SECONDS),
    ],
    ids=["lines", "sections"],
)
def test_parse_of_thousands_of_adapters(benchmark, text, bound):
    """Parsing a changed document blocks the event loop of every host."""
    document = benchmark(parse_document, text)
    assert len(document.adapters) == ADAPTERS
    assert benchmark.stats.stats.median < bound


def test_observation(benchmark):
    """One observation is made for each token of a stream."""
    metrics = Metrics("entry")
    team, request_class = TeamId("tisza"), ClassName("draft")
    benchmark(metrics.observe, Measure.BETWEEN_TOKENS, team, request_class, 0.02)
    assert benchmark.stats.stats.median < OBSERVATION_BOUND_SECONDS


def test_log_line(benchmark):
    """One record is logged for each request."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    set_up_logging(LogLevel.INFO, "entry", HostId("e1"), io.StringIO())
    extra = {"request": "r1", "stage": "relay", "decision": "completed", "attempts": 1}
    benchmark(lambda: logging.getLogger("x").info("request ended", extra=extra))
    root.handlers[:] = handlers
    root.setLevel(level)
    assert benchmark.stats.stats.median < LOG_LINE_BOUND_SECONDS
