"""Runs marigold-gateway as a child process for tests."""

import http.client
import json
import os
import signal
import subprocess
import time

from users_platform import HOST

BIN = os.environ.get("MARIGOLD_BIN", os.path.join(os.path.dirname(__file__), "../../build/bin"))
ORDER_PAUSE = 3.0  # seconds; the value of the users' platform
DATA_CENTRES = {"dc-a": "r", "dc-b": "s"}  # with their regions
SYN_SENT = "02"  # state of a connection in /proc/net/tcp
READY, PEERS, OPERATOR = 1, 2, 3  # port offsets from the callers' port


def wait_for(condition, seconds=10):
    """Waits until the condition holds; fails if it does not in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("the condition did not become true in time")


class Gateway:
    """The gateway of one VM; start() after stop() starts a new process with the same settings."""

    def __init__(self, number, folder, first_port, store_port, data_centre="dc-a", data_centres=DATA_CENTRES,
                 memory=260 * 10**6, link_mbps=1000, first_start=False, binaries=BIN):
        places = ", ".join(f"{{name: {name}, region: {region}}}" for name, region in data_centres.items())
        self.port = first_port
        self.name = f"vm{number}"
        self.settings = os.path.join(folder, self.name + ".yaml")
        with open(self.settings, "w") as file:
            file.write(f"""vm: {self.name}
data_centre: {data_centre}
data_centres: [{places}]
listen: {HOST}:{self.port}
ready: {HOST}:{self.port + READY}
peer_address: {HOST}:{self.port + PEERS}
operator: {HOST}:{self.port + OPERATOR}
platform: {HOST}:{store_port}
grace_period: 8s
config_limit: 2500ms
order_pause: {int(ORDER_PAUSE * 1000)}ms
record_return: 2500ms
drain_limit: 2500ms
retry_ratio: 0.2
retry_window: 10s
retry_least_extra: 52
load_window: 5s
load_overshoot: 1.1
load_extra: 3
capacity: 0.25
memory_mb: {memory // 10**6}
link_mbps: {link_mbps}
first_start: {str(first_start).lower()}
quota_slack: 1000
quota_window: 8s
""")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.child = None
        self.binaries = binaries
        self.start()

    def start(self):
        with open(self.log_path, "a") as log:
            self.child = subprocess.Popen([os.path.join(self.binaries, "marigold-gateway"), "--settings", self.settings],
                                          stdout=log, stderr=log)

    def stop(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def log_rows(self, message):
        """Returns the fields of the lines of the log with this message."""
        rows = [json.loads(line) for line in self.log().splitlines() if line.startswith("{") and line.endswith("}")]
        return [row.get("context_map", {}) for row in rows if row["message"] == message]

    def memory(self, field="VmRSS"):
        """Returns the resident memory of the process in bytes; with VmHWM, its peak."""
        with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as file:
            row = next(line for line in file if line.startswith(field + ":"))
        return int(row.split()[1]) * 1024

    def freeze_in_connect(self, port):
        """Suspends the process if a connect of it to a port has no answer yet; returns whether it has done so."""
        self.child.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.child.pid, os.WSTOPPED)
        folder = f"/proc/{self.child.pid}/fd"
        sockets = {os.readlink(os.path.join(folder, name)) for name in os.listdir(folder)}
        with open(f"/proc/{self.child.pid}/net/tcp", encoding="utf-8") as file:
            rows = [line.split() for line in file][1:]
        connecting = [row for row in rows if row[2].endswith(f":{port:04X}") and row[3] == SYN_SENT]
        if any(f"socket:[{row[9]}]" in sockets for row in connecting):
            return True
        self.child.send_signal(signal.SIGCONT)
        return False

    def ready(self):
        connection = http.client.HTTPConnection(HOST, self.port + READY, timeout=2)
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def call(self, path, method="POST", key="k1", headers=None, body=b"x", timeout=6):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=timeout)
        sent = {"Host": "h.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "3000"}
        if key:
            sent["Authorization"] = "Bearer " + key
        sent.update(headers or {})
        connection.request(method, path, body, sent)
        try:
            answer = connection.getresponse()
            return answer.status, answer.read().decode(), answer.headers
        finally:
            connection.close()

    def open_call(self, path, headers, key="k1"):
        """Sends a request and returns the connection without reading the answer."""
        connection = http.client.HTTPConnection(HOST, self.port, timeout=6)
        sent = {"Host": "h.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "3000"}
        connection.request("POST", path, b"x", {**sent, "Authorization": "Bearer " + key, **headers})
        return connection

    def metric(self, name):
        """Returns the value of a metric without labels, 0 if it is absent."""
        connection = http.client.HTTPConnection(HOST, self.port + OPERATOR, timeout=2)
        connection.request("GET", "/metrics")
        for line in connection.getresponse().read().decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0.0
