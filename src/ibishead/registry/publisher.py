"""The registry's side of the feed: its subscribers and the updates sent to each."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass

from ibishead.ids import HostId, TargetId
from ibishead.links import Link
from ibishead.messages import Message
from ibishead.registry.state import RouteState
from ibishead.routing.changes import RouteHistory
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskFence,
    AskPartUses,
    AskQuota,
    AskRoutes,
    AskServed,
    EngineEnded,
    FenceAnswer,
    Floors,
    MemberKind,
    MemberRecord,
    Members,
    PartSound,
    PartUsesAnswer,
    QuotaHandover,
    QuotaKept,
    RouteNotice,
    RoutesAnswer,
    ServedAnswer,
    SignsOfLife,
    Statements,
    SubscribeFeed,
)
from ibishead.routing.targets import Registration, StreamOrigin

__all__ = ["FeedPublisher"]

logger = logging.getLogger(__name__)

#: Interval between two batches of heartbeats. No urgent decision depends on them.
HEARTBEAT_BATCH_SECONDS = 0.6

#: Time for which updates about members are collected. Programs that start together
#: are announced to each other in a few batches instead of one message each.
MEMBERS_BATCH_SECONDS = 0.2


@dataclass
class _Subscriber:
    """A subscriber, and which member updates it has yet to receive.

    :param position: index of the first update in the publisher's current batch that
        it has not been sent.
    """

    member: MemberRecord
    position: int

    def needs_member(self, member: MemberRecord) -> bool:
        """Return whether the subscriber needs the address of a program.

        Stewards are dialled by gateways, and dial only registries themselves.
        """
        steward = self.member.kind is MemberKind.STEWARD
        return not steward or member.kind is MemberKind.REGISTRY

    def needs_target(self, address: str) -> bool:
        """Return whether the subscriber needs updates about a target.

        A steward needs only those about its own engine.

        :param address: ``ADDRESS:PORT`` of the target.
        """
        steward = self.member.kind is MemberKind.STEWARD
        return not steward or address == self.member.target

    @property
    def is_gateway(self) -> bool:
        """Whether the subscriber is a gateway."""
        return self.member.kind is MemberKind.GATEWAY

    @property
    def is_registry(self) -> bool:
        """Whether the subscriber is a registry itself."""
        return self.member.kind is MemberKind.REGISTRY


class FeedPublisher:
    """Sends subscribers updates about members, targets, routes and floors.

    An update received directly from a target or program goes to every subscriber. One
    relayed by another registry goes to all except registries, to prevent forwarding
    loops.

    :param take_fence: returns a new fencing number for the host that it is called with.
    :param on_registration: called with each registration received from a steward.
    :param on_subscriber: called with each program that subscribes.
    :param on_quota_question: called with each `AskQuota`.
    :param on_crash_message: called with each message about crashes of engines.
    :param list_origins: returns the origins of streams that a quorum has confirmed.
    """

    def __init__(
        self,
        state: RouteState,
        feed: RegistryFeed,
        take_fence: Callable[[str], Awaitable[int]],
        on_registration: Callable[[Registration], None],
        on_subscriber: Callable[[MemberRecord], None],
        on_quota_question: Callable[[Link, AskQuota], None],
        on_crash_message: Callable[[EngineEnded | PartUsesAnswer | PartSound], None],
        list_origins: Callable[[], Awaitable[tuple[StreamOrigin, ...]]],
    ) -> None:
        self._state = state
        self._feed = feed
        self._take_fence = take_fence
        self._on_registration = on_registration
        self._on_subscriber = on_subscriber
        self._on_quota_question = on_quota_question
        self._on_crash_message = on_crash_message
        self._list_origins = list_origins
        self._quota_term = 0
        self._subscribers: dict[Link, _Subscriber] = {}
        self._pending_members: list[tuple[MemberRecord, bool]] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self._heartbeats: dict[str, Registration] = {}
        self._history = RouteHistory()
        self._floor_index = 0
        self._blocked_index = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def count(self) -> int:
        """Number of subscribers."""
        return len(self._subscribers)

    def handle_message(self, link: Link, message: Message) -> bool:
        """Handle a message from a subscriber.

        :returns: whether the message is of a kind that the publisher handles.
        """
        match message:
            case SubscribeFeed(member, floors):
                self._add_subscriber(link, member, floors)
            case AskRoutes(held):
                self._answer_routes(link, held)
            case Statements(registrations):
                # A steward registers its engine until the engine does so itself
                for registration in registrations:
                    self._on_registration(registration)
            case AskQuota():
                self._on_quota_question(link, message)
            case EngineEnded() | PartUsesAnswer() | PartSound():
                self._on_crash_message(message)
            case AskFence(number):
                self._spawn(self._answer_fence(link, number))
            case AskServed(number):
                self._spawn(self._answer_served(link, number))
            case _:
                return False
        return True

    def remove_subscriber(self, link: Link) -> None:
        """Remove the subscriber of a closed link, if there is one."""
        subscriber = self._subscribers.pop(link, None)
        if subscriber is not None:
            logger.info(
                "subscriber disconnected", extra={"peer": subscriber.member.host}
            )

    def publish_registrations(self, registrations: tuple[Registration, ...]) -> None:
        """Send registrations that targets made at this registry to all subscribers."""
        for link, subscriber in self._subscribers.items():
            _send_registrations(link, subscriber, registrations)

    def relay_registrations(self, registrations: tuple[Registration, ...]) -> None:
        """Send registrations relayed by another registry to all but registries."""
        for link, subscriber in self._subscribers.items():
            if not subscriber.is_registry:
                _send_registrations(link, subscriber, registrations)

    def queue_heartbeat(self, registration: Registration) -> None:
        """Add a registration that changed nothing to the next batch of heartbeats."""
        self._heartbeats[registration.target] = registration

    def publish_members(self, members: Iterable[MemberRecord], relayed: bool) -> None:
        """Send new or changed members, in batches unless one of them is a registry.

        :param relayed: the members were received from another registry, which also
            sends them to the other registries.
        """
        urgent = False
        for member in members:
            self._pending_members.append((member, relayed))
            urgent = urgent or member.kind is MemberKind.REGISTRY
        if urgent:
            # Starting hosts link to the registries before anything else
            self._flush_members()
        elif self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(
                MEMBERS_BATCH_SECONDS, self._flush_members
            )

    def publish_state(self) -> None:
        """Send the version of the routes and the new floors in force here."""
        if self._state.routes is not None:
            self._history.add(self._state.routes)
        floors = self._state.list_floors(self._floor_index)
        self._floor_index = max(
            (floor.index for floor in floors), default=self._floor_index
        )
        blocked = self._state.blocked
        for link, subscriber in self._subscribers.items():
            if subscriber.is_registry:
                continue
            if blocked.index != self._blocked_index and subscriber.is_gateway:
                link.send(blocked)
            link.send(RouteNotice(self._state.version))
            if floors:
                link.send(Floors(floors, self._floor_index))
        self._blocked_index = blocked.index

    def list_gateways(self) -> list[HostId]:
        """Return the hosts of the subscribed gateways."""
        return [s.member.host for s in self._subscribers.values() if s.is_gateway]

    def ask_gateways(self, question: AskPartUses) -> int:
        """Send a question to all gateways, and return their number."""
        gateways = [link for link, s in self._subscribers.items() if s.is_gateway]
        for link in gateways:
            link.send(question)
        return len(gateways)

    def publish_quota_term(self, term: int) -> None:
        """Tell gateways and stewards that this registry keeps the quotas' accounts.

        :param term: 0 if it no longer does, of which nobody is told.
        """
        self._quota_term = term
        for link, subscriber in self._subscribers.items():
            self._send_quota_term(link, subscriber)

    def publish_handover(self, handover: QuotaHandover) -> None:
        """Send the balances of the quotas' accounts to the other registries."""
        for link, subscriber in self._subscribers.items():
            if subscriber.is_registry:
                link.send(handover)

    def _send_quota_term(self, link: Link, subscriber: _Subscriber) -> None:
        if self._quota_term and not subscriber.is_registry:
            link.send(QuotaKept(self._quota_term))

    async def run(self) -> None:
        """Send batches of heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_BATCH_SECONDS)
            if not self._heartbeats:
                continue
            batch = tuple(self._heartbeats.values())
            self._heartbeats.clear()
            message = SignsOfLife(_list_heartbeats(batch))
            for link, subscriber in self._subscribers.items():
                if subscriber.member.kind is not MemberKind.STEWARD:
                    link.send(message)
                elif own := [r for r in batch if subscriber.needs_target(r.address)]:
                    link.send(SignsOfLife(_list_heartbeats(own)))

    def _add_subscriber(self, link: Link, member: MemberRecord, floors: int) -> None:
        logger.info(
            "subscriber connected",
            extra={"peer": member.host, "kind": member.kind.value},
        )
        self._on_subscriber(member)
        subscriber = _Subscriber(member, len(self._pending_members))
        self._subscribers[link] = subscriber
        known = tuple(filter(subscriber.needs_member, self._feed.members.values()))
        link.send(Members(known))
        _send_registrations(link, subscriber, tuple(self._feed.view))
        self._send_quota_term(link, subscriber)
        if subscriber.is_registry:
            return
        if self._state.blocked.index and subscriber.is_gateway:
            # Before the routes, with which a gateway begins to serve
            link.send(self._state.blocked)
        if self._state.routes is not None:
            link.send(RouteNotice(self._state.version))
        raised = self._state.list_floors(floors)
        if raised:
            link.send(Floors(raised, max(floor.index for floor in raised)))

    def _flush_members(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        for link, subscriber in self._subscribers.items():
            unsent = tuple(
                member
                for member, relayed in self._pending_members[subscriber.position :]
                if subscriber.needs_member(member)
                and member != subscriber.member
                and not (relayed and subscriber.is_registry)
            )
            subscriber.position = 0
            if unsent:
                link.send(Members(unsent))
        self._pending_members.clear()

    def _answer_routes(self, link: Link, held: int) -> None:
        if self._state.routes is None:
            return
        if held >= self._state.version:
            link.send(RoutesAnswer(self._state.version, b"", held))
            return
        self._history.add(self._state.routes)
        base, encoded = self._history.encode(held)
        link.send(RoutesAnswer(self._state.version, encoded, base))

    async def _answer_fence(self, link: Link, number: int) -> None:
        subscriber = self._subscribers.get(link)
        try:
            fence = await self._take_fence(
                subscriber.member.host if subscriber else link.peer.host
            )
        except Exception as error:
            # The steward retries, here or at another registry, until a quorum answers
            logger.warning(
                "fencing number not allocated; the steward retries",
                extra={"reason": str(error)},
            )
            fence = 0
        link.send(FenceAnswer(number, fence))

    async def _answer_served(self, link: Link, number: int) -> None:
        origins: tuple[StreamOrigin, ...] | None = None
        try:
            origins = await self._list_origins()
        except Exception as error:
            # The gateway asks another registry, or refuses to resume the streams
            logger.warning(
                "recorded origins of streams not confirmed",
                extra={"reason": str(error)},
            )
        link.send(ServedAnswer(number, origins))

    def _spawn(self, work: Coroutine[object, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _send_registrations(
    link: Link, subscriber: _Subscriber, registrations: tuple[Registration, ...]
) -> None:
    relevant = tuple(r for r in registrations if subscriber.needs_target(r.address))
    if relevant:
        link.send(Statements(relevant))


def _list_heartbeats(
    registrations: Iterable[Registration],
) -> tuple[tuple[TargetId, int, int], ...]:
    return tuple((r.target, r.born, r.sequence) for r in registrations)
