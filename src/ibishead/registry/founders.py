"""Who founds the replicated log when the whole system starts for the first time."""

from collections.abc import Iterable, Sequence

from ibishead.ids import HostId
from ibishead.routing.messages import MemberRecord

__all__ = ["choose_founders", "count_voters"]

#: Seconds to wait for all disks to be known, and for any at all.
SETTLE_TIME = 1.5
LONGEST_WAIT = 5.0

#: Most voters; each further one slows a commit and bears no more losses than asked.
MOST_VOTERS = 7


def count_voters(losses: int) -> int:
    """Return how many voters bear that many losses at once.

    :param losses: hosts with a disk that may be lost together.
    """
    return min(MOST_VOTERS, 2 * max(1, losses) + 1)


def choose_founders(
    own: HostId, seeds: Sequence[str], members: Iterable[MemberRecord], wanted: int
) -> tuple[HostId, ...]:
    """Return the first voters, own host first, if this host is the one to found.

    Failure: two hosts that both found would each accept changes that the other never
    hears of. So only one host may: the first seed with a disk, or, where no seed has
    one, the first host with a disk. A seed that hasn't been heard might be that one,
    and nothing is founded until it has.

    :param seeds: operators' addresses of the first registries, the same on all hosts.
    :param members: the registries that are known, this one included.
    """
    known = {found.operators: found for found in members if found.operators}
    if any(seed not in known for seed in seeds):
        return ()
    disks = sorted(
        (found for found in known.values() if found.replica), key=lambda m: m.host
    )
    if not disks:
        return ()
    first = next((known[seed] for seed in seeds if known[seed].replica), disks[0])
    if first.host != own:
        return ()
    return _spread(first, disks, wanted)


def _spread(
    first: MemberRecord, disks: list[MemberRecord], wanted: int
) -> tuple[HostId, ...]:
    # Voters of one failure domain go together, so each domain gets one in turn
    size = min(wanted, len(disks) - 1 + len(disks) % 2)
    chosen = [first]
    rest = [found for found in disks if found.host != first.host]
    while len(chosen) < size:
        counts = {found.host: _count(chosen, found) for found in rest}
        nearest = min(rest, key=lambda m: (counts[m.host], m.host))
        chosen.append(nearest)
        rest.remove(nearest)
    return tuple(found.host for found in chosen)


def _count(chosen: list[MemberRecord], candidate: MemberRecord) -> int:
    return sum(found.domain == candidate.domain for found in chosen)
