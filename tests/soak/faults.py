"""Callers and faults whose order of events matters. Each runs on a thread of its own with random numbers of its own,
so that it overlaps with all others and the other faults of a seed stay."""

import http.client
import json
import os
import random
import re
import socket
import threading
import time

from brittle import ROUTE as BRITTLE_ROUTE
from gateway_process import BIN, Gateway
from kind import Kind
from proxy import HOST
from users_platform import Platform, Upstream, answer_bytes, route
from versions import MODEL, ROUTE

DEADLINE = 3.0          # seconds
WAIT_LIMIT = 16.0       # seconds; longer than a deadline, a freeze and FAULT_FREE
LARGE_DEADLINE = 12.0   # seconds of requests whose callers pause
WINDOW = 4096           # bytes of the receive buffer of a caller that pauses
PAUSE = (3.0, 4.5)      # seconds; below the idle time-out of the configuration (5 s)
DEADLY_PART = "dead"
BURST = 12              # requests with that part
MOST_CALM = 3           # VMs in touch for which bursts and silent connections wait, some seconds at most
KIND_SHARE = 0.65       # of the kinds of fault below that a seed plays; each excuses what it overlaps with
ADAPTERS = 40           # of the model that is asked for with another adapter each time
FRAIL_DELAY = 0.8       # seconds until the first event, so that a burst arrives before the first crash
FRAIL_RETURN = 2.0      # seconds until a crashed upstream is back
RACK_DELAY = 0.4        # seconds until the first event of an engine of the rack, so that each has requests
RACK_SHARE = 0.6        # of these engines that lose power at one moment
BLOCKED = b"Marigold-Code: request-blocked"
REVOKED_KEYS = [f"r{number}" for number in range(8)]
MORE_ROUTES = [{**route("large", "/large/", "idempotent", "files", attempts=1), "timeout_ms": 15000},
               route("frail", "/frail/", "streaming", "frail", attempts=1),
               route("churn", "/churn/", "streaming", "churn", attempts=1),
               route("rack", "/rack/", "streaming", "rack", attempts=1), ROUTE, BRITTLE_ROUTE]
DATA_CENTRES = "dc-a", "dc-b", *(f"dc-{number}" for number in range(6))


class SoakPlatform(Platform):
    """Adds a service with large answers, one of engines that crash, and one of engines of several versions."""

    changes = None  # what else varies in the configuration

    def configuration(self, version, keys, routes, adapters=2):
        config = json.loads(Platform.configuration(version, keys, routes + MORE_ROUTES, adapters))
        runtime = dict(config["services"][0]["runtime"])
        runtime["models"] = [{**runtime["models"][0], "name": "m3"}]
        churn = {**runtime, "adapter_slots": 2, "models": [{**runtime["models"][0], "name": "m4", "adapters": ADAPTERS}]}
        rack = {**runtime, "models": [{**runtime["models"][0], "name": "m5"}]}
        skew = {**runtime, "models": [{**runtime["models"][0], "name": MODEL}]}
        config["services"] += [{"name": "brittle", "health_path": "/h", "max_connections": 200},
                               {"name": "rack", "health_path": "/h", "max_connections": 100, "runtime": rack},
                               {"name": "skew", "health_path": "/h", "max_connections": 100, "runtime": skew},
                               {"name": "churn", "health_path": "/h", "max_connections": 100, "runtime": churn},
                               {"name": "frail", "health_path": "/h", "max_connections": 100, "runtime": runtime},
                               {"name": "files", "health_path": "/h", "max_connections": 100}]
        if self.changes:
            self.changes.apply(config)
        return json.dumps(config).encode()


class SoakGateway(Gateway):
    """A gateway that knows more data centres. Only its first process may be of an earlier build."""

    def start(self):
        rows = ", ".join(f"{{name: {name}, region: r{number}}}" for number, name in enumerate(DATA_CENTRES))
        with open(self.settings, encoding="utf-8") as file:
            text = re.sub("^data_centres: .*", f"data_centres: [{rows}]", file.read(), flags=re.MULTILINE)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        super().start()
        self.binaries = BIN


class FileUpstream(Upstream):
    """Answers with as many bytes as the path says."""

    async def handle(self, method, path, headers, body, writer):
        if not path.startswith("/large/"):
            return await super().handle(method, path, headers, body, writer)
        self.seen.append(headers)
        request_id = headers.get("x-request-id", "")
        signature = {"X-Request-Id": request_id, "X-Server-Signature": "sig", "X-Replica-Id": self.name}
        writer.write(answer_bytes(200, signature, request_id.encode().ljust(int(path.rsplit("/", 1)[1]), b".")))
        return True


class Orders(Kind):
    """The threads of one soak."""

    def __init__(self, soak, seed):
        super().__init__(soak, seed, "kinds")
        self.heads = {}    # vm: number of heads that have arrived in part
        self.pausing = {}  # vm: number of callers that pause in an answer
        self.lock = threading.Lock()
        self.next_key = 0
        self.silent_at = []
        loops = [self.segment_caller] * 3 + [self.pausing_caller] * 3 + [self.key_caller] * 3
        loops += [self.frail_caller, self.churn_caller, self.deadly_caller]
        kinds = [self.freeze, self.stop_beside_pauses, self.hold_order, self.silence, self.kill_all]
        loops += [kind for kind in kinds if self.random.random() < KIND_SHARE]
        loops += [self.rack_caller, self.power_cut]  # last, so that the others keep their random numbers
        self.threads = [threading.Thread(target=self.run, args=(loop, random.Random(f"{seed} {number}")))
                        for number, loop in enumerate(loops)]

    def run(self, loop, numbers):
        while not self.ending.is_set():
            loop(numbers)

    def tell(self, counts, vm, change):
        with self.lock:
            counts[vm] = counts.get(vm, 0) + change

    def wait_for(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.ending.is_set():
            if condition():
                return True
            time.sleep(0.01)
        return False

    def calm(self):
        """Returns the VMs that are in touch."""
        now = time.monotonic()
        return [gateway for gateway in self.soak.gateways
                if self.record.core_calm(now) and self.record.fault_free(gateway.name, now)]

    # Callers.

    def head(self, gateway, kind, path, deadline, key="k1", more=""):
        request_id = os.urandom(8).hex()
        self.record.request(request_id, kind, key, gateway.name)
        return request_id, (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                            f"X-Deadline-Ms: {int(deadline * 1000)}\r\nAuthorization: Bearer {key}\r\n{more}"
                            "Content-Length: 1\r\n\r\nx").encode()

    def read(self, connection, request_id):
        """Reads the answer to a request that was just sent. Returns whether it was complete."""
        sent = time.monotonic()
        answer = http.client.HTTPResponse(connection, method="POST")
        try:
            answer.begin()
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            if isinstance(error, ConnectionError) and not answer.status:
                self.record.closed(request_id, sent)
            self.record.answer(request_id, None)
            return False
        finally:
            answer.close()
        self.record.answer(request_id, answer.status)
        if answer.status == 200 and not body.rstrip(b".").endswith(request_id.encode()):
            self.record.violation(f"MIXED {request_id} got the body {body[:40]!r}")
        return True

    def connect(self, gateway, window=None):
        connection = socket.socket()
        if window:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(2)
        connection.connect((HOST, gateway.port))
        return connection

    def warm_up(self, gateway, window=None):
        """Returns a connection that has had an answer, or None."""
        connection = None
        try:
            connection = self.connect(gateway, window)
            request_id, data = self.head(gateway, "again", "/again/x", DEADLINE)
            connection.sendall(data)
            if self.read(connection, request_id):
                return connection
        except OSError:
            pass  # The VM is stopped or paused.
        if connection:
            connection.close()
        self.ending.wait(0.1)
        return None

    def segment_caller(self, numbers):
        """Sends requests whose heads arrive in three segments, on a connection that has had an answer."""
        gateway = numbers.choice(self.soak.gateways)
        connection = self.warm_up(gateway)
        if connection is None:
            return
        for _ in range(4):
            request_id, data = self.head(gateway, "again", "/again/x", DEADLINE)
            try:
                connection.sendall(data[:40])
                self.tell(self.heads, gateway.name, 1)
                self.ending.wait(numbers.uniform(0.1, 0.4))
                connection.sendall(data[40:90])
                self.ending.wait(numbers.uniform(0.1, 0.4))
                self.tell(self.heads, gateway.name, -1)
                connection.sendall(data[90:])
            except OSError:
                break
            sent = time.monotonic()
            connection.settimeout(WAIT_LIMIT)
            complete = self.read(connection, request_id)
            self.record.waits.append((request_id, gateway.name, sent, DEADLINE, time.monotonic()))
            if not complete or self.ending.is_set():
                break
        connection.close()

    def pausing_caller(self, numbers):
        """Asks for a large answer and does not read for a while."""
        gateway = numbers.choice(self.soak.gateways)
        connection = self.warm_up(gateway, WINDOW)
        if connection is None:
            return
        size = numbers.choice([60000, 200000, 1000000])
        request_id, data = self.head(gateway, "again", f"/large/{size}", LARGE_DEADLINE)
        sent = time.monotonic()
        try:
            connection.sendall(data)
        except OSError:
            connection.close()
            return
        self.tell(self.pausing, gateway.name, 1)
        time.sleep(numbers.uniform(*PAUSE))
        self.tell(self.pausing, gateway.name, -1)
        connection.settimeout(LARGE_DEADLINE)
        complete = self.read(connection, request_id)
        self.record.pauses.append((request_id, gateway.name, sent, time.monotonic(), complete))
        self.soak.count("paused" if complete else "paused and cut")
        connection.close()

    def key_caller(self, numbers):
        """Uses keys around their withdrawal."""
        gateway = numbers.choice(self.soak.gateways)
        try:
            connection = self.connect(gateway)
            connection.settimeout(1)
            for _ in range(10):
                first = max(0, self.next_key - 2)
                key = numbers.choice(REVOKED_KEYS[first:self.next_key + 1] or ["k1"])
                request_id, data = self.head(gateway, "again", "/again/x", DEADLINE, key)
                connection.sendall(data)
                if not self.read(connection, request_id):
                    break
                self.ending.wait(0.02)
            connection.close()
        except OSError:
            self.ending.wait(0.05)

    def prompt(self, gateway, kind, parts, path="/frail/x", model="m3"):
        more = f"X-Model-Name: {model}\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: {parts}\r\n"
        request_id, data = self.head(gateway, kind, path, DEADLINE, more=more)

        def call():
            try:
                with self.connect(gateway) as connection:
                    connection.sendall(data)
                    connection.settimeout(DEADLINE + 1)
                    sent, answer = time.monotonic(), b""
                    while data_read := connection.recv(65536):
                        answer += data_read
                        if BLOCKED in answer:
                            self.record.blocked.append((request_id, gateway.name, sent))
                            break
            except OSError:
                pass  # Its fate is not judged.
        threading.Thread(target=call, daemon=True).start()

    def frail_caller(self, numbers):
        """Sound prompts, some of which share the first part of the deadly ones."""
        first = "f0:20,5afe:30" if numbers.random() < 0.1 else f"{numbers.getrandbits(40):x}:50"
        self.prompt(numbers.choice(self.soak.gateways), "sound", f"{first},{numbers.getrandbits(40):x}:50")
        self.ending.wait(0.1)

    def rack_caller(self, numbers):
        """All prompts share their first part, as those with one system prompt do, and some requests are alike."""
        own = f"{numbers.getrandbits(40):x}"
        path = "/rack/x" if numbers.random() < 0.5 else f"/rack/{own}"
        self.prompt(numbers.choice(self.soak.gateways), "rack", f"cafe:100,{own}:50", path, "m5")
        self.ending.wait(0.03)

    def churn_caller(self, numbers):
        """Asks for other adapters than those that are loaded, so that orders are sent."""
        self.prompt(numbers.choice(self.soak.gateways), "churn", f"{numbers.getrandbits(40):x}:50", "/churn/x",
                    f"m4/a{numbers.randrange(ADAPTERS)}")
        self.ending.wait(0.15)

    def deadly_caller(self, numbers):
        """Prompts with a part that crashes upstreams come in bursts."""
        self.wait_for(lambda: len(self.calm()) >= MOST_CALM, 8)
        for _ in range(BURST):
            calm = self.calm()
            self.prompt(numbers.choice(calm or self.soak.gateways), "deadly",
                        f"f0:20,{DEADLY_PART}:30,{numbers.getrandbits(40):x}:50")
            self.ending.wait(0.04)
        self.ending.wait(numbers.uniform(3, 7))

    # Faults.

    def freeze(self, numbers):
        """Freezes a VM while heads of requests have arrived in part."""
        self.ending.wait(numbers.uniform(1, 4))
        if self.wait_for(lambda: any(self.heads.values()), 2):
            busy = [gateway for gateway in self.soak.gateways if self.heads.get(gateway.name)]
            if busy:
                self.soak.pause(numbers.choice(busy), numbers.uniform(1.2, 4))

    def stop_beside_pauses(self, numbers):
        """Stops a VM in order while callers pause in its answers."""
        self.ending.wait(numbers.uniform(1, 3))
        if self.wait_for(lambda: any(self.pausing.values()), 3):
            busy = [gateway for gateway in self.soak.gateways if self.pausing.get(gateway.name)]
            if busy:
                self.soak.planned_stop(numbers.choice(busy), 0)

    def hold_order(self, numbers):
        """Cuts an engine off while an order is on its way to it, and mostly stops the sender meanwhile."""
        self.ending.wait(numbers.uniform(0.5, 2))
        engine = numbers.choice(self.soak.churned)
        proxy = next(p for _, p in self.soak.proxies if p.target_port == engine.port)
        seconds, stopped = numbers.uniform(2, 5.5), numbers.random() < 0.75
        proxy.holder, proxy.cut_at_order = None, True
        if not self.wait_for(lambda: proxy.holder is not None, 3):
            proxy.cut_at_order = False
            return
        begun = time.monotonic()
        self.record.fault(engine.name, begun, begun + 2 * seconds)
        self.soak.count("held order")
        holder = next((gateway for gateway in self.soak.gateways if gateway.name == proxy.holder), None)
        if stopped and holder:
            time.sleep(0.3)
            threading.Thread(target=self.soak.planned_stop, args=(holder, 0)).start()
        time.sleep(max(0.0, begun + seconds - time.monotonic()))
        proxy.heal()
        self.record.healed.setdefault(engine.name, []).append(time.monotonic())

    def silence(self, numbers):
        """Open connections go silent; some keys are withdrawn around it."""
        self.ending.wait(numbers.uniform(1, 3))
        self.wait_for(lambda: len(self.calm()) >= MOST_CALM, 8)
        if self.ending.is_set():
            return
        which = numbers.choice(["store", "store", "upstreams", "all"])
        directions = numbers.choice([("up",), ("up", "down"), ("up", "down")])
        chosen = [proxy for vm, proxy in self.soak.proxies
                  if which == "all" or (vm is not None) == (which == "store")]
        before = numbers.random() < 0.75
        if before:
            self.withdraw_key()
            time.sleep(0.2)
        now = time.monotonic()
        for name in [gateway.name for gateway in self.soak.gateways] + [e.name for e in self.soak.engines]:
            self.record.fault(name, now, now + 0.05)
        self.silent_at.append((round(now, 1), which, directions))
        self.soak.platform.change(lambda: [proxy.silence(directions) for proxy in chosen])
        time.sleep(numbers.uniform(0.1, 1.5))
        self.withdraw_key()
        self.ending.wait(6)

    def withdraw_key(self):
        if self.next_key < len(REVOKED_KEYS):
            key = REVOKED_KEYS[self.next_key]
            self.soak.withdraw(key)
            self.next_key += 1

    def power_cut(self, numbers):
        """Ends several engines at one moment, or in two steps, once VMs are in touch."""
        self.ending.wait(numbers.uniform(2, 5))
        self.wait_for(lambda: len(self.calm()) >= MOST_CALM, 8)
        rack = self.soak.rack
        ended = numbers.sample(rack, round(RACK_SHARE * len(rack)))
        steps = [ended] if numbers.random() < 0.5 else [ended[::2], ended[1::2]]
        for step in steps:
            self.soak.platform.change(lambda step=step: [engine.crash() for engine in step])
            time.sleep(0.3)
        self.soak.count("power cut")
        self.ending.wait(6)

    def kill_all(self, numbers):
        """Kills all VMs at once and starts them again, once in a run."""
        if self.ending.wait(self.soak.seconds * numbers.uniform(0.2, 0.5)):
            return
        begun = time.monotonic()
        for gateway in self.soak.gateways:
            self.record.fault(gateway.name, begun, begun)
        children = [(gateway, self.soak.kill_child(gateway)) for gateway in self.soak.gateways]
        for _, child in children:
            child.wait()
        time.sleep(numbers.uniform(0.3, 1))
        for gateway, child in children:
            self.soak.start_after(gateway, child)
            self.record.fault(gateway.name, begun, time.monotonic())
        self.ending.wait()
