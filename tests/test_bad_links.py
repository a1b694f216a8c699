"""An invalid frame closes its link only; the server continues to serve others."""

import asyncio
import contextlib
import re
import socket

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException
from websockets.utils import accept_key

from ibishead.clock import SystemClock
from ibishead.codec import MAX_FRAME, encode, encode_batch
from ibishead.ids import HostId
from ibishead.links import Endpoint, HeartbeatTiming, LinkServer, _abort_transport, dial
from ibishead.messages import AnswerBody, Hello, ReportInForce, Role

LOOPBACK = Endpoint("127.0.0.1", 0)
ENTRY = Hello(Role.ENTRY, HostId("e1"))
AGENT = Hello(Role.AGENT, HostId("a1"))
CLOCK = SystemClock()
NO_HEARTBEAT = HeartbeatTiming(1000.0, 1000.0)
UPGRADE = (
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: websocket\r\n"
    "connection: upgrade\r\nsec-websocket-accept: {}\r\n\r\n"
)
#: First byte of an unfragmented binary frame, by RFC 6455.
BINARY_FRAME = 0x82
HELLO = encode_batch([ENTRY])


@pytest.fixture
async def server():
    async def echo(link):
        async for message in link.receive():
            link.send(message)

    server = LinkServer(echo, lambda: AGENT, CLOCK)
    server.endpoint = await server.start(LOOPBACK)
    yield server
    await server.stop()


@pytest.mark.parametrize(
    "frames",
    [
        pytest.param([b""], id="empty-greeting"),
        pytest.param([b"\xff\xff"], id="no-cbor-greeting"),
        pytest.param([encode([["Ping", 1]])], id="no-hello"),
        pytest.param([HELLO + b"", encode([["Hello", "king", "e1"]])], id="bad-role"),
        pytest.param([HELLO, b"\xff"], id="no-cbor"),
        pytest.param([HELLO, encode([["Ping", "one"]])], id="wrong-type"),
        pytest.param([HELLO, encode([["Ping"]])], id="missing-field"),
        pytest.param([HELLO, encode([["Sing", 1]])], id="unknown-message"),
        pytest.param([HELLO, b"\x81" * 10_000], id="deep"),
        pytest.param([HELLO, bytes.fromhex("9b7fffffffffffffff")], id="endless-list"),
        pytest.param([HELLO, b"\0" * (MAX_FRAME + 1)], id="too-large"),
        pytest.param([HELLO, "text"], id="text"),
    ],
)
async def test_invalid_frame_closes_only_its_link(server, frames):
    good = await dial(server.endpoint, ENTRY, CLOCK)
    async with asyncio.timeout(30):
        client = await connect(f"ws://{server.endpoint}/")
        # The close of websockets raises AttributeError if bytes were left unsent
        with contextlib.suppress(WebSocketException, AttributeError):
            for frame in frames:
                await client.send(frame)
            async for _ in client:
                pass
        # The loop above ends only when the server has closed the link
        while len(server.links) > 1:
            await asyncio.sleep(0)
    good.send(ReportInForce(HostId("e1"), 1))
    async for message in good.receive():
        assert message == ReportInForce(HostId("e1"), 1)
        break
    await good.close()


async def test_link_is_closed_when_its_peer_leaves_with_unsent_data():
    """A peer closes its side while data waits to be sent, and then reads that data.

    CPython 3.11 then raises AttributeError when the transport is aborted. Uncaught, it
    ended the task that reconnects, and an entry host stayed disconnected from a control
    replica that had been stopped.
    """
    full = asyncio.Event()

    async def leave(reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        key = re.search(rb"(?i)sec-websocket-key: *(\S+)", request)[1].decode()
        greeting = encode_batch([AGENT])
        writer.write(UPGRADE.format(accept_key(key)).encode())
        writer.write(bytes([BINARY_FRAME, len(greeting)]) + greeting)
        await full.wait()
        writer.write_eof()
        for _ in range(100):
            await asyncio.sleep(0)
        await reader.read()
        writer.close()

    async with await asyncio.start_server(leave, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        link = await dial(Endpoint("127.0.0.1", port), ENTRY, CLOCK, NO_HEARTBEAT)
        await fill(link)
        full.set()
        async with asyncio.timeout(10):
            await link.wait_closed()
        assert [message async for message in link.receive()] == []
        await link.close()


async def test_abort_of_a_lost_transport_raises_nothing():
    """The same AttributeError, raised when the reader of the link aborts it first."""
    near, far = socket.socketpair()
    far.setblocking(False)
    lost = asyncio.Event()

    class LossRecorder(asyncio.Protocol):
        def connection_lost(self, exc):
            lost.set()

    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(LossRecorder, sock=near)
    while not transport.get_write_buffer_size():
        transport.write(bytes(1_000_000))
    transport.close()
    while not lost.is_set():
        with contextlib.suppress(BlockingIOError):
            far.recv(1_000_000)
        await asyncio.sleep(0)
    _abort_transport(transport)
    far.close()


async def fill(link):
    """Send until the kernel's buffers are full."""
    while True:
        sent = link.sent_bytes
        link.send(AnswerBody("r1", 1, 0, bytes(1_000_000)))
        for _ in range(1000):
            await asyncio.sleep(0)
            if link.sent_bytes > sent:
                break
        else:
            return
