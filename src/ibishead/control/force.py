"""Whether an accepted change is in force at every holder of documents.

A change is in force once no holder acts on what was before: every holder with a
live lease has applied it, at whatever replica it is linked.
"""

from collections import deque

from ibishead.clock import Clock
from ibishead.control.machine import Replica
from ibishead.control.publish import LEASE_SECONDS, Publisher
from ibishead.control.relay import Relay
from ibishead.control.state import ControlState
from ibishead.ids import HostId, LogIndex, ReplicaId

__all__ = ["ForceTracker", "SURE_LIMIT"]

#: Seconds for which a replica that has lost its leader may still vouch for its
#: state.
REPLICA_LEASE = 2.0

#: Seconds after which no holder can have a lease from a replica that hasn't applied
#: a change: the replica's own lease ends first, then those that it gave.
SURE_LIMIT = REPLICA_LEASE + LEASE_SECONDS

#: Changes whose moment is remembered; older ones were applied before the oldest.
MOMENTS_KEPT = 1024


class ForceTracker:
    """Asks all replicas for holders that a change hasn't reached."""

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
        self._members: dict[ReplicaId, float] = {}
        # What was applied before this process began is known to it from now on
        self._moments = deque([(LogIndex(0), clock.monotonic())], MOMENTS_KEPT)

    def note_change(self) -> None:
        """Remember when this replica applied its newest change."""
        self._moments.append((self._state.changed, self._clock.monotonic()))

    def note_replicas(self) -> None:
        """Remember who is in the replica set now, to be called every round."""
        now = self._clock.monotonic()
        replicas = self._replica.replicas()
        self._members |= dict.fromkeys((*replicas.voters, *replicas.learners), now)
        # Failure: a replica is taken out of the set while its holders still have
        # leases from it. It is asked until none of these can be left.
        self._members = {
            replica: seen
            for replica, seen in self._members.items()
            if now - seen <= SURE_LIMIT
        }

    async def find_waiting(self, index: LogIndex) -> list[HostId]:
        """Return the holders, or replicas, that the change is not known to be at."""
        waiting = set(self._publisher.list_lagging(index))
        self.note_replicas()
        for replica in list(self._members):
            if replica != self._name:
                waiting.update(await self._ask(replica, index))
        return sorted(waiting)

    async def _ask(self, replica: ReplicaId, index: LogIndex) -> set[HostId]:
        answer = await self._relay.ask_holders(replica, index)
        if answer is not None and (answer.waiting or answer.applied >= index):
            return set(answer.waiting)
        # Failure: a replica is cut off and its holders act on the old document, each
        # until its lease ends. Nobody can ask them, but none lasts beyond the limit.
        if self._clock.monotonic() >= self._find_moment(index) + SURE_LIMIT:
            return set()
        known = self._state.replicas.get(replica)
        return {known.host if known is not None else HostId(replica)}

    def _find_moment(self, index: LogIndex) -> float:
        for changed, moment in self._moments:
            if changed >= index:
                return moment
        return self._moments[-1][1]
