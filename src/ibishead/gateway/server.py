"""Server of a gateway: its listeners, its links and its graceful shutdown."""

import asyncio
import contextlib
import logging
import random

from ibishead.clock import Clock
from ibishead.decisions.heldbytes import HeldBytes
from ibishead.decisions.partuses import PartUses
from ibishead.decisions.shedding import ConnectionShedder
from ibishead.gateway.blocking import PromptBlocks
from ibishead.gateway.calls import CallerDialect, TargetDialect
from ibishead.gateway.ends import TargetEnds
from ibishead.gateway.origins import StreamOrigins
from ibishead.gateway.pipeline import Pipeline
from ibishead.gateway.pool import ConnectionPool
from ibishead.gateway.quotas import QuotaClient
from ibishead.gateway.settings import GatewaySettings
from ibishead.gateway.stewards import StewardLinks
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import PartKey
from ibishead.links import Link
from ibishead.messages import Message
from ibishead.metrics import Metrics
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskPartUses,
    MemberKind,
    MemberRecord,
    PartUsesAnswer,
    QuotaAnswer,
    QuotaKept,
    ReportedUse,
    ServedAnswer,
)
from ibishead.routing.routes import RouteSet
from ibishead.routing.targets import Registration, TargetState
from ibishead.web import MAX_UNSENT_BYTES, Exchange, Limits, WebServer

__all__ = ["Gateway"]

logger = logging.getLogger(__name__)

#: Minimum seconds for which a stopping gateway accepts connections. The load balancer
#: probes once per second and removes a gateway after two negative responses.
MIN_DRAIN_SECONDS = 2.3

#: Seconds without a request after which a stopping gateway closes its listeners.
IDLE_SECONDS = 0.4

#: Seconds before the end of the grace period at which a stopping gateway aborts the
#: requests that are still in progress.
ABORT_MARGIN_SECONDS = 0.3

#: Seconds between two measurements of the load.
MEASURING_INTERVAL_SECONDS = 0.1

#: Bytes that may wait in the write buffer of a caller's connection where memory is
#: limited. They aren't part of the budget, and there may be thousands of connections.
LIMITED_UNSENT_BYTES = 16 * 1024

#: Seconds between two removals of expired connections and of deregistered targets.
CLEANUP_INTERVAL_SECONDS = 0.5


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
        self._tracker = TargetTracker()
        self._pool = ConnectionPool(clock)
        self._stewards = StewardLinks(
            settings.host,
            clock,
            lambda report: self._tracker.record_report(report, clock.monotonic()),
            lambda delay: self._tracker.record_delay(delay, clock.monotonic()),
            lambda report: self._tracker.record_failures(report, clock.monotonic()),
            lambda limit: self._pipeline.apply_limit(limit),
            on_refusals=lambda told: self._tracker.record_refusals(
                told, clock.monotonic()
            ),
            on_quota=lambda message: self._quotas.handle_relayed(message),
            on_origin=lambda answer: self._origins.handle_answer(answer),
            on_link=lambda host: self._origins.greet_holder(host),
        )
        member = MemberRecord(
            settings.host, MemberKind.GATEWAY, "", 0, settings.failure_domain
        )
        self._quotas = QuotaClient(
            clock,
            settings.charge_lifetime,
            find_relay=lambda: self._stewards.pick_link(random.random),
        )
        self.feed = RegistryFeed(
            member,
            settings.registries,
            clock,
            on_routes=self._apply_routes,
            on_registrations=self._handle_statements,
            on_members=self._connect_stewards,
            on_message=self._handle_registry_message,
            on_blocked=lambda: self._blocks.apply(),
            on_link=lambda link: self._ends.greet_registry(link),
        )
        self.metrics = Metrics("gateway")
        self._blocks = PromptBlocks(settings.host, self.feed)
        self._part_uses = PartUses()
        self._ends = TargetEnds(self.feed, self._pool, self._part_uses, clock)
        self._origins = StreamOrigins(self._stewards, clock, self.metrics)
        self._shedder = ConnectionShedder(settings.link_rate)
        self._held = HeldBytes(settings.held_bytes)
        self._pipeline = Pipeline(
            settings.failure_domain,
            self.feed,
            self._tracker,
            self._pool,
            self._stewards,
            self._quotas,
            self._origins,
            self._blocks,
            self._part_uses,
            self._ends,
            callers,
            targets,
            clock,
            settings.retries,
            self.metrics,
            shedder=self._shedder,
            answers=self._held.answers,
        )
        self._running = 0
        self._idle_since = clock.monotonic()
        self._stopping = False
        self._server = WebServer(
            self._serve,
            Limits(
                connections=settings.connections, unsent_bytes=self._find_unsent_bytes()
            ),
            accept=lambda: self._shedder.accept(clock.monotonic()),
            on_read=lambda: self._shedder.begin(clock.monotonic()),
            on_answer=self._shedder.end,
            bodies=self._held.bodies,
            render_refusal=callers.render_error,
        )
        self._readiness_server = WebServer(
            self._answer_readiness, Limits(connections=64)
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the links to the registries and the listeners."""
        self.feed.start()
        await self._readiness_server.start(self._settings.readiness)
        await self._server.start(self._settings.callers)
        self._tasks.append(asyncio.create_task(self._clean_up()))
        self._tasks.append(asyncio.create_task(self._measure_load()))

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges by name."""
        return {
            "running": self._running,
            "routes_version": self.feed.version,
            "registries_linked": len(self.feed.links),
            "targets_known": sum(1 for _ in self.feed.view),
            "connections_opened": self._pool.opened,
            "connections_shed": self._shedder.count,
            "own_requests": self._shedder.in_progress,
            "own_requests_limit": self._shedder.limit,
            "own_pace": round(self._shedder.pace, 1),
            "targets_limited": self._tracker.count_limited(),
            "targets_resting": self._tracker.rests.count(self._clock.monotonic()),
            "refused_in_rest": self._tracker.refused_in_rest,
            "invalid_slowdowns": self._tracker.invalid_slowdowns,
            "quota_keeper_linked": self._quotas.keeper is not None,
            "targets_in_doubt": len(self._pipeline.restarts),
            "target_crashes": self._ends.count,
            "prompt_parts_known": len(self._part_uses),
            "prompt_parts_blocked": len(self.feed.blocked),
            "body_bytes_held": self._held.bodies.held,
            "bodies_refused": self._held.bodies.refused,
            "answer_bytes_held": self._held.answers.held,
            "answers_paused": self._held.answers.paused,
        }

    async def stop(self) -> None:
        """Fail readiness probes, finish the requests in progress, then stop."""
        started = self._clock.monotonic()
        stop_at = started + self._settings.grace - ABORT_MARGIN_SECONDS
        self._stopping = True
        self._pipeline.begin_drain(stop_at)
        self._server.begin_stop()
        logger.info("gateway draining", extra={"running": self._running})
        while (now := self._clock.monotonic()) < stop_at:
            idle = not self._running and now - self._idle_since >= IDLE_SECONDS
            if idle and now - started >= MIN_DRAIN_SECONDS:
                break
            await asyncio.sleep(0.05)
        logger.info("gateway stopping", extra={"running": self._running})
        await self._server.stop(max(0.0, stop_at - self._clock.monotonic()))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stewards.stop()
        self._quotas.stop()
        await self.feed.stop()
        await self._readiness_server.stop(0.0)
        await self._ends.stop()
        self._pool.close()

    async def _serve(self, exchange: Exchange) -> None:
        self._running += 1
        try:
            await self._pipeline.serve(exchange)
        finally:
            self._running -= 1
            self._idle_since = self._clock.monotonic()

    async def _answer_readiness(self, exchange: Exchange) -> None:
        if not self._callers.is_readiness_probe(exchange.request):
            await exchange.respond(404, ())
            return
        ready = not self._stopping and self._can_admit()
        await exchange.respond(200 if ready else 503, ())

    def _can_admit(self) -> bool:
        """Return whether requests of all customers can be admitted or refused."""
        routes = self.feed.routes
        if routes is None:
            return False
        limited = any(c.quota is not None for c in routes.customers or ())
        return not (limited and self._quotas.is_stalled())

    def _apply_routes(self, routes: RouteSet) -> None:
        limits = routes.limits
        self._server.limits = Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_time,
            idle_seconds=limits.idle_time,
            connections=self._settings.connections,
            unsent_bytes=self._find_unsent_bytes(),
        )

    def _find_unsent_bytes(self) -> int:
        limited = self._settings.held_bytes is not None
        return LIMITED_UNSENT_BYTES if limited else MAX_UNSENT_BYTES

    def _handle_registry_message(self, link: Link, message: Message) -> None:
        match message:
            case QuotaKept() | QuotaAnswer():
                self._quotas.handle_message(link, message)
            case ServedAnswer():
                self._pipeline.inference.handle_answer(message)
            case AskPartUses(number, parts):
                link.send(self._report_uses(number, parts))
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def _report_uses(self, number: int, parts: tuple[PartKey, ...]) -> PartUsesAnswer:
        now = self._clock.monotonic()
        uses = (self._part_uses.read(part) for part in parts)
        return PartUsesAnswer(
            number,
            tuple(
                ReportedUse(
                    use.count,
                    round(now - use.sound_at, 3) if use.sound_at is not None else None,
                )
                for use in uses
            ),
        )

    def _handle_statements(self, statements: tuple[Registration, ...]) -> None:
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
                    "software": statement.software,
                },
            )
            if statement.state is not TargetState.READY:
                self._pool.close_address(statement.address)

    def _connect_stewards(self, _: list[MemberRecord]) -> None:
        for member in self.feed.list_members(MemberKind.STEWARD):
            self._stewards.connect(member)

    async def _clean_up(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
                self._pool.close_expired()
                self._tracker.retain({found.target for found in self.feed.view})
                self._pipeline.restarts.retain_known()
                self._tracker.rests.remove_ended(self._clock.monotonic())
                self._origins.remove_expired()

    async def _measure_load(self) -> None:
        measured_at, sent = self._clock.monotonic(), self._server.bytes_sent
        while True:
            await asyncio.sleep(MEASURING_INTERVAL_SECONDS)
            now, total = self._clock.monotonic(), self._server.bytes_sent
            seconds = now - measured_at
            before = self._shedder.overloaded
            self._shedder.record(
                seconds, seconds - MEASURING_INTERVAL_SECONDS, total - sent
            )
            if self._shedder.overloaded != before:
                logger.warning(
                    "gateway no longer overloaded" if before else "gateway overloaded",
                    extra={
                        "running": self._running,
                        "connections": self._server.connection_count,
                        "connections_shed": self._shedder.count,
                        "own_requests": self._shedder.in_progress,
                        "own_requests_limit": self._shedder.limit,
                        "late": round(seconds - MEASURING_INTERVAL_SECONDS, 3),
                        "sent_a_second": round((total - sent) / seconds),
                    },
                )
            measured_at, sent = now, total
            if self._held.check():
                self._log_shortage()

    def _log_shortage(self) -> None:
        logger.warning(
            "memory for callers used up"
            if self._held.short
            else "memory for callers free again",
            extra={
                "body_bytes": self._held.bodies.held,
                "bodies_refused": self._held.bodies.refused,
                "answer_bytes": self._held.answers.held,
                "answers_paused": self._held.answers.paused,
            },
        )
