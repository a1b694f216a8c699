"""TCP relay that can silently stop forwarding connections, as middleboxes do."""

import asyncio
import contextlib

from ibishead.links import Endpoint

__all__ = ["Relay"]


class Relay:
    """Forwards connections to an upstream server, and can silence them.

    Connections that are open when `silence_open` is called stay open but permanently
    forward no more data; new connections work.

    :ivar upstream: upstream address; it must be set before the first connection.
    :ivar accepted: number of accepted connections.
    :ivar silence_before: a connection is silenced just before it would forward these
        bytes to the client; empty to disable.
    """

    def __init__(self) -> None:
        self.upstream: Endpoint | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._generation = 0
        self.accepted = 0
        self.silence_before = b""

    async def start(self, port: int = 0) -> Endpoint:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        return Endpoint("127.0.0.1", self._server.sockets[0].getsockname()[1])

    def silence_open(self) -> None:
        """Permanently stop forwarding on all open connections."""
        self._generation += 1

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.upstream is None:
            writer.close()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.upstream.address, self.upstream.port
            )
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, upstream_writer), (upstream_reader, writer)):
            to_client = sink is writer
            forwarding = self._forward(source, sink, self._generation, to_client)
            task = asyncio.create_task(forwarding)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        generation: int,
        to_client: bool,
    ) -> None:
        try:
            while data := await source.read(65536):
                # A silenced connection discards data and does not forward its close
                if generation != self._generation:
                    continue
                if to_client and self.silence_before and self.silence_before in data:
                    data = data[: data.index(self.silence_before)]
                    generation = -1
                sink.write(data)
                await sink.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if generation == self._generation:
            with contextlib.suppress(ConnectionError):
                sink.close()
