"""Sends load and unload orders to an engine and reports its state to the gateways."""

import asyncio
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
from ibishead.decisions.origins import OriginTable
from ibishead.decisions.patience import OrderTimeout
from ibishead.decisions.residents import (
    AdapterDemand,
    Idle,
    Load,
    Unload,
    choose_order,
)
from ibishead.errors import LinkLost
from ibishead.ids import FailureDomain, HostId, ServiceName, TargetId
from ibishead.links import Link
from ibishead.messages import Message
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import (
    AskFence,
    AskOrigin,
    AskQuota,
    AskTurn,
    BeginUse,
    EndUse,
    EngineReport,
    FailuresTold,
    FenceAnswer,
    OriginAnswer,
    PromptDelay,
    PromptRead,
    QuotaAnswer,
    QuotaKept,
    RateTold,
    RefusalsTold,
    StreamBegan,
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
from ibishead.steward.ends import EngineEnds
from ibishead.steward.engine import (
    Engine,
    EngineGone,
    EngineState,
    OrderOutcome,
    WeightOrder,
)
from ibishead.steward.ledger import OrderLedger
from ibishead.steward.naming import EngineNamer
from ibishead.steward.quotarelay import QuotaRelay
from ibishead.steward.turns import TurnQueue, Waiter
from ibishead.steward.uses import AdapterUses
from ibishead.waiting import wait_for_event

__all__ = ["Steward"]

logger = logging.getLogger(__name__)

#: Seconds between two reads of the engine's report, while orders are in progress and
#: otherwise. A load takes a quarter of a second, and requests wait for its end.
BUSY_INTERVAL_SECONDS = 0.04
IDLE_INTERVAL_SECONDS = 0.25

#: Seconds between two reports to gateways when only the load has changed.
REPORT_INTERVAL_SECONDS = 0.5

#: Change of the engine's share of failed requests, against what gateways expect, from
#: which they are sent a new value.
FAILURE_SHARE_STEP = 0.1

#: Change of the wait for a model in seconds from which gateways are sent a report at
#: once.
MODEL_WAIT_STEP_SECONDS = 0.3

#: Change of the slowdown of the host from which gateways are sent a report at once. A
#: reading is valid for about the time between two other reports.
SLOWDOWN_STEP = 0.3

#: Extension of the engine's rests in seconds from which gateways are told of it.
REFUSALS_STEP_SECONDS = 0.5

#: Seconds until a fencing number is requested again.
FENCE_RETRY_SECONDS = 0.5


class Steward:
    """Sends orders to the engine at one address.

    Orders are sent one after the other. Each carries the number of orders accepted
    before it, so that the engine refuses an order whose answer was lost once it has
    accepted another one.

    :param host: host on which the steward and the engine run.
    :param domain: failure domain of that host.
    :param service: service that the engine belongs to.
    :param address: ``ADDRESS:PORT`` of the engine.
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
        #: Requests per second, as named by the engine's latest answer.
        self._rate_limit: float | None = None
        self._uses = AdapterUses()
        self._ends = EngineEnds(feed, clock)
        self._turns = TurnQueue(
            clock, self._publish_delay, self._release_waiter, self._begin_run
        )
        self._demands = AdapterDemands()
        self._failures = FailureShare()
        self._published_failures = FailureShare()
        self._ledger = OrderLedger()
        self._quota_relay = QuotaRelay()
        self._origins = OriginTable()
        self._namer = EngineNamer(domain, service, address, engine, feed, clock)
        self._order_timeout = OrderTimeout()
        self._unreachable = False
        #: Target and incarnation that is registered at the address.
        self._start: tuple[TargetId, int] | None = None
        #: Start of the engine whose speed is measured.
        self._measured_born: int | None = None
        #: Start of the engine that the outstanding work belongs to.
        self._work_born: int | None = None
        self._report_due = False
        self._fencing_number = 0
        self._fence_requested_at = 0.0
        self._fence_request = 0
        self._wake = asyncio.Event()
        self._last_report: EngineReport | None = None
        self._last_report_at = 0.0
        self._paused_until = 0.0
        self._refusals_shared_until = 0.0
        self._spread_position = xxhash.xxh32_intdigest(host.encode()) / 2**32

    # Gateways ----------------------------------------------------------------

    async def serve_link(self, link: Link) -> None:
        """Serve one gateway until its link is closed."""
        self._links.add(link)
        self._uses.add_link(link)
        if self._last_report is not None:
            link.send(self._last_report)
            if self._rate_limit is not None:
                link.send(RateTold(self._last_report.target, self._rate_limit))
        try:
            async for message in link.receive():
                self._handle_gateway_message(link, message)
        finally:
            self._links.discard(link)
            self._turns.work.remove_owner(link, self._clock.monotonic())
            self._turns.remove_link(link)
            self._uses.remove_link(link, self._clock.monotonic())
            self._ends.runs.remove_owner(link, self._clock.monotonic())

    def greet_registry(self, link: Link) -> None:
        """Send a registry that has just been linked what it may have missed."""
        self._ends.greet_registry(link)

    def handle_registry_message(self, link: Link, message: Message) -> None:
        """Handle a message that a registry has sent to this steward only."""
        match message:
            case FenceAnswer(number, fence) if number == self._fence_request and fence:
                self._fencing_number = fence
                logger.info("fencing number received", extra={"fence": fence})
                self._wake.set()
            case FenceAnswer():
                pass
            case QuotaKept() | QuotaAnswer():
                self._quota_relay.handle_message(link, message)
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def list_gauges(self) -> dict[str, float]:
        """Return the current gauge values by name."""
        now = self._clock.monotonic()
        return {
            "fence": self._fencing_number,
            "gateways_linked": len(self._links),
            "adapters_wished": len(self._demands),
            "adapters_coming": len(self._ledger.list_loading()),
            "prompts_waiting": self._turns.count,
            "customers_waiting": self._turns.order.customers_waiting,
            "turns_reordered": self._turns.order.reordered,
            "fair_loads": self._demands.fair_loads,
            "prompts_running": len(self._ends.runs),
            "prompts_overdue": self._turns.window.overdue,
            "engine_crashes": self._ends.count,
            "prompt_limit": self._turns.window.limit,
            "read_rate": self._turns.window.speed.rate,
            "step_time": self._turns.step_time.seconds,
            "slowdown": self._turns.slowdown.read(self._clock.monotonic()),
            "rate_limit": self._rate_limit or 0.0,
            "streams_recorded": len(self._origins),
            "prompt_backlog": self._turns.work.prompt_backlog,
            "answer_backlog": self._turns.work.count_answer_backlog(now),
            "memory_expected": self._turns.work.count_memory(now),
        }

    def update_routes(self, routes: RouteSet) -> None:
        """Apply the route set that is in force now."""
        self._turns.window.gap = find_gap_objective(routes, self._service)
        spec = self._find_spec()
        self._turns.slots.slots = spec.slots if spec is not None else 0
        self._turns.memory = max(0, spec.cache_tokens) if spec is not None else 0
        self._wake.set()

    def _handle_gateway_message(self, link: Link, message: Message) -> None:
        now = self._clock.monotonic()
        match message:
            case AskTurn(number, key, version, wait, tokens, due, keys, work):
                waiter = Waiter(
                    link, number, key, now + wait, tokens, now + due, keys, work
                )
                self._handle_turn_request(waiter, version, now)
            case AskQuota():
                self._quota_relay.ask(link, message)
            case StreamBegan(stream, origin, lifetime):
                self._origins.record(stream, origin, now + lifetime, now)
            case AskOrigin(number, stream):
                link.send(OriginAnswer(number, self._origins.find(stream, now)))
            case BeginUse(key, tokens, number, keys, work):
                self._uses.record_request(key, now)
                self._uses.begin(link, key)
                self._ends.runs.begin(link, number, keys, now)
                sent = Waiter(link, number, key, now, tokens, now, keys, work)
                unread = self._turns.count_unread(sent)
                self._turns.begin_work(sent, unread)
                self._turns.record_sent(link, unread, number)
            case RateTold(target, rate):
                known = self._feed.view.find_by_address(self._address)
                if known is not None and known.target == target:
                    self._set_rate_limit(rate)
            case RefusalsTold(target, seconds):
                known = self._feed.view.find_by_address(self._address)
                if known is not None and known.target == target:
                    self._share_refusals(link, message, now + seconds)
            case PromptRead(tokens, seconds, number, slowdown):
                self._turns.slowdown.record(slowdown or None, now)
                self._record_prompt_read(link, number, tokens, seconds, now)
                self._report_slowdown()
                if seconds:
                    self._ends.runs.begin_answer(link, number, now)
            case EndUse(key, pause, failed, number, answer_tokens, duration):
                self._turns.work.end(link, number, now, answer_tokens, duration)
                self._turns.record_answer(
                    answer_tokens, self._find_event_tokens(), duration
                )
                self._ends.end_run(link, number, failed, now)
                if failed is not None:
                    self._record_request_outcome(failed, now)
                if failed:
                    # the engine may have ended
                    self._report_due = True
                    self._wake.set()
                if pause:
                    self._turns.window.record_pause(pause, now)
                self._turns.record_end(link)
                if self._uses.end(link, key, now) and self._demands:
                    self._wake.set()
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def _record_prompt_read(
        self, link: Link, number: int, tokens: int, seconds: float, now: float
    ) -> None:
        unread = self._turns.work.record_read(link, number, now)
        self._turns.record_read(
            link, tokens if unread is None else min(tokens, unread), seconds, number
        )

    def _handle_turn_request(self, waiter: Waiter, version: int, now: float) -> None:
        key = waiter.key
        self._uses.record_request(key, now)
        # An engine with a rate limit runs few requests and therefore looks idle. A
        # request that can't be sent in time is refused at once, while another engine
        # still has the time to serve it.
        if (
            self._unreachable
            or not self._turns.can_send_in_time(waiter, len(self._demands))
            or not self._turns.can_ever_fit(waiter)
        ):
            waiter.answer(False)
            return
        if self._ledger.holds(key, version):
            self._enqueue(waiter)
            return
        if now + self._engine.find_rest() > waiter.expires_at:
            waiter.answer(False)
            return
        self._demands.add(waiter, version)
        waiter.link.send(TurnNoted(waiter.number))
        self._wake.set()

    def _enqueue(self, waiter: Waiter) -> None:
        # the adapter counts as in use from now on, so that it isn't unloaded while the
        # request waits for its turn
        self._uses.begin(waiter.link, waiter.key)
        self._turns.add(waiter)

    def _begin_run(self, waiter: Waiter) -> None:
        now = self._clock.monotonic()
        self._ends.runs.begin(waiter.link, waiter.number, waiter.keys, now)

    def _release_waiter(self, waiter: Waiter) -> None:
        self._uses.end(waiter.link, waiter.key, self._clock.monotonic())

    def _publish_delay(self, seconds: float) -> None:
        target = self._feed.view.find_by_address(self._address)
        if target is not None:
            self._send_to_gateways(PromptDelay(target.target, round(seconds, 3)))

    def _record_request_outcome(self, failed: bool, now: float) -> None:
        self._failures.record(failed, now)
        share = self._failures.read(now)
        target = self._feed.view.find_by_address(self._address)
        if (
            target is None
            or abs(share - self._published_failures.read(now)) < FAILURE_SHARE_STEP
        ):
            return
        self._published_failures.set(share, now)
        self._send_to_gateways(FailuresTold(target.target, round(share, 3)))
        if failed:
            logger.info(
                "share of failed requests changed",
                extra={"target": target.target, "share": round(share, 3)},
            )

    def _set_rate_limit(self, rate: float | None) -> None:
        """Apply the limit named by the engine's latest answer, and notify all gateways.

        A gateway revokes the limit when it gets an answer that names none.

        :param rate: requests per second, None for no limit.
        """
        if rate != self._rate_limit:
            logger.info("engine rate limit changed", extra={"requests_a_second": rate})
            self._rate_limit = rate
            self._turns.set_rate_limit(rate)
            target = self._feed.view.find_by_address(self._address)
            if target is not None:
                self._send_to_gateways(RateTold(target.target, rate))

    def _share_refusals(self, link: Link, told: RefusalsTold, until: float) -> None:
        """Tell the other gateways of a rest, unless they know of one about as long."""
        if until - self._refusals_shared_until < REFUSALS_STEP_SECONDS:
            return
        self._refusals_shared_until = until
        for other in self._links - {link}:
            other.send(told)

    def _report_slowdown(self) -> None:
        """Report a slowdown that an answer has told and that gateways don't know."""
        slowdown = self._turns.slowdown.read(self._clock.monotonic())
        before = self._last_report
        if before is not None and abs(before.slowdown - slowdown) >= SLOWDOWN_STEP:
            self._wake.set()

    def _send_to_gateways(self, message: Message) -> None:
        for link in self._links:
            link.send(message)

    # Orders ------------------------------------------------------------------

    async def run(self) -> None:
        """Read reports, send orders and grant turns until cancelled."""
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
            self._demands.refuse_expired(now)
            if rest := self._find_rest():
                # Turns are granted meanwhile: the rest concerns this host alone.
                await asyncio.sleep(min(rest, IDLE_INTERVAL_SECONDS))
                continue
            if (
                self._report_due
                or self._ledger.report_needed
                or now - read_at >= self._read_interval()
            ):
                self._report_due = False
                await self._read_report()
                read_at = self._clock.monotonic()
            await self._namer.register_if_unknown(self._ledger.state)
            if await self._send_next_order():
                continue
            self._report(self._clock.monotonic())
            wait = max(0.005, read_at + self._read_interval() - self._clock.monotonic())
            self._wake.clear()
            await wait_for_event(self._wake, wait)

    def _find_rest(self) -> float:
        """Return the seconds for which the running engine wants no requests."""
        target = self._feed.view.find_by_address(self._address)
        start = (target.target, target.born) if target is not None else None
        if start != self._start:
            self._start = start
            self._engine.end_rest()
        return self._engine.find_rest()

    def _read_interval(self) -> float:
        return (
            BUSY_INTERVAL_SECONDS
            if self._ledger.has_pending_orders
            else IDLE_INTERVAL_SECONDS
        )

    async def _read_report(self) -> None:
        try:
            state = await self._read_state_with_retry()
        except LinkLost as error:
            if self._engine.find_rest():
                return
            if not self._unreachable:
                logger.warning("engine unreachable", extra={"reason": error.message})
            if isinstance(error, EngineGone):
                self._ends.record_gone()
            self._handle_engine_loss()
            return
        self._unreachable = False
        target = self._feed.view.find_by_address(self._address)
        self._ends.record_state(state, target)
        if state.leaving and target is not None and state.born in (0, target.born):
            self._feed.report_leaving(target.target, target.born)
        now = self._clock.monotonic()
        if self._ledger.record_report(state, now):
            logger.info("engine reachable", extra={"born": state.born})
            if state.born != self._measured_born or not state.born:
                self._measured_born = state.born
                self._turns.reset_speed()
            self._failures, self._published_failures = FailureShare(), FailureShare()
            self._set_rate_limit(None)
        self._turns.slowdown.record(state.slowdown, now)
        if state.born != self._work_born:
            if self._work_born is not None:
                self._turns.forget_work()
            self._work_born = state.born
        self._turns.kept.retain(list_adapters(state.holdings))
        self._turns.work.record_report(
            state.running, state.queued, state.cache_used, self._turns.memory, now
        )
        self._turns.record_report(state.running + state.queued)
        # A gateway's link may have closed while the report was read.
        self._demands.refuse_expired(self._clock.monotonic())
        for waiter in self._demands.pop_satisfied(self._ledger):
            self._enqueue(waiter)

    async def _read_state_with_retry(self) -> EngineState:
        try:
            return await self._engine.read_state()
        except LinkLost:
            # the connection may be reset although the engine is healthy
            return await self._engine.read_state()

    def _handle_engine_loss(self) -> None:
        """Refuse all waiting requests at once, so that they are sent elsewhere.

        An engine that is down has no load and looks like the best choice. Requests
        that kept waiting for it would be too late for any other engine as well.
        """
        self._unreachable = True
        self._ledger.record_unreachable()
        self._demands.refuse_all()
        self._turns.refuse_all()
        if self._last_report is not None and self._last_report.holdings:
            lost = msgspec.structs.replace(
                self._last_report,
                holdings=(),
                loading=(),
                model_wait=UNREACHABLE_WAIT_SECONDS,
            )
            self._send_report(lost)

    def _send_report(self, report: EngineReport) -> None:
        self._last_report, self._last_report_at = report, self._clock.monotonic()
        self._send_to_gateways(report)

    async def _send_next_order(self) -> bool:
        """Send the next order, if one is due.

        :returns: whether the engine accepted an order.
        """
        now = self._clock.monotonic()
        if not self._fencing_number:
            self._request_fencing_number(now)
            return False
        order = self._choose_order(now)
        if order is None:
            return False
        if self._engine.find_rest():
            return False
        outcome = await self._engine.send_order(order, self._order_timeout.seconds)
        if outcome is OrderOutcome.UNKNOWN:
            self._order_timeout.record_timeout()
        else:
            self._order_timeout.record_answer(self._clock.monotonic() - now)
        self._record_order_outcome(order, outcome)
        return outcome in (OrderOutcome.STARTED, OrderOutcome.COMPLETED)

    def _choose_order(self, now: float) -> WeightOrder | None:
        state, spec = self._ledger.state, self._find_spec()
        if state is None or spec is None or state.busy or now < self._paused_until:
            return None
        target = self._feed.view.find_by_address(self._address)
        if target is None or (state.born and target.born != state.born):
            return None
        # An order whose answer was lost may still be carried out seconds later. Sending
        # the same order again is harmless: the engine refuses whichever arrives second,
        # as its sequence is outdated then. A different order in its place could make
        # the two together exceed the adapter slots.
        if (again := self._ledger.unanswered_order) is not None:
            return self._make_order(again.load, again.key, again.version, target)
        choice = choose_order(
            spec,
            self._ledger.make_engine_weights(
                self._uses.last_used, self._uses.list_in_use(now)
            ),
            self._list_demands(now),
            self._feed.floors,
            self._feed.floor_received_at,
            self._uses.reuse,
            now,
            self._spread_position,
            self._ledger.pace,
            self._demands.fair_first,
        )
        match choice:
            case Idle():
                return None
            case Load(key, version):
                return self._make_order(True, key, version, target)
            case Unload(key):
                return self._make_order(False, key, 0, target)

    def _list_demands(self, now: float) -> list[AdapterDemand]:
        ready_at = now + self._ledger.pace.read(now)
        rate = self._turns.window.speed.rate
        return self._demands.list_demands(ready_at, rate)

    def _make_order(
        self, load: bool, key: WeightKey, version: int, target: Registration
    ) -> WeightOrder:
        return WeightOrder(
            load,
            key,
            version,
            self._ledger.sequence,
            self._host,
            self._fencing_number,
            target.target,
        )

    def _record_order_outcome(self, order: WeightOrder, outcome: OrderOutcome) -> None:
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
                "outcome": outcome.value,
            },
        )
        self._ledger.record_outcome(order, outcome, now)
        if order.load and outcome in (OrderOutcome.STARTED, OrderOutcome.COMPLETED):
            self._demands.record_load(order.key, now)
        match outcome:
            case OrderOutcome.FENCED:
                self._fencing_number = 0
            case (
                OrderOutcome.BUSY
                | OrderOutcome.IMPOSSIBLE
                | OrderOutcome.WRONG_INSTANCE
            ):
                self._paused_until = now + BUSY_INTERVAL_SECONDS

    def _request_fencing_number(self, now: float) -> None:
        if now - self._fence_requested_at < FENCE_RETRY_SECONDS:
            return
        links = [link for _, link in self._feed.list_log_registries()]
        if not links:
            # which registries keep the log is unknown until the first of them answers
            links = [link for link in self._feed.links.values() if not link.closed]
        if not links:
            return
        self._fence_requested_at = now
        self._fence_request += 1
        # each request goes to another registry, as one may be cut off from the quorum
        links[self._fence_request % len(links)].send(AskFence(self._fence_request))

    def _find_event_tokens(self) -> int:
        spec = self._find_spec()
        return spec.event_tokens if spec is not None else 1

    def _find_spec(self) -> EngineSpec | None:
        found = self._feed.find_service(self._service)
        return found.engine if found is not None else None

    # Reports -----------------------------------------------------------------

    def _count_free_slots(self, holdings: tuple[Holding, ...], loading: int) -> int:
        spec = self._find_spec()
        if spec is None:
            return 0
        running = self._uses.list_in_use(self._clock.monotonic())
        used = len(running & list_adapters(holdings).keys())
        unloading = self._ledger.count_unloading()
        return max(0, spec.adapter_slots - used - loading - unloading)

    def _expect_model_wait(self, holdings: tuple[Holding, ...], now: float) -> float:
        state = self._ledger.state
        if holdings or state is None:
            return 0.0
        source = find_source(self._find_spec(), state.in_memory, state.on_disk)
        wait = estimate_model_wait(
            self._find_spec(), source, self._ledger.model_load_ordered_at, now
        )
        return round(wait, 2)

    def _report(self, now: float) -> None:
        state, target = (
            self._ledger.state,
            self._feed.view.find_by_address(self._address),
        )
        if state is None or target is None:
            return
        loading, holdings = self._ledger.list_loading(), self._ledger.list_holdings()
        report = EngineReport(
            target.target,
            state.born or target.born,
            holdings,
            tuple(loading.items()),
            state.running,
            state.queued,
            state.cache_used,
            state.cache_total,
            self._count_free_slots(holdings, len(loading)),
            tuple(key for key in self._demands if key not in loading),
            round(self._turns.window.speed.rate, -2),
            self._expect_model_wait(holdings, now),
            round(self._turns.step_time.seconds, 4),
            round(self._turns.slowdown.read(now), 2),
            usual_slowdown=round(self._turns.slowdown.usual, 2),
            prompt_backlog=self._turns.work.prompt_backlog,
            answer_backlog=self._turns.work.count_answer_backlog(now),
            memory_expected=self._turns.work.count_memory(now),
        )
        before = self._last_report
        same = before is not None and (
            (before.target, before.born, before.holdings)
            == (report.target, report.born, report.holdings)
            and (before.loading, before.awaited) == (report.loading, report.awaited)
            and abs(before.model_wait - report.model_wait) < MODEL_WAIT_STEP_SECONDS
            and abs(before.slowdown - report.slowdown) < SLOWDOWN_STEP
        )
        # Gateways forget a slowdown within moments, so it is repeated while it lasts.
        slowed = abs(report.slowdown - report.usual_slowdown) >= SLOWDOWN_STEP
        interval = IDLE_INTERVAL_SECONDS if slowed else REPORT_INTERVAL_SECONDS
        if (report == before and not slowed) or (
            same and now - self._last_report_at < interval
        ):
            return
        self._send_report(report)
