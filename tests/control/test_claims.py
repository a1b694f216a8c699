"""A claim is granted once; its recorded outcome is only replaced by a stronger one."""

import pytest

from ibishead.control.claims import (
    MAX_ADVANCE_SECONDS,
    MAX_ANSWER_BYTES,
    PURGE_LIMIT,
    ClaimKey,
    ClaimTable,
)
from ibishead.control.commands import (
    AdvanceTime,
    Rejected,
    RetireTarget,
)
from ibishead.errors import ErrorCode
from ibishead.ids import Incarnation, TargetId
from ibishead.messages import ClaimAnswer, ClaimState, Outcome

from .support import (
    HALO,
    RAKTAR,
    Log,
    make_claim,
    make_registration,
    make_settlement,
)


def start_log() -> Log:
    """Return a log whose target t1 has incarnation 1."""
    log = Log()
    log.apply(make_registration("n1"))
    return log


def request_claim(log: Log, request: str, **changes) -> ClaimAnswer:
    answer = log.apply(make_claim(request, changes.pop("incarnation", 1), **changes))
    assert isinstance(answer, ClaimAnswer), answer
    return answer


def test_concurrent_requesters_get_one_grant():
    """A caller retries through another entry host while the first attempt still runs.

    A second grant would run the request twice.
    """
    log = start_log()
    assert request_claim(log, "r1").state is ClaimState.GRANTED
    other = request_claim(log, "r2")
    assert (other.state, other.holder) == (ClaimState.RUNNING, "r1")
    again = request_claim(log, "r1")
    assert (again.state, again.generation) == (ClaimState.GRANTED, 1)


@pytest.mark.parametrize(
    ("changes", "state"),
    [
        ({"digest": "other"}, ClaimState.KEY_REUSED),
        ({"team": "tisza"}, ClaimState.GRANTED),
        ({"key": "k2"}, ClaimState.GRANTED),
    ],
)
def test_claim_key_and_digest(changes, state):
    log = start_log()
    request_claim(log, "r1")
    log.apply(make_settlement("r1", Outcome.COMPLETED))
    answer = request_claim(log, "r2", **changes)
    assert answer.state is state
    assert answer.answer_body == b""


@pytest.mark.parametrize(
    ("outcomes", "state", "generation"),
    [
        ([Outcome.COMPLETED], ClaimState.COMPLETED, 1),
        ([Outcome.NOT_RUN], ClaimState.GRANTED, 2),
        ([Outcome.UNKNOWN], ClaimState.UNKNOWN, 1),
        ([Outcome.UNKNOWN, Outcome.COMPLETED], ClaimState.COMPLETED, 1),
        ([Outcome.UNKNOWN, Outcome.NOT_RUN], ClaimState.UNKNOWN, 1),
        ([Outcome.COMPLETED, Outcome.NOT_RUN], ClaimState.COMPLETED, 1),
        ([Outcome.COMPLETED, Outcome.UNKNOWN], ClaimState.COMPLETED, 1),
    ],
)
def test_next_requester_by_outcome(outcomes, state, generation):
    log = start_log()
    request_claim(log, "r1")
    for outcome in outcomes:
        log.apply(make_settlement("r1", outcome))
    log.restart()
    answer = request_claim(log, "r2")
    assert (answer.state, answer.generation) == (state, generation)
    if state is ClaimState.COMPLETED:
        assert (answer.answer_status, answer.answer_body) == (200, b"issued")


def test_delayed_proof_of_earlier_generation():
    """The proof that attempt 1 did not run arrives again while attempt 2 runs.

    Applied to attempt 2, it would let the request run twice.
    """
    log = start_log()
    request_claim(log, "r1")
    log.apply(make_settlement("r1", Outcome.NOT_RUN))
    assert request_claim(log, "r1").generation == 2
    log.apply(make_settlement("r1", Outcome.NOT_RUN, generation=1))
    assert request_claim(log, "r2").state is ClaimState.RUNNING


def test_outcome_reported_by_non_holder():
    log = start_log()
    request_claim(log, "r1")
    log.apply(make_settlement("r2", Outcome.NOT_RUN))
    assert request_claim(log, "r2").state is ClaimState.RUNNING


@pytest.mark.parametrize("end", ["retire", "register"])
@pytest.mark.parametrize("restart", [False, True])
def test_claim_of_lost_target_becomes_unknown(end, restart):
    """A target is lost while a stock issue runs on it, and the caller retries.

    The stock issue may have been executed, so the claim must not be granted again.
    """
    log = start_log()
    request_claim(log, "r1")
    if restart:
        log.restart()
    attachment = log.state.targets.members[TargetId("t1")].attachment
    match end:
        case "retire":
            log.apply(RetireTarget(TargetId("t1"), Incarnation(1), attachment))
        case "register":
            log.apply(make_registration("n2"))
    answer = log.apply(make_claim("r2", log.index))
    assert isinstance(answer, ClaimAnswer)
    assert answer.state is ClaimState.UNKNOWN


def test_claim_for_ended_incarnation_is_rejected():
    log = start_log()
    log.apply(make_registration("n2"))
    answer = log.apply(make_claim("r1", 1))
    assert isinstance(answer, Rejected)
    assert answer.code is ErrorCode.STALE_INCARNATION


def test_large_answer_is_stored_without_body():
    log = start_log()
    request_claim(log, "r1")
    log.apply(
        make_settlement("r1", Outcome.COMPLETED, body=b"x" * (MAX_ANSWER_BYTES + 1))
    )
    answer = request_claim(log, "r2")
    assert (answer.state, answer.answer_body) == (ClaimState.COMPLETED, b"")


def advance(log: Log, seconds: float) -> AdvanceTime:
    step = AdvanceTime(log.state.claims.time, seconds)
    log.apply(step)
    return step


def test_expired_claims_are_purged_in_bounded_steps():
    log = start_log()
    for number in range(PURGE_LIMIT + 5):
        request_claim(log, f"r{number}", key=f"k{number}", retention=30.0)
        log.apply(make_settlement(f"r{number}", Outcome.COMPLETED, key=f"k{number}"))
    advance(log, MAX_ADVANCE_SECONDS)
    advance(log, 29.0)
    assert len(log.state.claims) == PURGE_LIMIT + 5
    advance(log, 2.0)
    assert len(log.state.claims) == 5
    advance(log, 1.0)
    assert len(log.state.claims) == 0


def test_jump_of_leader_clock_is_bounded():
    """A leader measures a step of a year after a freeze, and sends a step again.

    Either would end retention periods early, and requests could run again.
    """
    log = start_log()
    request_claim(log, "r1", retention=1000.0)
    log.apply(make_settlement("r1", Outcome.COMPLETED))
    jump = advance(log, 365 * 24 * 3600.0)
    for _ in range(100):
        log.apply(jump)
    assert log.state.claims.time == MAX_ADVANCE_SECONDS
    assert request_claim(log, "r2").state is ClaimState.COMPLETED


def test_unresolved_claim_becomes_unknown_before_deletion():
    log = start_log()
    request_claim(log, "r1", retention=30.0)
    advance(log, MAX_ADVANCE_SECONDS)
    advance(log, 31.0)
    assert request_claim(log, "r2").state is ClaimState.UNKNOWN


def test_snapshot_round_trip():
    log = start_log()
    for number, outcome in enumerate(Outcome):
        request_claim(log, f"r{number}", key=f"k{number}")
        log.apply(make_settlement(f"r{number}", outcome, key=f"k{number}"))
    request_claim(log, "open", key="open")
    saved = log.state.claims.save()
    assert ClaimTable(saved).save() == saved
    log.restart()
    assert log.state.claims.save() == saved
    found = log.state.claims.find(ClaimKey(HALO, RAKTAR, "open"))
    assert found is not None
    assert found.state is ClaimState.RUNNING
