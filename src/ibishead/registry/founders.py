"""Choice of the founders, the first voters of the replicated log.

It is made once, when the whole system starts for the first time.
"""

from collections.abc import Iterable, Sequence

from ibishead.ids import HostId
from ibishead.routing.messages import MemberRecord

__all__ = ["choose_founders", "count_voters"]

#: Minimum wait before the log is founded, so that all disks become known.
SETTLE_SECONDS = 1.5

#: Wait after which the log is founded with fewer voters than configured.
FULL_SET_TIMEOUT_SECONDS = 5.0

#: Upper bound on voters. Each further voter slows every commit, and tolerates no
#: losses beyond those configured.
MAX_VOTERS = 7


def count_voters(losses: int) -> int:
    """Return the number of voters that tolerates simultaneous losses.

    :param losses: hosts with a disk that may be lost at the same time.
    """
    return min(MAX_VOTERS, 2 * max(1, losses) + 1)


def choose_founders(
    own: HostId, seeds: Sequence[str], members: Iterable[MemberRecord], wanted: int
) -> tuple[HostId, ...]:
    """Return the founders, this host first, if this host is to found the log.

    Two hosts that each founded a log would accept changes that the other never
    receives. So exactly one host founds it: the first seed with a disk or, if no seed
    has one, the first host with a disk. Any seed that is not yet known may be that
    host, so the log is not founded until all seeds are known.

    :param own: this host.
    :param seeds: ``ADDRESS:PORT`` of the HTTP servers of the configured registries,
        in the same order on all hosts.
    :param members: the known registries, including this one.
    :param wanted: number of voters to choose, if there are enough disks.
    :returns: the founders; empty if another host founds the log, a seed is not yet
        known, or no known host has a disk.
    """
    known = {member.operators: member for member in members if member.operators}
    if any(seed not in known for seed in seeds):
        return ()
    candidates = sorted(
        (member for member in known.values() if member.replica), key=lambda m: m.host
    )
    if not candidates:
        return ()
    first = next((known[seed] for seed in seeds if known[seed].replica), candidates[0])
    if first.host != own:
        return ()
    return _choose_voters(first, candidates, wanted)


def _choose_voters(
    first: MemberRecord, candidates: list[MemberRecord], wanted: int
) -> tuple[HostId, ...]:
    # Voters in one failure domain fail together, so each choice is made from the
    # domain with the fewest voters so far
    size = min(wanted, len(candidates) - 1 + len(candidates) % 2)
    chosen = [first]
    rest = [member for member in candidates if member.host != first.host]
    while len(chosen) < size:
        counts = {member.host: _count_in_domain(chosen, member) for member in rest}
        selected = min(rest, key=lambda m: (counts[m.host], m.host))
        chosen.append(selected)
        rest.remove(selected)
    return tuple(member.host for member in chosen)


def _count_in_domain(chosen: list[MemberRecord], candidate: MemberRecord) -> int:
    return sum(member.domain == candidate.domain for member in chosen)
