"""Tests of admission control and of the retry policy."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.admission import AdmissionQuery, Admitted, Refused, admit
from ibishead.decisions.retry import (
    AttemptEnd,
    GiveUp,
    RetryBudget,
    RetryElsewhere,
    decide_retry,
)
from ibishead.errors import ErrorCode
from ibishead.messages import Outcome


def query(**fields) -> AdmissionQuery:
    values = {
        "priority": 5,
        "deadline": 30.0,
        "waiting": 0,
        "capacity": 100,
        "seconds_per_request": 2.0,
    }
    return AdmissionQuery(**(values | fields))


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({}, None),
        ({"capacity": 0}, ErrorCode.NO_TARGET),
        ({"deadline": 1.0}, ErrorCode.DEADLINE_UNREACHABLE),
        ({"expected_wait": 29.0}, ErrorCode.DEADLINE_UNREACHABLE),
        # The last part of the queue is reserved for higher priorities.
        ({"waiting": 120, "priority": 0}, ErrorCode.OVERLOADED),
        ({"waiting": 120, "priority": 9}, None),
        ({"waiting": 250, "priority": 9}, ErrorCode.OVERLOADED),
        # Each class may use its reserved share of a queue that others have filled.
        ({"waiting": 250, "priority": 0, "class_waiting": 3}, None),
        # A team is limited to its share only under contention.
        ({"waiting": 10, "team_share": 0.1, "team_waiting": 90}, None),
        (
            {"waiting": 100, "team_share": 0.1, "team_waiting": 90},
            ErrorCode.OVERLOADED,
        ),
        # A long load backlog rejects only requests that need a load.
        ({"pending_loads": 40, "needs_load": True}, ErrorCode.OVERLOADED),
        ({"pending_loads": 40, "needs_load": False}, None),
    ],
)
def test_admit(fields, code):
    verdict = admit(query(**fields))
    assert (verdict.code if isinstance(verdict, Refused) else None) == code


queries = st.builds(
    AdmissionQuery,
    priority=st.integers(-3, 12),
    deadline=st.floats(-10.0, 100.0),
    waiting=st.integers(0, 10_000),
    capacity=st.integers(0, 1000),
    seconds_per_request=st.floats(0.0, 100.0),
    team_share=st.floats(0.0, 1.0),
    team_waiting=st.integers(0, 10_000),
    draw=st.floats(0.0, 1.0, exclude_max=True),
    expected_wait=st.floats(0.0, 1000.0),
    class_waiting=st.none() | st.integers(0, 10_000),
    needs_load=st.booleans(),
    pending_loads=st.integers(0, 1000),
)


@given(queries)
def test_rejections_have_a_bounded_retry_delay(request):
    verdict = admit(request)
    if isinstance(verdict, Refused):
        assert 0.0 < verdict.retry_after <= 120.0
    else:
        assert isinstance(verdict, Admitted)
        assert verdict.expected_wait + request.seconds_per_request <= request.deadline


@given(queries.filter(lambda request: isinstance(admit(request), Refused)))
def test_jitter_spreads_retry_delays(request):
    """Guards against a thousand rejected callers that all retry at the same moment.

    They are rejected within one second of saturation, by the same figures.
    """
    low = admit(query_with(request, 0.0)).retry_after
    high = admit(query_with(request, 0.99)).retry_after
    assert high > 1.9 * low


def query_with(request: AdmissionQuery, draw: float) -> AdmissionQuery:
    fields = {name: getattr(request, name) for name in request.__dataclass_fields__}
    return AdmissionQuery(**(fields | {"draw": draw}))


@pytest.mark.parametrize(
    ("end", "verdict"),
    [
        (AttemptEnd(Outcome.NOT_RUN, 1, False, 9.0), RetryElsewhere),
        (AttemptEnd(Outcome.UNKNOWN, 1, True, 9.0), RetryElsewhere),
        (AttemptEnd(Outcome.UNKNOWN, 1, False, 9.0), GiveUp),
        (AttemptEnd(Outcome.UNKNOWN, 1, True, 9.0, delivered=True), GiveUp),
        (AttemptEnd(Outcome.NOT_RUN, 3, True, 9.0), GiveUp),
        (AttemptEnd(Outcome.NOT_RUN, 1, True, 0.0), GiveUp),
    ],
)
def test_decide_retry(end, verdict):
    assert isinstance(decide_retry(end, RetryBudget(), 1.0), verdict)


@given(st.lists(st.booleans(), min_size=100, max_size=500))
def test_retry_budget_bounds_retries(fails):
    """Guards against retries that multiply the load while all targets fail."""
    budget = RetryBudget()
    retries = 0
    for failed in fails:
        budget.record_attempt()
        if failed:
            end = AttemptEnd(Outcome.NOT_RUN, 1, True, 9.0)
            retries += isinstance(decide_retry(end, budget, 1.0), RetryElsewhere)
    assert retries <= 10 + 0.1 * len(fails)


def test_burst_of_short_requests_is_accepted():
    """Guards against rejecting requests that accumulated during a short link outage.

    The link to a plain service was down for two seconds; the queue drains at once.
    """
    query = AdmissionQuery(
        priority=5,
        deadline=10.0,
        waiting=24,
        capacity=8,
        seconds_per_request=0.05,
    )
    assert isinstance(admit(query), Admitted)
