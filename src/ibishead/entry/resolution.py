"""Resolution of a call by its service document: adapter, version, class and team."""

import hashlib
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ibishead.catalog import Catalog, HeldDocument
from ibishead.documents import Adapter, RequestClass, ServiceDocument
from ibishead.entry.call import Call
from ibishead.entry.routing import choose_class
from ibishead.errors import (
    ErrorCode,
    InvalidInput,
    NotFound,
    Unauthorized,
    Unavailable,
)
from ibishead.ids import ServiceName, TeamId, Version
from ibishead.keys import find_caller, require_caller
from ibishead.messages import TargetKind

__all__ = ["ResolvedCall", "list_models", "resolve", "resolve_confirmed"]

#: Time after which a caller may retry at a host without a valid lease. Where a quorum
#: is reachable, a host gets a lease within one or two seconds.
UNCONFIRMED_RETRY_AFTER = timedelta(seconds=2)


@dataclass(frozen=True)
class ResolvedCall:
    """A call with everything that its service document decides.

    :param team: the team whose fair share the call counts against.
    :param share: that team's share in the document.
    :param source: location of the adapter's weights, or empty.
    :param body: as sent to the target, with the engine's model name.
    :param digest: SHA-256 over method, path, adapter and body, by which the reuse of an
        idempotency key for a different request is detected.
    """

    call: Call
    held: HeldDocument
    team: TeamId
    share: float
    version: Version
    source: str
    request_class: RequestClass
    body: bytes
    digest: str

    @property
    def document(self) -> ServiceDocument:
        """The service document by which the call was resolved."""
        return self.held.document


def resolve_confirmed(call: Call, catalog: Catalog, current: bool) -> ResolvedCall:
    """Resolve a call, and reject it only by documents that are confirmed.

    :param current: whether a valid lease confirms this host's documents.
    :raises Unavailable: unconfirmed documents reject the call.
    :raises IbisheadError: as `resolve`.
    """
    try:
        return resolve(call, catalog)
    except (NotFound, Unauthorized) as error:
        if current:
            raise
        # A host that is cut off or has just started may lack the document with the
        # service, adapter or key. A permanent error would keep the caller from
        # retrying, although other hosts serve the call.
        raise Unavailable(
            f"no control quorum confirms this host's documents, by which "
            f"{error.message}",
            "retry after the given time",
            code=ErrorCode.NO_QUORUM,
            retry_after=UNCONFIRMED_RETRY_AFTER,
        ) from error


def resolve(call: Call, catalog: Catalog) -> ResolvedCall:
    """Resolve a call by the newest document of its service.

    :raises NotFound: the service, adapter, version or class does not exist.
    :raises InvalidInput: the service is of the other kind.
    :raises Unauthorized: the API key does not give access to the service.
    """
    held = catalog.find_document(call.service)
    if held is None:
        raise NotFound(
            f"unknown service {call.service!r}",
            "use the name of a submitted document; see /v1/models",
            code=ErrorCode.UNKNOWN_SERVICE,
        )
    document = held.document
    caller = require_caller(document, call.credential)
    if document.kind is not call.kind:
        raise InvalidInput(
            f"the service {call.service} is of kind {document.kind.value}",
            _describe_interface(document.kind),
        )
    path = call.path.partition("?")[0]
    request_class = choose_class(document, call.method, path, call.request_class)
    version, source = Version(""), ""
    if call.adapter:
        adapter = _find_adapter(call, document)
        version = call.version or adapter.default
        source = adapter.source.replace("{version}", version)
    body = _make_body(call, document, version)
    return ResolvedCall(
        call=call,
        held=held,
        team=caller.team,
        share=caller.share,
        version=version,
        source=source,
        request_class=request_class,
        body=body,
        digest=_digest(call),
    )


def _describe_interface(kind: TargetKind) -> str:
    if kind is TargetKind.PLAIN:
        return "call it under /services/NAME/"
    return "call it by /v1/chat/completions or /v1/completions"


def _find_adapter(call: Call, document: ServiceDocument) -> Adapter:
    adapter = document.adapters.get(call.adapter)
    if adapter is None:
        raise NotFound(
            f"the service {call.service} has no adapter {call.adapter!r}",
            "use an adapter of the document; see /v1/models",
            code=ErrorCode.UNKNOWN_ADAPTER,
        )
    if call.version and call.version not in adapter.versions:
        raise NotFound(
            f"the adapter {call.adapter} has no version {call.version!r}",
            f"use one of {', '.join(adapter.versions)}",
            code=ErrorCode.UNKNOWN_VERSION,
        )
    return adapter


def _make_body(call: Call, document: ServiceDocument, version: Version) -> bytes:
    if call.payload is None:
        return call.body
    name = f"{call.adapter}@{version}" if call.adapter else document.model
    return msgspec.json.encode({**call.payload, "model": name})


def _digest(call: Call) -> str:
    # Computed over the caller's input, not over the resolved call: a retry after a
    # change of the default version is still the same request.
    body = call.body if call.payload is None else msgspec.json.encode(call.payload)
    adapter = f"{call.adapter}@{call.version}"
    head = f"{call.method} {call.path} {adapter}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def list_models(catalog: Catalog, credential: str) -> list[tuple[ServiceName, str]]:
    """Return the service and model name of each model that a credential may use."""
    found: list[tuple[ServiceName, str]] = []
    for held in catalog.list_documents():
        document = held.document
        if document.kind is not TargetKind.ENGINE or not find_caller(
            document, credential
        ):
            continue
        found.append((document.service, document.service))
        for adapter in document.adapters.values():
            found.extend(
                (document.service, f"{document.service}/{adapter.name}@{version}")
                for version in adapter.versions
            )
    return found
