"""One stand-in as a process: serve until told to stop, then finish what runs."""

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
    """Serve on loopback until SIGTERM or SIGINT, and let running answers end.

    :param port: 0 lets the system choose.
    :param port_file: where the port that was taken is written once it is open.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = WebServer(handler)
    endpoint = await server.start(Endpoint("127.0.0.1", port))
    if port_file is not None:
        _write_whole(port_file, f"{endpoint.port}\n")
    await stop.wait()
    await server.stop()


async def respond_json(exchange: Exchange, status: int, body: bytes) -> None:
    """Answer with JSON that is already encoded."""
    await exchange.respond(status, (("content-type", "application/json"),), body)


async def respond_text(exchange: Exchange, status: int, text: str) -> None:
    """Answer with plain text."""
    headers = (("content-type", "text/plain; charset=utf-8"),)
    await exchange.respond(status, headers, text.encode())


def _write_whole(file: Path, text: str) -> None:
    # Whoever waits for the file must never read half of it
    part = file.with_name(file.name + ".part")
    part.write_text(text)
    part.replace(file)
