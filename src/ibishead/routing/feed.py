"""A host's link to every registry, and what it learns there.

Targets and members are soft state: any registry may tell of them, also one that is cut
off from the others. Route sets and floors come from the replicated log and only rise.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from ibishead.clock import Clock
from ibishead.errors import IbisheadError, LinkLost
from ibishead.ids import HostId, ServiceName
from ibishead.links import Dialer, Endpoint, HeartbeatTiming, Link, dial
from ibishead.messages import Hello, Message, Role
from ibishead.routing.changes import RouteChange, apply_change, unpack
from ibishead.routing.messages import (
    AdapterFloor,
    AskRoutes,
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

__all__ = ["FEED_PACE", "RegistryFeed"]

logger = logging.getLogger(__name__)

#: Heartbeats of a link to a registry. A link that has gone silent must be replaced
#: soon: what is in force elsewhere isn't known over it.
FEED_PACE = HeartbeatTiming(interval=0.9, timeout=2.4, mutual=True)

#: Seconds between two tries to reach a registry, at first and at most.
REDIAL_FIRST = 0.1
REDIAL_MOST = 0.3

#: Seconds after which a registry that is no seed and can't be reached is forgotten.
FORGET_AFTER = 120.0

#: Seconds until a route set that was asked for is asked for elsewhere.
ROUTES_WAIT = 0.5

#: Seconds of silence after which a target that never left is forgotten.
SILENCE_KEPT = 45.0


class RegistryFeed:
    """Keeps links to all registries, and one view of what they tell.

    :param member: what this program tells of itself.
    :param seeds: link endpoints of the first registries.
    :param on_routes: called with each route set that comes into force here.
    :param on_statements: called with statements that were news.
    :param on_members: called with programs that a registry has made known.
    :param on_message: called with any other message of a registry.
    """

    def __init__(
        self,
        member: MemberRecord,
        seeds: tuple[Endpoint, ...],
        clock: Clock,
        *,
        on_routes: Callable[[RouteSet], None] | None = None,
        on_statements: Callable[[tuple[Registration, ...]], None] | None = None,
        on_members: Callable[[list[MemberRecord]], None] | None = None,
        on_message: Callable[[Link, Message], None] | None = None,
        dialer: Dialer = dial,
    ) -> None:
        self.member = member
        self.view = TargetView()
        self.routes: RouteSet | None = None
        #: Set once there are routes.
        self.routes_known = asyncio.Event()
        #: One host may run a program of each kind.
        self.members: dict[tuple[HostId, MemberKind], MemberRecord] = {
            (member.host, member.kind): member
        }
        self.floors: dict[WeightKey, AdapterFloor] = {}
        self.floor_heard: dict[WeightKey, float] = {}
        self.links: dict[Endpoint, Link] = {}
        self._floor_index = 0
        self._clock = clock
        self._on_routes = on_routes or _ignore
        self._on_statements = on_statements or _ignore
        self._on_members = on_members or _ignore
        self._on_message = on_message or _ignore_message
        self._dial = dialer
        self._seeds = seeds
        self._own = Endpoint(member.address, member.port)
        self._keepers: dict[Endpoint, asyncio.Task[None]] = {}
        self._noticed: dict[Endpoint, int] = {}
        self._asked_at = -ROUTES_WAIT
        #: Version to ask a change of; 0 after one that couldn't be applied.
        self._base = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def version(self) -> int:
        """Version of the route set in force here, 0 for none."""
        return 0 if self.routes is None else self.routes.version

    def start(self) -> None:
        """Begin to dial."""
        self.reseed(self._seeds)
        self._tasks.append(asyncio.create_task(self._run()))

    async def stop(self) -> None:
        """Close all links."""
        tasks = [*self._tasks, *self._keepers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reseed(self, seeds: tuple[Endpoint, ...]) -> None:
        """Dial these registries too."""
        self._seeds = seeds
        for endpoint in seeds:
            self._keep(endpoint)

    def list_members(self, kind: MemberKind) -> list[MemberRecord]:
        """Return the known programs of one kind."""
        return [found for found in self.members.values() if found.kind is kind]

    def list_log_keepers(self) -> list[tuple[MemberRecord, Link]]:
        """Return the registries that keep the log, each with its link that is up.

        Those that haven't been heard of lately are left out, unless all are such.
        """
        linked = (
            (found, self.links.get(Endpoint(found.address, found.port)))
            for found in self.list_members(MemberKind.REGISTRY)
            if found.replica
        )
        keepers = [(found, link) for found, link in linked if link and not link.closed]
        return [k for k in keepers if not k[1].overdue] or keepers

    def meet(self, members: tuple[MemberRecord, ...]) -> list[MemberRecord]:
        """Take members in, and return those that are news."""
        own = (self.member.host, self.member.kind)
        fresh = []
        for found in members:
            place = (found.host, found.kind)
            if place == own or self.members.get(place) == found:
                continue
            fresh.append(found)
            self.members[place] = found
            if found.kind is MemberKind.REGISTRY:
                self._keep(Endpoint(found.address, found.port))
        return fresh

    def find_service(self, name: ServiceName) -> ServiceSpec | None:
        """Return a service as it is in force here, none where it isn't."""
        return None if self.routes is None else self.routes.service(name)

    def tell(self, message: Message) -> None:
        """Send to every registry that is linked."""
        for link in self.links.values():
            link.send(message)

    def _keep(self, endpoint: Endpoint) -> None:
        if endpoint == self._own or endpoint in self._keepers:
            return
        self._keepers[endpoint] = asyncio.create_task(self._hold(endpoint))

    async def _hold(self, endpoint: Endpoint) -> None:
        wait = REDIAL_FIRST
        reached = self._clock.monotonic()
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
                logger.debug("registry not reached", extra={"reason": error.message})
            else:
                wait = REDIAL_FIRST
                await self._listen(endpoint, link)
                reached = self._clock.monotonic()
            if (
                endpoint not in self._seeds
                and self._clock.monotonic() - reached > FORGET_AFTER
            ):
                del self._keepers[endpoint]
                return
            await asyncio.sleep(wait)
            wait = min(2 * wait, REDIAL_MOST)

    async def _listen(self, endpoint: Endpoint, link: Link) -> None:
        logger.info("registry linked", extra={"peer": link.peer.host})
        self.links[endpoint] = link
        link.send(SubscribeFeed(self.member, self._floor_index))
        try:
            async for message in link.receive():
                self._take(endpoint, link, message)
        finally:
            del self.links[endpoint]
            self._noticed.pop(endpoint, None)
            link.abort()
            logger.info("registry lost", extra={"peer": link.peer.host})

    def _take(self, endpoint: Endpoint, link: Link, message: Message) -> None:
        now = self._clock.monotonic()
        match message:
            case Members(members):
                if fresh := self.meet(members):
                    self._on_members(fresh)
            case Statements(registrations):
                news = tuple(r for r in registrations if self.view.merge(r, now))
                if news:
                    self._on_statements(news)
            case SignsOfLife(targets):
                for target, born, sequence in targets:
                    self.view.hear(target, born, sequence, now)
            case RouteNotice(version):
                self._noticed[endpoint] = version
                self._ask_routes(now)
            case RoutesAnswer():
                self._take_routes(message)
            case Floors(floors, index):
                self._raise(floors, index, now)
            case _:
                self._on_message(link, message)

    def _ask_routes(self, now: float) -> None:
        # One registry is asked at a time: a whole set is long, and all have the same
        if now - self._asked_at < ROUTES_WAIT:
            return
        ahead = {
            endpoint: version
            for endpoint, version in self._noticed.items()
            if version > self.version and endpoint in self.links
        }
        if not ahead:
            return
        newest = max(ahead.values())
        holders = [endpoint for endpoint, found in ahead.items() if found == newest]
        near = [endpoint for endpoint in holders if self._is_near(endpoint)]
        holders = near or holders
        self._asked_at = now
        chosen = holders[int(now * 1000) % len(holders)]
        self.links[chosen].send(AskRoutes(self._base))

    def _is_near(self, endpoint: Endpoint) -> bool:
        """Return whether a registry is in this host's failure domain."""
        return any(
            found.kind is MemberKind.REGISTRY
            and found.domain == self.member.domain
            and (found.address, found.port) == (endpoint.address, endpoint.port)
            for found in self.members.values()
        )

    def _take_routes(self, answer: RoutesAnswer) -> None:
        stale = answer.base not in (0, self.version)
        if answer.version > self.version and not stale:
            try:
                self.routes = self._read_routes(answer)
            except (IbisheadError, msgspec.DecodeError) as error:
                logger.warning(
                    "routes not read",
                    extra={"version": answer.version, "reason": str(error)},
                )
                self._base = 0
                return
            self._base = self.version
            self.routes_known.set()
            logger.info("routes in force", extra={"version": answer.version})
            self._on_routes(self.routes)
        self._asked_at = -ROUTES_WAIT
        self._ask_routes(self._clock.monotonic())

    def _read_routes(self, answer: RoutesAnswer) -> RouteSet:
        data = unpack(answer.encoded)
        if self.routes is None or not answer.base:
            return msgspec.msgpack.decode(data, type=RouteSet)
        change = msgspec.msgpack.decode(data, type=RouteChange)
        return apply_change(self.routes, change)

    def _raise(self, floors: tuple[AdapterFloor, ...], index: int, now: float) -> None:
        for floor in floors:
            known = self.floors.get(floor.key)
            if known is None or floor.version > known.version:
                self.floors[floor.key] = floor
                self.floor_heard[floor.key] = now
                logger.info(
                    "adapter version in force",
                    extra={
                        "model": floor.key.model,
                        "adapter": floor.key.adapter,
                        "version": floor.version,
                    },
                )
        self._floor_index = max(self._floor_index, index)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUTES_WAIT / 2)
            now = self._clock.monotonic()
            self._ask_routes(now)
            # While no registry is linked, silence says nothing about the targets
            if self.links:
                self.view.forget(now, SILENCE_KEPT)


_ROLES = {
    MemberKind.GATEWAY: Role.ENTRY,
    MemberKind.STEWARD: Role.AGENT,
    MemberKind.REGISTRY: Role.CONTROL,
}


def _ignore(_: object) -> None:
    pass


def _ignore_message(_: Link, __: Message) -> None:
    pass
