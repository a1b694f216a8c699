"""The budget of bytes held for bodies and answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.decisions.heldbytes import (
    ANSWER_RESERVE_BYTES,
    BODY_COPIES,
    SMALL_BODY_BYTES,
    AnswerBudget,
    BodyBudget,
    BodyHold,
    HeldBytes,
)

LIMIT = 1_000_000
SMALL, LARGE = SMALL_BODY_BYTES, 150_000


FULL = [("a", LARGE), ("a", LARGE), ("b", 75_000)]
ALL_SMALL = [("c", SMALL)] * 7


@pytest.mark.parametrize(
    ("before", "caller", "size", "fits"),
    [
        ([], "a", LARGE, True),
        ([], "a", LIMIT, False),
        # a caller that is alone gets two thirds
        (FULL[:2], "a", 60_000, False),
        (FULL[:2], "b", 60_000, True),
        # small bodies have a reserve of their own, which has a limit as well
        (FULL, "c", SMALL + 1, False),
        (FULL, "c", SMALL, True),
        (FULL + ALL_SMALL, "c", SMALL, False),
        (ALL_SMALL, "c", SMALL, True),
    ],
)
def test_room_for_a_body(before, caller, size, fits):
    """Large bodies must leave room for other callers and for small bodies."""
    budget = BodyBudget(LIMIT)
    for name, held in before:
        assert budget.reserve(BodyHold(name, 0.0), held)
    assert budget.reserve(BodyHold(caller, 0.0), size) == fits
    assert budget.refused == (not fits)


def test_no_limit_refuses_and_pauses_nothing():
    held = HeldBytes(None)
    assert held.bodies.reserve(BodyHold("a", 0.0), 10**9)
    answer = held.answers.open("a")
    assert answer.try_add(10**9)
    assert not answer.must_pause()
    assert not held.check()


@pytest.mark.parametrize(
    ("began", "wait"), [((), 0.5), ((9.9,), 0.5), ((4.0, 8.0), 4.0), ((-60.0,), 10.0)]
)
def test_wait_for_room_follows_the_age_of_what_is_held(began, wait):
    """A guess that is too short brings refused callers back while nothing is free."""
    budget = BodyBudget(LIMIT)
    for number, at in enumerate(began):
        budget.reserve(BodyHold(str(number), at), 50_000)
    assert budget.estimate_wait(10.0) == wait


body_steps = st.lists(
    st.tuples(st.integers(0, 7), st.sampled_from(["reserve", "release"]))
    | st.tuples(st.integers(0, 7), st.integers(0, LIMIT)),
    max_size=60,
)


@given(body_steps)
def test_bodies_never_exceed_the_budget_and_return_to_zero(steps):
    """An error in the sums would refuse bodies for good, or hold too many."""
    budget = BodyBudget(LIMIT)
    holds = [BodyHold(str(number % 3), float(number)) for number in range(8)]
    sizes = [0] * 8
    for number, step in steps:
        if isinstance(step, int):
            if budget.reserve(holds[number], step):
                sizes[number] = max(sizes[number], step)
        else:
            budget.release(holds[number])
            sizes[number] = 0
        assert budget.held == BODY_COPIES * sum(sizes) <= LIMIT
    for hold in holds:
        budget.release(hold)
    assert (budget.held, budget._callers, budget._count) == (0, {}, 0)
    assert abs(budget._sum_began) < 1e-6


answer_steps = st.lists(
    st.tuples(
        st.integers(0, 11),
        st.sampled_from(["fill", "add", "take", "empty", "close"]),
        st.floats(0.0, 1.0),
    ),
    max_size=120,
)


@given(
    answer_steps, st.sampled_from([None, 100_000]), st.sampled_from([0, 5_000, LIMIT])
)
def test_answers_never_exceed_the_budget_and_never_all_wait(steps, most, limit):
    """Whatever was held before, an answer whose bytes were taken has to go on.

    Otherwise, answers that wait for each other's bytes would stand still until their
    deadlines.
    """
    budget = AnswerBudget(limit)
    holds = [budget.open(str(number % 3), most) for number in range(12)]
    for number, step, share in steps:
        hold = holds[number]
        match step:
            case "fill" | "add" if not hold.paused:
                hold.add(int(hold.room * (1.0 if step == "fill" else share)))
                hold.must_pause()
            case "take":
                hold.remove(int(hold.held * share))
                hold.may_go_on()
            case "empty":
                hold.remove(hold.held)
                assert hold.may_go_on()
                assert hold.room >= ANSWER_RESERVE_BYTES
            case "close":
                hold.close()
        shared = sum(max(0, h.held - ANSWER_RESERVE_BYTES) for h in holds)
        assert budget.shared == shared <= limit
        assert budget.held == sum(h.held for h in holds)
        assert budget.paused == sum(h.paused for h in holds)
        assert most is None or hold.held <= most
    for hold in holds:
        hold.close()
    assert (budget.held, budget.shared, budget.callers, budget.paused) == (0, 0, {}, 0)


def test_stalled_answers_leave_room_for_others():
    """The callers of some streams read nothing; others must get more than the reserve.

    Of the stalled ones, those that hold much have to pass on more before they go on.
    """
    budget = AnswerBudget(LIMIT)
    stalled = [budget.open(f"s{number}") for number in range(20)]
    for hold in stalled:
        hold.add(hold.room)
        assert hold.must_pause()
    assert budget.open("new").room > 2 * ANSWER_RESERVE_BYTES
    first, last = stalled[0], stalled[-1]
    assert first.held > 4 * last.held
    for hold in (first, last):
        hold.remove(hold.held // 2)
    assert not first.may_go_on()
    assert last.may_go_on()


def test_one_caller_leaves_room_for_others():
    budget = AnswerBudget(LIMIT)
    for _ in range(100):
        hold = budget.open("large")
        hold.add(hold.room)
    assert budget.shared <= LIMIT * 2 / 3
    assert budget.open("other").room > budget.open("large").room


def test_a_short_budget_is_told_once_and_free_again_once():
    """One log line each, whatever the number of refused requests."""
    held, hold = HeldBytes(LIMIT), BodyHold("a", 0.0)
    assert not held.check()
    held.bodies.reserve(hold, 150_000)
    for _ in range(3):
        assert not held.bodies.reserve(BodyHold("b", 0.0), 100_000)
    assert [held.check(), held.short] == [True, True]
    assert [held.check(), held.short] == [False, True]
    held.bodies.release(hold)
    assert [held.check(), held.short] == [True, False]
