"""Marks of credits in the log: what the keeper is told if the log doesn't answer."""

import asyncio

import pytest

from ibishead.errors import Unavailable
from ibishead.registry import credits
from ibishead.registry.commands import CreditMarked, decode_result
from ibishead.registry.credits import CreditLog
from ibishead.registry.state import RouteState


class FakeLog:
    """Applies proposals at once, raises an error, or never answers."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.state = RouteState()

    async def propose(self, command):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        if self.outcome is None:
            await asyncio.Event().wait()
        assert isinstance(decode_result(self.state.apply(1, command)), CreditMarked)
        return self.outcome


GRANTED, REFUSED = b"\x92\xacCreditMarked\xc3", b"\x92\xacCreditMarked\xc2"


@pytest.mark.parametrize(
    ("outcome", "granted"),
    [(GRANTED, True), (REFUSED, False), (Unavailable("-", "-"), False), (None, False)],
    ids=["granted", "refused", "no quorum", "no answer"],
)
async def test_credit_is_given_only_if_the_log_has_granted_it(
    monkeypatch, outcome, granted
):
    """A keeper that heard nothing must open its accounts all the same."""
    monkeypatch.setattr(credits, "CLAIM_TIMEOUT_SECONDS", 0.05)
    log = CreditLog(FakeLog(outcome))
    answered = asyncio.get_running_loop().create_future()
    log.claim(2, answered.set_result)
    assert await answered is granted
    log.release(2)
    await log.stop()
