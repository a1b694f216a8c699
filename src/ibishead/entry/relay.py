"""The last stage: relaying the frames of an attempt as the caller's answer.

An event stream is forwarded as it arrives. Any other answer is buffered until it is
complete, so that its headers can state the outcome and a failed attempt can be retried.
"""

from ibishead.entry.resolution import ResolvedCall
from ibishead.entry.timing import AnswerTimer
from ibishead.errors import IbisheadError
from ibishead.headers import Headers
from ibishead.messages import AnswerBody, AnswerEnd, AnswerHead, Outcome
from ibishead.session import Frame
from ibishead.web import Exchange, encode_error

__all__ = ["Relay", "make_headers"]

#: Maximum size of a buffered answer in bytes. A longer answer is forwarded as it
#: arrives.
MAX_BUFFERED_BYTES = 1024 * 1024

OUTCOME_HEADER = "x-ibishead-outcome"

_EVENT_STREAM = "text/event-stream"


def make_headers(resolved: ResolvedCall, outcome: Outcome | None) -> Headers:
    """Return the headers with request, service, revision, adapter and outcome.

    :param outcome: ``None`` while it is not yet known.
    """
    headers: Headers = (
        ("x-ibishead-request", resolved.call.request),
        ("x-ibishead-service", resolved.call.service),
        ("x-ibishead-revision", str(resolved.held.record.revision)),
    )
    if resolved.call.adapter:
        headers += (
            ("x-ibishead-adapter", resolved.call.adapter),
            ("x-ibishead-version", resolved.version),
        )
    if outcome is not None:
        headers += ((OUTCOME_HEADER, outcome.value),)
    return headers


class Relay:
    """Writes one answer to one caller.

    :ivar delivered: part of an answer has been sent, so no other attempt may follow.
    """

    def __init__(
        self, exchange: Exchange, resolved: ResolvedCall, timer: AnswerTimer
    ) -> None:
        self.delivered = False
        self._timer = timer
        self._exchange = exchange
        self.resolved = resolved
        self._head: AnswerHead | None = None
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0

    def reset(self) -> None:
        """Discard the buffered answer of an attempt before the next one starts."""
        self._head = None
        self._buffer = []
        self._buffered_bytes = 0

    async def handle_frame(self, frame: Frame) -> None:
        """Forward or buffer a frame.

        :raises LinkLost: the caller has disconnected.
        """
        self._timer.record(frame)
        match frame:
            case AnswerHead():
                self._head = frame
                if self._is_stream():
                    await self._start()
            case AnswerBody(data=data):
                await self._handle_body(data)
            case AnswerEnd(outcome=Outcome.COMPLETED):
                await self._finish()

    async def send_error(self, error: IbisheadError, outcome: Outcome) -> None:
        """Send an error to the caller, or end a started answer with it."""
        if self.delivered:
            await self._abort(error)
            return
        await self._exchange.respond_error(error, make_headers(self.resolved, outcome))

    async def replay(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer that was recorded earlier."""
        await self._respond(status, headers, body)

    async def _handle_body(self, data: bytes) -> None:
        if self.delivered:
            await self._exchange.send(data)
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            await self._start()

    async def _start(self) -> None:
        if self._head is None:
            return
        self.delivered = True
        target_headers = tuple(
            header for header in self._head.headers if header[0] != "content-length"
        )
        await self._exchange.start(
            self._head.status, target_headers + make_headers(self.resolved, None)
        )
        for data in self._buffer:
            await self._exchange.send(data)
        self._buffer = []

    async def _finish(self) -> None:
        if self.delivered:
            await self._exchange.finish()
        elif self._head is not None:
            await self._respond(
                self._head.status, self._head.headers, b"".join(self._buffer)
            )

    async def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.delivered = True
        target_headers = tuple(
            header for header in headers if header[0] != "content-length"
        )
        own_headers = make_headers(self.resolved, Outcome.COMPLETED)
        await self._exchange.respond(status, target_headers + own_headers, body)

    async def _abort(self, error: IbisheadError) -> None:
        # The status has already been sent. An event stream can still carry the error.
        # In other bodies it would be taken for content, so the connection is aborted.
        if self._is_stream():
            _, body = encode_error(error)
            await self._exchange.send(b"event: error\ndata: " + body + b"\n\n")
            await self._exchange.finish()
        else:
            self._exchange.abort()

    def _is_stream(self) -> bool:
        return self._head is not None and any(
            name == "content-type" and value.startswith(_EVENT_STREAM)
            for name, value in self._head.headers
        )
