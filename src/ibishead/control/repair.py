"""Takes new replicas in and lost ones out, by an operator's wish or unattended."""

import asyncio
import logging
from datetime import timedelta
from typing import TYPE_CHECKING

from ibishead.control import configuration
from ibishead.control.identity import replica_host
from ibishead.errors import Conflict, ErrorCode, IbisheadError, Unavailable
from ibishead.ids import HostId, ReplicaId

if TYPE_CHECKING:
    from ibishead.control.replica import LogReplica

__all__ = ["REPLACE_LIMIT", "Watch", "replace"]

logger = logging.getLogger(__name__)

#: Seconds in which a new replica must have caught up.
REPLACE_LIMIT = 120.0

#: Seconds for which the promotion of a replica that has held the whole log waits for
#: the entry in between.
_PROMOTE_LIMIT = 2.0

#: Seconds without an introduction after which a spare counts as gone.
_HEARD_LIMIT = 5.0

#: Seconds between two tries of an unattended repair; short, so that two voters lost in
#: turn are both replaced before a third may go.
_REPAIR_INTERVAL = 0.5


async def replace(replica: "LogReplica", lost: ReplicaId, host: HostId) -> ReplicaId:
    """Replace a replica by the new one that runs on a host; to be called on the leader.

    The new one is a learner until it holds the log. Then a silent voter leaves first,
    as the two together would ask for more hosts than are alive, should the new one
    fail too. A voter that still answers leaves last, so that the set never shrinks.

    :raises Unavailable: the host has no new replica, or it doesn't catch up.
    :raises Conflict: the host's replica is a voter already, or another change of the
        replica set is under way.
    """
    fresh = _find_fresh(replica, lost, host)
    _check_size(replica, lost, fresh)
    await _take_in(replica, fresh)
    if lost == replica.name:
        await _promote(replica, fresh)
        await replica.transfer()
        raise Unavailable(
            f"{lost} led and has handed over",
            "ask again; the new leader removes it",
            code=ErrorCode.NOT_LEADER,
            retry_after=timedelta(seconds=replica.pace.election),
        )
    superseded = replica_host(lost) == replica_host(fresh)
    if superseded or replica.core.silence(lost) >= replica.pace.timing.election:
        await _take_out(replica, lost)
        await _promote(replica, fresh)
    else:
        await _promote(replica, fresh)
        await _take_out(replica, lost)
    logger.info("replica %s replaced by %s", lost, fresh)
    return fresh


class Watch:
    """Replaces lost replicas without an operator, where a new one is at hand."""

    def __init__(self, replica: "LogReplica") -> None:
        self._replica = replica
        self._running = False
        self._next = 0.0

    def find_spare(self) -> ReplicaId | None:
        """Return a new replica that holds no copy of the log yet, if one is at hand.

        As a learner it can take a lost voter's place at once, and answers reads and
        passes on commands meanwhile.
        """
        replica = self._replica
        if self._running or not replica.pace.readmit:
            return None
        current = replica.core.configuration
        for host in sorted(replica.founding.known):
            found = replica.founding.known[host].replica
            if _has_fresh(replica, host) and found not in current.learners:
                return found
        return None

    async def take_spare(self, spare: ReplicaId) -> None:
        """Make a spare a learner, in place of former replicas of its host."""
        self._running = True
        try:
            current = self._replica.core.configuration
            for former in current.learners:
                if replica_host(former) == replica_host(spare):
                    await _take_out(self._replica, former)
            current = self._replica.core.configuration
            await self._replica.change_configuration(
                configuration.add_learner(current, spare)
            )
            logger.info("spare %s follows the log", spare)
        except IbisheadError as error:
            logger.info("spare not taken in", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next = self._replica.clock.monotonic() + _REPAIR_INTERVAL

    def is_due(self) -> bool:
        """Return whether a voter is lost, a new replica is there and none is under way.

        A lost voter costs nothing by itself, but the next loss would stop all changes.
        It counts as lost only after minutes, as a restart or a short cut is no reason
        to copy the whole log.
        """
        now = self._replica.clock.monotonic()
        return not self._running and now >= self._next and self._plan() is not None

    def find_missing(self) -> ReplicaId | None:
        """Return a learner to promote where voters are too few.

        Failure: a replacement removes the lost voter and is then interrupted, by a
        change of leader or a learner that lags. Nothing is silent any more, so no
        repair is due, and the next loss ends the quorum for good.
        """
        replica = self._replica
        current = replica.core.configuration
        if self._running or len(current.voters) >= replica.pace.voters:
            return None
        if replica.clock.monotonic() < self._next:
            return None
        for learner in current.learners:
            known = replica.founding.known.get(replica_host(learner))
            heard = known is not None and known.replica == learner
            if (
                heard
                and _is_heard(replica, replica_host(learner))
                and replica.core.is_caught_up(learner)
            ):
                return learner
        return None

    async def promote(self, learner: ReplicaId) -> None:
        """Make a learner a voter."""
        self._running = True
        try:
            await _promote(self._replica, learner)
            logger.info("learner %s votes", learner)
        except IbisheadError as error:
            logger.warning("learner doesn't vote yet", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next = self._replica.clock.monotonic() + _REPAIR_INTERVAL

    async def run(self) -> None:
        """Replace the voter that has been silent longest."""
        plan = self._plan()
        if plan is None:
            return
        self._running = True
        lost, host = plan
        logger.warning("replica %s is lost, replacing it by one on %s", lost, host)
        try:
            await replace(self._replica, lost, host)
        except IbisheadError as error:
            logger.warning("repair not finished", extra={"reason": str(error)})
        finally:
            self._running = False
            self._next = self._replica.clock.monotonic() + _REPAIR_INTERVAL

    def _plan(self) -> tuple[ReplicaId, HostId] | None:
        replica = self._replica
        core = replica.core
        limit = replica.pace.repair / replica.pace.tick
        lost = [(core.silence(voter), voter) for voter in core.configuration.voters]
        hosts = [host for host in replica.founding.known if _has_fresh(replica, host)]
        for _, voter in lost:
            # Failure: a voter's disk was emptied and its host is back under another
            # identity. The old one can never answer again, so nothing is gained by
            # waiting out a silence, in which a second loss would stop all changes.
            if replica.pace.readmit and replica_host(voter) in hosts:
                return voter, replica_host(voter)
        silent = [found for found in lost if found[0] >= limit]
        if not silent or not hosts:
            return None
        return max(silent)[1], sorted(hosts)[0]


async def _take_in(replica: "LogReplica", fresh: ReplicaId) -> None:
    current = replica.core.configuration
    if fresh not in current.voters and fresh not in current.learners:
        await replica.change_configuration(configuration.add_learner(current, fresh))
    limit = replica.clock.monotonic() + REPLACE_LIMIT
    while fresh not in replica.core.configuration.voters:
        if replica.core.is_caught_up(fresh):
            return
        # Failure: the new replica is gone again. Waiting for it would keep every other
        # repair back for as long.
        if fresh != replica.name and not _is_heard(replica, replica_host(fresh)):
            raise Unavailable(
                f"replica {fresh} is gone before it has caught up",
                "check its host, or name another one",
                code=ErrorCode.NO_QUORUM,
            )
        if replica.clock.monotonic() >= limit or not replica.is_leader():
            raise Unavailable(
                f"replica {fresh} has not caught up with the log",
                "check the new host and its links, then ask again",
                code=ErrorCode.NO_QUORUM,
            )
        await asyncio.sleep(replica.pace.tick)


async def _promote(replica: "LogReplica", fresh: ReplicaId) -> None:
    if fresh in replica.core.configuration.voters:
        return
    # the change before it may not have reached the new replica yet
    limit = replica.clock.monotonic() + _PROMOTE_LIMIT
    while not replica.core.is_caught_up(fresh) and replica.clock.monotonic() < limit:
        await asyncio.sleep(replica.pace.tick)
    current = replica.core.configuration
    await replica.change_configuration(configuration.promote(current, fresh))


async def _take_out(replica: "LogReplica", lost: ReplicaId) -> None:
    current = replica.core.configuration
    if lost in current.voters or lost in current.learners:
        await replica.change_configuration(configuration.remove(current, lost))


def _find_fresh(replica: "LogReplica", lost: ReplicaId, host: HostId) -> ReplicaId:
    if host == replica_host(replica.name) and lost != replica.name:
        # the new replica itself leads when a replaced leader has handed over to it
        return replica.name
    known = replica.founding.known.get(host)
    # Failure: a host is started anew with an empty folder, and the last that was
    # heard from it is the lost replica's own introduction. Taken for the new one it
    # would be removed as its own replacement, and the set would be one short.
    if known is None or known.replica == lost or not _is_heard(replica, host):
        raise Unavailable(
            f"no new replica answers on host {host}",
            "name a host of [peers] or [spares] and start ibishead-control there "
            "with an empty data folder",
            code=ErrorCode.NO_QUORUM,
        )
    return known.replica


def _check_size(replica: "LogReplica", lost: ReplicaId, fresh: ReplicaId) -> None:
    """Refuse to remove a voter where no other takes its place.

    An even set is one in the middle of a replacement, which may be asked for again.
    """
    voters = replica.core.configuration.voters
    if fresh in voters and lost in voters and len(voters) % 2:
        raise Conflict(
            f"replica {fresh} counts already",
            "name a host that runs a new replica or a spare",
        )


def _has_fresh(replica: "LogReplica", host: HostId) -> bool:
    known = replica.founding.known[host]
    is_voter = known.replica in replica.core.configuration.voters
    return _is_heard(replica, host) and not is_voter


def _is_heard(replica: "LogReplica", host: HostId) -> bool:
    known = replica.founding.known[host]
    return replica.clock.monotonic() - known.heard < _HEARD_LIMIT
