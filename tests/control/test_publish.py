"""Subscribers get deltas under leases, and lagging holders are known."""

import msgspec
import pytest

from ibishead.catalog import Catalog
from ibishead.clock import ManualClock
from ibishead.control.publish import APPLY_LIMIT, LEASE, Publisher
from ibishead.control.state import MAX_DELTA
from ibishead.ids import HostId, LogIndex
from ibishead.messages import Publish, ReportInForce, Role, Subscribe

from .support import Log, make_claim, make_registration, make_submission, write_document


class Scene:
    """A publisher on a log, and the messages that its holders were sent."""

    def __init__(self) -> None:
        self.log = Log()
        self.clock = ManualClock()
        self.vouched = 1.0
        self.publisher = Publisher(self.log.state, lambda: self.vouched, self.clock)
        self.sent: list[Publish] = []

    def subscribe(self, host: str, index: int = 0):
        ask = Subscribe(HostId(host), Role.ENTRY, index)
        return self.publisher.subscribe(ask, self.sent.append)

    def submit(self, base: int) -> LogIndex:
        self.log.apply(make_submission(f"s{base}", base, write_document()))
        self.publisher.publish()
        return self.log.state.applied

    def report(self, subscriber, index: int, number: int) -> None:
        message = ReportInForce(subscriber.host, index, number)
        self.publisher.report(subscriber, message)


def test_change_is_in_force_once_all_holders_reported_it():
    scene = Scene()
    first, second = scene.subscribe("e1"), scene.subscribe("e2")
    index = scene.submit(0)
    assert scene.publisher.list_waiting(index) == ["e1", "e2"]
    scene.report(first, index, 1)
    assert scene.publisher.list_waiting(index) == ["e2"]
    scene.report(second, index, 1)
    assert scene.publisher.list_waiting(index) == []


@pytest.mark.parametrize("leaves", [False, True])
def test_silent_holder_counts_until_its_lease_is_over(leaves):
    """An entry's link goes silent while it acts on the old document."""
    scene = Scene()
    subscriber = scene.subscribe("e1")
    index = scene.submit(0)
    if leaves:
        scene.publisher.leave(subscriber)
    last = scene.sent[-1]
    scene.clock.step(last.lease - 0.1)
    assert scene.publisher.list_waiting(index) == ["e1"]
    scene.clock.step(0.2)
    assert scene.publisher.list_waiting(index) == []


def test_holder_that_hangs_loses_its_lease():
    """An entry answers heartbeats and reports, yet never applies a change."""
    scene = Scene()
    subscriber = scene.subscribe("e1")
    index = scene.submit(0)
    for number in range(1, 20):
        scene.clock.step(0.5)
        scene.report(subscriber, 0, number)
    assert scene.sent[-1].lease == 0.0
    assert APPLY_LIMIT + LEASE < 19 * 0.5
    assert scene.publisher.list_waiting(index) == []
    scene.report(subscriber, index, 20)
    assert scene.sent[-1].lease == LEASE


def test_replica_without_a_lease_gives_none():
    """A replica that lost its leader must not keep its holders on old documents."""
    scene = Scene()
    subscriber = scene.subscribe("e1")
    scene.vouched = 0.0
    scene.report(subscriber, 0, 1)
    assert scene.sent[-1].lease == 0.0


def test_lease_answers_the_newest_report():
    """A holder counts its lease from the report that is answered."""
    scene = Scene()
    subscriber = scene.subscribe("e1")
    scene.report(subscriber, 0, 7)
    assert scene.sent[-1].answered_report == 7
    scene.submit(0)
    assert scene.sent[-1].answered_report == 7
    catalog = Catalog()
    catalog.note_report(7, 100.0)
    catalog.renew(scene.sent[-1], 110.0)
    assert not catalog.is_current(100.0 + LEASE)


def test_lagging_replica_counts_its_holders():
    """A replica is asked for an index that it hasn't applied itself."""
    scene = Scene()
    index = scene.submit(0)
    subscriber = scene.subscribe("e1")
    scene.report(subscriber, index, 1)
    assert scene.publisher.list_waiting(index) == []
    assert scene.publisher.list_waiting(LogIndex(index + 1)) == ["e1"]


def test_large_documents_come_in_parts_and_the_lease_last():
    """Documents together are larger than a frame; a cut-off entry comes back."""
    scene = Scene()
    services = ["raktar", "bolt", "posta"]
    for number, service in enumerate(services):
        text = write_document(service) + "#" * (MAX_DELTA - 1000)
        command = make_submission(f"s{number}", 0, text)
        scene.log.apply(msgspec.structs.replace(command, service=service))
    subscriber = scene.subscribe("e1")
    for number in range(1, 4):
        scene.report(subscriber, scene.sent[-1].index, number)
    parts = [[d.service for d in message.documents] for message in scene.sent]
    assert parts == [["raktar"], ["bolt"], ["posta"], []]
    assert [message.index for message in scene.sent] == [1, 2, 3, 3]
    assert [message.lease for message in scene.sent] == [0.0, 0.0, LEASE, LEASE]


def test_claims_move_no_holder():
    """Each claim would otherwise cost a message to and from every holder."""
    scene = Scene()
    scene.log.apply(make_registration("n1"))
    subscriber = scene.subscribe("e1")
    scene.report(subscriber, scene.sent[-1].index, 1)
    before = len(scene.sent)
    for number in range(100):
        scene.log.apply(make_claim(f"r{number}", 1, key=f"k{number}"))
        scene.publisher.publish()
    assert len(scene.sent) == before
    scene.report(subscriber, scene.sent[-1].index, 2)
    assert scene.sent[-1].index == scene.sent[-2].index
    assert scene.publisher.list_waiting(scene.log.state.applied) == []


def test_reconnected_holder_gets_a_delta_or_the_whole():
    scene = Scene()
    for base in range(3):
        scene.submit(base)
    scene.subscribe("e1", index=2)
    assert not scene.sent[-1].full_state
    assert [d.revision for d in scene.sent[-1].documents] == [3]
    scene.log.restart()
    scene.publisher = Publisher(scene.log.state, lambda: 1.0, scene.clock)
    scene.subscribe("e1", index=2)
    assert scene.sent[-1].full_state
    scene.subscribe("e1", index=3)
    assert not scene.sent[-1].full_state
    assert scene.sent[-1].documents == ()
