"""A gateway's links to the stewards: reports come in, wishes for adapters go out."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import Dialer, Endpoint, Link, dial
from ibishead.messages import Hello, Message, Role
from ibishead.routing.feed import FEED_PACE, FORGET_AFTER, REDIAL_FIRST, REDIAL_MOST
from ibishead.routing.messages import (
    AskTurn,
    BeginUse,
    EndUse,
    EngineReport,
    FailuresTold,
    MemberRecord,
    PromptDelay,
    PromptRead,
    RateTold,
    TurnAnswer,
    TurnNoted,
)
from ibishead.routing.targets import Registration, WeightKey

__all__ = ["HEARD_TIME", "StewardLinks", "TurnEnd"]

logger = logging.getLogger(__name__)

#: Seconds in which a steward says that it has heard of a request. It takes
#: milliseconds; a host that is slowed down needs some times as long.
HEARD_TIME = 0.15

#: Parts in which that time is waited for. A host that is late itself finds an answer
#: unread once its time is up, and takes it in between two of them.
HEARD_PARTS = 3

#: Seconds for which a steward that said nothing is asked for no turn. What its engine
#: holds is sent there without meanwhile, while the engine brings events.
MUTE_TIME = 1.0


class TurnEnd(Enum):
    """How the wait for a turn has ended."""

    GIVEN = "given"
    LATE = "late"
    MUTE = "mute"


@dataclass
class _Asked:
    address: str
    key: WeightKey
    heard: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    given: bool = False

    def end(self, given: bool) -> None:
        self.given = given
        self.heard.set()
        self.ended.set()


class StewardLinks:
    """Keeps a link to each steward.

    :param on_report: called with each report of an engine.
    :param on_delay: called when the wait for a turn at an engine has changed.
    :param on_failures: called when an engine fails more or less often.
    :param on_limit: called when a steward keeps another limit, or none.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        on_report: Callable[[EngineReport], None],
        on_delay: Callable[[PromptDelay], None],
        on_failures: Callable[[FailuresTold], None],
        on_limit: Callable[[RateTold], None],
        dialer: Dialer = dial,
    ) -> None:
        self._host = host
        self._clock = clock
        self._on_report = on_report
        self._on_delay = on_delay
        self._on_failures = on_failures
        self._on_limit = on_limit
        self._dial = dialer
        self._links: dict[str, Link] = {}
        self._keepers: dict[Endpoint, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}
        self._given_up: dict[int, _Asked] = {}
        self._mute_until: dict[str, float] = {}
        #: Addresses of engines whose stewards' links went silent and aren't back.
        self._silenced: set[str] = set()

    def meet(self, member: MemberRecord) -> None:
        """Dial a steward, if it isn't linked already."""
        endpoint = Endpoint(member.address, member.port)
        if endpoint not in self._keepers:
            task = asyncio.create_task(self._keep(endpoint, member))
            self._keepers[endpoint] = task

    def reaches(self, address: str) -> bool:
        """Return whether the steward of the engine at an address can be asked."""
        link = self._links.get(address)
        if link is None or link.closed:
            return False
        return self._clock.monotonic() >= self._mute_until.get(address, 0.0)

    def is_mute(self, address: str) -> bool:
        """Return whether a steward has just left a question unanswered, or went silent.

        Its host stands still or is out of reach, and so is the engine beside it. A
        steward that has ended closes its link, and its engine may be well.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return address in self._silenced
        return self._clock.monotonic() < self._mute_until.get(address, 0.0)

    async def ask_turn(
        self,
        address: str,
        key: WeightKey,
        version: int,
        *,
        wait: float,
        tokens: int = 0,
        due: float = 0.0,
    ) -> TurnEnd:
        """Wait until a request may be sent to an engine.

        :param version: of the adapter, the oldest that the request may begin on.
        :param wait: seconds after which the turn is of no use.
        :param tokens: length of the prompt.
        :param due: seconds until the answer should begin.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return TurnEnd.MUTE
        number = next(self._numbers)
        asked = self._asked[number] = _Asked(address, key)
        link.send(AskTurn(number, key, version, wait, tokens, due))
        try:
            if not await _comes_in_time(asked.heard, min(HEARD_TIME, wait)):
                self._mute_until[address] = self._clock.monotonic() + MUTE_TIME
                return TurnEnd.MUTE
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await asked.ended.wait()
        except asyncio.CancelledError:
            if asked.given:
                self._give_back(asked)
            raise
        finally:
            del self._asked[number]
            if not asked.ended.is_set():
                self._given_up[number] = asked
        return TurnEnd.GIVEN if asked.given else TurnEnd.LATE

    def begin_use(self, address: str, key: WeightKey, tokens: int = 0) -> None:
        """Tell a steward that a request is sent without a turn."""
        link = self._links.get(address)
        if link is not None:
            link.send(BeginUse(key, tokens))

    def end_use(
        self,
        address: str,
        key: WeightKey,
        pause: float = 0.0,
        failed: bool | None = None,
    ) -> None:
        """Tell a steward that a request is over.

        :param pause: seconds of the longest pause in its answer.
        :param failed: the engine failed; none where it didn't end the request.
        """
        link = self._links.get(address)
        if link is not None:
            link.send(EndUse(key, round(pause, 3), failed))

    def note_read(self, address: str, tokens: int, seconds: float) -> None:
        """Tell a steward that its engine has read a prompt.

        :param seconds: from the send to the first event, 0 where none came.
        """
        link = self._links.get(address)
        if link is not None:
            link.send(PromptRead(tokens, round(seconds, 4)))

    def tell_limit(self, target: Registration, rate: float | None) -> None:
        """Tell a steward what its engine's answer names as its limit."""
        link = self._links.get(target.address)
        if link is not None:
            link.send(RateTold(target.target, rate))

    async def stop(self) -> None:
        """Close all links."""
        for task in self._keepers.values():
            task.cancel()
        await asyncio.gather(*self._keepers.values(), return_exceptions=True)

    async def _keep(self, endpoint: Endpoint, member: MemberRecord) -> None:
        wait, reached = REDIAL_FIRST, self._clock.monotonic()
        while self._clock.monotonic() - reached < FORGET_AFTER:
            try:
                link = await self._dial(
                    endpoint,
                    Hello(Role.ENTRY, self._host),
                    self._clock,
                    FEED_PACE,
                    None,
                )
            except LinkLost as error:
                logger.debug("steward not reached", extra={"reason": error.message})
                if isinstance(error.__cause__, ConnectionRefusedError):
                    # its host answers, so the engine there may be well
                    self._silenced.discard(member.target)
            else:
                wait = REDIAL_FIRST
                await self._listen(member.target, link)
                reached = self._clock.monotonic()
            await asyncio.sleep(wait)
            wait = min(2 * wait, REDIAL_MOST)
        self._silenced.discard(member.target)
        del self._keepers[endpoint]

    async def _listen(self, address: str, link: Link) -> None:
        logger.info("steward linked", extra={"peer": link.peer.host})
        self._links[address] = link
        self._silenced.discard(address)
        try:
            async for message in link.receive():
                self._take(message)
        finally:
            if self._links.get(address) is link:
                del self._links[address]
                if link.timed_out:
                    self._silenced.add(address)
            self._forget_asked(address)
            link.abort()
            logger.info("steward lost", extra={"peer": link.peer.host})

    def _take(self, message: Message) -> None:
        match message:
            case EngineReport():
                self._on_report(message)
            case PromptDelay():
                self._on_delay(message)
            case FailuresTold():
                self._on_failures(message)
            case RateTold():
                self._on_limit(message)
            case TurnNoted(number):
                asked = self._asked.get(number)
                if asked is not None:
                    asked.heard.set()
            case TurnAnswer(number, given):
                self._end_wait(number, given)
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def _end_wait(self, number: int, given: bool) -> None:
        asked = self._asked.get(number)
        if asked is not None:
            asked.end(given)
            return
        left = self._given_up.pop(number, None)
        if given and left is not None:
            self._give_back(left)

    def _give_back(self, asked: _Asked) -> None:
        # Nobody waits any more, but the steward counts the adapter and a slot as in use
        # and the prompt as unread.
        self.note_read(asked.address, 0, 0.0)
        self.end_use(asked.address, asked.key)

    def _forget_asked(self, address: str) -> None:
        for asked in self._asked.values():
            if asked.address == address:
                asked.end(False)
        self._given_up = {
            number: asked
            for number, asked in self._given_up.items()
            if asked.address != address
        }


async def _comes_in_time(event: asyncio.Event, seconds: float) -> bool:
    for _ in range(HEARD_PARTS):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds / HEARD_PARTS):
                await event.wait()
        if event.is_set():
            return True
    return False
