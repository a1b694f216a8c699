"""Requests with prompt parts that crash engines, at one gateway."""

import asyncio
from types import SimpleNamespace

import pytest
from tests.fake_feed import FakeFeed

from ibishead.errors import ErrorCode, Unavailable
from ibishead.gateway.blocking import PromptBlocks
from ibishead.ids import CustomerId, HostId, PartKey
from ibishead.routing.messages import BlockedPart, PartSound
from ibishead.routing.prompts import PromptKeys

BAD = PartKey("bad")


def make_request(customer="", shared=("head", "bad")):
    keys = PromptKeys(PartKey("own"), tuple(shared), CustomerId(customer))
    return SimpleNamespace(keys=keys)


def make_blocks(*blocked, host="g1"):
    return PromptBlocks(HostId(host), FakeFeed(*blocked), lambda: 0.5)


@pytest.mark.parametrize(
    ("customers", "request_", "refused"),
    [
        (None, make_request(), True),
        (None, make_request("a"), True),
        (("a",), make_request("a"), True),
        (("a",), make_request("b"), False),
        (("a",), make_request(), False),
        (("",), make_request(), True),
        (None, make_request(shared=("head",)), False),
        (None, make_request(shared=()), False),
    ],
)
def test_whose_requests_are_refused(customers, request_, refused):
    """A caller would get the parts of another one refused."""
    blocks = make_blocks(BlockedPart(BAD, customers))
    for check in (blocks.check, blocks.admit):
        if not refused:
            check(request_)
            continue
        with pytest.raises(Unavailable) as caught:
            check(request_)
        assert caught.value.code is ErrorCode.PROMPT_BLOCKED
        assert caught.value.retry_after.total_seconds() == 60.0


async def test_a_request_that_waits_is_refused_once_its_part_is_blocked():
    """It would be sent when its turn comes, after all gateways know the part."""
    blocks = make_blocks()

    async def wait(request):
        with blocks.interrupt(request):
            await asyncio.sleep(30.0)

    tasks = [
        asyncio.create_task(wait(request))
        for request in (make_request(), make_request(shared=("head",)))
    ]
    await asyncio.sleep(0)
    blocks._feed.blocked[BAD] = BlockedPart(BAD, None)
    blocks.apply()
    done, waiting = await asyncio.wait(tasks, timeout=0.1)
    assert [type(task.exception()) for task in done] == [Unavailable]
    for task in waiting:
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


async def test_a_caller_that_leaves_while_its_part_is_blocked_has_left():
    blocks = make_blocks()

    async def wait():
        with blocks.interrupt(make_request()):
            await asyncio.sleep(30.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    blocks._feed.blocked[BAD] = BlockedPart(BAD, None)
    blocks.apply()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def test_one_request_is_sent_in_a_trial_at_one_gateway():
    """A trial would end one engine for each request at each gateway."""
    trial = BlockedPart(BAD, None, 1, HostId("g1"))
    other, blocks = make_blocks(trial, host="g2"), make_blocks(trial)
    with pytest.raises(Unavailable):
        other.check(make_request())
    blocks.check(make_request())
    blocks.check(make_request())
    blocks.admit(make_request())
    for check in (blocks.check, blocks.admit):
        with pytest.raises(Unavailable):
            check(make_request())
    blocks._feed.blocked[BAD] = BlockedPart(BAD, None, 2, HostId("g1"))
    blocks.admit(make_request())


def test_an_answer_on_a_blocked_part_is_reported():
    blocks = make_blocks(BlockedPart(BAD, None))
    blocks.report_sound(PromptKeys(PartKey("own"), (PartKey("head"), BAD)))
    assert blocks._feed.sent == [PartSound(BAD)]
