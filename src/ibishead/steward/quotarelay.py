"""Relays gateways' questions about quotas to the registry that keeps the accounts.

A gateway may be cut off from that registry while it still reaches engines and their
stewards. Without a way round, it would have to refuse callers that it can serve.
"""

import itertools
from collections import OrderedDict

import msgspec

from ibishead.links import Link
from ibishead.routing.messages import AskQuota, QuotaAnswer, QuotaKept

__all__ = ["QuotaRelay"]

#: Maximum number of relayed questions without an answer; older ones are forgotten.
MAX_PENDING_QUESTIONS = 500


class QuotaRelay:
    """Passes questions on under numbers of its own, and answers back."""

    def __init__(self) -> None:
        self._keeper: Link | None = None
        self._term = 0
        self._numbers = itertools.count(1)
        self._pending: OrderedDict[int, tuple[Link, int]] = OrderedDict()

    def handle_message(self, link: Link, message: QuotaKept | QuotaAnswer) -> None:
        """Handle a message from a registry."""
        match message:
            case QuotaKept(term) if term >= self._term:
                self._keeper, self._term = link, term
            case QuotaAnswer(number, verdicts):
                gateway, original = self._pending.pop(number, (None, 0))
                if gateway is not None:
                    gateway.send(QuotaAnswer(original, verdicts))

    def ask(self, gateway: Link, question: AskQuota) -> None:
        """Relay a gateway's question.

        A gateway that knows only an earlier keeper is told the present term, in which
        it has to ask again.
        """
        keeper = self._keeper
        if keeper is None or keeper.closed or question.term != self._term:
            if self._term > question.term:
                gateway.send(QuotaKept(self._term))
            gateway.send(QuotaAnswer(question.number, None))
            return
        number = next(self._numbers)
        if question.demands:
            self._pending[number] = (gateway, question.number)
            if len(self._pending) > MAX_PENDING_QUESTIONS:
                self._pending.popitem(last=False)
        keeper.send(msgspec.structs.replace(question, number=number))
