"""A loopback TCP proxy that delays, silences, cuts one way or resets connections."""

import asyncio
import socket
import struct

HOST = "127.0.0.1"


class Proxy:
    """One port before one target. Faults hold for all of its connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay = 0.0           # seconds added to each piece, both ways
        self.silent = set()        # ways that lose nothing and pass nothing on: "up", "down"
        self.writers = set()

    def heal(self):
        self.delay = 0.0
        self.silent = set()

    def reset(self):
        """Resets all connections that are open now."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()

    async def listen(self, port):
        return await asyncio.start_server(self.connection, HOST, port)

    async def connection(self, reader, writer):
        try:
            await self.join(reader, writer)
        except asyncio.CancelledError:
            pass  # The soak ends.

    async def join(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(self.pump(reader, upstream_writer, "up"),
                             self.pump(upstream_reader, writer, "down"))
        self.writers -= {writer, upstream_writer}

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while way in self.silent:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # One side was reset; the other side is closed below.
        writer.close()
