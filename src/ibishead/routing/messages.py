"""Messages between gateways, stewards and registries.

They are encoded like those of `ibishead.messages`: as CBOR arrays, tag first.
"""

from enum import Enum

import msgspec

from ibishead.ids import (
    CustomerId,
    FailureDomain,
    HostId,
    PartKey,
    ReplicaId,
    RequestId,
    TargetId,
)
from ibishead.routing.prompts import PromptKeys
from ibishead.routing.targets import (
    AdapterRef,
    Holding,
    Registration,
    StreamOrigin,
    WeightKey,
)
from ibishead.routing.work import RequestWork

__all__ = [
    "AdapterFloor",
    "AskFence",
    "AskOrigin",
    "AskPartUses",
    "AskQuota",
    "AskRoutes",
    "AskServed",
    "AskTurn",
    "BeginUse",
    "BlockedPart",
    "BlockedParts",
    "EndUse",
    "EngineEnded",
    "EngineReport",
    "FailuresTold",
    "FenceAnswer",
    "Floors",
    "MemberKind",
    "MemberRecord",
    "Members",
    "OriginAnswer",
    "PartSound",
    "PartUsesAnswer",
    "PromptDelay",
    "PromptRead",
    "QuotaAnswer",
    "QuotaHandover",
    "QuotaKept",
    "QuotaVerdict",
    "RateTold",
    "RefusalsTold",
    "ReportedUse",
    "RouteNotice",
    "RoutesAnswer",
    "ServedAnswer",
    "SignsOfLife",
    "Statements",
    "StreamBegan",
    "SubscribeFeed",
    "SuspectRun",
    "TurnAnswer",
    "TurnNoted",
]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages: immutable and compared by value."""


class MemberKind(Enum):
    """Kind of program that a member of the system is."""

    GATEWAY = "gateway"
    STEWARD = "steward"
    REGISTRY = "registry"


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A program of the system, as it describes itself.

    :param address: IP address of its link server.
    :param port: port of its link server, 0 if it has none.
    :param operators: ``ADDRESS:PORT`` of a registry's HTTP server.
    :param replica: identity of the log replica on its disk; empty without a disk.
    :param target: ``ADDRESS:PORT`` of the engine that a steward manages.
    """

    host: HostId
    kind: MemberKind
    address: str
    port: int
    domain: FailureDomain
    operators: str = ""
    replica: ReplicaId = ReplicaId("")
    target: str = ""


class SubscribeFeed(_Message, frozen=True):
    """First message to a registry: the subscriber, and the state it already has.

    :param floors: log index of the last floor that it has received.
    """

    member: MemberRecord
    floors: int = 0


class Members(_Message, frozen=True):
    """Members that the registry has not yet sent over this link, new or changed."""

    members: tuple[MemberRecord, ...]


class Statements(_Message, frozen=True):
    """Registrations of targets that changed something."""

    registrations: tuple[Registration, ...]


class SignsOfLife(_Message, frozen=True):
    """Heartbeats of targets that repeated their last registration.

    :param targets: name, start (`Registration.born`) and sequence number of each.
    """

    targets: tuple[tuple[TargetId, int, int], ...]


class RouteNotice(_Message, frozen=True):
    """Announces the version of the route set in force at the sender."""

    version: int


class AskRoutes(_Message, frozen=True):
    """Requests the route set in force, whole or as a change.

    :param held: version that the sender has, 0 to request the whole set.
    """

    held: int = 0


class RoutesAnswer(_Message, frozen=True):
    """The route set in force, or the change to it from an older one.

    :param encoded: msgpack of a `ibishead.routing.routes.RouteSet`, or of a
        `ibishead.routing.changes.RouteChange` if there is a base; compressed by
        `ibishead.routing.changes.pack`. Empty if the receiver has this version.
    :param base: version that the change applies to, 0 for a whole set.
    """

    version: int
    encoded: bytes
    base: int = 0


class AdapterFloor(msgspec.Struct, frozen=True, array_like=True):
    """The minimum version of an adapter on which new requests may start.

    :param index: log index at which the floor was raised.
    """

    key: WeightKey
    version: int
    index: int


class Floors(_Message, frozen=True):
    """Floors that were raised, up to a log index."""

    floors: tuple[AdapterFloor, ...]
    index: int


class BlockedPart(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part that crashes engines.

    :param customers: customers whose requests with it are refused, ``None`` for
        everyone; the empty customer stands for anonymous callers.
    :param trials: number of trials so far.
    :param tester: gateway that may send one request with it in the last trial; empty
        before the first one.
    """

    part: PartKey
    customers: tuple[CustomerId, ...] | None
    trials: int = 0
    tester: HostId = HostId("")


class BlockedParts(_Message, frozen=True):
    """All blocked prompt parts.

    :param index: log index of the last change to them.
    """

    index: int
    parts: tuple[BlockedPart, ...]


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A request that had written for a short time or not at all when its engine ended.

    :param age: seconds since it was sent to the engine.
    """

    keys: PromptKeys
    age: float


class EngineEnded(_Message, frozen=True):
    """An engine has ended without having announced it, sent by its steward or agent.

    :param born: distinguishes the starts of the engine.
    :param age: seconds since it ended.
    :param sound: parts of the suspects' prompts on which answers were written at this
        engine, with the seconds since the last one.
    """

    target: TargetId
    born: int
    age: float
    suspects: tuple[SuspectRun, ...]
    sound: tuple[tuple[PartKey, float], ...] = ()


class AskPartUses(_Message, frozen=True):
    """Asks a gateway how requests with some prompt parts have fared.

    :param number: identifies the question; the answer repeats it.
    """

    number: int
    parts: tuple[PartKey, ...]


class ReportedUse(msgspec.Struct, frozen=True, array_like=True):
    """How requests with one prompt part have fared at a gateway.

    :param count: number of requests.
    :param sound_age: seconds since an answer was last written on it, for long enough or
        to its end; ``None`` if none was.
    """

    count: int
    sound_age: float | None = None


class PartUsesAnswer(_Message, frozen=True):
    """Answer to `AskPartUses`.

    :param uses: one for each part, in their order.
    """

    number: int
    uses: tuple[ReportedUse, ...]


class PartSound(_Message, frozen=True):
    """An answer was written on a prompt part that is blocked."""

    part: PartKey


class AskFence(_Message, frozen=True):
    """Requests a fencing number higher than all earlier ones.

    :param number: identifies the request; the answer repeats it.
    """

    number: int


class FenceAnswer(_Message, frozen=True):
    """Answer to `AskFence`.

    :param fence: the fencing number, 0 if none could be allocated.
    """

    number: int
    fence: int


class QuotaKept(_Message, frozen=True):
    """The sender keeps the accounts of all quotas, until another registry does.

    :param term: rises each time that another registry takes over.
    """

    term: int


class QuotaHandover(_Message, frozen=True):
    """The sender has stopped keeping the accounts, for whoever directly follows it.

    :param term: term in which it kept them.
    :param balances: units left to each customer.
    """

    term: int
    balances: dict[CustomerId, float]


class AskQuota(_Message, frozen=True):
    """Asks to charge requests to their customers' quotas.

    :param number: identifies the message; the answer repeats it.
    :param term: term in which the receiver announced that it keeps the accounts.
    :param demands: customer and cost of each request.
    :param returned: customer and cost of requests that were charged in this term and
        have not run.
    """

    number: int
    term: int
    demands: tuple[tuple[CustomerId, float], ...]
    returned: tuple[tuple[CustomerId, float], ...] = ()


class QuotaVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Whether one request is within its customer's quota.

    :param wait: seconds until the quota admits it, if it was refused.
    :param balance: units left to the customer, ``None`` if it has no quota.
    """

    granted: bool
    wait: float = 0.0
    balance: float | None = None


class QuotaAnswer(_Message, frozen=True):
    """Answer to `AskQuota`.

    :param verdicts: one for each demand, in their order; ``None`` if the sender doesn't
        keep the accounts in that term, or isn't certain that it still does.
    """

    number: int
    verdicts: tuple[QuotaVerdict, ...] | None


class AskTurn(_Message, frozen=True):
    """Asks a steward for permission to send a request to its engine.

    The steward grants it once the adapter is loaded and the engine can accept the
    prompt.

    :param number: identifies the request; the answers repeat it.
    :param key: the adapter, or the model alone.
    :param version: minimum version on which the request may start.
    :param wait: seconds that the request can still wait.
    :param tokens: length of the prompt.
    :param due: seconds until its answer should begin, negative if it is late.
    :param keys: the parts of its prompt, if it names any.
    :param work: what it is expected to cost.
    """

    number: int
    key: WeightKey
    version: int
    wait: float
    tokens: int = 0
    due: float = 0.0
    keys: PromptKeys | None = None
    work: RequestWork = RequestWork()


class TurnNoted(_Message, frozen=True):
    """The request of an `AskTurn` is queued; a `TurnAnswer` follows."""

    number: int


class TurnAnswer(_Message, frozen=True):
    """Answer to `AskTurn`.

    :param granted: whether the request may be sent now. If so, its adapter is in use
        until `EndUse`.
    """

    number: int
    granted: bool


class BeginUse(_Message, frozen=True):
    """A request is being sent to the engine without an `AskTurn` before it.

    :param tokens: length of the prompt.
    :param number: identifies the request, like that of an `AskTurn`.
    :param keys: the parts of its prompt, if it names any.
    :param work: what it is expected to cost.
    """

    key: WeightKey
    tokens: int = 0
    number: int = 0
    keys: PromptKeys | None = None
    work: RequestWork = RequestWork()


class EndUse(_Message, frozen=True):
    """A request that began with `BeginUse` or a granted `AskTurn` has ended.

    :param pause: longest pause in its answer in seconds, 0 if there was none.
    :param failed: whether the engine failed; none if the request ended for reasons
        other than the engine's answer or failure.
    :param number: number of the request, 0 if it has none.
    :param tokens: length of the answer in tokens as far as it was received, 0 if
        unknown.
    :param seconds: from the first to the last event of the answer.
    """

    key: WeightKey
    pause: float = 0.0
    failed: bool | None = None
    number: int = 0
    tokens: int = 0
    seconds: float = 0.0


class StreamBegan(_Message, frozen=True):
    """A stream that its caller may resume at any gateway has begun.

    :param stream: request that brings the first event.
    :param lifetime: seconds for which the stream can be resumed.
    """

    stream: RequestId
    origin: StreamOrigin
    lifetime: float


class AskOrigin(_Message, frozen=True):
    """Asks what began a stream.

    :param number: identifies the question; the answer repeats it.
    """

    number: int
    stream: RequestId


class OriginAnswer(_Message, frozen=True):
    """Answer to `AskOrigin`.

    :param origin: ``None`` if the sender doesn't know it.
    """

    number: int
    origin: StreamOrigin | None


class AskServed(_Message, frozen=True):
    """Asks a registry which origins the replicated log has recorded.

    :param number: identifies the question; the answer repeats it.
    """

    number: int


class ServedAnswer(_Message, frozen=True):
    """Answer to `AskServed`.

    :param origins: all that were recorded when the question arrived, and whose streams
        may still be resumed; ``None`` if no quorum confirmed them.
    """

    number: int
    origins: tuple[StreamOrigin, ...] | None


class FailuresTold(_Message, frozen=True):
    """Failure rate of an engine, sent by its steward to all gateways.

    :param share: share of failures among its last answers, 0 to 1.
    """

    target: TargetId
    share: float


class RateTold(_Message, frozen=True):
    """The rate limit that an engine stated in an answer.

    :param rate: requests per second from all gateways together; none for no limit.
    """

    target: TargetId
    rate: float | None


class RefusalsTold(_Message, frozen=True):
    """An engine refuses requests and has asked a gateway for rest.

    :param seconds: length of the rest.
    """

    target: TargetId
    seconds: float


class PromptRead(_Message, frozen=True):
    """An engine has processed the prompt of a request.

    :param tokens: length of the prompt.
    :param seconds: time from the send to the first event, 0 if there was no event.
    :param number: number of the request, 0 if it has none.
    :param slowdown: slowdown of the engine's host that the answer reported, 0 if it
        reported none.
    """

    tokens: int
    seconds: float
    number: int = 0
    slowdown: float = 0.0


class PromptDelay(_Message, frozen=True):
    """Expected queueing delay of a prompt that arrives at an engine's steward now."""

    target: TargetId
    seconds: float


class EngineReport(_Message, frozen=True):
    """State of an engine as its steward observed it.

    :param born: start of the engine, in milliseconds since 1970.
    :param holdings: the loaded models and adapters.
    :param loading: adapters that are being loaded.
    :param running: requests in the engine's batch.
    :param queued: requests in the engine's queue.
    :param cache_used: tokens in the key-value cache that cannot be evicted.
    :param cache_total: capacity of the key-value cache in tokens.
    :param free_slots: adapter slots that are empty or hold an adapter not in use.
    :param awaited: adapters that requests wait for and whose load has not started.
    :param read_rate: prompt tokens that the engine processes per second, 0 if unknown.
    :param model_wait: seconds until a model is loaded, for an engine that has none.
    :param step_time: seconds for one token of each running answer, 0 if unknown.
    :param slowdown: how much longer work takes on the engine's host at this moment,
        1 as usual.
    :param prompt_backlog: prompt tokens of all gateways that the engine has to read.
    :param answer_backlog: answer tokens that its requests are expected to need still.
    :param memory_expected: tokens of memory that its requests are expected to need.
    :param usual_slowdown: slowdown that the engine's host usually has.
    """

    target: TargetId
    born: int
    holdings: tuple[Holding, ...]
    loading: tuple[tuple[WeightKey, AdapterRef], ...] = ()
    running: int = 0
    queued: int = 0
    cache_used: int = 0
    cache_total: int = 0
    free_slots: int = 0
    awaited: tuple[WeightKey, ...] = ()
    read_rate: float = 0.0
    model_wait: float = 0.0
    step_time: float = 0.0
    slowdown: float = 1.0
    prompt_backlog: int = 0
    answer_backlog: int = 0
    memory_expected: int = 0
    usual_slowdown: float = 1.0
