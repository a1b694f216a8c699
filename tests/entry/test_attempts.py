"""How many attempts a request that may be repeated gets."""

from types import SimpleNamespace

import pytest

from ibishead.catalog import Catalog
from ibishead.clock import SystemClock
from ibishead.decisions.placement import Placed
from ibishead.entry.call import parse_call
from ibishead.entry.dispatching import Dispatcher, Ended, Job
from ibishead.entry.resolution import resolve
from ibishead.entry.trace import Trace
from ibishead.errors import ErrorCode, Refused
from ibishead.ids import TargetId
from ibishead.messages import DocumentRecord, Outcome
from ibishead.web import WebRequest

DOCUMENT = """
[service]
name = mester
team = halo
kind = plain
default_class = draft
[class:draft]
priority = 1
deadline = 9 s
idempotent = yes
"""

LOST = Ended(Outcome.NOT_RUN, ErrorCode.LINK_LOST, "the link was lost")
NO_LOAD = Ended(Outcome.NOT_RUN, ErrorCode.LOAD_FAILED, "the adapter fails to load")
WHOLE = Ended(Outcome.COMPLETED)


class ScriptedDispatcher(Dispatcher):
    """Attempts that end as a script says, at one target after the other."""

    def __init__(self, ends):
        clock = SystemClock()
        super().__init__(_AnyAgent(), Catalog(), clock, None)
        self.ends = list(ends)

    async def choose(self, job, avoid):
        return Placed(TargetId(f"t{len(avoid)}"), "scripted", 0.0, False)

    def admit(self, job, placed):
        job.admitted = True

    async def attempt(self, job, agent, grant=None):
        return self.ends.pop(0)


class _AnyAgent:
    def find(self, target):
        return SimpleNamespace(record=SimpleNamespace(target=target))


def make_job():
    catalog = Catalog()
    catalog.store_document(DocumentRecord("mester", "halo", 1, DOCUMENT))
    request = WebRequest("GET", "/services/mester/plan", "", ())
    resolved = resolve(parse_call(request), catalog)
    relay = SimpleNamespace(delivered=False, reset=lambda: None, resolved=resolved)
    deadline = SystemClock().monotonic() + 9.0
    return Job(resolved, relay, Trace(resolved.call.request, 0.0), deadline)


@pytest.mark.parametrize(
    ("ends", "served"),
    [
        ([LOST, LOST, NO_LOAD, WHOLE], True),
        ([NO_LOAD, LOST, NO_LOAD, WHOLE], True),
        ([NO_LOAD, NO_LOAD, NO_LOAD, WHOLE], False),
        ([LOST, LOST, LOST, LOST, WHOLE], False),
    ],
)
async def test_attempts_that_no_target_got_leave_the_others(ends, served):
    """Guards against a refusal after links fell silent while a target is free."""
    dispatcher = ScriptedDispatcher(ends)
    if served:
        await dispatcher.run(make_job())
        assert not dispatcher.ends
    else:
        with pytest.raises(Refused):
            await dispatcher.run(make_job())
        assert dispatcher.ends == [WHOLE]
