"""Coroutines that wait for the log: for an entry, for an index, for a peer's answer."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ibishead.errors import ErrorCode, IbisheadError, Unavailable
from ibishead.ids import LogIndex, ReplicaId, Term

__all__ = ["NUMBERS", "Answers", "Waiters", "describe_no_quorum", "describe_unknown"]

#: Numbers that questions may begin at.
NUMBERS = 2**48


def describe_no_quorum(seconds: float) -> Unavailable:
    """Return the refusal of what needs a quorum.

    :param seconds: when an election will probably have ended.
    """
    return Unavailable(
        "no leader with a quorum is known",
        "ask again after the time given, or ask another control host",
        code=ErrorCode.NO_QUORUM,
        retry_after=timedelta(seconds=seconds),
    )


def describe_unknown() -> Unavailable:
    """Return the error of a proposal of which nothing is known."""
    return Unavailable(
        "the change may or may not be accepted",
        "send the same change again; it is applied once",
        code=ErrorCode.OUTCOME_UNKNOWN,
    )


@dataclass
class _Proposal:
    """One that waits for the entry of its term."""

    term: Term
    due: float
    future: asyncio.Future[bytes]


class Waiters:
    """Proposals and reads that wait for this replica's own state machine."""

    def __init__(self) -> None:
        self._applied = 0
        self._proposals: dict[int, _Proposal] = {}
        self._reaching: list[tuple[int, int, asyncio.Future[None]]] = []
        self._number = 0

    def add_proposal(
        self, index: LogIndex, term: Term, due: float
    ) -> asyncio.Future[bytes]:
        """Return the future result of the entry at an index of a term.

        :param due: monotonic seconds at which it fails.
        """
        self._fail_at(index)
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._proposals[index] = _Proposal(term, due, future)
        return future

    async def reach(self, index: LogIndex) -> None:
        """Return once all up to an index is applied."""
        if index <= self._applied:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._number += 1
        heapq.heappush(self._reaching, (index, self._number, future))
        await future

    def note_result(self, index: LogIndex, term: Term, result: bytes) -> None:
        """Give a result to the proposal that waits for it."""
        waiting = self._proposals.pop(index, None)
        if waiting is None or waiting.future.done():
            return
        if waiting.term == term:
            waiting.future.set_result(result)
        else:
            waiting.future.set_exception(describe_unknown())

    def note_applied(self, index: LogIndex) -> None:
        """Wake what waits for an index."""
        self._applied = max(self._applied, index)
        while self._reaching and self._reaching[0][0] <= index:
            future = heapq.heappop(self._reaching)[2]
            if not future.done():
                future.set_result(None)

    def note_restored(self, index: LogIndex) -> None:
        """Wake what waits for an index, where a snapshot has come in between."""
        for covered in [found for found in self._proposals if found <= index]:
            self._fail_at(covered)
        self.note_applied(index)

    def expire(self, now: float) -> None:
        """Tell proposals that are due that nothing is known of them."""
        # one sweep a tick costs less than a timer for each proposal
        due = [index for index, p in self._proposals.items() if p.due <= now]
        for index in due:
            self._fail_at(index)

    def fail(self) -> None:
        """Tell all proposals that nothing is known of them."""
        for index in list(self._proposals):
            self._fail_at(index)

    def _fail_at(self, index: int) -> None:
        waiting = self._proposals.pop(index, None)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_exception(describe_unknown())


@dataclass
class _Question:
    """One that waits for another replica's answer."""

    asked: ReplicaId
    outlives_lead: bool
    future: asyncio.Future[Any]


class Answers:
    """Questions to other replicas, by number.

    :param first: number to count from. Answers come over links of their own, so those
        to an earlier life of this replica may come now; drawn anew at each start from
        `NUMBERS`, their numbers mean nothing here.
    """

    def __init__(self, first: int) -> None:
        self._number = first
        self._waiting: dict[int, _Question] = {}

    def open(
        self, replica: ReplicaId, *, outlives_lead: bool = False
    ) -> tuple[int, asyncio.Future[Any]]:
        """Return the number of a new question and its future answer.

        :param outlives_lead: the replica is to answer even if it leads no more.
        """
        self._number += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[self._number] = _Question(replica, outlives_lead, future)
        return self._number, future

    def settle(self, number: int, answer: Any) -> None:
        """Give an answer, or an error, to whoever waits for it."""
        found = self._waiting.pop(number, None)
        if found is None or found.future.done():
            return
        if isinstance(answer, IbisheadError):
            found.future.set_exception(answer)
        else:
            found.future.set_result(answer)

    def close(self, number: int) -> None:
        """Forget a question."""
        self._waiting.pop(number, None)

    def fail(self) -> None:
        """Tell all questions that nothing is known of them."""
        for number in list(self._waiting):
            self.settle(number, describe_unknown())

    def fail_lost(
        self, leader: ReplicaId | None, is_reached: Callable[[ReplicaId], bool]
    ) -> None:
        """Tell so the questions that nobody is going to answer.

        :param leader: who leads now.
        :param is_reached: whether a link leads to a replica.
        """
        for number, question in list(self._waiting.items()):
            deposed = question.asked != leader and not question.outlives_lead
            if deposed or not is_reached(question.asked):
                self.settle(number, describe_unknown())
