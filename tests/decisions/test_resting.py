"""Rests of targets: which are granted, when they end, and how requests return."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.resting import RestPeriod, RestTable, is_valid_rest
from ibishead.ids import TargetId

TARGET = TargetId("t1")


@pytest.mark.parametrize(
    ("seconds", "valid"),
    [
        (3.0, True),
        (0.25, True),
        (60.0, True),
        (60.1, False),
        (1e12, False),
        (math.inf, False),
        (math.nan, False),
        (0.0, False),
        (-3.0, False),
        (None, False),
    ],
)
def test_only_short_rests_are_granted(seconds, valid):
    """A target would be closed for good by one malformed header."""
    assert is_valid_rest(seconds) is valid


@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.1, 5.0)), min_size=1))
def test_a_rest_lasts_until_the_end_of_the_longest_that_was_asked_for(asked):
    """A shorter rest after a longer one would end it early."""
    period, now, ends = RestPeriod(), 0.0, []
    for pause, seconds in asked:
        now += pause
        period.begin(seconds, now)
        ends.append(now + seconds)
    assert period.left(now) == pytest.approx(max(0.0, max(ends) - now))


@pytest.mark.parametrize("offset", [0.0, 0.5, 0.999])
def test_the_random_extension_never_shortens_a_rest(offset):
    period = RestPeriod()
    period.begin(3.0, 10.0, offset)
    assert 3.0 <= period.left(10.0) <= 3.5


def test_requests_return_one_after_the_other_and_ever_faster():
    """All that waits would reach the target in the moment in which its rest ends."""
    period = RestPeriod()
    period.begin(3.0, 0.0)
    sends = [3.0 + period.take(3.0) for _ in range(30)]
    gaps = [later - sooner for sooner, later in zip(sends, sends[1:], strict=False)]
    assert gaps[0] == pytest.approx(0.2)
    assert all(0 < b <= a + 1e-9 for a, b in zip(gaps, gaps[1:], strict=False))
    assert sends[-1] < 3.0 + 2.0


def test_the_return_ends():
    """A target that had rested once would get one request at a time for ever."""
    period = RestPeriod()
    period.begin(1.0, 0.0)
    for number in range(40):
        period.take(1.0 + number)
    assert [period.take(50.0) for _ in range(3)] == [0.0] * 3


def test_a_new_incarnation_does_not_rest():
    """The rest of an engine that has ended would close the one that replaces it."""
    table = RestTable()
    table.begin(TARGET, 100, 30.0, 0.0)
    assert table.find(TARGET, 100).left(1.0) == pytest.approx(29.0)
    assert table.find(TARGET, 200) is None


def test_ended_rests_are_discarded():
    """Targets come and go, and a gateway's memory would grow."""
    table = RestTable()
    table.begin(TARGET, 100, 3.0, 0.0)
    table.remove_ended(2.0)
    assert table.count(2.0) == 1
    table.remove_ended(100.0)
    assert table.find(TARGET, 100) is None
