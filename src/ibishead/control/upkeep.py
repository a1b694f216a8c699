"""What a replica does by the clock: announce itself, retire targets, move time."""

import asyncio
import logging
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.commands import (
    AdvanceTime,
    AnnounceReplica,
    Command,
    RetireTarget,
)
from ibishead.control.force import ForceTracker
from ibishead.control.granting import PermitService
from ibishead.control.liveness import OrphanWatch
from ibishead.control.machine import Replica
from ibishead.control.membership import Member
from ibishead.control.relay import Relay
from ibishead.control.service import ControlService, propose_command
from ibishead.control.state import ControlState
from ibishead.errors import IbisheadError

__all__ = ["Upkeep"]

logger = logging.getLogger(__name__)

#: Seconds between rounds; a small part of the limits that are watched.
ROUND_INTERVAL = 0.25

#: Seconds between the leader's steps of the claims' time.
TIME_INTERVAL = 10.0

#: Seconds without a lease after which peers are sent to other replicas. Longer than
#: an election, so that a change of leader breaks no links; short enough that agents
#: attach elsewhere before the leader takes them for dead.
LEASE_GRACE = 2.0


class Upkeep:
    """Runs one replica's rounds.

    :param announcement: returns where this replica serves links.
    """

    def __init__(
        self,
        announcement: Callable[[], AnnounceReplica],
        state: ControlState,
        replica: Replica,
        service: ControlService,
        permits: PermitService,
        relay: Relay,
        force: ForceTracker,
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
        self._watch = OrphanWatch()
        self._counted_to = self._leased_at = clock.monotonic()

    async def run(self) -> None:
        """Do rounds until cancelled."""
        while True:
            try:
                await self.do_round()
            except IbisheadError as error:
                # Without a quorum nothing is due; the next round tries again
                logger.debug("round not finished", extra={"reason": error.message})
            except Exception:
                # Rounds that end for good would leave dead targets in every view
                logger.exception("round failed")
            await asyncio.sleep(ROUND_INTERVAL)

    async def do_round(self) -> None:
        """Do all that is due.

        :raises Unavailable: there is no quorum for it.
        """
        now = self._clock.monotonic()
        self._relay.review()
        self._force.note_replicas()
        if self._replica.lease() > 0:
            self._leased_at = now
        elif now - self._leased_at > LEASE_GRACE:
            # Failure: this replica is cut off; its agents would be taken for dead
            # and its entries refuse work, though other replicas could serve them.
            self._leased_at = now
            await self._service.drop_links()
            return
        await self._permits.update_leadership()
        await self._announce()
        await self._service.attach_again()
        for command in self._list_due(now):
            await self._propose(command)
            logger.info("target is gone", extra={"target": command.target})
        await self._advance_time(now)

    async def _announce(self) -> None:
        announcement = self._announcement()
        known = self._state.replicas.get(announcement.replica)
        if known != announcement:
            await self._propose(announcement)

    async def _advance_time(self, now: float) -> None:
        claims = self._state.claims
        if not self._replica.is_leader() or not len(claims):
            self._counted_to = now
        elif (elapsed := now - self._counted_to) >= TIME_INTERVAL:
            self._counted_to = now
            await self._propose(AdvanceTime(claims.time, elapsed))

    def _list_due(self, now: float) -> list[RetireTarget]:
        own = self._announcement().replica
        leads = self._replica.is_leader()
        attached = self._service.list_attached()

        def is_watched(member: Member) -> bool:
            if member.replica == own:
                return (member.record.target, member.attachment) in attached
            # Failure: a replica dies with targets attached to it, and nobody else
            # would notice that they are gone.
            return not leads or self._relay.reaches(member.replica)

        members = self._state.targets.members.values()
        return self._watch.sweep(members, is_watched, now)

    async def _propose(self, command: Command) -> None:
        await propose_command(self._replica, self._clock, command)
