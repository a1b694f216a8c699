"""The number of attempts that an idempotent request gets."""

from types import SimpleNamespace

import pytest

from ibishead.catalog import Catalog
from ibishead.clock import SystemClock
from ibishead.decisions.placement import Placed
from ibishead.entry.blocking import MessageBlocks
from ibishead.entry.call import parse_call
from ibishead.entry.dispatching import AttemptResult, Dispatcher, Job
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

LOST = AttemptResult(Outcome.NOT_RUN, ErrorCode.LINK_LOST, "the link was lost")
LOAD_FAILED = AttemptResult(
    Outcome.NOT_RUN, ErrorCode.LOAD_FAILED, "the adapter fails to load"
)
COMPLETED = AttemptResult(Outcome.COMPLETED)


class ScriptedDispatcher(Dispatcher):
    """A dispatcher whose attempts, each at another target, end as listed."""

    def __init__(self, results):
        clock = SystemClock()
        blocks = MessageBlocks(clock)
        super().__init__(_FakeAgentPool(), Catalog(), clock, None, blocks)
        self.results = list(results)

    async def choose(self, job, avoid):
        return Placed(TargetId(f"t{len(avoid)}"), "scripted", 0.0, False)

    def admit(self, job, placed):
        job.admitted = True

    async def attempt(self, job, agent, grant=None):
        return self.results.pop(0)


class _FakeAgentPool:
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
    ("results", "served"),
    [
        ([LOST, LOST, LOAD_FAILED, COMPLETED], True),
        ([LOAD_FAILED, LOST, LOAD_FAILED, COMPLETED], True),
        ([LOAD_FAILED, LOAD_FAILED, LOAD_FAILED, COMPLETED], False),
        ([LOST, LOST, LOST, LOST, COMPLETED], False),
    ],
)
async def test_undelivered_attempts_are_counted_separately(results, served):
    """Attempts lost with their links must not use up the attempts that reach targets.

    Otherwise a request is refused after links go silent although a target is free.
    """
    dispatcher = ScriptedDispatcher(results)
    if served:
        await dispatcher.run(make_job())
        assert not dispatcher.results
    else:
        with pytest.raises(Refused):
            await dispatcher.run(make_job())
        assert dispatcher.results == [COMPLETED]
