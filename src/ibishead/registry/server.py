"""One registry: its replica, its subscribers, and its HTTP door."""

import asyncio
import logging
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path

from ibishead.clock import Clock
from ibishead.control.driver import Pace
from ibishead.control.folder import DataFolder
from ibishead.control.identity import load_identity, replica_host
from ibishead.control.peering import PeerLinks
from ibishead.control.raftstate import Timing
from ibishead.control.replica import LogReplica
from ibishead.errors import StorageFault
from ibishead.ids import ReplicaId
from ibishead.links import Endpoint, Link, LinkServer
from ibishead.messages import Hello, PeerFrame, Role
from ibishead.metrics import Metrics
from ibishead.registry.founders import (
    LONGEST_WAIT,
    SETTLE_TIME,
    choose_founders,
    count_voters,
)
from ibishead.registry.publisher import FeedPublisher
from ibishead.registry.service import RegistryService
from ibishead.registry.settings import RegistrySettings
from ibishead.registry.state import RouteState
from ibishead.routing.feed import FEED_PACE, RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.web import Exchange, Limits, WebServer

__all__ = ["Registry"]

logger = logging.getLogger(__name__)

#: Largest route set that is taken, in bytes; some thousand routes are a tenth of it.
MAX_DOCUMENT = 8 * 1024 * 1024

#: Bytes of randomness in the name of a new replica or cluster.
_NAME_BYTES = 6

#: Bytes that stay free on a small disk, so that a snapshot always finds room.
DISK_RESERVE = 6 * 1024 * 1024

#: Bytes of commands between two snapshots: the log stays a small part of the disk.
SNAPSHOT_BYTES = 4 * 1024 * 1024

#: Ticks of 0.1 s until the first election after a start. Hosts that start together do
#: so within 0.3 s. After a kill of all programs callers are served 0.6 s sooner than
#: after the usual wait.
FIRST_ELECTION = 3

#: Seconds between two looks at who might found the log.
FOUND_INTERVAL = 0.2

#: Seconds in which exchanges under way end at a planned stop.
STOP_GRACE = 3.0


class Registry:
    """Runs one registry.

    :param make_door: turns the service into the handler of its HTTP server.
    :param on_failure: called when the disk has failed and nothing can go on.
    :raises StorageFault: the data folder is damaged or in use.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        clock: Clock,
        make_door: Callable[[RegistryService], Callable[[Exchange], Awaitable[None]]],
        on_failure: Callable[[StorageFault], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.metrics = Metrics("registry")
        self.state = RouteState()
        self.replica: LogReplica | None = None
        self._peers = PeerLinks(
            {}, Hello(Role.CONTROL, settings.host), clock, pace=FEED_PACE
        )
        name = ReplicaId("")
        if settings.data is not None:
            self.replica = self._open_replica(settings.data, on_failure)
            name = self.replica.name
        member = MemberRecord(
            settings.host,
            MemberKind.REGISTRY,
            settings.links.address,
            settings.links.port,
            settings.failure_domain,
            str(settings.http),
            name,
        )
        self.feed = RegistryFeed(
            member,
            tuple(Endpoint(s.address, settings.seed_port) for s in settings.seeds),
            clock,
            on_statements=lambda news: self._publisher.tell_others(news),
            on_members=self._note_members,
        )
        self._publisher = FeedPublisher(
            self.state,
            self.feed,
            lambda holder: self.service.take_fence(holder),
            lambda statement: self.service.announce(statement),
            self._meet_subscriber,
        )
        self.service = RegistryService(
            self.state, self.replica, self.feed, self._publisher, clock, self.metrics
        )
        self.state.on_change = self._publisher.tell_state
        self._links = LinkServer(
            self._serve_link,
            lambda: Hello(Role.CONTROL, settings.host),
            clock,
            FEED_PACE,
        )
        self._web = WebServer(
            make_door(self.service), Limits(body_bytes=MAX_DOCUMENT, idle_seconds=20.0)
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, and begin to take part."""
        await self._links.start(self._settings.links)
        if self.replica is not None:
            await self.replica.start()
        self.feed.start()
        await self._web.start(self._settings.http)
        self._tasks.append(asyncio.create_task(self._publisher.run()))
        if self.replica is not None and self._settings.first_start:
            self._tasks.append(asyncio.create_task(self._found()))

    def list_gauges(self) -> dict[str, float]:
        """Return present values by name."""
        gauges: dict[str, float] = {
            "routes_version": self.state.version,
            "subscribers": self._publisher.count,
            "targets_known": sum(1 for _ in self.feed.view),
        }
        if self.replica is not None:
            core = self.replica.core
            gauges |= {
                "term": core.term,
                "commit": core.commit,
                "leads": core.leader == self.replica.name,
            }
        return gauges

    async def stop(self) -> None:
        """Hand over, finish what is under way, close everything."""
        self._web.begin_stop()
        if self.replica is not None:
            try:
                await self.replica.transfer()
            except Exception as error:
                logger.warning("leadership kept", extra={"reason": str(error)})
        await self._web.stop(STOP_GRACE)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.feed.stop()
        if self.replica is not None:
            await self.replica.stop()
        await self._links.stop()

    def _open_replica(
        self, data: Path, on_failure: Callable[[StorageFault], None]
    ) -> LogReplica:
        folder = DataFolder(data)

        def draw_name() -> str:
            return secrets.token_hex(_NAME_BYTES)

        pace = Pace(
            tick=0.1,
            timing=Timing(heartbeat=2, election=9, first=FIRST_ELECTION),
            answer=0.8,
            repair=self._settings.repair_after,
            readmit=True,
            voters=count_voters(self._settings.losses),
            snapshot_bytes=SNAPSHOT_BYTES,
            reserve=DISK_RESERVE,
        )
        try:
            identity = load_identity(folder, self._settings.host, draw_name)
            logger.info(
                "replica opened",
                extra={"replica": identity.replica, "cluster": identity.cluster},
            )
            return LogReplica(
                self._settings.host,
                (),
                self.state,
                folder,
                self._peers,
                self._clock,
                secrets.randbelow,
                draw_name,
                pace,
                on_failure,
            )
        except StorageFault:
            folder.close()
            raise

    def _meet_subscriber(self, member: MemberRecord) -> None:
        fresh = self.feed.meet((member,))
        self._add_peers(fresh)
        self._publisher.tell_members(fresh, relayed=False)

    def _note_members(self, members: list[MemberRecord]) -> None:
        self._add_peers(members)
        self._publisher.tell_members(members, relayed=True)

    def _add_peers(self, members: list[MemberRecord]) -> None:
        for member in members:
            if member.kind is MemberKind.REGISTRY and member.replica:
                self._peers.add_host(
                    replica_host(member.replica), Endpoint(member.address, member.port)
                )

    async def _serve_link(self, link: Link) -> None:
        try:
            async for message in link.receive():
                if isinstance(message, PeerFrame):
                    if self.replica is not None:
                        self.replica.receive_frame(message)
                elif not self._publisher.take(link, message):
                    logger.warning(
                        "unexpected message",
                        extra={"peer": link.peer.host, "kind": type(message).__name__},
                    )
        finally:
            self._publisher.drop(link)

    async def _found(self) -> None:
        # All hosts start together, but each hears of the others in its own time
        assert self.replica is not None
        wanted = count_voters(self._settings.losses)
        seeds = [str(seed) for seed in self._settings.seeds]
        started = self._clock.monotonic()
        while True:
            await asyncio.sleep(FOUND_INTERVAL)
            waited = self._clock.monotonic() - started
            members = self.feed.list_members(MemberKind.REGISTRY)
            founders = choose_founders(self._settings.host, seeds, members, wanted)
            enough = len(founders) >= wanted or waited >= LONGEST_WAIT
            if founders and enough and waited >= SETTLE_TIME:
                logger.info("founding", extra={"founders": ",".join(founders)})
                self.replica.founding.name_founders(founders)
                return
