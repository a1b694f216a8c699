"""Replacement of a lost replica by a new one."""

import asyncio
import logging
from datetime import timedelta
from typing import Protocol

from ibishead.clock import Clock
from ibishead.control.agreement import configuration
from ibishead.control.agreement.consensus import Consensus
from ibishead.control.agreement.peers import Configuration
from ibishead.control.log.driver import ReplicaOptions
from ibishead.control.log.founding import Founding
from ibishead.control.log.identity import replica_host
from ibishead.errors import Conflict, ErrorCode, Unavailable
from ibishead.ids import HostId, ReplicaId

__all__ = [
    "REPLACE_TIMEOUT_SECONDS",
    "RepairingReplica",
    "has_new_replica",
    "is_recent",
    "promote",
    "remove",
    "replace",
]

logger = logging.getLogger(__name__)

#: Seconds within which a new replica must catch up with the log.
REPLACE_TIMEOUT_SECONDS = 120.0

#: Seconds for which the promotion of a replica that had caught up waits for it to
#: receive the entry of the last change.
_PROMOTE_TIMEOUT_SECONDS = 2.0

#: Seconds without an introduction after which a host counts as unreachable.
_INTRODUCTION_TIMEOUT_SECONDS = 5.0


class RepairingReplica(Protocol):
    """The replica that leads, as far as a repair needs it.

    :ivar founding: the latest introduction of each host.
    """

    options: ReplicaOptions
    clock: Clock
    founding: Founding

    @property
    def name(self) -> ReplicaId:
        """This replica's id in the replica set."""

    @property
    def core(self) -> Consensus:
        """The consensus, advanced to the current time."""

    def is_leader(self) -> bool:
        """Return whether this replica is a leader whose quorum still answers."""

    async def transfer(self) -> None:
        """Transfer the leadership to the replica with the most complete log."""

    async def change_configuration(self, wanted: Configuration) -> None:
        """Change the replica set; return once that is committed."""


async def replace(
    replica: RepairingReplica, lost: ReplicaId, host: HostId
) -> ReplicaId:
    """Replace a replica by the new one that runs on a host; to be called on the leader.

    The new replica is a learner until it has caught up with the log. Then it takes the
    place of the lost voter in one exchange, so that the set never shrinks, and the
    quorum never rises above the number of live voters if the new replica fails too.

    :returns: the new replica.
    :raises Unavailable: the host has no new replica, it doesn't catch up, or the
        replica to replace is the leader, which has then transferred its leadership.
    :raises Conflict: the host's replica is a voter already, or another change of the
        replica set is in progress.
    """
    new = _find_new_replica(replica, lost, host)
    _check_size(replica, lost, new)
    await _add_and_catch_up(replica, new)
    if lost == replica.name:
        await replica.transfer()
        raise Unavailable(
            f"{lost} was the leader and has handed over the leadership",
            "repeat the command, so that the new leader removes it",
            code=ErrorCode.NOT_LEADER,
            retry_after=timedelta(seconds=replica.options.election_timeout),
        )
    await _wait_caught_up(replica, new)
    current = replica.core.configuration
    if lost in current.voters and new not in current.voters:
        wanted = configuration.exchange(current, lost, new)
        await replica.change_configuration(wanted)
    else:
        await promote(replica, new)
        await remove(replica, lost)
    logger.info("replica %s replaced by %s", lost, new)
    return new


async def _add_and_catch_up(replica: RepairingReplica, new: ReplicaId) -> None:
    current = replica.core.configuration
    if new not in current.voters and new not in current.learners:
        await replica.change_configuration(configuration.add_learner(current, new))
    deadline = replica.clock.monotonic() + REPLACE_TIMEOUT_SECONDS
    while new not in replica.core.configuration.voters:
        if replica.core.is_caught_up(new):
            return
        # Failure: the new replica has stopped. Waiting for it would delay every other
        # repair by as long.
        if new != replica.name and not is_recent(replica, replica_host(new)):
            raise Unavailable(
                f"replica {new} stopped answering before it had caught up",
                "check its host, or name another one",
                code=ErrorCode.NO_QUORUM,
            )
        if replica.clock.monotonic() >= deadline or not replica.is_leader():
            raise Unavailable(
                f"replica {new} has not caught up with the log",
                "check the new host and its links, then repeat the command",
                code=ErrorCode.NO_QUORUM,
            )
        await asyncio.sleep(replica.options.tick_seconds)


async def promote(replica: RepairingReplica, new: ReplicaId) -> None:
    """Promote a learner to voter, unless it is one."""
    if new in replica.core.configuration.voters:
        return
    await _wait_caught_up(replica, new)
    current = replica.core.configuration
    await replica.change_configuration(configuration.promote(current, new))


async def _wait_caught_up(replica: RepairingReplica, new: ReplicaId) -> None:
    """Wait until a learner has received the entry of the previous change, too."""
    deadline = replica.clock.monotonic() + _PROMOTE_TIMEOUT_SECONDS
    while (
        new not in replica.core.configuration.voters
        and not replica.core.is_caught_up(new)
        and replica.clock.monotonic() < deadline
    ):
        await asyncio.sleep(replica.options.tick_seconds)


async def remove(replica: RepairingReplica, lost: ReplicaId) -> None:
    """Remove a replica from the set, if it belongs to it."""
    current = replica.core.configuration
    if lost in current.voters or lost in current.learners:
        await replica.change_configuration(configuration.remove(current, lost))


def _find_new_replica(
    replica: RepairingReplica, lost: ReplicaId, host: HostId
) -> ReplicaId:
    if host == replica_host(replica.name) and lost != replica.name:
        # a replaced leader may have transferred the leadership to the new replica
        return replica.name
    known = replica.founding.known.get(host)
    # Failure: a host was restarted with an empty folder, but its latest introduction
    # still is that of the lost replica. Chosen as the new one, the lost replica would
    # be removed as its own replacement, and the set would be one voter short.
    if known is None or known.replica == lost or not is_recent(replica, host):
        raise Unavailable(
            f"no new replica answers on host {host}",
            "name a host from [peers] or [spares] and start ibishead-control there "
            "with an empty data folder",
            code=ErrorCode.NO_QUORUM,
        )
    return known.replica


def _check_size(replica: RepairingReplica, lost: ReplicaId, new: ReplicaId) -> None:
    """Refuse to remove a voter if the new replica doesn't add one.

    An even number of voters means that a replacement was interrupted, and it may be
    repeated.
    """
    voters = replica.core.configuration.voters
    if new in voters and lost in voters and len(voters) % 2:
        raise Conflict(
            f"replica {new} is a voter already",
            "name a host that runs a new replica or a spare",
        )


def has_new_replica(replica: RepairingReplica, host: HostId) -> bool:
    """Return whether a host has recently introduced a replica that is no voter."""
    known = replica.founding.known[host]
    is_voter = known.replica in replica.core.configuration.voters
    return is_recent(replica, host) and not is_voter


def is_recent(replica: RepairingReplica, host: HostId) -> bool:
    """Return whether a host has recently introduced its replica."""
    known = replica.founding.known[host]
    return (
        replica.clock.monotonic() - known.introduced_at < _INTRODUCTION_TIMEOUT_SECONDS
    )
