"""A program's link to the control replicas, kept up over their failures.

One replica is followed at a time; when it falls silent or has no lease, the next
is tried. Asks that await an answer are sent again over the new link; control's
commands are idempotent, so a resend after a lost answer is safe.
"""

import asyncio
import contextlib
import itertools
import logging
import ssl
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

import msgspec

from ibishead.catalog import Catalog
from ibishead.clock import Clock
from ibishead.errors import ErrorCode, IbisheadError, LinkLost, NotFound, Unavailable
from ibishead.ids import ServiceName
from ibishead.links import Dialer, Endpoint, Link, Pace, dial
from ibishead.messages import (
    AskClaim,
    AskPermit,
    AskRegistration,
    ClaimAnswer,
    Hello,
    Message,
    PermitAnswer,
    Publish,
    Refusal,
    Registration,
    ReleasePermit,
    ReportInForce,
    ResolveClaim,
    Subscribe,
)

__all__ = ["Subscription"]

logger = logging.getLogger(__name__)

#: Seconds between reports; each renews the lease, and carries one index only, so
#: that an idle node costs control well under 1 KB a second.
REPORT_INTERVAL = 1.0

#: Seconds between tries to reach a replica, so that a dead quorum isn't hammered.
REDIAL_INTERVAL = 0.2

#: Seconds without a live lease after which another replica is tried: this one may
#: be cut off from its leader while others are not.
LEASE_PATIENCE = 3.0

#: Codes by which control says that it holds no claim and grants none.
_NOT_HELD = (ErrorCode.STALE_INCARNATION, ErrorCode.UNKNOWN_TARGET)

CONTROL_PACE = Pace(interval=1.0, silence=2.5)


class Subscription:
    """Follows the control state and puts questions to it.

    :param replicas: link endpoints of the control replicas.
    :param hello: called at each dial.
    :param services: the services to follow, all when empty.
    :param changed: called after each delta.
    """

    def __init__(
        self,
        replicas: Sequence[Endpoint],
        hello: Callable[[], Hello],
        clock: Clock,
        *,
        services: tuple[ServiceName, ...] = (),
        changed: Callable[[], None] | None = None,
        connected: Callable[[], Awaitable[None]] | None = None,
        tls: ssl.SSLContext | None = None,
        start_at: int = 0,
        dialer: Dialer = dial,
    ) -> None:
        self.catalog = Catalog()
        self._replicas = list(replicas)
        self._hello = hello
        self._clock = clock
        self._services = services
        self._changed = changed
        self._connected = connected
        self._tls = tls
        self._dial = dialer
        self._next_replica = start_at
        self._link: Link | None = None
        self._waiting: dict[str, tuple[Message, asyncio.Future[Message]]] = {}
        self._questions = itertools.count(1)
        self._reports = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow the control state, for as long as the program runs."""
        self._task = asyncio.create_task(self._follow_for_ever())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._link is not None:
            await self._link.close()

    def is_current(self) -> bool:
        """Whether a live lease vouches for the documents held."""
        return self.catalog.is_current(self._clock.monotonic())

    async def register(self, ask: AskRegistration) -> Registration:
        """Announce a target, however long it takes to reach a quorum."""
        while True:
            with contextlib.suppress(Unavailable):
                answer = await self._ask(ask.nonce, ask, timeout=2.0)
                if isinstance(answer, Registration):
                    return answer
            await asyncio.sleep(REDIAL_INTERVAL)

    async def claim(self, ask: AskClaim, timeout: float) -> ClaimAnswer:
        """Ask for the right to run a non-idempotent request.

        :param timeout: seconds.
        :raises NotFound: the target isn't registered, and nothing is on record
            under the key.
        :raises Unavailable: there is no quorum now, or it hasn't answered in time.
        """
        if self._link is None and not self.is_current():
            raise _describe_no_quorum()
        answer = await self._ask_numbered(ask, timeout)
        match answer:
            case ClaimAnswer():
                return answer
            case Refusal(code=code) if code in _NOT_HELD:
                raise NotFound(answer.reason, "choose another target", code=code)
        raise _describe_no_quorum()

    async def resolve(self, ask: ResolveClaim, timeout: float) -> ClaimAnswer:
        """Record how a claimed request ended.

        :raises Unavailable: no quorum has answered in time; ask again.
        """
        answer = await self._ask_numbered(ask, timeout)
        if isinstance(answer, ClaimAnswer):
            return answer
        raise _describe_no_quorum()

    async def ask_permit(self, ask: AskPermit, timeout: float) -> PermitAnswer:
        """Ask for one load from the weight store.

        :raises Unavailable: no permit has come in time.
        """
        answer = await self._ask(_name_permit(ask), ask, timeout)
        if isinstance(answer, PermitAnswer):
            return answer
        raise _describe_no_quorum()

    def release_permit(self, release: ReleasePermit) -> None:
        """Give a permit back; when this is lost, the permit runs out by itself."""
        if self._link is not None:
            self._link.send(release)

    async def _ask_numbered(
        self, ask: AskClaim | ResolveClaim, timeout: float
    ) -> Message:
        # Asks are sent again while they wait, so answers come twice. Where a claim
        # stands changes meanwhile, and an answer to an earlier ask about it must not
        # pass for the answer to this one.
        ask = msgspec.structs.replace(ask, question=next(self._questions))
        return await self._ask(_name_question(ask), ask, timeout)

    async def _ask(self, subject: str, ask: Message, timeout: float) -> Message:
        _, future = self._waiting.get(subject, (ask, None))
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[subject] = (ask, future)
            if self._link is not None:
                self._link.send(ask)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(future)
        except TimeoutError as error:
            raise _describe_no_quorum() from error
        finally:
            self._waiting.pop(subject, None)

    async def _follow_for_ever(self) -> None:
        while True:
            endpoint = self._replicas[self._next_replica % len(self._replicas)]
            try:
                await self._follow(endpoint)
            except LinkLost as error:
                logger.debug("control replica lost", extra={"reason": error.message})
            except IbisheadError as error:
                logger.error(
                    "control state can't be used", extra={"reason": str(error)}
                )
            except Exception:
                # A host that stops following for good would be cut off until restart
                logger.exception("a control link failed inside")
            self._next_replica += 1
            await asyncio.sleep(REDIAL_INTERVAL)

    async def _follow(self, endpoint: Endpoint) -> None:
        link = await self._dial(
            endpoint, self._hello(), self._clock, CONTROL_PACE, self._tls
        )
        self._link = link
        reporter = asyncio.create_task(self._report(link))
        try:
            link.send(
                Subscribe(
                    self._hello().host,
                    self._hello().role,
                    self.catalog.index,
                    self._services,
                )
            )
            for ask, _ in list(self._waiting.values()):
                link.send(ask)
            if self._connected is not None:
                await self._connected()
            async for message in link.receive():
                self._take(message)
        finally:
            reporter.cancel()
            self._link = None
            await link.close()

    def _take(self, message: Message) -> None:
        match message:
            case Publish():
                self._take_publish(message)
            case Registration():
                self._settle(message.nonce, message)
            case ClaimAnswer():
                self._settle(_name_question(message), message)
            case PermitAnswer():
                self._settle(_name_permit(message), message)
            case Refusal():
                self._take_refusal(message)
                logger.info(
                    "control refused",
                    extra={"subject": message.subject, "reason": message.reason},
                )

    def _take_publish(self, publish: Publish) -> None:
        before = self.catalog.index
        self.catalog.apply(publish)
        self.catalog.renew(publish, self._clock.monotonic())
        if self._link is not None and self.catalog.index > before:
            self._send_report(self._link)
        if self._changed is not None:
            self._changed()

    def _take_refusal(self, refusal: Refusal) -> None:
        # Without a quorum a claim is refused at once, as its caller should know. Other
        # asks stay open: they are sent again at the next report, and over the next
        # link, until their own time is up.
        subject = _name_question(refusal)
        ask, _ = self._waiting.get(subject, (None, None))
        final = refusal.code is ErrorCode.NO_QUORUM or refusal.code in _NOT_HELD
        if isinstance(ask, AskClaim) and final:
            self._settle(subject, refusal)

    def _settle(self, subject: str, answer: Message) -> None:
        waiting = self._waiting.get(subject)
        if waiting is not None and not waiting[1].done():
            waiting[1].set_result(answer)

    async def _report(self, link: Link) -> None:
        patience = self._clock.monotonic() + LEASE_PATIENCE
        while not link.closed:
            now = self._clock.monotonic()
            if self.catalog.is_current(now):
                patience = now + LEASE_PATIENCE
            elif now > patience:
                logger.warning("replica gives no lease", extra={"peer": link.peer.host})
                await link.close()
                return
            self._send_report(link)
            for ask, _ in list(self._waiting.values()):
                link.send(ask)
            await asyncio.sleep(REPORT_INTERVAL)

    def _send_report(self, link: Link) -> None:
        self._reports += 1
        self.catalog.note_report(self._reports, self._clock.monotonic())
        link.send(ReportInForce(self._hello().host, self.catalog.index, self._reports))


def _name_question(message: AskClaim | ResolveClaim | ClaimAnswer | Refusal) -> str:
    return f"question/{message.question}"


def _name_permit(message: AskPermit | PermitAnswer) -> str:
    return f"{message.target}/{message.incarnation}/{message.number}"


def _describe_no_quorum() -> Unavailable:
    return Unavailable(
        "the control quorum didn't answer in time",
        "send the request again; operators: see `ibishead status`",
        code=ErrorCode.NO_QUORUM,
        retry_after=timedelta(seconds=2),
    )
