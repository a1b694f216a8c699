"""The last stage: frames of an attempt become the caller's answer.

A stream is passed on as it comes. Any other answer is held until it is whole, so
that its outcome can stand in its headers and a broken one can still be repeated.
"""

from ibishead.entry.resolution import Resolved
from ibishead.entry.timing import AnswerTimer
from ibishead.errors import IbisheadError
from ibishead.headers import Headers
from ibishead.messages import AnswerBody, AnswerEnd, AnswerHead, Outcome
from ibishead.session import Frame
from ibishead.web import Exchange, encode_error

__all__ = ["Relay", "make_headers"]

#: Bytes of an answer that are held back; a longer one goes out as it comes.
MAX_HELD = 1024 * 1024

OUTCOME_HEADER = "x-ibishead-outcome"

_EVENT_STREAM = "text/event-stream"


def make_headers(resolved: Resolved, outcome: Outcome | None) -> Headers:
    """Return the headers that name request, adapter, version and outcome.

    :param outcome: none while it isn't known yet.
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

    :ivar delivered: bytes of an answer have left, so no other attempt may follow.
    """

    def __init__(
        self, exchange: Exchange, resolved: Resolved, timer: AnswerTimer
    ) -> None:
        self.delivered = False
        self._timer = timer
        self._exchange = exchange
        self.resolved = resolved
        self._head: AnswerHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0

    def reset(self) -> None:
        """Forget what an attempt has brought, before another begins."""
        self._head = None
        self._held = []
        self._held_bytes = 0

    async def take(self, frame: Frame) -> None:
        """Pass a frame on, or hold it.

        :raises LinkLost: the caller has left.
        """
        self._timer.note(frame)
        match frame:
            case AnswerHead():
                self._head = frame
                if self._is_stream():
                    await self._start()
            case AnswerBody(data=data):
                await self._take_body(data)
            case AnswerEnd(outcome=Outcome.COMPLETED):
                await self._finish()

    async def refuse(self, error: IbisheadError, outcome: Outcome) -> None:
        """Tell the caller why there is no answer."""
        if self.delivered:
            await self._break_off(error)
            return
        await self._exchange.respond_error(error, make_headers(self.resolved, outcome))

    async def replay(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer that was recorded before."""
        await self._respond(status, headers, body)

    async def _take_body(self, data: bytes) -> None:
        if self.delivered:
            await self._exchange.send(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > MAX_HELD:
            await self._start()

    async def _start(self) -> None:
        if self._head is None:
            return
        self.delivered = True
        kept = tuple(h for h in self._head.headers if h[0] != "content-length")
        await self._exchange.start(
            self._head.status, kept + make_headers(self.resolved, None)
        )
        for data in self._held:
            await self._exchange.send(data)
        self._held = []

    async def _finish(self) -> None:
        if self.delivered:
            await self._exchange.finish()
        elif self._head is not None:
            await self._respond(
                self._head.status, self._head.headers, b"".join(self._held)
            )

    async def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.delivered = True
        kept = tuple(h for h in headers if h[0] != "content-length")
        named = make_headers(self.resolved, Outcome.COMPLETED)
        await self._exchange.respond(status, kept + named, body)

    async def _break_off(self, error: IbisheadError) -> None:
        # The status has left long ago. A stream can still say what happened; in any
        # other body an error would pass for content, so the connection is cut.
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
