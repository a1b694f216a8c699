"""Which requests a host still takes while it leaves."""

import pytest

from ibishead.decisions.leaving import AnswerPace, fits_grace


@pytest.mark.parametrize(
    ("expected", "remaining", "taken"),
    [(0.0, 7.7, True), (4.0, 7.7, True), (5.0, 7.7, False), (0.0, 1.5, False)],
)
def test_only_what_ends_in_time_is_taken(expected, remaining, taken):
    assert fits_grace(expected, remaining) is taken


def test_answers_that_end_early_do_not_hide_the_pace():
    """A long answer is cut by a planned stop, as short ones made it seem quick."""
    pace = AnswerPace()
    for number in range(200):
        pace.note(7.0 if number % 10 == 0 else 2.3, 500)
    assert not fits_grace(pace.expect(500), 5.65)


def test_a_long_answer_that_begins_late_is_not_taken():
    """A mender's plan breaks off in the middle while a host is updated."""
    pace = AnswerPace()
    for _ in range(200):
        pace.note(9.1, 483)
    assert not fits_grace(pace.expect(483), 6.5)
    assert fits_grace(pace.expect(120), 6.5)


@pytest.mark.parametrize(
    ("pace", "answers", "taken"),
    [(0.0066, 4, True), (0.0066, 3, False), (0.02, 4, False)],
)
def test_quick_engines_are_known_after_a_few_answers(pace, answers, taken):
    """A planned stop turns callers away whose answers would end in time."""
    known = AnswerPace()
    for _ in range(answers):
        known.note(pace * 300, 300)
    assert fits_grace(known.expect(400), 6.0) is taken
