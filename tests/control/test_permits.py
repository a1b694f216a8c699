"""Permits respect the store's limits through bursts, losses and leader changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.control.permits import (
    MAX_IN_FLIGHT,
    MAX_REQUESTS_PER_TARGET,
    MAX_STARTS_PER_WINDOW,
    PERMIT_SECONDS,
    TAKEOVER_PAUSE_SECONDS,
    PermitAllocator,
)
from ibishead.ids import Incarnation, TargetId
from ibishead.messages import AskPermit, ReleasePermit


def make_request(number: int, urgency: float = 1.0, target: str = "t1") -> AskPermit:
    return AskPermit(TargetId(target), Incarnation(1), number, urgency)


def make_release(number: int, target: str = "t1") -> ReleasePermit:
    return ReleasePermit(TargetId(target), Incarnation(1), number)


def list_numbers(answers) -> list[int]:
    return [answer.number for answer in answers]


def test_burst_is_rate_limited_in_order_of_urgency():
    """All agents restart and request all their adapters at once.

    Too many concurrent loads would slow every one of them.
    """
    allocator = PermitAllocator(0.0)
    for number in range(20):
        allocator.add_request(make_request(number, urgency=number), 0.0)
    assert list_numbers(allocator.grant(0.0)) == [19, 18, 17, 16]
    assert allocator.grant(0.5) == []
    assert allocator.find_next_start(0.5) == pytest.approx(1.0)
    assert list_numbers(allocator.grant(1.0)) == [15, 14, 13, 12]
    assert allocator.grant(2.0) == []


def test_permit_of_crashed_target_expires():
    """A target crashes during loads and never releases their permits."""
    allocator = PermitAllocator(0.0)
    for round_ in range(2):
        for number in range(4):
            allocator.add_request(make_request(number + 4 * round_), float(round_))
        assert len(allocator.grant(float(round_))) == 4
    allocator.add_request(make_request(99), 4.0)
    assert allocator.grant(4.0) == []
    assert list_numbers(allocator.grant(TAKEOVER_PAUSE_SECONDS)) == [99]


def test_repeated_request_after_lost_grant():
    allocator = PermitAllocator(0.0)
    allocator.add_request(make_request(1), 0.0)
    allocator.grant(0.0)
    repeated = allocator.add_request(make_request(1), 1.0)
    assert repeated is not None
    assert repeated.lifetime == pytest.approx(PERMIT_SECONDS - 1.0)
    assert allocator.add_request(make_request(1), PERMIT_SECONDS + 0.1) is None
    assert allocator.in_flight == 1


def test_withdrawn_and_expired_requests_are_not_granted():
    allocator = PermitAllocator(0.0)
    allocator.add_request(make_request(1), 0.0)
    allocator.release(make_release(1), 0.1)
    allocator.add_request(make_request(2), 0.1)
    assert allocator.grant(5.0) == []


def test_queue_of_one_target_is_bounded():
    allocator = PermitAllocator(0.0)
    for number in range(10 * MAX_REQUESTS_PER_TARGET):
        allocator.add_request(make_request(number), 0.0)
    allocator.add_request(make_request(1, target="t2"), 0.0)
    assert allocator.waiting == MAX_REQUESTS_PER_TARGET + 1


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "release", "new leader", "wait"]),
        st.integers(0, 30),
        st.floats(0.0, 1.5),
    ),
    max_size=120,
)


@given(STEPS)
def test_limits_hold_across_leader_changes(steps):
    """A new leader doesn't know its predecessor's permits and grants its own.

    Without a pause both sets of loads together would exceed the limits.
    """
    now = 0.0
    allocator = PermitAllocator(0.0)
    starts: list[float] = []
    running: dict[int, float] = {}
    for action, number, seconds in steps:
        match action:
            case "request":
                allocator.add_request(make_request(number, urgency=seconds), now)
            case "release":
                allocator.release(make_release(number), now)
                running.pop(number, None)
            case "new leader":
                allocator = PermitAllocator(now + TAKEOVER_PAUSE_SECONDS)
            case "wait":
                now += seconds
        for answer in allocator.grant(now):
            starts.append(now)
            running[answer.number] = now + answer.lifetime
        running = {n: ends for n, ends in running.items() if ends > now}
        assert len(running) <= MAX_IN_FLIGHT
        assert sum(start > now - 1.0 for start in starts) <= MAX_STARTS_PER_WINDOW
