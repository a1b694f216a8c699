"""Claims of non-idempotent requests, as replicated state.

A claim is the right to run one request once. It is granted to the first asker,
granted anew only on the holder's proof that the attempt did not run, and kept with
its outcome until its retention ends.
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

#: Largest answer in bytes that is recorded with its claim. Answers of commits and
#: stock issues are small; a larger one is recorded as completed, without its body.
MAX_ANSWER = 64 * 1024

#: Bytes of recorded answers altogether; above it only outcomes are recorded, so
#: that a burst of large answers can't exhaust every replica's memory.
MAX_ANSWERS = 64 * 1024 * 1024

#: Claims purged in one step, so that no log entry takes long to apply.
PURGE_LIMIT = 256

#: Seconds that the time moves at most in one step, whatever the leader measured: a
#: leap would end retentions at once, and requests could run again.
MAX_ADVANCE = 60.0

#: Seconds of retention at most, whatever was asked for.
MAX_RETENTION = 30 * 24 * 3600.0


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """What a claim is kept under; two teams may use the same key."""

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
    """The table as a snapshot holds it."""

    time: float = 0.0
    claims: tuple[_Claim, ...] = ()


class ClaimTable:
    """Claims by key.

    Its time is counted in seconds that leaders have measured while claims were
    held, not taken from a wall clock, which may leap.

    :param saved: of a snapshot.
    """

    def __init__(self, saved: SavedClaims | None = None) -> None:
        saved = saved or SavedClaims()
        self._time = saved.time
        self._claims = {claim.key: claim for claim in saved.claims}
        self._stored = sum(len(claim.body) for claim in saved.claims)
        self._open: dict[tuple[TargetId, Incarnation], set[ClaimKey]] = {}
        for claim in saved.claims:
            if claim.state is ClaimState.GRANTED:
                self._index(claim)

    @property
    def time(self) -> float:
        """Seconds counted so far."""
        return self._time

    def __len__(self) -> int:
        return len(self._claims)

    def save(self) -> SavedClaims:
        """Return the table for a snapshot."""
        return SavedClaims(self._time, tuple(self._claims.values()))

    def find(self, key: ClaimKey) -> ClaimAnswer | None:
        """Return where a claim stands, as someone other than its holder sees it."""
        claim = self._claims.get(key)
        return None if claim is None else _describe(claim, RequestId(""))

    def holds(self, ask: AskClaim) -> bool:
        """Return whether the ask will be answered from what is held already."""
        claim = self._claims.get(ClaimKey(ask.team, ask.service, ask.key))
        if claim is None:
            return False
        return claim.digest != ask.digest or claim.state is not ClaimState.NOT_RUN

    def ask(self, ask: AskClaim) -> ClaimAnswer:
        """Grant the claim, or tell where it stands.

        The incarnation asked for must be live.
        """
        key = ClaimKey(ask.team, ask.service, ask.key)
        claim = self._claims.get(key)
        if claim is None:
            claim = self._grant(key, ask, Generation(1))
        elif claim.digest != ask.digest:
            answer = _describe(claim, RequestId(""))
            return msgspec.structs.replace(
                answer,
                request=ask.request,
                state=ClaimState.KEY_REUSED,
                answer_status=0,
                answer_headers=(),
                answer_body=b"",
            )
        # Only a proof for the last generation leads here: a claim that is running
        # or unknown is never granted anew, as the request may run or have run.
        elif claim.state is ClaimState.NOT_RUN:
            claim = self._grant(key, ask, Generation(claim.generation + 1))
        return _describe(claim, ask.request)

    def settle(self, resolve: ResolveClaim) -> ClaimAnswer | Rejected:
        """Record an outcome that the holder of that generation reports."""
        key = ClaimKey(resolve.team, resolve.service, resolve.key)
        claim = self._claims.get(key)
        if claim is None:
            return Rejected(
                ErrorCode.UNKNOWN_REQUEST,
                f"no claim is held under key {resolve.key}",
                "ask for the claim before the request is sent",
            )
        # Failure: a holder's report on an earlier generation, delayed on its way,
        # comes while a later one runs. "Not run" is true of the earlier one only.
        holds = claim.generation == resolve.generation
        if holds and claim.holder == resolve.request:
            self._record(claim, resolve)
        return _describe(claim, resolve.request)

    def end(self, target: TargetId, incarnation: Incarnation) -> None:
        """Mark as unknown what an incarnation held when it ended."""
        for key in self._open.pop((target, incarnation), ()):
            claim = self._claims[key]
            claim.state = ClaimState.UNKNOWN
            self._retain(claim)

    def advance(self, since: float, seconds: float) -> None:
        """Move the time on from ``since`` and purge what has expired.

        A repeated step, which finds the time moved already, changes nothing.
        """
        if self._time != since or not seconds > 0:
            return
        self._time += min(seconds, MAX_ADVANCE)
        for claim in self._list_expired():
            if claim.state is ClaimState.GRANTED:
                self._open[claim.target, claim.incarnation].discard(claim.key)
                claim.state = ClaimState.UNKNOWN
                self._retain(claim)
            else:
                self._stored -= len(claim.body)
                del self._claims[claim.key]

    def _list_expired(self) -> list[_Claim]:
        expired: list[_Claim] = []
        for claim in self._claims.values():
            if claim.expires <= self._time:
                expired.append(claim)
                if len(expired) == PURGE_LIMIT:
                    break
        return expired

    def _grant(self, key: ClaimKey, ask: AskClaim, generation: Generation) -> _Claim:
        claim = _Claim(
            key,
            ask.digest,
            ask.request,
            ask.target,
            ask.incarnation,
            generation,
            ClaimState.GRANTED,
            min(max(ask.retention, 0.0), MAX_RETENTION),
            0.0,
        )
        self._retain(claim)
        self._claims[key] = claim
        self._index(claim)
        return claim

    def _record(self, claim: _Claim, resolve: ResolveClaim) -> None:
        match claim.state, resolve.outcome:
            # An answer that was seen whole is proof, even after the incarnation
            # was given up for silent.
            case ((ClaimState.GRANTED | ClaimState.UNKNOWN), Outcome.COMPLETED):
                claim.state = ClaimState.COMPLETED
                self._store(claim, resolve)
            case ClaimState.GRANTED, Outcome.NOT_RUN:
                claim.state = ClaimState.NOT_RUN
            case ClaimState.GRANTED, Outcome.UNKNOWN:
                claim.state = ClaimState.UNKNOWN
            case _:
                return
        held = self._open.get((claim.target, claim.incarnation))
        if held is not None:
            held.discard(claim.key)
            if not held:
                del self._open[claim.target, claim.incarnation]
        self._retain(claim)

    def _store(self, claim: _Claim, resolve: ResolveClaim) -> None:
        claim.status = resolve.answer_status
        claim.headers = resolve.answer_headers
        size = len(resolve.answer_body)
        if size <= MAX_ANSWER and self._stored + size <= MAX_ANSWERS:
            claim.body = resolve.answer_body
            self._stored += size

    def _retain(self, claim: _Claim) -> None:
        # The step that is being measured now began before the claim did
        claim.expires = self._time + MAX_ADVANCE + claim.retention

    def _index(self, claim: _Claim) -> None:
        self._open.setdefault((claim.target, claim.incarnation), set()).add(claim.key)


def _describe(claim: _Claim, asker: RequestId) -> ClaimAnswer:
    state = claim.state
    if state is ClaimState.GRANTED and asker != claim.holder:
        state = ClaimState.RUNNING
    return ClaimAnswer(
        asker,
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
