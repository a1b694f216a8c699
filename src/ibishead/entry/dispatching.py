"""Attempts of one request: placement, dispatch, relaying and permitted retries."""

import asyncio
import contextlib
import functools
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ibishead.catalog import Catalog
from ibishead.clock import Clock
from ibishead.decisions.placement import Placed, adapter_digest
from ibishead.decisions.retry import (
    AttemptEnd,
    GiveUp,
    RetryBudget,
    RetryElsewhere,
    decide_retry,
)
from ibishead.entry.agents import AgentLink, AgentPool, AttemptChannel, AttemptLost
from ibishead.entry.blocking import MessageBlocks
from ibishead.entry.placing import Placer
from ibishead.entry.prompts import find_prompt_keys
from ibishead.entry.relay import Relay
from ibishead.entry.resolution import ResolvedCall, resolve
from ibishead.entry.trace import Trace
from ibishead.errors import (
    ErrorCode,
    IbisheadError,
    LinkLost,
    OutcomeUnknown,
    Refused,
    Unavailable,
)
from ibishead.ids import Generation, IdempotencyKey, TargetId
from ibishead.messages import AnswerEnd, AnswerHead, Dispatch, NotRun, Outcome
from ibishead.routing.prompts import PromptKeys
from ibishead.session import SILENCE_LIMIT

__all__ = ["AttemptResult", "Dispatcher", "Grant", "Job"]

#: Seconds after which a caller may retry when no better estimate is known.
DEFAULT_RETRY_AFTER_SECONDS = 1.0

#: Maximum number of dispatches that are repeated because this host's document was
#: outdated. The agent's refusal carries the newer document, so a second refusal of
#: this kind is rare.
MAX_REFRESHES = 3

#: Error codes of attempts that never reached an agent.
_UNDELIVERED_CODES = (ErrorCode.NEVER_RECEIVED, ErrorCode.LINK_LOST)

#: Seconds that a request waits for a target to become reachable again. All links of a
#: host may go silent at once while every target is healthy. This time covers closing
#: the links after targets have been marked unreachable, and dialling them again.
REACH_TIMEOUT_SECONDS = SILENCE_LIMIT

#: Seconds to wait for an agent to report whether a cancelled attempt had started.
CANCEL_REPLY_TIMEOUT_SECONDS = 0.5


@dataclass
class Job:
    """A request in progress.

    :param deadline: monotonic seconds.
    :param attempts: number of attempts so far.
    :param undelivered: number of those attempts that never reached an agent.
    :param admitted: the request passed admission, so further attempts are not refused
        because of load.
    :param may_have_run: an attempt may have run, whatever the outcome of later ones.
    """

    resolved: ResolvedCall
    relay: Relay
    trace: Trace
    deadline: float
    attempts: int = 0
    undelivered: int = 0
    admitted: bool = False
    may_have_run: bool = False

    @functools.cached_property
    def keys(self) -> PromptKeys | None:
        """The messages of its prompt, and its content; none for a plain service."""
        return find_prompt_keys(self.resolved)


@dataclass(frozen=True)
class Grant:
    """Permission from a claim to run a non-idempotent request once."""

    generation: Generation
    key: IdempotencyKey


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, as far as this entry host can tell.

    :param retry_after: seconds after which the caller may retry, or 0.
    :param refreshed: refused because a newer document is in force, so the call has to
        be resolved again.
    """

    outcome: Outcome
    code: ErrorCode | None = None
    reason: str = ""
    retry_after: float = 0.0
    refreshed: bool = False


#: The newer document makes the request non-idempotent. It then needs a claim before the
#: first attempt: further attempts without one could run it twice.
_BECAME_NON_IDEMPOTENT = AttemptResult(
    Outcome.NOT_RUN,
    ErrorCode.STALE_REVISION,
    "a newer service document makes this request non-idempotent",
)


class Dispatcher:
    """Places requests, sends their attempts to agents and relays the answers."""

    def __init__(
        self,
        pool: AgentPool,
        catalog: Catalog,
        clock: Clock,
        placer: Placer,
        blocks: MessageBlocks,
    ) -> None:
        self._blocks = blocks
        self._pool = pool
        self._catalog = catalog
        self._clock = clock
        self._placer = placer
        self._budget = RetryBudget()

    def find_agent(self, target: TargetId) -> AgentLink | None:
        """Return the link to a target's agent, or ``None``."""
        return self._pool.find(target)

    def accepts_attempts(self, target: TargetId) -> bool:
        """Whether a target currently accepts attempts."""
        return self._placer.accepts_attempts(target)

    async def choose(self, job: Job, avoid: frozenset[TargetId]) -> Placed | None:
        """Return the placement of the next attempt, or ``None`` if no target is usable.

        While targets are known but none is reachable, waits for links for up to
        `REACH_TIMEOUT_SECONDS`.

        :param avoid: targets that must not be chosen.
        """
        placed = self._placer.place(job.resolved, avoid)
        if placed is None and self._placer.has_unreachable_target(job.resolved, avoid):
            self._trace(job, "place", "waits", "no target is reachable")
            remaining = job.deadline - self._clock.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(REACH_TIMEOUT_SECONDS, remaining)):
                    while placed is None:
                        await self._placer.wait_for_change()
                        placed = self._placer.place(job.resolved, avoid)
        if placed is None:
            self._trace(job, "place", "none", "no target is available")
        else:
            self._trace(job, "place", placed.target, placed.reason)
        return placed

    async def choose_again(self, job: Job, avoid: frozenset[TargetId]) -> Placed | None:
        """Like `choose`, but return a target to avoid when there is no other."""
        placed = await self.choose(job, avoid)
        if placed is None and avoid:
            placed = await self.choose(job, frozenset())
        return placed

    def admit(self, job: Job, placed: Placed | None) -> IbisheadError | None:
        """Decide admission by the load at the chosen target, unless already admitted.

        A call with a message that crashes engines is never admitted.

        :returns: the refusal, to be raised once the request is known not to have run,
            or ``None`` when the request is admitted.
        """
        if (blocked := self._find_block(job)) is not None:
            return blocked
        if job.admitted:
            return None
        try:
            admitted = self._placer.admit(job.resolved, placed)
        except IbisheadError as error:
            self._trace(job, "admit", error.code.value, error.message)
            return error
        job.admitted = True
        wait = f"expected wait {admitted.expected_wait:.3f} s"
        self._trace(job, "admit", "admitted", wait)
        return None

    def _find_block(self, job: Job) -> IbisheadError | None:
        error = self._blocks.find_error(job.keys, job.may_have_run)
        if error is not None:
            self._trace(job, "admit", error.code.value, error.message)
        return error

    async def run(self, job: Job) -> None:
        """Answer an idempotent request, with retries as far as they are permitted.

        :raises IbisheadError: the error for the caller when no attempt has succeeded.
        """
        self._budget.record_attempt()
        avoid: frozenset[TargetId] = frozenset()
        refreshes = 0
        placed = await self.choose(job, avoid)
        if (refusal := self.admit(job, placed)) is not None:
            raise refusal
        while True:
            agent = None if placed is None else self._pool.find(placed.target)
            if agent is None:
                raise make_no_target_error(job.may_have_run)
            job.attempts += 1
            result = await self.attempt(job, agent)
            if result.outcome is Outcome.COMPLETED:
                return
            job.may_have_run |= result.outcome is Outcome.UNKNOWN
            if result.refreshed and refreshes < MAX_REFRESHES:
                refreshes += 1
                self.refresh(job)
                if not job.resolved.request_class.idempotent:
                    raise make_attempt_error(
                        _BECAME_NON_IDEMPOTENT,
                        DEFAULT_RETRY_AFTER_SECONDS,
                        job.may_have_run,
                    )
                placed = await self.choose(job, avoid)
                continue
            if (refusal := self._find_block(job)) is not None:
                raise refusal
            decision = self._decide_retry(job, result)
            self._trace(job, "retry", type(decision).__name__, decision.reason)
            match decision:
                case RetryElsewhere():
                    avoid |= {agent.record.target}
                    job.relay.reset()
                    placed = await self.choose_again(job, avoid)
                case GiveUp(retry_after=retry_after):
                    raise make_attempt_error(result, retry_after, job.may_have_run)

    def refresh(self, job: Job) -> None:
        """Resolve the call again by the newest document.

        :raises IbisheadError: that document does not allow the call.
        """
        job.resolved = resolve(job.resolved.call, self._catalog)
        job.relay.resolved = job.resolved
        revision = job.resolved.held.record.revision
        self._trace(job, "resolve", "again", f"by revision {revision}")

    async def attempt(
        self,
        job: Job,
        agent: AgentLink,
        grant: Grant | None = None,
    ) -> AttemptResult:
        """Dispatch one attempt and relay its answer.

        :param grant: of the claim under which a non-idempotent request runs.
        """
        dispatch = self._make_dispatch(job, agent)
        if grant is not None:
            # The generation serves as attempt number, so that another entry host that
            # reads the claim knows which attempt to follow
            dispatch = msgspec.structs.replace(
                dispatch,
                attempt=grant.generation,
                generation=grant.generation,
                key=grant.key,
            )
        adapter = adapter_digest(dispatch.adapter, dispatch.version)
        self._placer.record_dispatch(agent.record.target, adapter)
        try:
            channel = agent.dispatch(dispatch)
        except LinkLost as error:
            return AttemptResult(Outcome.NOT_RUN, ErrorCode.LINK_LOST, error.message)
        return await self.follow(job, channel)

    async def follow(self, job: Job, channel: AttemptChannel) -> AttemptResult:
        """Relay an attempt's frames until it ends, is lost or exceeds the deadline."""
        if job.keys is not None:
            self._blocks.record_sent(job.keys)
            self._blocks.begin_wait(channel, job.keys)
        try:
            return await self._follow(job, channel)
        except TimeoutError:
            channel.cancel()
            self._trace(
                job, "relay", "deadline", "no answer started before the deadline"
            )
            return await self._await_cancel_reply(channel)
        except (LinkLost, asyncio.CancelledError):
            channel.cancel()
            raise
        finally:
            self._blocks.end_wait(channel)
            channel.close()

    async def _await_cancel_reply(self, channel: AttemptChannel) -> AttemptResult:
        # An attempt that is still in the agent's queue has provably not run. Only the
        # agent knows this, and it answers a cancellation at once.
        outcome = Outcome.UNKNOWN
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CANCEL_REPLY_TIMEOUT_SECONDS):
                while not isinstance(event := await channel.next_event(), AnswerEnd):
                    if isinstance(event, NotRun):
                        outcome = Outcome.NOT_RUN
                        break
        return AttemptResult(
            outcome, ErrorCode.DEADLINE_EXCEEDED, "the deadline was exceeded"
        )

    async def _follow(self, job: Job, channel: AttemptChannel) -> AttemptResult:
        begun_at: float | None = None
        async with asyncio.timeout(job.deadline - self._clock.monotonic()) as timeout:
            while True:
                event = await channel.next_event()
                match event:
                    case NotRun():
                        return self._handle_refusal(job, event)
                    case AttemptLost(reason=reason):
                        self._trace(job, "relay", "lost", reason)
                        return AttemptResult(
                            Outcome.UNKNOWN, ErrorCode.LINK_LOST, reason
                        )
                    case AnswerHead():
                        # An answer that has started is completed despite the deadline
                        timeout.reschedule(None)
                        begun_at = self._clock.monotonic()
                        self._blocks.end_wait(channel)
                        self._trace(job, "run", event.target, _format_waits(event))
                await job.relay.handle_frame(event)
                channel.acknowledge(event)
                if isinstance(event, AnswerEnd):
                    if job.keys is not None and begun_at is not None:
                        complete = event.outcome is Outcome.COMPLETED
                        self._blocks.record_answer(job.keys, begun_at, complete)
                    self._trace(job, "relay", event.outcome.value, event.reason)
                    return AttemptResult(event.outcome, event.code, event.reason)

    def _handle_refusal(self, job: Job, refusal: NotRun) -> AttemptResult:
        self._trace(job, "gate", refusal.code.value, refusal.reason)
        refreshed = False
        if refusal.document is not None:
            refreshed = self._catalog.store_document(refusal.document)
        return AttemptResult(
            Outcome.NOT_RUN,
            refusal.code,
            refusal.reason,
            refusal.retry_after,
            refreshed or refusal.code is ErrorCode.STALE_REVISION,
        )

    def _decide_retry(self, job: Job, result: AttemptResult) -> RetryElsewhere | GiveUp:
        request_class = job.resolved.request_class
        undelivered = (
            result.outcome is Outcome.NOT_RUN and result.code in _UNDELIVERED_CODES
        )
        job.undelivered += undelivered
        end = AttemptEnd(
            result.outcome,
            job.attempts - job.undelivered,
            request_class.idempotent,
            job.deadline - self._clock.monotonic(),
            job.relay.delivered,
            not_received=undelivered,
            lost=job.undelivered,
        )
        retry_after = result.retry_after or DEFAULT_RETRY_AFTER_SECONDS
        return decide_retry(end, self._budget, retry_after)

    def _make_dispatch(self, job: Job, agent: AgentLink) -> Dispatch:
        resolved = job.resolved
        call = resolved.call
        now = self._clock.monotonic()
        return Dispatch(
            request=call.request,
            attempt=job.attempts,
            team=resolved.team,
            service=call.service,
            adapter=call.adapter,
            version=resolved.version,
            request_class=resolved.request_class.name,
            priority=resolved.request_class.priority,
            deadline=max(job.deadline - now, 0.0),
            idempotent=resolved.request_class.idempotent,
            revision=resolved.held.record.revision,
            incarnation=agent.record.incarnation,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=resolved.body,
            source=resolved.source,
            confirmed=self._catalog.is_current(now),
            share=resolved.share,
            stall_weight=resolved.document.stall_weight,
            keys=job.keys,
        )

    def _trace(self, job: Job, stage: str, decision: str, reason: str) -> None:
        job.trace.add(self._clock.monotonic(), stage, decision, reason)


def make_no_target_error(may_have_run: bool = False) -> IbisheadError:
    """Return the error for a request for which no target is available.

    :param may_have_run: an earlier attempt may have run.
    """
    result = AttemptResult(
        Outcome.NOT_RUN, ErrorCode.NO_TARGET, "no target of the service is available"
    )
    return make_attempt_error(result, DEFAULT_RETRY_AFTER_SECONDS, may_have_run)


def make_attempt_error(
    result: AttemptResult, retry_after: float, may_have_run: bool = False
) -> IbisheadError:
    """Return the caller's error for an attempt without an answer.

    :param retry_after: seconds.
    :param may_have_run: an earlier attempt may have run, so that "not run" would be
        wrong even if the last attempt provably did not run.
    """
    wait = timedelta(seconds=retry_after)
    if may_have_run or result.outcome is Outcome.UNKNOWN:
        return OutcomeUnknown(
            f"the outcome is unknown: {result.reason}",
            "retry an idempotent request; retry any other only with the same "
            "Idempotency-Key, which prevents a second run",
            code=result.code,
            retry_after=wait,
        )
    kind = Unavailable if result.code is ErrorCode.NO_TARGET else Refused
    return kind(
        f"the request was not run: {result.reason}",
        "retry after the given time; operators: see `ibishead targets`",
        code=result.code,
        retry_after=wait,
    )


def _format_waits(head: AnswerHead) -> str:
    return f"queued {head.queued:.3f} s, waited {head.stall:.3f} s for the adapter"
