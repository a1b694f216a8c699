"""HTTP/1.1 client connection to a target, with one exchange at a time, based on h11.

Bytes that arrive outside an exchange, such as a late or duplicate response or one from
an earlier incarnation of the target, belong to no request and close the connection.
A late response that arrives within an exchange can be skipped by the owner, who
recognizes it by what it says.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import h11

from ibishead.clock import Clock, SystemClock
from ibishead.decisions.heldbytes import AnswerBudget, AnswerHold
from ibishead.errors import InvalidInput, LinkLost
from ibishead.framing import (
    MAX_EVENTS_PER_TURN,
    MAX_INTERIM_RESPONSES,
    check_response_head,
)
from ibishead.headers import Headers
from ibishead.ids import RequestId
from ibishead.links import Endpoint
from ibishead.sockets import connect_socket, enable_keepalive, reset_on_close

__all__ = ["MAX_UNTAKEN_BYTES", "TargetConnection"]

#: Bytes of a response that may wait to be taken. The connection reads no more then, so
#: that the target stops sending.
MAX_UNTAKEN_BYTES = 256 * 1024

#: Memory of a received part of a body besides its bytes.
PART_OVERHEAD_BYTES = 128

#: Bytes read from a socket at a time, as much as asyncio's own buffer. With 64 KB, a
#: stream of 3 MB took 1.7 times the processor time.
READ_SIZE = 256 * 1024

#: Bytes and seconds for which the body of a late response is read.
MAX_SKIPPED_BYTES = 64 * 1024
SKIP_SECONDS = 0.5

#: Number of latest requests that a connection remembers. A late response has been seen
#: only in place of the next one.
REMEMBERED_REQUESTS = 4

#: Largest body that is joined with its head for a single write.
MAX_JOINED_BYTES = 64 * 1024

#: Received bytes on their way from the socket to the parser. All connections of the
#: event loop use it in turn, as nothing runs between a read and `buffer_updated`.
_received = memoryview(bytearray(READ_SIZE))

_unlimited = AnswerBudget(None)
_system_clock = SystemClock()


class TargetConnection(asyncio.BufferedProtocol):
    """An HTTP/1.1 client connection.

    Reads from the socket only what the hold of the current response has room for.

    :ivar hold: counts received bytes until `read` is called after the call that
        returned them; set by the owner before a request.
    :ivar last_used: monotonic seconds at which the last exchange ended, set by the
        owner.
    :ivar idle_time: seconds for which the target keeps the connection open when idle,
        or ``None`` if unknown, set by the owner.
    :ivar on_idle_loss: called when the target ends the connection outside an exchange,
        set by the owner.
    :ivar opened_at: monotonic seconds at which it was opened, set by the owner.
    :ivar received_at: monotonic seconds at which bytes were last received.
    :ivar earlier: latest requests whose exchanges are complete and whose late responses
        can be skipped, added by the owner.
    :ivar carried: latest requests whose exchanges are complete, added by the owner.
    """

    def __init__(self, endpoint: str, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._state = h11.Connection(h11.CLIENT)
        self._events: deque[h11.Event] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._in_exchange = False
        #: Whether the current response can't be skipped, as no earlier request could be
        #: answered late or the owner has begun to read it.
        self._accepted = False
        self._responded_early = False
        #: Whether received bytes are left to be parsed in a later turn.
        self._parse_due = False
        self._interim = 0
        self._close_reason: str | None = None
        self._taken = 0
        self.hold: AnswerHold = _unlimited.open("", MAX_UNTAKEN_BYTES)
        self.last_used = self.opened_at = self.received_at = 0.0
        self.idle_time: float | None = None
        self.on_idle_loss: Callable[[], None] = lambda: None
        self.earlier: deque[RequestId] = deque(maxlen=REMEMBERED_REQUESTS)
        self.carried: deque[RequestId] = deque(maxlen=REMEMBERED_REQUESTS)

    @classmethod
    async def open(
        cls, endpoint: Endpoint, clock: Clock = _system_clock
    ) -> "TargetConnection":
        """Open a connection.

        :raises LinkLost: the connection was refused or timed out; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        try:
            opened = await connect_socket(endpoint.address, endpoint.port)
            _, connection = await loop.create_connection(
                lambda: cls(str(endpoint), clock), sock=opened
            )
        except (OSError, TimeoutError) as error:
            raise LinkLost(
                f"cannot connect to {endpoint}: {error or type(error).__name__}",
                "check that the target is running and listening there",
            ) from error
        return connection

    # asyncio.Protocol callbacks ----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive probes on its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        room = self.hold.room
        if room is None:
            return _received
        return _received[: max(1, room - PART_OVERHEAD_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were read into the buffer."""
        self.received_at = self._clock.monotonic()
        self.data_received(bytes(_received[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes outside an exchange close the connection."""
        if not self._in_exchange:
            self._close("received bytes outside an exchange")
            return
        complete = self._state.their_state in (h11.DONE, h11.MUST_CLOSE)
        if complete and self._accepted:
            self._close("received bytes after the response")
            return
        self._state.receive_data(data)
        if complete:
            # If the owner skips the complete response, the next one begins here.
            self._pause_reading()
        else:
            self._parse()

    def eof_received(self) -> bool:
        """Handle the end of the target's byte stream."""
        if self._in_exchange and self._close_reason is None:
            self._state.receive_data(b"")
            self._parse()
        if self._in_exchange and self._close_reason is None:
            return False
        self._lose("closed by the target")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._lose(f"transport error: {exc}" if exc else "closed")

    # Exchanges ---------------------------------------------------------------

    @property
    def closed(self) -> bool:
        """Whether no further exchange is possible."""
        return (
            self._close_reason is not None
            or self._transport is None
            or self._transport.is_closing()
        )

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[int, Headers]:
        """Send a request and return the status and headers of its response.

        :raises InvalidInput: the request cannot be encoded; nothing was sent.
        :raises LinkLost: the connection was lost before the response headers; the
            request may have run.
        """
        head, sent_body = self._encode(method, target, headers, body)
        if self.closed or self._transport is None:
            raise self._make_error()
        self._in_exchange = True
        self._accepted = not self.earlier
        self._interim = 0
        if len(sent_body) <= MAX_JOINED_BYTES:
            self._transport.write(head + sent_body)
        else:
            # The sum would be another copy of a large body
            self._transport.write(head)
            self._transport.write(sent_body)
        return await self._read_head()

    async def skip_response(self) -> tuple[int, Headers]:
        """Discard the current response, and return status and headers of the next one.

        For a late response to an earlier request, in place of `read`. The connection
        can't be used again after this exchange, as its target has sent more responses
        than it received requests.

        :raises LinkLost: the end of the response isn't certain, or the connection was
            lost; the request may have run.
        """
        try:
            async with asyncio.timeout(SKIP_SECONDS):
                await self._discard_body()
        except TimeoutError as error:
            raise self._fail("a late response did not end in time") from error
        if self._state.their_state is not h11.DONE or self._request is None:
            raise self._fail("the connection ends with a late response")
        data, _ = self._state.trailing_data
        # A new parser expects a response to the same request, which was sent before.
        self._state = h11.Connection(h11.CLIENT)
        self._state.send(self._request)
        if data:
            self._state.receive_data(data)
            self._parse()
        self._resume_reading()
        return await self._read_head()

    async def _discard_body(self) -> None:
        size = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise self._fail("closed before the end of a late response")
            size += len(event.data)
            if size > MAX_SKIPPED_BYTES:
                raise self._fail("a late response is too long")
            self._taken += len(event.data) + PART_OVERHEAD_BYTES
            self._release_taken()

    async def _read_head(self) -> tuple[int, Headers]:
        assert self._transport is not None
        response = await self._next_event()
        if not isinstance(response, h11.Response):
            raise self._fail("closed before the response headers were received")
        # A target may respond before it has read a long request body and read the rest
        # later. It would parse the next request as part of that body, so the connection
        # is not reused.
        self._responded_early = self._transport.get_write_buffer_size() > 0
        return response.status_code, tuple(
            (k.decode("ascii"), v.decode("latin-1")) for k, v in response.headers
        )

    async def read(self) -> bytes | None:
        """Return the next part of the response body, or ``None`` at its end.

        :raises LinkLost: the connection was lost before the body was complete.
        """
        self._accepted = True
        self._release_taken()
        parts: list[bytes] = []
        while True:
            if parts and not self._events:
                return b"".join(parts)
            event = await self._next_event(bool(parts))
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                    self._taken += len(event.data) + PART_OVERHEAD_BYTES
                case h11.EndOfMessage():
                    if parts:
                        self._events.appendleft(event)
                        return b"".join(parts)
                    self._end_exchange()
                    return None
                case _:
                    raise self._fail("closed before the response body was complete")

    def close(self) -> None:
        """Close the connection immediately."""
        self._close("dropped")

    def _encode(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        framing: Headers = ()
        if body or method not in ("GET", "HEAD", "DELETE"):
            framing = (("content-length", str(len(body))),)
        try:
            request = h11.Request(
                method=method.encode("ascii"),
                target=target.encode("ascii"),
                headers=[
                    (k.encode("ascii"), v.encode("utf-8"))
                    for k, v in (*headers, *framing)
                ],
            )
            head = self._state.send(request) or b""
            self._request = request
            sent_body = b""
            if body:
                sent_body = self._state.send(h11.Data(data=body)) or b""
            # The end of a body with a length is no bytes
            self._state.send(h11.EndOfMessage())
            return head, sent_body
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self.close()
            raise InvalidInput(
                f"request cannot be encoded as HTTP/1.1: {error}",
                "correct the method, path or headers",
            ) from error

    def _release_taken(self) -> None:
        if not self._taken:
            return
        self.hold.remove(self._taken)
        self._taken = 0
        if self.hold.paused and self.hold.may_go_on():
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self._transport is None or self._parse_due or self.hold.paused:
            return
        self._transport.resume_reading()

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _hold_part(self, part: bytes) -> None:
        self._events.append(h11.Data(data=part))
        self.hold.add(len(part) + PART_OVERHEAD_BYTES)
        if self.hold.must_pause():
            self._pause_reading()

    def _parse(self) -> None:
        # The parts of one turn are joined, so that many short chunks take no more
        # memory than their bytes.
        parts: list[bytes] = []
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self._state.next_event()
                if event is h11.NEED_DATA:
                    break
                if event is h11.PAUSED:
                    if self._state.their_state is h11.SWITCHED_PROTOCOL:
                        self._close("switched protocols")
                        return
                    break
                assert isinstance(event, h11.Event)
                if isinstance(event, h11.Data):
                    parts.append(event.data)
                    continue
                if isinstance(event, h11.Response | h11.InformationalResponse):
                    check_response_head(event)
                if isinstance(event, h11.InformationalResponse):
                    self._interim += 1
                    if self._interim > MAX_INTERIM_RESPONSES:
                        self._close("too many interim responses")
                        return
                    continue
                if parts:
                    self._hold_part(b"".join(parts))
                    parts = []
                self._events.append(event)
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    break
            else:
                self._postpone_parsing()
        except h11.RemoteProtocolError as error:
            self._close(f"malformed response: {error}")
            return
        if parts:
            self._hold_part(b"".join(parts))
        if self._events:
            self._wake_reader()

    def _postpone_parsing(self) -> None:
        """Let other tasks run before the rest of the received bytes is parsed.

        Nothing is read meanwhile, so the end of the connection is noticed after them.
        """
        self._parse_due = True
        self._pause_reading()
        asyncio.get_running_loop().call_soon(self._parse_rest)

    def _parse_rest(self) -> None:
        self._parse_due = False
        if self._close_reason is not None:
            return
        self._parse()
        self._resume_reading()

    async def _next_event(self, ready: bool = False) -> h11.Event:
        if not self._events and not ready:
            if self._close_reason is not None:
                raise self._make_error()
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._events:
            raise self._make_error()
        return self._events.popleft()

    def _end_exchange(self) -> None:
        self._in_exchange = False
        reusable = (
            self._close_reason is None
            and not self._responded_early
            and self._state.our_state is h11.DONE
            and self._state.their_state is h11.DONE
            and not self._state.trailing_data[0]
        )
        if reusable:
            self._state.start_next_cycle()
        else:
            self._close("connection cannot be reused")

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _lose(self, reason: str) -> None:
        idle = self._close_reason is None and not self._in_exchange
        self._close(reason)
        if idle:
            self.on_idle_loss()

    def _close(self, reason: str) -> None:
        if self._close_reason is None:
            self._close_reason = reason
        if self._transport is not None:
            if self._in_exchange:
                reset_on_close(self._transport)
            self._transport.abort()
        self._wake_reader()

    def _fail(self, reason: str) -> LinkLost:
        self._close(reason)
        return self._make_error()

    def _make_error(self) -> LinkLost:
        return LinkLost(
            f"lost connection to {self._endpoint}: {self._close_reason or 'closed'}",
            "check the log of the target",
        )
