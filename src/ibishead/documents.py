"""Service documents: one INI text for each service, checked whole.

The text that was submitted is what is stored and replicated; every program parses
it for itself with `parse_document`.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ibishead.ids import AdapterName, ClassName, ModelName, ServiceName, TeamId, Version
from ibishead.messages import TargetKind

__all__ = [
    "Adapter",
    "Caller",
    "DocumentFault",
    "RequestClass",
    "Route",
    "ServiceDocument",
    "Unconfirmed",
]


class Unconfirmed(Enum):
    """What an entry host does when it can't confirm that its document is current."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True)
class Adapter:
    """An adapter and the versions that may be asked for.

    :param default: the version meant when a caller names none.
    :param source: where the engine finds the weights; ``{version}`` is filled in.
    """

    name: AdapterName
    versions: tuple[Version, ...]
    default: Version
    source: str


@dataclass(frozen=True)
class RequestClass:
    """Requests that are treated alike.

    :param priority: 0 to 9, higher goes first.
    :param deadline: after which an answer is worthless.
    """

    name: ClassName
    priority: int
    deadline: timedelta
    idempotent: bool


@dataclass(frozen=True)
class Route:
    """Which calls of a plain service belong to which class.

    :param method: an HTTP method, or ``*``.
    :param path: a path prefix behind ``/services/NAME``.
    """

    method: str
    path: str
    request_class: ClassName


@dataclass(frozen=True)
class Caller:
    """A key that may call the service, kept as SHA-256.

    :param team: whose fair share the calls count against.
    :param share: weight of that share.
    """

    name: str
    team: TeamId
    key_sha256: str
    share: float = 1.0


@dataclass(frozen=True)
class DocumentFault:
    """One fault of a document, with where it is and what to do."""

    section: str
    option: str
    problem: str
    remedy: str


@dataclass(frozen=True)
class ServiceDocument:
    """A checked service document.

    :param stall_weight: 0 weighs batch efficiency only, 1 load stalls only.
    :param claim_retention: how long outcomes of non-idempotent requests are kept.
    :param operators: SHA-256 of keys that may submit the next revision.
    """

    service: ServiceName
    team: TeamId
    kind: TargetKind
    model: ModelName
    default_class: ClassName
    classes: dict[ClassName, RequestClass]
    adapters: dict[AdapterName, Adapter] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    callers: tuple[Caller, ...] = ()
    operators: tuple[str, ...] = ()
    stall_weight: float = 0.5
    claim_retention: timedelta = timedelta(hours=24)
    unconfirmed: Unconfirmed = Unconfirmed.REFUSE
