"""Questions about quotas on their way through a steward."""

import pytest

from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaKept, QuotaVerdict
from ibishead.steward.quotarelay import MAX_PENDING_QUESTIONS, QuotaRelay

DEMANDS = (("c", 50.0),)
VERDICTS = (QuotaVerdict(True, 0.0, 9.0),)


class FakeLink:
    """One end of a link that records what is sent."""

    closed = False

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


@pytest.fixture
def keeper():
    return FakeLink()


@pytest.fixture
def relay(keeper):
    relay = QuotaRelay()
    relay.handle_message(keeper, QuotaKept(3))
    return relay


def test_answers_go_to_the_gateway_that_asked_under_its_own_number(relay, keeper):
    """Gateways count their questions from 1, so that their numbers are the same."""
    gateways = FakeLink(), FakeLink()
    for gateway in gateways:
        relay.ask(gateway, AskQuota(1, 3, DEMANDS))
    first, second = (message.number for message in keeper.sent)
    assert first != second
    relay.handle_message(keeper, QuotaAnswer(second, VERDICTS))
    assert [gateway.sent for gateway in gateways] == [[], [QuotaAnswer(1, VERDICTS)]]
    relay.handle_message(keeper, QuotaAnswer(second, VERDICTS))
    assert len(gateways[1].sent) == 1


@pytest.mark.parametrize(
    ("term", "closed", "told"),
    [
        (2, False, [QuotaKept(3), QuotaAnswer(1, None)]),
        (4, False, [QuotaAnswer(1, None)]),
        (3, True, [QuotaAnswer(1, None)]),
    ],
)
def test_question_that_cannot_be_relayed_is_answered_so(
    relay, keeper, term, closed, told
):
    gateway = FakeLink()
    keeper.closed = closed
    relay.ask(gateway, AskQuota(1, term, DEMANDS))
    assert gateway.sent == told
    assert keeper.sent == []


def test_steward_that_knows_no_keeper_says_so():
    gateway = FakeLink()
    QuotaRelay().ask(gateway, AskQuota(1, 0, DEMANDS))
    assert gateway.sent == [QuotaAnswer(1, None)]


def test_deposed_keeper_does_not_replace_the_newer_one(relay, keeper):
    relay.handle_message(FakeLink(), QuotaKept(2))
    relay.ask(FakeLink(), AskQuota(1, 3, DEMANDS))
    assert len(keeper.sent) == 1


def test_unanswered_questions_are_forgotten_in_the_end(relay, keeper):
    gateway = FakeLink()
    for number in range(MAX_PENDING_QUESTIONS + 1):
        relay.ask(gateway, AskQuota(number, 3, DEMANDS))
        relay.ask(gateway, AskQuota(number, 3, (), DEMANDS))
    relay.handle_message(keeper, QuotaAnswer(keeper.sent[0].number, VERDICTS))
    assert gateway.sent == []
    relay.handle_message(keeper, QuotaAnswer(keeper.sent[2].number, VERDICTS))
    assert gateway.sent == [QuotaAnswer(1, VERDICTS)]
