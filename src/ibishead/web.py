"""An HTTP/1.1 server, built on h11 and asyncio streams.

Answers may be streamed. The server limits header size, body size and durations, so that
malformed, oversized, slow or truncated requests get a defined error answer, after which
the connection is closed.
"""

import asyncio
import contextlib
import logging
import random
import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from ibishead.decisions.heldbytes import SMALL_BODY_BYTES, BodyBudget, BodyHold
from ibishead.errors import (
    ErrorCode,
    IbisheadError,
    InvalidInput,
    LinkLost,
    Unavailable,
)
from ibishead.framing import (
    check_framing,
    check_head_size,
    check_line_ends,
    check_version,
    convert_protocol_error,
    make_body_too_large_error,
    make_timeout_error,
)
from ibishead.headers import Headers
from ibishead.links import Endpoint
from ibishead.sockets import reset_on_close

__all__ = [
    "Exchange",
    "Limits",
    "WebRequest",
    "WebServer",
    "encode_error",
]

logger = logging.getLogger(__name__)

_READ_SIZE = 64 * 1024

#: Bytes that may wait in the write buffer of a connection before `send` blocks.
MAX_UNSENT_BYTES = 64 * 1024

#: Seconds for which the rest of a refused request is read and discarded. A connection
#: closed before would be reset, and the caller might not get the answer.
DISCARD_SECONDS = 2.0

#: Bytes of the headers of a packet on Ethernet.
PACKET_HEADER_BYTES = 66

#: Length of the listening socket's queue of connections that are not yet accepted.
BACKLOG = 1024

#: Seconds from the end of listening until idle connections are closed in a planned
#: stop; long enough to read requests that were sent before, even on a slow host.
LAST_REQUEST_SECONDS = 0.25

#: Steps of the event loop in which a new connection's data is read if there is any.
FIRST_READ_STEPS = 2


@dataclass(frozen=True)
class Limits:
    """Limits of a server and its connections.

    :param header_bytes: largest size of request target and headers together.
    :param body_bytes: largest size of a request body.
    :param header_seconds: time-out for the headers, from their first byte.
    :param body_seconds: time-out for the request body.
    :param idle_seconds: time-out for the next request on a persistent connection.
    :param write_seconds: time-out for a caller to read enough for more data to be sent.
    :param connections: largest number of open connections.
    :param unsent_bytes: bytes that may wait in a connection's write buffer before
        `Exchange.send` blocks.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_seconds: float = 10.0
    body_seconds: float = 30.0
    idle_seconds: float = 75.0
    write_seconds: float = 30.0
    connections: int = 4096
    unsent_bytes: int = MAX_UNSENT_BYTES


@dataclass(frozen=True)
class WebRequest:
    """A received request with its body.

    :param path: path as sent, without the query.
    :param headers: headers in the order received, with names in lower case.
    :param peer: IP address of the caller.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes = b""
    peer: str = ""

    @property
    def target(self) -> str:
        """The path and query."""
        return f"{self.path}?{self.query}" if self.query else self.path


def encode_error(error: IbisheadError) -> tuple[Headers, bytes]:
    """Return headers and JSON body of an error answer."""
    document = {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "remedy": error.remedy,
        }
    }
    headers: Headers = (("content-type", "application/json"),)
    if error.retry_after is not None:
        # RFC 9110 allows whole seconds only; rounded up to prevent an early retry
        seconds = max(1, -(-int(error.retry_after.total_seconds() * 1000) // 1000))
        headers += (("retry-after", str(seconds)),)
    return headers, msgspec.json.encode(document)


class Exchange:
    """A request and the answer that is being written to it.

    :ivar disconnected: set once the caller has closed its side of the connection.
    :ivar started: whether status and headers were sent.
    :ivar finished: whether the answer is complete.
    """

    def __init__(self, request: WebRequest, connection: "_ServerConnection") -> None:
        self.request = request
        self.disconnected = asyncio.Event()
        self.started = False
        self.finished = False
        self._connection = connection

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers.

        The body is sent chunked unless the headers hold its length.
        """
        self.started = True
        await self._connection.send(_make_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body.

        :raises LinkLost: the caller has disconnected or does not read.
        """
        if data:
            await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """Complete the answer."""
        self.finished = True
        await self._connection.send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer."""
        self.started = self.finished = True
        length = (("content-length", str(len(body))),)
        events: list[h11.Event] = [_make_head(status, headers + length)]
        if body and self.request.method != "HEAD":
            events.append(h11.Data(data=body))
        await self._connection.send(*events, h11.EndOfMessage())

    async def respond_error(self, error: IbisheadError, headers: Headers = ()) -> None:
        """Send an error as JSON with its code, message and remedy."""
        error_headers, body = encode_error(error)
        await self.respond(error.status, error_headers + headers, body)

    def abort(self) -> None:
        """Close the connection, which shows the caller that the answer is truncated."""
        self._connection.abort()


class _Listener(socket.socket):
    """A listening socket that closes the connections that aren't wanted.

    asyncio accepts all queued connections in one step. Closing them here costs a
    fraction of what a connection costs that asyncio has set up.

    Its protocol number is 0, so asyncio leaves Nagle's algorithm on. Without it, each
    event of a stream is a packet of its own, and a stream of 60 events takes a third
    more processor time.

    :ivar wants: called with each new connection; returns whether it is wanted.
    """

    wants: Callable[[], bool]

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept the first queued connection that is wanted."""
        while True:
            accepted, peer = super().accept()
            if self.wants():
                return accepted, peer
            accepted.close()


class WebServer:
    """An HTTP/1.1 server.

    :param handler: answers each exchange. An exception becomes an error answer if none
        was started, and closes the connection otherwise.
    :param tls: context for HTTPS; without it, the server speaks plain HTTP.
    :param accept: called with each new connection; one for which it returns false is
        closed before anything is read from it.
    :param on_read: called once for each accepted connection, as soon as it was read
        from, has nothing to read yet, or was lost.
    :param on_answer: called with the result of `on_read` when the connection's first
        answer begins, the connection ends, or has nothing to read yet.
    :param bodies: budget of the bytes held for request bodies.
    :param render_refusal: returns status, headers and body of the answer to a request
        for whose body there is no room; JSON by default.
    :ivar bytes_sent: bytes sent so far, with an estimate for the packets' headers.
    :ivar closing: whether answers ask callers to close their connections.
    :ivar stopping: whether connections are closed after their current request.
    """

    def __init__(
        self,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: Limits | None = None,
        tls: ssl.SSLContext | None = None,
        accept: Callable[[], bool] = lambda: True,
        on_read: Callable[[], Any] = lambda: None,
        on_answer: Callable[[Any], None] = lambda _: None,
        bodies: BodyBudget | None = None,
        render_refusal: (
            Callable[[IbisheadError, WebRequest], tuple[int, Headers, bytes]] | None
        ) = None,
    ) -> None:
        self.handler = handler
        self.bodies = bodies or BodyBudget(None)
        self.render_refusal = render_refusal
        self._accept = accept
        self.on_read = on_read
        self.on_answer = on_answer
        self.bytes_sent = 0
        self.limits = limits or Limits()
        self._tls = tls
        self._listener: _Listener | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[_ServerConnection] = set()
        self.stopping = False
        self.closing = False

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Start listening, and return the endpoint with the actual port."""
        created = socket.create_server(
            (endpoint.address, endpoint.port),
            family=socket.AF_INET6 if ":" in endpoint.address else socket.AF_INET,
            backlog=BACKLOG,
        )
        self._listener = _Listener(
            created.family, created.type, 0, fileno=created.detach()
        )
        self._listener.wants = self._accept
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener, ssl=self._tls, backlog=BACKLOG
        )
        return Endpoint(endpoint.address, self._listener.getsockname()[1])

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def begin_stop(self) -> None:
        """Ask callers, with each answer, to close their connections.

        Closing a persistent connection loses a request that its caller is sending at
        that moment. Callers that were asked to close it do not send another.
        """
        self.closing = True

    async def stop(self, grace: float = 600.0) -> None:
        """Stop listening, finish the answers in progress and close all connections.

        A caller may connect and send a request just before the port is closed. That
        request would be lost in a planned stop if its connection were still in the
        accept queue, or accepted and not yet read. So all queued connections are
        accepted first, and idle connections are closed only after a short delay.

        :param grace: seconds after which answers in progress are cut off.
        """
        self.closing = True
        await self._stop_listening()
        await asyncio.sleep(min(LAST_REQUEST_SECONDS, grace))
        self.stopping = True
        for connection in list(self._connections):
            connection.close_if_idle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace):
                while self._connections:
                    await asyncio.sleep(0.02)
        for connection in list(self._connections):
            connection.abort()

    async def _stop_listening(self) -> None:
        if self._server is None or self._listener is None:
            return
        # No more connections follow, so the loop has time for all that are queued
        self._listener.wants = lambda: True
        # There must be no await between accepting the queue and closing: a connection
        # that arrives in between would be reset.
        queued = _accept_queued(self._listener)
        self._server.close()
        loop = asyncio.get_running_loop()
        for accepted in queued:
            try:
                await loop.connect_accepted_socket(
                    lambda: asyncio.StreamReaderProtocol(
                        asyncio.StreamReader(), self._serve
                    ),
                    accepted,
                    ssl=self._tls,
                )
            except (OSError, TimeoutError) as error:
                logger.info(
                    "queued connection lost while the server stops",
                    extra={"reason": str(error)},
                )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _ServerConnection(self, reader, writer)
        if len(self._connections) >= self.limits.connections:
            connection.end_first_request()
            connection.abort()
            return
        self._connections.add(connection)
        try:
            await connection.run()
            await connection.flush()
        except (ConnectionError, LinkLost, TimeoutError):
            pass
        except h11.ProtocolError as error:
            logger.info(
                "connection closed on a protocol error", extra={"reason": str(error)}
            )
        finally:
            self._connections.discard(connection)
            connection.end_first_request()
            connection.abort()
            # The reader keeps the error of a lost connection, and its traceback leads
            # back to the reader. What the frames hold, such as the parts of an answer,
            # would wait for a full garbage collection.
            if (lost := reader.exception()) is not None:
                lost.__traceback__ = None


class _ServerConnection:
    def __init__(
        self,
        server: WebServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._limits = server.limits
        self._reader = reader
        self._writer = writer
        self._state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._idle = True
        self._unread = True
        self._unanswered = True
        self._first_request: Any = None
        name = writer.get_extra_info("peername")
        self._peer = str(name[0]) if name else ""
        self._body_hold: BodyHold | None = None
        if self._limits.unsent_bytes != MAX_UNSENT_BYTES:
            writer.transport.set_write_buffer_limits(high=self._limits.unsent_bytes)

    async def run(self) -> None:
        asyncio.get_running_loop().call_soon(self._check_first_read, FIRST_READ_STEPS)
        try:
            await self._serve_requests()
        finally:
            self._release_body()

    async def _serve_requests(self) -> None:
        while not self._server.stopping:
            self._idle = True
            request = await self._read_request()
            if request is None or self._writer.is_closing():
                # Its caller could get no answer, so the request has no effect either
                return
            self._idle = False
            await self._answer(request)
            # An idle connection would keep the body until the next request
            del request
            self._release_body()
            if self._state.our_state is not h11.DONE:
                return
            if self._state.their_state is not h11.DONE:
                return
            self._state.start_next_cycle()

    def _begin_first_request(self) -> None:
        if self._unread:
            self._unread = False
            self._first_request = self._server.on_read()

    def end_first_request(self) -> None:
        self._begin_first_request()
        if self._unanswered:
            self._unanswered = False
            self._server.on_answer(self._first_request)

    def _check_first_read(self, steps: int) -> None:
        # Data that was there at the accept has been read after these steps; otherwise
        # the connection waits for its caller.
        if not self._unread:
            return
        if steps == 0:
            self.end_first_request()
        else:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._check_first_read, steps - 1)

    def close_if_idle(self) -> None:
        if self._idle and not self._state.trailing_data[0]:
            self._writer.close()

    async def flush(self) -> None:
        """Wait until the last answer has left the write buffer.

        Closing the connection earlier would truncate a long answer, or one to a caller
        that reads slowly.
        """
        transport = self._writer.transport
        transport.set_write_buffer_limits(high=0)
        async with asyncio.timeout(self._limits.write_seconds):
            await self._writer.drain()

    def abort(self) -> None:
        transport = self._writer.transport
        if self._is_answer_truncated():
            reset_on_close(transport)
        if transport.get_write_buffer_size() == 0:
            self._writer.close()
        else:
            transport.abort()

    def _is_answer_truncated(self) -> bool:
        """Return whether an orderly close would make a part of an answer look whole.

        An answer to an HTTP/1.0 caller isn't chunked and ends with its connection.
        """
        unsent = self._writer.transport.get_write_buffer_size() > 0
        unfinished = unsent or self._state.our_state is h11.SEND_BODY
        return unfinished and self._state.their_http_version == b"1.0"

    async def send(self, *events: h11.Event) -> None:
        data = b"".join(self._encode(event) for event in events)
        if not data:
            return
        transport = self._writer.transport
        if transport.is_closing():
            raise _make_caller_lost_error()
        self._writer.write(data)
        self.end_first_request()
        self._server.bytes_sent += len(data) + PACKET_HEADER_BYTES
        # Data that the kernel takes at once needs neither a wait nor a timer
        if transport.get_write_buffer_size() <= self._limits.unsent_bytes:
            return
        try:
            # Unread data occupies memory, so a stalled caller is disconnected
            async with asyncio.timeout(self._limits.write_seconds):
                await self._writer.drain()
        except TimeoutError as error:
            # After an orderly close, the kernel would keep its part of the unread data
            reset_on_close(transport)
            transport.abort()
            raise _make_caller_lost_error() from error
        except ConnectionError as error:
            raise _make_caller_lost_error() from error

    def _encode(self, event: h11.Event) -> bytes:
        if isinstance(event, h11.Response) and self._server.closing:
            headers = [*event.headers, (b"connection", b"close")]
            event = h11.Response(
                status_code=event.status_code, headers=headers, reason=event.reason
            )
        return self._state.send(event) or b""

    async def _read_request(self) -> WebRequest | None:
        try:
            head = await self._read_head()
            if head is None:
                return None
            refusal = None
            try:
                body = await self._read_body(head)
            except Unavailable as error:
                # Its traceback would keep what was read of the body
                refusal = error.with_traceback(None)
            if refusal is not None:
                self._release_body()
                await self._refuse(refusal, head)
                await self._discard_input()
                return None
        except h11.RemoteProtocolError as error:
            await self._refuse(convert_protocol_error(error))
            return None
        except (TimeoutError, IbisheadError) as error:
            await self._refuse(
                error if isinstance(error, IbisheadError) else make_timeout_error()
            )
            return None
        try:
            return self._make_request(head, body)
        except UnicodeDecodeError:
            await self._refuse(
                InvalidInput("the headers are not UTF-8", "encode the headers as UTF-8")
            )
            return None

    def _make_request(self, head: h11.Request, body: bytes = b"") -> WebRequest:
        path, _, query = head.target.decode("ascii").partition("?")
        headers = tuple(
            (key.decode("ascii"), value.decode("utf-8")) for key, value in head.headers
        )
        return WebRequest(
            head.method.decode("ascii"), path, query, headers, body, self._peer
        )

    async def _read_head(self) -> h11.Request | None:
        timeout = self._limits.idle_seconds
        while True:
            check_line_ends(self._state.trailing_data[0])
            event = self._state.next_event()
            match event:
                case h11.Request():
                    check_version(event)
                    check_head_size(event, self._limits.header_bytes)
                    check_framing(event)
                    return event
                case h11.ConnectionClosed():
                    return None
            if event is not h11.NEED_DATA:
                raise h11.RemoteProtocolError("not a request")
            started = bool(self._state.trailing_data[0])
            timeout = self._limits.header_seconds if started else timeout
            try:
                async with asyncio.timeout(timeout):
                    data = await self._reader.read(_READ_SIZE)
            except TimeoutError:
                if not started:
                    return None
                raise
            self._begin_first_request()
            self._state.receive_data(data)

    async def _read_body(self, head: h11.Request) -> bytes:
        length = next((v for k, v in head.headers if k == b"content-length"), b"0")
        if int(length) > self._limits.body_bytes:
            raise make_body_too_large_error(self._limits.body_bytes)
        chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
        if chunked or length != b"0":
            self._reserve(SMALL_BODY_BYTES if chunked else int(length))
        if self._state.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        async with asyncio.timeout(self._limits.body_seconds):
            while True:
                event = self._state.next_event()
                match event:
                    case h11.Data():
                        size += len(event.data)
                        if size > self._limits.body_bytes:
                            raise make_body_too_large_error(self._limits.body_bytes)
                        if chunked:
                            self._reserve(size)
                        parts.append(bytes(event.data))
                    case h11.EndOfMessage():
                        return b"".join(parts)
                    case h11.ConnectionClosed():
                        raise h11.RemoteProtocolError(
                            "the connection was closed before the end of the body"
                        )
                    case _:
                        self._state.receive_data(await self._reader.read(_READ_SIZE))

    def _reserve(self, size: int) -> None:
        """Reserve memory for the body that is being received.

        :param size: bytes of the whole body, or received so far.
        :raises Unavailable: there is no room.
        """
        bodies, now = self._server.bodies, asyncio.get_running_loop().time()
        if self._body_hold is None:
            self._body_hold = BodyHold(self._peer, now)
        if not bodies.reserve(self._body_hold, size):
            wait = bodies.estimate_wait(now) * (0.5 + random.random())
            raise Unavailable(
                f"not run: no memory is left for a request body of {size} bytes",
                "retry after the given time, or over a new connection",
                code=ErrorCode.OVERLOADED,
                retry_after=timedelta(seconds=wait),
            )

    def _release_body(self) -> None:
        if self._body_hold is not None:
            self._server.bodies.release(self._body_hold)
            self._body_hold = None

    async def _discard_input(self) -> None:
        if self._writer.can_write_eof():
            self._writer.write_eof()
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(DISCARD_SECONDS):
                while await self._reader.read(_READ_SIZE):
                    pass

    async def _answer(self, request: WebRequest) -> None:
        exchange = Exchange(request, self)
        watch = asyncio.create_task(self._watch_for_disconnect(exchange))
        try:
            await self._server.handler(exchange)
        except IbisheadError as error:
            if exchange.started:
                self.abort()
                raise
            await exchange.respond_error(error)
        except ConnectionError:
            raise
        except Exception:
            logger.exception("unexpected error while handling a request")
            if exchange.started:
                self.abort()
                return
            await exchange.respond_error(
                IbisheadError(
                    "internal error while handling this request",
                    "report the request id and the log lines of that time",
                )
            )
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await watch

    async def _watch_for_disconnect(self, exchange: Exchange) -> None:
        # Nothing else reads from the connection while a request is handled, so a
        # disconnected caller would be noticed only at the next write. Data of a
        # pipelining caller is stored for the next request, up to one read.
        try:
            data = await self._reader.read(_READ_SIZE)
        except ConnectionError:
            data = b""
        if data:
            self._state.receive_data(data)
        else:
            exchange.disconnected.set()
            self._state.receive_data(b"")

    async def _refuse(
        self, error: IbisheadError, head: h11.Request | None = None
    ) -> None:
        # The rest of the input may not start at a request boundary: answer and close
        if self._state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status, (error_headers, body) = error.status, encode_error(error)
        if head is not None and self._server.render_refusal is not None:
            with contextlib.suppress(UnicodeDecodeError):
                status, error_headers, body = self._server.render_refusal(
                    error, self._make_request(head)
                )
        headers = error_headers + (
            ("content-length", str(len(body))),
            ("connection", "close"),
        )
        response = _make_head(status, headers)
        await self.send(response, h11.Data(data=body), h11.EndOfMessage())


def _accept_queued(listener: socket.socket) -> list[socket.socket]:
    queued = []
    # the listener of a stopped server is already closed
    while listener.fileno() >= 0:
        try:
            queued.append(listener.accept()[0])
        except BlockingIOError:
            break
        except ConnectionAbortedError:
            # this caller has disconnected, others may still be in the queue
            continue
        except OSError as error:
            logger.warning(
                "cannot accept queued connections", extra={"reason": str(error)}
            )
            break
    return queued


def _make_head(status: int, headers: Headers) -> h11.Response:
    return h11.Response(
        status_code=status,
        headers=[(key.encode(), value.encode()) for key, value in headers],
        reason=_find_reason_phrase(status).encode(),
    )


def _find_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def _make_caller_lost_error() -> LinkLost:
    return LinkLost("the caller has disconnected", "send the request again")
