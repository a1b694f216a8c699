"""A gateway's links to the stewards: reports come in, wishes for adapters go out."""

import asyncio
import itertools
import logging
from collections.abc import Callable

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import Dialer, Endpoint, Link, dial
from ibishead.messages import Hello, Message, Role
from ibishead.routing.feed import FEED_PACE, FORGET_AFTER, REDIAL_FIRST, REDIAL_MOST
from ibishead.routing.messages import (
    AdapterAnswer,
    AskAdapter,
    BeginUse,
    EndUse,
    EngineReport,
    MemberRecord,
)
from ibishead.routing.targets import WeightKey

__all__ = ["StewardLinks"]

logger = logging.getLogger(__name__)


class StewardLinks:
    """Keeps a link to each steward.

    :param on_report: called with each report of an engine.
    """

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        on_report: Callable[[EngineReport], None],
        dialer: Dialer = dial,
    ) -> None:
        self._host = host
        self._clock = clock
        self._on_report = on_report
        self._dial = dialer
        self._links: dict[str, Link] = {}
        self._keepers: dict[Endpoint, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[bool]] = {}
        self._given_up: dict[int, tuple[str, WeightKey]] = {}

    def meet(self, member: MemberRecord) -> None:
        """Dial a steward, if it isn't linked already."""
        endpoint = Endpoint(member.address, member.port)
        if endpoint not in self._keepers:
            task = asyncio.create_task(self._keep(endpoint, member))
            self._keepers[endpoint] = task

    def reaches(self, address: str) -> bool:
        """Return whether the steward of the engine at an address is linked."""
        link = self._links.get(address)
        return link is not None and not link.closed

    async def ask(
        self, address: str, key: WeightKey, version: int, wait: float
    ) -> bool:
        """Return whether an adapter is in place at an engine.

        :param wait: seconds after which it is of no use.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return False
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        link.send(AskAdapter(number, key, version, wait))
        closed = asyncio.create_task(link.wait_closed())
        try:
            async with asyncio.timeout(wait):
                await asyncio.wait(
                    (future, closed), return_when=asyncio.FIRST_COMPLETED
                )
        except TimeoutError:
            return False
        finally:
            closed.cancel()
            self._asked.pop(number, None)
            if not future.done():
                self._given_up[number] = (address, key)
        return future.done() and future.result()

    def begin_use(self, address: str, key: WeightKey) -> None:
        """Tell a steward that a request for an adapter in place is sent."""
        link = self._links.get(address)
        if link is not None:
            link.send(BeginUse(key))

    def end_use(self, address: str, key: WeightKey) -> None:
        """Tell a steward that such a request is over."""
        link = self._links.get(address)
        if link is not None:
            link.send(EndUse(key))

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
            else:
                wait = REDIAL_FIRST
                await self._listen(member.target, link)
                reached = self._clock.monotonic()
            await asyncio.sleep(wait)
            wait = min(2 * wait, REDIAL_MOST)
        del self._keepers[endpoint]

    async def _listen(self, address: str, link: Link) -> None:
        logger.info("steward linked", extra={"peer": link.peer.host})
        self._links[address] = link
        try:
            async for message in link.receive():
                self._take(message)
        finally:
            if self._links.get(address) is link:
                del self._links[address]
            link.end()
            logger.info("steward lost", extra={"peer": link.peer.host})

    def _take(self, message: Message) -> None:
        match message:
            case EngineReport():
                self._on_report(message)
            case AdapterAnswer(number, ready):
                future = self._asked.get(number)
                left = self._given_up.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(ready)
                elif ready and left is not None:
                    # nobody waits any more, but the steward counts it as in use
                    self.end_use(*left)
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )
