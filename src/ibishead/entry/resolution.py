"""What a call means by the document in force: adapter, version, class, duties."""

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

__all__ = ["Resolved", "list_models", "resolve", "resolve_confirmed"]

#: When a caller may come back to a host without a live lease; one is had or regained
#: within a second or two where a quorum can be reached.
UNCONFIRMED_RETRY_AFTER = timedelta(seconds=2)


@dataclass(frozen=True)
class Resolved:
    """A call with all that the document decides about it.

    :param team: whose fair share it counts against.
    :param body: as the target gets it, naming the engine's own model name.
    :param digest: SHA-256 over method, path and body; tells one key's uses apart.
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
        """The document that decided."""
        return self.held.document


def resolve_confirmed(call: Call, catalog: Catalog, current: bool) -> Resolved:
    """Compare a call with the newest document, and refuse by confirmed ones only.

    :param current: a live lease vouches for the documents held.
    :raises Unavailable: the call would be refused by documents that may be old.
    :raises IbisheadError: as `resolve`.
    """
    try:
        return resolve(call, catalog)
    except (NotFound, Unauthorized) as error:
        if current:
            raise
        # Failure: a host that is cut off, or has just started, doesn't hold the
        # document that names the service, adapter or key. Told that there is none,
        # the caller would not ask again, though others serve it.
        raise Unavailable(
            f"no control quorum vouches for this host's documents, by which "
            f"{error.message}",
            "send the request again after the given time",
            code=ErrorCode.NO_QUORUM,
            retry_after=UNCONFIRMED_RETRY_AFTER,
        ) from error


def resolve(call: Call, catalog: Catalog) -> Resolved:
    """Compare a call with the newest document of its service.

    :raises NotFound: the service, adapter, version or class doesn't exist.
    :raises Unauthorized: the key doesn't open the service.
    """
    held = catalog.find_document(call.service)
    if held is None:
        raise NotFound(
            f"no service is called {call.service!r}",
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
    return Resolved(
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
    # Over what the caller sent, not over what a document made of it: a resend after
    # a change of the default version is still the same request.
    body = call.body if call.payload is None else msgspec.json.encode(call.payload)
    adapter = f"{call.adapter}@{call.version}"
    head = f"{call.method} {call.path} {adapter}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def list_models(catalog: Catalog, credential: str) -> list[tuple[ServiceName, str]]:
    """Return service and model name of all that a key opens."""
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
