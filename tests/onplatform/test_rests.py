"""Targets that ask gateways for rest in their refusals, with real programs."""

import asyncio
import time
from dataclasses import dataclass

import pytest
from tests.onplatform.standin import MODEL, Cluster, Target

from ibishead.headers import find_header

#: The most requests of a gateway that may reach a target in a rest.
MAX_IN_REST = 2

CALLS_PER_SECOND = 30
SEND_SECONDS = 7.0

#: Seconds for which targets refuse, and within which they are used again afterwards.
REFUSE_SECONDS = 1.5
RETURN_SECONDS = 2.0

#: Seconds within which a request that no target takes is refused.
REFUSAL_SECONDS = 0.5


@dataclass(frozen=True)
class Call:
    """One request of a caller, and its answer.

    :param seconds: from the request to the end of the answer.
    """

    request: str
    status: int
    sent_at: float
    seconds: float


@dataclass(frozen=True)
class Case:
    """Which targets ask for rest, and how.

    :param targets: number of targets that ask, of two.
    :param retry_afters: retry-after headers of their refusals, in turn.
    :param event_interval: seconds between two of the six events of an answer.
    """

    route: str = "look"
    model: str = ""
    targets: int = 2
    retry_afters: tuple[str, ...] = ("3",)
    refusal_delay: float = 0.0
    stewards: bool = True
    event_interval: float = 0.02


def list_targets(cluster: Cluster, case: Case) -> list[Target]:
    """Return the targets of a service; first those that hold the adapter."""
    targets = cluster.engines if case.model else cluster.plain
    return sorted(targets, key=lambda target: not target.adapters)


async def call(cluster: Cluster, case: Case, number: int) -> Call:
    gateway = cluster.gateways[number % 2]
    started = time.monotonic()
    status, _, request = await cluster.request(case.route, gateway, case.model)
    return Call(request, status, started, time.monotonic() - started)


async def send_calls(cluster: Cluster, case: Case, seconds: float) -> list[Call]:
    tasks, started = [], time.monotonic()
    for number in range(int(seconds * CALLS_PER_SECOND)):
        tasks.append(asyncio.create_task(call(cluster, case, number)))
        due = started + (number + 1) / CALLS_PER_SECOND
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return await asyncio.gather(*tasks)


async def refuse_for(targets: list[Target], case: Case, seconds: float) -> None:
    for target in targets:
        target.retry_afters = list(case.retry_afters)
        target.refusal_delay = case.refusal_delay
        target.refusing = True
    await asyncio.sleep(seconds)
    for target in targets:
        target.refusing = False


async def refuse_until_asked(
    cluster: Cluster, targets: list[Target], case: Case
) -> None:
    """Let targets refuse until each of them has asked each gateway for rest.

    A target that was sent nothing meanwhile rests for nobody, and answers later.
    """
    refusing = asyncio.create_task(refuse_for(targets, case, 30.0))
    async with asyncio.timeout(20.0):
        while any(
            {rest.gateway for rest in target.rests} != set(cluster.gateways)
            for target in targets
        ):
            await send_calls(cluster, case, 0.2)
    refusing.cancel()
    for target in targets:
        target.refusing = False


async def stop_stewards(cluster: Cluster) -> None:
    """End all stewards once each engine has reported the adapter as loaded."""
    for engine in cluster.engines:
        engine.adapters["warm"] = 1
    await asyncio.sleep(1.0)
    for side in cluster.side_hosts:
        cluster.programs["steward", side].kill()


ENGINE = {"route": "plan", "model": f"{MODEL}/warm"}
CASES = {
    "plain-one": Case(targets=1),
    "plain-all": Case(),
    "engine-one": Case(**ENGINE, targets=1),
    "engine-all": Case(**ENGINE),
    "engine-all-without-stewards": Case(**ENGINE, stewards=False),
    "resumable": Case("advice", f"{MODEL}/warm"),
    "engine-slow-answers": Case(**ENGINE, event_interval=0.2),
    "slow-refusals": Case(refusal_delay=0.3),
    "shorter-after-longer": Case(retry_afters=("3", "0.6", "0.6"), refusal_delay=0.1),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
async def test_a_target_that_asks_for_rest_gets_hardly_any_request(cluster, case):
    """An overloaded target would get as many requests from a gateway as before."""
    if not case.stewards:
        await stop_stewards(cluster)
    asking = list_targets(cluster, case)[: case.targets]
    for target in asking:
        target.event_interval = case.event_interval
    refusing = asyncio.create_task(refuse_for(asking, case, REFUSE_SECONDS))
    calls = await send_calls(cluster, case, SEND_SECONDS)
    await refusing
    assert all(target.rests for target in asking)
    counts = [target.count_sends_in_rests() for target in asking]
    print("sends in rests:", counts)
    assert max(counts) <= MAX_IN_REST
    refused = {c.request for c in calls if c.status in (429, 503)}
    assert not refused & cluster.ledger.runs.keys()
    if case.targets == 1:
        assert all(c.status == 200 for c in calls)
    end = max(rest.at + rest.seconds for t in asking for rest in t.rests)
    after = [c for c in calls if c.sent_at > end + RETURN_SECONDS]
    assert after
    # 16 slots of 1.2 s each serve 13 of the 30 calls a second
    enough = any if case.event_interval > 0.1 else all
    assert enough(c.status == 200 for c in after)


@pytest.mark.parametrize("model", ["", f"{MODEL}/warm"], ids=["plain", "engine"])
async def test_callers_are_refused_at_once_while_all_targets_rest(cluster, model):
    """Callers would wait until their deadlines, or return before a target does."""
    case = Case("plan" if model else "look", model, retry_afters=("30",))
    asking = list_targets(cluster, case)
    await refuse_until_asked(cluster, asking, case)
    calls = await send_calls(cluster, case, 1.0)
    assert {c.status for c in calls} <= {429, 503}
    assert max(c.seconds for c in calls) < REFUSAL_SECONDS
    for c in calls:
        gateway = cluster.senders[c.request]
        left = min(
            max(r.at + r.seconds for r in t.rests if r.gateway == gateway)
            - (c.sent_at + c.seconds)
            for t in asking
        )
        text = find_header(cluster.answers[c.request], "retry-after")
        assert left <= float(text) + 0.1
        assert float(text) <= 2.0 * left + 1.0


@pytest.mark.parametrize(
    "text", [None, "0", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "-3", "nan", "1e12"]
)
async def test_a_target_without_a_valid_request_for_rest_stays_in_use(cluster, text):
    """A malformed header would close a target for ever, or end the program."""
    case = Case(retry_afters=() if text is None else (text,))
    await asyncio.gather(
        refuse_for(cluster.plain, case, 0.3), send_calls(cluster, case, 0.3)
    )
    calls = await send_calls(cluster, case, RETURN_SECONDS)
    late = [c for c in calls if c.sent_at > calls[0].sent_at + RETURN_SECONDS / 2]
    assert all(c.status == 200 for c in late)
    for target in cluster.plain:
        assert any(at > calls[0].sent_at for at in target.arrivals)


@pytest.mark.parametrize("keeps_name", [False, True], ids=["new-id", "same-id"])
async def test_a_restarted_engine_is_not_kept_closed(cluster, keeps_name):
    """The rest that an earlier start asked for would close the new one."""
    case = Case(**ENGINE, retry_afters=("25",))
    await asyncio.gather(
        refuse_for(cluster.engines, case, 0.5), send_calls(cluster, case, 0.5)
    )
    for engine in cluster.engines:
        engine.keeps_name = keeps_name
        await engine.lose_power()
        await engine.start()
    async with asyncio.timeout(10.0):
        while (await call(cluster, case, 0)).status != 200:
            await asyncio.sleep(0.2)


async def test_a_gateway_that_is_cut_off_from_the_registries_respects_rests(cluster):
    """Only answers tell of rests, and they reach a gateway without registries too."""
    case = Case()
    for edge in cluster.edge_hosts:
        cluster.programs["registry", edge].kill()
    refusing = asyncio.create_task(refuse_for(cluster.plain, case, REFUSE_SECONDS))
    await send_calls(cluster, case, 4.0)
    await refusing
    assert all(target.rests for target in cluster.plain)
    assert max(t.count_sends_in_rests() for t in cluster.plain) <= MAX_IN_REST


def count_fullest_moment(times: list[float], seconds: float) -> int:
    """Return the most of these moments that lie within some span of this length."""
    return max((sum(0 <= at - t < seconds for at in times) for t in times), default=0)


async def test_requests_return_after_a_rest_without_a_burst(cluster):
    """All gateways would send all that waits at the moment in which a rest ends."""
    case = Case()
    await asyncio.gather(
        refuse_for(cluster.plain, case, 0.5), send_calls(cluster, case, 0.5)
    )
    await send_calls(cluster, case, 5.0)
    for target in cluster.plain:
        end = max(rest.at + rest.seconds for rest in target.rests)
        returned = [send.at for send in target.sends if send.at > end - 0.1]
        assert returned
        assert count_fullest_moment(returned[:6], 0.05) <= 3
