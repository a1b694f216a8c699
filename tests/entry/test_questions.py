"""Claim requests to control whose answers are duplicated, delayed or reordered."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import pytest
from tests.fake_links import FakeLink

from ibishead.clock import SystemClock
from ibishead.errors import ErrorCode, NotFound, Unavailable
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
CLAIM = AskClaim(REQUEST, TEAM, SERVICE, KEY, "d", TARGET, Incarnation(1), 60.0)
NOT_RUN = ResolveClaim(REQUEST, TEAM, SERVICE, KEY, Generation(1), Outcome.NOT_RUN)


def answer(state: ClaimState, generation: int, question: int) -> ClaimAnswer:
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
        question=question,
    )


async def wait_until_sent(link: FakeLink, kind: type, count: int = 1) -> int:
    """Wait until ``count`` distinct requests were sent; return the highest number."""
    numbers: set[int] = set()
    while len(numbers) < count:
        await asyncio.sleep(0)
        numbers = {m.question for m in link.sent if isinstance(m, kind)}
    return max(numbers)


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
async def test_duplicate_resolution_answer_does_not_answer_the_next_claim(late):
    """A duplicate answer to a resolution must not answer the next claim request.

    Otherwise a call that did not run is reported as one that may have. A resolution
    that is sent again is answered twice.
    """
    link = FakeLink()
    async with follow(link) as subscription:
        resolution = asyncio.create_task(subscription.resolve(NOT_RUN, 5.0))
        resolution_number = await wait_until_sent(link, ResolveClaim)
        link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1, resolution_number))
        assert (await resolution).state is ClaimState.NOT_RUN
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        claim_number = await wait_until_sent(link, AskClaim)
        for _ in range(late):
            link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1, resolution_number))
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 2, claim_number))
        granted = await claim
    assert (granted.state, granted.generation) == (ClaimState.GRANTED, 2)


async def test_duplicate_answer_does_not_answer_a_claim_for_another_key():
    """A duplicate answer for one key must not answer a claim for another key.

    Otherwise a caller that uses two keys under one request id gets the first key's
    holder for the second.
    """
    link = FakeLink()
    next_key = IdempotencyKey("k2")
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        first = await wait_until_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1, first))
        await claim
        next_claim = msgspec.structs.replace(CLAIM, key=next_key)
        claim = asyncio.create_task(subscription.claim(next_claim, 5.0))
        second = await wait_until_sent(link, AskClaim, 2)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1, first))
        granted = msgspec.structs.replace(
            answer(ClaimState.GRANTED, 2, second), key=next_key
        )
        link.inbox.put_nowait(granted)
        assert await claim == granted


async def test_duplicate_claim_answer_does_not_answer_the_next_request():
    """A duplicate answer to an earlier claim request must not answer the next one.

    Otherwise a request is sent under a grant that was already released.
    """
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        first = await wait_until_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, first))
        await claim
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        second = await wait_until_sent(link, AskClaim, 2)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, first))
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 2, second))
        assert (await claim).generation == 2


async def test_duplicate_refusal_does_not_end_the_next_request():
    """A duplicate refusal of an earlier claim request must not end the next one.

    Otherwise a claim that is granted is reported as refused.
    """
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        first = await wait_until_sent(link, AskClaim)
        refusal = Refusal(REQUEST, ErrorCode.NO_QUORUM, "no quorum", question=first)
        link.inbox.put_nowait(refusal)
        with pytest.raises(Unavailable):
            await claim
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        second = await wait_until_sent(link, AskClaim, 2)
        link.inbox.put_nowait(refusal)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, second))
        assert (await claim).state is ClaimState.GRANTED


async def test_two_claims_of_one_request_are_refused_separately():
    """Refusals of two claims under one request id must each end their own claim.

    Otherwise one of the claims waits until its timeout.
    """
    link = FakeLink()
    async with follow(link) as subscription:
        next_claim = msgspec.structs.replace(CLAIM, key=IdempotencyKey("k2"))
        claims = [
            asyncio.create_task(subscription.claim(a, 5.0)) for a in (CLAIM, next_claim)
        ]
        last = await wait_until_sent(link, AskClaim, 2)
        for question in (last - 1, last):
            refusal = Refusal(REQUEST, ErrorCode.NO_QUORUM, "none", question=question)
            link.inbox.put_nowait(refusal)
        for claim in claims:
            with pytest.raises(Unavailable):
                await asyncio.wait_for(claim, 1.0)


async def test_refusal_ends_the_claim_with_its_number():
    """A refusal ends the claim request with its number, and no other.

    Otherwise a refused claim waits until its timeout.
    """
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(CLAIM, 5.0))
        claim_number = await wait_until_sent(link, AskClaim)
        other = Refusal(
            "r2", ErrorCode.NO_QUORUM, "no quorum", question=claim_number + 1
        )
        link.inbox.put_nowait(other)
        refusal = Refusal(
            REQUEST, ErrorCode.UNKNOWN_TARGET, "gone", question=claim_number
        )
        link.inbox.put_nowait(refusal)
        with pytest.raises(NotFound):
            await claim
