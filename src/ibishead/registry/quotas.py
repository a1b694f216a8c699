"""Keeps the accounts of customers' quotas while this registry leads the log."""

import asyncio
import logging
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.replica import LogReplica
from ibishead.decisions.quota import Leadership, QuotaAccounts, Tolerance
from ibishead.links import Link
from ibishead.registry.state import RouteState
from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaVerdict
from ibishead.routing.routes import RouteSet

__all__ = ["QuotaKeeper"]

logger = logging.getLogger(__name__)

#: Seconds between two checks whether this registry leads.
CHECK_INTERVAL_SECONDS = 0.1


class QuotaKeeper:
    """Charges the gateways' requests to their customers' quotas.

    :param replica: this registry's log replica; none on a host without a disk, which
        never keeps the accounts.
    :param tolerance: by how much requests may exceed the quotas.
    :param on_term: called with the term in which this registry begins to keep the
        accounts, and with 0 when it no longer does.
    """

    def __init__(
        self,
        state: RouteState,
        replica: LogReplica | None,
        clock: Clock,
        tolerance: Tolerance,
        on_term: Callable[[int], None],
    ) -> None:
        self._state = state
        self._replica = replica
        self._clock = clock
        self._tolerance = tolerance
        self._on_term = on_term
        self._leadership = Leadership()
        self._term = 0
        self._accounts: QuotaAccounts | None = None
        self._quotas_of: RouteSet | None = None
        self.refused = 0

    async def run(self) -> None:
        """Take over the accounts whenever this registry leads, until cancelled."""
        while True:
            self._follow_leadership()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def answer(self, link: Link, question: AskQuota) -> None:
        """Charge requests and answer the gateway that asks."""
        accounts = self._find_accounts(question.term)
        if accounts is None:
            link.send(QuotaAnswer(question.number, None))
            return
        for customer, cost in question.returned:
            accounts.give_back(customer, cost)
        verdicts = [accounts.charge(*demand) for demand in question.demands]
        self.refused += sum(1 for verdict in verdicts if not verdict.granted)
        if verdicts:
            encoded = tuple(
                QuotaVerdict(v.granted, round(v.wait, 4), v.balance) for v in verdicts
            )
            link.send(QuotaAnswer(question.number, encoded))

    def _find_accounts(self, term: int) -> QuotaAccounts | None:
        """Return the accounts, credited up to now, if this registry may use them."""
        self._follow_leadership()
        accounts = self._accounts
        if accounts is None or term != self._term:
            return None
        return accounts if accounts.is_certain(self._clock.monotonic()) else None

    def _follow_leadership(self) -> None:
        replica = self._replica
        led_until = None if replica is None else replica.led_until()
        if replica is None or led_until is None:
            self._end_term()
            if replica is not None and replica.leader() is not None:
                self._leadership.record(replica.core.term, self._clock.monotonic())
            return
        if self._accounts is None or self._term != replica.core.term:
            self._begin_term(replica.core.term)
        assert self._accounts is not None
        if self._quotas_of is not self._state.routes:
            self._update_quotas(self._accounts)
        self._accounts.advance(led_until)

    def _begin_term(self, term: int) -> None:
        self._term, self._quotas_of = term, None
        now = self._clock.monotonic()
        credited = self._leadership.allows_credit(term, now, self._tolerance.window)
        credit = self._tolerance.initial_credit if credited else 0.0
        self._accounts = QuotaAccounts(now, credit)
        self._leadership.record(term, now)
        logger.info(
            "quota accounts taken over", extra={"term": term, "credit_seconds": credit}
        )
        self._on_term(term)

    def _end_term(self) -> None:
        if self._accounts is not None:
            logger.info("quota accounts given up", extra={"term": self._term})
            self._accounts = None
            self._on_term(0)

    def _update_quotas(self, accounts: QuotaAccounts) -> None:
        self._quotas_of = self._state.routes
        customers = self._state.routes.customers if self._state.routes else None
        accounts.set_quotas(
            {c.name: c.quota for c in customers or () if c.quota is not None}
        )
