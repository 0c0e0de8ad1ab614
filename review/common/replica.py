"""A model replica on plain sockets, whose link to all machines can be cut and healed.

A cut drops all packets that arrive at the replica's sockets (SO_ATTACH_FILTER on its own sockets), so that the sender's
kernel goes on sending them again, as over a broken link. cut_at_next_connection() begins the cut when the next
connection has just been established, with the request on its way.
"""

import ctypes
import json
import socket
import struct
import threading
import time

from harness import HOST

LOAD_S = 9.0  # load_time_s
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
DROP_ALL = [(0x06, 0, 0, 0)]
# Drops segments with a payload: length of the segment against that of its head.
DROP_PAYLOAD = [(0x30, 0, 0, 12), (0x74, 0, 0, 4), (0x64, 0, 0, 2), (0x07, 0, 0, 0), (0x80, 0, 0, 0),
                (0x2d, 0, 1, 0), (0x06, 0, 0, 0), (0x06, 0, 0, 0xffffffff)]


def set_filter(connection, rows):
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *row) for row in rows))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                          struct.pack("HL", len(rows), ctypes.addressof(code)))


def clear_filter(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    except OSError:
        pass


class Replica:
    def __init__(self, name, port, service, zone, models, record, slots=64):
        self.name, self.port, self.service, self.zone, self.slots = name, port, service, zone, slots
        self.models = {model: set() for model in models}
        self.sequence = 0      # orders accepted
        self.beats = 1
        self.born = int(time.time() * 1000)
        self.record = record
        self.orders = []       # (time, holder, fencing token, text, status)
        self.runs = []         # (time, request id)
        self.lock = threading.Lock()
        self.open = set()
        self.busy_until = 0.0
        self.cut_from = None   # when the cut began
        self.armed = threading.Event()
        self.listener = socket.create_server((HOST, port), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        models = [{"name": model, "version": 1, "adapters": sorted(held)} for model, held in self.models.items()]
        return json.dumps({"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": "ready", "cold_remaining_ms": 0,
                           "phase": "unified", "models": models, "sequence": self.beats, "born": self.born}).encode()

    def busy(self):
        return time.monotonic() < self.busy_until

    def cut_at_next_connection(self):
        self.armed.set()
        set_filter(self.listener, DROP_PAYLOAD)

    def heal(self):
        with self.lock:
            for connection in [self.listener, *self.open]:
                clear_filter(connection)

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if self.armed.is_set():
                self.armed.clear()
                set_filter(self.listener, DROP_ALL)
                with self.lock:
                    for other in [connection, *self.open]:
                        set_filter(other, DROP_ALL)
                self.cut_from = time.monotonic()
                self.record.write(f"{self.name} is cut off from all machines", self.cut_from)
            with self.lock:
                self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    part = connection.recv(65536)
                    if not part:
                        raise ConnectionError
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
                while len(data) < int(headers.get("content-length", 0)):
                    part = connection.recv(65536)
                    if not part:
                        raise ConnectionError
                    data += part
                length = int(headers.get("content-length", 0))
                body, data = data[:length], data[length:]
                self.handle(connection, lines[0].split(" ")[1], headers, body)
        except OSError:
            pass
        with self.lock:
            self.open.discard(connection)
            connection.close()

    @staticmethod
    def answer(connection, status, headers, body=b""):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        connection.sendall(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def handle(self, connection, path, headers, body):
        if path == "/-/report":
            content = json.loads(self.entry())
            content.update({"busy": self.busy(), "sequence": self.sequence, "queued": 0, "active": 0})
            self.answer(connection, 200, {"Content-Type": "application/json"}, json.dumps(content).encode())
            return
        if headers.get("x-expected-replica") not in (None, self.name):
            self.answer(connection, 421, {"X-Replica-Id": self.name})
            return
        if path == "/-/order":
            self.answer(connection, self.order(json.loads(body)), {})
            return
        identity = headers.get("x-request-id", "")
        signature = {"X-Request-Id": identity, "X-Server-Signature": f"sig.{self.name}.{identity}"}
        model, _, adapter = headers.get("x-model-name", "").partition("/")
        if model not in self.models or (adapter and adapter not in self.models[model]):
            self.answer(connection, 421, {"X-Request-Id": identity, "X-Replica-Id": self.name})
            return
        self.runs.append((time.monotonic(), identity))
        self.record.write(f"{self.name} runs {identity} ({headers.get('x-model-name')})")
        events = b"".join(f"id: {n}\ndata: {identity} {n}\n\n".encode() for n in range(1, 4))
        self.answer(connection, 200, {**signature, "Content-Type": "text/event-stream"}, events)

    def order(self, order):
        """Adapters are loaded and unloaded at once, models unloaded at once and loaded in LOAD_S."""
        with self.lock:
            model, adapter = order["model"], order.get("adapter")
            text = f"{order['operation']} {model}" + (f"/{adapter}" if adapter else "")
            loading = order["operation"] == "loading"
            held = self.models.get(model)
            present = held is not None and (not adapter or adapter in held)
            if order.get("expected", self.sequence) != self.sequence or (self.busy() and not adapter):
                status = 409
            elif adapter and held is None:
                status = 400
            elif present == loading:
                status = 200
            else:
                self.sequence += 1
                status = 202
                if adapter:
                    (held.add if loading else held.discard)(adapter)
                    status = 202 if loading else 200
                elif loading:
                    self.busy_until = time.monotonic() + LOAD_S
                    threading.Timer(LOAD_S, lambda: self.models.setdefault(model, set())).start()
                else:
                    del self.models[model]
            now = time.monotonic()
            self.orders.append((now, order["holder"], order["fencing_token"], text, status))
            self.record.write(f"{self.name} gets an order of {order['holder']} with token {order['fencing_token']}, "
                              f"expected {order.get('expected')}: {text} -> {status}", now)
            return status

    def close(self):
        self.listener.close()
