"""Waits for events, and what a cancellation does to them."""

import asyncio
import contextlib

import pytest

from ibishead.waiting import wait_for_event


@pytest.mark.parametrize(("is_set", "expected"), [(True, True), (False, False)])
async def test_returns_whether_the_event_is_set(is_set, expected):
    event = asyncio.Event()
    if is_set:
        event.set()
    assert await wait_for_event(event, 0.01) is expected


@pytest.mark.parametrize("turns_of_the_loop", range(4))
async def test_cancellation_ends_a_loop_whose_event_is_set_at_that_moment(
    turns_of_the_loop,
):
    """A planned stop would wait for ever for a loop that missed its cancellation."""
    event = asyncio.Event()

    async def run_loop():
        while True:
            event.clear()
            await wait_for_event(event, 5.0)

    task = asyncio.create_task(run_loop())
    await asyncio.sleep(0.01)
    event.set()
    for _ in range(turns_of_the_loop):
        await asyncio.sleep(0)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        async with asyncio.timeout(1.0):
            await task
    assert task.cancelled()
