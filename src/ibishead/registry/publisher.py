"""The registry's side of the feed: subscribers, and what each is told."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from ibishead.ids import TargetId
from ibishead.links import Link
from ibishead.messages import Message
from ibishead.registry.state import RouteState
from ibishead.routing.changes import RouteHistory
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskFence,
    AskRoutes,
    FenceAnswer,
    Floors,
    MemberKind,
    MemberRecord,
    Members,
    RouteNotice,
    RoutesAnswer,
    SignsOfLife,
    Statements,
    SubscribeFeed,
)
from ibishead.routing.targets import Registration

__all__ = ["FeedPublisher"]

logger = logging.getLogger(__name__)

#: Seconds between two batches of signs of life; they decide nothing in a hurry.
LIFE_INTERVAL = 0.6

#: Seconds for which news of members is gathered. Programs that start together make
#: each other known in a few batches instead of one message each.
MEMBERS_WAIT = 0.2


@dataclass
class _Subscriber:
    """What one subscriber has been told.

    :param position: in the publisher's present batch of news, from which on it hasn't
        been told.
    """

    member: MemberRecord
    position: int

    def wants_member(self, found: MemberRecord) -> bool:
        """Return whether the subscriber has to know of a program.

        Stewards are dialled by gateways, and dial nobody but registries.
        """
        steward = self.member.kind is MemberKind.STEWARD
        return not steward or found.kind is MemberKind.REGISTRY

    def wants_target(self, address: str) -> bool:
        """Return whether the subscriber has to know of a target at an address."""
        steward = self.member.kind is MemberKind.STEWARD
        return not steward or address == self.member.target

    @property
    def is_registry(self) -> bool:
        """Whether the subscriber is a registry itself."""
        return self.member.kind is MemberKind.REGISTRY


class FeedPublisher:
    """Tells subscribers of members, targets, routes and floors.

    News that came from a target or a program itself goes to everybody; news that came
    from another registry goes to all but registries, so that nothing circles.

    :param meet: called with each program that subscribes.
    """

    def __init__(
        self,
        state: RouteState,
        feed: RegistryFeed,
        take_fence: Callable[[str], Awaitable[int]],
        announce: Callable[[Registration], None],
        meet: Callable[[MemberRecord], None],
    ) -> None:
        self._state = state
        self._feed = feed
        self._take_fence = take_fence
        self._announce = announce
        self._meet = meet
        self._subscribers: dict[Link, _Subscriber] = {}
        self._news: list[tuple[MemberRecord, bool]] = []
        self._news_due: asyncio.TimerHandle | None = None
        self._alive: dict[str, Registration] = {}
        self._history = RouteHistory()
        self._floor_index = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """How many programs subscribe."""
        return len(self._subscribers)

    def take(self, link: Link, message: Message) -> bool:
        """Take a subscriber's message, and return whether it was one for here."""
        match message:
            case SubscribeFeed(member, floors):
                self._welcome(link, member, floors)
            case AskRoutes(held):
                self._answer_routes(link, held)
            case Statements(registrations):
                # a steward speaks for its engine, which has not announced itself yet
                for registration in registrations:
                    self._announce(registration)
            case AskFence(number):
                task = asyncio.create_task(self._answer_fence(link, number))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case _:
                return False
        return True

    def drop(self, link: Link) -> None:
        """Forget a subscriber whose link is over."""
        found = self._subscribers.pop(link, None)
        if found is not None:
            logger.info("subscriber lost", extra={"peer": found.member.host})

    def tell_own(self, registrations: tuple[Registration, ...]) -> None:
        """Pass on what targets have said to this registry."""
        for link, subscriber in self._subscribers.items():
            _tell_targets(link, subscriber, registrations)

    def tell_others(self, registrations: tuple[Registration, ...]) -> None:
        """Pass on what another registry has told."""
        for link, subscriber in self._subscribers.items():
            if not subscriber.is_registry:
                _tell_targets(link, subscriber, registrations)

    def note_life(self, registration: Registration) -> None:
        """Count a statement that changed nothing, for the next batch."""
        self._alive[registration.target] = registration

    def tell_members(self, members: Iterable[MemberRecord], relayed: bool) -> None:
        """Pass on who has become known, soon.

        :param relayed: another registry has told it, and tells the other ones.
        """
        urgent = False
        for member in members:
            self._news.append((member, relayed))
            urgent = urgent or member.kind is MemberKind.REGISTRY
        if urgent:
            # hosts that start link to registries before all else
            self._flush_members()
        elif self._news_due is None:
            loop = asyncio.get_running_loop()
            self._news_due = loop.call_later(MEMBERS_WAIT, self._flush_members)

    def tell_state(self) -> None:
        """Tell everybody which routes and floors are in force here."""
        if self._state.routes is not None:
            self._history.add(self._state.routes)
        floors = self._state.list_floors(self._floor_index)
        self._floor_index = max(
            (floor.index for floor in floors), default=self._floor_index
        )
        for link, subscriber in self._subscribers.items():
            if subscriber.is_registry:
                continue
            link.send(RouteNotice(self._state.version))
            if floors:
                link.send(Floors(floors, self._floor_index))

    async def run(self) -> None:
        """Send batches of signs of life until cancelled."""
        while True:
            await asyncio.sleep(LIFE_INTERVAL)
            if not self._alive:
                continue
            alive = tuple(self._alive.values())
            self._alive.clear()
            whole = SignsOfLife(_sign(alive))
            for link, subscriber in self._subscribers.items():
                if subscriber.member.kind is not MemberKind.STEWARD:
                    link.send(whole)
                elif own := [r for r in alive if subscriber.wants_target(r.address)]:
                    link.send(SignsOfLife(_sign(own)))

    def _welcome(self, link: Link, member: MemberRecord, floors: int) -> None:
        logger.info(
            "subscriber linked", extra={"peer": member.host, "kind": member.kind.value}
        )
        self._meet(member)
        subscriber = _Subscriber(member, len(self._news))
        self._subscribers[link] = subscriber
        known = tuple(filter(subscriber.wants_member, self._feed.members.values()))
        link.send(Members(known))
        _tell_targets(link, subscriber, tuple(self._feed.view))
        if subscriber.is_registry:
            return
        if self._state.routes is not None:
            link.send(RouteNotice(self._state.version))
        raised = self._state.list_floors(floors)
        if raised:
            link.send(Floors(raised, max(floor.index for floor in raised)))

    def _flush_members(self) -> None:
        if self._news_due is not None:
            self._news_due.cancel()
            self._news_due = None
        for link, subscriber in self._subscribers.items():
            fresh = tuple(
                found
                for found, relayed in self._news[subscriber.position :]
                if subscriber.wants_member(found)
                and found != subscriber.member
                and not (relayed and subscriber.is_registry)
            )
            subscriber.position = 0
            if fresh:
                link.send(Members(fresh))
        self._news.clear()

    def _answer_routes(self, link: Link, held: int) -> None:
        if self._state.routes is None:
            return
        self._history.add(self._state.routes)
        base, encoded = self._history.encode(held)
        link.send(RoutesAnswer(self._state.version, encoded, base))

    async def _answer_fence(self, link: Link, number: int) -> None:
        found = self._subscribers.get(link)
        try:
            fence = await self._take_fence(
                found.member.host if found else link.peer.host
            )
        except Exception as error:
            # The steward asks again, here or elsewhere, until a quorum answers
            logger.warning("no fencing number", extra={"reason": str(error)})
            fence = 0
        link.send(FenceAnswer(number, fence))


def _tell_targets(
    link: Link, subscriber: _Subscriber, registrations: tuple[Registration, ...]
) -> None:
    wanted = tuple(r for r in registrations if subscriber.wants_target(r.address))
    if wanted:
        link.send(Statements(wanted))


def _sign(
    registrations: Iterable[Registration],
) -> tuple[tuple[TargetId, int, int], ...]:
    return tuple((r.target, r.born, r.sequence) for r in registrations)
