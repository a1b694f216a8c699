"""A TCP relay that loses track of connections, as middleboxes do."""

import asyncio
import contextlib

from ibishead.links import Endpoint

__all__ = ["Relay"]


class Relay:
    """Passes bytes to an upstream, until told to be silent.

    Connections that were open when `silence_open` was called stay open and carry
    nothing more, for good; new ones work.

    :ivar upstream: may be set once it is known, before the first connection.
    :ivar swallowed: connections that carry these bytes toward the caller fall silent
        before them; none while it is empty.
    """

    def __init__(self) -> None:
        self.upstream: Endpoint | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._generation = 0
        self.accepted = 0
        self.swallowed = b""

    async def start(self, port: int = 0) -> Endpoint:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        return Endpoint("127.0.0.1", self._server.sockets[0].getsockname()[1])

    def silence_open(self) -> None:
        """Carry nothing more on the connections that are open now."""
        self._generation += 1

    async def stop(self) -> None:
        """Drop everything."""
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
            far_reader, far_writer = await asyncio.open_connection(
                self.upstream.address, self.upstream.port
            )
        except OSError:
            writer.close()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            silences = sink is writer
            work = self._pass_on(source, sink, self._generation, silences)
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        generation: int,
        silences: bool,
    ) -> None:
        try:
            while data := await source.read(65536):
                # A silent connection swallows what comes and passes on no end
                if generation != self._generation:
                    continue
                if silences and self.swallowed and self.swallowed in data:
                    data = data[: data.index(self.swallowed)]
                    generation = -1
                sink.write(data)
                await sink.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if generation == self._generation:
            with contextlib.suppress(ConnectionError):
                sink.close()
