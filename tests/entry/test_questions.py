"""Questions to control whose answers come twice, late or in another order."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import pytest
from tests.fake_links import FakeLink

from ibishead.clock import SystemClock
from ibishead.errors import ErrorCode, NotFound
from ibishead.ids import (
    Generation,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
)
from ibishead.links import Endpoint
from ibishead.messages import (
    AskClaim,
    ClaimAnswer,
    ClaimState,
    Hello,
    Outcome,
    Refusal,
    ResolveClaim,
    Role,
)
from ibishead.subscription import Subscription

REQUEST, TEAM, SERVICE = RequestId("r1"), TeamId("t"), ServiceName("s")
KEY, TARGET = IdempotencyKey("k"), TargetId("x")
ASK = AskClaim(REQUEST, TEAM, SERVICE, KEY, "d", TARGET, Incarnation(1), 60.0)
NOT_RUN = ResolveClaim(REQUEST, TEAM, SERVICE, KEY, Generation(1), Outcome.NOT_RUN)


def answer(state: ClaimState, generation: int) -> ClaimAnswer:
    return ClaimAnswer(
        REQUEST,
        TEAM,
        SERVICE,
        KEY,
        state,
        REQUEST,
        TARGET,
        Incarnation(1),
        Generation(generation),
    )


async def wait_sent(link: FakeLink, kind: type) -> None:
    while not any(isinstance(message, kind) for message in link.sent):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def follow(link: FakeLink) -> AsyncIterator[Subscription]:
    async def dial(*_) -> FakeLink:
        return link

    subscription = Subscription(
        [Endpoint("127.0.0.1", 1)],
        lambda: Hello(Role.ENTRY, "e"),
        SystemClock(),
        dialer=dial,
    )
    subscription.start()
    yield subscription
    await subscription.stop()


@pytest.mark.parametrize("late", [1, 3])
async def test_a_second_answer_to_a_proof_is_no_answer_to_the_next_claim(late):
    """A call that didn't run is told that it may have, as a question was sent again."""
    link = FakeLink()
    async with follow(link) as subscription:
        proof = asyncio.create_task(subscription.resolve(NOT_RUN, 5.0))
        await wait_sent(link, ResolveClaim)
        link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1))
        assert (await proof).state is ClaimState.NOT_RUN
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        await wait_sent(link, AskClaim)
        for _ in range(late):
            link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1))
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 2))
        granted = await claim
    assert (granted.state, granted.generation) == (ClaimState.GRANTED, 2)


async def test_a_second_answer_for_one_key_is_no_answer_for_the_next():
    """A caller of two keys under one request id is told the first one's holder."""
    link = FakeLink()
    next_key = IdempotencyKey("k2")
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        await wait_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1))
        await claim
        link.sent.clear()
        ask = msgspec.structs.replace(ASK, key=next_key)
        claim = asyncio.create_task(subscription.claim(ask, 5.0))
        await wait_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1))
        granted = msgspec.structs.replace(answer(ClaimState.GRANTED, 2), key=next_key)
        link.inbox.put_nowait(granted)
        assert await claim == granted


async def test_a_refusal_ends_the_claim_that_it_names():
    """A claim without a quorum is held until its time is up."""
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        await wait_sent(link, AskClaim)
        link.inbox.put_nowait(Refusal("r2", ErrorCode.NO_QUORUM, "no quorum"))
        link.inbox.put_nowait(Refusal(REQUEST, ErrorCode.UNKNOWN_TARGET, "gone"))
        with pytest.raises(NotFound):
            await claim
