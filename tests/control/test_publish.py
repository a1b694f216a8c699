"""Subscribers get deltas under leases, and lagging holders are listed."""

import msgspec
import pytest

from ibishead.catalog import Catalog
from ibishead.clock import ManualClock
from ibishead.control.publish import LEASE_SECONDS, MAX_APPLY_SECONDS, Publisher
from ibishead.control.state import MAX_DELTA_CHARACTERS
from ibishead.ids import HostId, LogIndex
from ibishead.messages import Publish, ReportInForce, Role, Subscribe

from .support import Log, make_claim, make_registration, make_submission, write_document


class Scene:
    """A publisher on a log, and the messages that it has sent."""

    def __init__(self) -> None:
        self.log = Log()
        self.clock = ManualClock()
        self.replica_lease = 1.0
        self.publisher = Publisher(
            self.log.state, lambda: self.replica_lease, self.clock
        )
        self.sent: list[Publish] = []

    def subscribe(self, host: str, index: int = 0):
        request = Subscribe(HostId(host), Role.ENTRY, index)
        return self.publisher.subscribe(request, self.sent.append)

    def submit(self, base: int) -> LogIndex:
        self.log.apply(make_submission(f"s{base}", base, write_document()))
        self.publisher.publish()
        return self.log.state.applied

    def report(self, subscriber, index: int, number: int) -> None:
        message = ReportInForce(subscriber.host, index, number)
        self.publisher.handle_report(subscriber, message)


def test_change_is_in_force_after_all_reports():
    scene = Scene()
    first, second = scene.subscribe("e1"), scene.subscribe("e2")
    index = scene.submit(0)
    assert scene.publisher.list_lagging(index) == ["e1", "e2"]
    scene.report(first, index, 1)
    assert scene.publisher.list_lagging(index) == ["e2"]
    scene.report(second, index, 1)
    assert scene.publisher.list_lagging(index) == []


@pytest.mark.parametrize("link_closed", [False, True])
def test_silent_holder_lags_until_its_lease_expires(link_closed):
    """An entry host is cut off and acts on the old document until its lease expires.

    Until then the change must not be reported as in force.
    """
    scene = Scene()
    subscriber = scene.subscribe("e1")
    index = scene.submit(0)
    if link_closed:
        scene.publisher.unsubscribe(subscriber)
    last = scene.sent[-1]
    scene.clock.step(last.lease - 0.1)
    assert scene.publisher.list_lagging(index) == ["e1"]
    scene.clock.step(0.2)
    assert scene.publisher.list_lagging(index) == []


def test_hanging_holder_loses_its_lease():
    """An entry host responds and reports, but never applies a change.

    With a renewed lease it would delay every change indefinitely.
    """
    scene = Scene()
    subscriber = scene.subscribe("e1")
    index = scene.submit(0)
    for number in range(1, 20):
        scene.clock.step(0.5)
        scene.report(subscriber, 0, number)
    assert scene.sent[-1].lease == 0.0
    assert MAX_APPLY_SECONDS + LEASE_SECONDS < 19 * 0.5
    assert scene.publisher.list_lagging(index) == []
    scene.report(subscriber, index, 20)
    assert scene.sent[-1].lease == LEASE_SECONDS


def test_replica_without_lease_grants_none():
    """A replica that lost its leader must not let its holders act on old documents."""
    scene = Scene()
    subscriber = scene.subscribe("e1")
    scene.replica_lease = 0.0
    scene.report(subscriber, 0, 1)
    assert scene.sent[-1].lease == 0.0


def test_lease_refers_to_newest_report():
    """A lease names the newest report, from whose sending the holder counts it.

    Counted from a later moment, the lease would outlast what the replica recorded.
    """
    scene = Scene()
    subscriber = scene.subscribe("e1")
    scene.report(subscriber, 0, 7)
    assert scene.sent[-1].answered_report == 7
    scene.submit(0)
    assert scene.sent[-1].answered_report == 7
    catalog = Catalog()
    catalog.note_report(7, 100.0)
    catalog.renew(scene.sent[-1], 110.0)
    assert not catalog.is_current(100.0 + LEASE_SECONDS)


def test_lagging_replica_lists_its_holders():
    """A replica is queried for an index that it hasn't applied itself.

    Its holders can't have applied the index either and must be listed.
    """
    scene = Scene()
    index = scene.submit(0)
    subscriber = scene.subscribe("e1")
    scene.report(subscriber, index, 1)
    assert scene.publisher.list_lagging(index) == []
    assert scene.publisher.list_lagging(LogIndex(index + 1)) == ["e1"]


def test_large_documents_are_split_and_lease_comes_last():
    """An entry host reconnects and lacks documents that together exceed a frame.

    Sent in one message they would break the link each time. A holder of some of the
    parts may still act on replaced documents, so only the last part has a lease.
    """
    scene = Scene()
    services = ["raktar", "bolt", "posta"]
    for number, service in enumerate(services):
        text = write_document(service) + "#" * (MAX_DELTA_CHARACTERS - 1000)
        command = make_submission(f"s{number}", 0, text)
        scene.log.apply(msgspec.structs.replace(command, service=service))
    subscriber = scene.subscribe("e1")
    for number in range(1, 4):
        scene.report(subscriber, scene.sent[-1].index, number)
    parts = [[d.service for d in message.documents] for message in scene.sent]
    assert parts == [["raktar"], ["bolt"], ["posta"], []]
    assert [message.index for message in scene.sent] == [1, 2, 3, 3]
    assert [message.lease for message in scene.sent] == [
        0.0,
        0.0,
        LEASE_SECONDS,
        LEASE_SECONDS,
    ]


def test_claims_are_not_published():
    """Claims are not published: each would cost a message to and from every holder."""
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
    assert scene.publisher.list_lagging(scene.log.state.applied) == []


def test_reconnected_holder_gets_delta_or_full_state():
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
