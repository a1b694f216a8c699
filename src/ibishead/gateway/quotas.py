"""Charges requests to their customers' quotas, at the registry that keeps them.

All requests that arrive in one iteration of the event loop are charged with one
message. A request waits for the answer, about one round trip. A gateway that can't
reach the registry asks through a steward.
"""

import asyncio
import contextlib
import itertools
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from ibishead.clock import Clock
from ibishead.errors import ErrorCode, Refused, Unavailable
from ibishead.ids import CustomerId
from ibishead.links import Link
from ibishead.routing.customers import Customer
from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaKept, QuotaVerdict
from ibishead.waiting import wait_for_event

__all__ = ["Charge", "QuotaClient"]

logger = logging.getLogger(__name__)

#: Seconds without an answer after which a question is repeated, and for which questions
#: are then relayed by stewards.
REPEAT_SECONDS = 0.25
RELAY_SECONDS = 1.0

#: Seconds until a question is repeated that can't be answered now.
UNCERTAIN_RETRY_SECONDS = 0.1

#: Seconds without a link to a keeper and without its answers after which requests no
#: longer wait for one, but for an answer that a steward may relay. An election takes
#: less, so this gateway is cut off and others may serve its callers.
STALL_SECONDS = 2.0
STALLED_WAIT_SECONDS = 0.3

#: Seconds for which charges that are given back are collected.
RETURN_INTERVAL_SECONDS = 0.1

#: Minimum and maximum time after which a refused caller is told to come back.
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 5.0

#: Minimum time after which a caller is told to come back whose quota could not be
#: checked.
UNKNOWN_RETRY_AFTER_SECONDS = 0.5


@dataclass(frozen=True)
class Charge:
    """A request's charge to the quota of its customer.

    :param charged_at: monotonic seconds, not later than the charge itself.
    :param term: term of the registry that made it.
    """

    customer: CustomerId
    cost: float
    charged_at: float
    term: int


@dataclass(eq=False)
class _Demand:
    """A request that waits to be charged.

    :ivar asked_at: monotonic seconds of the question whose answer is `verdict`.
    """

    customer: Customer
    cost: float
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    verdict: QuotaVerdict | None = None
    asked_at: float = 0.0
    term: int = 0


@dataclass(frozen=True)
class _Question:
    """An `AskQuota` that has been sent."""

    demands: Sequence[_Demand]
    sent_at: float
    term: int


class QuotaClient:
    """Charges this gateway's requests.

    :param lifetime: seconds after which a charge no longer covers a request that has
        not been sent. It bounds by how much the requests sent in some period exceed
        those charged in it.
    :param draw: returns a random number in [0, 1), for retry-after times.
    :param find_relay: returns a link to a steward, or ``None``.
    """

    def __init__(
        self,
        clock: Clock,
        lifetime: float,
        draw: Callable[[], float] = random.random,
        find_relay: Callable[[], Link | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._lifetime = lifetime
        self._draw = draw
        self._find_relay = find_relay
        self._relay_until = 0.0
        self._numbers = itertools.count(1)
        self._keeper: Link | None = None
        self._term = 0
        self._waiting: list[_Demand] = []
        self._questions: dict[int, _Question] = {}
        self._returned: list[tuple[CustomerId, float]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._last_linked = clock.monotonic()

    @property
    def keeper(self) -> Link | None:
        """Link to the registry that keeps the accounts, the leader of the log.

        ``None`` while it is unknown or its link doesn't work.
        """
        link = self._keeper
        return None if link is None or link.closed or link.overdue else link

    def is_stalled(self) -> bool:
        """Return whether there has been no keeper for longer than an election takes."""
        now = self._clock.monotonic()
        if self.keeper is not None:
            self._last_linked = now
        return now - self._last_linked > STALL_SECONDS

    def handle_relayed(self, message: QuotaKept | QuotaAnswer) -> None:
        """Handle a message from a steward that relays questions."""
        match message:
            case QuotaKept(term) if term > self._term:
                # the keeper of this term can't be reached directly
                self._keeper, self._term = None, term
                self._returned.clear()
                self._repeat_all()
            case QuotaAnswer(number, verdicts):
                self._handle_answer(number, verdicts)

    def handle_message(self, link: Link, message: QuotaKept | QuotaAnswer) -> None:
        """Handle a message from a registry."""
        match message:
            case QuotaKept(term) if term >= self._term:
                logger.info(
                    "quota keeper changed",
                    extra={"peer": link.peer.host, "term": term},
                )
                if term > self._term:
                    # charges of an earlier term are in no account
                    self._returned.clear()
                self._keeper, self._term = link, term
                self._relay_until = 0.0
                self._repeat_all()
            case QuotaAnswer(number, verdicts):
                self._relay_until = 0.0
                self._handle_answer(number, verdicts)

    async def charge(
        self, customer: Customer, tokens: int | None, wait: float
    ) -> Charge | None:
        """Charge a request to its customer's quota.

        :param tokens: tokens that it needs, ``None`` if it doesn't say.
        :param wait: seconds to wait for a registry that keeps the accounts, unless this
            gateway has had none for long.
        :returns: ``None`` if the customer has no quota.
        :raises Refused: the quota is used up.
        :raises Unavailable: no registry answered.
        """
        quota = customer.quota
        if quota is None:
            return None
        demand = _Demand(customer, quota.cost(tokens))
        started = self._clock.monotonic()
        if self.is_stalled():
            wait = min(wait, STALLED_WAIT_SECONDS if self._find_relay() else 0.0)
        self._ask(demand)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wait)):
                    await self._repeat_until_answered(demand)
        except asyncio.CancelledError:
            if demand.verdict is not None and demand.verdict.granted:
                self.give_back(_make_charge(demand))
            raise
        finally:
            self._withdraw(demand)
        verdict = demand.verdict
        if verdict is None:
            waited = self._clock.monotonic() - started
            raise Unavailable(
                f"not run: no registry has confirmed the quota for {waited:.1f} s",
                "retry after the given time",
                code=ErrorCode.NO_QUORUM,
                retry_after=self._spread(UNKNOWN_RETRY_AFTER_SECONDS),
            )
        if not verdict.granted:
            raise self._make_refusal(demand, verdict)
        return _make_charge(demand)

    def is_valid(self, charge: Charge) -> bool:
        """Return whether a charge still covers its request."""
        return self._clock.monotonic() - charge.charged_at < self._lifetime

    def give_back(self, charge: Charge) -> None:
        """Give back the charge of a request that has certainly not run."""
        if charge.term == self._term and self.is_valid(charge):
            self._returned.append((charge.customer, charge.cost))
            self._schedule_flush(RETURN_INTERVAL_SECONDS)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def _repeat_until_answered(self, demand: _Demand) -> None:
        while not await wait_for_event(demand.answered, REPEAT_SECONDS):
            self._relay_until = self._clock.monotonic() + RELAY_SECONDS
            self._ask(demand)

    def _ask(self, demand: _Demand) -> None:
        if demand not in self._waiting:
            self._waiting.append(demand)
        self._schedule_flush(0.0)

    def _schedule_flush(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        if self._timer is not None and self._timer.when() <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(due, self._flush)

    def _flush(self) -> None:
        self._timer = None
        link = self._choose_link()
        if link is None:
            # the demands are sent once a registry announces that it keeps the accounts
            return
        demands, self._waiting = self._waiting, []
        returned, self._returned = self._returned, []
        if not demands and not returned:
            return
        number = next(self._numbers)
        sent_at = self._clock.monotonic()
        self._forget_questions(sent_at - self._lifetime)
        if demands:
            self._questions[number] = _Question(demands, sent_at, self._term)
        asked = tuple((demand.customer.name, demand.cost) for demand in demands)
        link.send(AskQuota(number, self._term, asked, tuple(returned)))

    def _choose_link(self) -> Link | None:
        keeper = self.keeper
        if keeper is not None and self._clock.monotonic() >= self._relay_until:
            return keeper
        return self._find_relay() or keeper

    def _forget_questions(self, before: float) -> None:
        """Forget old questions: a charge that they lead to can't be given back."""
        self._questions = {
            number: question
            for number, question in self._questions.items()
            if question.sent_at >= before
        }

    def _handle_answer(
        self, number: int, verdicts: tuple[QuotaVerdict, ...] | None
    ) -> None:
        question = self._questions.pop(number, None)
        if question is not None:
            self._handle_verdicts(question, verdicts)

    def _handle_verdicts(
        self, question: _Question, verdicts: tuple[QuotaVerdict, ...] | None
    ) -> None:
        if verdicts is None:
            if question.term == self._term:
                self._waiting.extend(_list_unanswered(question.demands, self._waiting))
                self._schedule_flush(UNCERTAIN_RETRY_SECONDS)
            return
        self._last_linked = self._clock.monotonic()
        for demand, verdict in zip(question.demands, verdicts, strict=False):
            if demand.answered.is_set():
                # the answer to an earlier or later question about the same request
                if verdict.granted:
                    self.give_back(
                        Charge(
                            demand.customer.name,
                            demand.cost,
                            question.sent_at,
                            question.term,
                        )
                    )
                continue
            demand.verdict = verdict
            demand.asked_at, demand.term = question.sent_at, question.term
            demand.answered.set()

    def _withdraw(self, demand: _Demand) -> None:
        """Give up a request's demand; a grant that is on its way is given back."""
        if demand in self._waiting:
            self._waiting.remove(demand)
        demand.answered.set()

    def _repeat_all(self) -> None:
        """Ask the new keeper about all requests that the former one left unanswered."""
        for question in self._questions.values():
            self._waiting.extend(_list_unanswered(question.demands, self._waiting))
        self._questions.clear()
        self._schedule_flush(0.0)

    def _make_refusal(self, demand: _Demand, verdict: QuotaVerdict) -> Refused:
        quota = demand.customer.quota
        assert quota is not None
        unit = quota.unit.value
        wait = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, verdict.wait))
        return Refused(
            f"not run: customer {demand.customer.name} has used up its quota of "
            f"{quota.rate:g} {unit} per second (balance {verdict.balance:.0f}, "
            f"request {demand.cost:g} {unit})",
            "send fewer requests, or retry after the given time",
            code=ErrorCode.QUOTA_EXCEEDED,
            retry_after=self._spread(wait),
        )

    def _spread(self, seconds: float) -> timedelta:
        """Return a random time from a minimum to twice that.

        Many callers are refused within moments, and would return together.
        """
        return timedelta(seconds=seconds * (1 + self._draw()))


def _make_charge(demand: _Demand) -> Charge:
    return Charge(demand.customer.name, demand.cost, demand.asked_at, demand.term)


def _list_unanswered(
    demands: Sequence[_Demand], waiting: Sequence[_Demand]
) -> list[_Demand]:
    return [d for d in demands if not d.answered.is_set() and d not in waiting]
