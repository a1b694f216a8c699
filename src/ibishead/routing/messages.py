"""Messages between gateways, stewards and the registry.

They travel as those of `ibishead.messages` do: CBOR arrays, tag first.
"""

from enum import Enum

import msgspec

from ibishead.ids import FailureDomain, HostId, ReplicaId, TargetId
from ibishead.routing.targets import AdapterRef, Holding, Registration, WeightKey

__all__ = [
    "AdapterFloor",
    "AskFence",
    "AskRoutes",
    "AskTurn",
    "BeginUse",
    "EndUse",
    "EngineReport",
    "FailuresTold",
    "FenceAnswer",
    "Floors",
    "MemberKind",
    "MemberRecord",
    "Members",
    "PromptDelay",
    "PromptRead",
    "RateTold",
    "RouteNotice",
    "RoutesAnswer",
    "SignsOfLife",
    "Statements",
    "SubscribeFeed",
    "TurnAnswer",
    "TurnNoted",
]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: immutable, compared by value."""


class MemberKind(Enum):
    """Which program a member of the system is."""

    GATEWAY = "gateway"
    STEWARD = "steward"
    REGISTRY = "registry"


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A program of the system, as it describes itself.

    :param address: IP number where its link server listens.
    :param port: 0 where it has none.
    :param operators: ``ADDRESS:PORT`` of a registry's own HTTP server.
    :param replica: identity of the log replica on its disk, empty without a disk.
    :param target: ``ADDRESS:PORT`` of the engine beside a steward.
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
    """First message to a registry: who subscribes, and what it knows already.

    :param floors: index of the last floor of an adapter version that it has.
    """

    member: MemberRecord
    floors: int = 0


class Members(_Message, frozen=True):
    """Programs that the registry knows of and hasn't told over this link yet."""

    members: tuple[MemberRecord, ...]


class Statements(_Message, frozen=True):
    """Statements of targets that changed something."""

    registrations: tuple[Registration, ...]


class SignsOfLife(_Message, frozen=True):
    """Targets that repeated their last statement: name, start and sequence."""

    targets: tuple[tuple[TargetId, int, int], ...]


class RouteNotice(_Message, frozen=True):
    """The version of the route set in force at the sender."""

    version: int


class AskRoutes(_Message, frozen=True):
    """Asks for the route set in force.

    :param held: version that the sender has, 0 for none.
    """

    held: int = 0


class RoutesAnswer(_Message, frozen=True):
    """The route set in force, or what has changed since an older one.

    :param encoded: packed msgpack of `ibishead.routing.routes.RouteSet`, or of
        `ibishead.routing.changes.RouteChange` where there is a base.
    :param base: version that the change applies to, 0 for a whole set.
    """

    version: int
    encoded: bytes
    base: int = 0


class AdapterFloor(msgspec.Struct, frozen=True, array_like=True):
    """The oldest version of an adapter that a request may begin on."""

    key: WeightKey
    version: int
    index: int


class Floors(_Message, frozen=True):
    """Floors that were raised, up to a position of the log."""

    floors: tuple[AdapterFloor, ...]
    index: int


class AskFence(_Message, frozen=True):
    """Asks for a fencing number above all that were given before."""

    number: int


class FenceAnswer(_Message, frozen=True):
    """A fencing number; 0 where none could be had."""

    number: int
    fence: int


class AskTurn(_Message, frozen=True):
    """Asks a steward when a request may be sent to its engine.

    That is when the adapter is in place and the engine can take the prompt.

    :param key: the adapter, or the model alone.
    :param version: the oldest that the request may begin on.
    :param wait: seconds that the request can still wait.
    :param tokens: length of the prompt.
    :param due: seconds until its answer should begin, below 0 if it is late.
    """

    number: int
    key: WeightKey
    version: int
    wait: float
    tokens: int = 0
    due: float = 0.0


class TurnNoted(_Message, frozen=True):
    """The request has to wait; `TurnAnswer` follows."""

    number: int


class TurnAnswer(_Message, frozen=True):
    """Whether the request may be sent now; if so, its adapter is in use."""

    number: int
    given: bool


class BeginUse(_Message, frozen=True):
    """A request is being sent to the engine without having asked for a turn."""

    key: WeightKey
    tokens: int = 0


class EndUse(_Message, frozen=True):
    """A request that `BeginUse` or a given turn began is over.

    :param pause: seconds of the longest pause in its answer; 0 where it had none.
    :param failed: the engine failed; none where the request ended for other reasons.
    """

    key: WeightKey
    pause: float = 0.0
    failed: bool | None = None


class FailuresTold(_Message, frozen=True):
    """The share of failures among an engine's last answers, to all gateways."""

    target: TargetId
    share: float


class RateTold(_Message, frozen=True):
    """What an engine's answer names as its limit.

    :param rate: requests a second from all gateways together; none for no limit.
    """

    target: TargetId
    rate: float | None


class PromptRead(_Message, frozen=True):
    """An engine has read a prompt that it was sent.

    :param tokens: length of the prompt.
    :param seconds: from the send to the first event; 0 where none came.
    """

    tokens: int
    seconds: float


class PromptDelay(_Message, frozen=True):
    """How long a prompt that comes now would wait for its turn, in seconds."""

    target: TargetId
    seconds: float


class EngineReport(_Message, frozen=True):
    """What the steward read from its engine.

    :param born: start of the engine's life, milliseconds since 1970.
    :param coming: adapters on their way to the engine.
    :param cache_used: tokens in use that can't yield.
    :param free_slots: adapter slots that are empty or hold what nobody uses.
    :param wished: adapters that are waited for and not on their way yet.
    :param read_rate: prompt tokens that the engine reads in a second, 0 if not known.
    :param model_wait: seconds until it holds a model, where it holds none.
    """

    target: TargetId
    born: int
    holdings: tuple[Holding, ...]
    coming: tuple[tuple[WeightKey, AdapterRef], ...] = ()
    running: int = 0
    queued: int = 0
    cache_used: int = 0
    cache_total: int = 0
    free_slots: int = 0
    wished: tuple[WeightKey, ...] = ()
    read_rate: float = 0.0
    model_wait: float = 0.0
