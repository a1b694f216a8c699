"""Holds an engine's adapter slots: hears wishes, gives orders, reports residents."""

import asyncio
import contextlib
import logging

import msgspec
import xxhash

from ibishead.clock import Clock
from ibishead.decisions.health import FailureShare
from ibishead.decisions.modelwait import (
    UNREACHABLE_WAIT_SECONDS,
    estimate_model_wait,
    find_source,
)
from ibishead.decisions.patience import OrderTimeout
from ibishead.decisions.residents import (
    AdapterDemand,
    Idle,
    Load,
    Unload,
    choose_order,
)
from ibishead.errors import LinkLost
from ibishead.ids import FailureDomain, HostId, ServiceName
from ibishead.links import Link
from ibishead.messages import Message
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskFence,
    AskTurn,
    BeginUse,
    EndUse,
    EngineReport,
    FailuresTold,
    FenceAnswer,
    PromptDelay,
    PromptRead,
    RateTold,
    TurnNoted,
)
from ibishead.routing.routes import (
    EngineSpec,
    RouteSet,
    find_gap_objective,
)
from ibishead.routing.targets import (
    Holding,
    Registration,
    WeightKey,
    list_adapters,
)
from ibishead.steward.demands import AdapterDemands
from ibishead.steward.engine import Engine, EngineState, OrderEnd, WeightOrder
from ibishead.steward.ledger import OrderLedger
from ibishead.steward.naming import EngineNamer
from ibishead.steward.turns import TurnQueue, Waiter
from ibishead.steward.uses import AdapterUses

__all__ = ["Steward"]

logger = logging.getLogger(__name__)

#: Seconds between two reports read from the engine, while orders are under way and
#: otherwise. A load takes a quarter of a second; requests wait for its end.
BUSY_INTERVAL = 0.04
CALM_INTERVAL = 0.25

#: Seconds between two reports to gateways when only the load has changed.
REPORT_INTERVAL = 0.5

#: Share of failures by which an engine differs from what gateways take it to be until
#: they are told anew.
FAILURE_STEP = 0.1

#: Seconds by which the wait for a model changes until gateways are told at once.
MODEL_WAIT_STEP = 0.3

#: Seconds until a fencing number is asked for again.
FENCE_WAIT = 0.5


class Steward:
    """Gives orders to the engine at one address.

    Orders go one after the other, each with the number of those accepted before, so
    that one whose answer was lost is refused once another has been accepted.
    """

    def __init__(
        self,
        host: HostId,
        domain: FailureDomain,
        service: ServiceName,
        address: str,
        engine: Engine,
        feed: RegistryFeed,
        clock: Clock,
    ) -> None:
        self._host = host
        self._service = service
        self._address = address
        self._engine = engine
        self._feed = feed
        self._clock = clock
        self._links: set[Link] = set()
        #: Requests a second that the engine's newest answer names.
        self._limit: float | None = None
        self._uses = AdapterUses()
        self._turns = TurnQueue(clock, self._tell_delay, self._drop_waiter)
        self._demands = AdapterDemands()
        self._failures = FailureShare()
        self._told_failures = FailureShare()
        self._ledger = OrderLedger()
        self._namer = EngineNamer(domain, service, address, engine, feed, clock)
        self._patience = OrderTimeout()
        self._lost = False
        self._fence = 0
        self._fence_asked = 0.0
        self._fence_number = 0
        self._wake = asyncio.Event()
        self._reported: EngineReport | None = None
        self._reported_at = 0.0
        self._pause_until = 0.0
        self._place = xxhash.xxh32_intdigest(host.encode()) / 2**32

    # Gateways ----------------------------------------------------------------

    async def serve_link(self, link: Link) -> None:
        """Serve one gateway until its link is over."""
        self._links.add(link)
        self._uses.join(link)
        if self._reported is not None:
            link.send(self._reported)
            if self._limit is not None:
                link.send(RateTold(self._reported.target, self._limit))
        try:
            async for message in link.receive():
                self._take(link, message)
        finally:
            self._links.discard(link)
            self._turns.leave(link)
            self._uses.leave(link, self._clock.monotonic())

    def take_from_registry(self, _: Link, message: Message) -> None:
        """Take what a registry has sent to this program alone."""
        match message:
            case FenceAnswer(number, fence) if number == self._fence_number and fence:
                self._fence = fence
                logger.info("fencing number taken", extra={"fence": fence})
                self._wake.set()
            case FenceAnswer():
                pass
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def list_gauges(self) -> dict[str, float]:
        """Return present values by name."""
        return {
            "fence": self._fence,
            "gateways_linked": len(self._links),
            "adapters_wished": len(self._demands),
            "adapters_coming": len(self._ledger.list_coming()),
            "prompts_waiting": self._turns.count,
            "prompt_limit": self._turns.window.limit,
            "read_rate": self._turns.window.speed.rate,
            "rate_limit": self._limit or 0.0,
        }

    def take_routes(self, routes: RouteSet) -> None:
        """Take in the route set that is in force now."""
        self._turns.window.gap = find_gap_objective(routes, self._service)
        spec = self._find_spec()
        self._turns.slots.slots = spec.slots if spec is not None else 0
        self._wake.set()

    def _take(self, link: Link, message: Message) -> None:
        now = self._clock.monotonic()
        match message:
            case AskTurn(number, key, version, wait, tokens, due):
                waiter = Waiter(link, number, key, now + wait, tokens, now + due)
                self._want(waiter, version, now)
            case BeginUse(key, tokens):
                self._uses.note(key, now)
                self._uses.begin(link, key)
                self._turns.note_sent(link, tokens)
            case RateTold(target, rate):
                known = self._feed.view.find_by_address(self._address)
                if known is not None and known.target == target:
                    self._set_limit(rate)
            case PromptRead(tokens, seconds):
                self._turns.note_read(link, tokens, seconds)
            case EndUse(key, pause, failed):
                if failed is not None:
                    self._note_outcome(failed, now)
                if pause:
                    self._turns.window.record_pause(pause)
                self._turns.note_end(link)
                if self._uses.end(link, key, now) and self._demands:
                    self._wake.set()
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def _want(self, waiter: Waiter, version: int, now: float) -> None:
        key = waiter.key
        self._uses.note(key, now)
        # Failure: an engine with a limit runs little and looks idle. Requests that wait
        # there in vain have lost the time in which another engine could serve them.
        if self._lost or not self._turns.fits(waiter, len(self._demands)):
            waiter.answer(False)
            return
        if self._ledger.holds(key, version):
            self._queue(waiter)
            return
        self._demands.add(waiter, version)
        waiter.link.send(TurnNoted(waiter.number))
        self._wake.set()

    def _queue(self, waiter: Waiter) -> None:
        # in use from now on, so that the adapter doesn't leave while its request waits
        self._uses.begin(waiter.link, waiter.key)
        self._turns.add(waiter)

    def _drop_waiter(self, waiter: Waiter) -> None:
        self._uses.end(waiter.link, waiter.key, self._clock.monotonic())

    def _tell_delay(self, seconds: float) -> None:
        target = self._feed.view.find_by_address(self._address)
        if target is not None:
            self._tell_gateways(PromptDelay(target.target, round(seconds, 3)))

    def _note_outcome(self, failed: bool, now: float) -> None:
        self._failures.record(failed, now)
        share = self._failures.read(now)
        target = self._feed.view.find_by_address(self._address)
        if target is None or abs(share - self._told_failures.read(now)) < FAILURE_STEP:
            return
        self._told_failures.set(share, now)
        self._tell_gateways(FailuresTold(target.target, round(share, 3)))
        if failed:
            logger.info(
                "engine fails",
                extra={"target": target.target, "share": round(share, 3)},
            )

    def _set_limit(self, rate: float | None) -> None:
        """Keep to what the engine's newest answer names, and tell all gateways.

        Each of them takes it back when it gets an answer that names none.
        """
        if rate != self._limit:
            logger.info("limit of the engine", extra={"requests_a_second": rate})
            self._limit = rate
            self._turns.set_limit(rate)
            target = self._feed.view.find_by_address(self._address)
            if target is not None:
                self._tell_gateways(RateTold(target.target, rate))

    def _tell_gateways(self, message: Message) -> None:
        for link in self._links:
            link.send(message)

    # Orders ------------------------------------------------------------------

    async def run(self) -> None:
        """Read reports, give orders and turns until cancelled."""
        turns = asyncio.create_task(self._turns.run())
        try:
            await self._run_orders()
        finally:
            turns.cancel()
            await asyncio.gather(turns, return_exceptions=True)

    async def _run_orders(self) -> None:
        read_at = 0.0
        while True:
            now = self._clock.monotonic()
            self._demands.refuse_late(now)
            if self._ledger.doubtful or now - read_at >= self._interval():
                await self._read()
                read_at = self._clock.monotonic()
            await self._namer.name(self._ledger.state)
            if await self._order_next():
                continue
            self._report(self._clock.monotonic())
            wait = max(0.005, read_at + self._interval() - self._clock.monotonic())
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), wait)

    def _interval(self) -> float:
        return BUSY_INTERVAL if self._ledger.under_way else CALM_INTERVAL

    async def _read(self) -> None:
        try:
            state = await self._read_twice()
        except LinkLost as error:
            if not self._lost:
                logger.warning("engine not reached", extra={"reason": error.message})
            self._lose_engine()
            return
        self._lost = False
        self._turns.note_report(state.running + state.queued)
        if self._ledger.take(state, self._clock.monotonic()):
            logger.info("engine found", extra={"born": state.born})
            self._failures, self._told_failures = FailureShare(), FailureShare()
            self._set_limit(None)
        for waiter in self._demands.take_served(self._ledger):
            self._queue(waiter)

    async def _read_twice(self) -> EngineState:
        try:
            return await self._engine.read_state()
        except LinkLost:
            # a connection may be reset while its engine is well
            return await self._engine.read_state()

    def _lose_engine(self) -> None:
        """Send everybody elsewhere, at once.

        Failure: an engine that is down has nothing to do, so it looks like the best
        place, and requests wait there until another engine is too late as well.
        """
        self._lost = True
        self._ledger.lose()
        self._demands.refuse_all()
        self._turns.refuse_all()
        if self._reported is not None and self._reported.holdings:
            lost = msgspec.structs.replace(
                self._reported,
                holdings=(),
                loading=(),
                model_wait=UNREACHABLE_WAIT_SECONDS,
            )
            self._tell(lost)

    def _tell(self, report: EngineReport) -> None:
        self._reported, self._reported_at = report, self._clock.monotonic()
        self._tell_gateways(report)

    async def _order_next(self) -> bool:
        """Give the next order that is due, and return whether one was given."""
        now = self._clock.monotonic()
        if not self._fence:
            self._ask_fence(now)
            return False
        order = self._choose_order(now)
        if order is None:
            return False
        end = await self._engine.order(order, self._patience.seconds)
        if end is OrderEnd.UNKNOWN:
            self._patience.record_timeout()
        else:
            self._patience.record_answer(self._clock.monotonic() - now)
        self._note_end(order, end)
        return end in (OrderEnd.STARTED, OrderEnd.HOLDS)

    def _choose_order(self, now: float) -> WeightOrder | None:
        state, spec = self._ledger.state, self._find_spec()
        if state is None or spec is None or state.busy or now < self._pause_until:
            return None
        target = self._feed.view.find_by_address(self._address)
        if target is None or (state.born and target.born != state.born):
            return None
        # Failure: an order's answer is lost, and the engine may still carry it out,
        # seconds later. The same order again is harmless: whichever comes second
        # expects a count of orders that has gone on. Another one in its place could
        # make the two together exceed the slots.
        if (again := self._ledger.unanswered) is not None:
            return self._make_order(again.load, again.key, again.version, target)
        choice = choose_order(
            spec,
            self._ledger.weigh(self._uses.last, self._uses.list_running(now)),
            self._list_wishes(now),
            self._feed.floors,
            self._feed.floor_received_at,
            self._uses.reuse,
            now,
            self._place,
            self._ledger.pace,
        )
        match choice:
            case Idle():
                return None
            case Load(key, version):
                return self._make_order(True, key, version, target)
            case Unload(key):
                return self._make_order(False, key, 0, target)

    def _list_wishes(self, now: float) -> list[AdapterDemand]:
        ready = now + self._ledger.pace.read(now)
        rate = self._turns.window.speed.rate
        return self._demands.list_wishes(ready, rate)

    def _make_order(
        self, load: bool, key: WeightKey, version: int, target: Registration
    ) -> WeightOrder:
        return WeightOrder(
            load,
            key,
            version,
            self._ledger.sequence,
            self._host,
            self._fence,
            target.target,
        )

    def _note_end(self, order: WeightOrder, end: OrderEnd) -> None:
        now = self._clock.monotonic()
        logger.info(
            "order given",
            extra={
                "load": order.load,
                "model": order.key.model,
                "adapter": order.key.adapter,
                "version": order.version,
                "sequence": order.sequence,
                "fence": order.fence,
                "target": order.target,
                "outcome": end.value,
            },
        )
        self._ledger.note_end(order, end, now)
        match end:
            case OrderEnd.FENCED:
                self._fence = 0
            case OrderEnd.BUSY | OrderEnd.IMPOSSIBLE | OrderEnd.OTHER_LIFE:
                self._pause_until = now + BUSY_INTERVAL

    def _ask_fence(self, now: float) -> None:
        if now - self._fence_asked < FENCE_WAIT:
            return
        links = [link for _, link in self._feed.list_log_registries()]
        if not links:
            # who keeps the log isn't known before the first answer of a registry
            links = [link for link in self._feed.links.values() if not link.closed]
        if not links:
            return
        self._fence_asked = now
        self._fence_number += 1
        # another registry each time: one may be cut off from the quorum
        links[self._fence_number % len(links)].send(AskFence(self._fence_number))

    def _find_spec(self) -> EngineSpec | None:
        found = self._feed.find_service(self._service)
        return found.engine if found is not None else None

    # Reports -----------------------------------------------------------------

    def _count_free(self, holdings: tuple[Holding, ...], coming: int) -> int:
        spec = self._find_spec()
        if spec is None:
            return 0
        running = self._uses.list_running(self._clock.monotonic())
        used = len(running & list_adapters(holdings).keys())
        leaving = self._ledger.count_leaving()
        return max(0, spec.adapter_slots - used - coming - leaving)

    def _expect_model(self, holdings: tuple[Holding, ...], now: float) -> float:
        state = self._ledger.state
        if holdings or state is None:
            return 0.0
        source = find_source(self._find_spec(), state.in_memory, state.on_disk)
        wait = estimate_model_wait(
            self._find_spec(), source, self._ledger.model_since, now
        )
        return round(wait, 2)

    def _report(self, now: float) -> None:
        state, target = (
            self._ledger.state,
            self._feed.view.find_by_address(self._address),
        )
        if state is None or target is None:
            return
        coming, holdings = self._ledger.list_coming(), self._ledger.list_holdings()
        report = EngineReport(
            target.target,
            state.born or target.born,
            holdings,
            tuple(coming.items()),
            state.running,
            state.queued,
            state.cache_used,
            state.cache_total,
            self._count_free(holdings, len(coming)),
            tuple(key for key in self._demands if key not in coming),
            round(self._turns.window.speed.rate, -2),
            self._expect_model(holdings, now),
        )
        before = self._reported
        same = before is not None and (
            (before.target, before.born, before.holdings)
            == (report.target, report.born, report.holdings)
            and (before.loading, before.awaited) == (report.loading, report.awaited)
            and abs(before.model_wait - report.model_wait) < MODEL_WAIT_STEP
        )
        if report == before or (same and now - self._reported_at < REPORT_INTERVAL):
            return
        self._tell(report)
