"""A TCP proxy whose open connections can go silent for good, without a reset, while new ones work.

It still reads what a silent connection gets, so that the kernel acknowledges the bytes and no option of the
socket shows the silence.
"""

import re
import socket
import threading
import time

from users_platform import HOST


class SilentProxy:
    def __init__(self, port, target_port):
        self.target_port = target_port
        self.links = []
        self.watched_at = {}  # prefix without its slash: time of the latest watch
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection((HOST, self.target_port))
            except OSError:
                return
            for side in (near, far):
                side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = {"silent": False, "watches": False, "sides": (near, far)}
            with self.lock:
                self.links.append(link)
            for source, sink, is_call in ((near, far, True), (far, near, False)):
                threading.Thread(target=self.pump, args=(link, source, sink, is_call), daemon=True).start()

    def pump(self, link, source, sink, is_call):
        try:
            while data := source.recv(65536):
                if is_call:
                    watch = re.search(rb"/-/kv-watch\?prefix=(\w+)", data)
                    link["watches"] = watch is not None
                    if watch:
                        self.watched_at[watch[1].decode()] = time.monotonic()
                if not link["silent"]:
                    sink.sendall(data)
        except OSError:
            pass
        if link["silent"]:
            return  # The other side never learns of the close.
        with self.lock:
            if link in self.links:
                self.links.remove(link)
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            side.close()

    def silence(self, only_watches=False):
        """Makes all open connections silent, or those on which a watch waits. Returns their number."""
        count = 0
        with self.lock:
            for link in self.links:
                if not link["silent"] and (link["watches"] or not only_watches):
                    link["silent"] = True
                    count += 1
        return count

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)  # ends the thread that waits for a connection
        self.listener.close()
        with self.lock:
            for link in self.links:
                for side in link["sides"]:
                    side.close()
