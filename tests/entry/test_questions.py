"""Questions to control whose answers come twice, late or in another order."""

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
ASK = AskClaim(REQUEST, TEAM, SERVICE, KEY, "d", TARGET, Incarnation(1), 60.0)
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


async def wait_sent(link: FakeLink, kind: type, count: int = 1) -> int:
    """Return the number of the question once so many different ones were sent."""
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
async def test_a_second_answer_to_a_proof_is_no_answer_to_the_next_claim(late):
    """A call that didn't run is told that it may have, as a question was sent again."""
    link = FakeLink()
    async with follow(link) as subscription:
        proof = asyncio.create_task(subscription.resolve(NOT_RUN, 5.0))
        proved = await wait_sent(link, ResolveClaim)
        link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1, proved))
        assert (await proof).state is ClaimState.NOT_RUN
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        asked = await wait_sent(link, AskClaim)
        for _ in range(late):
            link.inbox.put_nowait(answer(ClaimState.NOT_RUN, 1, proved))
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 2, asked))
        granted = await claim
    assert (granted.state, granted.generation) == (ClaimState.GRANTED, 2)


async def test_a_second_answer_for_one_key_is_no_answer_for_the_next():
    """A caller of two keys under one request id is told the first one's holder."""
    link = FakeLink()
    next_key = IdempotencyKey("k2")
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        first = await wait_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1, first))
        await claim
        ask = msgspec.structs.replace(ASK, key=next_key)
        claim = asyncio.create_task(subscription.claim(ask, 5.0))
        second = await wait_sent(link, AskClaim, 2)
        link.inbox.put_nowait(answer(ClaimState.COMPLETED, 1, first))
        granted = msgspec.structs.replace(
            answer(ClaimState.GRANTED, 2, second), key=next_key
        )
        link.inbox.put_nowait(granted)
        assert await claim == granted


async def test_an_earlier_answer_about_a_claim_is_no_answer_to_the_next_ask():
    """An order is sent under a grant that was given up, as it was answered twice."""
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        first = await wait_sent(link, AskClaim)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, first))
        await claim
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        second = await wait_sent(link, AskClaim, 2)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, first))
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 2, second))
        assert (await claim).generation == 2


async def test_an_earlier_refusal_doesnt_end_the_next_ask():
    """A claim that is granted is told as refused, as the ask before it was."""
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        first = await wait_sent(link, AskClaim)
        refusal = Refusal(REQUEST, ErrorCode.NO_QUORUM, "no quorum", question=first)
        link.inbox.put_nowait(refusal)
        with pytest.raises(Unavailable):
            await claim
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        second = await wait_sent(link, AskClaim, 2)
        link.inbox.put_nowait(refusal)
        link.inbox.put_nowait(answer(ClaimState.GRANTED, 1, second))
        assert (await claim).state is ClaimState.GRANTED


async def test_two_asks_of_one_request_are_refused_apart():
    """Of two claims under one request id one is held until its time is up."""
    link = FakeLink()
    async with follow(link) as subscription:
        ask = msgspec.structs.replace(ASK, key=IdempotencyKey("k2"))
        claims = [asyncio.create_task(subscription.claim(a, 5.0)) for a in (ASK, ask)]
        last = await wait_sent(link, AskClaim, 2)
        for question in (last - 1, last):
            refusal = Refusal(REQUEST, ErrorCode.NO_QUORUM, "none", question=question)
            link.inbox.put_nowait(refusal)
        for claim in claims:
            with pytest.raises(Unavailable):
                await asyncio.wait_for(claim, 1.0)


async def test_a_refusal_ends_the_claim_that_it_names():
    """A claim without a quorum is held until its time is up."""
    link = FakeLink()
    async with follow(link) as subscription:
        claim = asyncio.create_task(subscription.claim(ASK, 5.0))
        asked = await wait_sent(link, AskClaim)
        other = Refusal("r2", ErrorCode.NO_QUORUM, "no quorum", question=asked + 1)
        link.inbox.put_nowait(other)
        refusal = Refusal(REQUEST, ErrorCode.UNKNOWN_TARGET, "gone", question=asked)
        link.inbox.put_nowait(refusal)
        with pytest.raises(NotFound):
            await claim
