"""Protocol-independent representation of callers' requests and targets' responses."""

from dataclasses import dataclass, field
from typing import Protocol

from ibishead.errors import IbisheadError
from ibishead.headers import BodyFraming, Headers
from ibishead.ids import CustomerId, ModelName, RequestId, TargetId
from ibishead.routing.targets import WeightKey
from ibishead.web import WebRequest

__all__ = [
    "Call",
    "CallerDialect",
    "PromptPart",
    "SendParameters",
    "TargetDialect",
    "TargetHead",
    "TargetLoad",
]


@dataclass(frozen=True)
class PromptPart:
    """A leading part of a prompt; parts with equal names have equal tokens.

    :param tokens: length in tokens.
    """

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """One request as received from a caller.

    :param target: HTTP request target, that is path and query.
    :param headers: headers that are forwarded to the target, if its dialect does not
        withhold them.
    :param timeout: seconds until the caller's deadline, or ``None`` if it set none.
    :param model: empty if the request names no model.
    :param adapter: empty for the base model.
    :param prompt_tokens: length of the prompt in tokens, 0 if the request does not say.
    :param max_answer_tokens: maximum length of the response in tokens, likewise.
    :param resume_after: id of the last event that the caller has received.
    :param first_request: the caller's earlier request that brought the first event of
        the stream, or ``None`` if it names none.
    :param api_key: empty if the request carries none.
    :param counts_tokens: whether the request says how many tokens it needs.
    :param length_hint: the caller's estimate of the response's tokens, or ``None`` if
        it gives none. It may be far off.
    """

    request: RequestId
    method: str
    target: str
    hostname: str
    path: str
    headers: Headers
    body: bytes
    timeout: float | None = None
    model: ModelName = ModelName("")
    adapter: str = ""
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None
    first_request: RequestId | None = None
    api_key: str = field(default="", repr=False)
    counts_tokens: bool = False
    length_hint: int | None = None

    @property
    def tokens(self) -> int | None:
        """Prompt and maximum answer tokens, or ``None`` if the request doesn't say."""
        if not self.counts_tokens:
            return None
        return self.prompt_tokens + self.max_answer_tokens

    @property
    def weights(self) -> WeightKey | None:
        """The requested adapter, or ``None`` for the base model or no model."""
        return WeightKey(self.model, self.adapter) if self.adapter else None

    @property
    def engine_key(self) -> WeightKey | None:
        """The weights that an engine needs, or ``None`` if no model is requested."""
        return WeightKey(self.model, self.adapter) if self.model else None


@dataclass(frozen=True)
class SendParameters:
    """Parameters of one send of a call to a target.

    :param remaining: seconds until the request's deadline.
    :param rank: priority; 0 is the most urgent.
    :param resume_after: id of the last event that was relayed to the caller.
    :param has_customers: the deployment has customers, so that the credentials in the
        call are the system's own and stay with it.
    :param customer: customer that the call is for, or ``None`` if it is anonymous.
    """

    target: TargetId
    remaining: float
    rank: int
    resume_after: str | None = None
    has_customers: bool = False
    customer: CustomerId | None = None


@dataclass(frozen=True)
class TargetLoad:
    """Load that a target reports in the headers of a response.

    :param running: requests being processed.
    :param waiting: requests in the queue.
    :param slots: requests that the target processes concurrently.
    :param slowdown: how much longer work takes on the target's host at this moment, 1
        as usual, or ``None`` if the target does not say.
    :param invalid_slowdown: the target names a slowdown that is out of range.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    invalid_slowdown: bool = False


@dataclass(frozen=True)
class TargetHead:
    """Status and headers of a target's response.

    :param headers: headers that are relayed to the caller.
    :param genuine: the response carries the target's stamp and the id of this request,
        so it is from the target itself and belongs to this request.
    :param echoed: the response names the id of this request.
    :param named: the request that the response names, or ``None`` if it names none.
    :param misdirected: this request reached a different target, or one that lacks the
        requested weights.
    :param encoded: the body has a content encoding, although none was requested.
    :param idle_time: seconds for which the target keeps an idle connection open, or
        ``None`` if it names none.
    :param rate_limit: requests per second that the target accepts from all callers
        together, or ``None`` if it names no limit.
    :param retry_after: seconds for which the target asks for no requests from this
        host, unchecked, or ``None`` if it names no number.
    :param leaving: the target says that it will end soon.
    :param framing: how the end of the body is marked.
    :param refused: the response says that its request has not run, whichever it is.
    """

    status: int
    headers: Headers
    genuine: bool
    framing: BodyFraming
    echoed: bool = False
    refused: bool = False
    named: RequestId | None = None
    misdirected: bool = False
    encoded: bool = False
    load: TargetLoad | None = None
    idle_time: float | None = None
    rate_limit: float | None = None
    retry_after: float | None = None
    leaving: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the target states that it did not and will not run this request.

        A refusal that names another request, or none, says nothing of this one.
        """
        return self.refused and self.echoed

    @property
    def own(self) -> bool:
        """Whether what it says about its target is of the target that was meant.

        A refusal that names no request still speaks for its target.
        """
        return not self.misdirected and (
            self.echoed or (self.refused and self.named is None)
        )

    @property
    def success(self) -> bool:
        """Whether the status code reports success (2xx)."""
        return 200 <= self.status < 300


class CallerDialect(Protocol):
    """Parses and formats messages of the callers' protocol."""

    def read_call(self, request: WebRequest) -> Call:
        """Parse a request.

        :raises InvalidInput: the request is malformed.
        """

    def find_request_id(self, request: WebRequest) -> RequestId | None:
        """Return the request id set by the caller, or ``None`` if there is none."""

    def render_error(
        self, error: IbisheadError, request: WebRequest
    ) -> tuple[int, Headers, bytes]:
        """Return the status, headers and body of an error response."""

    def is_readiness_probe(self, request: WebRequest) -> bool:
        """Return whether a request is a readiness probe of the load balancer."""


class TargetDialect(Protocol):
    """Formats and parses messages of the targets' protocol."""

    def make_headers(self, call: Call, sending: SendParameters) -> Headers:
        """Return the request headers for one send of a call."""

    def read_head(self, call: Call, status: int, headers: Headers) -> TargetHead:
        """Parse the status and headers of a response."""
