"""Tests that metrics are separate by team and class, and limited in number."""

import math

import pytest
from aioprometheus.histogram import Histogram

from ibishead.errors import ErrorCode
from ibishead.messages import Outcome
from ibishead.metrics import BUCKET_BOUNDS_SECONDS, MAX_LABEL_PAIRS, Measure, Metrics


def render(metrics):
    headers, body = metrics.render()
    assert dict(headers)["content-type"].startswith("text/plain")
    return body.decode()


@pytest.mark.parametrize(
    ("measure", "value", "line"),
    [
        (
            Measure.WAIT,
            0.003,
            'wait_seconds_bucket{class="read",le="0.005",team="a"} 2',
        ),
        (Measure.LOAD_STALL, 0.2, 'load_stall_seconds_count{class="read",team="a"} 2'),
        (
            Measure.FIRST_TOKEN,
            0.5,
            'first_token_seconds_sum{class="read",team="a"} 1.0',
        ),
        (Measure.BETWEEN_TOKENS, 500, 'le="120.0",team="a"} 0'),
        (Measure.BATCH_FILL, 0.75, 'batch_fill_ratio_bucket{class="read",le="0.625"'),
    ],
)
def test_observations_are_exported_by_team_and_class(measure, value, line):
    metrics = Metrics("entry")
    metrics.observe(measure, "a", "read", value)
    metrics.observe(measure, "a", "read", value)
    metrics.observe(measure, "b", "read", 0.0)
    text = render(metrics)
    assert line in text
    assert 'class="read",team="b"} 1' in text


def test_buckets_match_those_of_the_library():
    metrics, library = Metrics("entry"), Histogram(*BUCKET_BOUNDS_SECONDS)
    for value in [0.0, *BUCKET_BOUNDS_SECONDS, 0.0011, 77.0, 1e9]:
        metrics.observe(Measure.WAIT, "a", "read", value)
        library.observe(value)
    text = render(metrics)
    for bound, count in library.buckets.items():
        name = "+Inf" if bound == math.inf else str(bound)
        assert (
            f'wait_seconds_bucket{{class="read",le="{name}",team="a"}} {count}' in text
        )


def test_counters_and_gauges_are_exported():
    metrics = Metrics("agent")
    metrics.count_refusal(ErrorCode.OVERLOADED)
    metrics.count_request("a", "read", Outcome.NOT_RUN)
    metrics.count_event("resume")
    metrics.set_gauge("running", 3)
    metrics.set_gauge("running", 2)
    text = render(metrics)
    assert 'ibishead_agent_refusals_total{code="overloaded"} 1' in text
    assert 'outcome="not_run",team="a"} 1' in text
    assert 'ibishead_agent_events_total{event="resume"} 1' in text
    assert "ibishead_agent_running 2" in text


def test_programs_in_one_process_have_separate_metrics():
    first, second = Metrics("entry"), Metrics("entry")
    first.count_event("x")
    assert "events_total{" not in render(second)


def test_label_pairs_beyond_the_limit_share_one():
    metrics = Metrics("entry")
    for n in range(MAX_LABEL_PAIRS + 50):
        metrics.observe(Measure.WAIT, f"t{n}", "read", 0.0)
        metrics.count_request(f"t{n}", "read", Outcome.COMPLETED)
    text = render(metrics)
    assert 'wait_seconds_count{class="other",team="other"} 50' in text
    assert text.count("wait_seconds_count{") == MAX_LABEL_PAIRS + 1
