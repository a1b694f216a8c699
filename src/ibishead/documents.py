"""Service documents: one INI text for each service, checked whole.

The text that was submitted is what is stored and replicated; every program parses
it for itself with `parse_document`.
"""

import functools
import re
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Any

from ibishead.errors import ErrorCode, InvalidInput
from ibishead.ids import AdapterName, ClassName, ModelName, ServiceName, TeamId, Version
from ibishead.inifile import Fault as DocumentFault
from ibishead.inifile import (
    IniFile,
    IniSection,
    describe_faults,
    parse_boolean,
    parse_choice,
    parse_digest,
    parse_duration,
    parse_integer,
    parse_list,
    parse_name,
    parse_number,
    parse_text,
)
from ibishead.messages import TargetKind

__all__ = [
    "Adapter",
    "Caller",
    "DocumentFault",
    "RequestClass",
    "Route",
    "ServiceDocument",
    "Unconfirmed",
    "check_document",
    "parse_document",
]

#: Largest document in characters: tens of thousands of adapters with own sections.
MAX_DOCUMENT = 4 * 1024 * 1024

#: Largest weight of a caller's share.
MAX_SHARE = 1000.0

#: Highest priority of a class.
MAX_PRIORITY = 9

_GROUPS = ("adapter", "class", "route", "caller", "operator")
_METHODS = frozenset({"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_MODEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,199}")
_BRACES = re.compile(r"\{[^{}]*\}|[{}]")
_PLACEHOLDERS = frozenset({"{adapter}", "{version}"})


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


def parse_document(text: str) -> ServiceDocument:
    """Return the document that an INI text holds.

    :raises InvalidInput: with `DOCUMENT_INVALID`, all faults in the message.
    """
    document, faults = check_document(text)
    if document is None:
        raise InvalidInput(
            f"the document has {len(faults)} fault(s):\n{describe_faults(faults)}",
            "mend them and run ibishead check FILE",
            code=ErrorCode.DOCUMENT_INVALID,
        )
    return document


def check_document(
    text: str,
) -> tuple[ServiceDocument | None, tuple[DocumentFault, ...]]:
    """Return the document, or none and every fault that was found."""
    if len(text) > MAX_DOCUMENT:
        fault = DocumentFault(
            "", "", f"longer than {MAX_DOCUMENT} characters", "use [adapters] lines"
        )
        return None, (fault,)
    ini = IniFile(text)
    if not ini.names and ini.faults:
        return None, tuple(ini.faults)
    document = _read_service(ini)
    ini.refuse_others(_GROUPS)
    if ini.faults:
        return None, tuple(ini.faults)
    return document, ()


def _read_service(ini: IniFile) -> ServiceDocument:
    section = ini.open_section("service", required=True)
    kind = section.need("kind", parse_choice(TargetKind), TargetKind.ENGINE)
    classes = _read_classes(ini)
    document = ServiceDocument(
        service=ServiceName(section.need("name", parse_name, "")),
        team=TeamId(section.need("team", parse_name, "")),
        kind=kind,
        model=_read_model(section, kind),
        default_class=ClassName(section.need("default_class", parse_name, "")),
        classes=classes,
        adapters=_read_adapters(ini, section, kind),
        routes=_read_routes(ini, kind, classes),
        callers=_read_callers(ini),
        operators=_read_operators(ini),
        stall_weight=section.read("stall_weight", parse_number(0.0, 1.0), 0.5),
        claim_retention=section.read(
            "claim_retention", parse_duration, timedelta(hours=24)
        ),
        unconfirmed=section.read(
            "unconfirmed", parse_choice(Unconfirmed), Unconfirmed.REFUSE
        ),
    )
    section.refuse_others()
    if document.default_class and document.default_class not in classes:
        _blame_class(section, "default_class", document.default_class)
    _check_retention(section, document)
    return document


def _read_model(section: IniSection, kind: TargetKind) -> ModelName:
    match kind:
        case TargetKind.ENGINE:
            return ModelName(section.need("model", _parse_model, ""))
        case TargetKind.PLAIN:
            if "model" in section.options:
                section.blame("model", "a plain service has no model", "remove it")
            return ModelName(section.read("model", parse_text, ""))


def _check_retention(section: IniSection, document: ServiceDocument) -> None:
    # A claim forgotten while its request may still run lets a resend run it twice
    longest = max(
        (c.deadline for c in document.classes.values() if not c.idempotent),
        default=timedelta(),
    )
    if document.claim_retention < longest:
        section.blame(
            "claim_retention",
            "shorter than the deadline of a class that is not idempotent",
            f"keep claims for {longest.total_seconds():g} s at least",
        )


def _read_classes(ini: IniFile) -> dict[ClassName, RequestClass]:
    classes = {}
    for name, section in ini.open_group("class"):
        classes[ClassName(name)] = RequestClass(
            name=ClassName(name),
            priority=section.need("priority", parse_integer(0, MAX_PRIORITY), 0),
            deadline=section.need("deadline", parse_duration, timedelta(seconds=1)),
            idempotent=section.need("idempotent", parse_boolean, True),
        )
        section.refuse_others()
    return classes


def _read_adapters(
    ini: IniFile, service: IniSection, kind: TargetKind
) -> dict[AdapterName, Adapter]:
    template = service.read("adapter_source", _parse_source, "")
    adapters: dict[AdapterName, Adapter] = {}
    compact = ini.open_section("adapters")
    for name, versions in compact.read_all(_parse_versions).items():
        if not template:
            compact.blame(name, "no source", "add adapter_source to [service]")
        adapters[AdapterName(name)] = _make_adapter(name, versions, "", template)
    for name, section in ini.open_group("adapter"):
        if name in adapters:
            section.blame("", "also stands in [adapters]", "keep one of them")
        adapters[AdapterName(name)] = _read_adapter(name, section, template)
        section.refuse_others()
    if adapters and kind is TargetKind.PLAIN:
        service.blame("kind", "a plain service has no adapters", "remove them")
    return adapters


def _read_adapter(name: str, section: IniSection, template: str) -> Adapter:
    versions: tuple[str, ...] = ()
    versions = section.need("versions", _parse_versions, versions)
    default = section.read("default", parse_name, "")
    if default and versions and default not in versions:
        section.blame("default", "not among the versions", "name one of versions")
    source = section.read("source", _parse_source, template)
    if not source:
        section.blame("source", "missing", "add source, or adapter_source to [service]")
    return _make_adapter(name, versions, default, source)


def _make_adapter(
    name: str, versions: tuple[str, ...], default: str, source: str
) -> Adapter:
    return Adapter(
        name=AdapterName(name),
        versions=tuple(map(Version, versions)),
        default=Version(default or (versions[-1] if versions else "")),
        source=source.replace("{adapter}", name),
    )


def _read_routes(
    ini: IniFile, kind: TargetKind, classes: dict[ClassName, RequestClass]
) -> tuple[Route, ...]:
    routes = []
    for _, section in ini.open_group("route"):
        route = Route(
            method=section.read("method", _parse_method, "*"),
            path=section.need("path", _parse_path, "/"),
            request_class=ClassName(section.need("class", parse_name, "")),
        )
        section.refuse_others()
        if kind is TargetKind.ENGINE:
            section.blame("", "only plain services have routes", "remove the section")
        if route.request_class and route.request_class not in classes:
            _blame_class(section, "class", route.request_class)
        routes.append(route)
    return tuple(routes)


def _read_callers(ini: IniFile) -> tuple[Caller, ...]:
    callers: dict[str, Caller] = {}
    for name, section in ini.open_group("caller"):
        caller = Caller(
            name=name,
            team=TeamId(section.need("team", parse_name, "")),
            key_sha256=section.need("key_sha256", parse_digest, ""),
            share=section.read("share", parse_number(0.001, MAX_SHARE), 1.0),
        )
        section.refuse_others()
        _check_key(section, caller.key_sha256, callers)
        callers[caller.key_sha256] = caller
    return tuple(callers.values())


def _read_operators(ini: IniFile) -> tuple[str, ...]:
    keys: dict[str, str] = {}
    for name, section in ini.open_group("operator"):
        key = section.need("key_sha256", parse_digest, "")
        section.refuse_others()
        _check_key(section, key, keys)
        keys[key] = name
    return tuple(keys)


def _check_key(section: IniSection, key: str, held: dict[str, Any]) -> None:
    if key and key in held:
        section.blame("key_sha256", "the key of another section", "give each its own")


def _blame_class(section: IniSection, option: str, name: str) -> None:
    section.blame(option, f"no section [class:{name}]", "add it or name another class")


# Thousands of adapters share a few lists of versions
@functools.lru_cache(maxsize=1024)
def _parse_versions(text: str) -> tuple[str, ...]:
    return parse_list(parse_name)(text)


def _parse_model(text: str) -> str:
    if _MODEL.fullmatch(text) is None:
        raise InvalidInput("no model's name", "use letters, digits and ._/:-")
    return text


def _parse_source(text: str) -> str:
    unknown = set(_BRACES.findall(parse_text(text))) - _PLACEHOLDERS
    if unknown:
        raise InvalidInput(
            "unknown placeholder in braces", "use only {adapter} and {version}"
        )
    return text


def _parse_method(text: str) -> str:
    if text not in _METHODS:
        raise InvalidInput("no method", f"write one of: {', '.join(sorted(_METHODS))}")
    return text


def _parse_path(text: str) -> str:
    if not text.startswith("/") or not text.isascii() or not text.isprintable():
        raise InvalidInput("no path", "write a path that starts with /")
    return text
