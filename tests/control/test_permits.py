"""Permits keep the store's limits, over bursts, losses and changes of leader."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.control.permits import (
    ASKS_PER_TARGET,
    IN_FLIGHT,
    LIFETIME,
    RATE,
    TAKEOVER_PAUSE,
    PermitBook,
)
from ibishead.ids import Incarnation, TargetId
from ibishead.messages import AskPermit, ReleasePermit


def make_ask(number: int, urgency: float = 1.0, target: str = "t1") -> AskPermit:
    return AskPermit(TargetId(target), Incarnation(1), number, urgency)


def make_release(number: int, target: str = "t1") -> ReleasePermit:
    return ReleasePermit(TargetId(target), Incarnation(1), number)


def list_numbers(answers) -> list[int]:
    return [answer.number for answer in answers]


def test_burst_is_paced_and_most_urgent_goes_first():
    """A restarted fleet asks for all its adapters at once."""
    book = PermitBook(0.0)
    for number in range(20):
        book.ask(make_ask(number, urgency=number), 0.0)
    assert list_numbers(book.grant(0.0)) == [19, 18, 17, 16]
    assert book.grant(0.5) == []
    assert book.find_next(0.5) == pytest.approx(1.0)
    assert list_numbers(book.grant(1.0)) == [15, 14, 13, 12]
    assert book.grant(2.0) == []


def test_lost_release_frees_its_place_in_time():
    """A target dies with a load in flight and never releases its permit."""
    book = PermitBook(0.0)
    for round_ in range(2):
        for number in range(4):
            book.ask(make_ask(number + 4 * round_), float(round_))
        assert len(book.grant(float(round_))) == 4
    book.ask(make_ask(99), 4.0)
    assert book.grant(4.0) == []
    assert list_numbers(book.grant(TAKEOVER_PAUSE)) == [99]


def test_repeated_ask_after_a_lost_grant():
    book = PermitBook(0.0)
    book.ask(make_ask(1), 0.0)
    book.grant(0.0)
    repeated = book.ask(make_ask(1), 1.0)
    assert repeated is not None
    assert repeated.lifetime == pytest.approx(LIFETIME - 1.0)
    assert book.ask(make_ask(1), LIFETIME + 0.1) is None
    assert book.in_flight == 1


def test_withdrawn_and_forgotten_asks_are_not_granted():
    book = PermitBook(0.0)
    book.ask(make_ask(1), 0.0)
    book.release(make_release(1), 0.1)
    book.ask(make_ask(2), 0.1)
    assert book.grant(5.0) == []


def test_flood_of_one_target_is_bounded():
    book = PermitBook(0.0)
    for number in range(10 * ASKS_PER_TARGET):
        book.ask(make_ask(number), 0.0)
    book.ask(make_ask(1, target="t2"), 0.0)
    assert book.waiting == ASKS_PER_TARGET + 1


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "release", "new leader", "wait"]),
        st.integers(0, 30),
        st.floats(0.0, 1.5),
    ),
    max_size=120,
)


@given(STEPS)
def test_limits_hold_over_changes_of_leader(steps):
    """A new leader grants loads beside those that its predecessor granted."""
    now = 0.0
    book = PermitBook(0.0)
    starts: list[float] = []
    running: dict[int, float] = {}
    for kind, number, seconds in steps:
        match kind:
            case "ask":
                book.ask(make_ask(number, urgency=seconds), now)
            case "release":
                book.release(make_release(number), now)
                running.pop(number, None)
            case "new leader":
                book = PermitBook(now + TAKEOVER_PAUSE)
            case "wait":
                now += seconds
        for answer in book.grant(now):
            starts.append(now)
            running[answer.number] = now + answer.lifetime
        running = {n: ends for n, ends in running.items() if ends > now}
        assert len(running) <= IN_FLIGHT
        assert sum(start > now - 1.0 for start in starts) <= RATE
