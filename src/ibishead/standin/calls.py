"""Requests of the load generator and the classification of their responses.

This module does no I/O; `ibishead.standin.load` sends the requests.
"""

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
    "classify_failure",
    "classify_text",
    "parse_content",
    "plan_calls",
    "split_events",
]

#: First line of the server-sent event that terminates a stream after a failure.
ERROR_EVENT = "event: error"

#: Response header that holds the known outcome of the request.
OUTCOME_HEADER = "x-ibishead-outcome"


class CallKind(Enum):
    """Type of request that a call sends."""

    CHAT = "chat"
    STREAM = "stream"
    PLAIN = "plain"


class Verdict(Enum):
    """Result of a call from the caller's point of view.

    `WHOLE` is a complete and correct response, `CUT` one that was truncated or lost,
    `WRONG` one with unexpected content, and `UNREACHABLE` a failed connection attempt.
    `NOT_RUN` and `UNKNOWN` are outcomes that the server reported; `FAILED` is an error
    response without such an outcome.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


@dataclass(frozen=True)
class Mix:
    """Configuration of the generated load: number, rate and types of calls.

    :param service: service of the model calls; empty for calls sent directly to an
        engine.
    :param adapters: adapters as `name@version`, the most frequently requested first.
    :param count: number of calls.
    :param rate: mean calls per second of a Poisson process; 0 sends all calls at once.
    :param zipf: exponent of the Zipf distribution of adapters; 0 is uniform.
    :param streams: share of model calls that request a stream, from 0 to 1.
    :param max_tokens: tokens requested by each model call.
    :param plain_service: service of the plain calls.
    :param plain_path: path of the plain calls within that service.
    :param plain_share: share of non-idempotent plain calls, from 0 to 1; each has its
        own idempotency key.
    :param seed: seed of the random generator; also part of each marker.
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
    """One planned call.

    :param number: position in the plan, from 0.
    :param at: start time, in seconds after the start of the run.
    :param adapter: `name@version`; empty for plain calls.
    :param marker: unique word in the prompt; the engine repeats it in every token of a
        correct response.
    :param mix: the configuration that the call was generated from.
    """

    number: int
    at: float
    kind: CallKind
    adapter: str
    marker: str
    mix: Mix

    @property
    def key(self) -> str:
        """Idempotency key of a plain call; empty for model calls."""
        return f"key-{self.marker}" if self.kind is CallKind.PLAIN else ""

    @property
    def path(self) -> str:
        """Request path."""
        if self.kind is CallKind.PLAIN:
            return f"/services/{self.mix.plain_service}{self.mix.plain_path}"
        return "/v1/chat/completions"

    @property
    def headers(self) -> Headers:
        """Request headers without the caller's API key."""
        headers: Headers = (("content-type", "application/json"),)
        return headers + ((("idempotency-key", self.key),) if self.key else ())

    @property
    def body(self) -> bytes:
        """Request body."""
        if self.kind is CallKind.PLAIN:
            return msgspec.json.encode({"issue": self.marker})
        message = {"role": "user", "content": f"mend {self.marker}"}
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
        """Model name in the request: `service/adapter`, or `adapter` for an engine."""
        service = self.mix.service
        return f"{service}/{self.adapter}" if service else self.adapter

    @property
    def expected(self) -> str:
        """Complete text of the correct response to a model call."""
        tokens = range(self.mix.max_tokens)
        return "".join(f"{self.adapter}:{self.marker}:{i} " for i in tokens)


def plan_calls(mix: Mix) -> Iterator[Call]:
    """Yield calls in order of start time; equal configurations give equal calls."""
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
    """Return the data of complete server-sent events and the remaining bytes.

    An event of type ``error`` is returned with its ``event:`` line.
    """
    *events, remainder = buffer.split(b"\n\n")
    return [event.decode().removeprefix("data: ") for event in events], remainder


def parse_content(data: str) -> str:
    """Return the text of a chat completion event or response; empty if it has none."""
    try:
        choice = msgspec.json.decode(data)["choices"][0]
        message = choice.get("delta") or choice.get("message") or {}
        return str(message.get("content") or "")
    except (msgspec.DecodeError, KeyError, IndexError, TypeError, AttributeError):
        return ""


def classify_text(call: Call, text: str) -> Verdict:
    """Compare the text of a successful response with the expected text."""
    if call.kind is CallKind.PLAIN:
        return Verdict.WHOLE if call.marker in text else Verdict.WRONG
    if text == call.expected:
        return Verdict.WHOLE
    return Verdict.CUT if call.expected.startswith(text) else Verdict.WRONG


def classify_failure(headers: Headers) -> Verdict:
    """Return the verdict for an error response from its outcome header."""
    match find_header(headers, OUTCOME_HEADER):
        case "not_run":
            return Verdict.NOT_RUN
        case "unknown":
            return Verdict.UNKNOWN
    return Verdict.FAILED
