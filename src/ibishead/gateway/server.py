"""One gateway: its listeners, what it learns, and its planned stop."""

import asyncio
import contextlib
import logging

from ibishead.clock import Clock
from ibishead.gateway.book import TargetBook
from ibishead.gateway.calls import CallerDialect, TargetDialect
from ibishead.gateway.pipeline import Pipeline
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.settings import GatewaySettings
from ibishead.gateway.stewards import StewardLinks
from ibishead.metrics import Metrics
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import MemberKind, MemberRecord
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import Registration, TargetState
from ibishead.web import Exchange, Limits, WebServer

__all__ = ["Gateway"]

logger = logging.getLogger(__name__)

#: Seconds for which a stopping gateway goes on taking connections at least: the
#: balancer asks once a second and lets go after two answers of no.
LEAVE_TIME = 2.3

#: Seconds without a request after which a stopping gateway ends.
QUIET_TIME = 0.4

#: Seconds before the end of its grace at which a stopping gateway cuts what still runs.
CUT_MARGIN = 0.3

#: Seconds between two sweeps of kept connections.
SWEEP_INTERVAL = 0.5


class Gateway:
    """Serves callers until it is stopped."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        callers: CallerDialect,
        targets: TargetDialect,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._callers = callers
        self._book = TargetBook()
        self._pool = ConnectionPool(clock)
        self._stewards = StewardLinks(
            settings.host,
            clock,
            lambda report: self._book.take_report(report, clock.monotonic()),
            lambda delay: self._book.take_delay(delay, clock.monotonic()),
            lambda told: self._book.take_failures(told, clock.monotonic()),
            lambda told: self._pipeline.take_limit(told),
        )
        member = MemberRecord(
            settings.host, MemberKind.GATEWAY, "", 0, settings.failure_domain
        )
        self.feed = RegistryFeed(
            member,
            settings.registries,
            clock,
            on_routes=self._take_routes,
            on_registrations=self._take_statements,
            on_members=self._meet_stewards,
        )
        self.metrics = Metrics("gateway")
        self._pipeline = Pipeline(
            settings.failure_domain,
            self.feed,
            self._book,
            self._pool,
            self._stewards,
            callers,
            targets,
            clock,
            settings.retries,
            self.metrics,
        )
        self._running = 0
        self._quiet_since = clock.monotonic()
        self._stopping = False
        self._web = WebServer(self._serve, Limits(connections=settings.connections))
        self._door = WebServer(self._answer_readiness, Limits(connections=64))
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to learn."""
        self.feed.start()
        await self._door.start(self._settings.readiness)
        await self._web.start(self._settings.callers)
        self._sweeper = asyncio.create_task(self._sweep())

    def list_gauges(self) -> dict[str, float]:
        """Return present values by name."""
        return {
            "running": self._running,
            "routes_version": self.feed.version,
            "registries_linked": len(self.feed.links),
            "targets_known": sum(1 for _ in self.feed.view),
            "connections_opened": self._pool.opened,
            "targets_limited": self._book.count_limited(),
        }

    async def stop(self) -> None:
        """Leave the balancer's rotation, finish every request, then end."""
        began = self._clock.monotonic()
        last = began + self._settings.grace - CUT_MARGIN
        self._stopping = True
        self._pipeline.leave(last)
        self._web.begin_stop()
        logger.info("gateway leaves", extra={"running": self._running})
        while (now := self._clock.monotonic()) < last:
            quiet = not self._running and now - self._quiet_since >= QUIET_TIME
            if quiet and now - began >= LEAVE_TIME:
                break
            await asyncio.sleep(0.05)
        logger.info("gateway ends", extra={"running": self._running})
        await self._web.stop(max(0.0, last - self._clock.monotonic()))
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        await self._stewards.stop()
        await self.feed.stop()
        await self._door.stop(0.0)
        self._pool.close()

    async def _serve(self, exchange: Exchange) -> None:
        self._running += 1
        try:
            await self._pipeline.serve(exchange)
        finally:
            self._running -= 1
            self._quiet_since = self._clock.monotonic()

    async def _answer_readiness(self, exchange: Exchange) -> None:
        if not self._callers.is_ready_question(exchange.request):
            await exchange.respond(404, ())
            return
        ready = not self._stopping and self.feed.routes is not None
        await exchange.respond(200 if ready else 503, ())

    def _take_routes(self, routes: RouteSet) -> None:
        limits = routes.limits
        self._web.limits = Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_time,
            idle_seconds=limits.idle_time,
            connections=self._settings.connections,
        )

    def _take_statements(self, statements: tuple[Registration, ...]) -> None:
        for statement in statements:
            logger.info(
                "target changed",
                extra={
                    "target": statement.target,
                    "service": statement.service,
                    "address": statement.address,
                    "state": statement.state.value,
                    "born": statement.born,
                    "sequence": statement.sequence,
                },
            )
            if statement.state is not TargetState.READY:
                self._pool.drop(statement.address)

    def _meet_stewards(self, _: list[MemberRecord]) -> None:
        for member in self.feed.list_members(MemberKind.STEWARD):
            self._stewards.meet(member)

    async def _sweep(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(SWEEP_INTERVAL)
                self._pool.sweep()
                self._book.keep({found.target for found in self.feed.view})
