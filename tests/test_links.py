"""Links deliver messages in order, detect silent peers and close cleanly."""

import asyncio

import pytest
from websockets.asyncio.client import connect

from ibishead.clock import SystemClock
from ibishead.codec import decode_batch, encode_batch
from ibishead.errors import LinkLost
from ibishead.ids import HostId
from ibishead.links import Endpoint, HeartbeatTiming, Link, LinkServer, dial
from ibishead.messages import Hello, Pong, ReportInForce, Role
from ibishead.session import LinkAction, LinkMonitor

LOOPBACK = Endpoint("127.0.0.1", 0)
ENTRY = Hello(Role.ENTRY, HostId("e1"))
AGENT = Hello(Role.AGENT, HostId("a1"))
CLOCK = SystemClock()


async def echo(link: Link) -> None:
    async for message in link.receive():
        link.send(message)


async def test_messages_are_echoed_in_order():
    server = LinkServer(echo, lambda: AGENT, CLOCK)
    endpoint = await server.start(LOOPBACK)
    link = await dial(endpoint, ENTRY, CLOCK)
    sent = [ReportInForce(HostId("e1"), n) for n in range(1000)]
    for message in sent:
        link.send(message)
    received = []
    async for message in link.receive():
        received.append(message)
        if len(received) == len(sent):
            break
    assert received == sent
    assert link.peer == AGENT
    await link.close()
    await server.stop()


async def test_dial_without_a_listener_raises_link_lost():
    server = LinkServer(echo, lambda: AGENT, CLOCK)
    endpoint = await server.start(LOOPBACK)
    await server.stop()
    with pytest.raises(LinkLost) as caught:
        await dial(endpoint, ENTRY, CLOCK)
    assert caught.value.remedy


async def test_link_to_a_silent_peer_is_closed():
    """A middlebox drops a connection, and the kernel reports no error."""

    released = asyncio.Event()

    async def stay_silent(link: Link) -> None:
        await released.wait()

    heartbeat = HeartbeatTiming(interval=0.02, timeout=0.1)
    server = LinkServer(stay_silent, lambda: AGENT, CLOCK, HeartbeatTiming(60, 60))
    endpoint = await server.start(LOOPBACK)
    link = await dial(endpoint, ENTRY, CLOCK, heartbeat)
    assert [message async for message in link.receive()] == []
    assert link.closed
    released.set()
    await server.stop()


@pytest.mark.parametrize(
    ("ticks", "heard", "expected"),
    [
        ([0.1], [], [LinkAction.PING]),
        ([0.1, 0.2], [], [LinkAction.PING, LinkAction.WAIT]),
        ([0.1, 0.7], [], [LinkAction.PING, LinkAction.PING]),
        ([0.5, 1.0, 1.5, 2.0], [], [LinkAction.PING] * 3 + [LinkAction.GIVE_UP]),
        ([0.5, 1.0, 1.5, 2.0], [1.2], [LinkAction.PING] * 4),
    ],
)
def test_monitor_pings_and_gives_up(ticks, heard, expected):
    monitor = LinkMonitor(0.0, interval=0.5, timeout=2.0)
    actions = []
    for tick in ticks:
        for moment in [h for h in heard if h <= tick]:
            monitor.note_received(moment)
        actions.append(monitor.tick(tick))
    assert actions == expected


def test_own_suspension_is_not_counted_as_silence_of_the_peer():
    """After a suspension of a minute, the link to a live peer must not be closed."""
    monitor = LinkMonitor(0.0, interval=0.5, timeout=2.0)
    monitor.tick(0.5)
    assert monitor.tick(60.0) is LinkAction.PING
    assert monitor.tick(60.9) is LinkAction.PING
    assert monitor.tick(61.6) is LinkAction.PING
    assert monitor.tick(62.1) is LinkAction.GIVE_UP


async def test_link_that_is_opened_during_a_stop_is_closed():
    """A peer connects just before a planned stop and sends its hello after it began.

    A link that stayed open would block the stop indefinitely.
    """
    server = LinkServer(echo, lambda: AGENT, CLOCK)
    endpoint = await server.start(LOOPBACK)
    socket = await connect(f"ws://{endpoint}/", compression=None, proxy=None)
    await socket.recv()
    stop = asyncio.create_task(server.stop())
    await asyncio.sleep(0)
    await socket.send(encode_batch([ENTRY]))

    async def answer_pings() -> None:
        async for frame in socket:
            pongs = [Pong(m.number) for m in decode_batch(frame)]
            await socket.send(encode_batch(pongs))

    peer = asyncio.create_task(answer_pings())
    async with asyncio.timeout(5.0):
        await stop
    await peer
