"""What must hold of every call, whatever failed meanwhile."""

from collections import Counter
from dataclasses import dataclass

from tests.processes.fleet import Fleet

from ibishead.headers import find_header
from ibishead.standin.calls import CallKind, Verdict
from ibishead.standin.ledger import RecordKind
from ibishead.standin.load import CallResult

__all__ = ["Tally", "check_promises"]

REQUEST_ID_HEADER = "x-ibishead-request"

#: Calls that a failed check shows one by one.
MOST_SHOWN = 10


@dataclass(frozen=True)
class Tally:
    """How the calls of one test ended.

    :param ends: counts by verdict and error code.
    """

    ends: Counter[tuple[Verdict, str]]
    results: tuple[CallResult, ...] = ()

    def keep(self, *allowed: Verdict) -> None:
        """Fail unless all calls ended in one of these ways."""
        others = [
            f"{count} {verdict.value} {code}"
            for (verdict, code), count in self.ends.items()
            if verdict not in allowed
        ]
        shown = [_describe(r) for r in self.results if r.verdict not in allowed]
        message = f"calls ended otherwise: {', '.join(others)}"
        assert not others, "\n".join([message, *shown[:MOST_SHOWN]])


def check_promises(fleet: Fleet, results: list[CallResult]) -> Tally:
    """Compare what callers were told with the targets' ledgers.

    :returns: the counts, for what a test expects besides.
    """
    wrong = [r for r in results if r.verdict is Verdict.WRONG]
    assert not wrong, f"wrong or mixed answers: {wrong[:3]}"
    assert not fleet.list_violations(), "an adapter was evicted while it served"
    started = _list_started(fleet)
    for result in results:
        _check_run(fleet, result, started)
    ends = Counter((result.verdict, result.code) for result in results)
    return Tally(ends, tuple(results))


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


def _check_run(fleet: Fleet, result: CallResult, started: set[str]) -> None:
    if result.call.kind is CallKind.PLAIN:
        runs = fleet.count_executions(result.call.key)
        assert runs <= 1, f"ran {runs} times: {result}"
        if result.verdict is Verdict.WHOLE:
            assert runs == 1, f"an answer without a run: {result}"
        # An earlier sending, whose answer was lost, may have run
        if result.verdict is Verdict.NOT_RUN and result.sends == 1:
            assert runs == 0, f"told as not run, and ran: {result}"
    elif result.verdict is Verdict.NOT_RUN:
        request = find_header(result.headers, REQUEST_ID_HEADER)
        assert request, f"no request id: {result}"
        assert request not in started, f"told as not run, and ran: {result}"
