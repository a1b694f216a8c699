"""Claims on non-idempotent requests, as replicated state.

A claim is the right to run one request once. It is granted to the first requester
and granted again only after its holder has proved that the attempt did not run. It
is stored with its outcome until its retention period ends.
"""

import msgspec

from ibishead.control.commands import Rejected
from ibishead.errors import ErrorCode
from ibishead.ids import (
    Generation,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
)
from ibishead.messages import AskClaim, ClaimAnswer, ClaimState, Outcome, ResolveClaim

__all__ = ["ClaimKey", "ClaimTable", "SavedClaims"]

#: Largest response body that is stored with its claim. Responses to commits and stock
#: issues are small; a claim with a larger one is completed without its body.
MAX_ANSWER_BYTES = 64 * 1024

#: Total size of the stored bodies; above it only outcomes are stored, so that a burst
#: of large responses can't exhaust the memory of every replica.
MAX_TOTAL_ANSWER_BYTES = 64 * 1024 * 1024

#: Claims expired by one step of the time, so that no log entry takes long to apply.
PURGE_LIMIT = 256

#: Longest step of the replicated time, whatever the leader measured. A jump would end
#: retention periods early, and requests could run a second time.
MAX_ADVANCE_SECONDS = 60.0

#: Longest retention period, whatever was requested.
MAX_RETENTION_SECONDS = 30 * 24 * 3600.0


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """Key of a claim: an idempotency key in the scope of a team and a service."""

    team: TeamId
    service: ServiceName
    key: IdempotencyKey


class _Claim(msgspec.Struct, array_like=True):
    key: ClaimKey
    digest: str
    holder: RequestId
    target: TargetId
    incarnation: Incarnation
    generation: Generation
    state: ClaimState
    retention: float
    expires: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class SavedClaims(msgspec.Struct, frozen=True, array_like=True):
    """The table's form in snapshots.

    :param time: replicated time in seconds.
    """

    time: float = 0.0
    claims: tuple[_Claim, ...] = ()


class ClaimTable:
    """Claims by key.

    Retention is measured in replicated time: the sum of the steps that leaders have
    measured while there were claims. A wall clock might jump.

    :param saved: the table of a snapshot, if there is one.
    """

    def __init__(self, saved: SavedClaims | None = None) -> None:
        saved = saved or SavedClaims()
        self._time = saved.time
        self._claims = {claim.key: claim for claim in saved.claims}
        self._stored_bytes = sum(len(claim.body) for claim in saved.claims)
        self._open: dict[tuple[TargetId, Incarnation], set[ClaimKey]] = {}
        for claim in saved.claims:
            if claim.state is ClaimState.GRANTED:
                self._add_open(claim)

    @property
    def time(self) -> float:
        """Replicated time in seconds."""
        return self._time

    def __len__(self) -> int:
        return len(self._claims)

    def save(self) -> SavedClaims:
        """Return the table in the form that a snapshot stores."""
        return SavedClaims(self._time, tuple(self._claims.values()))

    def find(self, key: ClaimKey) -> ClaimAnswer | None:
        """Return the state of a claim as reported to anyone but its holder."""
        claim = self._claims.get(key)
        return None if claim is None else _make_answer(claim, RequestId(""))

    def has_answer(self, request: AskClaim) -> bool:
        """Return whether `acquire` answers from the table, without a new grant."""
        claim = self._claims.get(ClaimKey(request.team, request.service, request.key))
        if claim is None:
            return False
        return claim.digest != request.digest or claim.state is not ClaimState.NOT_RUN

    def acquire(self, request: AskClaim) -> ClaimAnswer:
        """Grant the claim, or return its state when it is held or settled already.

        The caller has checked that the incarnation is live, unless `has_answer`.
        """
        key = ClaimKey(request.team, request.service, request.key)
        claim = self._claims.get(key)
        if claim is None:
            claim = self._grant(key, request, Generation(1))
        elif claim.digest != request.digest:
            answer = _make_answer(claim, RequestId(""))
            return msgspec.structs.replace(
                answer,
                request=request.request,
                state=ClaimState.KEY_REUSED,
                answer_status=0,
                answer_headers=(),
                answer_body=b"",
            )
        # Only a proof for the last generation sets this state. A claim that is running
        # or unknown is never granted again, as its request may run or have run.
        elif claim.state is ClaimState.NOT_RUN:
            claim = self._grant(key, request, Generation(claim.generation + 1))
        return _make_answer(claim, request.request)

    def settle(self, resolve: ResolveClaim) -> ClaimAnswer | Rejected:
        """Record the outcome that the holder of a generation reports.

        A report of another requester or generation changes nothing.
        """
        key = ClaimKey(resolve.team, resolve.service, resolve.key)
        claim = self._claims.get(key)
        if claim is None:
            return Rejected(
                ErrorCode.UNKNOWN_REQUEST,
                f"no claim is held under key {resolve.key}",
                "acquire the claim before sending the request",
            )
        # Failure: a holder's delayed report on an earlier generation arrives while a
        # later one runs. "Not run" applies to the earlier generation only.
        is_current = claim.generation == resolve.generation
        if is_current and claim.holder == resolve.request:
            self._record(claim, resolve)
        return _make_answer(claim, resolve.request)

    def end_incarnation(self, target: TargetId, incarnation: Incarnation) -> None:
        """Mark the granted claims of an ended incarnation as unknown."""
        for key in self._open.pop((target, incarnation), ()):
            claim = self._claims[key]
            claim.state = ClaimState.UNKNOWN
            self._set_expiry(claim)

    def advance(self, since: float, seconds: float) -> None:
        """Advance the time from ``since`` and process the expired claims.

        A granted claim becomes unknown for another retention period, others are
        deleted. A step that starts from another time, such as a repeated one, changes
        nothing.

        :param since: replicated time in seconds that the step was measured from.
        :param seconds: length of the step, cut to `MAX_ADVANCE_SECONDS`.
        """
        if self._time != since or not seconds > 0:
            return
        self._time += min(seconds, MAX_ADVANCE_SECONDS)
        for claim in self._list_expired():
            if claim.state is ClaimState.GRANTED:
                self._open[claim.target, claim.incarnation].discard(claim.key)
                claim.state = ClaimState.UNKNOWN
                self._set_expiry(claim)
            else:
                self._stored_bytes -= len(claim.body)
                del self._claims[claim.key]

    def _list_expired(self) -> list[_Claim]:
        expired: list[_Claim] = []
        for claim in self._claims.values():
            if claim.expires <= self._time:
                expired.append(claim)
                if len(expired) == PURGE_LIMIT:
                    break
        return expired

    def _grant(
        self, key: ClaimKey, request: AskClaim, generation: Generation
    ) -> _Claim:
        claim = _Claim(
            key,
            request.digest,
            request.request,
            request.target,
            request.incarnation,
            generation,
            ClaimState.GRANTED,
            min(max(request.retention, 0.0), MAX_RETENTION_SECONDS),
            0.0,
        )
        self._set_expiry(claim)
        self._claims[key] = claim
        self._add_open(claim)
        return claim

    def _record(self, claim: _Claim, resolve: ResolveClaim) -> None:
        match claim.state, resolve.outcome:
            # A complete response is proof that the request ran, even after the
            # incarnation was ended because it had been silent.
            case ((ClaimState.GRANTED | ClaimState.UNKNOWN), Outcome.COMPLETED):
                claim.state = ClaimState.COMPLETED
                self._store_answer(claim, resolve)
            case ClaimState.GRANTED, Outcome.NOT_RUN:
                claim.state = ClaimState.NOT_RUN
            case ClaimState.GRANTED, Outcome.UNKNOWN:
                claim.state = ClaimState.UNKNOWN
            case _:
                return
        open_claims = self._open.get((claim.target, claim.incarnation))
        if open_claims is not None:
            open_claims.discard(claim.key)
            if not open_claims:
                del self._open[claim.target, claim.incarnation]
        self._set_expiry(claim)

    def _store_answer(self, claim: _Claim, resolve: ResolveClaim) -> None:
        claim.status = resolve.answer_status
        claim.headers = resolve.answer_headers
        size = len(resolve.answer_body)
        if (
            size <= MAX_ANSWER_BYTES
            and self._stored_bytes + size <= MAX_TOTAL_ANSWER_BYTES
        ):
            claim.body = resolve.answer_body
            self._stored_bytes += size

    def _set_expiry(self, claim: _Claim) -> None:
        # The step that the leader is measuring now began before this moment
        claim.expires = self._time + MAX_ADVANCE_SECONDS + claim.retention

    def _add_open(self, claim: _Claim) -> None:
        self._open.setdefault((claim.target, claim.incarnation), set()).add(claim.key)


def _make_answer(claim: _Claim, requester: RequestId) -> ClaimAnswer:
    state = claim.state
    if state is ClaimState.GRANTED and requester != claim.holder:
        state = ClaimState.RUNNING
    return ClaimAnswer(
        requester,
        claim.key.team,
        claim.key.service,
        claim.key.key,
        state,
        claim.holder,
        claim.target,
        claim.incarnation,
        claim.generation,
        claim.status,
        claim.headers,
        claim.body,
    )
