"""Links from a gateway to the stewards of engines.

Stewards send reports on their engines; the gateway requests turns for its requests. A
turn is the permission to send one request to an engine.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ibishead.clock import Clock
from ibishead.errors import LinkLost
from ibishead.ids import FailureDomain, HostId
from ibishead.links import Dialer, Endpoint, Link, dial
from ibishead.messages import Hello, Message, Role
from ibishead.routing.feed import (
    FEED_PACE,
    FORGET_AFTER_SECONDS,
    REDIAL_MAX_SECONDS,
    REDIAL_MIN_SECONDS,
)
from ibishead.routing.messages import (
    AskTurn,
    BeginUse,
    EndUse,
    EngineReport,
    FailuresTold,
    MemberRecord,
    OriginAnswer,
    PromptDelay,
    PromptRead,
    QuotaAnswer,
    QuotaKept,
    RateTold,
    RefusalsTold,
    TurnAnswer,
    TurnNoted,
)
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import Registration, WeightKey
from ibishead.routing.work import RequestWork
from ibishead.waiting import wait_for_event

__all__ = ["ACK_TIMEOUT_SECONDS", "StewardLinks", "TurnOutcome"]

logger = logging.getLogger(__name__)

#: Work of a request of which nothing is known.
NO_WORK = RequestWork()

#: Seconds within which a steward acknowledges a request for a turn. It takes
#: milliseconds, and a few times as long on a slow host.
ACK_TIMEOUT_SECONDS = 0.15

#: Number of intervals into which the acknowledgement time-out is divided. On a gateway
#: whose event loop is late, the time-out expires before a received acknowledgement is
#: read; it is read between two intervals.
ACK_INTERVALS = 3

#: Seconds for which no turns are requested from a steward that sent no acknowledgement.
#: Requests for weights that its engine holds are sent without a turn meanwhile, while
#: the engine sends data.
UNRESPONSIVE_SECONDS = 1.0


class TurnOutcome(Enum):
    """Outcome of a request for a turn."""

    GRANTED = "given"
    LATE = "late"
    UNRESPONSIVE = "mute"


@dataclass
class _PendingTurn:
    """A turn that was requested from a steward.

    :ivar acknowledged: set when the steward has acknowledged the request.
    :ivar finished: set when the steward has answered or its link was lost.
    """

    number: int
    address: str
    key: WeightKey
    acknowledged: asyncio.Event = field(default_factory=asyncio.Event)
    finished: asyncio.Event = field(default_factory=asyncio.Event)
    granted: bool = False

    def finish(self, granted: bool) -> None:
        self.granted = granted
        self.acknowledged.set()
        self.finished.set()


class StewardLinks:
    """Maintains a link to each steward.

    :param on_report: called with each report on an engine.
    :param on_delay: called when the wait for a turn at an engine has changed.
    :param on_failures: called when the share of failures of an engine has changed.
    :param on_limit: called when the rate limit that a steward enforces has changed or
        was removed.
    :param on_refusals: called when an engine has asked another gateway for rest.
    :param on_quota: called with each message about quotas that a steward relays.
    :param on_origin: called with each answer about the beginning of a stream.
    :param on_link: called with the host of each new link.
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
        on_refusals: Callable[[RefusalsTold], None] = lambda _: None,
        on_quota: Callable[[QuotaKept | QuotaAnswer], None] = lambda _: None,
        on_origin: Callable[[OriginAnswer], None] = lambda _: None,
        on_link: Callable[[HostId], None] = lambda _: None,
    ) -> None:
        self._host = host
        self._clock = clock
        self._on_report = on_report
        self._on_delay = on_delay
        self._on_failures = on_failures
        self._on_limit = on_limit
        self._on_refusals = on_refusals
        self._on_quota = on_quota
        self._on_origin = on_origin
        self._on_link = on_link
        self._dial = dialer
        self._links: dict[str, Link] = {}
        #: Links by host, with its failure domain.
        self._hosts: dict[HostId, tuple[Link, FailureDomain]] = {}
        self._link_tasks: dict[Endpoint, asyncio.Task[None]] = {}
        self._turn_numbers = itertools.count(1)
        self._pending: dict[int, _PendingTurn] = {}
        self._abandoned: dict[int, _PendingTurn] = {}
        self._unresponsive_until: dict[str, float] = {}
        #: Addresses of engines whose stewards' links timed out and were not restored.
        self._timed_out: set[str] = set()

    def connect(self, member: MemberRecord) -> None:
        """Start a link to a steward unless there is one."""
        endpoint = Endpoint(member.address, member.port)
        if endpoint not in self._link_tasks:
            task = asyncio.create_task(self._maintain_link(endpoint, member))
            self._link_tasks[endpoint] = task

    def is_available(self, address: str) -> bool:
        """Return whether turns can be requested for the engine at an address."""
        link = self._links.get(address)
        if link is None or link.closed:
            return False
        return self._clock.monotonic() >= self._unresponsive_until.get(address, 0.0)

    def is_unresponsive(self, address: str) -> bool:
        """Return whether a steward sent no acknowledgement, or its link timed out.

        Its host is frozen or unreachable, and so is the engine on the same host. A
        steward that has exited closes its link, and its engine may still work.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return address in self._timed_out
        return self._clock.monotonic() < self._unresponsive_until.get(address, 0.0)

    def pick_link(self, draw: Callable[[], float]) -> Link | None:
        """Return the link to a random steward that responds, or ``None``.

        :param draw: returns a random number in [0, 1).
        """
        links = [x for x in self._links.values() if not x.closed and not x.overdue]
        return links[int(draw() * len(links))] if links else None

    def list_hosts(self) -> dict[HostId, FailureDomain]:
        """Return the hosts of the linked stewards with their failure domains."""
        return {
            host: domain
            for host, (link, domain) in self._hosts.items()
            if not link.closed
        }

    def send(self, host: HostId, message: Message) -> None:
        """Send a message to the steward of a host; without a link it is dropped."""
        if host in self._hosts:
            self._hosts[host][0].send(message)

    def take_number(self) -> int:
        """Return a number for the next use of an engine by a request."""
        return next(self._turn_numbers)

    async def request_turn(
        self,
        address: str,
        key: WeightKey,
        version: int,
        *,
        number: int,
        wait: float,
        tokens: int = 0,
        due: float = 0.0,
        keys: PromptKeys | None = None,
        work: RequestWork = NO_WORK,
    ) -> TurnOutcome:
        """Wait until a request may be sent to an engine.

        :param version: lowest adapter version that the request may begin on.
        :param number: from `take_number`; identifies this use of the engine.
        :param wait: seconds after which the turn is no longer needed.
        :param tokens: length of the prompt in tokens.
        :param due: seconds until the response should begin.
        :param keys: the parts of the prompt, if it names any.
        :param work: what the request is expected to cost.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            return TurnOutcome.UNRESPONSIVE
        turn = self._pending[number] = _PendingTurn(number, address, key)
        link.send(AskTurn(number, key, version, wait, tokens, due, keys, work))
        try:
            if not await _wait_for_ack(
                turn.acknowledged, min(ACK_TIMEOUT_SECONDS, wait)
            ):
                self._unresponsive_until[address] = (
                    self._clock.monotonic() + UNRESPONSIVE_SECONDS
                )
                return TurnOutcome.UNRESPONSIVE
            await wait_for_event(turn.finished, wait)
        except asyncio.CancelledError:
            if turn.granted:
                self.return_turn(address, key, number)
            raise
        finally:
            del self._pending[number]
            if not turn.finished.is_set():
                self._abandoned[number] = turn
        return TurnOutcome.GRANTED if turn.granted else TurnOutcome.LATE

    def return_turn(self, address: str, key: WeightKey, number: int) -> None:
        """Return a granted turn that is no longer needed.

        Until then the steward counts the adapter and a slot as in use and the prompt as
        unread.
        """
        self.notify_prompt_read(address, 0, 0.0, number)
        self.end_use(address, key, number=number)

    def withdraw_turns(self, address: str) -> None:
        """End the waits for turns at an engine; the turns are returned when granted."""
        for number, turn in self._pending.items():
            if turn.address == address and not turn.finished.is_set():
                self._abandoned[number] = turn
                turn.finish(False)

    def begin_use(
        self,
        address: str,
        key: WeightKey,
        tokens: int = 0,
        number: int = 0,
        keys: PromptKeys | None = None,
        work: RequestWork = NO_WORK,
    ) -> None:
        """Notify a steward that a request is sent without a turn.

        :param tokens: length of the prompt in tokens.
        :param number: from `take_number`; identifies this use of the engine.
        :param keys: the parts of the prompt, if it names any.
        :param work: what the request is expected to cost.
        """
        link = self._links.get(address)
        if link is not None:
            link.send(BeginUse(key, tokens, number, keys, work))

    def end_use(
        self,
        address: str,
        key: WeightKey,
        max_gap: float = 0.0,
        failed: bool | None = None,
        number: int = 0,
        tokens: int = 0,
        seconds: float = 0.0,
    ) -> None:
        """Notify a steward that a request has ended.

        :param max_gap: longest gap in seconds between events of the response.
        :param failed: whether the engine failed, or ``None`` if the request ended for
            another reason.
        :param number: number under which the use began.
        :param tokens: length of the answer in tokens, 0 if unknown.
        :param seconds: from the first to the last event of the answer.
        """
        link = self._links.get(address)
        if link is not None:
            link.send(
                EndUse(
                    key, round(max_gap, 3), failed, number, tokens, round(seconds, 3)
                )
            )

    def notify_prompt_read(
        self,
        address: str,
        tokens: int,
        seconds: float,
        number: int = 0,
        slowdown: float = 0.0,
    ) -> None:
        """Notify a steward that its engine has read a prompt.

        :param tokens: length of the prompt in tokens.
        :param seconds: time from the send to the first event, 0 if there was none.
        :param number: number under which the use began.
        :param slowdown: slowdown of the engine's host that the response reports, 0 if
            it reports none.
        """
        link = self._links.get(address)
        if link is not None:
            link.send(PromptRead(tokens, round(seconds, 4), number, slowdown))

    def notify_limit(self, target: Registration, rate: float | None) -> None:
        """Notify a steward of the rate limit in a response of its engine.

        :param rate: requests per second, or ``None`` for no limit.
        """
        link = self._links.get(target.address)
        if link is not None:
            link.send(RateTold(target.target, rate))

    def notify_refusals(self, target: Registration, seconds: float) -> None:
        """Notify a steward that its engine has asked this gateway for rest."""
        link = self._links.get(target.address)
        if link is not None:
            link.send(RefusalsTold(target.target, seconds))

    async def stop(self) -> None:
        """Close all links."""
        for task in self._link_tasks.values():
            task.cancel()
        await asyncio.gather(*self._link_tasks.values(), return_exceptions=True)

    async def _maintain_link(self, endpoint: Endpoint, member: MemberRecord) -> None:
        delay, last_linked = REDIAL_MIN_SECONDS, self._clock.monotonic()
        while self._clock.monotonic() - last_linked < FORGET_AFTER_SECONDS:
            try:
                link = await self._dial(
                    endpoint,
                    Hello(Role.ENTRY, self._host),
                    self._clock,
                    FEED_PACE,
                    None,
                )
            except LinkLost as error:
                logger.debug(
                    "cannot connect to steward", extra={"reason": error.message}
                )
                if isinstance(error.__cause__, ConnectionRefusedError):
                    # The host responds, so the engine on it may work.
                    self._timed_out.discard(member.target)
            else:
                delay = REDIAL_MIN_SECONDS
                await self._receive(member, link)
                last_linked = self._clock.monotonic()
            await asyncio.sleep(delay)
            delay = min(2 * delay, REDIAL_MAX_SECONDS)
        self._timed_out.discard(member.target)
        del self._link_tasks[endpoint]

    async def _receive(self, member: MemberRecord, link: Link) -> None:
        logger.info("steward link established", extra={"peer": link.peer.host})
        address = member.target
        self._links[address] = link
        self._hosts[member.host] = link, member.domain
        self._timed_out.discard(address)
        self._on_link(member.host)
        try:
            async for message in link.receive():
                self._handle(message)
        finally:
            if self._links.get(address) is link:
                del self._links[address]
                if link.timed_out:
                    self._timed_out.add(address)
            if self._hosts.get(member.host, (None,))[0] is link:
                del self._hosts[member.host]
            self._cancel_turns(address)
            link.abort()
            logger.info("steward link lost", extra={"peer": link.peer.host})

    def _handle(self, message: Message) -> None:
        match message:
            case EngineReport():
                self._on_report(message)
            case PromptDelay():
                self._on_delay(message)
            case FailuresTold():
                self._on_failures(message)
            case RateTold():
                self._on_limit(message)
            case RefusalsTold():
                self._on_refusals(message)
            case QuotaKept() | QuotaAnswer():
                self._on_quota(message)
            case OriginAnswer():
                self._on_origin(message)
            case TurnNoted(number):
                turn = self._pending.get(number)
                if turn is not None:
                    turn.acknowledged.set()
            case TurnAnswer(number, granted):
                self._finish_turn(number, granted)
            case _:
                logger.warning(
                    "unexpected message", extra={"kind": type(message).__name__}
                )

    def _finish_turn(self, number: int, granted: bool) -> None:
        abandoned = self._abandoned.pop(number, None)
        if abandoned is not None:
            if granted:
                self.return_turn(abandoned.address, abandoned.key, number)
            return
        turn = self._pending.get(number)
        if turn is not None:
            turn.finish(granted)

    def _cancel_turns(self, address: str) -> None:
        for turn in self._pending.values():
            if turn.address == address:
                turn.finish(False)
        self._abandoned = {
            number: turn
            for number, turn in self._abandoned.items()
            if turn.address != address
        }


async def _wait_for_ack(event: asyncio.Event, seconds: float) -> bool:
    for _ in range(ACK_INTERVALS):
        if await wait_for_event(event, seconds / ACK_INTERVALS):
            return True
    return False
