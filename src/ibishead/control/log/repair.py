"""Automatic repair of the replica set."""

import logging

from ibishead.control.agreement import configuration
from ibishead.control.log.identity import replica_host
from ibishead.control.log.replacement import (
    RepairingReplica,
    has_new_replica,
    is_recent,
    promote,
    remove,
    replace,
)
from ibishead.errors import IbisheadError
from ibishead.ids import HostId, ReplicaId

__all__ = ["RepairMonitor"]

logger = logging.getLogger(__name__)

#: Seconds between attempts at an automatic repair, short enough that two voters lost in
#: succession are both replaced before a third may be lost.
_REPAIR_INTERVAL_SECONDS = 0.5


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
            if has_new_replica(replica, host) and found not in current.learners:
                return found
        return None

    async def add_spare(self, spare: ReplicaId) -> None:
        """Add a spare as a learner, and remove former learners of its host."""
        self._running = True
        try:
            current = self._replica.core.configuration
            for former in current.learners:
                if replica_host(former) == replica_host(spare):
                    await remove(self._replica, former)
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
                and is_recent(replica, replica_host(learner))
                and replica.core.is_caught_up(learner)
            ):
                return learner
        return None

    async def promote(self, learner: ReplicaId) -> None:
        """Promote a learner to voter."""
        self._running = True
        try:
            await promote(self._replica, learner)
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
            host for host in replica.founding.known if has_new_replica(replica, host)
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
