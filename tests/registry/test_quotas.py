"""The keeper of the quotas: when it charges, and what it tells."""

import logging

import pytest

from ibishead.clock import ManualClock
from ibishead.decisions.quota import Tolerance
from ibishead.registry.quotas import LOG_INTERVAL_SECONDS, QuotaKeeper
from ibishead.registry.state import RouteState
from ibishead.routing.customers import Customer, Quota, QuotaUnit
from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaHandover
from ibishead.routing.routes import RouteSet

TOLERANCE = Tolerance(8.0, 0.1)


class FakeReplica:
    """A replica whose leadership is set by the test."""

    def __init__(self, clock):
        self.clock = clock
        self.term = 1
        self.leads = True
        self.age = 0.0

    def watch_leader(self, on_change):
        self.on_leader_change = on_change

    @property
    def core(self):
        return self

    def led_until(self):
        return self.clock.monotonic() - self.age if self.leads else None

    def leader(self):
        return "r0" if self.leads else "other"


class FakeCredits:
    """Records the marks of credits, and answers at once."""

    def __init__(self):
        self.granted = False
        self.claimed, self.released = [], []

    def claim(self, term, on_result):
        self.claimed.append(term)
        on_result(self.granted)

    def release(self, term):
        self.released.append(term)


class Scene:
    """A keeper with one customer of 100 tokens per second and no balance yet."""

    def __init__(self, rate=100.0):
        self.clock = ManualClock()
        self.replica = FakeReplica(self.clock)
        self.state, self.terms, self.sent = RouteState(), [], []
        self.set_rate(rate)
        self.handovers, self.credits = [], FakeCredits()
        self.keeper = QuotaKeeper(
            self.state,
            self.replica,
            self.clock,
            TOLERANCE,
            self.credits,
            self.terms.append,
            self.handovers.append,
        )
        self.keeper._follow_leadership()

    def set_rate(self, rate):
        quota = Quota(QuotaUnit.TOKENS, rate, 2 * rate)
        version = self.state.version + 1
        customers = (Customer("c", (), None, quota),)
        self.state.routes = RouteSet(version, (), (), customers=customers)

    def send(self, message):
        self.sent.append(message)

    def ask(self, *costs, term=1, returned=()):
        demands = tuple(("c", cost) for cost in costs)
        self.keeper.answer(self, AskQuota(7, term, demands, returned))
        if not self.sent:
            return None
        answer = self.sent.pop()
        assert isinstance(answer, QuotaAnswer)
        assert answer.number == 7
        return answer.verdicts and [verdict.granted for verdict in answer.verdicts]


def test_the_leader_charges_and_announces_its_term():
    scene = Scene()
    scene.clock.step(1.0)
    assert scene.ask(60.0, 60.0, 60.0) == [True, True, False]
    assert scene.terms == [1]


@pytest.mark.parametrize(
    "change",
    [{"leads": False}, {"age": 5.0}, {"term": 2}],
    ids=["deposed", "cut off from the quorum", "elected again"],
)
def test_accounts_of_an_earlier_time_are_not_used(change):
    """Two hosts would charge the same quota at the same time."""
    scene = Scene()
    scene.clock.step(2.0)
    assert scene.ask(10.0) == [True]
    scene.clock.step(2.0)
    vars(scene.replica).update(change)
    assert scene.ask(10.0) is None


def test_accounts_are_taken_over_as_soon_as_the_replica_leads():
    """Requests wait at all gateways until they are told of the next keeper."""
    scene = Scene()
    scene.replica.leads = False
    scene.replica.on_leader_change()
    scene.replica.leads, scene.replica.term = True, 2
    scene.replica.on_leader_change()
    assert scene.terms == [1, 0, 2]


def test_new_term_starts_with_empty_accounts():
    scene = Scene()
    scene.clock.step(9.0)
    assert scene.ask(10.0) == [True]
    scene.replica.leads = False
    assert scene.ask(10.0) is None
    scene.replica.leads, scene.replica.term = True, 3
    assert scene.ask(10.0, term=3) == [False]
    assert scene.terms == [1, 0, 3]


def follow(term):
    """Return a scene whose keeper has seen no leader before it leads in a term."""
    scene = Scene()
    scene.replica.leads, scene.replica.term = False, term - 1
    scene.replica.on_leader_change()
    scene.replica.leads, scene.replica.term = True, term
    return scene


def test_keeper_that_hands_over_charges_no_more_and_sends_its_balances():
    """Its balances would be used twice."""
    scene = Scene()
    scene.clock.step(9.0)
    assert scene.ask(60.0) == [True]
    scene.keeper.hand_over()
    assert scene.handovers == [QuotaHandover(1, {"c": 140.0})]
    scene.clock.step(1.0)
    assert scene.ask(1.0) is None
    scene.keeper.hand_over()
    assert len(scene.handovers) == 1


@pytest.mark.parametrize(
    ("received", "granted"),
    [
        ([(2, 140.0)], 140.0),
        ([(2, 999.0)], 200.0),
        ([(2, 140.0), (2, 140.0)], 140.0),
        ([(1, 80.0), (2, 140.0)], 140.0),
        # balances of another leader than the last one may have been used since
        ([(1, 140.0)], 0.0),
        ([], 0.0),
    ],
    ids=["direct successor", "at most the burst", "twice", "two", "not the last", "-"],
)
def test_next_keeper_begins_with_the_balances_that_were_handed_over(received, granted):
    """Each planned stop of a leader would refuse requests below the quotas."""
    scene = follow(3)
    for term, balance in received:
        scene.keeper.handle_handover(QuotaHandover(term, {"c": balance}))
    scene.replica.on_leader_change()
    passed = 0.0
    while scene.ask(20.0, term=3) == [True]:
        passed += 20.0
    assert passed == granted


def test_balances_that_were_handed_over_are_used_once_in_a_term():
    """They would be there again after a moment without certainty of the lead."""
    scene = follow(3)
    handover = QuotaHandover(2, {"c": 140.0})
    scene.keeper.handle_handover(handover)
    scene.replica.on_leader_change()
    assert scene.ask(140.0, term=3) == [True]
    scene.replica.leads = False
    scene.replica.on_leader_change()
    scene.replica.leads = True
    scene.keeper.handle_handover(handover)
    assert scene.ask(20.0, term=3) == [False]


def test_balances_of_a_leader_that_stops_later_are_not_used():
    """It stood still, and its burst would pass beside what was charged meanwhile."""
    scene = follow(3)
    scene.replica.on_leader_change()
    scene.keeper.handle_handover(QuotaHandover(2, {"c": 140.0}))
    scene.replica.on_leader_change()
    assert scene.ask(20.0, term=3) == [False]


@pytest.mark.parametrize(("granted", "passed"), [(False, 0.0), (True, 60.0)])
def test_new_keeper_gives_a_credit_only_if_the_log_grants_it(granted, passed):
    """Leaders in quick succession would each add a credit to the same window."""
    scene = Scene()
    scene.credits.granted = granted
    scene.replica.term = 2
    scene.replica.on_leader_change()
    assert scene.credits.claimed == [1, 2]
    admitted = 0.0
    while scene.ask(20.0, term=2) == [True]:
        admitted += 20.0
    assert admitted == passed


def test_keeper_charges_nothing_before_the_log_has_answered():
    """Waiting requests would find empty accounts a moment before the credit."""
    scene = Scene()
    scene.credits.claim = lambda term, on_result: setattr(scene, "open", on_result)
    scene.replica.term = 2
    scene.clock.step(1.0)
    assert scene.ask(20.0, term=2) is None
    assert scene.terms == [1]
    scene.open(False)
    scene.clock.step(1.0)
    assert scene.ask(20.0, term=2) == [True]
    assert scene.terms == [1, 2]


def test_answer_of_the_log_to_a_former_leader_opens_nothing():
    scene = Scene()
    scene.credits.claim = lambda term, on_result: setattr(scene, "open", on_result)
    scene.replica.term = 2
    scene.replica.on_leader_change()
    scene.replica.leads = False
    scene.replica.on_leader_change()
    scene.open(True)
    assert scene.terms == [1, 0]
    assert scene.ask(20.0, term=2) is None


def test_mark_of_a_credit_is_removed_once_no_window_holds_it():
    """An early removal would let two credits fall into a window."""
    scene = Scene()
    scene.state.credit_term = 1
    scene.keeper._watch_credit()
    scene.clock.step(TOLERANCE.credit_pause)
    scene.keeper._watch_credit()
    assert scene.credits.released == []
    scene.clock.step(0.1)
    scene.keeper._watch_credit()
    scene.keeper._watch_credit()
    assert scene.credits.released == [1]


def test_quota_of_newer_routes_applies_to_the_next_request():
    scene = Scene()
    scene.clock.step(2.0)
    scene.set_rate(1.0)
    assert scene.ask(2.0, 2.0) == [True, False]


def test_charges_that_are_given_back_need_no_answer():
    scene = Scene()
    scene.clock.step(2.0)
    assert scene.ask(200.0) == [True]
    assert scene.ask(returned=(("c", 200.0),)) is None
    assert scene.ask(10.0) == [True]


def test_refusals_are_logged_by_customer_at_intervals(caplog):
    scene = Scene()
    scene.clock.step(LOG_INTERVAL_SECONDS)
    for _ in range(30):
        scene.ask(100.0, 100.0)
    with caplog.at_level(logging.INFO):
        scene.keeper._log_refusals()
        scene.keeper._log_refusals()
    (line,) = [r for r in caplog.records if r.message == "quota used up"]
    assert (line.customer, line.refused, line.rate) == ("c", 58, 100.0)
