"""Choice of the host that founds the replicated log, and of the first voters."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibishead.ids import FailureDomain, HostId, ReplicaId
from ibishead.registry.founders import choose_founders, count_voters
from ibishead.routing.messages import MemberKind, MemberRecord


def make_member(number: int, disk: bool = True, domain: str | None = None):
    return MemberRecord(
        HostId(f"h{number}"),
        MemberKind.REGISTRY,
        f"10.0.0.{number}",
        7000,
        FailureDomain(domain or f"d{number}"),
        f"10.0.0.{number}:80",
        ReplicaId(f"h{number}.x" if disk else ""),
    )


SEEDS = [f"10.0.0.{number}:80" for number in (1, 2, 3)]


@pytest.mark.parametrize(
    ("disks", "founder"),
    [
        ({1, 2, 3, 4}, "h1"),
        ({2, 3, 4}, "h2"),
        ({4, 5, 6}, "h4"),
        (set(), None),
    ],
)
def test_exactly_one_host_founds_for_any_seeds_with_disks(disks, founder):
    members = [make_member(n, n in disks) for n in range(1, 8)]
    founding = [
        member.host
        for member in members
        if choose_founders(member.host, SEEDS, members, 3)
    ]
    assert founding == ([founder] if founder else [])


def test_no_host_founds_before_all_seeds_are_known():
    members = [make_member(n) for n in (2, 3, 4, 5)]
    assert choose_founders(HostId("h2"), SEEDS, members, 3) == ()


@given(
    disks=st.sets(st.integers(1, 9), min_size=1),
    known=st.lists(st.sets(st.integers(4, 9)), min_size=2, max_size=4),
)
def test_at_most_one_host_founds_for_any_known_members(disks, known):
    """Guards against two separate logs.

    Two hosts that each founded one would accept changes that the other never receives.
    """
    founders = set()
    for others in known:
        members = [make_member(n, n in disks) for n in {1, 2, 3} | others]
        if not disks & {1, 2, 3}:
            continue
        for member in members:
            if choose_founders(member.host, SEEDS, members, 3):
                founders.add(member.host)
    assert len(founders) <= 1


@pytest.mark.parametrize(
    ("disks", "wanted", "size"), [(4, 3, 3), (8, 5, 5), (5, 5, 5), (4, 5, 3), (2, 3, 1)]
)
def test_founders_are_odd_in_number_and_spread_over_domains(disks, wanted, size):
    members = [make_member(n, domain=f"d{n % 4}") for n in range(1, disks + 1)]
    seeds = SEEDS[: min(3, disks)]
    chosen = choose_founders(HostId("h1"), seeds, members, wanted)
    assert len(chosen) == size
    domains = [f"d{int(host[1:]) % 4}" for host in chosen]
    assert max(domains.count(d) for d in domains) <= -(-size // min(4, disks))


@pytest.mark.parametrize(("losses", "voters"), [(0, 3), (1, 3), (2, 5), (3, 7), (9, 7)])
def test_voters_tolerate_the_losses(losses, voters):
    assert count_voters(losses) == voters
