"""A bare h11 pass-through: the floor that the path of a request is measured against.

One process, one connection to the target for each caller's connection, nothing
decided and nothing checked.
"""

import asyncio
import sys
from pathlib import Path

import h11

READ_SIZE = 64 * 1024


async def _pass_message(
    source: h11.Connection,
    reader: asyncio.StreamReader,
    sink: h11.Connection,
    writer: asyncio.StreamWriter,
) -> bool:
    pending = b""
    while True:
        event = source.next_event()
        if event is h11.NEED_DATA:
            # What came in one read leaves in one write
            writer.write(pending)
            pending = b""
            source.receive_data(await reader.read(READ_SIZE))
            continue
        if isinstance(event, h11.ConnectionClosed):
            return False
        pending += sink.send(event) or b""
        if isinstance(event, h11.EndOfMessage):
            writer.write(pending)
            await writer.drain()
            return True


async def _serve(
    port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
    caller, target = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    try:
        while await _pass_message(caller, reader, target, far_writer):
            await _pass_message(target, far_reader, caller, writer)
            caller.start_next_cycle()
            target.start_next_cycle()
    except (ConnectionError, h11.ProtocolError):
        pass
    finally:
        writer.close()
        far_writer.close()


async def _main(target_port: int, port_file: Path) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(target_port, reader, writer), "127.0.0.1", 0
    )
    port_file.write_text(str(server.sockets[0].getsockname()[1]))
    await server.serve_forever()


def main() -> None:
    """Pass through to the port given first; write the own one to the file."""
    asyncio.run(_main(int(sys.argv[1]), Path(sys.argv[2])))
