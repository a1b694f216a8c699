"""HTTP client for the operators' API, with failover between several servers."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from ssl import SSLContext
from typing import TypeVar

import msgspec

from ibishead.clock import Clock
from ibishead.errors import (
    Conflict,
    ErrorCode,
    Forbidden,
    IbisheadError,
    InvalidInput,
    LinkLost,
    NotFound,
    OutcomeUnknown,
    Refused,
    TooLarge,
    Unauthorized,
    Unavailable,
)
from ibishead.headers import Headers, find_header
from ibishead.links import Endpoint
from ibishead.webclient import ClientConnection

__all__ = ["HttpClient", "decode_response"]

#: Time for one server to respond. A dead connection can't be distinguished from a slow
#: server, so after this time the request is sent to the next server.
RESPONSE_TIMEOUT_SECONDS = 5.0

#: Pause between two rounds over all servers.
ROUND_PAUSE_SECONDS = 0.2

_ERROR_CLASSES: dict[int, type[IbisheadError]] = {
    400: InvalidInput,
    401: Unauthorized,
    403: Forbidden,
    404: NotFound,
    409: Conflict,
    413: TooLarge,
    429: Refused,
    503: Unavailable,
}
_T = TypeVar("_T")


class _ErrorBody(msgspec.Struct):
    code: str = ""
    message: str = ""
    remedy: str = ""


class _ErrorResponse(msgspec.Struct):
    error: _ErrorBody = msgspec.field(default_factory=_ErrorBody)


@dataclass(frozen=True)
class HttpClient:
    """Sends requests to a group of interchangeable servers.

    :param key: the API key, sent as a bearer token; empty for none.
    :param tls: the TLS context; none for plain HTTP.
    :param timeout: the time in seconds after which no new round of attempts starts.
    :param response_timeout: the time in seconds for one server to respond.
    """

    servers: tuple[Endpoint, ...]
    clock: Clock
    key: str = field(default="", repr=False)
    tls: SSLContext | None = None
    timeout: float = 20.0
    response_timeout: float = RESPONSE_TIMEOUT_SECONDS

    async def request(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Send an idempotent request, and return the body of the response.

        The request is retried on the next server if the response is lost or the
        server is temporarily unable to decide.

        :raises LinkLost: no server could be reached in time.
        :raises OutcomeUnknown: a response was lost, and no later one clarifies whether
            the request was accepted.
        :raises Unavailable: the servers that responded were unable to decide in time.
        :raises IbisheadError: a server refused the request.
        """
        deadline = self.clock.monotonic() + self.timeout
        response_lost = False
        while True:
            for server in self.servers:
                try:
                    return await self.request_from(server, method, target, body)
                except (LinkLost, OutcomeUnknown, Unavailable) as error:
                    last_error: IbisheadError = error
                    response_lost = response_lost or isinstance(error, OutcomeUnknown)
                except (Forbidden, Unauthorized) as error:
                    if response_lost:
                        raise _make_outcome_unknown(error) from error
                    raise
            if self.clock.monotonic() + ROUND_PAUSE_SECONDS >= deadline:
                raise last_error
            await asyncio.sleep(ROUND_PAUSE_SECONDS)

    async def request_once(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Send a request that must not be repeated, and return the response body.

        The next server is tried if a server can't be reached or is unable to decide.

        :raises LinkLost: no server could be reached; nothing was sent.
        :raises OutcomeUnknown: the response was lost after the request was sent, or the
            server failed.
        :raises IbisheadError: a server refused the request.
        """
        for server in self.servers:
            try:
                return await self.request_from(server, method, target, body)
            except (LinkLost, Unavailable) as error:
                last_error: IbisheadError = error
        raise last_error

    async def request_from(
        self, server: Endpoint, method: str, target: str, body: bytes = b""
    ) -> bytes:
        """Send a request to one server, and return the body of the response.

        :raises LinkLost: the server can't be reached; nothing was sent.
        :raises OutcomeUnknown: the response was lost after the request was sent, or the
            server failed.
        :raises IbisheadError: the server refused the request.
        """
        connection = await ClientConnection.open(server, self.tls)
        headers: Headers = (("accept", "application/json"),)
        if self.key:
            headers += (("authorization", f"Bearer {self.key}"),)
        try:
            async with asyncio.timeout(self.response_timeout):
                response = await connection.ask(method, target, headers, body)
                content = await response.read()
        except (LinkLost, TimeoutError) as error:
            raise OutcomeUnknown(
                f"no response from {server} after the request was sent: {error}",
                "check with ibishead status whether the replica runs",
            ) from error
        finally:
            connection.close()
        if response.status < 300:
            return content
        raise _make_error(server, response.status, response.headers, content)


def decode_response(content: bytes, response_type: type[_T]) -> _T:
    """Return a JSON response decoded as the given type.

    :raises InvalidInput: the response doesn't match the type.
    """
    try:
        return msgspec.json.decode(content, type=response_type)
    except msgspec.DecodeError as error:
        raise InvalidInput(
            f"the response can't be decoded: {error}",
            "run the same version of ibishead as the server",
        ) from error


def _make_outcome_unknown(error: IbisheadError) -> OutcomeUnknown:
    # A submission that revokes the key it was sent with may be accepted while its
    # response is lost. The retry is then refused because the key is no longer valid,
    # which doesn't prove that the first attempt was not accepted.
    return OutcomeUnknown(
        f"a response was lost, and the retry was refused: {error.message}",
        "check with another key what was accepted",
    )


def _make_error(
    server: Endpoint, status: int, headers: Headers, content: bytes
) -> IbisheadError:
    try:
        body = msgspec.json.decode(content, type=_ErrorResponse).error
    except msgspec.DecodeError:
        body = _ErrorBody()
    retry_after = find_header(headers, "retry-after") or ""
    code = next((c for c in ErrorCode if c.value == body.code), ErrorCode.INTERNAL)
    error_class = _ERROR_CLASSES.get(
        status, OutcomeUnknown if status >= 500 else InvalidInput
    )
    if code is ErrorCode.OUTCOME_UNKNOWN:
        error_class = OutcomeUnknown
    return error_class(
        body.message or f"{server} responded with status {status}",
        body.remedy or "check that this is an operators' port of ibishead",
        code=code,
        retry_after=timedelta(seconds=int(retry_after))
        if retry_after.isdecimal()
        else None,
    )
