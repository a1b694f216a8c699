"""Asks replicas or entry hosts, one after another until one answers."""

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

__all__ = ["HttpClient", "decode_answer"]

#: Seconds for one server to answer. A connection that went silent for good looks
#: like a slow server; the next one is asked instead.
ANSWER_TIMEOUT = 5.0

#: Seconds between two rounds over all servers.
ROUND_PAUSE = 0.2

_KINDS: dict[int, type[IbisheadError]] = {
    400: InvalidInput,
    401: Unauthorized,
    403: Forbidden,
    404: NotFound,
    409: Conflict,
    413: TooLarge,
    429: Refused,
}
_T = TypeVar("_T")


class _ErrorBody(msgspec.Struct):
    code: str = ""
    message: str = ""
    remedy: str = ""


class _ErrorAnswer(msgspec.Struct):
    error: _ErrorBody = msgspec.field(default_factory=_ErrorBody)


@dataclass(frozen=True)
class HttpClient:
    """Asks servers that stand in for each other.

    :param key: sent as a bearer token; empty for none.
    :param patience: seconds until the client stops asking.
    """

    servers: tuple[Endpoint, ...]
    clock: Clock
    key: str = field(default="", repr=False)
    tls: SSLContext | None = None
    patience: float = 20.0
    answer_timeout: float = ANSWER_TIMEOUT

    async def ask(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Return the body of the first answer.

        The request is sent again to the next server when an answer is lost or the
        server can't decide now, so it has to be idempotent.

        :raises LinkLost: nobody could be reached in time.
        :raises OutcomeUnknown: an answer was lost, and no later one settles it.
        :raises Unavailable: those that answered couldn't decide in time.
        :raises IbisheadError: a server refused the request.
        """
        give_up = self.clock.monotonic() + self.patience
        lost = False
        while True:
            for server in self.servers:
                try:
                    return await self.ask_server(server, method, target, body)
                except (LinkLost, OutcomeUnknown, Unavailable) as error:
                    last: IbisheadError = error
                    lost = lost or isinstance(error, OutcomeUnknown)
                except (Forbidden, Unauthorized) as error:
                    if lost:
                        raise _doubt_refusal(error) from error
                    raise
            if self.clock.monotonic() + ROUND_PAUSE >= give_up:
                raise last
            await asyncio.sleep(ROUND_PAUSE)

    async def ask_once(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Return the body of an answer; for requests that may not be sent twice.

        :raises LinkLost: no server could be reached; nothing was sent.
        :raises OutcomeUnknown: the answer was lost after the request was sent.
        :raises IbisheadError: a server refused the request.
        """
        for server in self.servers:
            try:
                return await self.ask_server(server, method, target, body)
            except (LinkLost, Unavailable) as error:
                last: IbisheadError = error
        raise last

    async def ask_server(
        self, server: Endpoint, method: str, target: str, body: bytes = b""
    ) -> bytes:
        """Return the body of one server's answer.

        :raises LinkLost: the server can't be reached; nothing was sent.
        :raises OutcomeUnknown: the answer was lost after the request was sent.
        :raises IbisheadError: the server refused the request.
        """
        connection = await ClientConnection.open(server, self.tls)
        headers: Headers = (("accept", "application/json"),)
        if self.key:
            headers += (("authorization", f"Bearer {self.key}"),)
        try:
            async with asyncio.timeout(self.answer_timeout):
                answer = await connection.ask(method, target, headers, body)
                content = await answer.read()
        except (LinkLost, TimeoutError) as error:
            raise OutcomeUnknown(
                f"{server} was asked but its answer is lost: {error}",
                "see with ibishead status whether the replica runs",
            ) from error
        finally:
            connection.close()
        if answer.status < 300:
            return content
        raise _make_error(server, answer.status, answer.headers, content)


def decode_answer(content: bytes, kind: type[_T]) -> _T:
    """Return a JSON answer as the kind asked for.

    :raises InvalidInput: the answer has another shape.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as error:
        raise InvalidInput(
            f"the answer can't be read: {error}",
            "run the same version of ibishead here and there",
        ) from error


def _doubt_refusal(error: IbisheadError) -> OutcomeUnknown:
    # Failure: a change that takes this very key away is accepted, its answer is
    # lost, and the resend is refused for want of the key. That is no proof that
    # the first one was not accepted.
    return OutcomeUnknown(
        f"an answer was lost, and the resend is refused: {error.message}",
        "see with another key what was accepted",
    )


def _make_error(
    server: Endpoint, status: int, headers: Headers, content: bytes
) -> IbisheadError:
    try:
        body = msgspec.json.decode(content, type=_ErrorAnswer).error
    except msgspec.DecodeError:
        body = _ErrorBody()
    retry_after = find_header(headers, "retry-after") or ""
    code = next((c for c in ErrorCode if c.value == body.code), ErrorCode.INTERNAL)
    kind = _KINDS.get(status, Unavailable if status >= 500 else InvalidInput)
    return kind(
        body.message or f"{server} answered with status {status}",
        body.remedy or "check that an operators' port of ibishead listens there",
        code=code,
        retry_after=timedelta(seconds=int(retry_after))
        if retry_after.isdecimal()
        else None,
    )
