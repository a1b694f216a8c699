"""Parses requests of the platform's callers and renders errors for them."""

from ibishead.errors import IbisheadError, InvalidInput, LinkLost
from ibishead.gateway.calls import Call, PromptPart
from ibishead.headers import Headers, drop_hop_by_hop, find_header
from ibishead.ids import ModelName, RequestId
from ibishead.keys import read_key
from ibishead.web import WebRequest, encode_error

__all__ = ["PlatformCallers"]

READY_PATH = "/api/ready"

#: Authentication scheme of API keys.
_KEY_SCHEME = "token"

#: Longest answer that a length hint can announce, in tokens, and the digits that are
#: read of it.
MAX_LENGTH_HINT = 1_000_000
MAX_HINT_DIGITS = 9

#: Headers that only the system itself may set; they are removed from callers' requests.
_RESERVED_HEADERS = frozenset(
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

#: Headers that are generated again for each request to a target.
_REGENERATED_HEADERS = frozenset(
    {"host", "content-length", "deadline-ms", "last-event-id", "expect", "request-id"}
)


class PlatformCallers:
    """The callers' side of the platform's HTTP protocol."""

    def read_call(self, request: WebRequest) -> Call:
        """Return the call in a request.

        :raises InvalidInput: a header is missing or malformed.
        """
        headers = request.headers
        model, _, adapter = (find_header(headers, "model") or "").partition("/")
        counts = find_header(headers, "token-counts")
        prompt, answer = _read_token_counts(counts)
        return Call(
            RequestId(_require(headers, "request-id")),
            request.method,
            request.target,
            _read_hostname(find_header(headers, "host") or ""),
            request.path,
            _select_forwarded(headers),
            request.body,
            _read_deadline(find_header(headers, "deadline-ms")),
            ModelName(model),
            adapter,
            prompt,
            answer,
            _read_prompt_parts(find_header(headers, "prompt-prefix")),
            find_header(headers, "last-event-id") or None,
            _read_request_id(find_header(headers, "resumes")),
            read_key(headers, _KEY_SCHEME),
            bool(counts),
            _read_length_hint(find_header(headers, "length-hint")),
        )

    def find_request_id(self, request: WebRequest) -> RequestId | None:
        """Return the caller's ID of a request, None if there is none."""
        return _read_request_id(find_header(request.headers, "request-id"))

    def render_error(
        self, error: IbisheadError, request: WebRequest
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of the response for an error.

        A lost connection is answered with 502 instead of 503, since the request may
        have run.
        """
        headers, body = encode_error(error)
        shown = tuple((k, v) for k, v in headers if k != "retry-after")
        if error.retry_after is not None:
            seconds = error.retry_after.total_seconds()
            shown += (("retry-after", f"{seconds:.3f}"),)
        if (request_id := find_header(request.headers, "request-id")) is not None:
            shown += (("request-id", request_id),)
        status = 502 if isinstance(error, LinkLost) else error.status
        return status, shown, body

    def is_readiness_probe(self, request: WebRequest) -> bool:
        """Return whether a request is the load balancer's readiness check."""
        return request.method == "GET" and request.path == READY_PATH


def _read_request_id(text: str | None) -> RequestId | None:
    return RequestId(text) if text else None


def _require(headers: Headers, name: str) -> str:
    found = find_header(headers, name)
    if not found:
        raise InvalidInput(f"the header {name} is missing", "send it")
    return found


def _select_forwarded(headers: Headers) -> Headers:
    dropped = _RESERVED_HEADERS | _REGENERATED_HEADERS
    return tuple((k, v) for k, v in drop_hop_by_hop(headers) if k not in dropped)


def _read_hostname(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()


def _read_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        seconds = float(text) / 1000
    except ValueError as error:
        raise InvalidInput(
            f"invalid deadline: {text!r}", "send a number of milliseconds"
        ) from error
    if not 0 < seconds < 1e9:
        raise InvalidInput(
            f"deadline out of range: {text!r}", "send milliseconds above zero"
        )
    return seconds


def _read_token_counts(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    try:
        prompt, answer = (int(part) for part in text.split(","))
    except ValueError as error:
        raise InvalidInput(f"invalid token counts: {text!r}", "send IN,OUT") from error
    if prompt < 0 or answer < 0:
        raise InvalidInput(f"negative token counts: {text!r}", "send IN,OUT")
    return prompt, answer


def _read_length_hint(text: str | None) -> int | None:
    # a hint is only an estimate, so a malformed one is no reason to refuse a request
    if text is None or not text.strip().isascii() or not text.strip().isdigit():
        return None
    return min(int(text.strip()[:MAX_HINT_DIGITS]), MAX_LENGTH_HINT)


def _read_prompt_parts(text: str | None) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for entry in text.split(","):
        name, _, tokens = entry.strip().rpartition(":")
        if not name or not tokens.isdigit():
            raise InvalidInput(f"invalid prompt part: {entry!r}", "send ID:TOKENS")
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
