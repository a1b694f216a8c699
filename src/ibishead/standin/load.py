"""Load generator that calls entry hosts, limited in number of calls and time."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ibishead.errors import IbisheadError
from ibishead.headers import Headers, find_header
from ibishead.links import Endpoint
from ibishead.standin.calls import (
    ERROR_EVENT,
    Call,
    CallKind,
    Mix,
    Verdict,
    classify_failure,
    classify_text,
    parse_content,
    plan_calls,
    split_events,
)
from ibishead.webclient import ClientAnswer, ClientConnection

__all__ = ["CallResult", "Caller", "Histogram", "Summary", "generate_load"]

#: Upper bounds of the histogram buckets, in seconds.
BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)

#: Maximum number of concurrent calls; further calls are queued.
MAX_OPEN_CALLS = 2_000

#: Delay before a call is resent with the same idempotency key, if the response has no
#: `retry-after` header.
RESEND_DELAY_SECONDS = 0.2

#: Upper limit of the delay that a `retry-after` header can request.
MAX_RESEND_DELAY_SECONDS = 2.0


@dataclass
class CallResult:
    """Result of one call as seen by its caller.

    :param status: HTTP status of the last response; 0 if there was none.
    :param code: error code of the response, or class name of the connection error.
    :param first_token: seconds from sending to the first token; streams only.
    :param gaps: seconds between successive tokens of a stream.
    :param seconds: total duration of the call including resends.
    :param sends: number of times the call was sent.
    """

    call: Call
    verdict: Verdict = Verdict.UNREACHABLE
    status: int = 0
    code: str = ""
    first_token: float | None = None
    gaps: list[float] = field(default_factory=list)
    seconds: float = 0.0
    sends: int = 0
    text: str = ""
    headers: Headers = ()


class Histogram(msgspec.Struct):
    """Distribution of durations in seconds.

    :param most: maximum.
    :param buckets: cumulative counts by upper bound.
    """

    count: int
    p50: float
    p90: float
    p99: float
    most: float
    buckets: dict[str, int]


class Summary(msgspec.Struct):
    """Aggregated results of all calls.

    :param sent: number of calls.
    :param seconds: duration of the run.
    :param tokens: tokens received in streams.
    """

    sent: int
    verdicts: dict[str, int]
    codes: dict[str, int]
    seconds: float
    tokens: int
    whole_answer: Histogram
    first_token: Histogram
    between_tokens: Histogram


class Caller:
    """Sends calls to entry hosts over persistent connections.

    :param key: API key of the caller, sent as a bearer token.
    :param timeout: seconds allowed for each send.
    :param resends: maximum number of resends of a call with an idempotency key, each
        through the next entry host. A call is resent when its response was lost, or
        when its outcome is unknown and the response has a `retry-after` header.
    """

    def __init__(
        self,
        entries: tuple[Endpoint, ...],
        key: str = "",
        timeout: float = 60.0,
        resends: int = 0,
    ) -> None:
        self._entries = entries
        self._key = key
        self._timeout = timeout
        self._resends = resends
        self._idle: dict[Endpoint, list[ClientConnection]] = {e: [] for e in entries}

    async def call(self, call: Call) -> CallResult:
        """Send a call and resend it until its outcome is known or no resend is left."""
        result = CallResult(call)
        begin = time.monotonic()
        for resend in range(1 + (self._resends if call.key else 0)):
            if resend:
                await asyncio.sleep(_find_resend_delay(result))
            entry = self._entries[(call.number + resend) % len(self._entries)]
            result.sends += 1
            await self._send(entry, result)
            if not _may_resend(result):
                break
        result.seconds = time.monotonic() - begin
        return result

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    async def _send(self, entry: Endpoint, result: CallResult) -> None:
        connection = None
        result.verdict, result.headers, result.code = Verdict.UNREACHABLE, (), ""
        try:
            async with asyncio.timeout(self._timeout):
                connection = await self._connect(entry)
                result.verdict = Verdict.CUT
                await self._exchange(connection, result)
        except (IbisheadError, TimeoutError) as error:
            result.code = type(error).__name__
        if connection is not None:
            if connection.idle and not connection.closed:
                self._idle[entry].append(connection)
            else:
                connection.close()

    async def _connect(self, entry: Endpoint) -> ClientConnection:
        while self._idle[entry]:
            connection = self._idle[entry].pop()
            if not connection.closed:
                return connection
        return await ClientConnection.open(entry)

    async def _exchange(self, connection: ClientConnection, result: CallResult) -> None:
        call = result.call
        headers = call.headers
        if self._key:
            headers += (("authorization", f"Bearer {self._key}"),)
        sent = time.monotonic()
        answer = await connection.ask("POST", call.path, headers, call.body)
        result.status, result.headers = answer.status, answer.headers
        if answer.status != 200:
            body = await answer.read()
            result.verdict = classify_failure(answer.headers)
            result.code = _find_code(body)
        elif call.kind is CallKind.STREAM:
            await _read_stream(answer, result, sent)
        else:
            data = (await answer.read()).decode("utf-8", "replace")
            plain = call.kind is CallKind.PLAIN
            result.text = data if plain else parse_content(data)
            result.verdict = classify_text(call, result.text)


def _may_resend(result: CallResult) -> bool:
    match result.verdict:
        case Verdict.UNREACHABLE | Verdict.CUT:
            return True
        case Verdict.UNKNOWN:
            return find_header(result.headers, "retry-after") is not None
    return False


def _find_resend_delay(result: CallResult) -> float:
    retry_after = find_header(result.headers, "retry-after")
    return (
        min(float(retry_after), MAX_RESEND_DELAY_SECONDS)
        if retry_after
        else RESEND_DELAY_SECONDS
    )


async def _read_stream(answer: ClientAnswer, result: CallResult, sent: float) -> None:
    buffer, done, failed, last_token = b"", False, False, sent
    tokens: list[str] = []
    async for chunk in answer.chunks:
        events, buffer = split_events(buffer + chunk)
        now = time.monotonic()
        for event in events:
            done = done or event == "[DONE]"
            failed = failed or event.startswith(ERROR_EVENT)
            content = parse_content(event)
            if not content:
                continue
            if result.first_token is None:
                result.first_token = now - sent
            else:
                result.gaps.append(now - last_token)
            last_token = now
            tokens.append(content)
    result.text = "".join(tokens)
    verdict = classify_text(result.call, result.text)
    if failed and verdict is Verdict.CUT:
        # The error event reports that the stream will not be completed
        verdict = Verdict.UNKNOWN
    elif verdict is Verdict.WHOLE and not done:
        verdict = Verdict.CUT
    result.verdict = verdict


def _find_code(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "no code"


async def generate_load(
    caller: Caller, mix: Mix, duration: float, stop: asyncio.Event | None = None
) -> tuple[Summary, list[CallResult]]:
    """Send the calls of a load configuration.

    :param duration: seconds after which no further calls are started.
    :param stop: event that also prevents further calls from being started.
    :returns: the summary and the result of each call, in order of start.
    """
    begin = time.monotonic()
    open_calls = asyncio.Semaphore(MAX_OPEN_CALLS)
    tasks: list[asyncio.Task[CallResult]] = []

    async def send(call: Call) -> CallResult:
        async with open_calls:
            return await caller.call(call)

    for call in plan_calls(mix):
        if call.at > duration or (stop is not None and stop.is_set()):
            break
        await asyncio.sleep(max(0.0, begin + call.at - time.monotonic()))
        tasks.append(asyncio.create_task(send(call)))
    results = list(await asyncio.gather(*tasks))
    return _summarise(results, time.monotonic() - begin), results


def _summarise(results: list[CallResult], seconds: float) -> Summary:
    return Summary(
        len(results),
        dict(Counter(result.verdict.value for result in results)),
        dict(Counter(result.code for result in results if result.code)),
        round(seconds, 3),
        sum(result.text.count(" ") for result in results if result.gaps),
        _build_histogram([r.seconds for r in results if r.verdict is Verdict.WHOLE]),
        _build_histogram([r.first_token for r in results if r.first_token is not None]),
        _build_histogram([gap for result in results for gap in result.gaps]),
    )


def _build_histogram(values: list[float]) -> Histogram:
    sorted_values = sorted(values) or [0.0]

    def find_quantile(share: float) -> float:
        return round(
            sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))],
            5,
        )

    buckets = {str(b): sum(1 for v in values if v <= b) for b in BUCKETS}
    return Histogram(
        len(values),
        find_quantile(0.5),
        find_quantile(0.9),
        find_quantile(0.99),
        round(sorted_values[-1], 5),
        buckets,
    )
