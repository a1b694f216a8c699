"""Open connections go silent for good while new ones work."""

import pytest
from tests.processes.fleet import Hop
from tests.processes.promises import check_promises
from tests.processes.striking import run_under_load

from ibishead.standin.calls import Verdict
from ibishead.standin.protocol import DONE_EVENT

#: How calls may end when the open connections of a path go silent. Between entry and
#: agent answers are resumed, so all are whole. What a target still did on a silent
#: connection nobody can know. Without control nothing that needs it is started.
ALLOWED = {
    Hop.ENTRY_AGENT: (Verdict.WHOLE,),
    Hop.AGENT_TARGET: (Verdict.WHOLE, Verdict.UNKNOWN, Verdict.NOT_RUN),
    Hop.ENTRY_CONTROL: (Verdict.WHOLE, Verdict.NOT_RUN),
    Hop.AGENT_CONTROL: (Verdict.WHOLE, Verdict.NOT_RUN),
}


@pytest.mark.parametrize("hop", ALLOWED)
async def test_silent_connections_break_no_promise(start_fleet, hop):
    """A middlebox loses track of all open connections of one path, under load."""
    fleet = await start_fleet(relayed=frozenset({hop}))

    async def silence() -> None:
        fleet.silence()

    results = await run_under_load(fleet, silence)
    check_promises(fleet, results).keep(*ALLOWED[hop])
    await fleet.wait_serving()


async def test_stream_that_falls_silent_before_its_end_is_not_cut(start_fleet):
    """A stream's text has come whole, its last line hasn't, and it counts as cut."""
    fleet = await start_fleet(relayed=frozenset({Hop.AGENT_TARGET}))

    async def swallow_ends() -> None:
        for relay in fleet.relays:
            relay.swallowed = DONE_EVENT

    results = await run_under_load(fleet, swallow_ends, rate=10.0)
    check_promises(fleet, results).keep(*ALLOWED[Hop.AGENT_TARGET])
