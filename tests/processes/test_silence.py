"""The guarantees hold when open connections become permanently silent."""

import pytest
from tests.processes.fleet import Hop
from tests.processes.guarantees import check_guarantees
from tests.processes.under_load import run_under_load

from ibishead.standin.calls import Verdict
from ibishead.standin.protocol import DONE_EVENT

#: Allowed verdicts when the open connections of a hop become silent. Between entry host
#: and agent, responses are resumed, so all are complete. The outcome of a request that
#: was sent to a target over a silenced connection cannot be known. Without control,
#: requests that need it are not started.
ALLOWED = {
    Hop.ENTRY_AGENT: (Verdict.WHOLE,),
    Hop.AGENT_TARGET: (Verdict.WHOLE, Verdict.UNKNOWN, Verdict.NOT_RUN),
    Hop.ENTRY_CONTROL: (Verdict.WHOLE, Verdict.NOT_RUN),
    Hop.AGENT_CONTROL: (Verdict.WHOLE, Verdict.NOT_RUN),
}


@pytest.mark.parametrize("hop", ALLOWED)
async def test_silent_connections_break_no_promise(start_fleet, hop):
    """A middlebox drops the state of all open connections of one hop under load."""
    fleet = await start_fleet(relayed=frozenset({hop}))

    async def silence() -> None:
        fleet.silence()

    results = await run_under_load(fleet, silence)
    check_guarantees(fleet, results).require(*ALLOWED[hop])
    await fleet.wait_serving()


async def test_stream_that_falls_silent_before_its_end_is_not_cut(start_fleet):
    """Guards against treating a complete stream without its last line as truncated."""
    fleet = await start_fleet(relayed=frozenset({Hop.AGENT_TARGET}))

    async def silence_before_end() -> None:
        for relay in fleet.relays:
            relay.silence_before = DONE_EVENT

    results = await run_under_load(fleet, silence_before_end, rate=10.0)
    check_guarantees(fleet, results).require(*ALLOWED[Hop.AGENT_TARGET])
