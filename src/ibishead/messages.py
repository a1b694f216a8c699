"""Typed messages between the programs of the system.

Messages travel as CBOR arrays, tag first, fields in order; a new field goes last
and needs a default. Durations are seconds, sizes bytes, moments POSIX seconds.
"""

from enum import Enum
from typing import TypeAlias

import msgspec

from ibishead.errors import ErrorCode
from ibishead.ids import (
    AdapterName,
    ClassName,
    FailureDomain,
    Generation,
    HostId,
    IdempotencyKey,
    Incarnation,
    ReplicaId,
    RequestId,
    Revision,
    Sequence,
    ServiceName,
    TargetId,
    TeamId,
    Version,
)
from ibishead.routing.messages import (
    AskFence,
    AskRoutes,
    AskTurn,
    BeginUse,
    EndUse,
    EngineReport,
    FailuresTold,
    FenceAnswer,
    Floors,
    Members,
    PromptDelay,
    PromptRead,
    RateTold,
    RouteNotice,
    RoutesAnswer,
    SignsOfLife,
    Statements,
    SubscribeFeed,
    TurnAnswer,
    TurnNoted,
)

__all__ = [
    "Acknowledge",
    "AnswerBody",
    "AnswerEnd",
    "AnswerHead",
    "AskClaim",
    "AskHolders",
    "AskPermit",
    "AskRegistration",
    "Cancel",
    "ClaimAnswer",
    "ClaimState",
    "Dispatch",
    "DocumentRecord",
    "Hello",
    "Holders",
    "LoadReport",
    "Message",
    "NotRun",
    "Outcome",
    "PeerFrame",
    "PermitAnswer",
    "Ping",
    "Pong",
    "Publish",
    "Refusal",
    "Registration",
    "ReleasePermit",
    "ReportInForce",
    "ResolveClaim",
    "Resume",
    "Role",
    "Subscribe",
    "TargetKind",
    "TargetRecord",
]


class Role(Enum):
    """Which program speaks."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class TargetKind(Enum):
    """What an agent stands beside."""

    ENGINE = "engine"
    PLAIN = "plain"


class Outcome(Enum):
    """What is known of a request that has ended."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimState(Enum):
    """Where the claim of a non-idempotent request stands."""

    GRANTED = "granted"
    RUNNING = "running"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: immutable, compared by value."""


# Links -----------------------------------------------------------------------


class Hello(_Message, frozen=True):
    """First message each way on a link.

    :param incarnation: of an agent that is registered; 0 otherwise.
    """

    role: Role
    host: HostId
    incarnation: Incarnation = Incarnation(0)


class Ping(_Message, frozen=True):
    """Asks the peer's loop, not its kernel, for a sign of life."""

    number: int


class Pong(_Message, frozen=True):
    """Answers the ping of the same number."""

    number: int


# Entry and agent -------------------------------------------------------------


class Dispatch(_Message, frozen=True):
    """Asks an agent to run one attempt of a request.

    :param revision: of the service's document that the entry decided by.
    :param incarnation: of the agent this attempt is meant for, no other.
    :param deadline: seconds from arrival at the agent until it is worthless.
    :param headers: pairs of lower-case name and value, hop-by-hop ones removed.
    :param generation: of the claim, for non-idempotent requests; 0 otherwise.
    :param source: where the engine finds the adapter's weights.
    :param confirmed: the entry host held a live document lease when it decided.
    """

    request: RequestId
    attempt: int
    team: TeamId
    service: ServiceName
    adapter: AdapterName
    version: Version
    request_class: ClassName
    priority: int
    deadline: float
    idempotent: bool
    revision: Revision
    incarnation: Incarnation
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    generation: Generation = Generation(0)
    key: IdempotencyKey = IdempotencyKey("")
    source: str = ""
    confirmed: bool = True
    share: float = 1.0
    stall_weight: float = 0.5


class Cancel(_Message, frozen=True):
    """The caller left; the attempt may stop where the target can stop it."""

    request: RequestId
    attempt: int


class Acknowledge(_Message, frozen=True):
    """All frames before ``next_sequence`` have arrived and may be forgotten."""

    request: RequestId
    attempt: int
    next_sequence: Sequence


class Resume(_Message, frozen=True):
    """Asks on a new link for the frames from ``next_sequence`` on.

    An agent of that incarnation that never received the attempt tombstones it and
    answers `NotRun`, so that a dispatch delivered later is refused.
    """

    request: RequestId
    attempt: int
    next_sequence: Sequence
    incarnation: Incarnation


class AnswerHead(_Message, frozen=True):
    """Frame 0 of an answer.

    :param adapter: the adapter that serves, as the agent has verified it.
    :param stall: seconds that the request waited for its adapter.
    :param queued: seconds that it waited for its turn besides.
    """

    request: RequestId
    attempt: int
    sequence: Sequence
    status: int
    headers: tuple[tuple[str, str], ...]
    adapter: AdapterName
    version: Version
    target: TargetId
    queued: float = 0.0
    stall: float = 0.0


class AnswerBody(_Message, frozen=True):
    """One piece of the answer's body."""

    request: RequestId
    attempt: int
    sequence: Sequence
    data: bytes


class AnswerEnd(_Message, frozen=True):
    """Last frame of an attempt that was given to the target.

    :param outcome: `COMPLETED` for a whole answer, else `UNKNOWN`.
    """

    request: RequestId
    attempt: int
    sequence: Sequence
    outcome: Outcome
    code: ErrorCode | None = None
    reason: str = ""


class NotRun(_Message, frozen=True):
    """Proof that the attempt did not run and never will.

    :param document: a newer document of the service, when the entry's was old.
    """

    request: RequestId
    attempt: int
    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    document: "DocumentRecord | None" = None


class LoadReport(_Message, frozen=True):
    """An agent's load; rides behind answers and at every heartbeat.

    :param resident: digests (`placement.adapter_digest`) of adapters in slots.
    :param loading: digests of adapters on their way.
    :param seconds_per_request: measured mean time of one run.
    :param healthy: the target itself answers.
    :param seconds_per_load: measured mean time from wish to resident adapter.
    :param wishes: adapters that requests wait for and whose load hasn't begun.
    :param free_slots: slots that are empty or may be emptied now.
    :param coldest: aged uses of the adapter that would leave next, 0 for an empty slot.
    :param stalled: requests among the queued that wait for their adapter.
    """

    target: TargetId
    running: int
    queued: int
    slots: int
    batch: int
    resident: tuple[int, ...]
    loading: tuple[int, ...]
    seconds_per_request: float
    draining: bool = False
    healthy: bool = True
    seconds_per_load: float = 0.25
    wishes: int = 0
    free_slots: int = 1
    coldest: float = 0.0
    stalled: int = 0


# Programs and control --------------------------------------------------------


class DocumentRecord(_Message, frozen=True):
    """One accepted service document.

    :param text: the INI text as submitted.
    :param accepted_at: POSIX seconds by the leader's clock.
    """

    service: ServiceName
    team: TeamId
    revision: Revision
    text: str
    submission: str = ""
    operator: str = ""
    accepted_at: float = 0.0


class TargetRecord(_Message, frozen=True):
    """One registered target and how to reach its agent.

    :param fenced: whether the target itself refuses old fencing numbers.
    """

    target: TargetId
    incarnation: Incarnation
    service: ServiceName
    kind: TargetKind
    host: HostId
    failure_domain: FailureDomain
    address: str
    port: int
    fenced: bool = False
    draining: bool = False


class AskRegistration(_Message, frozen=True):
    """An agent announces its target.

    :param nonce: drawn by the agent at its start; a resend gets the same number.
    """

    nonce: str
    target: TargetId
    service: ServiceName
    kind: TargetKind
    host: HostId
    failure_domain: FailureDomain
    address: str
    port: int
    fenced: bool = False


class Registration(_Message, frozen=True):
    """Answer to `AskRegistration`."""

    nonce: str
    target: TargetId
    incarnation: Incarnation


class Subscribe(_Message, frozen=True):
    """Asks for everything after ``index`` and for changes as they are applied.

    :param index: last applied index of the control log that the asker holds.
    :param services: only these services, or all when empty.
    """

    host: HostId
    role: Role
    index: int = 0
    services: tuple[ServiceName, ...] = ()


class Publish(_Message, frozen=True):
    """A delta of documents and targets, and the lease it renews.

    :param index: log index that the holder stands at once it has applied this.
    :param whole: the delta is the full state and replaces what was held; a document
        of a lower revision is still never taken.
    :param lease: seconds for which the holder may act on its documents; 0 from a
        replica that has no lease of its own.
    :param gone: targets with the incarnation that ended.
    :param answers: number of the `ReportInForce` that this answers, 0 for none. The
        holder counts the lease from when it sent that report, so that a delay on
        the way can only shorten it.
    """

    index: int
    lease: float
    documents: tuple[DocumentRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    gone: tuple[tuple[TargetId, Incarnation], ...] = ()
    whole: bool = False
    answers: int = 0


class ReportInForce(_Message, frozen=True):
    """A holder has applied all up to ``index``; also asks to renew its lease.

    :param number: rises with each report, from 1.
    """

    host: HostId
    index: int
    number: int = 0


class AskClaim(_Message, frozen=True):
    """Asks for the right to run a non-idempotent request once.

    A claim is keyed by team, service and key; ``digest`` covers method, path and
    body, so that a key sent with another body is told apart.

    :param retention: seconds for which the outcome is kept.
    :param question: number of the ask on its sender's side; the answer, and a
        `Refusal`, repeat it. An ask that is sent again keeps its number.
    """

    request: RequestId
    team: TeamId
    service: ServiceName
    key: IdempotencyKey
    digest: str
    target: TargetId
    incarnation: Incarnation
    retention: float
    question: int = 0


class ClaimAnswer(_Message, frozen=True):
    """Where a claim stands after `AskClaim` or `ResolveClaim`.

    :param answer_status: of the recorded answer, when the claim has completed.
    :param question: of the ask.
    """

    request: RequestId
    team: TeamId
    service: ServiceName
    key: IdempotencyKey
    state: ClaimState
    holder: RequestId
    target: TargetId
    incarnation: Incarnation
    generation: Generation
    answer_status: int = 0
    answer_headers: tuple[tuple[str, str], ...] = ()
    answer_body: bytes = b""
    question: int = 0


class ResolveClaim(_Message, frozen=True):
    """Records how the attempt under a claim ended.

    :param question: as in `AskClaim`.
    """

    request: RequestId
    team: TeamId
    service: ServiceName
    key: IdempotencyKey
    generation: Generation
    outcome: Outcome
    answer_status: int = 0
    answer_headers: tuple[tuple[str, str], ...] = ()
    answer_body: bytes = b""
    question: int = 0


class AskPermit(_Message, frozen=True):
    """Asks for one load from the weight store.

    :param number: names the load within the agent's incarnation.
    :param urgency: harm of waiting, as `loading.urgency` computes it.
    """

    target: TargetId
    incarnation: Incarnation
    number: int
    urgency: float


class PermitAnswer(_Message, frozen=True):
    """Grants the load of that number for ``lifetime`` seconds from now."""

    target: TargetId
    incarnation: Incarnation
    number: int
    lifetime: float


class ReleasePermit(_Message, frozen=True):
    """The load of that number has ended, one way or the other."""

    target: TargetId
    incarnation: Incarnation
    number: int


class Refusal(_Message, frozen=True):
    """Control's answer to an ask that it can't serve now.

    :param subject: the request id, nonce or load number of the ask.
    :param leader: address of the leader where it is known.
    :param question: of the ask, 0 where it has none.
    """

    subject: str
    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    leader: ReplicaId = ReplicaId("")
    question: int = 0


# Control replicas among themselves ------------------------------------------


class AskHolders(_Message, frozen=True):
    """Asks another replica whether ``index`` is in force at all its holders."""

    index: int


class Holders(_Message, frozen=True):
    """Answer to `AskHolders`.

    :param applied: where the replica itself stands.
    :param waiting: holders under a live lease that haven't applied ``index``.
    """

    index: int
    applied: int
    waiting: tuple[HostId, ...] = ()


class PeerFrame(_Message, frozen=True):
    """A part of what one replica of the control log sends to another.

    :param cluster: of the sender; empty before it has joined one.
    :param receiver: the identity that is meant; empty for whoever runs there.
    :param part: position of this part, from 0.
    :param last: no more parts follow.
    """

    cluster: str
    sender: ReplicaId
    receiver: ReplicaId
    data: bytes
    part: int = 0
    last: bool = True


Message: TypeAlias = (
    Hello
    | Ping
    | Pong
    | Dispatch
    | Cancel
    | Acknowledge
    | Resume
    | AnswerHead
    | AnswerBody
    | AnswerEnd
    | NotRun
    | LoadReport
    | AskRegistration
    | Registration
    | Subscribe
    | Publish
    | ReportInForce
    | AskClaim
    | ClaimAnswer
    | ResolveClaim
    | AskPermit
    | PermitAnswer
    | ReleasePermit
    | Refusal
    | AskHolders
    | Holders
    | PeerFrame
    | SubscribeFeed
    | Members
    | Statements
    | SignsOfLife
    | RouteNotice
    | AskRoutes
    | RoutesAnswer
    | Floors
    | AskFence
    | FailuresTold
    | FenceAnswer
    | AskTurn
    | TurnNoted
    | TurnAnswer
    | BeginUse
    | EndUse
    | EngineReport
    | PromptDelay
    | PromptRead
    | RateTold
)
