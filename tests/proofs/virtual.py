"""Event loop in virtual time, which advances to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

__all__ = ["LoopClock", "run_virtual"]

_T = TypeVar("_T")


class _VirtualTimeSelector(selectors.SelectSelector):
    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: no event is ready and no timer is pending")
        if not ready:
            self.now += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now


class LoopClock:
    """Clock of the programs, based on the time of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())


def run_virtual(make: Callable[[], Awaitable[_T]]) -> _T:
    """Run an awaitable to completion in virtual time and return its result."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(make())
