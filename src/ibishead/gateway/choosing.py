"""Selects the target of a request and waits until the request may be sent to it.

A request for an engine waits at the engine's steward for its adapter and for its turn,
which is the permission to send one prompt to the engine. A request that no engine can
take in time is refused as not run.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ibishead.clock import Clock
from ibishead.decisions.choice import Chosen, Need, choose_target
from ibishead.decisions.holding import compute_hold
from ibishead.errors import ErrorCode, IbisheadError, Refused, Unavailable
from ibishead.gateway.recorder import RequestState
from ibishead.gateway.restarts import RestartWatch
from ibishead.gateway.stewards import StewardLinks, TurnOutcome
from ibishead.gateway.tracker import TargetTracker
from ibishead.ids import FailureDomain, SoftwareVersion
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Registration

__all__ = ["DISCOVERY_SECONDS", "MIN_RETRY_AFTER_SECONDS", "TargetChooser"]

#: Time-out of the wait for a turn at one engine, as a multiple of the route's objective
#: and as a minimum in seconds. After that, another engine may be faster.
TURN_TIMEOUT_FACTOR = 1.5
MIN_TURN_TIMEOUT_SECONDS = 0.8

#: Time after which a request that no engine has begun is refused, as a multiple of the
#: route's objective. Callers of streams disconnect after about four times that
#: objective without an event; an earlier refusal lets them retry once elsewhere.
REFUSE_FACTOR = 2.5

#: Seconds since the start during which targets may still be unknown. Targets announce
#: themselves about once per second.
DISCOVERY_SECONDS = 3.0

#: Seconds between two checks for known targets during discovery.
DISCOVERY_POLL_SECONDS = 0.02

#: Retry-after time in seconds while no target of a stream's software version is ready.
#: A target that has crashed is replaced or restarted in about this time.
VERSION_RETRY_SECONDS = 1.0

#: Minimum retry-after time in seconds, and retry-after time as a share of the expected
#: wait. The result is varied randomly by up to half in either direction.
MIN_RETRY_AFTER_SECONDS = 0.5
RETRY_AFTER_SHARE = 0.7

#: Seconds after the end of a rest within which callers may return.
REST_SPREAD_SECONDS = 0.5


class TargetChooser:
    """Selects targets by the registries' feed, the tracker and the stewards.

    :param draw: returns a random number in [0, 1), for ties and retry-after times.
    """

    def __init__(
        self,
        domain: FailureDomain,
        feed: RegistryFeed,
        tracker: TargetTracker,
        stewards: StewardLinks,
        restarts: RestartWatch,
        clock: Clock,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._domain = domain
        self._feed = feed
        self._tracker = tracker
        self._stewards = stewards
        self._restarts = restarts
        self._clock = clock
        self._draw = draw
        self._started_at = clock.monotonic()

    async def choose(self, request: RequestState) -> Registration:
        """Return a target that the request may be sent to now.

        It names no software version if that is uncertain.

        :raises IbisheadError: no target takes the request in time.
        """
        await self._wait_for_discovery(request)
        while True:
            chosen = self._select(request, self._clock.monotonic())
            request.progress.selected_at = self._clock.monotonic()
            target = self._feed.view.get(chosen.candidate.target)
            if target is None:
                raise self.make_refusal(request, "the selected target has deregistered")
            if not await self._wait_for_return(request, target):
                continue
            if request.call.engine_key is None:
                await self._wait_for_rate_limit(request, target, chosen)
                current = self._find_current(request, target)
                if current is not None:
                    return current
                continue
            request.placement = chosen.candidate.adapter.describe()
            match await self._wait_for_turn(request, target, chosen):
                case TurnOutcome.GRANTED:
                    current = self._find_current(request, target)
                    if current is not None:
                        return current
                    self._return_turn(request, target)
                    request.last_reason = (
                        "the engine left or started again during the wait"
                    )
                case TurnOutcome.UNRESPONSIVE:
                    request.last_reason = "the engine's steward did not respond"
                case TurnOutcome.LATE:
                    request.last_reason = "the engine granted no turn in time"
            request.avoid.add(target.target)

    async def _wait_for_discovery(self, request: RequestState) -> None:
        now = self._clock.monotonic()
        hold = compute_hold(request.call.timeout)
        end = min(now + hold, self._started_at + DISCOVERY_SECONDS)
        while now < end and not self._list_targets(request):
            await asyncio.sleep(DISCOVERY_POLL_SECONDS)
            now = self._clock.monotonic()

    async def _wait_for_return(
        self, request: RequestState, target: Registration
    ) -> bool:
        """Wait until a target that has rested takes the request.

        :returns: whether the target doesn't rest again.
        """
        now = self._clock.monotonic()
        wait = self._tracker.take_return(target, now)
        if wait > max(0.0, self._find_remaining(request, now)):
            raise self.make_refusal(request, "no target takes it in time after a rest")
        if wait > 0:
            await asyncio.sleep(wait)
        return not self._tracker.find_rest(target, self._clock.monotonic())

    async def _wait_for_rate_limit(
        self, request: RequestState, target: Registration, chosen: Chosen
    ) -> None:
        """Wait for this gateway's share of a target's rate limit."""
        now = self._clock.monotonic()
        if chosen.wait > max(0.0, self._find_remaining(request, now)):
            raise self.make_refusal(
                request, "no target's rate limit admits the request in time"
            )
        wait = self._tracker.stats(target).send_rate.take(now)
        if wait > 0:
            await asyncio.sleep(wait)

    async def _wait_for_turn(
        self, request: RequestState, target: Registration, chosen: Chosen
    ) -> TurnOutcome:
        """Wait for the adapter and for the request's turn at an engine."""
        call, adapter = request.call, chosen.candidate.adapter
        key = call.engine_key
        assert key is not None
        now = self._clock.monotonic()
        outcome = TurnOutcome.UNRESPONSIVE
        if self._stewards.is_available(target.address):
            timeout = self._find_turn_timeout(request, now)
            if timeout <= 0:
                raise self.make_refusal(
                    request, request.last_reason or "no engine was free"
                )
            if chosen.wait > self._find_remaining(request, now):
                raise self.make_refusal(request, "no engine can take it in time")
            stats = self._tracker.stats(target)
            if not adapter.resident:
                self._tracker.begin_wait(stats, key)
            request.progress.use_number = self._stewards.take_number()
            try:
                outcome = await self._stewards.request_turn(
                    target.address,
                    key,
                    self._find_min_version(request),
                    wait=timeout,
                    tokens=call.prompt_tokens,
                    due=request.selection_started + request.route.objective - now,
                    number=request.progress.use_number,
                    keys=request.keys,
                    work=request.work,
                )
            finally:
                if not adapter.resident:
                    self._tracker.end_wait(stats, key)
            request.turn_wait += self._clock.monotonic() - now
        if (
            outcome is TurnOutcome.UNRESPONSIVE
            and adapter.resident
            and self._is_engine_responsive(target)
        ):
            # The steward has exited or is slow while its engine works. A request for
            # weights that the engine already holds needs no load, so it is sent
            # without a turn.
            send_rate = self._tracker.stats(target).send_rate
            if send_rate.wait(now := self._clock.monotonic()) > 0:
                return TurnOutcome.LATE
            send_rate.take(now)
            number = request.progress.use_number = self._stewards.take_number()
            self._stewards.begin_use(
                target.address,
                key,
                call.prompt_tokens,
                number,
                request.keys,
                request.work,
            )
            return TurnOutcome.GRANTED
        return outcome

    def _find_current(
        self, request: RequestState, target: Registration
    ) -> Registration | None:
        """Return the current registration of a target that was waited for.

        The target may have started again under its ID meanwhile, with other software.

        :returns: ``None`` if the request may not run there any more.
        """
        current = self._feed.view.get(target.target)
        if current is None or not self._may_run(request, current):
            return None
        if not self._restarts.is_certain(current):
            return msgspec.structs.replace(current, software=SoftwareVersion(""))
        return current

    def _may_run(self, request: RequestState, target: Registration) -> bool:
        """Return whether the software of a target may run a request.

        The events of two software versions don't fit together, so a stream that has
        begun may only go on at the version that began it.
        """
        origin = request.progress.origin
        if origin is None:
            return True
        return (
            bool(origin.software)
            and target.software == origin.software
            and self._restarts.is_certain(target)
        )

    def _return_turn(self, request: RequestState, target: Registration) -> None:
        key = request.call.engine_key
        if key is not None:
            number = request.progress.use_number
            self._stewards.return_turn(target.address, key, number)

    def _is_engine_responsive(self, target: Registration) -> bool:
        """Return whether a request may be sent to an engine without a turn.

        The host of steward and engine may be frozen. A request sent there would stay
        pending until its caller disconnects, and could not be resent as it may have
        run. So while a linked steward is unresponsive, its engine must have sent data
        recently.
        """
        if not self._stewards.is_unresponsive(target.address):
            return True
        stats = self._tracker.stats(target)
        return self._tracker.is_responsive(stats, self._clock.monotonic())

    def _find_turn_timeout(self, request: RequestState, now: float) -> float:
        """Return the seconds that a request may wait for a turn at one engine."""
        timeout = max(
            MIN_TURN_TIMEOUT_SECONDS, TURN_TIMEOUT_FACTOR * request.route.objective
        )
        return min(timeout, self._find_remaining(request, now))

    def _find_remaining(self, request: RequestState, now: float) -> float:
        """Return the seconds until a request that has not been sent is refused."""
        end = request.selection_started + REFUSE_FACTOR * request.route.objective
        if request.route.objective <= 0:
            end = request.deadline
        return min(request.deadline, end) - now

    def _select(self, request: RequestState, now: float) -> Chosen:
        key = request.call.engine_key
        min_version = self._find_min_version(request)
        spec = self.find_spec(request)
        self._check_size(request, spec)
        candidates = [
            self._tracker.make_candidate(
                target,
                self._feed.view.last_seen(target.target) if self._feed.links else now,
                now,
                key,
                min_version,
                self._stewards.is_available(target.address),
                spec,
                self._stewards.is_unresponsive(target.address),
                request.chain,
            )
            for target in self._list_targets(request)
        ]
        if not candidates and request.progress.origin is not None:
            raise self._make_version_refusal(request)
        need = Need(
            self._domain,
            key,
            # Batched requests differ by their answers, and their run time only counts
            # where the whole batch is in use.
            self._tracker.mean_duration(
                request.service, request.route.name if key is None else None
            ),
            frozenset(request.avoid),
            prompt_tokens=request.call.prompt_tokens if key is not None else 0,
            gap_objective=request.route.gap_objective,
            event_tokens=spec.event_tokens if spec is not None else 1,
        )
        chosen = choose_target(need, candidates, self._draw)
        if chosen is None:
            raise self.make_refusal(
                request, request.last_reason or "no target is known"
            )
        request.expected_wait = chosen.wait
        return chosen

    def _check_size(self, request: RequestState, spec: EngineSpec | None) -> None:
        """Refuse a request that no engine of the service can hold."""
        if spec is None or spec.cache_tokens <= 0 or request.call.engine_key is None:
            return
        needed = request.call.prompt_tokens + request.work.answer_tokens
        if needed > spec.cache_tokens:
            raise self.make_refusal(request, "it exceeds the memory of an engine")

    def _list_targets(self, request: RequestState) -> list[Registration]:
        """Return the ready targets that may run a request."""
        ready = self._feed.view.list_ready_targets(request.service)
        return [target for target in ready if self._may_run(request, target)]

    def find_spec(self, request: RequestState) -> EngineSpec | None:
        """Return the capacity of an engine of the request's service."""
        service = self._feed.find_service(request.service)
        return service.engine if service is not None else None

    def _find_min_version(self, request: RequestState) -> int:
        key = request.call.weights
        floor = self._feed.floors.get(key) if key is not None else None
        return 0 if floor is None else floor.version

    def _make_version_refusal(self, request: RequestState) -> IbisheadError:
        origin = request.progress.origin
        software = origin.software if origin else ""
        reason = f"no target of software version {software!r}, which began the stream"
        return Unavailable(
            f"not run: {reason}",
            "retry after the given time, or begin the stream anew",
            code=ErrorCode.NO_TARGET,
            retry_after=timedelta(seconds=VERSION_RETRY_SECONDS * (0.5 + self._draw())),
        )

    def make_refusal(self, request: RequestState, reason: str) -> IbisheadError:
        """Return the error for a request that no target takes."""
        # During an outage many callers are refused within moments of each other. A
        # random retry-after time keeps them from retrying simultaneously.
        wait = max(MIN_RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * request.expected_wait)
        wait *= 0.5 + self._draw()
        if rest := self._find_rest(request):
            reason = "all targets have asked for rest"
            wait = rest + REST_SPREAD_SECONDS * self._draw()
        return Refused(
            f"not run: {reason}",
            "retry after the given time",
            retry_after=timedelta(seconds=wait),
        )

    def _find_rest(self, request: RequestState) -> float:
        """Return the seconds until a target ends its rest, 0 if one doesn't rest."""
        now = self._clock.monotonic()
        rests = (self._tracker.find_rest(t, now) for t in self._list_targets(request))
        return min(rests, default=0.0)
