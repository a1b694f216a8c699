"""A change is in force once no replica has a holder that may use the old state."""

import pytest

from ibishead.clock import ManualClock
from ibishead.control.log.force import LEASE_LIMIT_SECONDS, InForceTracker
from ibishead.control.publish import Publisher
from ibishead.messages import Holders

from .support import C1, FakeReplica, Log, make_submission


class FakeRelay:
    """PendingQuestions for the other replicas; None for unreachable ones."""

    def __init__(self, answers: dict[str, Holders | None]) -> None:
        self.answers = answers
        self.requests: list[str] = []

    async def ask_holders(self, replica, index):
        self.requests.append(replica)
        return self.answers[replica]


def make_tracker(answers):
    log = Log()
    clock = ManualClock()
    publisher = Publisher(log.state, lambda: 1.0, clock)
    replica = FakeReplica("c1", ("c2", "c3"))
    relay = FakeRelay(answers)
    tracker = InForceTracker(C1, log.state, replica, publisher, relay, clock)
    log.state.on_change = tracker.record_change
    clock.step(100.0)
    log.apply(make_submission("s1", 0))
    return tracker, clock


@pytest.mark.parametrize(
    ("answer", "waiting"),
    [
        (Holders(1, 1), []),
        (Holders(1, 1, ("e2",)), ["e2"]),
        (Holders(1, 0), ["c2"]),
        (Holders(1, 0, ("e2",)), ["e2"]),
        (None, ["c2"]),
    ],
)
async def test_answers_of_another_replica(answer, waiting):
    tracker, _ = make_tracker({"c2": answer, "c3": Holders(1, 1)})
    assert await tracker.find_waiting(1) == waiting


async def test_unreachable_replica_counts_until_its_leases_have_ended():
    """Guards against a change reported in force too early.

    An unreachable replica has an entry host that still uses the old document.
    """
    tracker, clock = make_tracker({"c2": None, "c3": Holders(1, 1)})
    clock.step(LEASE_LIMIT_SECONDS - 0.1)
    assert await tracker.find_waiting(1) == ["c2"]
    clock.step(0.2)
    assert await tracker.find_waiting(1) == []


async def test_removed_replica_counts_until_its_leases_have_ended():
    """Guards against a change reported in force too early.

    A replica is replaced while an entry host still has a lease from it.
    """
    tracker, clock = make_tracker({"c2": None, "c3": Holders(1, 1)})
    tracker.record_replicas()
    tracker._replica.voters = ("c1", "c3")
    clock.step(LEASE_LIMIT_SECONDS - 0.1)
    assert await tracker.find_waiting(1) == ["c2"]
    clock.step(0.2)
    assert await tracker.find_waiting(1) == []
    assert list(tracker._relay.requests) == ["c2", "c3", "c3"]


async def test_restarted_replica_counts_changes_from_its_start():
    """Guards against a change reported in force too early.

    A restarted replica doesn't know when a change was applied.
    """
    tracker, clock = make_tracker({"c2": None, "c3": Holders(1, 1)})
    clock.step(LEASE_LIMIT_SECONDS + 0.1)
    log = Log()
    log.apply(make_submission("s1", 0))
    publisher = Publisher(log.state, lambda: 1.0, clock)
    fresh = InForceTracker(
        C1,
        log.state,
        FakeReplica("c1", ("c2",)),
        publisher,
        FakeRelay({"c2": None}),
        clock,
    )
    assert await tracker.find_waiting(1) == []
    assert await fresh.find_waiting(1) == ["c2"]
    clock.step(LEASE_LIMIT_SECONDS)
    assert await fresh.find_waiting(1) == []
