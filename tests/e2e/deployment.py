"""Runs a whole deployment as processes on loopback, for the demo and the tests.

This module starts every process and ends it by its process id.
"""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.environ.get("MARIGOLD_BIN", os.path.join(ROOT, "build", "bin"))
HOST = "127.0.0.1"
MESH_KEY = "mesh-key-for-loopback-tests"
OPERATOR_KEY = "operator-key-for-loopback-tests"

DATA_CENTRES = {
    "kochi": ["ernakulam-a", "thrissur-a", "kozhikode-a"],
    "hreinsun": ["hofud-a", "nordur-a", "austur-a"],
}


class Process:
    """A child process that can be killed, paused and resumed."""

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(log_folder, name + ".log")
        self.child = None

    def start(self):
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log)
        log.close()

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self, timeout=15):
        """Sends SIGTERM and returns the exit code."""
        self.signal(signal.SIGTERM)
        return self.child.wait(timeout=timeout)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("marigold-outcome")

    def code(self):
        """Name of the result code of a refusal, or None."""
        try:
            return self.json()["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return None


def call(port, method, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request; a body other than str or bytes is sent as JSON."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    if body is not None and not isinstance(body, (str, bytes)):
        body = json.dumps(body)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, names, content.decode())
    finally:
        connection.close()


def wait_until(condition, timeout=10, period=0.05):
    """Waits for a condition and returns the seconds it took; raises TimeoutError."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(period)
    raise TimeoutError("condition not met within %s s" % timeout)


class Deployment:
    """The platform, entry VMs in three data centres, engines and services."""

    def __init__(self, name="kochi", base_port=None, engines=1, services=1):
        self.name = name
        self.data_centres = DATA_CENTRES[name]
        self.base_port = base_port or int(os.environ.get("MARIGOLD_TEST_PORT", "21000"))
        self.folder = tempfile.mkdtemp(prefix="marigold-")
        self.processes = {}
        self.entries = {}
        self.engines = {}
        self.services = {}
        self.next_port = self.base_port
        self.platform_port = self.take_port()
        self.engines_per_data_centre = engines
        self.services_per_data_centre = services

    def take_port(self):
        self.next_port += 1
        return self.next_port

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def spawn(self, name, arguments):
        program = os.path.join(BIN, arguments[0])
        process = Process(name, [program] + arguments[1:], self.folder)
        process.start()
        self.processes[name] = process
        return process

    # -- components ----------------------------------------------------------

    def start_platform(self):
        self.spawn("platform", ["standin-platform", "--listen",
                                "%s:%d" % (HOST, self.platform_port)])
        wait_until(lambda: call(self.platform_port, "GET", "/stats").status == 200)
        self.control(list_lag_ms=200)

    def control(self, **settings):
        call(self.platform_port, "POST", "/control", settings)

    def list_vm(self, vm):
        call(self.platform_port, "POST", "/control/vms", vm)

    def unlist_vm(self, name):
        call(self.platform_port, "DELETE", "/control/vms/" + name)

    def start_entry(self, data_centre, number):
        name = "entry-%s-%d" % (data_centre, number)
        if name not in self.entries:
            self.entries[name] = {"data_centre": data_centre, "listen": self.take_port(),
                                  "operator": self.take_port(), "mesh": self.take_port()}
        entry = self.entries[name]
        peers = "\n".join("  - %s:%d" % (HOST, other["mesh"])
                          for other in self.entries.values())
        settings = self.write(name + ".yaml", """vm: %s
data_centre: %s
listen: %s:%d
operator: %s:%d
mesh: %s:%d
mesh_key: %s
operator_key: %s
platform: %s:%d
platform_timeout: 1s
fault_injection: true
log_level: info
peers:
%s
""" % (name, data_centre, HOST, entry["listen"], HOST, entry["operator"], HOST,
            entry["mesh"], MESH_KEY, OPERATOR_KEY, HOST, self.platform_port, peers))
        self.spawn(name, ["marigold-entry", "--settings", settings])
        self.list_entry(name)
        return name

    def list_entry(self, name, state="live"):
        entry = self.entries[name]
        self.list_vm({"name": name, "role": "entry", "data_centre": entry["data_centre"],
                      "state": state, "address": "%s:%d" % (HOST, entry["listen"]),
                      "operator": "%s:%d" % (HOST, entry["operator"]),
                      "mesh": "%s:%d" % (HOST, entry["mesh"])})

    def start_engine(self, data_centre, number, resident, extra=()):
        name = "engine-%s-%d" % (data_centre, number)
        port = self.engines[name]["port"] if name in self.engines else self.take_port()
        self.engines[name] = {"data_centre": data_centre, "port": port}
        self.spawn(name, ["standin-engine", "--listen", "%s:%d" % (HOST, port), "--name",
                          name] + (["--resident", resident] if resident else []) + list(extra))
        wait_until(lambda: call(port, "GET", "/v1/report").status == 200)
        self.list_vm({"name": name, "role": "engine", "data_centre": data_centre,
                      "state": "live", "address": "%s:%d" % (HOST, port),
                      "memory_mb": 80000, "fencing": True})
        return name

    def start_service(self, data_centre, number, serves, extra=()):
        name = "service-%s-%d" % (data_centre, number)
        port = self.services[name]["port"] if name in self.services else self.take_port()
        self.services[name] = {"data_centre": data_centre, "port": port}
        self.spawn(name, ["standin-service", "--listen", "%s:%d" % (HOST, port),
                          "--name", name] + list(extra))
        wait_until(lambda: call(port, "GET", "/_ran").status == 200)
        self.list_vm({"name": name, "role": "service", "data_centre": data_centre,
                      "state": "live", "address": "%s:%d" % (HOST, port),
                      "serves": serves})
        return name

    # -- deployment ----------------------------------------------------------

    def manifest(self, rate=60000, burst=60000, version="v1"):
        centres = "\n".join("  - {name: %s, region: %s}" % (name, name.split("-")[0])
                            for name in self.data_centres)
        return """format: 1
data_centres:
%s
teams:
  - {name: crew, rate: %d, burst: %d, priority: 0}
  - {name: desk, rate: %d, burst: %d, priority: 1}
models:
  - name: drafting-assistant
    version: %s
    memory_mb: 16000
    deadline: 20s
    adapters:
      - {name: checklists, memory_mb: 200}
services:
  - name: crew-desk
    routes:
      - {method: POST, path: /bookings, idempotent: false, cost: 1, deadline: 5s}
      - {method: GET, path: /pods, idempotent: true, cost: 1, deadline: 5s}
      - {method: GET, path: /open, idempotent: true, open: true, deadline: 5s}
""" % (centres, rate, burst, rate, burst, version)

    def ctl(self, *arguments, timeout=30):
        """Runs marigoldctl; returns its exit code, standard output and standard error."""
        settings = self.write("ctl.yaml", "platform: %s:%d\noperator_key: %s\nvms:\n%s\n" % (
            HOST, self.platform_port, OPERATOR_KEY,
            "\n".join("  - %s:%d" % (HOST, entry["operator"])
                      for entry in self.entries.values())))
        result = subprocess.run(
            [os.path.join(BIN, "marigoldctl"), "--settings", settings] + list(arguments),
            capture_output=True, text=True, timeout=timeout, check=False)
        return result.returncode, result.stdout, result.stderr

    def publish(self, text):
        return self.ctl("manifest", "publish", self.write("manifest.yaml", text))

    def grant(self, team):
        """Grants a key and returns its id and its text."""
        code, output, errors = self.ctl("keys", "grant", team)
        if code != 0:
            raise RuntimeError(output + errors)
        words = output.split()
        return words[1], words[3]

    def status(self, name):
        return call(self.entries[name]["operator"], "GET", "/status", timeout=2).json()

    def dump(self, name):
        return call(self.entries[name]["operator"], "GET", "/dump", timeout=2).json()

    def ready(self, name):
        return call(self.entries[name]["operator"], "GET", "/ready", timeout=2).status == 200

    def port(self, name):
        return self.entries[name]["listen"]

    def run_records(self, upstreams):
        """Returns the requests that the upstreams recorded as run, as one list."""
        records = []
        for upstream in upstreams.values():
            records += call(upstream["port"], "GET", "/_ran").json()
        return records

    def start(self, resident="drafting-assistant=v1"):
        """Starts all processes and waits until they serve; stops them on a failure."""
        try:
            self.start_components(resident)
            stopped = [process.name for process in self.processes.values()
                       if not process.running()]
            if stopped:
                # Another deployment on these ports would answer instead of the ended ones.
                raise RuntimeError("processes ended during startup: %s" % stopped)
        except BaseException:
            self.stop()
            raise
        return self

    def start_components(self, resident):
        self.start_platform()
        for data_centre in self.data_centres:
            for number in range(1, self.engines_per_data_centre + 1):
                self.start_engine(data_centre, number, resident)
            for number in range(1, self.services_per_data_centre + 1):
                self.start_service(data_centre, number, ["crew-desk"])
        # The settings of each entry VM list the ports of all peers, so assign them first.
        for data_centre in self.data_centres:
            for number in (1, 2):
                name = "entry-%s-%d" % (data_centre, number)
                self.entries[name] = {"data_centre": data_centre,
                                      "listen": self.take_port(),
                                      "operator": self.take_port(),
                                      "mesh": self.take_port()}
        for data_centre in self.data_centres:
            for number in (1, 2):
                self.start_entry(data_centre, number)
        for name in self.entries:
            wait_until(lambda name=name: self.status(name)["situation"] == "connected")
        # The list of VMs is delayed; wait until every VM has discovered its peers.
        wait_until(lambda: all(len(self.dump(name)["membership"]["peers"]) ==
                               len(self.entries) - 1 for name in self.entries))
        code, output, errors = self.publish(self.manifest())
        if code != 0:
            raise RuntimeError(output + errors)
        self.crew_id, self.crew_key = self.grant("crew")
        self.desk_id, self.desk_key = self.grant("desk")
        wait_until(self.upstreams_known)

    def upstreams_known(self):
        """True once every entry VM has a report of every engine."""
        for name in self.entries:
            upstreams = self.dump(name)["upstreams"]
            for engine in self.engines:
                if upstreams.get(engine, {}).get("report_age_ms") is None:
                    return False
            if any(service not in upstreams for service in self.services):
                return False
        return True

    def stop(self):
        for process in self.processes.values():
            process.resume()
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + 5
        for process in self.processes.values():
            while process.running() and time.monotonic() < deadline:
                time.sleep(0.02)
            process.kill()

    def __enter__(self):
        return self.start()

    def __exit__(self, *_):
        self.stop()


def bearer(key):
    return {"Authorization": "Bearer " + key}


def chat(port, key, tokens=8, stream=False, text="hello", model="drafting-assistant",
         timeout=20):
    return call(port, "POST", "/v1/chat/completions",
                {"model": model, "max_tokens": tokens, "stream": stream,
                 "messages": [{"role": "user", "content": text}]},
                bearer(key), timeout)
