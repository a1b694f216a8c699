"""The registry program: its log replica, its subscribers and its HTTP server."""

import asyncio
import logging
import secrets
from collections.abc import Awaitable, Callable
from pathlib import Path

from ibishead.clock import Clock
from ibishead.control.agreement.raftstate import Timing
from ibishead.control.log.driver import ReplicaOptions
from ibishead.control.log.folder import DataFolder
from ibishead.control.log.identity import load_identity, replica_host
from ibishead.control.log.peering import PeerLinks
from ibishead.control.log.replica import LogReplica
from ibishead.errors import StorageFault
from ibishead.ids import ReplicaId
from ibishead.links import Endpoint, Link, LinkServer
from ibishead.messages import Hello, Message, PeerFrame, Role
from ibishead.metrics import Metrics
from ibishead.registry.crashes import CrashWatch
from ibishead.registry.credits import CreditLog
from ibishead.registry.departures import DepartureWatch
from ibishead.registry.founders import (
    FULL_SET_TIMEOUT_SECONDS,
    SETTLE_SECONDS,
    choose_founders,
    count_voters,
)
from ibishead.registry.origins import OriginWatch
from ibishead.registry.publisher import FeedPublisher
from ibishead.registry.quotas import QuotaKeeper
from ibishead.registry.service import RegistryService
from ibishead.registry.settings import RegistrySettings
from ibishead.registry.state import RouteState
from ibishead.routing.feed import FEED_PACE, RegistryFeed
from ibishead.routing.messages import (
    EngineEnded,
    MemberKind,
    MemberRecord,
    PartSound,
    PartUsesAnswer,
    QuotaHandover,
)
from ibishead.routing.targets import Registration
from ibishead.web import Exchange, Limits, WebServer

__all__ = ["Registry"]

logger = logging.getLogger(__name__)

#: Maximum size of a submitted route set. A few thousand routes take a tenth of it.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

#: Random bytes in the identifier of a new replica or cluster.
_ID_BYTES = 6

#: Space kept free on a small disk, so that a snapshot can always be written.
DISK_RESERVE_BYTES = 6 * 1024 * 1024

#: Size of the commands after which a snapshot is taken, so that the log occupies only
#: a small part of the disk.
SNAPSHOT_BYTES = 4 * 1024 * 1024

#: Duration of a tick of the log in seconds.
TICK_SECONDS = 0.1

#: Elections of the log. Hosts that start together do so within 0.3 s; the shorter
#: timeout of the first election lets service resume sooner after all programs were
#: killed. Quotas can't be charged while there is no leader, so the regular one is
#: short, but longer than usual stalls of a disk.
ELECTION_TIMING = Timing(heartbeat=2, election=6, first_election=3)

#: Interval between two checks whether this host is to found the log.
FOUNDING_CHECK_SECONDS = 0.2

#: Time in which HTTP exchanges in progress may finish at a planned stop.
STOP_GRACE_SECONDS = 3.0


class Registry:
    """Runs one registry.

    :param make_handler: returns the request handler of the HTTP server for a service.
    :param on_failure: called when the disk has failed and the replica cannot continue.
    :raises StorageFault: the data folder is damaged or in use.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        clock: Clock,
        make_handler: Callable[
            [RegistryService], Callable[[Exchange], Awaitable[None]]
        ],
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
            on_registrations=self._handle_registrations,
            on_members=self._handle_members,
            on_message=self._handle_message,
        )
        self._publisher = FeedPublisher(
            self.state,
            self.feed,
            lambda holder: self.service.take_fence(holder),
            lambda registration: self.service.announce(registration),
            self._handle_subscriber,
            lambda link, question: self._quotas.answer(link, question),
            self._handle_crash_message,
            lambda: self.service.list_origins(),
        )
        self._credits = CreditLog(self.replica) if self.replica else None
        self._quotas = QuotaKeeper(
            self.state,
            self.replica,
            clock,
            settings.quota_tolerance,
            self._credits,
            self._publisher.publish_quota_term,
            self._publisher.publish_handover,
        )
        self._crashes = (
            CrashWatch(
                self.state,
                self.replica,
                clock,
                self._publisher,
                self.metrics,
            )
            if self.replica
            else None
        )
        self._origins = (
            OriginWatch(self.state, self.replica, self.feed.view, clock)
            if self.replica
            else None
        )
        self._departures = (
            DepartureWatch(self.state, self.replica, self.feed.view)
            if self.replica
            else None
        )
        self.service = RegistryService(
            self.state,
            self.replica,
            self.feed,
            self._publisher,
            clock,
            self.metrics,
            lambda registration: self._notice_registrations((registration,)),
        )
        self.state.on_change = self._publisher.publish_state
        self.state.on_departures = self.service.handle_departures
        # the replica has restored its snapshot before
        self.service.handle_departures(tuple(self.state.departures.values()))
        self._links = LinkServer(
            self._serve_link,
            lambda: Hello(Role.CONTROL, settings.host),
            clock,
            FEED_PACE,
        )
        self._web = WebServer(
            make_handler(self.service),
            Limits(body_bytes=MAX_DOCUMENT_BYTES, idle_seconds=20.0),
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the servers, and start the replica and the feed."""
        await self._links.start(self._settings.links)
        if self.replica is not None:
            await self.replica.start()
        self.feed.start()
        await self._web.start(self._settings.http)
        self._tasks.append(asyncio.create_task(self._publisher.run()))
        self._tasks.append(asyncio.create_task(self._quotas.run()))
        if self._crashes is not None:
            self._tasks.append(asyncio.create_task(self._crashes.run()))
        if self._origins is not None:
            self._tasks.append(asyncio.create_task(self._origins.run()))
        if self._departures is not None:
            self._tasks.append(asyncio.create_task(self._departures.run()))
        if self.replica is not None and self._settings.first_start:
            self._tasks.append(asyncio.create_task(self._found_log()))

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        gauges: dict[str, float] = {
            "routes_version": self.state.version,
            "subscribers": self._publisher.count,
            "targets_known": sum(1 for _ in self.feed.view),
            "quota_refusals": self._quotas.refused,
        }
        if self.replica is not None:
            core = self.replica.core
            gauges |= {
                "term": core.term,
                "commit": core.commit,
                "leads": core.leader == self.replica.name,
            }
        if self._crashes is not None:
            gauges |= {
                "engine_crashes": self._crashes.count,
                "prompt_parts_blocked": len(self.state.blocked.parts),
            }
        return gauges

    async def stop(self) -> None:
        """Transfer leadership, finish exchanges in progress and close all links."""
        self._web.begin_stop()
        if self.replica is not None:
            self._quotas.hand_over()
            try:
                await self.replica.transfer()
            except Exception as error:
                logger.warning(
                    "leadership not transferred before the stop",
                    extra={"reason": str(error)},
                )
        await self._web.stop(STOP_GRACE_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.feed.stop()
        if self._credits is not None:
            await self._credits.stop()
        if self.replica is not None:
            await self.replica.stop()
        await self._links.stop()

    def _open_replica(
        self, data: Path, on_failure: Callable[[StorageFault], None]
    ) -> LogReplica:
        folder = DataFolder(data)

        def generate_id() -> str:
            return secrets.token_hex(_ID_BYTES)

        pace = ReplicaOptions(
            tick_seconds=TICK_SECONDS,
            timing=ELECTION_TIMING,
            answer_timeout=0.8,
            repair_after=self._settings.repair_after,
            replace_emptied=True,
            target_voters=count_voters(self._settings.losses),
            snapshot_bytes=SNAPSHOT_BYTES,
            reserve_bytes=DISK_RESERVE_BYTES,
        )
        try:
            identity = load_identity(folder, self._settings.host, generate_id)
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
                generate_id,
                pace,
                on_failure,
            )
        except StorageFault:
            folder.close()
            raise

    def _handle_subscriber(self, member: MemberRecord) -> None:
        fresh = self.feed.merge_members((member,))
        self._add_peers(fresh)
        self._publisher.publish_members(fresh, relayed=False)

    def _handle_members(self, members: list[MemberRecord]) -> None:
        self._add_peers(members)
        self._publisher.publish_members(members, relayed=True)

    def _handle_registrations(self, fresh: tuple[Registration, ...]) -> None:
        """Handle registrations that another registry has relayed."""
        self._publisher.relay_registrations(fresh)
        self._notice_registrations(fresh)

    def _notice_registrations(self, fresh: tuple[Registration, ...]) -> None:
        if self._origins is not None:
            self._origins.notice(fresh)

    def _handle_message(self, link: Link, message: Message) -> None:
        """Handle a message from another registry."""
        if isinstance(message, QuotaHandover):
            self._quotas.handle_handover(message)

    def _handle_crash_message(
        self, message: EngineEnded | PartUsesAnswer | PartSound
    ) -> None:
        if self._crashes is not None:
            self._crashes.handle_message(message)

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
                elif not self._publisher.handle_message(link, message):
                    logger.warning(
                        "unexpected message",
                        extra={"peer": link.peer.host, "kind": type(message).__name__},
                    )
        finally:
            self._publisher.remove_subscriber(link)

    async def _found_log(self) -> None:
        # All hosts start together, but learn of each other at different times
        assert self.replica is not None
        wanted = count_voters(self._settings.losses)
        seeds = [str(seed) for seed in self._settings.seeds]
        started = self._clock.monotonic()
        while True:
            await asyncio.sleep(FOUNDING_CHECK_SECONDS)
            waited = self._clock.monotonic() - started
            members = self.feed.list_members(MemberKind.REGISTRY)
            founders = choose_founders(self._settings.host, seeds, members, wanted)
            enough = len(founders) >= wanted or waited >= FULL_SET_TIMEOUT_SECONDS
            if founders and enough and waited >= SETTLE_SECONDS:
                logger.info("founding", extra={"founders": ",".join(founders)})
                self.replica.founding.set_founders(founders)
                return
