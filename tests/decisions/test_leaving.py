"""Tests of which requests a host accepts during a planned stop."""

import pytest

from ibishead.decisions.leaving import AnswerPace, fits_grace


@pytest.mark.parametrize(
    ("expected", "remaining", "accepted"),
    [(0.0, 7.7, True), (4.0, 7.7, True), (5.0, 7.7, False), (0.0, 1.5, False)],
)
def test_only_answers_that_end_in_time_are_accepted(expected, remaining, accepted):
    assert fits_grace(expected, remaining) is accepted


def test_short_answers_do_not_hide_slow_ones():
    """Guards against cutting off a long answer at a planned stop.

    Short answers had made the time per token look lower than it was.
    """
    pace = AnswerPace()
    for number in range(200):
        pace.record(7.0 if number % 10 == 0 else 2.3, 500)
    assert not fits_grace(pace.estimate(500), 5.65)


def test_late_long_answer_is_not_accepted():
    """Guards against an answer that is cut off in the middle during a host update."""
    pace = AnswerPace()
    for _ in range(200):
        pace.record(9.1, 483)
    assert not fits_grace(pace.estimate(483), 6.5)
    assert fits_grace(pace.estimate(120), 6.5)


@pytest.mark.parametrize(
    ("seconds_per_token", "answers", "accepted"),
    [(0.0066, 4, True), (0.0066, 3, False), (0.02, 4, False)],
)
def test_fast_engines_are_recognized_after_few_answers(
    seconds_per_token, answers, accepted
):
    """Guards against rejecting requests that would end before a planned stop."""
    pace = AnswerPace()
    for _ in range(answers):
        pace.record(seconds_per_token * 300, 300)
    assert fits_grace(pace.estimate(400), 6.0) is accepted
