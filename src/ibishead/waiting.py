"""Waits with a time limit that can be cancelled at any moment."""

import asyncio
import contextlib

__all__ = ["wait_for_event"]


async def wait_for_event(event: asyncio.Event, seconds: float | None) -> bool:
    """Wait until an event is set, and return whether it is.

    `asyncio.wait_for` of Python 3.11 returns instead of raising if it is cancelled in
    the moment in which the event is set, so that a loop around it never ends.

    :param seconds: time limit, None for no limit.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    return event.is_set()
