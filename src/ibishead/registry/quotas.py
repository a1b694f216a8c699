"""Keeps the accounts of customers' quotas while this registry leads the log."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.control.log.replica import LogReplica
from ibishead.decisions.quota import QuotaAccounts, Tolerance
from ibishead.ids import CustomerId
from ibishead.links import Link
from ibishead.registry.credits import CreditLog
from ibishead.registry.state import RouteState
from ibishead.routing.customers import Quota
from ibishead.routing.messages import (
    AskQuota,
    QuotaAnswer,
    QuotaHandover,
    QuotaVerdict,
)
from ibishead.routing.routes import RouteSet

__all__ = ["QuotaKeeper"]

logger = logging.getLogger(__name__)

#: Seconds between two credits.
CREDIT_INTERVAL_SECONDS = 0.1

#: Seconds between two log lines about customers that were refused, and maximum number
#: of customers that they name.
LOG_INTERVAL_SECONDS = 5.0
MAX_LOGGED_CUSTOMERS = 20


class QuotaKeeper:
    """Charges the gateways' requests to their customers' quotas.

    :param replica: this registry's log replica; none on a host without a disk, which
        never keeps the accounts.
    :param tolerance: by how much requests may exceed the quotas.
    :param credits: marks in the log that the accounts were credited in advance; none
        without a replica.
    :param on_term: called with the term in which this registry begins to keep the
        accounts, and with 0 when it no longer does.
    :param on_handover: called with the balances that this registry hands over.
    """

    def __init__(
        self,
        state: RouteState,
        replica: LogReplica | None,
        clock: Clock,
        tolerance: Tolerance,
        credits: CreditLog | None,
        on_term: Callable[[int], None],
        on_handover: Callable[[QuotaHandover], None],
    ) -> None:
        self._state = state
        self._replica = replica
        self._clock = clock
        self._tolerance = tolerance
        self._credits = credits
        self._on_term = on_term
        self._on_handover = on_handover
        self._credit_term = 0
        self._credit_seen_at = clock.monotonic()
        self._term = 0
        self._ended_term = 0
        self._received_term = 0
        self._received: QuotaHandover | None = None
        self._accounts: QuotaAccounts | None = None
        self._is_open = False
        self._quotas: dict[CustomerId, Quota] = {}
        self._quotas_of: RouteSet | None = None
        #: Refused requests, and those of each customer since the last log line.
        self.refused = 0
        self._refused_since: Counter[CustomerId] = Counter()
        self._logged_at = clock.monotonic()
        if replica is not None:
            replica.watch_leader(self._follow_leadership)

    async def run(self) -> None:
        """Credit the accounts while this registry leads, until cancelled."""
        while True:
            self._follow_leadership()
            self._watch_credit()
            self._log_refusals()
            await asyncio.sleep(CREDIT_INTERVAL_SECONDS)

    def answer(self, link: Link, question: AskQuota) -> None:
        """Charge requests and answer the gateway that asks."""
        accounts = self._find_accounts(question.term)
        if accounts is None:
            link.send(QuotaAnswer(question.number, None))
            return
        for customer, cost in question.returned:
            accounts.give_back(customer, cost)
        verdicts = [accounts.charge(*demand) for demand in question.demands]
        for (customer, _), verdict in zip(question.demands, verdicts, strict=True):
            if not verdict.granted:
                self.refused += 1
                self._refused_since[customer] += 1
        if verdicts:
            encoded = tuple(
                QuotaVerdict(v.granted, round(v.wait, 4), v.balance) for v in verdicts
            )
            link.send(QuotaAnswer(question.number, encoded))

    def hand_over(self) -> None:
        """Stop keeping the accounts, and send their balances to the next leader.

        It begins with them instead of empty accounts if it directly follows. This
        registry charges no more requests, even if its leadership is not transferred.
        """
        self._follow_leadership()
        if self._accounts is None:
            return
        self._ended_term = self._term
        handover = QuotaHandover(self._term, self._accounts.list_balances())
        self._end_term()
        self._on_handover(handover)

    def handle_handover(self, handover: QuotaHandover) -> None:
        """Store the balances of a leader, in case this registry directly follows it."""
        if handover.term > self._received_term:
            self._received_term, self._received = handover.term, handover

    def _log_refusals(self) -> None:
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        for customer, refused in self._refused_since.most_common(MAX_LOGGED_CUSTOMERS):
            quota = self._quotas.get(customer)
            logger.info(
                "quota used up",
                extra={
                    "customer": customer,
                    "refused": refused,
                    "seconds": round(now - self._logged_at, 1),
                    "rate": quota.rate if quota else None,
                    "burst": quota.burst if quota else None,
                    "unit": quota.unit.value if quota else None,
                    "routes": self._state.version,
                    "term": self._term,
                },
            )
        self._refused_since.clear()
        self._logged_at = now

    def _find_accounts(self, term: int) -> QuotaAccounts | None:
        """Return the accounts, credited up to now, if this registry may use them."""
        self._follow_leadership()
        accounts = self._accounts
        if accounts is None or not self._is_open or term != self._term:
            return None
        return accounts if accounts.is_certain(self._clock.monotonic()) else None

    def _follow_leadership(self) -> None:
        replica, credits = self._replica, self._credits
        if replica is None or credits is None:
            return
        led_until = replica.led_until()
        if led_until is None or replica.core.term == self._ended_term:
            self._end_term()
            return
        if self._accounts is None or self._term != replica.core.term:
            self._begin_term(replica.core.term, credits)
        if self._accounts is not None and self._is_open:
            self._update_quotas(self._accounts)
            self._accounts.advance(led_until)

    def _watch_credit(self) -> None:
        """Remove the mark of a credit once no window can hold that credit."""
        now = self._clock.monotonic()
        if self._credit_term != self._state.credit_term:
            self._credit_term, self._credit_seen_at = self._state.credit_term, now
        age = now - self._credit_seen_at
        is_old = self._credit_term and age > self._tolerance.credit_pause
        if is_old and self._accounts is not None and self._is_open and self._credits:
            # repeated after another pause if the log doesn't accept it
            self._credit_seen_at = now
            self._credits.release(self._credit_term)

    def _add_received(self, accounts: QuotaAccounts) -> None:
        """Add the balances of the leader of the last term, if it has stopped by now.

        Those of one that stops later would come on top of what was charged meanwhile.
        """
        received, self._received = self._received, None
        if received is not None and received.term == self._term - 1:
            accounts.add_balances(received.balances)
            logger.info("quota balances received", extra={"term": received.term})

    def _begin_term(self, term: int, credits: CreditLog) -> None:
        self._term, self._quotas_of = term, None
        self._accounts, self._is_open = QuotaAccounts(self._clock.monotonic()), False
        credits.claim(term, lambda granted: self._open(term, granted))

    def _open(self, term: int, credited: bool) -> None:
        """Begin to charge requests, unless the lead has been lost meanwhile."""
        accounts = self._accounts
        if accounts is None or term != self._term or self._is_open:
            return
        self._is_open = True
        self._update_quotas(accounts)
        self._add_received(accounts)
        if credited:
            accounts.give_credit(self._tolerance)
        logger.info(
            "quota accounts taken over", extra={"term": term, "credited": credited}
        )
        self._on_term(term)

    def _end_term(self) -> None:
        if self._accounts is not None:
            logger.info("quota accounts given up", extra={"term": self._term})
            self._accounts = None
            self._on_term(0)

    def _update_quotas(self, accounts: QuotaAccounts) -> None:
        if self._quotas_of is self._state.routes:
            return
        self._quotas_of = self._state.routes
        customers = self._state.routes.customers if self._state.routes else None
        self._quotas = {c.name: c.quota for c in customers or () if c.quota is not None}
        accounts.set_quotas(self._quotas)
