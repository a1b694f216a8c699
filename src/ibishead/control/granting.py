"""Permits between the agents, their replica and the leader.

The leader keeps the book; the other replicas pass asks on to it and answers back.
"""

import asyncio
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.machine import Replica
from ibishead.control.permits import TAKEOVER_PAUSE, LoadId, PermitBook
from ibishead.control.state import ControlState
from ibishead.errors import ErrorCode, IbisheadError
from ibishead.ids import ReplicaId
from ibishead.links import Link
from ibishead.messages import (
    AskPermit,
    Message,
    PermitAnswer,
    Refusal,
    ReleasePermit,
    Role,
)

__all__ = ["PermitDesk"]

#: Routes kept for answers on their way; the oldest is forgotten first.
MAX_ROUTES = 4096

#: Seconds after which a refused agent may ask again: a new leader is found by then.
RETRY_AFTER = 0.5


class PermitDesk:
    """One replica's part in granting permits.

    :param forward: sends a message to a replica, and returns whether it is linked.
    """

    def __init__(
        self,
        state: ControlState,
        replica: Replica,
        forward: Callable[[ReplicaId, Message], bool],
        clock: Clock,
    ) -> None:
        self._state = state
        self._replica = replica
        self._forward = forward
        self._clock = clock
        self._book: PermitBook | None = None
        self._routes: dict[LoadId, Link] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def in_flight(self) -> int:
        """Permits in use as far as this replica has granted them."""
        return self._book.in_flight if self._book is not None else 0

    @property
    def waiting(self) -> int:
        """Asks that wait for this replica."""
        return self._book.waiting if self._book is not None else 0

    async def review(self) -> None:
        """Open a book when this replica begins to lead, close it when it ends."""
        if not self._replica.is_leader():
            self._book = None
        elif self._book is None:
            try:
                await self._replica.confirm_read()
            except IbisheadError:
                return
            now = self._clock.monotonic()
            # Permits go to registered targets only, so that nobody holds one yet
            # when none has ever been registered.
            pause = 0.0 if self._state.targets.is_unused else TAKEOVER_PAUSE
            self._book = PermitBook(now + pause)

    def ask(self, link: Link, ask: AskPermit) -> None:
        """Take an ask from an agent, or from a replica that passes it on."""
        load = LoadId(ask.target, ask.incarnation, ask.number)
        self._routes.pop(load, None)
        self._routes[load] = link
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        if self._may_grant() and self._book is not None:
            if self._state.targets.is_live(ask.target, ask.incarnation):
                repeated = self._book.ask(ask, self._clock.monotonic())
                if repeated is not None:
                    self.deliver(repeated)
                self._grant()
            return
        leader = self._replica.leader()
        # One hop only: two replicas that each take the other for the leader would
        # send an ask to and fro.
        stays = link.peer.role is Role.CONTROL or self._replica.is_leader()
        if stays or leader is None or not self._forward(leader, ask):
            link.send(
                Refusal(
                    str(ask.number),
                    ErrorCode.NOT_LEADER,
                    "no leader can be reached for permits",
                    RETRY_AFTER,
                    leader or ReplicaId(""),
                )
            )

    def release(self, link: Link, release: ReleasePermit) -> None:
        """Take a permit back."""
        load = LoadId(release.target, release.incarnation, release.number)
        self._routes.pop(load, None)
        if self._book is not None:
            self._book.release(release, self._clock.monotonic())
            self._grant()
            return
        leader = self._replica.leader()
        if leader is not None and link.peer.role is not Role.CONTROL:
            self._forward(leader, release)

    def deliver(self, answer: PermitAnswer) -> None:
        """Send a permit on toward the agent that asked for it."""
        load = LoadId(answer.target, answer.incarnation, answer.number)
        link = self._routes.get(load)
        if link is not None:
            link.send(answer)

    def stop(self) -> None:
        """Grant nothing more."""
        self._book = None
        if self._timer is not None:
            self._timer.cancel()

    def _may_grant(self) -> bool:
        # Failure: a leader is cut off and doesn't know yet that another one leads.
        # While its lease holds no other can have been elected, so that the pause of
        # the next one covers all that this one grants.
        return self._replica.is_leader() and self._replica.lease() > 0

    def _grant(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._book is None or not self._may_grant():
            return
        now = self._clock.monotonic()
        for answer in self._book.grant(now):
            self.deliver(answer)
        moment = self._book.find_next(now)
        if moment is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(moment - now, 0.001), self._grant)
