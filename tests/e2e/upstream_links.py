"""The paths of one VM to the upstreams, which a test can cut while the other VMs still reach them.

The store hands each VM records with addresses of its own (127.0.1.N with the port of the upstream), where a proxy
listens. So VMs can't name an upstream to each other by its address, only by the name in its record.
"""

import asyncio
import base64
import json
import re
import socket
import time

from proxy import Proxy, drop_packets, keep_packets, reset_connection, was_reset

HOWS = ("silent", "reset", "refuse")
BACKLOG = 100
REQUEST_ID = re.compile(rb"\r\nx-request-id: *([^\r]+)", re.IGNORECASE)


class UpstreamLink(Proxy):
    """The path of one VM to one upstream. Its methods run on the thread of the platform."""

    def __init__(self, host, port):
        super().__init__(port)
        self.address = (host, port)
        self.near = set()    # writers of connections that were accepted
        self.sockets = set() # of these and of connections that have no writer yet
        self.passed = {}     # request id: times at which requests passed
        self.how = None      # of the cut
        self.ended = False   # whether the upstream refuses connections
        self.filler = None   # takes the only place in the backlog, so that connects hang
        self.open()

    def open(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.start_accepting()

    def start_accepting(self):
        self.listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def stop_listening(self):
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()

    def follow(self, listening):
        """Refuses connections while the upstream does, unless a cut hides that."""
        changed, self.ended = listening == self.ended, not listening
        if not changed or self.how:
            return
        if listening:
            self.open()
        else:
            self.stop_listening()

    def accept(self):
        """Accepts the connections that wait."""
        try:
            while True:
                sock = self.listener.accept()[0]
                self.sockets.add(sock)
                asyncio.get_running_loop().create_task(self.serve(sock))
        except BlockingIOError:
            pass

    async def serve(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        self.near.add(writer)
        await self.connection(reader, writer)
        self.near.discard(writer)
        self.sockets.discard(sock)

    def cut(self, how):
        """Cuts the path. "silent": no packet passes any more; "reset": open connections are reset, and new ones
        refused; "refuse": open connections live on, and new ones are refused."""
        self.mend()
        self.how = how
        if how == "silent":
            self.silence_path()
            return
        if not self.ended:
            self.stop_listening()
        if how == "reset":
            self.writers |= self.near
            self.reset()

    def silence_path(self):
        """What has arrived from the VM goes on to the upstream; the rest is not acknowledged."""
        self.stalled = {"down"}
        if self.ended:
            self.open()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        self.fill_backlog()
        for sock in self.open_sockets():
            drop_packets(sock)

    def fill_backlog(self):
        """Accepts connections until the filler has the only place, since what waits there is acknowledged."""
        self.filler = socket.socket()
        self.filler.setblocking(False)
        while True:
            self.accept()
            self.filler.connect_ex(self.address)
            try:
                self.filler.getpeername()
                return
            except OSError:  # Another connection has the place.
                self.filler.close()
                self.filler = socket.socket()
                self.filler.setblocking(False)

    def mend(self):
        """Restores the path. What was sent meanwhile on silent connections arrives as TCP sends it again."""
        if self.how == "silent":
            for sock in self.open_sockets():
                keep_packets(sock)
            self.stalled = set()
            self.filler.close()
            if self.ended:
                self.listener.close()
            else:
                self.start_accepting()
        elif self.how and not self.ended:
            self.open()
        self.how = None

    async def end(self, link, writer, direction):
        """Passes on a reset by a VM that has ended its side in order before, since it takes back what was sent."""
        if direction == "up" and not writer.is_closing():
            try:
                writer.write_eof()
            except OSError:
                pass  # The upstream has ended it.
            while not link.near.is_closing():
                if was_reset(link.near):
                    reset_connection(writer)
                    break
                await asyncio.sleep(0.02)
        writer.close()

    def open_sockets(self):
        return [sock for sock in self.sockets if sock.fileno() >= 0]

    def note(self, data, direction):
        super().note(data, direction)
        if direction == "up":
            for request_id in REQUEST_ID.findall(data):
                self.passed.setdefault(request_id.decode(), []).append(time.monotonic())

    def close(self):
        super().close()
        if self.listener.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()


class VmLinks:
    """The paths of one VM to upstreams, by their ports. Made before the VM starts."""

    def __init__(self, platform, number, store_port, upstreams):
        self.platform, host = platform, f"127.0.1.{number + 1}"
        ports = [upstream.public_port for upstream in upstreams]
        self.links = platform.change(lambda: {port: UpstreamLink(host, port) for port in ports})
        for upstream in upstreams:
            upstream.on_listening.append(self.links[upstream.public_port].follow)
        platform.store.views[store_port] = self.view

    def view(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        record = json.loads(base64.b64decode(item["value"]))
        link = self.links.get(int(record["address"].rsplit(":", 1)[1]))
        if link is None:
            return item
        record["address"] = "{}:{}".format(*link.address)
        return {**item, "value": base64.b64encode(json.dumps(record).encode()).decode()}

    def cut(self, how, upstreams=None):
        """Cuts the paths to these upstreams, or to all."""
        ports = [upstream.public_port for upstream in upstreams] if upstreams else self.links
        self.platform.change(lambda: [self.links[port].cut(how) for port in ports])

    def mend(self):
        self.platform.change(lambda: [link.mend() for link in self.links.values()])

    def passed(self, request_id):
        """Tells whether a request passed one of the paths."""
        return any(request_id in link.passed for link in self.links.values())

    def close(self):
        self.platform.change(lambda: [link.close() for link in self.links.values()])
