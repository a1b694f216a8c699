"""Guarantees that must hold for every call, regardless of faults during the call."""

from collections import Counter
from dataclasses import dataclass

from tests.processes.fleet import Fleet

from ibishead.headers import find_header
from ibishead.standin.calls import CallKind, Verdict
from ibishead.standin.ledger import RecordKind
from ibishead.standin.load import CallResult

__all__ = ["CallTotals", "check_guarantees"]

REQUEST_ID_HEADER = "x-ibishead-request"

#: Maximum number of calls that a failed check lists individually.
MAX_SHOWN = 10


@dataclass(frozen=True)
class CallTotals:
    """Results of the calls of one test.

    :param counts: number of calls by verdict and error code.
    """

    counts: Counter[tuple[Verdict, str]]
    results: tuple[CallResult, ...] = ()

    def require(self, *allowed: Verdict) -> None:
        """Assert that every call has one of the allowed verdicts."""
        unexpected = [
            f"{count} {verdict.value} {code}"
            for (verdict, code), count in self.counts.items()
            if verdict not in allowed
        ]
        shown = [_describe(r) for r in self.results if r.verdict not in allowed]
        message = f"calls with unexpected verdicts: {', '.join(unexpected)}"
        assert not unexpected, "\n".join([message, *shown[:MAX_SHOWN]])


def check_guarantees(fleet: Fleet, results: list[CallResult]) -> CallTotals:
    """Compare the responses that callers received with the targets' ledgers.

    :returns: counts of the results, for further checks by the test.
    """
    wrong = [r for r in results if r.verdict is Verdict.WRONG]
    assert not wrong, f"wrong or mixed answers: {wrong[:3]}"
    assert not fleet.list_violations(), "an adapter was evicted while it was in use"
    started = _list_started(fleet)
    for result in results:
        _check_executions(fleet, result, started)
    counts = Counter((result.verdict, result.code) for result in results)
    return CallTotals(counts, tuple(results))


def _describe(result: CallResult) -> str:
    call = result.call
    return (
        f"{call.kind.value} {call.marker} to {call.model or call.path}: "
        f"{result.verdict.value} {result.code}, status {result.status}, "
        f"{len(result.text)} of {len(call.expected)} characters, sent "
        f"{result.sends} times, {result.seconds:.2f} s, request "
        f"{find_header(result.headers, REQUEST_ID_HEADER)}"
    )


def _list_started(fleet: Fleet) -> set[str]:
    return {
        record.request
        for target in fleet.engines + fleet.plains
        for record in target.ledger
        if record.kind is RecordKind.STARTED
    }


def _check_executions(fleet: Fleet, result: CallResult, started: set[str]) -> None:
    if result.call.kind is CallKind.PLAIN:
        runs = fleet.count_executions(result.call.key)
        assert runs <= 1, f"executed {runs} times: {result}"
        if result.verdict is Verdict.WHOLE:
            assert runs == 1, f"response without an execution: {result}"
        # If the call was resent, an earlier send whose response was lost may have run
        if result.verdict is Verdict.NOT_RUN and result.sends == 1:
            assert runs == 0, f"reported as not run but executed: {result}"
    elif result.verdict is Verdict.NOT_RUN:
        request = find_header(result.headers, REQUEST_ID_HEADER)
        assert request, f"response without a request id: {result}"
        assert request not in started, f"reported as not run but started: {result}"
