"""Finds out what began a stream that a caller resumes.

Events of two services or software versions don't fit together. Each gateway records the
origin of the streams that begin there at the stewards of several failure domains, so
that any gateway can look it up, also after the first one has ended. An origin that
nobody knows is never guessed.
"""

import asyncio
import itertools
import logging
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import Protocol

from ibishead.clock import Clock
from ibishead.decisions.holders import rank_holders
from ibishead.decisions.origins import OriginTable, compute_lifetime
from ibishead.ids import FailureDomain, HostId, RequestId
from ibishead.messages import Message
from ibishead.metrics import Metrics
from ibishead.routing.messages import AskOrigin, OriginAnswer, StreamBegan
from ibishead.routing.targets import StreamOrigin
from ibishead.waiting import wait_for_event

__all__ = ["Holders", "StreamOrigins"]

logger = logging.getLogger(__name__)

#: Number of holders that are told of a stream. The failure domains of two may be lost.
COPIES = 3

#: Number of holders that are asked, more than are told: another gateway may have ranked
#: them while it knew other stewards.
ASKED = 6

#: Seconds until the question is repeated, and number of questions. A gateway that has
#: just started may have few links at first.
ANSWER_TIMEOUT_SECONDS = 0.2
MAX_QUESTIONS = 2


class Holders(Protocol):
    """Links to the hosts that keep the origins."""

    def list_hosts(self) -> Mapping[HostId, FailureDomain]:
        """Return the linked hosts with their failure domains."""

    def send(self, host: HostId, message: Message) -> None:
        """Send a message to a host; it is dropped if there is no link."""


class StreamOrigins:
    """Records the origins of streams, and looks them up."""

    def __init__(self, holders: Holders, clock: Clock, metrics: Metrics) -> None:
        self._holders = holders
        self._clock = clock
        self._metrics = metrics
        self._own = OriginTable()
        #: Streams recorded at each holder, with the monotonic seconds of their expiry.
        self._told: defaultdict[HostId, deque[tuple[RequestId, float]]]
        self._told = defaultdict(deque)
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}

    def record(
        self, stream: RequestId, origin: StreamOrigin, timeout: float | None
    ) -> None:
        """Record the origin of a stream that is about to begin.

        :param timeout: seconds until the caller's deadline, if it has one.
        """
        lifetime = compute_lifetime(timeout)
        now = self._clock.monotonic()
        self._own.record(stream, origin, now + lifetime, now)
        for host in self._rank_holders(stream, COPIES):
            self._holders.send(host, StreamBegan(stream, origin, lifetime))
            self._told[host].append((stream, now + lifetime))

    def greet_holder(self, host: HostId) -> None:
        """Repeat what was recorded at a holder, which may have started again."""
        now = self._clock.monotonic()
        for stream, expiry in self._told.get(host, ()):
            if (origin := self._own.find(stream, now)) is not None:
                self._holders.send(host, StreamBegan(stream, origin, expiry - now))

    def remove_expired(self) -> None:
        """Discard the streams that can't be resumed any more."""
        now = self._clock.monotonic()
        for host, told in list(self._told.items()):
            while told and told[0][1] <= now:
                told.popleft()
            if not told:
                del self._told[host]

    async def find(self, stream: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, or ``None`` if unknown.

        :param stream: request that brought the stream's first event.
        """
        found = self._own.find(stream, self._clock.monotonic())
        if found is None:
            found = await self._ask_holders(stream)
        self._metrics.count_event(
            "stream_origin_unknown" if found is None else "stream_origin_found"
        )
        return found

    def handle_answer(self, answer: OriginAnswer) -> None:
        """Handle a holder's answer."""
        question = self._questions.get(answer.number)
        if question is not None:
            question.handle(answer)

    async def _ask_holders(self, stream: RequestId) -> StreamOrigin | None:
        question = _Question()
        try:
            for _ in range(MAX_QUESTIONS):
                await self._ask_once(stream, question)
                if question.origin is not None or question.is_denied_by(ASKED):
                    break
        finally:
            for number in question.numbers:
                del self._questions[number]
        if question.origin is None:
            logger.info(
                "origin of a stream is unknown",
                extra={
                    "stream": stream,
                    "asked": question.asked,
                    "denied": question.denied,
                },
            )
        return question.origin

    async def _ask_once(self, stream: RequestId, question: "_Question") -> None:
        hosts = self._rank_holders(stream, ASKED)
        number = next(self._numbers)
        question.begin_round(number, len(hosts))
        self._questions[number] = question
        for host in hosts:
            self._holders.send(host, AskOrigin(number, stream))
        await wait_for_event(question.decided, ANSWER_TIMEOUT_SECONDS)

    def _rank_holders(self, stream: RequestId, count: int) -> list[HostId]:
        return rank_holders(stream, self._holders.list_hosts())[:count]


class _Question:
    """A question to several holders, asked in rounds.

    :ivar decided: set when a holder knows the origin, or enough of them don't.
    :ivar numbers: number of each round.
    :ivar asked: holders asked in the last round.
    :ivar denied: holders that don't know the origin, in the last round.
    """

    def __init__(self) -> None:
        self.decided = asyncio.Event()
        self.origin: StreamOrigin | None = None
        self.numbers: list[int] = []
        self.asked = self.denied = 0

    def begin_round(self, number: int, asked: int) -> None:
        self.numbers.append(number)
        self.asked, self.denied = asked, 0

    def is_denied_by(self, count: int) -> bool:
        return self.denied >= count

    def handle(self, answer: OriginAnswer) -> None:
        if answer.origin is not None:
            self.origin = answer.origin
        elif answer.number == self.numbers[-1]:
            self.denied += 1
        if self.origin is not None or self.is_denied_by(ASKED):
            self.decided.set()
