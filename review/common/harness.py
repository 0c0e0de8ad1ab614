"""What the scripts of this review share: ports, gateways as processes, a record, raw clients.

The platform is the project's own stand-in, tests/e2e/users_platform.py.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.dont_write_bytecode = True
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))
import users_platform  # noqa: E402

HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAM = os.path.join(ROOT, "target", "bin", "marigold-gateway")  # as in deploy/system.toml


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Returns free ports of loopback; all are held until all are known."""
    held = []
    for _ in range(count):
        taken = socket.socket()
        taken.bind((HOST, 0))
        held.append(taken)
    ports = [taken.getsockname()[1] for taken in held]
    for taken in held:
        taken.close()
    return ports


def wait_for(condition, what, seconds=15):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun("not in time: " + what)


class Record:
    """record.txt: one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text, at=None):
        with self.lock:
            self.file.write(f"{(at or time.monotonic()) - self.started:8.3f}  {text}\n")
            self.file.flush()


class Gateway:
    """The process of one entry VM, started with the command of the deploy file. Its settings are those that
    platform/settings.yaml.template gives for the bounds of podclean-kochi."""

    def __init__(self, name, folder, store_port, zone="ernakulam-a", quota_slack=17000):
        self.name = name
        self.port, self.ready_port, self.peer_port, self.operator_port = free_ports(4)
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""vm: "{name}"
data_centre: "{zone}"
data_centres:
  - name: "ernakulam-a"
    region: "ernakulam"
  - name: "thrissur-a"
    region: "thrissur"
  - name: "kozhikode-a"
    region: "kozhikode"
listen: "{HOST}:{self.port}"
ready: "{HOST}:{self.ready_port}"
peer_address: "{HOST}:{self.peer_port}"
operator: "{HOST}:{self.operator_port}"
platform: "{HOST}:{store_port}"
grace_period: "8s"
config_limit: "2500ms"
order_pause: "3000ms"
record_return: 2500ms
drain_limit: "2500ms"
retry_ratio: 0.2
retry_window: "10s"
retry_least_extra: 52
load_window: "5s"
load_overshoot: 1.1
load_extra: 3
capacity: 0.25
quota_slack: {quota_slack}
quota_window: "8s"
log_level: info
""")
        self.child = None
        self.start()

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.child = subprocess.Popen([PROGRAM, "--settings", self.settings], cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()

    def ready(self):
        try:
            with socket.create_connection((HOST, self.ready_port), timeout=1) as connection:
                connection.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


def read_answer(connection, until):
    """Reads one answer with a length or in chunks. Returns (status, body), or (None, reason)."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            connection.settimeout(max(0.01, until - time.monotonic()))
            part = connection.recv(65536)
            if not part:
                return None, "closed"
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
        chunked = fields.get("transfer-encoding", "").lower() == "chunked"

        def whole():
            return body.endswith(b"0\r\n\r\n") if chunked else len(body) >= int(fields.get("content-length", 0))
        while not whole():
            connection.settimeout(max(0.01, until - time.monotonic()))
            part = connection.recv(65536)
            if not part:
                return None, "closed inside the answer"
            body += part
        return int(lines[0].split(" ")[1]), body
    except socket.timeout:
        return None, "no answer"
    except OSError as error:
        return None, f"{type(error).__name__}"


def play(folder, case):
    """Runs case(record, temporary folder, platform, gateways), which returns whether the rule held; exits with the
    code that the review asks for."""
    record = Record(folder)
    record.write("TROUBLE=" + ("1" if TROUBLE else "0"))
    gateways = []
    code = 2
    platform = None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            if not os.path.exists(PROGRAM):
                raise CannotRun("build the deploy file first: " + os.path.relpath(PROGRAM, ROOT) + " is missing")
            platform = users_platform.Platform()
            held = case(record, temporary, platform, gateways)
            code = 0 if held else 1
        except Exception as error:  # no verdict without a whole run  # pylint: disable=broad-except
            record.write(f"could not run: {error!r}")
            print("could not run:", repr(error))
        finally:
            for gateway in gateways:
                gateway.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for gateway in gateways:
                    with open(os.path.join(keep, gateway.name + ".log"), "w", encoding="utf-8") as file:
                        file.write(gateway.log())
            if platform:
                platform.close()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    record.write(verdict)
    print(verdict)
    sys.exit(code)
