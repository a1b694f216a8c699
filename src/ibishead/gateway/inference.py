"""Infers what began a stream whose caller doesn't name its first request.

Only one origin may be possible. What a gateway has heard is not enough to know that:
after a restart it has heard little. So a registry is asked what the replicated log has
recorded.
"""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.gateway.restarts import RestartWatch
from ibishead.ids import ServiceName
from ibishead.routing.feed import RegistryFeed
from ibishead.routing.messages import AskServed, ServedAnswer
from ibishead.routing.targets import StreamOrigin

__all__ = ["OriginInference"]

logger = logging.getLogger(__name__)

#: Seconds until the question is put to another registry, and number of questions. A
#: registry answers once a quorum has confirmed that its state is current.
ANSWER_TIMEOUT_SECONDS = 0.25
MAX_QUESTIONS = 2

#: Seconds for which streams to be resumed are collected for one question. A gateway
#: that has ended leaves many of them to the others at once.
BATCH_SECONDS = 0.02

#: Seconds without a heartbeat after which a target in doubt counts as ended. One that
#: has started again registers about once a second.
ENDED_SECONDS = 5.0


class OriginInference:
    """Infers origins from the replicated log and the targets that are known here.

    :param draw: returns a random number in [0, 1), to choose a registry.
    """

    def __init__(
        self,
        feed: RegistryFeed,
        restarts: RestartWatch,
        clock: Clock,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._feed = feed
        self._restarts = restarts
        self._clock = clock
        self._draw = draw
        self._numbers = itertools.count(1)
        self._questions: dict[int, asyncio.Future[tuple[StreamOrigin, ...] | None]] = {}
        self._next: asyncio.Task[tuple[StreamOrigin, ...] | None] | None = None

    async def infer(self, service: ServiceName) -> StreamOrigin | None:
        """Return the only origin that a stream of a service can have, or ``None``."""
        recorded = await self._fetch_recorded()
        if recorded is None:
            logger.info("no registry told the recorded origins of streams")
            return None
        origins = {origin for origin in recorded if origin.service == service}
        if len(origins) != 1:
            return None
        (origin,) = origins
        # A version that has just registered may not be recorded yet
        known = self._feed.view.find_only_version(service, self._clock.monotonic())
        if known != origin.software or self._is_in_doubt(service):
            return None
        return origin

    def handle_answer(self, answer: ServedAnswer) -> None:
        """Handle a registry's answer."""
        question = self._questions.get(answer.number)
        if question is not None and not question.done():
            question.set_result(answer.origins)

    async def _fetch_recorded(self) -> tuple[StreamOrigin, ...] | None:
        """Return the recorded origins, or ``None`` if no registry told them in time.

        All calls that arrive before the next question share its answer.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._ask())
        return await asyncio.shield(self._next)

    async def _ask(self) -> tuple[StreamOrigin, ...] | None:
        await asyncio.sleep(BATCH_SECONDS)
        # What began before a later call may not be in the answer to this question
        self._next = None
        links = [link for _, link in self._feed.list_log_registries()]
        first = int(self._draw() * len(links))
        for link in (links[first:] + links[:first])[:MAX_QUESTIONS]:
            number = next(self._numbers)
            question = asyncio.get_running_loop().create_future()
            self._questions[number] = question
            link.send(AskServed(number))
            await asyncio.wait((question,), timeout=ANSWER_TIMEOUT_SECONDS)
            del self._questions[number]
            if question.done() and question.result() is not None:
                return question.result()
        return None

    def _is_in_doubt(self, service: ServiceName) -> bool:
        """Return whether unknown software may have begun streams of a service here."""
        now = self._clock.monotonic()
        return any(
            not self._restarts.is_certain(target)
            and now - self._feed.view.last_seen(target.target) < ENDED_SECONDS
            for target in self._feed.view.list_ready_targets(service)
        )
