"""Futures of coroutines that wait for a log entry, a log index or a peer's answer."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ibishead.errors import ErrorCode, IbisheadError, Unavailable
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = [
    "FIRST_NUMBER_BOUND",
    "PendingQuestions",
    "Waiters",
    "make_no_quorum_error",
    "make_unknown_outcome_error",
]

#: Upper bound of the number that a replica's questions start from.
FIRST_NUMBER_BOUND = 2**48


def make_no_quorum_error(seconds: float) -> Unavailable:
    """Return the error for an operation that needs a quorum when there is none.

    :param seconds: time in which an election will probably have ended.
    """
    return Unavailable(
        "no leader with a quorum is known",
        "retry after the time given, or use another control host",
        code=ErrorCode.NO_QUORUM,
        retry_after=timedelta(seconds=seconds),
    )


def make_unknown_outcome_error() -> Unavailable:
    """Return the error for a proposal whose outcome is unknown."""
    return Unavailable(
        "it is unknown whether the change was accepted",
        "send the same change again; it is applied once",
        code=ErrorCode.OUTCOME_UNKNOWN,
    )


@dataclass
class _Proposal:
    """A proposal that waits for its entry, identified by index and term."""

    term: Term
    deadline: float
    future: asyncio.Future[bytes]


class Waiters:
    """Proposals and reads that wait for this replica's state machine."""

    def __init__(self) -> None:
        self._applied = 0
        self._proposals: dict[int, _Proposal] = {}
        self._index_waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._number = 0

    def add_proposal(
        self, index: LogIndex, term: Term, deadline: float
    ) -> asyncio.Future[bytes]:
        """Return the future result of the entry at an index and of a term.

        :param deadline: monotonic seconds at which the future fails.
        """
        self._fail_at(index)
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._proposals[index] = _Proposal(term, deadline, future)
        return future

    async def wait_applied(self, index: LogIndex) -> None:
        """Wait until all entries up to an index are applied."""
        if index <= self._applied:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._number += 1
        heapq.heappush(self._index_waiters, (index, self._number, future))
        await future

    def complete_proposal(self, index: LogIndex, term: Term, result: bytes) -> None:
        """Complete the proposal at an index with the result of its entry.

        It fails if the entry is of another term.
        """
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == term:
            proposal.future.set_result(result)
        else:
            proposal.future.set_exception(make_unknown_outcome_error())

    def advance_applied(self, index: LogIndex) -> None:
        """Wake the coroutines that wait for an index up to this one."""
        self._applied = max(self._applied, index)
        while self._index_waiters and self._index_waiters[0][0] <= index:
            future = heapq.heappop(self._index_waiters)[2]
            if not future.done():
                future.set_result(None)

    def handle_restore(self, index: LogIndex) -> None:
        """Wake waiting coroutines after a snapshot was restored at an index.

        The results of proposals that the snapshot includes are unknown.
        """
        for included in [known for known in self._proposals if known <= index]:
            self._fail_at(included)
        self.advance_applied(index)

    def expire(self, now: float) -> None:
        """Fail the proposals whose deadline has passed, as of unknown outcome."""
        # One scan per tick costs less than a timer for each proposal
        expired = [index for index, p in self._proposals.items() if p.deadline <= now]
        for index in expired:
            self._fail_at(index)

    def fail(self) -> None:
        """Fail all proposals, as of unknown outcome."""
        for index in list(self._proposals):
            self._fail_at(index)

    def _fail_at(self, index: int) -> None:
        proposal = self._proposals.pop(index, None)
        if proposal is not None and not proposal.future.done():
            proposal.future.set_exception(make_unknown_outcome_error())


@dataclass
class _Question:
    """A question that waits for another replica's answer."""

    replica: ReplicaId
    outlives_leadership: bool
    future: asyncio.Future[Any]


class PendingQuestions:
    """Questions to other replicas that await an answer, by number.

    :param first: number to count from. Answers arrive over separate links, so that
        those to an earlier process of this replica may still arrive. With a random
        number below `FIRST_NUMBER_BOUND` at each start, they match no question here.
    """

    def __init__(self, first: int) -> None:
        self._number = first
        self._questions: dict[int, _Question] = {}

    def open(
        self, replica: ReplicaId, *, outlives_leadership: bool = False
    ) -> tuple[int, asyncio.Future[Any]]:
        """Return the number of a new question and its future answer.

        :param outlives_leadership: expect the answer even if the replica is no longer
            the leader.
        """
        self._number += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._questions[self._number] = _Question(replica, outlives_leadership, future)
        return self._number, future

    def settle(self, number: int, answer: Any) -> None:
        """Complete a question with an answer, or fail it with an `IbisheadError`."""
        question = self._questions.pop(number, None)
        if question is None or question.future.done():
            return
        if isinstance(answer, IbisheadError):
            question.future.set_exception(answer)
        else:
            question.future.set_result(answer)

    def close(self, number: int) -> None:
        """Remove a question."""
        self._questions.pop(number, None)

    def fail(self) -> None:
        """Fail all questions, as of unknown outcome."""
        for number in list(self._questions):
            self.settle(number, make_unknown_outcome_error())

    def fail_lost(
        self, leader: ReplicaId | None, is_linked: Callable[[ReplicaId], bool]
    ) -> None:
        """Fail the questions that won't be answered, as of unknown outcome.

        These are the ones to a replica that is no longer the leader, unless they
        outlive its leadership, or to one without a link.

        :param leader: the current leader.
        :param is_linked: returns whether there is an open link to a replica.
        """
        for number, question in list(self._questions.items()):
            is_deposed = question.replica != leader and not question.outlives_leadership
            if is_deposed or not is_linked(question.replica):
                self.settle(number, make_unknown_outcome_error())
