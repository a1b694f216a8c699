"""Which host founds the replicated log, and with whom."""

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
def test_one_host_founds_whichever_seeds_have_disks(disks, founder):
    members = [make_member(n, n in disks) for n in range(1, 8)]
    founding = [
        member.host
        for member in members
        if choose_founders(member.host, SEEDS, members, 3)
    ]
    assert founding == ([founder] if founder else [])


def test_nothing_is_founded_before_every_seed_is_heard():
    members = [make_member(n) for n in (2, 3, 4, 5)]
    assert choose_founders(HostId("h2"), SEEDS, members, 3) == ()


@given(
    disks=st.sets(st.integers(1, 9), min_size=1),
    known=st.lists(st.sets(st.integers(4, 9)), min_size=2, max_size=4),
)
def test_two_hosts_never_both_found(disks, known):
    """Two hosts that found would each accept what the other never hears of."""
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
def test_the_set_is_odd_and_spread(disks, wanted, size):
    members = [make_member(n, domain=f"d{n % 4}") for n in range(1, disks + 1)]
    seeds = SEEDS[: min(3, disks)]
    chosen = choose_founders(HostId("h1"), seeds, members, wanted)
    assert len(chosen) == size
    domains = [f"d{int(host[1:]) % 4}" for host in chosen]
    assert max(domains.count(d) for d in domains) <= -(-size // min(4, disks))


@pytest.mark.parametrize(("losses", "voters"), [(0, 3), (1, 3), (2, 5), (3, 7), (9, 7)])
def test_voters_bear_the_losses(losses, voters):
    assert count_voters(losses) == voters
