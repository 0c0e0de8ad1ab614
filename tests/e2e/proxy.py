"""A loopback TCP proxy that delays, holds back, resets or silences connections."""

import asyncio
import ctypes
import re
import select
import socket
import struct
import time

HOST = "127.0.0.1"
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
FIRST_RESEND = 0.2  # seconds until the first resending of TCP; each further wait is twice as long
HOLDER = re.compile(rb'"holder":\s*"([^"]+)"')


def drop_packets(sock):
    """Makes a socket ignore all packets that arrive for it, so that nothing is acknowledged any more."""
    code = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # BPF: return 0, keep no byte
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", 1, ctypes.addressof(code)))


def keep_packets(sock):
    """Undoes drop_packets()."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def was_reset(writer):
    """Tells whether the peer has reset a connection, also after it ended its side in order, when the reader sees no
    error any more."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    state = select.poll()
    state.register(sock.fileno(), 0)
    return any(events & select.POLLERR for _, events in state.poll(0))


def reset_connection(writer):
    """Closes a connection with a TCP RST."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link:
    """One connection through the proxy."""

    def __init__(self, near, far):
        self.near, self.far = near, far  # writers
        self.silent = set()  # directions whose bytes vanish: "up", "down"


class Proxy:
    """Forwards one port to one target port. Faults apply to all its connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay = 0.0           # seconds added to each chunk, in both directions
        self.stalled = set()       # directions that hold data back without loss: "up", "down"
        self.cut_at_order = False  # begins a cut in the direction "up" with the next order
        self.holder = None         # sender of the order that began the last such cut
        self.writers = set()
        self.links = set()
        self.kept = set()          # ends of silent connections

    def heal(self):
        self.delay = 0.0
        self.stalled = set()
        self.cut_at_order = False

    def reset(self):
        """Resets all open connections with a TCP RST."""
        for writer in list(self.writers):
            reset_connection(writer)

    def silence(self, directions):
        """Makes all open connections go silent for good, without a reset; new ones work. Returns their number.

        The gateway's packets always vanish; with "down", the answers of the target vanish too.
        """
        for link in self.links:
            link.silent |= set(directions)
            self.kept |= {link.near, link.far}
            sock = link.near.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                drop_packets(sock)
        return len(self.links)

    def close(self):
        for writer in self.writers | self.kept:
            writer.transport.abort()

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
        link = Link(writer, upstream_writer)
        self.writers |= {writer, upstream_writer}
        self.links.add(link)
        await asyncio.gather(self.forward(reader, upstream_writer, "up", link),
                             self.forward(upstream_reader, writer, "down", link))
        self.writers -= {writer, upstream_writer}
        self.links.discard(link)

    async def forward(self, reader, writer, direction, link):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                self.note(data, direction)
                if direction in self.stalled:
                    await self.hold(reader, link.near if direction == "up" else link.far, direction)
                if direction in link.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:  # One side was reset, and the other one learns it as on a direct connection.
            if direction not in link.silent:
                reset_connection(writer)
        if direction not in link.silent:
            await self.end(link, writer, direction)

    async def end(self, link, writer, direction):
        """Ends the other side after one side has ended in this direction."""
        writer.close()

    def note(self, data, direction):
        if self.cut_at_order and direction == "up" and b"/-/order" in data:
            found = HOLDER.search(data)
            self.cut_at_order = False
            self.stalled = {"up"}
            self.holder = found.group(1).decode() if found else ""

    async def hold(self, reader, sender, direction):
        """Waits for the first resending after the cut has healed. Raises if the sender resets the connection, which
        loses the bytes; those of a sender that has closed it in order still arrive."""
        resend, wait = time.monotonic(), FIRST_RESEND
        while direction in self.stalled:
            resend += wait
            wait *= 2
            while time.monotonic() < resend:
                if reader.exception() is not None or was_reset(sender):
                    raise ConnectionResetError
                await asyncio.sleep(0.02)
