"""Parsing of a caller's HTTP request, before any service document is consulted."""

import uuid
from dataclasses import dataclass
from typing import Any

import msgspec

from ibishead.errors import ErrorCode, IbisheadError, InvalidInput, NotFound
from ibishead.headers import Headers, drop_hop_by_hop, find_header
from ibishead.ids import (
    AdapterName,
    ClassName,
    IdempotencyKey,
    RequestId,
    ServiceName,
    Version,
)
from ibishead.keys import read_bearer
from ibishead.messages import TargetKind
from ibishead.web import WebRequest

__all__ = ["Call", "parse_call"]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
PLAIN_PREFIX = "/services/"

CLASS_HEADER = "x-ibishead-class"
REQUEST_HEADER = "x-request-id"
KEY_HEADER = "idempotency-key"
#: Headers that are not forwarded to targets: the credential is only for this system,
#: the others are set anew.
_UNFORWARDED_HEADERS = frozenset(
    {"authorization", "host", "content-length", REQUEST_HEADER, CLASS_HEADER}
)

#: Maximum length of an idempotency key or request id in characters. Both are stored
#: for a day.
MAX_NAME_LENGTH = 200


@dataclass(frozen=True)
class Call:
    """One parsed request of a caller.

    :param adapter: empty for the base model and for plain services.
    :param version: empty for the default version in the document.
    :param payload: the decoded JSON body of a model call.
    :param path: path and query as sent to the target.
    :param credential: the caller's API key, or empty.
    """

    request: RequestId
    service: ServiceName
    kind: TargetKind
    method: str
    path: str
    headers: Headers
    body: bytes
    adapter: AdapterName = AdapterName("")
    version: Version = Version("")
    payload: dict[str, Any] | None = None
    streamed: bool = False
    request_class: ClassName = ClassName("")
    key: IdempotencyKey = IdempotencyKey("")
    credential: str = ""


def parse_call(request: WebRequest) -> Call:
    """Parse an HTTP request into a call.

    :raises NotFound: the path belongs to no interface.
    :raises InvalidInput: the method, the body or a header is invalid.
    """
    if request.path in MODEL_PATHS:
        return _parse_model_call(request)
    if request.path.startswith(PLAIN_PREFIX):
        return _parse_plain_call(request)
    raise NotFound(
        f"no such path: {request.path}",
        "use /v1/chat/completions, /v1/completions, /v1/models, /v1/requests/ID "
        "or /services/NAME/",
    )


def _parse_model_call(request: WebRequest) -> Call:
    if request.method != "POST":
        error: IbisheadError = InvalidInput(
            f"{request.path} does not support the method {request.method}",
            "use POST",
            code=ErrorCode.METHOD_NOT_ALLOWED,
        )
        error.status = 405
        raise error
    payload = _parse_json(request.body)
    model = payload.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidInput(
            'the body has no "model" string', 'set "model" to "service/adapter@version"'
        )
    service, _, adapter = model.partition("/")
    adapter, _, version = adapter.partition("@")
    return Call(
        request=_read_request_id(request.headers),
        service=ServiceName(service),
        kind=TargetKind.ENGINE,
        method="POST",
        path=request.target,
        headers=_filter_headers(request.headers),
        body=b"",
        adapter=AdapterName(adapter),
        version=Version(version),
        payload=payload,
        streamed=payload.get("stream") is True,
        request_class=ClassName(find_header(request.headers, CLASS_HEADER) or ""),
        key=_read_key(request.headers),
        credential=read_bearer(request.headers),
    )


def _parse_plain_call(request: WebRequest) -> Call:
    name, separator, rest = request.path[len(PLAIN_PREFIX) :].partition("/")
    path = "/" + rest
    return Call(
        request=_read_request_id(request.headers),
        service=ServiceName(name),
        kind=TargetKind.PLAIN,
        method=request.method,
        path=f"{path}?{request.query}" if request.query else path,
        headers=_filter_headers(request.headers),
        body=request.body,
        request_class=ClassName(find_header(request.headers, CLASS_HEADER) or ""),
        key=_read_key(request.headers),
        credential=read_bearer(request.headers),
    )


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        payload = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInput(
            f"the body is not valid JSON: {error}", "send a JSON object in UTF-8"
        ) from error
    if not isinstance(payload, dict):
        raise InvalidInput("the body is not a JSON object", "send a JSON object")
    return payload


def _read_request_id(headers: Headers) -> RequestId:
    value = find_header(headers, REQUEST_HEADER)
    if value is None:
        return RequestId(uuid.uuid4().hex)
    _check_value(REQUEST_HEADER, value)
    # Callers may reuse an id; the random suffix keeps the requests distinct
    return RequestId(f"{value}.{uuid.uuid4().hex[:8]}")


def _read_key(headers: Headers) -> IdempotencyKey:
    value = find_header(headers, KEY_HEADER)
    if value is None:
        return IdempotencyKey("")
    _check_value(KEY_HEADER, value)
    return IdempotencyKey(value)


def _check_value(header: str, value: str) -> None:
    if not value or len(value) > MAX_NAME_LENGTH or not value.isprintable():
        raise InvalidInput(
            f"the header {header} is empty, unprintable or over {MAX_NAME_LENGTH} "
            "characters",
            "send a short printable value, such as a UUID",
        )


def _filter_headers(headers: Headers) -> Headers:
    return tuple(
        (name, value)
        for name, value in drop_hop_by_hop(headers)
        if name not in _UNFORWARDED_HEADERS
    )
