"""Accounts of quotas: what passes in any window, whoever keeps the accounts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ibishead.decisions.quota import (
    CREDIT_SLACK_SHARE,
    MAX_CERTAINTY_AGE_SECONDS,
    MAX_RETURN_SECONDS,
    QuotaAccounts,
    Tolerance,
)
from ibishead.routing.customers import Quota, QuotaUnit

QUOTA = Quota(QuotaUnit.TOKENS, 100.0, 200.0)
WINDOW_SECONDS = 8.0
TOLERANCE = Tolerance(WINDOW_SECONDS, 0.1, slack=60.0)


def open_accounts(balance_seconds=60.0, quota=QUOTA):
    accounts = QuotaAccounts(0.0)
    accounts.set_quotas({"c": quota})
    accounts.advance(balance_seconds)
    return accounts


def test_requests_below_the_limit_are_never_refused():
    accounts = open_accounts()
    for step in range(1000):
        accounts.advance(60.0 + step)
        assert accounts.charge("c", QUOTA.rate).granted


def test_a_burst_passes_after_a_pause_and_then_the_rate():
    accounts = open_accounts()
    granted = 0
    while (verdict := accounts.charge("c", 50.0)).granted:
        granted += 1
    assert granted * 50.0 == QUOTA.burst
    assert verdict.wait == 0.5
    accounts.advance(60.5)
    assert accounts.charge("c", 50.0).granted


def test_refused_callers_return_one_after_the_other():
    """Together they would take the place of new callers, and most be refused again."""
    accounts = open_accounts()
    accounts.charge("c", QUOTA.burst)
    waits = [accounts.charge("c", 50.0).wait for _ in range(20)]
    assert waits[:4] == [0.5, 1.0, 1.5, 2.0]
    assert max(waits) == MAX_RETURN_SECONDS
    # once they have returned, the next refused caller waits for itself only
    accounts.advance(60.0 + MAX_RETURN_SECONDS)
    while (verdict := accounts.charge("c", 50.0)).granted:
        pass
    assert verdict.wait == 0.5


def test_request_larger_than_the_burst_passes_once():
    accounts = open_accounts()
    assert accounts.charge("c", 900.0).granted
    assert accounts.charge("c", 1.0).wait == pytest.approx(7.01)


def test_customer_without_quota_is_not_charged():
    accounts = open_accounts()
    assert all(accounts.charge("other", 1e9).granted for _ in range(3))


def test_quota_without_burst_admits_its_rate():
    accounts = open_accounts(quota=Quota(QuotaUnit.REQUESTS, 50.0, 0.0))
    granted = 0
    for step in range(800):
        accounts.advance(60.0 + step / 100)
        granted += accounts.charge("c", 1.0).granted
    assert 395 <= granted <= 410


def test_a_lowered_quota_binds_at_once():
    accounts = open_accounts()
    accounts.set_quotas({"c": Quota(QuotaUnit.TOKENS, 10.0, 20.0)})
    assert accounts.charge("c", 20.0).granted
    assert not accounts.charge("c", 1.0).granted


def test_given_back_charges_pass_again_but_never_beyond_the_burst():
    accounts = open_accounts()
    accounts.charge("c", 200.0)
    accounts.give_back("c", 150.0)
    accounts.give_back("c", 150.0)
    assert accounts.charge("c", 200.0).granted
    assert not accounts.charge("c", 1.0).granted


@pytest.mark.parametrize(
    ("age", "certain"),
    [(0.0, True), (0.5, True), (MAX_CERTAINTY_AGE_SECONDS + 1, False)],
)
def test_accounts_are_used_only_shortly_after_they_were_certain(age, certain):
    """A suspended host would use a balance beside the one that replaced it."""
    assert open_accounts(10.0).is_certain(10.0 + age) is certain


def test_new_keeper_admits_the_requests_that_waited_for_it():
    accounts = QuotaAccounts(10.0)
    accounts.set_quotas({"c": QUOTA})
    accounts.give_credit(Tolerance(8.0, 0.1))
    assert accounts.charge("c", 30.0).granted
    assert accounts.charge("c", 30.0).granted
    assert not accounts.charge("c", 30.0).granted


def test_customer_that_is_added_again_gets_no_second_credit():
    """Repeated changes of the customers would add up to any amount."""
    accounts = QuotaAccounts(10.0)
    accounts.set_quotas({"c": QUOTA})
    accounts.give_credit(Tolerance(8.0, 0.1))
    accounts.set_quotas({})
    accounts.set_quotas({"c": QUOTA})
    assert not accounts.charge("c", 30.0).granted


@pytest.mark.parametrize(
    ("tolerance", "quota", "credit"),
    [
        (Tolerance(8.0, 0.1), Quota(QuotaUnit.TOKENS, 100.0, 0.0), 40.0),
        (Tolerance(8.0, 0.1), QUOTA, 60.0),
        (Tolerance(8.0, 0.1, slack=60.0), QUOTA, 90.0),
        (Tolerance(8.0, 0.0), QUOTA, 0.0),
        # an account never holds more than its burst
        (Tolerance(8.0, 0.1, slack=9e9), QUOTA, QUOTA.burst),
    ],
)
def test_initial_credit_uses_the_permitted_excess(tolerance, quota, credit):
    """A small customer's slack is worth seconds of its rate, and was left unused."""
    accounts = QuotaAccounts(10.0)
    accounts.set_quotas({"c": quota})
    accounts.give_credit(tolerance)
    granted = 0
    while accounts.charge("c", 1.0).granted:
        granted += 1
    assert granted == min(credit, max(quota.burst, 10.0))


@given(st.lists(st.floats(0.0, 3.0), max_size=60), st.floats(1.0, 400.0))
def test_no_window_holds_more_than_rate_and_burst(pauses, cost):
    accounts, now, sent = open_accounts(), 60.0, []
    for pause in pauses:
        now += pause
        accounts.advance(now)
        while accounts.charge("c", cost).granted:
            sent.append((now, cost))
    assert measure_worst_window(sent) <= WINDOW_SECONDS * 100 + 200 + cost + 1e-6


def measure_worst_window(sent):
    """Return the largest sum of costs in any window of `WINDOW_SECONDS`."""
    return max(
        (
            sum(cost for at, cost in sent if start <= at <= start + WINDOW_SECONDS)
            for start, _ in sent
        ),
        default=0.0,
    )


class SeveralKeepers(RuleBasedStateMachine):
    """Keepers that are elected, cut off, suspended and resumed.

    The model follows the log: times at which keepers are certain don't overlap. All
    keepers, deposed ones too, charge whatever they may. Requests are sent up to a
    lifetime after they were charged. A credit is marked, and another one given only
    after the mark has been removed.
    """

    COST = 30.0

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.sent = []
        self.elections = 0
        self.marked_at = None

    @initialize()
    def start(self):
        self.keepers = []
        self.elect()

    @rule()
    def elect(self):
        accounts = QuotaAccounts(self.now)
        accounts.set_quotas({"c": QUOTA})
        if self.marked_at is None:
            self.marked_at = self.now
            accounts.give_credit(TOLERANCE)
        self.keepers = [*self.keepers[-2:], accounts]
        self.is_cut = False
        self.elections += 1

    @rule()
    def remove_mark(self):
        age = 0.0 if self.marked_at is None else self.now - self.marked_at
        if age > TOLERANCE.credit_pause:
            self.marked_at = None

    @rule()
    def hand_over(self):
        stopped = self.keepers.pop()
        self.elect()
        self.keepers[-1].add_balances(stopped.list_balances())

    @rule(cut=st.booleans())
    def cut(self, cut):
        self.is_cut = cut

    @rule(seconds=st.floats(0.05, 4.0))
    def wait(self, seconds):
        self.now += seconds

    @precondition(lambda self: not self.is_cut)
    @rule()
    def confirm(self):
        self.keepers[-1].advance(self.now)

    @rule(count=st.integers(1, 40), held=st.floats(0.0, TOLERANCE.charge_lifetime))
    def ask_all(self, count, held):
        for accounts in self.keepers:
            if accounts.is_certain(self.now):
                verdicts = [accounts.charge("c", self.COST) for _ in range(count)]
                granted = sum(verdict.granted for verdict in verdicts)
                self.sent += [(self.now + held, self.COST)] * granted

    @invariant()
    def no_window_exceeds_the_limit(self):
        """Each keeper may exceed its balance by one request, and nothing else."""
        allowed = WINDOW_SECONDS * QUOTA.rate + QUOTA.burst
        allowed *= 1 + TOLERANCE.overage
        allowed += CREDIT_SLACK_SHARE * TOLERANCE.slack
        assert measure_worst_window(self.sent) <= allowed + self.COST * self.elections


TestSeveralKeepers = SeveralKeepers.TestCase
TestSeveralKeepers.settings = settings(max_examples=60, stateful_step_count=30)
