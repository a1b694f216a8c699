"""Chooses the target of a request, and waits until it may be sent there.

Requests for engines wait at a steward for their adapter and for their prompt's turn;
what no engine can take in time is refused, as not run.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.decisions.choice import Chosen, Need, choose_target
from ibishead.decisions.holding import find_hold
from ibishead.errors import IbisheadError, OutcomeUnknown, Refused
from ibishead.gateway.accounts import RequestState
from ibishead.gateway.book import TargetBook
from ibishead.gateway.stewards import StewardLinks, TurnEnd
from ibishead.ids import FailureDomain
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.routes import EngineSpec
from ibishead.routing.targets import Registration

__all__ = ["LEARN_TIME", "RETRY_WAIT", "TargetChooser"]

#: Seconds that a request waits for its turn at one engine, as a multiple of what its
#: route aims at, and at least. After that another engine may be quicker.
TURN_FACTOR = 1.5
TURN_LEAST = 0.8

#: Seconds until a request that no engine has begun is refused, as a multiple of what
#: its route aims at. Callers of streams leave after some four times that without an
#: event; a refusal before lets them try once more, elsewhere.
REFUSE_FACTOR = 2.5

#: Seconds since the start in which targets may be still unknown: they announce
#: themselves every second or so.
LEARN_TIME = 3.0

#: Seconds between two looks for a target.
LEARN_INTERVAL = 0.02

#: Seconds after which callers may come back, at least, and the share of the wait that
#: is expected; half of that is added or taken off by chance.
RETRY_WAIT = 0.5
EXPECTED_SHARE = 0.7


class TargetChooser:
    """Chooses with what the feed, the book and the stewards know.

    :param draw: returns a number from 0 up to 1, for ties and for times to come back.
    """

    def __init__(
        self,
        domain: FailureDomain,
        feed: RegistryFeed,
        book: TargetBook,
        stewards: StewardLinks,
        clock: Clock,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._domain = domain
        self._feed = feed
        self._book = book
        self._stewards = stewards
        self._clock = clock
        self._draw = draw
        self._began = clock.monotonic()

    async def choose(self, request: RequestState) -> Registration:
        """Return a target that the request may be sent to now."""
        await self._await_targets(request)
        while True:
            chosen = self._pick(request, self._clock.monotonic())
            target = self._feed.view.get(chosen.candidate.target)
            if target is None:
                raise self.refuse(request, "the target has just left")
            if request.call.engine_key is None:
                if await self._wait_share(request, target, chosen):
                    return target
                continue
            request.placed = chosen.candidate.adapter.describe()
            match await self._wait_turn(request, target, chosen):
                case TurnEnd.GIVEN:
                    return target
                case TurnEnd.MUTE:
                    request.last = "the engine's steward was silent"
                case TurnEnd.LATE:
                    request.last = "the engine had no turn in time"
            request.avoid.add(target.target)

    async def _await_targets(self, request: RequestState) -> None:
        view, now = self._feed.view, self._clock.monotonic()
        hold = find_hold(request.call.patience)
        last = min(now + hold, self._began + LEARN_TIME)
        while now < last and not view.list_ready_targets(request.service):
            await asyncio.sleep(LEARN_INTERVAL)
            now = self._clock.monotonic()

    async def _wait_share(
        self, request: RequestState, target: Registration, chosen: Chosen
    ) -> bool:
        """Wait for this gateway's part of a target's limit.

        :returns: whether the target is still there.
        """
        now = self._clock.monotonic()
        if chosen.wait > max(0.0, self._find_rest(request, now)):
            raise self.refuse(request, "no target's limit lets it through in time")
        wait = self._book.notes(target).share.take(now)
        if wait > 0:
            await asyncio.sleep(wait)
        return self._feed.view.get(target.target) is not None

    async def _wait_turn(
        self, request: RequestState, target: Registration, chosen: Chosen
    ) -> TurnEnd:
        """Wait for the adapter, and for the prompt's turn."""
        call, adapter = request.call, chosen.candidate.adapter
        key = call.engine_key
        assert key is not None
        now = self._clock.monotonic()
        end = TurnEnd.MUTE
        if self._stewards.reaches(target.address):
            wait = self._find_patience(request, now)
            if wait <= 0:
                raise self.refuse(request, request.last or "no engine was free")
            if chosen.wait > self._find_rest(request, now):
                raise self.refuse(request, "no engine can take it in time")
            notes = self._book.notes(target)
            if not adapter.resident:
                self._book.begin_ask(notes, key)
            try:
                end = await self._stewards.ask_turn(
                    target.address,
                    key,
                    self._least_version(request),
                    wait=wait,
                    tokens=call.prompt_tokens,
                    due=request.since + request.route.objective - now,
                )
            finally:
                if not adapter.resident:
                    self._book.end_ask(notes, key)
            request.turn_wait += self._clock.monotonic() - now
        if end is TurnEnd.MUTE and adapter.resident and self._seems_well(target):
            # Failure: a steward has ended, or is late, and its engine is well. What the
            # engine already holds needs no order, so the request goes there at once.
            share = self._book.notes(target).share
            if share.wait(now := self._clock.monotonic()) > 0:
                return TurnEnd.LATE
            share.take(now)
            self._stewards.begin_use(target.address, key, call.prompt_tokens)
            return TurnEnd.GIVEN
        return end

    def _seems_well(self, target: Registration) -> bool:
        """Return whether an engine may be sent to without its steward's word.

        Failure: the host of steward and engine stands still. What is sent there waits
        until its caller leaves, and may not be sent elsewhere, as it may have run. So
        while the steward is linked and mute, only an engine that brings events counts.
        """
        if not self._stewards.is_mute(target.address):
            return True
        notes = self._book.notes(target)
        return self._book.is_alive(notes, self._clock.monotonic())

    def _find_patience(self, request: RequestState, now: float) -> float:
        """Return the seconds that a request may wait at one engine."""
        most = max(TURN_LEAST, TURN_FACTOR * request.route.objective)
        return min(most, self._find_rest(request, now))

    def _find_rest(self, request: RequestState, now: float) -> float:
        """Return the seconds until a request is refused if it can't be sent."""
        last = request.since + REFUSE_FACTOR * request.route.objective
        if request.route.objective <= 0:
            last = request.deadline
        return min(request.deadline, last) - now

    def _pick(self, request: RequestState, now: float) -> Chosen:
        key = request.call.engine_key
        least = self._least_version(request)
        spec = self.find_spec(request)
        candidates = [
            self._book.describe(
                target,
                self._feed.view.last_seen(target.target) if self._feed.links else now,
                now,
                key,
                least,
                self._stewards.reaches(target.address),
                spec,
                self._stewards.is_mute(target.address),
            )
            for target in self._feed.view.list_ready_targets(request.service)
        ]
        need = Need(
            self._domain,
            key,
            self._book.mean_time(request.service),
            frozenset(request.avoid),
        )
        chosen = choose_target(need, candidates, self._draw)
        if chosen is None:
            raise self.refuse(request, request.last or "no target is known")
        request.expected = chosen.wait
        return chosen

    def find_spec(self, request: RequestState) -> EngineSpec | None:
        """Return what an engine of the request's service has room for."""
        service = self._feed.find_service(request.service)
        return service.engine if service is not None else None

    def _least_version(self, request: RequestState) -> int:
        key = request.call.weights
        floor = self._feed.floors.get(key) if key is not None else None
        return 0 if floor is None else floor.version

    def refuse(self, request: RequestState, reason: str) -> IbisheadError:
        """Return what a caller is told whose request no target takes."""
        if request.progress.sends:
            return OutcomeUnknown(
                f"an earlier send may have run, and then: {reason}",
                "check before you send it again",
            )
        # Callers of an outage are refused within moments of each other; told the same
        # time, they would come back together.
        wait = max(RETRY_WAIT, EXPECTED_SHARE * request.expected)
        return Refused(
            f"not run: {reason}",
            "come back after the time that is named",
            retry_after=timedelta(seconds=wait * (0.5 + self._draw())),
        )
