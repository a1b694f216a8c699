"""Links from entry hosts: receives dispatches, sends frames and load reports."""

import asyncio
from collections.abc import Callable

from ibishead.agent.attempts import Attempt
from ibishead.agent.gate import Admitted, AttemptKey, Duplicate, GateState, Rejected
from ibishead.agent.scheduler import Scheduler
from ibishead.agent.slots import AdapterKey
from ibishead.clock import Clock
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, Sequence
from ibishead.links import Link
from ibishead.messages import (
    Acknowledge,
    AnswerEnd,
    Cancel,
    Dispatch,
    Message,
    NotRun,
    Outcome,
    Resume,
)
from ibishead.routing.messages import EngineEnded

__all__ = ["Reception"]

#: Seconds between load reports while the load changes.
REPORT_INTERVAL_SECONDS = 0.05

#: Seconds between load reports while the load does not change.
IDLE_REPORT_INTERVAL_SECONDS = 0.5


class Reception:
    """Serves the links of all entry hosts.

    :param gate_state: returns the gate's state, called for each dispatch.
    :param is_own: whether an incarnation belongs or belonged to this process.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        gate_state: Callable[[], GateState],
        is_own: Callable[[Incarnation], bool],
        clock: Clock,
    ) -> None:
        self._scheduler = scheduler
        self._gate = scheduler.gate
        self._gate_state = gate_state
        self._is_own = is_own
        self._clock = clock
        self._links: set[Link] = set()
        scheduler.on_crash = self._report_crash

    async def serve(self, link: Link) -> None:
        """Serve one link until it closes; its attempts continue to run without it."""
        self._links.add(link)
        link.send(self._scheduler.report())
        for report in self._scheduler.crashes.list_recent(self._clock.monotonic()):
            link.send(report)
        try:
            async for message in link.receive():
                self._handle(message, link)
        finally:
            self._links.discard(link)
            self._scheduler.attempts.remove_watcher(link)

    async def report_load(self) -> None:
        """Send load reports to all links, at intervals and soon after a change."""
        changed = self._scheduler.changed
        while True:
            try:
                async with asyncio.timeout(IDLE_REPORT_INTERVAL_SECONDS):
                    await changed.wait()
            except TimeoutError:
                pass
            changed.clear()
            report = self._scheduler.report()
            for link in list(self._links):
                link.send(report)
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _report_crash(self, report: EngineEnded) -> None:
        for link in self._links:
            link.send(report)

    def _handle(self, message: Message, link: Link) -> None:
        match message:
            case Dispatch():
                self._dispatch(message, link)
            case Resume():
                self._resume(message, link)
            case Acknowledge(request, attempt, next_sequence):
                found = self._scheduler.attempts.find(AttemptKey(request, attempt))
                if found is not None:
                    found.acknowledge(next_sequence)
            case Cancel(request, attempt):
                found = self._scheduler.attempts.find(AttemptKey(request, attempt))
                if found is not None:
                    self._scheduler.cancel(found)

    def _dispatch(self, dispatch: Dispatch, link: Link) -> None:
        match self._gate.check(dispatch, self._gate_state()):
            case Admitted():
                attempt = Attempt(
                    dispatch, self._clock.monotonic(), _find_key(dispatch)
                )
                attempt.watchers.add(link)
                self._scheduler.submit(attempt)
            case Duplicate():
                found = self._scheduler.attempts.find(
                    AttemptKey(dispatch.request, dispatch.attempt)
                )
                if found is not None and link not in found.watchers:
                    found.add_watcher(link, Sequence(0))
            case Rejected() as rejected:
                link.send(
                    NotRun(
                        dispatch.request,
                        dispatch.attempt,
                        rejected.code,
                        rejected.reason,
                        rejected.retry_after,
                        rejected.document,
                    )
                )

    def _resume(self, resume: Resume, link: Link) -> None:
        key = AttemptKey(resume.request, resume.attempt)
        found = self._scheduler.attempts.find(key)
        if found is not None:
            found.add_watcher(link, resume.next_sequence)
        elif self._is_own(resume.incarnation) and self._gate.add_tombstone(key):
            # The attempt has not arrived, and the tombstone keeps it from ever running
            # here. This proof allows the entry host to run it elsewhere.
            link.send(
                NotRun(
                    resume.request,
                    resume.attempt,
                    ErrorCode.NEVER_RECEIVED,
                    "the dispatch was not received and will be refused if it arrives",
                )
            )
        else:
            # An earlier agent may have run it, or its frames have been discarded
            link.send(
                AnswerEnd(
                    resume.request,
                    resume.attempt,
                    resume.next_sequence,
                    Outcome.UNKNOWN,
                    ErrorCode.OUTCOME_UNKNOWN,
                    "this agent has no record of how the attempt ended",
                )
            )


def _find_key(dispatch: Dispatch) -> AdapterKey | None:
    if not dispatch.adapter:
        return None
    return AdapterKey(dispatch.adapter, dispatch.version)
