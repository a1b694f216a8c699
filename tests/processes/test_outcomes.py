"""Outcomes that callers receive when programs fail during their calls."""

import asyncio

import pytest
from tests.processes.fleet import CALLER_KEY, Fleet
from tests.processes.guarantees import check_guarantees
from tests.processes.programs import wait_until
from tests.processes.under_load import ADAPTERS

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

    await wait_until("the call is started", is_started)


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
async def test_outcome_is_unknown_after_the_target_died(start_fleet, kind, path):
    """Guards against reporting a definite outcome when the only target dies."""
    fleet = await start_fleet(engines=1, entries=1, delay=3.0)
    targets = fleet.plains if kind is CallKind.PLAIN else fleet.engines
    call = plan_call(kind, path)
    caller = fleet.make_caller()
    pending = asyncio.create_task(caller.call(call))
    await wait_started(fleet, call)
    targets[0].program.kill()
    result = await pending
    caller.close()
    assert result.verdict is Verdict.UNKNOWN, result


async def call_via_entry(fleet: Fleet, entry: int, call: Call) -> CallResult:
    caller = Caller((fleet.entry_endpoints[entry],), CALLER_KEY)
    try:
        return await caller.call(call)
    finally:
        caller.close()


async def test_resend_after_entry_host_died_runs_once(start_fleet):
    """Guards against a lost or repeated execution when an entry host dies.

    The caller resends the call with the same idempotency key through another host.
    """
    fleet = await start_fleet(engines=1, delay=2.0)
    call = plan_call(CallKind.PLAIN)
    first = asyncio.create_task(call_via_entry(fleet, 0, call))
    await wait_started(fleet, call)
    fleet.entries[0].kill()
    assert (await first).verdict is Verdict.CUT
    second = await call_via_entry(fleet, 1, call)
    assert second.verdict is Verdict.WHOLE, second
    assert fleet.count_executions(call.key) == 1


async def test_resend_after_service_restart_is_not_run(start_fleet):
    """Guards against a repeated execution when a service restarts during a call.

    The caller resends the call with the same idempotency key.
    """
    fleet = await start_fleet(engines=1, delay=2.0)
    call = plan_call(CallKind.PLAIN)
    first = asyncio.create_task(call_via_entry(fleet, 0, call))
    await wait_started(fleet, call)
    plain = fleet.plains[0].program
    plain.kill()
    plain.start()
    verdicts = [(await first).verdict]
    verdicts += [(await call_via_entry(fleet, n, call)).verdict for n in (1, 0)]
    assert verdicts == [Verdict.UNKNOWN] * 3
    assert fleet.count_executions(call.key) == 1


async def test_false_load_successes_give_no_wrong_responses(start_fleet):
    """Guards against responses from the base model after false load successes."""
    options = ("--ignores-unknown-adapter", "--false-load", "0.5")
    fleet = await start_fleet(engines=1, slots=1, engine_options=options)
    mix = Mix("mester", ADAPTERS, 40, rate=8.0, zipf=0.0, max_tokens=60)
    caller = fleet.make_caller()
    _, results = await generate_load(caller, mix, duration=60.0)
    caller.close()
    totals = check_guarantees(fleet, results)
    totals.require(Verdict.WHOLE, Verdict.NOT_RUN)
    assert totals.counts[Verdict.WHOLE, ""], "no call succeeded"


async def test_engine_restarts_while_its_agent_is_suspended(start_fleet):
    """Guards against wrong responses when an engine restarts without its adapters.

    Its agent is suspended meanwhile, and handles the queued requests when resumed.
    """
    fleet = await start_fleet(engines=1, entries=1)
    caller = fleet.make_caller()
    first, *others = plan_calls(
        Mix("mester", ("tisza@v1",), 9, streams=0.5, max_tokens=20)
    )
    assert (await caller.call(first)).verdict is Verdict.WHOLE
    engine, agent = fleet.engines[0].program, fleet.engines[0].agent
    agent.suspend()
    engine.kill()
    engine.start()
    await engine.read_port(f"{engine.name}.port")
    pending = asyncio.gather(*map(caller.call, others))
    # Time to open the connections and to send the requests
    await asyncio.sleep(0.1)
    agent.resume()
    results = await pending
    caller.close()
    check_guarantees(fleet, results).require(Verdict.WHOLE, Verdict.NOT_RUN)


async def test_adapter_in_use_survives_agent_restart(start_fleet):
    """Guards against evicting an adapter that is in use.

    An agent restarts during a stream and then receives requests for other adapters.
    """
    fleet = await start_fleet(engines=1, slots=1, entries=1)
    stream = plan_call(CallKind.STREAM, tokens=600)
    caller = fleet.make_caller()
    pending = asyncio.create_task(caller.call(stream))
    await wait_started(fleet, stream)
    fleet.engines[0].agent.kill()
    fleet.engines[0].agent.start()
    result = await pending
    await fleet.wait_serving()
    caller.close()
    check_guarantees(fleet, [result])
