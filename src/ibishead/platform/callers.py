"""Requests of the platform's callers, and the errors that they are told."""

from ibishead.errors import IbisheadError, InvalidInput, LinkLost
from ibishead.gateway.calls import Call, PromptPart
from ibishead.headers import Headers, drop_hop_by_hop, find_header
from ibishead.ids import ModelName, RequestId
from ibishead.web import WebRequest, encode_error

__all__ = ["PlatformCallers"]

READY_PATH = "/api/ready"

#: Headers that only the system itself may set; what a caller sends of them is dropped.
_OWN_HEADERS = frozenset(
    {
        "expect-instance",
        "expect-version",
        "request-priority",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-fetch",
        "kv-from",
    }
)

#: Headers that are made anew for each send.
_REMADE_HEADERS = frozenset(
    {"host", "content-length", "deadline-ms", "last-event-id", "expect", "request-id"}
)


class PlatformCallers:
    """Reads calls and shows errors."""

    def read_call(self, request: WebRequest) -> Call:
        """Return the call in a request.

        :raises InvalidInput: a header can't be understood.
        """
        headers = request.headers
        model, _, adapter = (find_header(headers, "model") or "").partition("/")
        prompt, answer = _read_tokens(find_header(headers, "token-counts"))
        return Call(
            RequestId(_need(headers, "request-id")),
            request.method,
            request.target,
            _read_hostname(find_header(headers, "host") or ""),
            request.path,
            _select(headers),
            request.body,
            _read_patience(find_header(headers, "deadline-ms")),
            ModelName(model),
            adapter,
            prompt,
            answer,
            _read_parts(find_header(headers, "prompt-prefix")),
            find_header(headers, "last-event-id"),
        )

    def find_request_id(self, request: WebRequest) -> RequestId | None:
        """Return the caller's name for a request, if it has one."""
        found = find_header(request.headers, "request-id")
        return RequestId(found) if found is not None else None

    def render_error(
        self, error: IbisheadError, request: WebRequest
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body that tell a caller of an error.

        A lost connection promises nothing about the run, so it is no 503 here.
        """
        headers, body = encode_error(error)
        kept = tuple((k, v) for k, v in headers if k != "retry-after")
        if error.retry_after is not None:
            seconds = error.retry_after.total_seconds()
            kept += (("retry-after", f"{seconds:.3f}"),)
        if (request_id := find_header(request.headers, "request-id")) is not None:
            kept += (("request-id", request_id),)
        status = 502 if isinstance(error, LinkLost) else error.status
        return status, kept, body

    def is_readiness_probe(self, request: WebRequest) -> bool:
        """Return whether the balancer asks for readiness."""
        return request.method == "GET" and request.path == READY_PATH


def _need(headers: Headers, name: str) -> str:
    found = find_header(headers, name)
    if not found:
        raise InvalidInput(f"the header {name} is missing", "send it")
    return found


def _select(headers: Headers) -> Headers:
    dropped = _OWN_HEADERS | _REMADE_HEADERS
    return tuple((k, v) for k, v in drop_hop_by_hop(headers) if k not in dropped)


def _read_hostname(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()


def _read_patience(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        patience = float(text) / 1000
    except ValueError as error:
        raise InvalidInput(f"no deadline: {text!r}", "send milliseconds") from error
    if not 0 < patience < 1e9:
        raise InvalidInput(f"no deadline: {text!r}", "send milliseconds above zero")
    return patience


def _read_tokens(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    try:
        prompt, answer = (int(part) for part in text.split(","))
    except ValueError as error:
        raise InvalidInput(f"no token counts: {text!r}", "send IN,OUT") from error
    return prompt, answer


def _read_parts(text: str | None) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if not name or not tokens.isdigit():
            raise InvalidInput(f"no prompt part: {entry!r}", "send ID:TOKENS")
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
