"""Attempts of one request: place, dispatch, follow, and try again where allowed."""

import asyncio
import contextlib
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
from ibishead.entry.placing import Placer
from ibishead.entry.relay import Relay
from ibishead.entry.resolution import Resolved, resolve
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
from ibishead.session import SILENCE_LIMIT

__all__ = ["Dispatcher", "Ended", "Grant", "Job"]

#: Seconds after which a caller may come back when nothing better is known.
DEFAULT_RETRY_AFTER = 1.0

#: Dispatches refused only because this host's document was old. The agent hands
#: back the newer one, so a second refusal of this kind is rare.
MAX_REFRESHES = 3

#: Refusals of attempts that never came into an agent's hands.
_UNSEEN = (ErrorCode.NEVER_RECEIVED, ErrorCode.LINK_LOST)

#: Seconds that a request waits for a target to be reached again. All links of a host
#: may go silent at once while every target is well. From the suspicion on they have to
#: be given up and dialled anew.
REACH_PATIENCE = SILENCE_LIMIT

#: Seconds that an agent has to say whether a cancelled attempt had begun.
VERDICT_PATIENCE = 0.5


@dataclass
class Job:
    """One request on its way.

    :param deadline: monotonic seconds.
    :param unseen: those of its attempts that never came into an agent's hands.
    :param admitted: it was taken in, and further attempts aren't refused for load.
    :param doubtful: an attempt may have run, whatever became of later ones.
    """

    resolved: Resolved
    relay: Relay
    trace: Trace
    deadline: float
    attempts: int = 0
    unseen: int = 0
    admitted: bool = False
    doubtful: bool = False


@dataclass(frozen=True)
class Grant:
    """The right to run a non-idempotent request once."""

    generation: Generation
    key: IdempotencyKey


@dataclass(frozen=True)
class Ended:
    """How one attempt ended, as far as this entry host may say."""

    outcome: Outcome
    code: ErrorCode | None = None
    reason: str = ""
    retry_after: float = 0.0
    refreshed: bool = False


#: The newer document says that the request may run only once, which takes a claim
#: from the start; attempts that go on without one could run it twice.
_PROTECTED_NOW = Ended(
    Outcome.NOT_RUN,
    ErrorCode.STALE_REVISION,
    "by a change of its document it may run only once from now on",
)


class Dispatcher:
    """Sends attempts to agents."""

    def __init__(
        self,
        pool: AgentPool,
        catalog: Catalog,
        clock: Clock,
        placer: Placer,
    ) -> None:
        self._pool = pool
        self._catalog = catalog
        self._clock = clock
        self._placer = placer
        self._budget = RetryBudget()

    def find_agent(self, target: TargetId) -> AgentLink | None:
        """Return the agent of a target, or none."""
        return self._pool.find(target)

    def takes_work(self, target: TargetId) -> bool:
        """Whether a target may be sent something now."""
        return self._placer.takes_work(target)

    async def choose(self, job: Job, avoid: frozenset[TargetId]) -> Placed | None:
        """Return where the next attempt goes, or none when nothing can take it.

        While targets are known but none is in reach, wait a moment for the links.
        """
        placed = self._placer.place(job.resolved, avoid)
        if placed is None and self._placer.expects_targets(job.resolved, avoid):
            self._note(job, "place", "waits", "no target is in reach")
            left = job.deadline - self._clock.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(REACH_PATIENCE, left)):
                    while placed is None:
                        await self._placer.wait_for_change()
                        placed = self._placer.place(job.resolved, avoid)
        if placed is None:
            self._note(job, "place", "none", "no target can take it")
        else:
            self._note(job, "place", placed.target, placed.reason)
        return placed

    async def choose_again(self, job: Job, avoid: frozenset[TargetId]) -> Placed | None:
        """Return another target, or one that was tried when there is no other."""
        placed = await self.choose(job, avoid)
        if placed is None and avoid:
            placed = await self.choose(job, frozenset())
        return placed

    def admit(self, job: Job, placed: Placed | None) -> IbisheadError | None:
        """Take the request in, by the load at the target chosen; once is enough.

        :returns: why it is refused, for who then hasn't run it; none when it is taken.
        """
        if job.admitted:
            return None
        try:
            admitted = self._placer.admit(job.resolved, placed)
        except IbisheadError as error:
            self._note(job, "admit", error.code.value, error.message)
            return error
        job.admitted = True
        wait = f"expected wait {admitted.expected_wait:.3f} s"
        self._note(job, "admit", "admitted", wait)
        return None

    async def run(self, job: Job) -> None:
        """Answer an idempotent request, by as many attempts as it takes and may.

        :raises IbisheadError: the final refusal, for the caller.
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
                raise describe_no_target(job.doubtful)
            job.attempts += 1
            ended = await self.attempt(job, agent)
            if ended.outcome is Outcome.COMPLETED:
                return
            job.doubtful |= ended.outcome is Outcome.UNKNOWN
            if ended.refreshed and refreshes < MAX_REFRESHES:
                refreshes += 1
                self.refresh(job)
                if not job.resolved.request_class.idempotent:
                    raise describe_end(
                        _PROTECTED_NOW, DEFAULT_RETRY_AFTER, job.doubtful
                    )
                placed = await self.choose(job, avoid)
                continue
            verdict = self._decide(job, ended)
            self._note(job, "retry", type(verdict).__name__, verdict.reason)
            match verdict:
                case RetryElsewhere():
                    avoid |= {agent.record.target}
                    job.relay.reset()
                    placed = await self.choose_again(job, avoid)
                case GiveUp(retry_after=retry_after):
                    raise describe_end(ended, retry_after, job.doubtful)

    def refresh(self, job: Job) -> None:
        """Compare the call with the newer document.

        :raises IbisheadError: by that document it can't be served.
        """
        job.resolved = resolve(job.resolved.call, self._catalog)
        job.relay.resolved = job.resolved
        revision = job.resolved.held.record.revision
        self._note(job, "resolve", "again", f"by revision {revision}")

    async def attempt(
        self,
        job: Job,
        agent: AgentLink,
        grant: Grant | None = None,
    ) -> Ended:
        """Make one attempt and follow it to its end.

        :param grant: the claim that a non-idempotent request runs under.
        """
        dispatch = self._make_dispatch(job, agent)
        if grant is not None:
            # The generation numbers the attempt, so that another entry host that
            # reads the claim knows which attempt to ask for
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
            return Ended(Outcome.NOT_RUN, ErrorCode.LINK_LOST, error.message)
        return await self.follow(job, channel)

    async def follow(self, job: Job, channel: AttemptChannel) -> Ended:
        """Relay an attempt's frames until its end, its deadline or its loss."""
        try:
            return await self._follow(job, channel)
        except TimeoutError:
            channel.cancel()
            self._note(job, "relay", "deadline", "no answer began in time")
            return await self._ask_verdict(channel)
        except (LinkLost, asyncio.CancelledError):
            channel.cancel()
            raise
        finally:
            channel.close()

    async def _ask_verdict(self, channel: AttemptChannel) -> Ended:
        # What still waits in the agent's queue can be proved not to have run; only
        # the agent knows, and it answers a cancel at once.
        outcome = Outcome.UNKNOWN
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(VERDICT_PATIENCE):
                while not isinstance(event := await channel.next_event(), AnswerEnd):
                    if isinstance(event, NotRun):
                        outcome = Outcome.NOT_RUN
                        break
        return Ended(outcome, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed")

    async def _follow(self, job: Job, channel: AttemptChannel) -> Ended:
        async with asyncio.timeout(job.deadline - self._clock.monotonic()) as limit:
            while True:
                event = await channel.next_event()
                match event:
                    case NotRun():
                        return self._take_refusal(job, event)
                    case AttemptLost(reason=reason):
                        self._note(job, "relay", "lost", reason)
                        return Ended(Outcome.UNKNOWN, ErrorCode.LINK_LOST, reason)
                    case AnswerHead():
                        # An answer that has begun is worth finishing
                        limit.reschedule(None)
                        self._note(job, "run", event.target, _describe_wait(event))
                await job.relay.take(event)
                channel.acknowledge(event)
                if isinstance(event, AnswerEnd):
                    self._note(job, "relay", event.outcome.value, event.reason)
                    return Ended(event.outcome, event.code, event.reason)

    def _take_refusal(self, job: Job, refusal: NotRun) -> Ended:
        self._note(job, "gate", refusal.code.value, refusal.reason)
        refreshed = False
        if refusal.document is not None:
            refreshed = self._catalog.store_document(refusal.document)
        return Ended(
            Outcome.NOT_RUN,
            refusal.code,
            refusal.reason,
            refusal.retry_after,
            refreshed or refusal.code is ErrorCode.STALE_REVISION,
        )

    def _decide(self, job: Job, ended: Ended) -> RetryElsewhere | GiveUp:
        request_class = job.resolved.request_class
        unseen = ended.outcome is Outcome.NOT_RUN and ended.code in _UNSEEN
        job.unseen += unseen
        end = AttemptEnd(
            ended.outcome,
            job.attempts - job.unseen,
            request_class.idempotent,
            job.deadline - self._clock.monotonic(),
            job.relay.delivered,
            unseen=unseen,
            lost=job.unseen,
        )
        retry_after = ended.retry_after or DEFAULT_RETRY_AFTER
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
        )

    def _note(self, job: Job, stage: str, decision: str, reason: str) -> None:
        job.trace.add(self._clock.monotonic(), stage, decision, reason)


def describe_no_target(doubtful: bool = False) -> IbisheadError:
    """Return the refusal of a request that no target can take.

    :param doubtful: an earlier attempt may have run.
    """
    ended = Ended(
        Outcome.NOT_RUN, ErrorCode.NO_TARGET, "no target of the service can take it"
    )
    return describe_end(ended, DEFAULT_RETRY_AFTER, doubtful)


def describe_end(
    ended: Ended, retry_after: float, doubtful: bool = False
) -> IbisheadError:
    """Return what a caller is told of an attempt that brought no answer.

    :param retry_after: seconds.
    :param doubtful: an earlier attempt may have run; then "not run" would be untrue,
        whatever is proved of the last one.
    """
    wait = timedelta(seconds=retry_after)
    if doubtful or ended.outcome is Outcome.UNKNOWN:
        return OutcomeUnknown(
            f"the outcome isn't known: {ended.reason}",
            "an idempotent request may be sent again; any other only with the same "
            "Idempotency-Key, which never runs it twice",
            code=ended.code,
            retry_after=wait,
        )
    kind = Unavailable if ended.code is ErrorCode.NO_TARGET else Refused
    return kind(
        f"the request was not run: {ended.reason}",
        "send it again after the given time; operators: see `ibishead targets`",
        code=ended.code,
        retry_after=wait,
    )


def _describe_wait(head: AnswerHead) -> str:
    return f"queued {head.queued:.3f} s, waited {head.stall:.3f} s for the adapter"
