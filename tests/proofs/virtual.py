"""An event loop whose time jumps to the next timer, so that minutes cost nothing."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

__all__ = ["LoopClock", "run_virtual"]

_T = TypeVar("_T")


class _JumpingSelector(selectors.SelectSelector):
    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("everything waits, and nothing will ever happen")
        if not ready:
            self.now += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class LoopClock:
    """The running loop's time as a program's clock."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())


def run_virtual(make: Callable[[], Awaitable[_T]]) -> _T:
    """Run to the end in virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(make())
