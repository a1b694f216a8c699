"""HTTP API of the registry for the platform's targets and operators."""

import logging
import re
from collections.abc import Awaitable, Callable

from ibishead.errors import IbisheadError, NotFound, Unavailable
from ibishead.headers import Headers
from ibishead.ids import TargetId
from ibishead.platform.bodies import (
    decode_deregistration,
    decode_heartbeat,
    decode_routes,
    decode_version,
)
from ibishead.registry.service import RedirectError, RegistryService
from ibishead.web import Exchange, WebRequest, encode_error

__all__ = ["make_http_handler"]

logger = logging.getLogger(__name__)

_INSTANCE_PATH = re.compile(r"/api/instances/([^/]+)/(heartbeat|deregister)")
_JSON: Headers = (("content-type", "application/json"),)
_EMPTY_OBJECT = b"{}"


def make_http_handler(
    service: RegistryService,
) -> Callable[[Exchange], Awaitable[None]]:
    """Return the handler of a registry's HTTP server."""

    async def handle(exchange: Exchange) -> None:
        request = exchange.request
        try:
            body = await _dispatch(service, request)
        except RedirectError as error:
            location = f"http://{error.address}{request.target}"
            await exchange.respond(307, (("location", location),))
            return
        except IbisheadError as error:
            logger.info(
                "API request failed",
                extra={
                    "method": request.method,
                    "path": request.path,
                    "code": error.code.value,
                    "reason": error.message,
                },
            )
            headers, content = encode_error(error)
            await exchange.respond(error.status, headers, content)
            return
        await exchange.respond(200, _JSON, body)

    return handle


async def _dispatch(service: RegistryService, request: WebRequest) -> bytes:
    match request.method, request.path:
        case "POST", path if (found := _INSTANCE_PATH.fullmatch(path)) is not None:
            await _handle_instance_call(service, found[1], found[2], request.body)
            return _EMPTY_OBJECT
        case "POST", "/api/config/put":
            await service.put_routes(decode_routes(request.body), request.body)
            return _EMPTY_OBJECT
        case "GET", "/api/config/get":
            document = await service.read_routes()
            if not document:
                raise Unavailable(
                    "no route set has been accepted yet", "send one to /api/config/put"
                )
            return document
        case "POST", "/api/version-put":
            await service.raise_floor(*decode_version(request.body))
            return _EMPTY_OBJECT
    raise NotFound(
        f"unknown call {request.method} {request.path}", "check method and path"
    )


async def _handle_instance_call(
    service: RegistryService, target: str, kind: str, body: bytes
) -> None:
    if kind == "heartbeat":
        await service.register(decode_heartbeat(target, body))
    else:
        await service.deregister(TargetId(target), decode_deregistration(body))
