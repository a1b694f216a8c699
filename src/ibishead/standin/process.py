"""Process of a stand-in: serves until a signal, then completes open requests."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from ibishead.links import Endpoint
from ibishead.web import Exchange, WebServer

__all__ = ["respond_json", "respond_text", "serve_until_stopped"]


async def serve_until_stopped(
    handler: Callable[[Exchange], Awaitable[None]],
    port: int,
    port_file: Path | None = None,
) -> None:
    """Serve on loopback until SIGTERM or SIGINT, then complete open requests.

    :param port: port to listen on; 0 lets the system choose.
    :param port_file: file that receives the port number once the port is open.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    server = WebServer(handler)
    endpoint = await server.start(Endpoint("127.0.0.1", port))
    if port_file is not None:
        _write_atomically(port_file, f"{endpoint.port}\n")
    await stop.wait()
    await server.stop()


async def respond_json(exchange: Exchange, status: int, body: bytes) -> None:
    """Respond with a body that is already encoded as JSON."""
    await exchange.respond(status, (("content-type", "application/json"),), body)


async def respond_text(exchange: Exchange, status: int, text: str) -> None:
    """Respond with plain text."""
    headers = (("content-type", "text/plain; charset=utf-8"),)
    await exchange.respond(status, headers, text.encode())


def _write_atomically(file: Path, text: str) -> None:
    # Programs that poll for the file must not read a partial write
    temporary = file.with_name(file.name + ".part")
    temporary.write_text(text)
    temporary.replace(file)
