"""Admission and retries: who is let in, and what the refused are told."""

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
        # The last part of the queue is the higher classes'.
        ({"waiting": 120, "priority": 0}, ErrorCode.OVERLOADED),
        ({"waiting": 120, "priority": 9}, None),
        ({"waiting": 250, "priority": 9}, ErrorCode.OVERLOADED),
        # The lowest class keeps a part of a queue that others have filled.
        ({"waiting": 250, "priority": 0, "class_waiting": 3}, None),
        # A team is held to its share only under contention.
        ({"waiting": 10, "team_share": 0.1, "team_waiting": 90}, None),
        (
            {"waiting": 100, "team_share": 0.1, "team_waiting": 90},
            ErrorCode.OVERLOADED,
        ),
        # A long backlog at the store refuses what needs a load, and nothing else.
        ({"wishes": 40, "needs_load": True}, ErrorCode.OVERLOADED),
        ({"wishes": 40, "needs_load": False}, None),
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
    wishes=st.integers(0, 1000),
)


@given(queries)
def test_refusals_carry_a_time_to_come_back(asked):
    verdict = admit(asked)
    if isinstance(verdict, Refused):
        assert 0.0 < verdict.retry_after <= 120.0
    else:
        assert isinstance(verdict, Admitted)
        assert verdict.expected_wait + asked.seconds_per_request <= asked.deadline


@given(queries.filter(lambda asked: isinstance(admit(asked), Refused)))
def test_refused_callers_return_spread(asked):
    """A thousand callers are refused within one second of saturation."""
    low = admit(query_with(asked, 0.0)).retry_after
    high = admit(query_with(asked, 0.99)).retry_after
    assert high > 1.9 * low


def query_with(asked: AdmissionQuery, draw: float) -> AdmissionQuery:
    fields = {name: getattr(asked, name) for name in asked.__dataclass_fields__}
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
def test_retries_never_amplify(fails):
    """Every target fails for a while, and every attempt would be repeated."""
    budget = RetryBudget()
    retries = 0
    for failed in fails:
        budget.record_attempt()
        if failed:
            end = AttemptEnd(Outcome.NOT_RUN, 1, True, 9.0)
            retries += isinstance(decide_retry(end, budget, 1.0), RetryElsewhere)
    assert retries <= 10 + 0.1 * len(fails)


def test_burst_of_short_requests_is_not_refused():
    """A path to a stock service was silent for two seconds and is back."""
    query = AdmissionQuery(
        priority=5,
        deadline=10.0,
        waiting=24,
        capacity=8,
        seconds_per_request=0.05,
    )
    assert isinstance(admit(query), Admitted)
