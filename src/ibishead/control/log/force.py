"""Checks whether an accepted change is in force at every holder of documents.

A change is in force once no holder uses the previous state any more: every holder with
a valid lease has applied it, whichever replica it is linked to.
"""

from collections import deque

from ibishead.clock import Clock
from ibishead.control.log.machine import Replica
from ibishead.control.publish import LEASE_SECONDS, Publisher
from ibishead.control.relay import Relay
from ibishead.control.state import ControlState
from ibishead.ids import HostId, LogIndex, ReplicaId

__all__ = ["InForceTracker", "LEASE_LIMIT_SECONDS"]

#: Longest lease in seconds of a replica that has lost its leader, for which its state
#: still counts as current.
REPLICA_LEASE_SECONDS = 2.0

#: Seconds after which no holder can have a lease from a replica that hasn't applied a
#: change: first the replica's own lease ends, then those that it granted.
LEASE_LIMIT_SECONDS = REPLICA_LEASE_SECONDS + LEASE_SECONDS

#: Number of changes whose time of application is stored; older ones were applied before
#: the oldest of these.
MAX_APPLY_TIMES = 1024


class InForceTracker:
    """Finds the holders, at all replicas, that haven't applied a change."""

    def __init__(
        self,
        name: ReplicaId,
        state: ControlState,
        replica: Replica,
        publisher: Publisher,
        relay: Relay,
        clock: Clock,
    ) -> None:
        self._name = name
        self._state = state
        self._replica = replica
        self._publisher = publisher
        self._relay = relay
        self._clock = clock
        self._recent_replicas: dict[ReplicaId, float] = {}
        # changes applied before this process started count from now on
        self._apply_times = deque([(LogIndex(0), clock.monotonic())], MAX_APPLY_TIMES)

    def record_change(self) -> None:
        """Record the time at which this replica applied its latest change."""
        self._apply_times.append((self._state.changed, self._clock.monotonic()))

    def record_replicas(self) -> None:
        """Record the current members of the replica set; to be called every round."""
        now = self._clock.monotonic()
        replicas = self._replica.replicas()
        self._recent_replicas |= dict.fromkeys(
            (*replicas.voters, *replicas.learners), now
        )
        # Failure: a replica is removed from the set while holders still have leases
        # from it. It is asked until the last of these must have ended.
        self._recent_replicas = {
            replica: seen
            for replica, seen in self._recent_replicas.items()
            if now - seen <= LEASE_LIMIT_SECONDS
        }

    async def find_waiting(self, index: LogIndex) -> list[HostId]:
        """Return the holders that may not have applied a change.

        A replica that doesn't answer or hasn't applied the change itself is listed by
        its host, until the leases of its holders must have ended.

        :param index: log index of the change.
        """
        waiting = set(self._publisher.list_lagging(index))
        self.record_replicas()
        for replica in list(self._recent_replicas):
            if replica != self._name:
                waiting.update(await self._ask(replica, index))
        return sorted(waiting)

    async def _ask(self, replica: ReplicaId, index: LogIndex) -> set[HostId]:
        answer = await self._relay.ask_holders(replica, index)
        if answer is not None and (answer.waiting or answer.applied >= index):
            return set(answer.waiting)
        # Failure: a replica is unreachable and its holders use the old document, each
        # until its lease ends. They can't be asked, but no lease outlasts the limit.
        if (
            self._clock.monotonic()
            >= self._find_apply_time(index) + LEASE_LIMIT_SECONDS
        ):
            return set()
        known = self._state.replicas.get(replica)
        return {known.host if known is not None else HostId(replica)}

    def _find_apply_time(self, index: LogIndex) -> float:
        for changed, applied_at in self._apply_times:
            if changed >= index:
                return applied_at
        return self._apply_times[-1][1]
