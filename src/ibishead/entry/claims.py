"""Non-idempotent requests: one claim, at most one run, the recorded outcome after.

The claim is committed by the control quorum before anything is sent. It moves to
another target only on proof that its holder did not run.
"""

import contextlib
from collections.abc import Callable

from ibishead.decisions.placement import Placed
from ibishead.entry.dispatching import (
    Dispatcher,
    Ended,
    Grant,
    Job,
    describe_end,
    describe_no_target,
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

#: Seconds in which the quorum must answer. An election takes about one; a caller is
#: told sooner to come back than left waiting for a quorum that is gone.
CLAIM_PATIENCE = 2.0

#: Seconds after which the holder of a claim that runs may be asked again.
RUNNING_RETRY_AFTER = 1.0

#: Grants of one claim that one request may go through.
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

        :raises IbisheadError: what the caller is told instead of an answer; its
            kind is `OutcomeUnknown` when the request may have run.
        """
        key = job.resolved.call.key or IdempotencyKey(job.resolved.call.request)
        avoid: frozenset[TargetId] = frozenset()
        ended = Ended(Outcome.NOT_RUN, ErrorCode.NO_TARGET, "never sent")
        given_up = Generation(0)
        for _ in range(MAX_GRANTS):
            placed = await self._dispatcher.choose_again(job, avoid)
            # Assessed by the same view as the placement: while the claim is asked for,
            # links may fall silent, and that is no load.
            refusal = self._dispatcher.admit(job, placed)
            answer = await self._claim(job, key, placed)
            if answer is None and placed is None:
                raise describe_no_target()
            if answer is None:
                continue
            self._note(job.trace, "claim", answer.state.value, f"at {answer.target}")
            if not self._is_open(answer):
                await self._answer_settled(job, answer)
                return
            # A generation that was reported as not run may be recorded so at any
            # moment, and another one granted. Nothing is sent under it again.
            if answer.generation > given_up:
                ended = await self._run_granted(job, answer, key, refusal)
                if ended.outcome is Outcome.COMPLETED:
                    return
                if ended.outcome is Outcome.UNKNOWN:
                    raise describe_end(ended, RUNNING_RETRY_AFTER)
                given_up = answer.generation
            await self._release(job, answer, key)
            if ended.refreshed:
                self._dispatcher.refresh(job)
            else:
                avoid |= {answer.target}
            if job.deadline <= self._monotonic():
                break
        raise describe_end(ended, ended.retry_after or RUNNING_RETRY_AFTER)

    async def _claim(
        self, job: Job, key: IdempotencyKey, placed: Placed | None
    ) -> ClaimAnswer | None:
        # Without a live target nothing is granted, but what is on record under the
        # key is answered all the same; none means that nothing is.
        agent = placed and self._dispatcher.find_agent(placed.target)
        resolved = job.resolved
        ask = AskClaim(
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
            return await self._subscription.claim(ask, CLAIM_PATIENCE)
        except NotFound:
            return None
        except Unavailable as error:
            if not resolved.call.key:
                raise
            # An earlier sending under the same key may have run, and only the
            # quorum knows. "Not run" could make its caller take a new key.
            raise OutcomeUnknown(
                "this sending was not run, but no control quorum can tell whether "
                "an earlier one under the same Idempotency-Key was",
                "send it again with the same key after the given time",
                code=ErrorCode.NO_QUORUM,
                retry_after=error.retry_after,
            ) from error

    @staticmethod
    def _is_open(answer: ClaimAnswer) -> bool:
        return answer.state in (ClaimState.GRANTED, ClaimState.RUNNING)

    async def _run_granted(
        self,
        job: Job,
        answer: ClaimAnswer,
        key: IdempotencyKey,
        refusal: IbisheadError | None,
    ) -> Ended:
        agent = self._dispatcher.find_agent(answer.target)
        mine = answer.holder == job.resolved.call.request
        if mine and answer.state is ClaimState.GRANTED:
            if agent is None or agent.record.incarnation != answer.incarnation:
                # This host alone may send it, and hasn't
                return Ended(
                    Outcome.NOT_RUN, ErrorCode.STALE_INCARNATION, "the target is gone"
                )
            if refusal is not None:
                await self._release(job, answer, key)
                raise refusal
            if not self._dispatcher.takes_work(answer.target):
                return Ended(
                    Outcome.NOT_RUN, ErrorCode.NO_TARGET, "the target takes nothing now"
                )
            job.attempts += 1
            return await self._dispatcher.attempt(
                job, agent, Grant(answer.generation, key)
            )
        if agent is None:
            return Ended(Outcome.UNKNOWN, ErrorCode.LINK_LOST, "its target is gone")
        # Another entry host sent it, and may be gone: the agent has the answer, or
        # the proof that it never came.
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
        # When this isn't recorded, the next sending asks the agent and gets the proof
        with contextlib.suppress(Unavailable):
            await self._subscription.resolve(resolution, CLAIM_PATIENCE)

    async def _answer_settled(self, job: Job, answer: ClaimAnswer) -> None:
        match answer.state:
            case ClaimState.COMPLETED if answer.answer_status:
                await job.relay.replay(
                    answer.answer_status, answer.answer_headers, answer.answer_body
                )
            case ClaimState.COMPLETED:
                raise Conflict(
                    "the request was completed before; its answer was too large to "
                    "be kept",
                    "don't send it again; read its effect from the service",
                    code=ErrorCode.ANSWER_NOT_KEPT,
                )
            case ClaimState.KEY_REUSED:
                raise Conflict(
                    "the Idempotency-Key was used for another request",
                    "use a new key for each request",
                    code=ErrorCode.KEY_REUSED,
                )
            case _:
                raise OutcomeUnknown(
                    "the request may have run; its target was lost before it told",
                    "check its effect with the service; the key stays bound to it",
                )

    def _note(self, trace: Trace, stage: str, decision: str, reason: str) -> None:
        trace.add(self._monotonic(), stage, decision, reason)
