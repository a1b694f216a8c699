"""Registration with control: incarnation, load permits and recorded outcomes."""

import asyncio
import contextlib
import logging
import uuid
from collections.abc import Coroutine

import msgspec

from ibishead.agent.attempts import Attempt
from ibishead.clock import Clock
from ibishead.errors import Unavailable
from ibishead.ids import Incarnation, Sequence
from ibishead.messages import (
    AnswerBody,
    AnswerHead,
    AskPermit,
    AskRegistration,
    Outcome,
    ReleasePermit,
    ResolveClaim,
)
from ibishead.subscription import Subscription

__all__ = ["ControlRegistrar"]

logger = logging.getLogger(__name__)

#: Seconds to wait for the quorum to record an outcome before the caller is answered
#: without the record. Longer than an election, shorter than callers usually wait.
RECORD_TIMEOUT_SECONDS = 2.0

#: Maximum number of attempts to record an outcome; together they span a minute.
MAX_RECORD_ATTEMPTS = 30

#: Largest answer body that is stored with a claim, in bytes.
MAX_RECORDED_ANSWER_BYTES = 16 * 1024

#: Seconds to wait for a permit in one request.
PERMIT_TIMEOUT_SECONDS = 2.0


class ControlRegistrar:
    """Registers the target with control and acts on its behalf there.

    :param announcement: registration to send; its nonce is replaced when control has
        ended the incarnation.
    :ivar superseded: set once another agent serves the target.
    """

    def __init__(
        self, subscription: Subscription, announcement: AskRegistration, clock: Clock
    ) -> None:
        self._subscription = subscription
        self._announcement = announcement
        self._clock = clock
        self._incarnations: list[Incarnation] = []
        self._last_permit = 0
        self._registering = asyncio.Lock()
        self._registration: asyncio.Task[None] | None = None
        self._background: set[asyncio.Task[None]] = set()
        self.superseded = asyncio.Event()

    @property
    def incarnation(self) -> Incarnation:
        """Current fencing number, 0 before the first registration."""
        return self._incarnations[-1] if self._incarnations else Incarnation(0)

    def is_own_incarnation(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation belongs or belonged to this process."""
        return incarnation in self._incarnations

    def has_authority(self) -> bool:
        """Whether this agent is registered and not superseded."""
        if not self._incarnations or self.superseded.is_set():
            return False
        record = self._subscription.catalog.find_target(self._announcement.target)
        return record is None or record.incarnation <= self.incarnation

    async def register(self) -> None:
        """Register, or attach again over a new link; both are idempotent."""
        async with self._registering:
            answer = await self._subscription.register(self._announcement)
            if answer.incarnation not in self._incarnations:
                self._incarnations.append(answer.incarnation)
                logger.info("registered", extra={"incarnation": answer.incarnation})

    def reattach(self) -> None:
        """Register again over a new link, so that control learns about the link."""
        if self._incarnations:
            self._begin_registration()

    def check_catalog(self) -> None:
        """Compare the catalog with this agent's own registration.

        A newer incarnation means that another agent serves the target now. A missing
        one means that control has declared this agent dead.
        """
        # Until the registration is answered, the catalog may hold an incarnation that
        # is not yet known here and would be mistaken for another agent's.
        if not self._incarnations or self._is_registering():
            return
        target = self._announcement.target
        catalog = self._subscription.catalog
        record = catalog.find_target(target)
        if record is not None and record.incarnation > self.incarnation:
            self.superseded.set()
        # An incarnation is the log index at which it was registered. A catalog that has
        # reached this index and lacks the incarnation has applied its end.
        elif record is None and catalog.index >= self.incarnation:
            self._announcement = msgspec.structs.replace(
                self._announcement, nonce=uuid.uuid4().hex
            )
            self._begin_registration()

    def _is_registering(self) -> bool:
        return self._registration is not None and not self._registration.done()

    def _begin_registration(self) -> None:
        if self._is_registering():
            return
        self._registration = self._spawn(self.register())
        self._registration.add_done_callback(lambda _: self.check_catalog())

    async def obtain_permit(self, urgency: float) -> int:
        """Wait for a load permit and return its number.

        :param urgency: the waiting load with the highest urgency is granted first.
        :raises Unavailable: no permit was granted in time.
        """
        self._last_permit += 1
        number = self._last_permit
        request = AskPermit(
            self._announcement.target, self.incarnation, number, urgency
        )
        try:
            await self._subscription.ask_permit(request, PERMIT_TIMEOUT_SECONDS)
        except BaseException:
            # A grant may be in transit; releasing it keeps it from blocking other loads
            self.release_permit(number)
            raise
        return number

    def release_permit(self, number: int) -> None:
        """Release a load permit."""
        self._subscription.release_permit(
            ReleasePermit(self._announcement.target, self.incarnation, number)
        )

    async def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of a claimed request before its caller is answered.

        If the quorum does not confirm in time, the caller is answered without the
        record, and recording continues in the background.
        """
        if attempt.dispatch.idempotent:
            return
        task = self._spawn(self._record(_make_resolution(attempt, outcome)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECORD_TIMEOUT_SECONDS):
                await asyncio.shield(task)

    async def _record(self, resolution: ResolveClaim) -> None:
        for _ in range(MAX_RECORD_ATTEMPTS):
            try:
                await self._subscription.resolve(resolution, RECORD_TIMEOUT_SECONDS)
            except Unavailable:
                continue
            return
        logger.error("outcome not recorded", extra={"request": resolution.request})

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _make_resolution(attempt: Attempt, outcome: Outcome) -> ResolveClaim:
    dispatch = attempt.dispatch
    resolution = ResolveClaim(
        dispatch.request,
        dispatch.team,
        dispatch.service,
        dispatch.key,
        dispatch.generation,
        outcome,
    )
    frames = attempt.buffer.list_from(Sequence(0)) or []
    body = b"".join(f.data for f in frames if isinstance(f, AnswerBody))
    if outcome is not Outcome.COMPLETED or len(body) > MAX_RECORDED_ANSWER_BYTES:
        return resolution
    match frames:
        case [AnswerHead() as head, *_]:
            return msgspec.structs.replace(
                resolution,
                answer_status=head.status,
                answer_headers=head.headers,
                answer_body=body,
            )
    return resolution
