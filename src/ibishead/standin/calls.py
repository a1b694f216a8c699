"""What a load generator asks and how it judges answers, apart from I/O."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate

import msgspec

from ibishead.headers import Headers, find_header

__all__ = [
    "ERROR_EVENT",
    "Call",
    "CallKind",
    "Mix",
    "Verdict",
    "judge_failure",
    "judge_text",
    "parse_content",
    "plan_calls",
    "split_events",
]

#: Starts the event that ends a stream which can't be completed.
ERROR_EVENT = "event: error"

#: Header in which every answer says what is known of the run.
OUTCOME_HEADER = "x-ibishead-outcome"


class CallKind(Enum):
    """What kind of call."""

    CHAT = "chat"
    STREAM = "stream"
    PLAIN = "plain"


class Verdict(Enum):
    """How a call ended, as its caller sees it."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


@dataclass(frozen=True)
class Mix:
    """What is asked, in which shares.

    :param service: empty for calls that go to an engine itself.
    :param adapters: `name@version`, the most popular first.
    :param zipf: exponent of the adapters' popularity; 0 for equal shares.
    :param rate: calls a second, arriving at random; 0 for all at once.
    :param streams: share of streams among the model calls.
    :param plain_share: share of non-idempotent plain calls, each with a key.
    """

    service: str
    adapters: tuple[str, ...]
    count: int
    rate: float = 0.0
    zipf: float = 1.0
    streams: float = 0.5
    max_tokens: int = 16
    plain_service: str = ""
    plain_path: str = "/issue"
    plain_share: float = 0.0
    seed: int = 1


@dataclass(frozen=True)
class Call:
    """One call of the plan.

    :param at: seconds after the start.
    :param word: in the prompt, and so in every token of the right answer.
    """

    number: int
    at: float
    kind: CallKind
    adapter: str
    word: str
    mix: Mix

    @property
    def key(self) -> str:
        """The idempotency key of a plain call."""
        return f"key-{self.word}" if self.kind is CallKind.PLAIN else ""

    @property
    def path(self) -> str:
        """Where the call goes."""
        if self.kind is CallKind.PLAIN:
            return f"/services/{self.mix.plain_service}{self.mix.plain_path}"
        return "/v1/chat/completions"

    @property
    def headers(self) -> Headers:
        """Headers of the call, without the caller's key."""
        own: Headers = (("content-type", "application/json"),)
        return own + ((("idempotency-key", self.key),) if self.key else ())

    @property
    def body(self) -> bytes:
        """Body of the call."""
        if self.kind is CallKind.PLAIN:
            return msgspec.json.encode({"issue": self.word})
        message = {"role": "user", "content": f"mend {self.word}"}
        return msgspec.json.encode(
            {
                "model": self.model,
                "messages": [message],
                "max_tokens": self.mix.max_tokens,
                "stream": self.kind is CallKind.STREAM,
            }
        )

    @property
    def model(self) -> str:
        """The model's name for an entry host, or for an engine without service."""
        service = self.mix.service
        return f"{service}/{self.adapter}" if service else self.adapter

    @property
    def expected(self) -> str:
        """The whole text of the right answer to a model call."""
        tokens = range(self.mix.max_tokens)
        return "".join(f"{self.adapter}:{self.word}:{i} " for i in tokens)


def plan_calls(mix: Mix) -> Iterator[Call]:
    """Yield the calls in order of time; the same mix gives the same calls."""
    generator = random.Random(mix.seed)
    ranks = range(1, len(mix.adapters) + 1)
    weights = list(accumulate(rank**-mix.zipf for rank in ranks))
    at = 0.0
    for number in range(mix.count):
        at += generator.expovariate(mix.rate) if mix.rate > 0 else 0.0
        kind = CallKind.CHAT
        if generator.random() < mix.plain_share or not mix.adapters:
            kind = CallKind.PLAIN
        elif generator.random() < mix.streams:
            kind = CallKind.STREAM
        adapter = ""
        if kind is not CallKind.PLAIN:
            [adapter] = generator.choices(mix.adapters, cum_weights=weights)
        yield Call(number, at, kind, adapter, f"w{mix.seed}x{number}", mix)


def split_events(buffer: bytes) -> tuple[list[str], bytes]:
    """Return the data of whole server-sent events, and what is left over.

    An event of type ``error`` keeps its type's line.
    """
    *whole, rest = buffer.split(b"\n\n")
    return [event.decode().removeprefix("data: ") for event in whole], rest


def parse_content(data: str) -> str:
    """Return the text in one event or answer of a chat completion."""
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        part = choice.get("delta") or choice.get("message") or {}
        return str(part.get("content") or "")
    except (msgspec.DecodeError, KeyError, IndexError, TypeError, AttributeError):
        return ""


def judge_text(call: Call, text: str) -> Verdict:
    """Return how an answer that was received as completed compares."""
    if call.kind is CallKind.PLAIN:
        return Verdict.WHOLE if call.word in text else Verdict.WRONG
    if text == call.expected:
        return Verdict.WHOLE
    return Verdict.CUT if call.expected.startswith(text) else Verdict.WRONG


def judge_failure(headers: Headers) -> Verdict:
    """Return what an answer without success says of the run."""
    match find_header(headers, OUTCOME_HEADER):
        case "not_run":
            return Verdict.NOT_RUN
        case "unknown":
            return Verdict.UNKNOWN
    return Verdict.FAILED
