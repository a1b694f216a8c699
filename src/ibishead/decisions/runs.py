"""Requests that run at an engine, and those that had just begun when it ended."""

from collections.abc import Hashable
from dataclasses import dataclass

from ibishead.decisions.crashes import SETTLED_SECONDS
from ibishead.routing.prompts import PromptKeys

__all__ = ["Run", "RunTable"]

#: Seconds for which a run whose connection was lost is kept. The end of an engine is
#: noticed by the gateways first.
LOST_SECONDS = 1.0


@dataclass(eq=False)
class Run:
    """One request at the engine; points in time are monotonic seconds.

    :param keys: the parts of its prompt.
    :param sent_at: when it was sent.
    :param begun_at: when its answer began, ``None`` before.
    :param lost_at: when it failed, ``None`` while it runs.
    """

    keys: PromptKeys
    sent_at: float
    begun_at: float | None = None
    lost_at: float | None = None

    def is_settled(self, now: float) -> bool:
        """Return whether the run had written for long enough not to be suspected."""
        end = now if self.lost_at is None else self.lost_at
        return self.begun_at is not None and end - self.begun_at >= SETTLED_SECONDS


class RunTable:
    """The runs at one engine, by their owner and its number for each.

    An owner is whatever tells apart those that give the numbers, such as a link.
    """

    def __init__(self) -> None:
        self._running: dict[tuple[Hashable, int], Run] = {}
        self._lost: list[Run] = []

    def __len__(self) -> int:
        return len(self._running)

    def begin(
        self, owner: Hashable, number: int, keys: PromptKeys | None, now: float
    ) -> None:
        """Record that a request is sent; one without parts is not recorded."""
        if number and keys is not None:
            self._running[owner, number] = Run(keys, now)

    def begin_answer(self, owner: Hashable, number: int, now: float) -> None:
        """Record that the first event of an answer has been received."""
        run = self._running.get((owner, number))
        if run is not None and run.begun_at is None:
            run.begun_at = now

    def end(
        self, owner: Hashable, number: int, failed: bool | None, now: float
    ) -> Run | None:
        """Record that a request has ended, and return its run if it was recorded.

        :param failed: whether the engine failed.
        """
        run = self._running.pop((owner, number), None)
        if run is not None and failed:
            self._add_lost([run], now)
        return run

    def remove_owner(self, owner: Hashable, now: float) -> None:
        """Record that an owner is gone.

        Its requests end with it, or run for a moment without being reported.
        """
        numbers = [key for key in self._running if key[0] == owner]
        self._add_lost([self._running.pop(key) for key in numbers], now)

    def take_all(self, now: float) -> list[Run]:
        """Remove and return the runs in progress, and those that were lost just now."""
        self._remove_old(now)
        found = [*self._lost, *self._running.values()]
        self._lost.clear()
        self._running.clear()
        return found

    def _add_lost(self, runs: list[Run], now: float) -> None:
        self._remove_old(now)
        for run in runs:
            run.lost_at = now
        self._lost.extend(runs)

    def _remove_old(self, now: float) -> None:
        self._lost = [r for r in self._lost if now - (r.lost_at or 0.0) < LOST_SECONDS]
