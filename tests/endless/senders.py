"""Servers whose bytes are no answer, or no end of one, until the client closes."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator

from ibishead.links import Endpoint

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
#: The server stops by itself after so many bytes, in case nobody closes.
MAX_SENT = 64 * 1024 * 1024
BLOCK = 32 * 1024


def repeat(piece: bytes) -> Iterator[bytes]:
    """Return blocks of some bytes that come again and again."""
    return itertools.repeat(piece * max(1, BLOCK // len(piece)))


class EndlessServer:
    """A server that answers a request by a head and bytes without end.

    :param head: sent once.
    :param piece: sent again and again.
    :ivar sent: bytes that were sent to the client that was sent most.
    :ivar requests: number of connections.
    """

    def __init__(self, head: bytes, piece: bytes) -> None:
        self._head = head
        self._piece = piece
        self.sent = 0
        self.requests = 0

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.endpoint = Endpoint(host, port)
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.requests += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            sent = 0
            for block in repeat(self._piece):
                writer.write(block)
                await writer.drain()
                sent += len(block)
                self.sent = max(self.sent, sent)
                if sent > MAX_SENT:
                    break
        writer.transport.abort()


class TurnCounter:
    """Counts how much is done in a row, without a turn for other tasks.

    :ivar longest: most calls of `count` between two turns of another task.
    """

    def __init__(self) -> None:
        self.longest = 0
        self._row = 0

    def count(self) -> None:
        self._row += 1
        self.longest = max(self.longest, self._row)

    async def __aenter__(self) -> "TurnCounter":
        self._task = asyncio.create_task(self._take_turns())
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()

    async def _take_turns(self) -> None:
        while True:
            self._row = 0
            await asyncio.sleep(0)


def count_events(state, counter: TurnCounter) -> None:
    """Count the events that an h11 connection parses."""
    next_event = state.next_event

    def parse():
        counter.count()
        return next_event()

    state.next_event = parse
