"""Typed messages that the programs exchange over links.

A message is encoded as a CBOR array: the class name as tag, then the fields in order.
To stay compatible, add new fields at the end and give them a default. Durations are in
seconds, sizes in bytes and points in time in POSIX seconds.
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
    AskOrigin,
    AskPartUses,
    AskQuota,
    AskRoutes,
    AskServed,
    AskTurn,
    BeginUse,
    BlockedParts,
    EndUse,
    EngineEnded,
    EngineReport,
    FailuresTold,
    FenceAnswer,
    Floors,
    Members,
    OriginAnswer,
    PartSound,
    PartUsesAnswer,
    PromptDelay,
    PromptRead,
    QuotaAnswer,
    QuotaHandover,
    QuotaKept,
    RateTold,
    RefusalsTold,
    RouteNotice,
    RoutesAnswer,
    ServedAnswer,
    SignsOfLife,
    Statements,
    StreamBegan,
    SubscribeFeed,
    TurnAnswer,
    TurnNoted,
)
from ibishead.routing.prompts import PromptKeys

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
    """The kind of program at one end of a link."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class TargetKind(Enum):
    """The kind of target that an agent serves."""

    ENGINE = "engine"
    PLAIN = "plain"


class Outcome(Enum):
    """What is known about the execution of a request that has ended."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimState(Enum):
    """State of the claim of a non-idempotent request."""

    GRANTED = "granted"
    RUNNING = "running"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages: immutable, compared by value."""


# Links -----------------------------------------------------------------------


class Hello(_Message, frozen=True):
    """First message in each direction on a link.

    :param incarnation: incarnation of a registered agent, 0 for any other sender.
    """

    role: Role
    host: HostId
    incarnation: Incarnation = Incarnation(0)


class Ping(_Message, frozen=True):
    """Heartbeat, answered by the peer's event loop rather than by its kernel."""

    number: int


class Pong(_Message, frozen=True):
    """Answer to the `Ping` with the same number."""

    number: int


# Entry and agent -------------------------------------------------------------


class Dispatch(_Message, frozen=True):
    """Asks an agent to run one attempt of a request.

    :param deadline: seconds from arrival at the agent until the answer has no use.
    :param revision: revision of the service document that the entry host applied.
    :param incarnation: the only agent incarnation that may run this attempt.
    :param headers: pairs of lower-case name and value, without hop-by-hop headers.
    :param generation: generation of the claim, 0 for idempotent requests.
    :param key: idempotency key, empty where the request has none.
    :param source: location from which the engine loads the adapter's weights.
    :param confirmed: whether the entry host held a valid document lease when it
        dispatched the attempt.
    :param keys: the messages of its prompt, if it has several.
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
    keys: PromptKeys | None = None


class Cancel(_Message, frozen=True):
    """The caller has disconnected; stop the attempt if the target allows it."""

    request: RequestId
    attempt: int


class Acknowledge(_Message, frozen=True):
    """All frames before ``next_sequence`` have arrived and can be discarded."""

    request: RequestId
    attempt: int
    next_sequence: Sequence


class Resume(_Message, frozen=True):
    """Asks over a new link for the frames from ``next_sequence`` on.

    If the agent has this incarnation and never received the attempt, it records a
    tombstone and answers `NotRun`, so that a dispatch delivered later is refused.
    """

    request: RequestId
    attempt: int
    next_sequence: Sequence
    incarnation: Incarnation


class AnswerHead(_Message, frozen=True):
    """Frame 0 of an answer.

    :param adapter: the adapter that serves the request, as verified by the agent.
    :param queued: seconds that the request waited in the queue, without ``stall``.
    :param stall: seconds that the request waited for its adapter to be loaded.
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
    """One chunk of the answer's body."""

    request: RequestId
    attempt: int
    sequence: Sequence
    data: bytes


class AnswerEnd(_Message, frozen=True):
    """Last frame of an attempt that was sent to the target.

    :param outcome: `COMPLETED` for a complete answer, `UNKNOWN` otherwise.
    """

    request: RequestId
    attempt: int
    sequence: Sequence
    outcome: Outcome
    code: ErrorCode | None = None
    reason: str = ""


class NotRun(_Message, frozen=True):
    """Guarantee that the attempt has not run and never will.

    :param retry_after: seconds after which the request may be sent again.
    :param document: a newer document of the service, if that of the entry host is
        out of date.
    """

    request: RequestId
    attempt: int
    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    document: "DocumentRecord | None" = None


class LoadReport(_Message, frozen=True):
    """An agent's load, sent after answers and with every heartbeat.

    :param resident: digests (`placement.adapter_digest`) of adapters in slots.
    :param loading: digests of adapters that are being loaded.
    :param seconds_per_request: measured mean execution time of a request.
    :param healthy: whether the target itself answers.
    :param seconds_per_load: measured mean time from the request for an adapter until
        it is resident.
    :param pending_loads: number of adapters that requests wait for and whose load has
        not begun.
    :param free_slots: slots that are empty or can be evicted now.
    :param coldest_reuse: decayed use count of the next adapter to be evicted, 0 if a
        slot is empty.
    :param stalled: queued requests that wait for their adapter.
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
    pending_loads: int = 0
    free_slots: int = 1
    coldest_reuse: float = 0.0
    stalled: int = 0


# Programs and control --------------------------------------------------------


class DocumentRecord(_Message, frozen=True):
    """An accepted service document.

    :param text: INI text as submitted.
    :param accepted_at: time of acceptance in POSIX seconds by the leader's clock.
    """

    service: ServiceName
    team: TeamId
    revision: Revision
    text: str
    submission: str = ""
    operator: str = ""
    accepted_at: float = 0.0


class TargetRecord(_Message, frozen=True):
    """A registered target and the address of its agent.

    :param fenced: whether the target itself refuses outdated fencing numbers.
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
    """Asks for the registration of an agent's target.

    :param nonce: random value that the agent draws at start; a resend with the same
        nonce gets the same incarnation.
    :param fenced: whether the target itself refuses outdated fencing numbers.
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
    """Asks for all changes after ``index``, and for later ones as they are applied.

    :param index: index of the control log up to which the subscriber has applied all.
    :param services: services to subscribe to, all if empty.
    """

    host: HostId
    role: Role
    index: int = 0
    services: tuple[ServiceName, ...] = ()


class Publish(_Message, frozen=True):
    """Changed documents and targets, and a renewal of the subscriber's lease.

    :param index: log index of the subscriber once it has applied this message.
    :param lease: seconds for which the subscriber may act on its documents; 0 from a
        replica that has no lease of its own.
    :param removed_targets: targets that were removed, each with the incarnation that
        has ended.
    :param full_state: whether the message holds the full state, which replaces that of
        the subscriber; a document of a lower revision is ignored even then.
    :param answered_report: number of the `ReportInForce` that this answers, 0 for none.
        The lease is counted from the time that report was sent, so that a delay in
        transit can only shorten it.
    """

    index: int
    lease: float
    documents: tuple[DocumentRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    removed_targets: tuple[tuple[TargetId, Incarnation], ...] = ()
    full_state: bool = False
    answered_report: int = 0


class ReportInForce(_Message, frozen=True):
    """Reports that all up to ``index`` is applied, and asks to renew the lease.

    :param number: sequence number of the report, counted from 1.
    """

    host: HostId
    index: int
    number: int = 0


class AskClaim(_Message, frozen=True):
    """Asks for the exclusive right to run a non-idempotent request once.

    A claim is identified by team, service and idempotency key. ``digest`` covers
    method, path and body, so that reuse of a key for another request is detected.

    :param retention: seconds for which the outcome is stored.
    :param question: correlation number chosen by the sender; the answer or `Refusal`
        repeats it, and a resend keeps it.
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
    """State of a claim after `AskClaim` or `ResolveClaim`.

    :param holder: request that holds the claim.
    :param answer_status: HTTP status of the recorded answer, if the claim has
        completed.
    :param question: correlation number of the message that this answers.
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
    """Records the outcome of the attempt that ran under a claim.

    :param generation: generation under which the claim was granted.
    :param question: correlation number, as in `AskClaim`.
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
    """Asks for a permit for one load from the weight store.

    :param number: identifies the load within the agent's incarnation.
    :param urgency: cost of delaying the load, as `loading.urgency` computes it.
    """

    target: TargetId
    incarnation: Incarnation
    number: int
    urgency: float


class PermitAnswer(_Message, frozen=True):
    """Grants the load of that number a permit for ``lifetime`` seconds."""

    target: TargetId
    incarnation: Incarnation
    number: int
    lifetime: float


class ReleasePermit(_Message, frozen=True):
    """Returns the permit of a load that has succeeded or failed."""

    target: TargetId
    incarnation: Incarnation
    number: int


class Refusal(_Message, frozen=True):
    """Answer of a control replica that cannot serve a message now.

    :param subject: request id, nonce or load number of the refused message.
    :param retry_after: seconds after which the message may be sent again.
    :param leader: the leader's replica id, empty if it is unknown.
    :param question: correlation number of the refused message, 0 if it has none.
    """

    subject: str
    code: ErrorCode
    reason: str
    retry_after: float = 0.0
    leader: ReplicaId = ReplicaId("")
    question: int = 0


# Between control replicas ----------------------------------------------------


class AskHolders(_Message, frozen=True):
    """Asks a replica whether all its subscribers have applied ``index``."""

    index: int


class Holders(_Message, frozen=True):
    """Answer to `AskHolders`.

    :param applied: index that the replica itself has applied.
    :param waiting: subscribers with a valid lease that have not applied ``index``.
    """

    index: int
    applied: int
    waiting: tuple[HostId, ...] = ()


class PeerFrame(_Message, frozen=True):
    """One part of a message between replicas of the control log.

    :param cluster: cluster id of the sender, empty before it has joined a cluster.
    :param receiver: id of the addressed replica; if empty, any replica that listens
        at the address accepts the message.
    :param part: position of this part in the message, counted from 0.
    :param last: whether this is the last part.
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
    | AskOrigin
    | OriginAnswer
    | StreamBegan
    | AskServed
    | ServedAnswer
    | FailuresTold
    | FenceAnswer
    | AskTurn
    | TurnNoted
    | TurnAnswer
    | AskQuota
    | QuotaAnswer
    | QuotaHandover
    | QuotaKept
    | BeginUse
    | EndUse
    | EngineEnded
    | AskPartUses
    | PartUsesAnswer
    | PartSound
    | BlockedParts
    | EngineReport
    | PromptDelay
    | PromptRead
    | RateTold
    | RefusalsTold
)
