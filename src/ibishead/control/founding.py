"""How replicas with empty folders become a cluster, or wait to be taken into one."""

from collections.abc import Callable, Iterable

import msgspec

from ibishead.control.identity import Identity, replica_host
from ibishead.ids import HostId, ReplicaId

__all__ = ["Acquaintance", "Founding"]


class Acquaintance(msgspec.Struct, frozen=True):
    """What another host has said of itself.

    :param heard: monotonic seconds.
    """

    replica: ReplicaId
    cluster: str
    heard: float


class Founding:
    """Decides when a new replica joins, and as what.

    :param first_hosts: hosts of the first voters, from the settings.
    :param draw_name: returns text that no two calls anywhere return alike.
    """

    def __init__(
        self, first_hosts: Iterable[HostId], draw_name: Callable[[], str]
    ) -> None:
        self._first_hosts = sorted(first_hosts)
        self._draw_name = draw_name
        self.known: dict[HostId, Acquaintance] = {}

    def note(self, replica: ReplicaId, cluster: str, now: float) -> None:
        """Remember who runs on a host."""
        host = replica_host(replica)
        self.known[host] = Acquaintance(replica, cluster, now)

    def name_founders(self, hosts: Iterable[HostId]) -> None:
        """Let these hosts found the cluster, the first of them as the one that does.

        For hosts that learn of each other only once they run.
        """
        self._first_hosts = list(hosts)

    def found(self, own: Identity) -> Identity | None:
        """Return the identity with which to found a cluster, if that is due.

        Only the first of the first hosts founds, and only while all of them are new:
        a replica that lost its disk finds the others in a cluster, and mustn't start
        a second one beside it.
        """
        host = replica_host(own.replica)
        if own.cluster or not self._first_hosts or host != self._first_hosts[0]:
            return None
        others = [self.known.get(other) for other in self._first_hosts[1:]]
        if any(other is None or other.cluster for other in others):
            return None
        founders = [own.replica, *(other.replica for other in others if other)]
        return Identity(own.replica, self._draw_name(), tuple(founders))

    def join(
        self, own: Identity, cluster: str, founders: tuple[ReplicaId, ...]
    ) -> Identity | None:
        """Return the identity with which to join a founder's cluster, if it is due.

        A cluster that was founded without this replica takes it in by a change of its
        replica set, not by an introduction.
        """
        if own.cluster or not cluster or own.replica not in founders:
            return None
        return Identity(own.replica, cluster, founders)
