"""How replicas with empty data folders found a cluster, or join an existing one."""

from collections.abc import Callable, Iterable

import msgspec

from ibishead.control.log.identity import Identity, replica_host
from ibishead.ids import HostId, ReplicaId

__all__ = ["Founding", "KnownReplica"]


class KnownReplica(msgspec.Struct, frozen=True):
    """The latest introduction of the replica on another host.

    :param cluster: its cluster; empty if it has not joined one.
    :param introduced_at: monotonic time in seconds at which the introduction arrived.
    """

    replica: ReplicaId
    cluster: str
    introduced_at: float


class Founding:
    """Decides when a new replica founds or joins a cluster.

    :param first_hosts: hosts of the initial voters, from the settings.
    :param draw_name: returns a globally unique string on each call.
    :ivar known: latest introduction from each host.
    """

    def __init__(
        self, first_hosts: Iterable[HostId], draw_name: Callable[[], str]
    ) -> None:
        self._first_hosts = sorted(first_hosts)
        self._draw_name = draw_name
        self.known: dict[HostId, KnownReplica] = {}

    def record_introduction(self, replica: ReplicaId, cluster: str, now: float) -> None:
        """Record the introduction of a replica.

        :param now: monotonic time in seconds.
        """
        host = replica_host(replica)
        self.known[host] = KnownReplica(replica, cluster, now)

    def set_founders(self, hosts: Iterable[HostId]) -> None:
        """Set the hosts of the initial voters, of which the first founds the cluster.

        This serves hosts that discover each other only at run time.
        """
        self._first_hosts = list(hosts)

    def found_cluster(self, own: Identity) -> Identity | None:
        """Return the identity with which to found a cluster, None if it must not.

        Only the first of the initial hosts founds one, and only while none of them has
        joined any: a replica that lost its disk finds the others in a cluster and must
        not found a second one.
        """
        host = replica_host(own.replica)
        if own.cluster or not self._first_hosts or host != self._first_hosts[0]:
            return None
        others = [self.known.get(other) for other in self._first_hosts[1:]]
        if any(other is None or other.cluster for other in others):
            return None
        founders = [own.replica, *(other.replica for other in others if other)]
        return Identity(own.replica, self._draw_name(), tuple(founders))

    def join_cluster(
        self, own: Identity, cluster: str, founders: tuple[ReplicaId, ...]
    ) -> Identity | None:
        """Return the identity with which to join a founder's cluster, None if not due.

        An introduction is sufficient only for replicas among the founders. A cluster
        that was founded without this replica adds it by a change of its replica set.
        """
        if own.cluster or not cluster or own.replica not in founders:
            return None
        return Identity(own.replica, cluster, founders)
