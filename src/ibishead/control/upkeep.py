"""Periodic work of a replica: announce itself, retire targets, advance the time."""

import asyncio
import logging
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.agreement.membership import Member
from ibishead.control.commands import (
    AdvanceTime,
    AnnounceReplica,
    Command,
    RetireTarget,
)
from ibishead.control.granting import PermitService
from ibishead.control.liveness import OrphanTracker
from ibishead.control.log.force import InForceTracker
from ibishead.control.log.machine import Replica
from ibishead.control.relay import Relay
from ibishead.control.service import ControlService, propose_command
from ibishead.control.state import ControlState
from ibishead.errors import IbisheadError

__all__ = ["Upkeep"]

logger = logging.getLogger(__name__)

#: Time between two rounds; a small part of the time-outs that they check.
ROUND_SECONDS = 0.25

#: Time between the leader's steps of the claims' replicated time.
TIME_STEP_SECONDS = 10.0

#: Time without a lease after which clients are made to connect to other replicas. It
#: is longer than an election, so that a change of leader closes no links, and short
#: enough that agents attach elsewhere before the leader retires their targets.
LEASE_GRACE_SECONDS = 2.0


class Upkeep:
    """Runs the periodic work of one replica.

    :param announcement: returns this replica's announcement with its link endpoint.
    """

    def __init__(
        self,
        announcement: Callable[[], AnnounceReplica],
        state: ControlState,
        replica: Replica,
        service: ControlService,
        permits: PermitService,
        relay: Relay,
        force: InForceTracker,
        clock: Clock,
    ) -> None:
        self._announcement = announcement
        self._state = state
        self._replica = replica
        self._service = service
        self._permits = permits
        self._relay = relay
        self._force = force
        self._clock = clock
        self._orphan_watch = OrphanTracker()
        self._time_step_start = self._last_leased = clock.monotonic()

    async def run(self) -> None:
        """Run a round at each interval until cancelled."""
        while True:
            try:
                await self.run_round()
            except IbisheadError as error:
                # There is no quorum to propose to; the next round tries again
                logger.debug(
                    "periodic work not finished", extra={"reason": error.message}
                )
            except Exception:
                # If this loop ended, lost targets would never be retired
                logger.exception("periodic work failed")
            await asyncio.sleep(ROUND_SECONDS)

    async def run_round(self) -> None:
        """Do all work that is due.

        :raises Unavailable: there is no quorum for a command.
        """
        now = self._clock.monotonic()
        self._relay.update_links()
        self._force.record_replicas()
        if self._replica.lease() > 0:
            self._last_leased = now
        elif now - self._last_leased > LEASE_GRACE_SECONDS:
            # Failure: this replica is partitioned. Its agents' targets would be retired
            # and its entry hosts refuse requests, though other replicas could serve
            # them.
            self._last_leased = now
            await self._service.close_client_links()
            return
        await self._permits.update_leadership()
        await self._announce()
        await self._service.reattach_targets()
        for command in self._list_retirements(now):
            await self._propose(command)
            logger.info(
                "target retired: its agent is not linked to any replica",
                extra={"target": command.target},
            )
        await self._advance_time(now)

    async def _announce(self) -> None:
        announcement = self._announcement()
        published = self._state.replicas.get(announcement.replica)
        if published != announcement:
            await self._propose(announcement)

    async def _advance_time(self, now: float) -> None:
        claims = self._state.claims
        if not self._replica.is_leader() or not len(claims):
            self._time_step_start = now
        elif (elapsed := now - self._time_step_start) >= TIME_STEP_SECONDS:
            self._time_step_start = now
            await self._propose(AdvanceTime(claims.time, elapsed))

    def _list_retirements(self, now: float) -> list[RetireTarget]:
        own = self._announcement().replica
        is_leader = self._replica.is_leader()
        attached = self._service.list_attached()

        def is_linked(member: Member) -> bool:
            if member.replica == own:
                return (member.record.target, member.attachment) in attached
            # Failure: a replica crashes with targets attached to it, and no other one
            # would retire those that are lost.
            return not is_leader or self._relay.is_connected(member.replica)

        members = self._state.targets.members.values()
        return self._orphan_watch.sweep(members, is_linked, now)

    async def _propose(self, command: Command) -> None:
        await propose_command(self._replica, self._clock, command)
