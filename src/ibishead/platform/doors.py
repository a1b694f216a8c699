"""The registry's door for the platform's targets and operators."""

import logging
import re
from collections.abc import Awaitable, Callable

from ibishead.errors import IbisheadError, NotFound, Unavailable
from ibishead.headers import Headers
from ibishead.ids import TargetId
from ibishead.platform.bodies import (
    decode_farewell,
    decode_heartbeat,
    decode_routes,
    decode_version,
)
from ibishead.registry.service import RedirectError, RegistryService
from ibishead.web import Exchange, WebRequest, encode_error

__all__ = ["make_door"]

logger = logging.getLogger(__name__)

_INSTANCE = re.compile(r"/api/instances/([^/]+)/(heartbeat|deregister)")
_JSON: Headers = (("content-type", "application/json"),)
_DONE = b"{}"


def make_door(service: RegistryService) -> Callable[[Exchange], Awaitable[None]]:
    """Return the handler of a registry's HTTP server."""

    async def answer(exchange: Exchange) -> None:
        request = exchange.request
        try:
            body = await _answer(service, request)
        except RedirectError as error:
            location = f"http://{error.address}{request.target}"
            await exchange.respond(307, (("location", location),))
            return
        except IbisheadError as error:
            logger.info(
                "call refused",
                extra={
                    "method": request.method,
                    "path": request.path,
                    "code": error.code.value,
                    "reason": error.message,
                },
            )
            headers, shown = encode_error(error)
            await exchange.respond(error.status, headers, shown)
            return
        await exchange.respond(200, _JSON, body)

    return answer


async def _answer(service: RegistryService, request: WebRequest) -> bytes:
    match request.method, request.path:
        case "POST", path if (found := _INSTANCE.fullmatch(path)) is not None:
            _take_statement(service, found[1], found[2], request.body)
            return _DONE
        case "POST", "/api/config/put":
            await service.put_routes(decode_routes(request.body), request.body)
            return _DONE
        case "GET", "/api/config/get":
            document = await service.read_routes()
            if not document:
                raise Unavailable("no routes were accepted yet", "send them")
            return document
        case "POST", "/api/version-put":
            await service.raise_floor(*decode_version(request.body))
            return _DONE
    raise NotFound(f"no call {request.method} {request.path}", "check the path")


def _take_statement(
    service: RegistryService, target: str, kind: str, body: bytes
) -> None:
    if kind == "heartbeat":
        service.announce(decode_heartbeat(target, body))
    else:
        service.deregister(TargetId(target), decode_farewell(body))
