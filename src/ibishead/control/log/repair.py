"""Replacement of lost replicas by new ones, by an operator's command or automatic."""

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
from ibishead.errors import Conflict, ErrorCode, IbisheadError, Unavailable
from ibishead.ids import HostId, ReplicaId

__all__ = ["REPLACE_TIMEOUT_SECONDS", "RepairMonitor", "replace"]

logger = logging.getLogger(__name__)

#: Seconds within which a new replica must catch up with the log.
REPLACE_TIMEOUT_SECONDS = 120.0

#: Seconds for which the promotion of a replica that had caught up waits for it to
#: receive the entry of the last change.
_PROMOTE_TIMEOUT_SECONDS = 2.0

#: Seconds without an introduction after which a host counts as unreachable.
_INTRODUCTION_TIMEOUT_SECONDS = 5.0

#: Seconds between attempts at an automatic repair, short enough that two voters lost in
#: succession are both replaced before a third may be lost.
_REPAIR_INTERVAL_SECONDS = 0.5


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
        await _promote(replica, new)
        await _remove(replica, lost)
    logger.info("replica %s replaced by %s", lost, new)
    return new


class RepairMonitor:
    """Replaces lost replicas without an operator if a new replica is available."""

    def __init__(self, replica: RepairingReplica) -> None:
        self._replica = replica
        self._running = False
        self._next_attempt = 0.0

    def find_spare(self) -> ReplicaId | None:
        """Return an available replica that is neither voter nor learner, if any.

        As a learner, it can replace a lost voter immediately; until then it serves
        reads and forwards commands.
        """
        replica = self._replica
        if self._running or not replica.options.replace_emptied:
            return None
        current = replica.core.configuration
        for host in sorted(replica.founding.known):
            found = replica.founding.known[host].replica
            if _has_new_replica(replica, host) and found not in current.learners:
                return found
        return None

    async def add_spare(self, spare: ReplicaId) -> None:
        """Add a spare as a learner, and remove former learners of its host."""
        self._running = True
        try:
            current = self._replica.core.configuration
            for former in current.learners:
                if replica_host(former) == replica_host(spare):
                    await _remove(self._replica, former)
            current = self._replica.core.configuration
            await self._replica.change_configuration(
                configuration.add_learner(current, spare)
            )
            logger.info("spare %s added as a learner", spare)
        except IbisheadError as error:
            logger.info("spare not added as a learner", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next_attempt = (
                self._replica.clock.monotonic() + _REPAIR_INTERVAL_SECONDS
            )

    def is_due(self) -> bool:
        """Return whether a voter is lost and its replacement can start now.

        That takes an available new replica and no other repair in progress. A lost
        voter alone does no harm, but the next loss would block all changes. By default,
        a voter counts as lost only after minutes of silence, as a restart or a short
        network interruption doesn't justify copying the whole log.
        """
        now = self._replica.clock.monotonic()
        return (
            not self._running
            and now >= self._next_attempt
            and self._choose_repair() is not None
        )

    def find_promotable(self) -> ReplicaId | None:
        """Return a learner to promote if there are fewer voters than configured.

        Failure: the log was founded with fewer voters, or one was removed and its
        successor not promoted. No voter is silent, so no repair is due, and the next
        loss ends the quorum permanently.
        """
        replica = self._replica
        current = replica.core.configuration
        if self._running or len(current.voters) >= replica.options.target_voters:
            return None
        if replica.clock.monotonic() < self._next_attempt:
            return None
        for learner in current.learners:
            known = replica.founding.known.get(replica_host(learner))
            introduced = known is not None and known.replica == learner
            if (
                introduced
                and _is_recent(replica, replica_host(learner))
                and replica.core.is_caught_up(learner)
            ):
                return learner
        return None

    async def promote(self, learner: ReplicaId) -> None:
        """Promote a learner to voter."""
        self._running = True
        try:
            await _promote(self._replica, learner)
            logger.info("learner %s now votes", learner)
        except IbisheadError as error:
            logger.warning("learner not promoted yet", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next_attempt = (
                self._replica.clock.monotonic() + _REPAIR_INTERVAL_SECONDS
            )

    async def run(self) -> None:
        """Replace a voter whose host has a new replica, or that was silent longest."""
        plan = self._choose_repair()
        if plan is None:
            return
        self._running = True
        lost, host = plan
        logger.warning(
            "replica %s is lost, replacing it by the new one on %s", lost, host
        )
        try:
            await replace(self._replica, lost, host)
        except IbisheadError as error:
            logger.warning("repair failed", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next_attempt = (
                self._replica.clock.monotonic() + _REPAIR_INTERVAL_SECONDS
            )

    def _choose_repair(self) -> tuple[ReplicaId, HostId] | None:
        replica = self._replica
        core = replica.core
        if core.configuration.outgoing:
            return None
        max_silence = replica.options.repair_after / replica.options.tick_seconds
        silences = [(core.silence(voter), voter) for voter in core.configuration.voters]
        hosts = [
            host for host in replica.founding.known if _has_new_replica(replica, host)
        ]
        for _, voter in silences:
            # Failure: a voter's disk was emptied and its host has returned under a new
            # identity. The old one can never answer again, so waiting for the silence
            # would only add time in which a second loss blocks all changes.
            if replica.options.replace_emptied and replica_host(voter) in hosts:
                return voter, replica_host(voter)
        silent = [found for found in silences if found[0] >= max_silence]
        if not silent or not hosts:
            return None
        return max(silent)[1], sorted(hosts)[0]


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
        if new != replica.name and not _is_recent(replica, replica_host(new)):
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


async def _promote(replica: RepairingReplica, new: ReplicaId) -> None:
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


async def _remove(replica: RepairingReplica, lost: ReplicaId) -> None:
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
    if known is None or known.replica == lost or not _is_recent(replica, host):
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


def _has_new_replica(replica: RepairingReplica, host: HostId) -> bool:
    known = replica.founding.known[host]
    is_voter = known.replica in replica.core.configuration.voters
    return _is_recent(replica, host) and not is_voter


def _is_recent(replica: RepairingReplica, host: HostId) -> bool:
    known = replica.founding.known[host]
    return (
        replica.clock.monotonic() - known.introduced_at < _INTRODUCTION_TIMEOUT_SECONDS
    )
