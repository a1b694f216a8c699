"""Interfaces between the replicated log and the state machine that it drives."""

from dataclasses import dataclass
from typing import Protocol

from ibishead.ids import HostId, ReplicaId
from ibishead.messages import PeerFrame

__all__ = ["Replica", "ReplicaSet", "StateMachine"]


@dataclass(frozen=True)
class ReplicaSet:
    """The members of the replica set.

    :param voters: replicas that count for the quorum.
    :param learners: replicas that receive the log without a vote until they have
        caught up.
    """

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()


class StateMachine(Protocol):
    """Deterministic state: a function of the committed commands alone."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result.

        The same commands in the same order give the same results on every replica.
        An invalid command gives an error result; nothing is raised.

        :param index: position in the log; it increases from call to call, with gaps.
        """

    def capture(self) -> bytes:
        """Return the complete state, for a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by one that `capture` returned on any replica."""


class Replica(Protocol):
    """A member of the replicated log, as the other parts of the program use it."""

    async def start(self) -> None:
        """Join the replica set; this replica's link server must be listening."""

    def receive_frame(self, frame: PeerFrame) -> None:
        """Handle a frame that another replica sent to this one's link server."""

    async def propose(self, command: bytes, *, applied: bool = True) -> bytes:
        """Propose a command and return its result once it is committed.

        A follower forwards it to the leader. After `LinkLost`, or `Unavailable` with
        the code ``OUTCOME_UNKNOWN``, the command may still be applied; commands are
        idempotent, so it may be proposed again.

        :param applied: also wait until this replica has applied the command; while
            its disk is full or slow, this wait lasts as long.
        :raises Unavailable: code ``NO_QUORUM``, without delay and with
            ``retry_after``, when no leader with a quorum is known; the command was
            not accepted.
        """

    async def confirm_read(self) -> None:
        """Wait until the local state includes all that was accepted before the call.

        :raises Unavailable: code ``NO_QUORUM``, with ``retry_after``.
        """

    def lease(self) -> float:
        """Return the remaining seconds of this replica's lease on its state.

        It is 0 on a replica that has lost contact with the leader, and on a leader
        that has lost its quorum.
        """

    def leader(self) -> ReplicaId | None:
        """Return the leader that this replica knows, which may be itself."""

    def expects_leader(self) -> bool:
        """Return whether a leader is known or may be elected within one election."""

    def is_leader(self) -> bool:
        """Return whether this replica is the leader and its quorum still responds."""

    def replicas(self) -> ReplicaSet:
        """Return the current replica set."""

    def count_linked_voters(self) -> tuple[int, int]:
        """Return the number of linked voters, itself included, and of all voters."""

    async def transfer(self) -> None:
        """Transfer the leadership to the replica with the most complete log.

        :raises Unavailable: no other replica became leader in time.
        """

    async def change_replicas(self, lost: ReplicaId, host: HostId) -> ReplicaId:
        """Replace a replica by a new one on the host, and return the new one's id.

        Returns when the new replica is a voter and the lost one has left the set.

        :param lost: the replica to remove; an unknown one is not an error.
        :param host: a control host of the settings whose data folder is new.
        :raises Unavailable: no quorum, or the host can't be reached.
        :raises Conflict: another change of the replica set is in progress.
        """

    async def stop(self) -> None:
        """Transfer leadership if possible, then close the links and the data folder."""
