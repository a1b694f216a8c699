"""The links of a program to all registries, and the state received over them.

Targets and members are soft state: any registry may send them, also one that is
partitioned from the others. Route sets and floors come from the replicated log, and
their versions only rise.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from ibishead.clock import Clock
from ibishead.errors import IbisheadError, LinkLost
from ibishead.ids import HostId, PartKey, ServiceName, TargetId
from ibishead.links import Dialer, Endpoint, HeartbeatTiming, Link, dial
from ibishead.messages import Hello, Message, Role
from ibishead.routing.changes import RouteChange, apply_change, unpack
from ibishead.routing.messages import (
    AdapterFloor,
    AskRoutes,
    BlockedPart,
    BlockedParts,
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
from ibishead.routing.routes import RouteSet, ServiceSpec
from ibishead.routing.targets import Registration, TargetView, WeightKey
from ibishead.waiting import wait_for_event

__all__ = ["FEED_PACE", "RegistryFeed"]

logger = logging.getLogger(__name__)

#: Heartbeat settings of a link to a registry. A silent link must be replaced soon,
#: because it delivers no updates of what is in force elsewhere.
FEED_PACE = HeartbeatTiming(interval=0.9, timeout=2.4, mutual=True)

#: Initial and maximum delay between two attempts to reach a registry.
REDIAL_MIN_SECONDS = 0.1
REDIAL_MAX_SECONDS = 0.3

#: Time after which an unreachable registry that is not a seed is no longer dialled.
FORGET_AFTER_SECONDS = 120.0

#: Time after which an unanswered request for routes is sent to another registry.
ROUTES_TIMEOUT_SECONDS = 0.5

#: Time between two checks for a newer route set that requests may cause, and time for
#: which a request waits for the answer. Requests with invented keys or paths must not
#: load the registries.
REFRESH_INTERVAL_SECONDS = 0.25
REFRESH_TIMEOUT_SECONDS = 0.25

#: Maximum number of blocked prompt parts that a log line names.
MAX_LOGGED_PARTS = 20

#: Time without a registration or heartbeat after which a ready target is removed.
TARGET_TIMEOUT_SECONDS = 45.0


class RegistryFeed:
    """Maintains links to all registries, and one merged view of what they send.

    :param member: the record by which this program announces itself.
    :param seeds: link endpoints of the registries that are dialled first.
    :param on_routes: called with each route set that comes into force here.
    :param on_registrations: called with registrations that changed the view.
    :param on_members: called with new or changed members received from a registry.
    :param on_message: called with any other message from a registry.
    :param on_blocked: called when the blocked prompt parts have changed.
    :param on_link: called with each new link to a registry.
    :ivar members: the known programs. A host may run one program of each kind.
    :ivar floors: the minimum version in force for each adapter.
    :ivar floor_received_at: when each floor was received, in monotonic seconds.
    :ivar blocked: the blocked prompt parts, by part.
    """

    def __init__(
        self,
        member: MemberRecord,
        seeds: tuple[Endpoint, ...],
        clock: Clock,
        *,
        on_routes: Callable[[RouteSet], None] | None = None,
        on_registrations: Callable[[tuple[Registration, ...]], None] | None = None,
        on_members: Callable[[list[MemberRecord]], None] | None = None,
        on_message: Callable[[Link, Message], None] | None = None,
        on_blocked: Callable[[], None] = lambda: None,
        on_link: Callable[[Link], None] = lambda _: None,
        dialer: Dialer = dial,
    ) -> None:
        self.member = member
        self.view = TargetView()
        self.routes: RouteSet | None = None
        #: Set once a route set is in force.
        self.routes_known = asyncio.Event()
        self.members: dict[tuple[HostId, MemberKind], MemberRecord] = {
            (member.host, member.kind): member
        }
        self.floors: dict[WeightKey, AdapterFloor] = {}
        self.floor_received_at: dict[WeightKey, float] = {}
        self.blocked: dict[PartKey, BlockedPart] = {}
        self._blocked_index = 0
        self.links: dict[Endpoint, Link] = {}
        self._floor_index = 0
        self._clock = clock
        self._on_routes = on_routes or _discard
        self._on_registrations = on_registrations or _discard
        self._on_members = on_members or _discard
        self._on_message = on_message or _discard_message
        self._on_blocked = on_blocked
        self._on_link = on_link
        self._dial = dialer
        self._seeds = seeds
        self._own = Endpoint(member.address, member.port)
        self._link_tasks: dict[Endpoint, asyncio.Task[None]] = {}
        self._offered_versions: dict[Endpoint, int] = {}
        self._requested_at = -ROUTES_TIMEOUT_SECONDS
        #: Version sent with requests for routes, so that the answer can be a change
        #: to it; 0 requests the whole set, also after a change that failed to apply.
        self._held_version = 0
        self._refresh: asyncio.Task[None] | None = None
        self._refresh_answered = asyncio.Event()
        self._refreshed_at = -REFRESH_INTERVAL_SECONDS
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def version(self) -> int:
        """Version of the route set in force here, 0 if there is none."""
        return 0 if self.routes is None else self.routes.version

    def start(self) -> None:
        """Start dialling the seeds."""
        self.replace_seeds(self._seeds)
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """Close all links."""
        tasks = [*self._tasks, *self._link_tasks.values()]
        if self._refresh is not None:
            tasks.append(self._refresh)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def replace_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Replace the seeds, and dial those that are new.

        Links to the previous seeds remain as long as these can be reached.
        """
        self._seeds = seeds
        for endpoint in seeds:
            self._ensure_link(endpoint)

    def list_members(self, kind: MemberKind) -> list[MemberRecord]:
        """Return the known programs of one kind."""
        return [member for member in self.members.values() if member.kind is kind]

    def list_log_registries(self) -> list[tuple[MemberRecord, Link]]:
        """Return the connected registries that have a log replica, with their links.

        Registries whose links are overdue are left out, unless all of them are.
        """
        linked = (
            (member, self.links.get(Endpoint(member.address, member.port)))
            for member in self.list_members(MemberKind.REGISTRY)
            if member.replica
        )
        candidates = [
            (member, link) for member, link in linked if link and not link.closed
        ]
        return [c for c in candidates if not c[1].overdue] or candidates

    def merge_members(self, members: tuple[MemberRecord, ...]) -> list[MemberRecord]:
        """Merge members, and return those that are new or changed."""
        own = (self.member.host, self.member.kind)
        fresh = []
        for member in members:
            key = (member.host, member.kind)
            if key == own or self.members.get(key) == member:
                continue
            fresh.append(member)
            self.members[key] = member
            if member.kind is MemberKind.REGISTRY:
                self._ensure_link(Endpoint(member.address, member.port))
        return fresh

    def find_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service of the route set in force here, or none."""
        return None if self.routes is None else self.routes.service(name)

    def report_leaving(self, target: TargetId, born: int) -> None:
        """Mark a target that has said that it leaves, and tell all registries.

        :param born: start of the incarnation that leaves.
        """
        leaving = self.view.mark_leaving(target, born)
        if leaving is not None:
            logger.info(
                "target leaves, by its own answer",
                extra={"target": target, "service": leaving.service, "born": born},
            )
            self.broadcast(Statements((leaving,)))
            self._on_registrations((leaving,))

    async def refresh_routes(self, leader: Link | None = None) -> bool:
        """Ask a registry for a newer route set, and return whether there was one.

        All calls that arrive before the next question share its answer.

        :param leader: link to the leader of the log, which is asked if it is known: the
            other registries learn what was accepted a heartbeat later.
        """
        version = self.version
        if self._refresh is None:
            self._refresh = asyncio.create_task(self._ask_for_newer(leader))
        await asyncio.shield(self._refresh)
        return self.version > version

    async def _ask_for_newer(self, leader: Link | None) -> None:
        now = self._clock.monotonic()
        await asyncio.sleep(self._refreshed_at + REFRESH_INTERVAL_SECONDS - now)
        # a request that arrives from now on needs the answer to a later question
        self._refresh = None
        self._refreshed_at = self._clock.monotonic()
        links = [link for _, link in self.list_log_registries()]
        if leader is not None and not leader.closed:
            links = [leader]
        if not links:
            return
        self._refresh_answered.clear()
        chosen = links[int(self._refreshed_at * 1000) % len(links)]
        chosen.send(AskRoutes(self._held_version))
        await wait_for_event(self._refresh_answered, REFRESH_TIMEOUT_SECONDS)

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected registry."""
        for link in self.links.values():
            link.send(message)

    def _ensure_link(self, endpoint: Endpoint) -> None:
        if endpoint == self._own or endpoint in self._link_tasks:
            return
        self._link_tasks[endpoint] = asyncio.create_task(self._maintain_link(endpoint))

    async def _maintain_link(self, endpoint: Endpoint) -> None:
        delay = REDIAL_MIN_SECONDS
        reached_at = self._clock.monotonic()
        while True:
            try:
                link = await self._dial(
                    endpoint,
                    Hello(_ROLES[self.member.kind], self.member.host),
                    self._clock,
                    FEED_PACE,
                    None,
                )
            except LinkLost as error:
                logger.debug(
                    "registry cannot be reached", extra={"reason": error.message}
                )
            else:
                delay = REDIAL_MIN_SECONDS
                await self._receive(endpoint, link)
                reached_at = self._clock.monotonic()
            if (
                endpoint not in self._seeds
                and self._clock.monotonic() - reached_at > FORGET_AFTER_SECONDS
            ):
                del self._link_tasks[endpoint]
                return
            await asyncio.sleep(delay)
            delay = min(2 * delay, REDIAL_MAX_SECONDS)

    async def _receive(self, endpoint: Endpoint, link: Link) -> None:
        logger.info("registry connected", extra={"peer": link.peer.host})
        self.links[endpoint] = link
        link.send(SubscribeFeed(self.member, self._floor_index))
        self._on_link(link)
        try:
            async for message in link.receive():
                self._handle_message(endpoint, link, message)
        finally:
            del self.links[endpoint]
            self._offered_versions.pop(endpoint, None)
            link.abort()
            logger.info("registry disconnected", extra={"peer": link.peer.host})

    def _handle_message(self, endpoint: Endpoint, link: Link, message: Message) -> None:
        now = self._clock.monotonic()
        match message:
            case Members(members):
                if fresh := self.merge_members(members):
                    self._on_members(fresh)
            case Statements(registrations):
                changed = tuple(r for r in registrations if self.view.merge(r, now))
                if changed:
                    self._on_registrations(changed)
            case SignsOfLife(targets):
                for target, born, sequence in targets:
                    self.view.record_heartbeat(target, born, sequence, now)
            case RouteNotice(version):
                self._offered_versions[endpoint] = version
                self._request_routes(now)
            case RoutesAnswer():
                self._handle_routes(message)
            case Floors(floors, index):
                self._raise_floors(floors, index, now)
            case BlockedParts(index, parts):
                if index > self._blocked_index:
                    self._apply_blocked(index, parts)
            case _:
                self._on_message(link, message)

    def _request_routes(self, now: float) -> None:
        # Only one registry is asked at a time: a whole set is large, and all
        # registries have the same one
        if now - self._requested_at < ROUTES_TIMEOUT_SECONDS:
            return
        newer = {
            endpoint: version
            for endpoint, version in self._offered_versions.items()
            if version > self.version and endpoint in self.links
        }
        if not newer:
            return
        newest = max(newer.values())
        holders = [endpoint for endpoint, found in newer.items() if found == newest]
        local = [endpoint for endpoint in holders if self._is_in_own_domain(endpoint)]
        holders = local or holders
        self._requested_at = now
        chosen = holders[int(now * 1000) % len(holders)]
        self.links[chosen].send(AskRoutes(self._held_version))

    def _is_in_own_domain(self, endpoint: Endpoint) -> bool:
        """Return whether a registry is in this host's failure domain."""
        return any(
            member.kind is MemberKind.REGISTRY
            and member.domain == self.member.domain
            and (member.address, member.port) == (endpoint.address, endpoint.port)
            for member in self.members.values()
        )

    def _handle_routes(self, answer: RoutesAnswer) -> None:
        stale = answer.base not in (0, self.version)
        if answer.version > self.version and not stale:
            try:
                self.routes = self._decode_routes(answer)
            except (IbisheadError, msgspec.DecodeError) as error:
                logger.warning(
                    "route set cannot be read; requesting it whole",
                    extra={"version": answer.version, "reason": str(error)},
                )
                self._held_version = 0
                return
            self._held_version = self.version
            self.routes_known.set()
            logger.info("routes in force", extra={"version": answer.version})
            self._on_routes(self.routes)
        if not answer.encoded or answer.version == self.version:
            self._refresh_answered.set()
        self._requested_at = -ROUTES_TIMEOUT_SECONDS
        self._request_routes(self._clock.monotonic())

    def _decode_routes(self, answer: RoutesAnswer) -> RouteSet:
        data = unpack(answer.encoded)
        if self.routes is None or not answer.base:
            return msgspec.msgpack.decode(data, type=RouteSet)
        change = msgspec.msgpack.decode(data, type=RouteChange)
        return apply_change(self.routes, change)

    def _raise_floors(
        self, floors: tuple[AdapterFloor, ...], index: int, now: float
    ) -> None:
        for floor in floors:
            known = self.floors.get(floor.key)
            if known is None or floor.version > known.version:
                self.floors[floor.key] = floor
                self.floor_received_at[floor.key] = now
                logger.info(
                    "minimum adapter version in force",
                    extra={
                        "model": floor.key.model,
                        "adapter": floor.key.adapter,
                        "version": floor.version,
                    },
                )
        self._floor_index = max(self._floor_index, index)

    def _apply_blocked(self, index: int, parts: tuple[BlockedPart, ...]) -> None:
        self._blocked_index = index
        before, self.blocked = self.blocked, {found.part: found for found in parts}
        logger.info(
            "prompt parts blocked",
            extra={
                "count": len(parts),
                "new": sorted(self.blocked.keys() - before)[:MAX_LOGGED_PARTS],
                "removed": sorted(before.keys() - self.blocked)[:MAX_LOGGED_PARTS],
            },
        )
        self._on_blocked()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUTES_TIMEOUT_SECONDS / 2)
            now = self._clock.monotonic()
            self._request_routes(now)
            # Without a link to a registry no heartbeats arrive, so missing ones say
            # nothing about the targets
            if self.links:
                self.view.remove_expired(now, TARGET_TIMEOUT_SECONDS)


_ROLES = {
    MemberKind.GATEWAY: Role.ENTRY,
    MemberKind.STEWARD: Role.AGENT,
    MemberKind.REGISTRY: Role.CONTROL,
}


def _discard(_: object) -> None:
    pass


def _discard_message(_: Link, __: Message) -> None:
    pass
