"""Service documents: one INI text for each service, with full validation.

The submitted text is stored and replicated unchanged; every program parses it with
`parse_document`.
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
    "UnconfirmedPolicy",
    "check_document",
    "parse_document",
]

#: Largest document; room for tens of thousands of adapters with sections of their own.
MAX_DOCUMENT_CHARACTERS = 4 * 1024 * 1024

#: Largest weight of a caller in fair sharing.
MAX_SHARE = 1000.0

#: Highest priority of a request class.
MAX_PRIORITY = 9

_SECTION_GROUPS = ("adapter", "class", "route", "caller", "operator")
_HTTP_METHODS = frozenset(
    {"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
_MODEL_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,199}")
_BRACES_PATTERN = re.compile(r"\{[^{}]*\}|[{}]")
_PLACEHOLDERS = frozenset({"{adapter}", "{version}"})


class UnconfirmedPolicy(Enum):
    """What an entry host does when it can't confirm that its document is current.

    :ivar REFUSE: refuse requests.
    :ivar SERVE: serve them nevertheless.
    """

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True)
class Adapter:
    """An adapter and the versions of it that callers may request.

    :param default: the version to use if a request specifies none.
    :param source: the location from which the engine loads the weights, with
        ``{version}`` as a placeholder.
    """

    name: AdapterName
    versions: tuple[Version, ...]
    default: Version
    source: str


@dataclass(frozen=True)
class RequestClass:
    """A class of requests that share priority, deadline and idempotency.

    :param priority: 0 to 9; higher values are served first.
    :param deadline: the time after which the caller has no more use for an answer.
    :param idempotent: whether a request may be run more than once.
    """

    name: ClassName
    priority: int
    deadline: timedelta
    idempotent: bool


@dataclass(frozen=True)
class Route:
    """Assigns calls of a plain service to a request class.

    :param method: an HTTP method, or ``*`` for any.
    :param path: a prefix of the path after ``/services/NAME``.
    """

    method: str
    path: str
    request_class: ClassName


@dataclass(frozen=True)
class Caller:
    """An API key that may call the service, stored as its SHA-256 digest.

    :param team: the team whose fair share the calls are charged to.
    :param share: the weight of that share.
    """

    name: str
    team: TeamId
    key_sha256: str
    share: float = 1.0


@dataclass(frozen=True)
class ServiceDocument:
    """A validated service document.

    :param stall_weight: the weight of load stalls against batch efficiency, from 0 to
        1; 0 considers batch efficiency only, 1 load stalls only.
    :param claim_retention: how long outcomes of non-idempotent requests are stored.
    :param operators: SHA-256 digests of the keys that may submit the next revision.
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
    unconfirmed: UnconfirmedPolicy = UnconfirmedPolicy.REFUSE


def parse_document(text: str) -> ServiceDocument:
    """Return the service document parsed from an INI text.

    :raises InvalidInput: the document is invalid; the code is `DOCUMENT_INVALID` and
        the message lists all faults.
    """
    document, faults = check_document(text)
    if document is None:
        raise InvalidInput(
            f"the document has {len(faults)} fault(s):\n{describe_faults(faults)}",
            "correct them and run ibishead check FILE",
            code=ErrorCode.DOCUMENT_INVALID,
        )
    return document


def check_document(
    text: str,
) -> tuple[ServiceDocument | None, tuple[DocumentFault, ...]]:
    """Return the document and no faults, or none and all faults that were found."""
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        fault = DocumentFault(
            "",
            "",
            f"longer than {MAX_DOCUMENT_CHARACTERS} characters",
            "use [adapters] lines",
        )
        return None, (fault,)
    ini = IniFile(text)
    if not ini.section_names and ini.faults:
        return None, tuple(ini.faults)
    document = _read_service(ini)
    ini.report_unknown_sections(_SECTION_GROUPS)
    if ini.faults:
        return None, tuple(ini.faults)
    return document, ()


def _read_service(ini: IniFile) -> ServiceDocument:
    section = ini.open_section("service", required=True)
    kind = section.read_required("kind", parse_choice(TargetKind), TargetKind.ENGINE)
    classes = _read_classes(ini)
    document = ServiceDocument(
        service=ServiceName(section.read_required("name", parse_name, "")),
        team=TeamId(section.read_required("team", parse_name, "")),
        kind=kind,
        model=_read_model(section, kind),
        default_class=ClassName(section.read_required("default_class", parse_name, "")),
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
            "unconfirmed", parse_choice(UnconfirmedPolicy), UnconfirmedPolicy.REFUSE
        ),
    )
    section.report_unknown_options()
    if document.default_class and document.default_class not in classes:
        _add_unknown_class_fault(section, "default_class", document.default_class)
    _check_retention(section, document)
    return document


def _read_model(section: IniSection, kind: TargetKind) -> ModelName:
    match kind:
        case TargetKind.ENGINE:
            return ModelName(section.read_required("model", _parse_model, ""))
        case TargetKind.PLAIN:
            if "model" in section.options:
                section.add_fault(
                    "model", "a plain service has no model", "remove this option"
                )
            return ModelName(section.read("model", parse_text, ""))


def _check_retention(section: IniSection, document: ServiceDocument) -> None:
    # If a claim expired while its request may still run, a retry could run it again
    longest_deadline = max(
        (c.deadline for c in document.classes.values() if not c.idempotent),
        default=timedelta(),
    )
    if document.claim_retention < longest_deadline:
        section.add_fault(
            "claim_retention",
            "shorter than the deadline of a class that is not idempotent",
            f"set at least {longest_deadline.total_seconds():g} s",
        )


def _read_classes(ini: IniFile) -> dict[ClassName, RequestClass]:
    classes = {}
    for name, section in ini.open_group("class"):
        classes[ClassName(name)] = RequestClass(
            name=ClassName(name),
            priority=section.read_required(
                "priority", parse_integer(0, MAX_PRIORITY), 0
            ),
            deadline=section.read_required(
                "deadline", parse_duration, timedelta(seconds=1)
            ),
            idempotent=section.read_required("idempotent", parse_boolean, True),
        )
        section.report_unknown_options()
    return classes


def _read_adapters(
    ini: IniFile, service: IniSection, kind: TargetKind
) -> dict[AdapterName, Adapter]:
    template = service.read("adapter_source", _parse_source, "")
    adapters: dict[AdapterName, Adapter] = {}
    list_section = ini.open_section("adapters")
    for name, versions in list_section.read_all(_parse_versions).items():
        if not template:
            list_section.add_fault(
                name, "has no source", "add adapter_source to [service]"
            )
        adapters[AdapterName(name)] = _make_adapter(name, versions, "", template)
    for name, section in ini.open_group("adapter"):
        if name in adapters:
            section.add_fault("", "also listed in [adapters]", "keep one of them")
        adapters[AdapterName(name)] = _read_adapter(name, section, template)
        section.report_unknown_options()
    if adapters and kind is TargetKind.PLAIN:
        service.add_fault(
            "kind", "a plain service has no adapters", "remove the adapters"
        )
    return adapters


def _read_adapter(name: str, section: IniSection, template: str) -> Adapter:
    versions: tuple[str, ...] = ()
    versions = section.read_required("versions", _parse_versions, versions)
    default = section.read("default", parse_name, "")
    if default and versions and default not in versions:
        section.add_fault(
            "default", "not among the versions", "use one of the versions"
        )
    source = section.read("source", _parse_source, template)
    if not source:
        section.add_fault(
            "source", "missing", "add source, or adapter_source to [service]"
        )
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
            path=section.read_required("path", _parse_path, "/"),
            request_class=ClassName(section.read_required("class", parse_name, "")),
        )
        section.report_unknown_options()
        if kind is TargetKind.ENGINE:
            section.add_fault(
                "", "only plain services have routes", "remove the section"
            )
        if route.request_class and route.request_class not in classes:
            _add_unknown_class_fault(section, "class", route.request_class)
        routes.append(route)
    return tuple(routes)


def _read_callers(ini: IniFile) -> tuple[Caller, ...]:
    callers: dict[str, Caller] = {}
    for name, section in ini.open_group("caller"):
        caller = Caller(
            name=name,
            team=TeamId(section.read_required("team", parse_name, "")),
            key_sha256=section.read_required("key_sha256", parse_digest, ""),
            share=section.read("share", parse_number(0.001, MAX_SHARE), 1.0),
        )
        section.report_unknown_options()
        _check_key(section, caller.key_sha256, callers)
        callers[caller.key_sha256] = caller
    return tuple(callers.values())


def _read_operators(ini: IniFile) -> tuple[str, ...]:
    keys: dict[str, str] = {}
    for name, section in ini.open_group("operator"):
        key = section.read_required("key_sha256", parse_digest, "")
        section.report_unknown_options()
        _check_key(section, key, keys)
        keys[key] = name
    return tuple(keys)


def _check_key(section: IniSection, key: str, seen: dict[str, Any]) -> None:
    if key and key in seen:
        section.add_fault(
            "key_sha256", "also used in another section", "use a separate key for each"
        )


def _add_unknown_class_fault(section: IniSection, option: str, name: str) -> None:
    section.add_fault(
        option, f"no section [class:{name}]", "add it or use another class"
    )


# Cached because thousands of adapters share a few lists of versions
@functools.lru_cache(maxsize=1024)
def _parse_versions(text: str) -> tuple[str, ...]:
    return parse_list(parse_name)(text)


def _parse_model(text: str) -> str:
    if _MODEL_NAME_PATTERN.fullmatch(text) is None:
        raise InvalidInput("not a valid model name", "use letters, digits and ._/:-")
    return text


def _parse_source(text: str) -> str:
    unknown = set(_BRACES_PATTERN.findall(parse_text(text))) - _PLACEHOLDERS
    if unknown:
        raise InvalidInput(
            "unknown placeholder in braces", "use only {adapter} and {version}"
        )
    return text


def _parse_method(text: str) -> str:
    if text not in _HTTP_METHODS:
        raise InvalidInput(
            "not a valid method", f"write one of: {', '.join(sorted(_HTTP_METHODS))}"
        )
    return text


def _parse_path(text: str) -> str:
    if not text.startswith("/") or not text.isascii() or not text.isprintable():
        raise InvalidInput("not a valid path", "write an ASCII path that starts with /")
    return text
