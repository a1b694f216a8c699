"""A caller's request and a target's answer, freed of the protocols that carry them."""

from dataclasses import dataclass
from typing import Protocol

from ibishead.errors import IbisheadError
from ibishead.headers import Headers
from ibishead.ids import ModelName, RequestId, TargetId
from ibishead.routing.targets import WeightKey
from ibishead.web import WebRequest

__all__ = [
    "Call",
    "CallerDialect",
    "PromptPart",
    "Sending",
    "TargetDialect",
    "TargetHead",
    "TargetLoadTold",
]


@dataclass(frozen=True)
class PromptPart:
    """A leading part of a prompt; equal names mean equal tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """One attempt of a caller.

    :param headers: those that go on to the target.
    :param patience: seconds that the caller waits, none where it doesn't say.
    :param adapter: empty for the base model.
    :param prompt_tokens: length of the prompt.
    :param answer_tokens: most tokens of the answer.
    :param resume_after: the last event that the caller already has.
    """

    request: RequestId
    method: str
    target: str
    hostname: str
    path: str
    headers: Headers
    body: bytes
    patience: float | None = None
    model: ModelName = ModelName("")
    adapter: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: str | None = None

    @property
    def weights(self) -> WeightKey | None:
        """The adapter that is asked for, none where the base model or no model is."""
        return WeightKey(self.model, self.adapter) if self.adapter else None

    @property
    def engine_key(self) -> WeightKey | None:
        """What an engine has to hold for it, none where no model is asked for."""
        return WeightKey(self.model, self.adapter) if self.model else None


@dataclass(frozen=True)
class Sending:
    """How a call goes to one target.

    :param remaining: seconds left until the answer is of no use.
    :param rank: urgency, 0 first.
    """

    target: TargetId
    remaining: float
    rank: int
    resume_after: str | None = None


@dataclass(frozen=True)
class TargetLoadTold:
    """The load that a target tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class TargetHead:
    """Status and headers of a target's answer.

    :param headers: those that go back to the caller.
    :param not_run: the target says that it didn't and won't run the request.
    :param genuine: it bears the target's mark and the request's own id.
    :param misdirected: the target is another one, or lacks what was asked for.
    :param encoded: the body isn't in the plain form that was asked for.
    :param idle_time: seconds for which the target keeps an idle connection, if told.
    :param rate_limit: requests a second that the target takes from all callers
        together; none where it names no limit.
    """

    status: int
    headers: Headers
    not_run: bool
    genuine: bool
    misdirected: bool = False
    encoded: bool = False
    load: TargetLoadTold | None = None
    idle_time: float | None = None
    rate_limit: float | None = None

    @property
    def success(self) -> bool:
        """Whether the target says that it has done what was asked."""
        return 200 <= self.status < 300


class CallerDialect(Protocol):
    """The protocol that callers speak."""

    def read_call(self, request: WebRequest) -> Call:
        """Return the call in a request.

        :raises InvalidInput: it can't be understood.
        """

    def find_id(self, request: WebRequest) -> RequestId | None:
        """Return the caller's name for a request, if it can be read."""

    def show_error(
        self, error: IbisheadError, request: WebRequest
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body that tell a caller of an error."""

    def is_ready_question(self, request: WebRequest) -> bool:
        """Return whether the balancer asks for readiness."""


class TargetDialect(Protocol):
    """The protocol that targets speak."""

    def make_headers(self, call: Call, sending: Sending) -> Headers:
        """Return the headers with which a call goes to a target."""

    def read_head(self, call: Call, status: int, headers: Headers) -> TargetHead:
        """Return what status and headers of an answer mean."""
