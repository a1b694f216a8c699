"""A program's link to the control replicas, with failover between them.

A program is connected to one replica at a time. When that sends nothing or grants no
lease, the program connects to the next one and resends the requests that await an
answer. Control commands are idempotent, so a resend after a lost answer is safe.
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
from ibishead.links import Dialer, Endpoint, HeartbeatTiming, Link, dial
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

#: Seconds between reports. Each renews the lease and carries only one index, so that an
#: idle program costs the control replicas well under 1 KB per second.
REPORT_INTERVAL = 1.0

#: Seconds between connection attempts, to limit the load while there is no quorum.
REDIAL_INTERVAL = 0.2

#: Seconds without a valid lease after which the next replica is tried: the current one
#: may be partitioned from the leader while others are not.
LEASE_TIMEOUT_SECONDS = 3.0

#: Codes of refusals after which no claim is held or will be granted.
_NO_CLAIM_CODES = (ErrorCode.STALE_INCARNATION, ErrorCode.UNKNOWN_TARGET)

#: Heartbeat settings of links to control replicas.
CONTROL_HEARTBEAT = HeartbeatTiming(interval=1.0, timeout=2.5)


class Subscription:
    """Receives the control state and sends requests to the control replicas.

    :param replicas: link endpoints of the control replicas.
    :param hello: called at each connection attempt for the hello to send.
    :param services: services to subscribe to, all if empty.
    :param on_change: called after each update of the catalog.
    :param on_connect: awaited after each connection, before messages are received.
    :param start_at: index of the replica to try first.
    :param dialer: opens the links.
    :ivar catalog: local copy of the control state.
    """

    def __init__(
        self,
        replicas: Sequence[Endpoint],
        hello: Callable[[], Hello],
        clock: Clock,
        *,
        services: tuple[ServiceName, ...] = (),
        on_change: Callable[[], None] | None = None,
        on_connect: Callable[[], Awaitable[None]] | None = None,
        tls: ssl.SSLContext | None = None,
        start_at: int = 0,
        dialer: Dialer = dial,
    ) -> None:
        self.catalog = Catalog()
        self._replicas = list(replicas)
        self._hello = hello
        self._clock = clock
        self._services = services
        self._on_change = on_change
        self._on_connect = on_connect
        self._tls = tls
        self._dial = dialer
        self._next_replica = start_at
        self._link: Link | None = None
        self._pending: dict[str, tuple[Message, asyncio.Future[Message]]] = {}
        self._question_numbers = itertools.count(1)
        self._report_number = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start receiving the control state in a background task."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the background task and close the link."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        if self._link is not None:
            await self._link.close()

    def is_current(self) -> bool:
        """Return whether the lease on the documents is valid."""
        return self.catalog.is_current(self._clock.monotonic())

    async def register(self, ask: AskRegistration) -> Registration:
        """Register a target, retrying until a quorum answers."""
        while True:
            with contextlib.suppress(Unavailable):
                answer = await self._ask(ask.nonce, ask, timeout=2.0)
                if isinstance(answer, Registration):
                    return answer
            await asyncio.sleep(REDIAL_INTERVAL)

    async def claim(self, ask: AskClaim, timeout: float) -> ClaimAnswer:
        """Ask for the exclusive right to run a non-idempotent request.

        :param timeout: seconds to wait for an answer.
        :raises NotFound: the target is not registered, and no claim is recorded under
            the idempotency key.
        :raises Unavailable: there is no quorum, or it has not answered in time.
        """
        if self._link is None and not self.is_current():
            raise _make_no_quorum_error()
        answer = await self._ask_with_number(ask, timeout)
        match answer:
            case ClaimAnswer():
                return answer
            case Refusal(code=code) if code in _NO_CLAIM_CODES:
                raise NotFound(answer.reason, "choose another target", code=code)
        raise _make_no_quorum_error()

    async def resolve(self, ask: ResolveClaim, timeout: float) -> ClaimAnswer:
        """Record the outcome of a claimed request.

        :param timeout: seconds to wait for an answer.
        :raises Unavailable: no quorum has answered in time; the caller may retry.
        """
        answer = await self._ask_with_number(ask, timeout)
        if isinstance(answer, ClaimAnswer):
            return answer
        raise _make_no_quorum_error()

    async def ask_permit(self, ask: AskPermit, timeout: float) -> PermitAnswer:
        """Ask for a permit for one load from the weight store.

        :param timeout: seconds to wait for an answer.
        :raises Unavailable: no permit was granted in time.
        """
        answer = await self._ask(_permit_id(ask), ask, timeout)
        if isinstance(answer, PermitAnswer):
            return answer
        raise _make_no_quorum_error()

    def release_permit(self, release: ReleasePermit) -> None:
        """Return a permit; if the message is lost, the permit expires."""
        if self._link is not None:
            self._link.send(release)

    async def _ask_with_number(
        self, ask: AskClaim | ResolveClaim, timeout: float
    ) -> Message:
        # Requests are resent while they are pending, so answers can be duplicated. The
        # state of a claim changes over time, and an answer to an earlier request must
        # not be taken for the answer to this one.
        ask = msgspec.structs.replace(ask, question=next(self._question_numbers))
        return await self._ask(_question_id(ask), ask, timeout)

    async def _ask(self, subject: str, ask: Message, timeout: float) -> Message:
        _, future = self._pending.get(subject, (ask, None))
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending[subject] = (ask, future)
            if self._link is not None:
                self._link.send(ask)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(future)
        except TimeoutError as error:
            raise _make_no_quorum_error() from error
        finally:
            self._pending.pop(subject, None)

    async def _run(self) -> None:
        while True:
            endpoint = self._replicas[self._next_replica % len(self._replicas)]
            try:
                await self._receive_from(endpoint)
            except LinkLost as error:
                logger.debug(
                    "control replica unreachable or link closed",
                    extra={"reason": error.message},
                )
            except IbisheadError as error:
                logger.error(
                    "cannot apply the control state", extra={"reason": str(error)}
                )
            except Exception:
                # Without this, the host would receive no updates until its restart
                logger.exception("unexpected error on a control link")
            self._next_replica += 1
            await asyncio.sleep(REDIAL_INTERVAL)

    async def _receive_from(self, endpoint: Endpoint) -> None:
        link = await self._dial(
            endpoint, self._hello(), self._clock, CONTROL_HEARTBEAT, self._tls
        )
        self._link = link
        reporter = asyncio.create_task(self._report_periodically(link))
        try:
            link.send(
                Subscribe(
                    self._hello().host,
                    self._hello().role,
                    self.catalog.index,
                    self._services,
                )
            )
            for ask, _ in list(self._pending.values()):
                link.send(ask)
            if self._on_connect is not None:
                await self._on_connect()
            async for message in link.receive():
                self._handle(message)
        finally:
            reporter.cancel()
            self._link = None
            await link.close()

    def _handle(self, message: Message) -> None:
        match message:
            case Publish():
                self._handle_publish(message)
            case Registration():
                self._complete(message.nonce, message)
            case ClaimAnswer():
                self._complete(_question_id(message), message)
            case PermitAnswer():
                self._complete(_permit_id(message), message)
            case Refusal():
                self._handle_refusal(message)
                logger.info(
                    "control replica refused a request",
                    extra={"subject": message.subject, "reason": message.reason},
                )

    def _handle_publish(self, publish: Publish) -> None:
        previous_index = self.catalog.index
        self.catalog.apply(publish)
        self.catalog.renew(publish, self._clock.monotonic())
        if self._link is not None and self.catalog.index > previous_index:
            self._send_report(self._link)
        if self._on_change is not None:
            self._on_change()

    def _handle_refusal(self, refusal: Refusal) -> None:
        # Without a quorum, a claim fails at once, so that its caller gets the error.
        # Other requests remain pending: they are resent with the next report and over
        # the next link until they time out.
        subject = _question_id(refusal)
        ask, _ = self._pending.get(subject, (None, None))
        is_final = (
            refusal.code is ErrorCode.NO_QUORUM or refusal.code in _NO_CLAIM_CODES
        )
        if isinstance(ask, AskClaim) and is_final:
            self._complete(subject, refusal)

    def _complete(self, subject: str, answer: Message) -> None:
        pending = self._pending.get(subject)
        if pending is not None and not pending[1].done():
            pending[1].set_result(answer)

    async def _report_periodically(self, link: Link) -> None:
        give_up_at = self._clock.monotonic() + LEASE_TIMEOUT_SECONDS
        while not link.closed:
            now = self._clock.monotonic()
            if self.catalog.is_current(now):
                give_up_at = now + LEASE_TIMEOUT_SECONDS
            elif now > give_up_at:
                logger.warning(
                    "control replica grants no lease, trying the next one",
                    extra={"peer": link.peer.host},
                )
                await link.close()
                return
            self._send_report(link)
            for ask, _ in list(self._pending.values()):
                link.send(ask)
            await asyncio.sleep(REPORT_INTERVAL)

    def _send_report(self, link: Link) -> None:
        self._report_number += 1
        self.catalog.note_report(self._report_number, self._clock.monotonic())
        link.send(
            ReportInForce(self._hello().host, self.catalog.index, self._report_number)
        )


def _question_id(message: AskClaim | ResolveClaim | ClaimAnswer | Refusal) -> str:
    return f"question/{message.question}"


def _permit_id(message: AskPermit | PermitAnswer) -> str:
    return f"{message.target}/{message.incarnation}/{message.number}"


def _make_no_quorum_error() -> Unavailable:
    return Unavailable(
        "no quorum of control replicas answered in time",
        "send the request again; operators: check `ibishead status`",
        code=ErrorCode.NO_QUORUM,
        retry_after=timedelta(seconds=2),
    )
