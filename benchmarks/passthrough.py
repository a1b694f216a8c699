"""A minimal HTTP pass-through on h11, the baseline for the cost of a request.

It runs in one process, opens one connection to the target for each connection of a
caller, and neither routes nor validates requests.
"""

import asyncio
import sys
from pathlib import Path

import h11

READ_SIZE = 64 * 1024


async def _forward_message(
    source: h11.Connection,
    reader: asyncio.StreamReader,
    destination: h11.Connection,
    writer: asyncio.StreamWriter,
) -> bool:
    pending = b""
    while True:
        event = source.next_event()
        if event is h11.NEED_DATA:
            # Write the data of one read in one write.
            writer.write(pending)
            pending = b""
            source.receive_data(await reader.read(READ_SIZE))
            continue
        if isinstance(event, h11.ConnectionClosed):
            return False
        pending += destination.send(event) or b""
        if isinstance(event, h11.EndOfMessage):
            writer.write(pending)
            await writer.drain()
            return True


async def _serve(
    port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    target_reader, target_writer = await asyncio.open_connection("127.0.0.1", port)
    caller, target = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    try:
        while await _forward_message(caller, reader, target, target_writer):
            await _forward_message(target, target_reader, caller, writer)
            caller.start_next_cycle()
            target.start_next_cycle()
    except (ConnectionError, h11.ProtocolError):
        pass
    finally:
        writer.close()
        target_writer.close()


async def _main(target_port: int, port_file: Path) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(target_port, reader, writer), "127.0.0.1", 0
    )
    port_file.write_text(str(server.sockets[0].getsockname()[1]))
    await server.serve_forever()


def main() -> None:
    """Serve; arguments are the port of the target and a file for the own port."""
    asyncio.run(_main(int(sys.argv[1]), Path(sys.argv[2])))
