"""What the replicated log and the state that it carries ask of each other."""

from dataclasses import dataclass
from typing import Protocol

from ibishead.ids import HostId, ReplicaId
from ibishead.messages import PeerFrame

__all__ = ["Replica", "ReplicaSet", "StateMachine"]


@dataclass(frozen=True)
class ReplicaSet:
    """Who holds the log.

    :param voters: replicas that count for the quorum.
    :param learners: replicas that are still catching up.
    """

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()


class StateMachine(Protocol):
    """State that follows from the committed commands alone, on every replica."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result.

        The same commands in the same order give the same results everywhere. A bad
        command is answered by a result that says so; nothing is raised.

        :param index: position in the log, rising, with gaps.
        """

    def capture(self) -> bytes:
        """Return the whole state, for a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by what `capture` returned on some replica."""


class Replica(Protocol):
    """One member of the replicated log, as the rest of the control program sees it."""

    async def start(self) -> None:
        """Begin to take part; this replica's link server must listen by now."""

    def take_frame(self, frame: PeerFrame) -> None:
        """Take in what another replica sent to this one's link server."""

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        """Return the command's result, once committed.

        A follower forwards to the leader. After `LinkLost`, or `Unavailable` with
        the code ``OUTCOME_UNKNOWN``, the command may still be applied; commands are
        idempotent, so it may be proposed again.

        :param applied: wait until it is applied on this replica too, which takes for
            as long as its disk is full or slow.
        :raises Unavailable: code ``NO_QUORUM``, at once, with ``retry_after``, when
            no leader with a quorum is known; the command was not taken.
        """

    async def confirm_read(self) -> None:
        """Return once the local state holds all that was accepted before the call.

        :raises Unavailable: code ``NO_QUORUM``, with ``retry_after``.
        """

    def lease(self) -> float:
        """Return the seconds for which this replica may vouch for its state.

        It is 0 on a replica that has lost the leader, and on a leader that has lost
        its quorum.
        """

    def leader(self) -> ReplicaId | None:
        """Return the leader this replica follows, itself included."""

    def expects_leader(self) -> bool:
        """Return whether a leader is known or may be within the time of an election."""

    def is_leader(self) -> bool:
        """Return whether this replica leads and its quorum still answers."""

    def replicas(self) -> ReplicaSet:
        """Return the replica set in force."""

    def count_reached(self) -> tuple[int, int]:
        """Return how many voters a link leads to, itself included, and all voters."""

    async def transfer(self) -> None:
        """Hand the leadership to the replica that is furthest along.

        :raises Unavailable: no other replica took it in time.
        """

    async def change_replicas(self, lost: ReplicaId, host: HostId) -> ReplicaId:
        """Replace a replica by a new one on the host, and return the new one's id.

        Returns when the new replica counts and the lost one is out of the set.

        :param lost: the replica to remove; an unknown one is no error.
        :param host: a control host of the settings whose data folder is new.
        :raises Unavailable: no quorum, or the host can't be reached.
        :raises Conflict: another change of the replica set is under way.
        """

    async def stop(self) -> None:
        """Hand over leadership where possible, close links and the data folder."""
