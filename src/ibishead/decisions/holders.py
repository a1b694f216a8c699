"""Chooses the hosts that hold copies of a record, by rendezvous hashing.

Hosts that know the same members choose the same holders without talking. Where they
know different ones, most of their choices still agree.
"""

from collections import Counter
from collections.abc import Mapping

import xxhash

from ibishead.ids import FailureDomain, HostId

__all__ = ["rank_holders"]


def rank_holders(key: str, hosts: Mapping[HostId, FailureDomain]) -> list[HostId]:
    """Return the hosts in the order in which they hold a record.

    No failure domain occurs a second time before each has occurred once, so that the
    first copies survive the loss of a domain.

    :param key: identifies the record.
    :param hosts: failure domain of each host.
    """
    by_hash = sorted(
        hosts, key=lambda host: (xxhash.xxh64_intdigest(f"{key}/{host}".encode()), host)
    )
    earlier: Counter[FailureDomain] = Counter()
    rounds: dict[HostId, int] = {}
    for host in by_hash:
        rounds[host] = earlier[hosts[host]]
        earlier[hosts[host]] += 1
    return sorted(by_hash, key=rounds.__getitem__)
