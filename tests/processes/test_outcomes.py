"""What callers are told when the only target of their service dies."""

import asyncio

import pytest
from tests.processes.fleet import CALLER_KEY, Fleet
from tests.processes.programs import wait_until
from tests.processes.promises import check_promises
from tests.processes.striking import ADAPTERS

from ibishead.standin.calls import Call, CallKind, Mix, Verdict, plan_calls
from ibishead.standin.ledger import RecordKind
from ibishead.standin.load import Caller, CallResult, generate_load


def plan_call(kind: CallKind, path: str = "/issue", tokens: int = 100_000) -> Call:
    plain = kind is CallKind.PLAIN
    mix = Mix(
        "mester",
        () if plain else ("tisza@v1",),
        1,
        streams=1.0 if kind is CallKind.STREAM else 0.0,
        max_tokens=tokens,
        plain_service="raktar",
        plain_path=path,
    )
    [call] = plan_calls(mix)
    return call


async def wait_started(fleet: Fleet, call: Call) -> None:
    def is_started() -> bool:
        records = [r for t in fleet.engines + fleet.plains for r in t.ledger]
        started = [r for r in records if r.kind is RecordKind.STARTED]
        if call.kind is CallKind.PLAIN:
            return any(r.key == call.key for r in started)
        return any(r.asked == call.adapter for r in started)

    await wait_until("the call runs", is_started)


@pytest.mark.parametrize(
    ("kind", "path"),
    [
        (CallKind.CHAT, ""),
        (CallKind.STREAM, ""),
        (CallKind.PLAIN, "/stock"),
        (CallKind.PLAIN, "/issue"),
    ],
    ids=["chat", "stream", "idempotent", "non-idempotent"],
)
async def test_run_that_a_dead_target_began_is_unknown(start_fleet, kind, path):
    """The only target dies in the middle of a call and stays dead."""
    fleet = await start_fleet(engines=1, entries=1, delay=3.0)
    targets = fleet.plains if kind is CallKind.PLAIN else fleet.engines
    call = plan_call(kind, path)
    caller = fleet.make_caller()
    asking = asyncio.create_task(caller.call(call))
    await wait_started(fleet, call)
    targets[0].program.kill()
    result = await asking
    caller.close()
    assert result.verdict is Verdict.UNKNOWN, result


async def call_through(fleet: Fleet, entry: int, call: Call) -> CallResult:
    caller = Caller((fleet.entry_endpoints[entry],), CALLER_KEY)
    try:
        return await caller.call(call)
    finally:
        caller.close()


async def test_issue_survives_its_entry_host(start_fleet):
    """An entry host dies while an issue runs; the caller resends through another."""
    fleet = await start_fleet(engines=1, delay=2.0)
    call = plan_call(CallKind.PLAIN)
    first = asyncio.create_task(call_through(fleet, 0, call))
    await wait_started(fleet, call)
    fleet.entries[0].kill()
    assert (await first).verdict is Verdict.CUT
    again = await call_through(fleet, 1, call)
    assert again.verdict is Verdict.WHOLE, again
    assert fleet.count_executions(call.key) == 1


async def test_issue_of_a_dead_service_is_never_run_again(start_fleet):
    """A service dies in an issue and comes back; the caller sends the key again."""
    fleet = await start_fleet(engines=1, delay=2.0)
    call = plan_call(CallKind.PLAIN)
    first = asyncio.create_task(call_through(fleet, 0, call))
    await wait_started(fleet, call)
    plain = fleet.plains[0].program
    plain.kill()
    plain.start()
    verdicts = [(await first).verdict]
    verdicts += [(await call_through(fleet, n, call)).verdict for n in (1, 0)]
    assert verdicts == [Verdict.UNKNOWN] * 3
    assert fleet.count_executions(call.key) == 1


async def test_false_loads_never_answer(start_fleet):
    """A load is answered as done and isn't, and another model's answer passes."""
    options = ("--ignores-unknown-adapter", "--false-load", "0.5")
    fleet = await start_fleet(engines=1, slots=1, engine_options=options)
    mix = Mix("mester", ADAPTERS, 40, rate=8.0, zipf=0.0, max_tokens=60)
    caller = fleet.make_caller()
    _, results = await generate_load(caller, mix, duration=60.0)
    caller.close()
    tally = check_promises(fleet, results)
    tally.keep(Verdict.WHOLE, Verdict.NOT_RUN)
    assert tally.ends[Verdict.WHOLE, ""], "nothing was answered"


async def test_engine_restarts_behind_a_frozen_agent(start_fleet):
    """An engine comes back empty while its agent is frozen with requests before it."""
    fleet = await start_fleet(engines=1, entries=1)
    caller = fleet.make_caller()
    first, *others = plan_calls(
        Mix("mester", ("tisza@v1",), 9, streams=0.5, max_tokens=20)
    )
    assert (await caller.call(first)).verdict is Verdict.WHOLE
    engine, agent = fleet.engines[0].program, fleet.engines[0].agent
    agent.freeze()
    engine.kill()
    engine.start()
    await engine.read_port(f"{engine.name}.port")
    asking = asyncio.gather(*map(caller.call, others))
    # One turn of the loop for the connections, one for the requests on them
    await asyncio.sleep(0.1)
    agent.thaw()
    results = await asking
    caller.close()
    check_promises(fleet, results).keep(Verdict.WHOLE, Verdict.NOT_RUN)


async def test_adapter_outlives_its_agent(start_fleet):
    """An agent dies during streams; its successor is asked for other adapters."""
    fleet = await start_fleet(engines=1, slots=1, entries=1)
    stream = plan_call(CallKind.STREAM, tokens=600)
    caller = fleet.make_caller()
    asking = asyncio.create_task(caller.call(stream))
    await wait_started(fleet, stream)
    fleet.engines[0].agent.kill()
    fleet.engines[0].agent.start()
    result = await asking
    await fleet.wait_serving()
    caller.close()
    check_promises(fleet, [result])
