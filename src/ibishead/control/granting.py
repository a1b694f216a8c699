"""Routing of load permits between the agents, their replica and the leader.

The leader allocates the permits; the other replicas forward requests to it and
deliver its answers.
"""

import asyncio
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.log.machine import Replica
from ibishead.control.permits import TAKEOVER_PAUSE_SECONDS, LoadId, PermitAllocator
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

__all__ = ["PermitService"]

#: Requests whose link is remembered for the answer; the oldest is dropped first.
MAX_ROUTES = 4096

#: Time after which a refused agent may retry; a new leader is elected by then.
RETRY_AFTER_SECONDS = 0.5


class PermitService:
    """Serves permit requests at one replica.

    :param forward: sends a message to a replica and returns whether it is linked.
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
        self._allocator: PermitAllocator | None = None
        self._routes: dict[LoadId, Link] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def in_flight(self) -> int:
        """Number of permits in use that this replica has granted; 0 on a follower."""
        return self._allocator.in_flight if self._allocator is not None else 0

    @property
    def waiting(self) -> int:
        """Number of requests queued at this replica; 0 on a follower."""
        return self._allocator.waiting if self._allocator is not None else 0

    async def update_leadership(self) -> None:
        """Start allocating when this replica becomes leader, stop when it ceases to.

        To be called regularly.
        """
        if not self._replica.is_leader():
            self._allocator = None
        elif self._allocator is None:
            try:
                await self._replica.confirm_read()
            except IbisheadError:
                return
            now = self._clock.monotonic()
            # Permits go to registered targets only: while no target has ever been
            # registered there are none of a predecessor to wait for.
            pause = 0.0 if self._state.targets.is_unused else TAKEOVER_PAUSE_SECONDS
            self._allocator = PermitAllocator(now + pause)

    def handle_request(self, link: Link, request: AskPermit) -> None:
        """Handle a request of an agent, or one that another replica forwards."""
        load = LoadId(request.target, request.incarnation, request.number)
        self._routes.pop(load, None)
        self._routes[load] = link
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        if self._may_grant() and self._allocator is not None:
            if self._state.targets.is_live(request.target, request.incarnation):
                repeated = self._allocator.add_request(request, self._clock.monotonic())
                if repeated is not None:
                    self.deliver(repeated)
                self._grant()
            return
        leader = self._replica.leader()
        # One hop only: two replicas that each take the other for the leader would
        # forward a request back and forth.
        is_final = link.peer.role is Role.CONTROL or self._replica.is_leader()
        if is_final or leader is None or not self._forward(leader, request):
            link.send(
                Refusal(
                    str(request.number),
                    ErrorCode.NOT_LEADER,
                    "no leader is available to grant permits",
                    RETRY_AFTER_SECONDS,
                    leader or ReplicaId(""),
                )
            )

    def release(self, link: Link, release: ReleasePermit) -> None:
        """Handle the release of a permit, on a follower by forwarding it."""
        load = LoadId(release.target, release.incarnation, release.number)
        self._routes.pop(load, None)
        if self._allocator is not None:
            self._allocator.release(release, self._clock.monotonic())
            self._grant()
            return
        leader = self._replica.leader()
        if leader is not None and link.peer.role is not Role.CONTROL:
            self._forward(leader, release)

    def deliver(self, answer: PermitAnswer) -> None:
        """Send a permit over the link that its request came from."""
        load = LoadId(answer.target, answer.incarnation, answer.number)
        link = self._routes.get(load)
        if link is not None:
            link.send(answer)

    def stop(self) -> None:
        """Stop granting permits."""
        self._allocator = None
        if self._timer is not None:
            self._timer.cancel()

    def _may_grant(self) -> bool:
        # Failure: a leader is partitioned and doesn't know yet that another one was
        # elected. While its lease is valid no other can have been elected, so that the
        # pause of the next leader covers all permits that this one grants.
        return self._replica.is_leader() and self._replica.lease() > 0

    def _grant(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._allocator is None or not self._may_grant():
            return
        now = self._clock.monotonic()
        for answer in self._allocator.grant(now):
            self.deliver(answer)
        moment = self._allocator.find_next_start(now)
        if moment is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(moment - now, 0.001), self._grant)
