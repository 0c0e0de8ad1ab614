"""A loopback TCP proxy that delays, stalls (in one or both directions) or resets connections."""

import asyncio
import socket
import struct

HOST = "127.0.0.1"


class Proxy:
    """Forwards one port to one target port. Faults apply to all its connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay = 0.0           # seconds added to each chunk, in both directions
        self.stalled = set()       # directions that hold data back without loss: "up", "down"
        self.writers = set()

    def heal(self):
        self.delay = 0.0
        self.stalled = set()

    def reset(self):
        """Resets all open connections with a TCP RST."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()

    async def listen(self, port):
        return await asyncio.start_server(self.connection, HOST, port)

    async def connection(self, reader, writer):
        try:
            await self.relay(reader, writer)
        except asyncio.CancelledError:
            pass  # The soak ended.

    async def relay(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(self.forward(reader, upstream_writer, "up"),
                             self.forward(upstream_reader, writer, "down"))
        self.writers -= {writer, upstream_writer}

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while direction in self.stalled:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # One side was reset; the other one is closed below.
        writer.close()
