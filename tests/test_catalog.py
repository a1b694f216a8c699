"""Catalog updates are monotonic, and the lease is counted from the report."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.catalog import Catalog
from ibishead.ids import (
    FailureDomain,
    HostId,
    Incarnation,
    Revision,
    ServiceName,
    TargetId,
    TeamId,
)
from ibishead.messages import DocumentRecord, Publish, TargetKind, TargetRecord

SERVICE = ServiceName("mester")
TEXT = """
[service]
name = mester
team = halo
kind = engine
model = base
default_class = plan
[class:plan]
priority = 5
deadline = 10 s
idempotent = yes
"""


def make_document(revision: int) -> DocumentRecord:
    return DocumentRecord(SERVICE, TeamId("halo"), Revision(revision), TEXT)


def make_target(incarnation: int, name: str = "t1") -> TargetRecord:
    return TargetRecord(
        TargetId(name),
        Incarnation(incarnation),
        SERVICE,
        TargetKind.ENGINE,
        HostId("h1"),
        FailureDomain("szeged-a"),
        "127.0.0.1",
        1,
    )


@given(
    st.lists(
        st.tuples(st.integers(1, 9), st.booleans(), st.integers(0, 20)), max_size=20
    )
)
def test_revision_never_goes_down(publishes):
    """Partitioned, restarted or slow replicas may publish in any order."""
    catalog = Catalog()
    highest = 0
    for revision, whole, index in publishes:
        catalog.apply(Publish(index, 3.0, (make_document(revision),), full_state=whole))
        highest = max(highest, revision)
        held = catalog.find_document(SERVICE)
        assert held is not None
        assert held.record.revision == highest


@pytest.mark.parametrize(
    ("publishes", "expected"),
    [
        ([Publish(1, 0, targets=(make_target(1),))], 1),
        (
            [
                Publish(1, 0, targets=(make_target(2),)),
                Publish(2, 0, targets=(make_target(1),)),
            ],
            2,
        ),
        (
            [
                Publish(1, 0, targets=(make_target(1),)),
                Publish(2, 0, removed_targets=((TargetId("t1"), Incarnation(1)),)),
            ],
            None,
        ),
        (
            [
                Publish(1, 0, targets=(make_target(2),)),
                Publish(2, 0, removed_targets=((TargetId("t1"), Incarnation(1)),)),
            ],
            2,
        ),
        (
            [
                Publish(2, 0, removed_targets=((TargetId("t1"), Incarnation(1)),)),
                Publish(1, 0, targets=(make_target(1),)),
            ],
            None,
        ),
        (
            [Publish(1, 0, targets=(make_target(1),)), Publish(2, 0, full_state=True)],
            None,
        ),
        ([Publish(2, 0, targets=(make_target(1),)), Publish(1, 0, full_state=True)], 1),
    ],
)
def test_incarnation_of_a_target_never_goes_down(publishes, expected):
    catalog = Catalog()
    for publish in publishes:
        catalog.apply(publish)
    found = catalog.find_target(TargetId("t1"))
    assert (found and found.incarnation) == expected


@pytest.mark.parametrize(
    ("sent", "answered", "lease", "asked", "current"),
    [
        (0.0, 0.5, 3.0, 2.9, True),
        (0.0, 0.5, 3.0, 3.1, False),
        (0.0, 2.9, 3.0, 3.1, False),
        (0.0, 0.5, 0.0, 0.6, False),
    ],
)
def test_lease_counts_from_the_report(sent, answered, lease, asked, current):
    """An answer that is delayed for seconds in transit must not extend the lease."""
    catalog = Catalog()
    catalog.note_report(1, sent)
    catalog.renew(Publish(1, lease, answered_report=1), answered)
    assert catalog.is_current(asked) is current


def test_lease_without_a_report_is_ignored():
    catalog = Catalog()
    catalog.renew(Publish(1, 3.0, answered_report=7), 0.0)
    assert not catalog.is_current(0.1)
