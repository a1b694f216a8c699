"""Execution of non-idempotent requests: at most once, under a claim.

The control quorum commits the claim before anything is sent. The claim moves to
another target only on proof that its holder did not run the request. Once it has run,
the recorded outcome answers every later request with the same idempotency key.
"""

import contextlib
from collections.abc import Callable

from ibishead.decisions.placement import Placed
from ibishead.entry.dispatching import (
    AttemptResult,
    Dispatcher,
    Grant,
    Job,
    make_attempt_error,
    make_no_target_error,
)
from ibishead.entry.trace import Trace
from ibishead.errors import (
    Conflict,
    ErrorCode,
    IbisheadError,
    NotFound,
    OutcomeUnknown,
    Unavailable,
)
from ibishead.ids import Generation, IdempotencyKey, Incarnation, TargetId
from ibishead.messages import (
    AskClaim,
    ClaimAnswer,
    ClaimState,
    Outcome,
    ResolveClaim,
)
from ibishead.subscription import Subscription

__all__ = ["ClaimedRunner"]

#: Seconds within which the quorum must answer. An election takes about one second.
#: While there is no quorum, callers are asked to retry rather than kept waiting.
CLAIM_TIMEOUT_SECONDS = 2.0

#: Seconds after which a caller may retry a request whose claim is still running.
RUNNING_RETRY_AFTER_SECONDS = 1.0

#: Maximum number of grants of its claim that one request may use.
MAX_GRANTS = 4


class ClaimedRunner:
    """Runs non-idempotent requests."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        subscription: Subscription,
        monotonic: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._subscription = subscription
        self._monotonic = monotonic

    async def run(self, job: Job) -> None:
        """Answer a request that may run at most once.

        :raises IbisheadError: the error for the caller; it is `OutcomeUnknown` when
            the request may have run.
        """
        key = job.resolved.call.key or IdempotencyKey(job.resolved.call.request)
        avoid: frozenset[TargetId] = frozenset()
        result = AttemptResult(
            Outcome.NOT_RUN, ErrorCode.NO_TARGET, "no attempt was sent"
        )
        last_released = Generation(0)
        for _ in range(MAX_GRANTS):
            placed = await self._dispatcher.choose_again(job, avoid)
            # Admission is decided by the same view of the targets as the placement:
            # links may go silent while the claim is requested, which is not load.
            refusal = self._dispatcher.admit(job, placed)
            answer = await self._claim(job, key, placed)
            if answer is None and placed is None:
                raise make_no_target_error()
            if answer is None:
                continue
            self._trace(job.trace, "claim", answer.state.value, f"at {answer.target}")
            if not self._is_unsettled(answer):
                await self._answer_settled(job, answer)
                return
            # A generation that was reported as not run may be recorded as such at any
            # time and a new one granted, so nothing more is sent under it.
            if answer.generation > last_released:
                result = await self._run_granted(job, answer, key, refusal)
                if result.outcome is Outcome.COMPLETED:
                    return
                if result.outcome is Outcome.UNKNOWN:
                    raise make_attempt_error(result, RUNNING_RETRY_AFTER_SECONDS)
                last_released = answer.generation
            await self._release(job, answer, key)
            if result.refreshed:
                self._dispatcher.refresh(job)
            else:
                avoid |= {answer.target}
            if job.deadline <= self._monotonic():
                break
        raise make_attempt_error(
            result, result.retry_after or RUNNING_RETRY_AFTER_SECONDS
        )

    async def _claim(
        self, job: Job, key: IdempotencyKey, placed: Placed | None
    ) -> ClaimAnswer | None:
        # Without a live target no claim is granted, but a claim that is recorded under
        # the key is still answered. None means that there is no such record.
        agent = placed and self._dispatcher.find_agent(placed.target)
        resolved = job.resolved
        request = AskClaim(
            request=resolved.call.request,
            team=resolved.team,
            service=resolved.call.service,
            key=key,
            digest=resolved.digest,
            target=agent.record.target if agent else TargetId(""),
            incarnation=agent.record.incarnation if agent else Incarnation(0),
            retention=resolved.document.claim_retention.total_seconds(),
        )
        try:
            return await self._subscription.claim(request, CLAIM_TIMEOUT_SECONDS)
        except NotFound:
            return None
        except Unavailable as error:
            if not resolved.call.key:
                raise
            # An earlier request with the same key may have run, which only the quorum
            # knows. "Not run" could lead the caller to retry under a new key.
            raise OutcomeUnknown(
                "this request was not run, but without a control quorum it is unknown "
                "whether an earlier one with the same Idempotency-Key was",
                "retry with the same key after the given time",
                code=ErrorCode.NO_QUORUM,
                retry_after=error.retry_after,
            ) from error

    @staticmethod
    def _is_unsettled(answer: ClaimAnswer) -> bool:
        return answer.state in (ClaimState.GRANTED, ClaimState.RUNNING)

    async def _run_granted(
        self,
        job: Job,
        answer: ClaimAnswer,
        key: IdempotencyKey,
        refusal: IbisheadError | None,
    ) -> AttemptResult:
        agent = self._dispatcher.find_agent(answer.target)
        is_holder = answer.holder == job.resolved.call.request
        if is_holder and answer.state is ClaimState.GRANTED:
            if agent is None or agent.record.incarnation != answer.incarnation:
                # Only this host may send under this grant, and it has not done so
                return AttemptResult(
                    Outcome.NOT_RUN, ErrorCode.STALE_INCARNATION, "the target is gone"
                )
            if refusal is not None:
                await self._release(job, answer, key)
                raise refusal
            if not self._dispatcher.accepts_attempts(answer.target):
                return AttemptResult(
                    Outcome.NOT_RUN,
                    ErrorCode.NO_TARGET,
                    "the target accepts no requests",
                )
            job.attempts += 1
            return await self._dispatcher.attempt(
                job, agent, Grant(answer.generation, key)
            )
        if agent is None:
            return AttemptResult(
                Outcome.UNKNOWN, ErrorCode.LINK_LOST, "its target is gone"
            )
        # Another entry host, which may be gone, sent the request. The agent has either
        # the answer or the proof that it never received the request.
        channel = agent.follow(answer.holder, answer.generation, answer.incarnation)
        return await self._dispatcher.follow(job, channel)

    async def _release(
        self, job: Job, answer: ClaimAnswer, key: IdempotencyKey
    ) -> None:
        resolved = job.resolved
        job.relay.reset()
        resolution = ResolveClaim(
            answer.holder,
            resolved.team,
            resolved.call.service,
            key,
            answer.generation,
            Outcome.NOT_RUN,
        )
        # If this is not recorded, the next request with this key follows the attempt at
        # the agent and gets the proof there
        with contextlib.suppress(Unavailable):
            await self._subscription.resolve(resolution, CLAIM_TIMEOUT_SECONDS)

    async def _answer_settled(self, job: Job, answer: ClaimAnswer) -> None:
        match answer.state:
            case ClaimState.COMPLETED if answer.answer_status:
                await job.relay.replay(
                    answer.answer_status, answer.answer_headers, answer.answer_body
                )
            case ClaimState.COMPLETED:
                raise Conflict(
                    "the request was completed before, but its answer was too large "
                    "to be stored",
                    "do not send it again; read its effect from the service",
                    code=ErrorCode.ANSWER_NOT_KEPT,
                )
            case ClaimState.KEY_REUSED:
                raise Conflict(
                    "the Idempotency-Key was already used for a different request",
                    "use a new key for each request",
                    code=ErrorCode.KEY_REUSED,
                )
            case _:
                raise OutcomeUnknown(
                    "the request may have run: its target was lost before it reported "
                    "the outcome",
                    "check its effect with the service; the key stays bound to it",
                )

    def _trace(self, trace: Trace, stage: str, decision: str, reason: str) -> None:
        trace.add(self._monotonic(), stage, decision, reason)
