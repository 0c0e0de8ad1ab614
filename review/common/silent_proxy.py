"""A proxy whose open connections can go silent for good, without a reset, while new ones work.

A silent connection drops all that arrives, in the kernel too: nothing is acknowledged, as behind a broken link. For
that its own sockets get a filter that takes no packet (SO_ATTACH_FILTER); nothing else is touched.
"""

import ctypes
import socket
import struct
import threading

from harness import HOST

SO_ATTACH_FILTER = 26


def drop_all(connection):
    """Makes the socket drop all packets that arrive for it."""
    code = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # return 0: keep no byte
    program = struct.pack("HL", 1, ctypes.addressof(code))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class SilentProxy:
    def __init__(self, port, target):
        self.target = target
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection((HOST, self.target))
            except OSError:
                return
            for side in (near, far):
                side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = {"sides": (near, far), "silent": False}
            with self.lock:
                self.pairs = [p for p in self.pairs if p["sides"][0].fileno() >= 0] + [pair]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.pump, args=(pair, source, sink), daemon=True).start()

    @staticmethod
    def pump(pair, source, sink):
        try:
            while data := source.recv(65536):
                if pair["silent"]:
                    return  # The sockets stay open.
                sink.sendall(data)
        except OSError:
            pass
        if pair["silent"]:
            return
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
                side.close()
            except OSError:
                pass

    def silence(self):
        """All connections that are open now go silent for good. Returns their number."""
        count = 0
        with self.lock:
            for pair in self.pairs:
                if pair["sides"][0].fileno() < 0:
                    continue
                pair["silent"] = True
                count += 1
                for side in pair["sides"]:
                    try:
                        drop_all(side)
                    except OSError:
                        pass  # closed meanwhile
        return count

    def close(self):
        self.listener.close()
