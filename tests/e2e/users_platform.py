"""Stand-in for the users' platform: key-value store, engines and plain services.

It implements the protocol of the adapter in platform/ on loopback, in one thread of
the test. A test injects faults by setting attributes while requests run.
"""

import asyncio
import base64
import json
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
TOKENS = tuple(f"token{n}" for n in range(1, 11))  # data of the events of a stream
ENDLESS_SECONDS = 8          # longer than every deadline in the tests
ENDLESS_BYTES = 128 << 20    # more than a gateway may buffer for one request


async def read_request(reader):
    """Returns (method, path, query, headers, body), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        row = (await reader.readline()).decode().strip()
        if not row:
            break
        name, value = row.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return method, path, dict(urllib.parse.parse_qsl(query)), headers, body


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """Key-value store with revisions, leases and watches. Each VM has its own port,
    so that a test can disconnect a single VM."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 100
        self.severed_ports = set()  # connections to these are closed, before or after a call takes effect
        self.unanswered_ports = set()  # calls sent to these are never answered
        self.refused_ports = {}  # port: (status, list of the calls refused there), None: they are reset
        self.views = {}      # port: function that returns an item as the VM with that port gets it
        self.calls = 0
        self.asked = {"reads": 0.0, "writes": 0.0}  # calls as the limits of their rates count them, unanswered ones too
        self.open_watches = {}  # port: watches that wait now
        self.removed_at = {}  # key: time of its last removal
        self.era = 1         # rises each time the store is restored from a copy
        self.copy = None     # what restore() goes back to
        self.refused_key = None  # writes of it are answered with 503 and not done
        self.refused_writes = []  # (time, port) of these
        self.hold_grants = False  # leases are granted at once, but the answers wait
        self.answer_delay = 0  # seconds by which its answers are late
        self.lost_answers = 0  # number of answers to lose; their calls have taken effect
        self.revocation_delay = 0  # seconds until a revocation arrives, unless its connection is reset before

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created_revision"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created_revision": created, "lease_id": lease}
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.removed_at[key] = time.monotonic()
            self.history.append({"key": key, "revision": self.revision, "compacted": True})

    def take_copy(self):
        self.copy = (dict(self.items), dict(self.leases), self.next_lease, self.revision)

    def restore(self, rewritten=("op/", "servers/")):
        """Goes back to the copy. The operator and the upstreams write again what they had written since;
        a test may leave that out to write it later."""
        newer = {key: item for key, item in self.items.items() if key.startswith(tuple(rewritten))}
        items, leases, self.next_lease, self.revision = self.copy
        self.items, self.leases = dict(items), dict(leases)
        self.history = []
        self.era += 1
        for key, item in newer.items():
            if self.items.get(key, {}).get("value") != item["value"]:
                self.put(key, base64.b64decode(item["value"]))
        for key in [key for key in self.items if key.startswith(tuple(rewritten)) and key not in newer]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if now > until:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)

    def count(self, method, path):
        """Counts a call that has arrived; a renewal of a lease has a tenth of the price of a read."""
        if path.startswith("/-/kv-keep/"):
            self.asked["reads"] += 0.1
        elif path in ("/-/kv-txn", "/-/kv-lease") or method == "DELETE":
            self.asked["writes"] += 1
        else:
            self.asked["reads"] += 1

    async def handle(self, port, method, path, query, body):
        """Executes a call and returns (status, JSON body)."""
        self.calls += 1
        self.expire()
        if path == "/-/kv-range":
            rows = [item for key, item in sorted(self.items.items()) if key.startswith(query["prefix"])]
            return 200, {"items": rows, "has_more": False, "at": self.revision}
        if path == "/-/kv-watch":
            self.open_watches[port] = self.open_watches.get(port, 0) + 1
            try:
                return await self.watch(port, query)
            finally:
                self.open_watches[port] -= 1
        if path == "/-/kv-txn":
            return self.transact(json.loads(body), port)
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            granted = self.next_lease
            self.leases[granted] = (time.monotonic() + ttl / 1000, ttl)
            while self.hold_grants:
                await asyncio.sleep(0.01)
            return 200, {"lease_id": granted, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    def seen_from(self, port, content):
        """Returns the content of an answer as the VM with this port gets it."""
        view = self.views.get(port)
        rows = [name for name in ("items", "events") if name in content] if view else []
        return {**content, **{name: [view(item) for item in content[name]] for name in rows}}

    async def watch(self, port, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        era = self.era
        while True:
            self.expire()
            if era != self.era:
                raise ConnectionError("the store was restored")
            if after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(query["prefix"])]
            if events or time.monotonic() > until or port in self.severed_ports:
                return 200, {"events": events, "at": self.revision}
            await asyncio.sleep(0.01)

    def transact(self, call, port=None):
        for row in call["expected"]:
            current = self.items.get(row["key"], {"revision": 0})["revision"]
            if current != row["revision"]:
                return 412, {"items": []}
        if any(row["key"] == self.refused_key for row in call["write"]):
            self.refused_writes.append((time.monotonic(), port))
            return 503, {}
        for row in call["write"]:
            lease = row.get("lease_id", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in call["write"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease_id", 0))
        for key in call["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Upstream:
    """An engine or a plain service that records the requests and orders it gets."""

    def __init__(self, name, port, service, models=None):
        self.name, self.port, self.service = name, port, service
        self.public_port = port  # the port in its record; a test may set that of a proxy
        self.models = {m: set() for m in models or []}
        self.data_centre = "dc-a"
        self.version = "v1"  # of its software; None: its record has none
        self.mark = ""       # begins each token of its answers; names the software that wrote it
        self.orders = 0
        self.order_log = []  # (time, owner, fence, operation, model, adapter)
        self.control_arrivals = []  # (time, path) of orders and calls for a report
        self.turn_control_away = None  # text of Retry-After with which it turns these away
        self.seen = []       # headers of requests that ran
        self.event_ids = True   # numbers the events of its streams
        self.final_event = True  # ends the events of a chat with the final one
        self.chats = []         # bodies of requests of the chat API
        self.break_after = None  # cuts a stream inside the event after this many
        self.fail_resumed = False   # answers the resumption of a stream with a signed error
        self.drop_requests = False  # runs a request and closes the connection without an answer
        self.error_share = 0  # of the requests that it runs and answers with a signed error; its health is good
        self.error_debt = 0   # part of the next one that is due
        self.own_errors = []   # ids of these
        self.reject_status = None  # of its answers to all requests, none of which it runs; its health is good
        self.reject_headers = {}   # of these answers
        self.turned_away = []      # (time, request id) of these
        self.raw_answer = None  # (bytes in place of its answers, whether their connection stays open)
        self.surplus = False  # sends a second answer behind that of a plain service
        self.refuse = False  # counts a request as run but answers 503 with X-Not-Executed
        self.delay = 0.01
        self.slots = 8
        self.pauses = {}     # event number: seconds of pause before it, applied once
        self.event_seconds = 0.01  # after each event of a stream
        self.refusals = 0    # number of requests to refuse without running them
        self.endless = None  # (head, chunk repeated without end, seconds between chunks)
        self.endless_limit = ENDLESS_BYTES
        self.endless_sent = 0       # bytes of chunks sent
        self.endless_closed = False  # whether the gateway closed that connection
        self.limit = None    # requests a second that it says it takes from all VMs together
        self.last_events = {}  # request id: time of the latest event written
        self.arrivals = []   # times of all requests
        self.arrival_log = []  # (time, request id, process) of the same
        self.statements = []  # (time, request id, process, seconds) of answers: wants none for so long; None: leaves
        self.leaving = False   # says in its answers that it leaves
        self.turn_away = None  # text of Retry-After with which it turns every request away
        self.names_requests = False  # begins each token with the id of its request
        self.deadly_part = None  # part of a prompt that crashes the process before its first event
        self.deadly_head = False  # a crash lets the head of a stream without length or chunks out first
        self.deadly_arrivals = []  # times at which requests with that part arrived
        self.crashes = []    # times
        self.waiting_room = None  # requests that may wait for a slot; None: it counts no slots
        self.brittle = None  # rejections in a second beyond which it falls over, as its answers say
        self.falls_over = True  # False: it says so and survives
        self.held = set()    # requests that wait or run, as objects
        self.running = set()  # those that run
        self.frozen = False   # its process is suspended: the kernel accepts connections, nothing is answered
        self.rejections = []  # (time, request id, process) of requests that it had no room for
        self.falls = []      # (time, ids of the requests that it turned away in the second before)
        self.born = 1700000000000
        self.heartbeats = 1  # counted in its record
        self.after_order = lambda: None  # runs on the platform's thread after each order that took effect
        self.memory_mb = None  # for weights, beyond which a load crashes it; None: it counts none
        self.weights_mb = {}   # by model, of those that it may load
        self.adapter_slots = None  # likewise, for adapters
        self.load_seconds = 0  # of each load of a model that counts in its memory
        self.order_fates = []  # of the next orders: seconds until each is looked at; None: it is lost
        self.order_running = None  # (operation, model) of the order in progress
        self.runs = {}         # model: requests that run
        self.overcommits = []  # (time, MB that the loads together needed, models) of such crashes
        self.peak_mb = 0       # of the memory in use
        self.misdirected = 0  # requests for another upstream
        self.listener = None
        self.on_listening = []  # functions that are told when it ends (False) or listens again (True)
        self.writers = set()  # open connections

    def record(self, state="ready"):
        models = [{"name": m, "version": 1, "adapters": sorted(a)} for m, a in self.models.items()]
        fields = {"service": self.service, "address": f"{HOST}:{self.public_port}", "zone": self.data_centre,
                  "version": self.version, "slots": self.slots, "state": state, "cold_remaining_ms": 0,
                  "phase": "unified", "sequence": self.heartbeats, "born": self.born, "models": models}
        if self.version is None:
            del fields["version"]
        return json.dumps(fields).encode()

    async def handle(self, method, path, headers, body, writer):
        signature = {"X-Request-Id": headers.get("x-request-id", ""), "X-Server-Signature": "sig",
                     "X-Replica-Id": self.name}
        if self.limit is not None:
            signature["Server-Limit"] = str(self.limit)
        if self.leaving:
            signature["Server-Leaving"] = "1"
        if self.brittle is not None:
            signature["Server-Brittle"] = str(self.brittle)
        if path in ("/-/report", "/-/order"):
            self.control_arrivals.append((time.monotonic(), path))
            if self.turn_control_away is not None:
                writer.write(answer_bytes(503, {"Retry-After": self.turn_control_away}, b""))
                return True
        if path == "/-/report":
            report = json.loads(self.record())
            report.pop("version", None)  # stands in the record only
            report.update({"busy": self.order_running is not None, "sequence": self.orders})
            writer.write(answer_bytes(200, {}, json.dumps(report).encode()))
            return True
        if path == "/-/order":
            status = await self.take_order(json.loads(body))
            if status is None:
                return False
            writer.write(answer_bytes(status, {}, b""))
            return True
        if headers.get("x-expected-replica") not in (None, self.name):
            self.misdirected += 1
            writer.write(answer_bytes(421, signature, b""))
            return True
        model = headers.get("x-model-name", "")
        if model and not self.serves(model):
            writer.write(answer_bytes(421, signature, b""))
            return True
        if model and self.order_running == ("unloading", model.partition("/")[0]):
            writer.write(answer_bytes(503, {**signature, "X-Not-Executed": "1"}, b""))
            return True
        self.arrivals.append(time.monotonic())
        request_id = headers.get("x-request-id", "")
        self.arrival_log.append((time.monotonic(), request_id, self.born))
        if self.leaving:
            self.statements.append((time.monotonic(), request_id, self.born, None))
        if self.turn_away is not None:
            self.statements.append((time.monotonic(), request_id, self.born, self.turn_away))
            writer.write(answer_bytes(503, {**signature, "X-Not-Executed": "1", "Retry-After": self.turn_away}, b""))
            return True
        if self.reject_status is not None:
            self.turned_away.append((time.monotonic(), request_id))
            writer.write(answer_bytes(self.reject_status, {**signature, "X-Not-Executed": "1", **self.reject_headers},
                                      b""))
            return True
        if self.refusals > 0:
            self.refusals -= 1
            writer.write(answer_bytes(503, {**signature, "X-Not-Executed": "1"}, b""))
            return True
        if self.waiting_room is None:
            return await self.run_counted(path, headers, body, writer, signature)
        if len(self.held) >= self.slots + self.waiting_room:
            return await self.reject(signature, writer)
        place, held, running = object(), self.held, self.running
        held.add(place)
        try:
            while len(running) >= self.slots:
                await asyncio.sleep(0.005)
            running.add(place)
            return await self.run_counted(path, headers, body, writer, signature)
        finally:
            held.discard(place)
            running.discard(place)

    async def reject(self, signature, writer):
        """Turns a request away for want of room; a brittle process ends if it does so too often."""
        now = time.monotonic()
        self.rejections.append((now, signature["X-Request-Id"], self.born))
        writer.write(answer_bytes(503, {**signature, "X-Not-Executed": "full"}, b""))
        recent = [request_id for at, request_id, born in self.rejections if at > now - 1 and born == self.born]
        if self.brittle is None or not self.falls_over or len(recent) <= self.brittle:
            return True
        await writer.drain()
        if self.listener.is_serving():
            self.falls.append((now, recent))
            self.held, self.running = set(), set()
            self.crash()
        return False

    async def run_counted(self, path, headers, body, writer, signature):
        """Runs a request; an unload of its model waits for it."""
        model, runs = headers.get("x-model-name", "").partition("/")[0], self.runs
        runs[model] = runs.get(model, 0) + 1
        try:
            return await self.run(path, headers, body, writer, signature)
        finally:
            runs[model] -= 1

    async def run(self, path, headers, body, writer, signature):
        model = headers.get("x-model-name", "")
        self.seen.append(headers)
        deadly = self.deadly_part in [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")]
        if deadly:
            self.deadly_arrivals.append(time.monotonic())
        await asyncio.sleep(self.delay)
        if deadly:
            if self.deadly_head:
                head = {**signature, "Content-Type": "text/event-stream"}
                writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
                              + "\r\n").encode())
                self.writers.discard(writer)  # closed in order by the caller
            self.crash()
            return False
        if self.drop_requests:
            return False
        if self.refuse:
            writer.write(answer_bytes(503, {**signature, "X-Not-Executed": "full"}, b""))
            return True
        if self.errs():
            self.own_errors.append(signature["X-Request-Id"])
            writer.write(answer_bytes(500, signature, b"own error"))
            return True
        if self.raw_answer:
            text, stays_open = self.raw_answer
            writer.write(self.sign(text, signature))
            return stays_open
        if self.endless:
            await self.send_endless(signature, writer)
            return False
        if self.fail_resumed and "last-event-id" in headers:
            writer.write(answer_bytes(500, signature, b"error"))
            return True
        if path == "/v1/chat/completions":
            self.chats.append(json.loads(body))
            return await self.stream(headers, signature, writer, self.chat_events(self.mark_of(headers)))
        if model:
            return await self.stream(headers, signature, writer, [self.mark_of(headers) + token for token in TOKENS])
        body = f"done by {self.name} for {signature['X-Request-Id']}"
        writer.write(answer_bytes(200, signature, body.encode()))
        if self.surplus:
            writer.write(answer_bytes(200, signature, b"surplus"))
        return True

    def errs(self):
        """Returns whether it answers this request with an error: evenly spread, so that a test repeats."""
        self.error_debt += self.error_share
        due = self.error_debt >= 1
        self.error_debt -= 1 if due else 0
        return due

    @staticmethod
    def sign(text, signature):
        """Returns the bytes of an answer with its signature where the text asks for it."""
        lines = "".join(f"{k}: {v}\r\n" for k, v in signature.items())
        return text.replace("SIGNATURE\r\n", lines).encode()

    async def send_endless(self, signature, writer):
        """Sends chunks until the gateway closes the connection, ENDLESS_SECONDS have passed or
        endless_limit bytes were sent."""
        head, chunk, pause = self.endless
        writer.write(self.sign(head, signature))
        until = time.monotonic() + ENDLESS_SECONDS
        try:
            while time.monotonic() < until and self.endless_sent < self.endless_limit:
                self.endless_sent += len(chunk)  # before the gateway can answer
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(pause)
        except ConnectionError:
            self.endless_closed = True

    async def until_resumed(self):
        while self.frozen:
            await asyncio.sleep(0.01)

    def crash(self):
        """Ends all connections and the listener, as the end of the process does."""
        self.crashes.append(time.monotonic())
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        self.tell_listening(False)

    def tell_listening(self, listening):
        for function in self.on_listening:
            function(listening)

    def serves(self, name):
        """Returns whether it has a model, and the adapter if the name has one."""
        model, _, adapter = name.partition("/")
        return model in self.models and (not adapter or adapter in self.models[model])

    def install(self, version):
        """Sets the version of its software, which its tokens name."""
        self.version, self.mark = version, f"{version}:"

    def restart_empty(self, store):
        """Restarts with a single model, which gives the owner of orders something to order."""
        self.born += 1
        self.orders = 0
        self.models = {"m1": set()}
        store.put("servers/" + self.name, self.record())

    async def take_order(self, order):
        """Returns the status of the answer, or None if there is none. A caller that has left meanwhile gets none."""
        born, fate = self.born, self.order_fates.pop(0) if self.order_fates else 0
        if fate != 0:
            await asyncio.sleep(fate or ENDLESS_SECONDS)
        return self.order(order) if fate is not None and born == self.born else None

    def order(self, order):
        self.order_log.append((time.monotonic(), order["holder"], order["fencing_token"],
                               order["operation"], order["model"], order.get("adapter")))
        if order.get("expected", self.orders) != self.orders or self.order_running:
            return 409
        self.orders += 1
        model, adapter, loads = order["model"], order.get("adapter"), order["operation"] == "loading"
        if adapter:
            if self.memory_mb is not None and model not in self.models:
                return 400
            adapters = self.models.setdefault(model, set())
            (adapters.add if loads else adapters.discard)(adapter)
            if self.adapter_slots is not None and sum(map(len, self.models.values())) > self.adapter_slots:
                return self.overcommit()
        elif self.memory_mb is not None:
            return self.change_memory(loads, model)
        elif loads:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.after_order()
        return 202

    def used_mb(self):
        loading = [self.order_running[1]] if self.order_running and self.order_running[0] == "loading" else []
        return sum(self.weights_mb[model] for model in list(self.models) + loading)

    def change_memory(self, loads, model):
        """Begins an order for a model, which takes its time; returns the status, or None if the process crashes."""
        if loads == (model in self.models):
            return 200
        self.order_running = ("loading" if loads else "unloading", model)
        self.peak_mb = max(self.peak_mb, self.used_mb())
        if self.used_mb() > self.memory_mb:
            return self.overcommit()
        asyncio.get_running_loop().create_task(self.finish_order(loads, model, self.born, self.runs))
        return 202

    def overcommit(self):
        """Crashes, as a load beyond the memory or the slots for adapters does."""
        self.overcommits.append((time.monotonic(), self.used_mb(), {m: sorted(a) for m, a in self.models.items()}))
        self.order_running = None
        self.crash()

    async def finish_order(self, loads, model, born, runs):
        if loads:
            await asyncio.sleep(self.load_seconds)
        await self.until_resumed()
        while not loads and runs.get(model, 0):
            await asyncio.sleep(0.01)
        if born != self.born or not self.listener.is_serving():
            return  # Its process has ended.
        self.order_running = None
        if loads:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.after_order()

    def restart_with(self, models):
        """Makes the next process one that holds these models and knows no orders."""
        self.models = {model: set() for model in models}
        self.born += 1
        self.orders = 0
        self.order_running, self.runs = None, {}

    def mark_of(self, headers):
        """Returns what begins each token of an answer."""
        return self.mark + (headers.get("x-request-id", "") + "." if self.names_requests else "")

    def chat_events(self, mark):
        """Returns the data of the events that answer a chat."""
        head = {"id": "chat-1", "object": "chat.completion.chunk", "created": 1, "model": "m1"}
        deltas = [{"role": "assistant", "content": ""}] + [{"content": f"{mark}token{n} "} for n in range(1, 10)]
        chunks = [{**head, "choices": [{"index": 0, "delta": delta, "finish_reason": None}]} for delta in deltas]
        chunks[-1]["choices"][0]["finish_reason"] = "stop"
        return [json.dumps(chunk) for chunk in chunks] + (["[DONE]"] if self.final_event else [])

    async def stream(self, headers, signature, writer, events):
        head = {**signature, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, len(events) + 1):
            await asyncio.sleep(self.pauses.pop(number, 0))
            await self.until_resumed()
            line = f"id: {number}\n" if self.event_ids else ""
            event = f"{line}data: {events[number - 1]}\n\n".encode()
            if self.break_after is not None and number > self.break_after:
                event = event[:7]
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            self.last_events[signature["X-Request-Id"]] = time.monotonic()
            if self.break_after is not None and number > self.break_after:
                return False
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")
        return True


class Platform:
    """Runs the store and the upstreams on a thread with an event loop."""

    def __init__(self):
        self.store = Store()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.servers = []

    def close(self):
        async def end():
            for server in self.servers:
                server.close()
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def change(self, function, *arguments):
        async def call():
            return function(*arguments)
        return self.run(call())

    def serve_store(self, port):
        stalled = set()  # connections on which a call was left unanswered

        async def connection(reader, writer):
            try:
                while request := await read_request(reader):
                    self.store.count(request[0], request[1])
                    if port in self.store.severed_ports:
                        break
                    while port in self.store.unanswered_ports or writer in stalled:
                        stalled.add(writer)
                        await asyncio.sleep(0.05)
                    method, path, query, _, body = request
                    if port in self.store.refused_ports:
                        status, refused = self.store.refused_ports[port]
                        refused.append((time.monotonic(), path, query.get("prefix", "")))
                        if status is None:
                            break
                        writer.write(answer_bytes(status, {}, b"{}"))
                        await writer.drain()
                        continue
                    if method == "DELETE" and self.store.revocation_delay:
                        await asyncio.sleep(self.store.revocation_delay)
                        if writer.is_closing():
                            break
                    status, content = await self.store.handle(port, method, path, query, body)
                    content = self.store.seen_from(port, content)
                    await asyncio.sleep(self.store.answer_delay)
                    if port in self.store.severed_ports:
                        break
                    if self.store.lost_answers > 0:
                        self.store.lost_answers -= 1
                        break
                    era = {"Store-Era": str(self.store.era)}
                    writer.write(answer_bytes(status, era, json.dumps(content).encode()))
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # The peer closed the connection during a request, or the test ended.
            writer.close()
        self.servers.append(self.run(asyncio.start_server(connection, HOST, port)))

    def serve_upstream(self, upstream, restart_after=None, listed=True):
        """Serves an upstream; with restart_after, a crashed one is back after that many seconds. An unlisted one has
        no record yet."""
        async def connection(reader, writer):
            upstream.writers.add(writer)
            try:
                while request := await read_request(reader):
                    method, path, _, headers, body = request
                    await upstream.until_resumed()
                    if not await upstream.handle(method, path, headers, body, writer):
                        break
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # The peer closed the connection during a request, or the test ended.
            upstream.writers.discard(writer)
            writer.close()

        async def restart_crashed():
            while True:
                await asyncio.sleep(0.02)
                if not upstream.listener.is_serving():
                    await asyncio.sleep(restart_after)
                    upstream.born += 1
                    upstream.listener = await asyncio.start_server(connection, HOST, upstream.port)
                    self.servers.append(upstream.listener)
                    upstream.tell_listening(True)
                    self.store.put("servers/" + upstream.name, upstream.record())
        upstream.connection = connection
        self.listen_again(upstream)
        if listed:
            self.change(self.store.put, "servers/" + upstream.name, upstream.record())
        if restart_after is not None:
            asyncio.run_coroutine_threadsafe(restart_crashed(), self.loop)

    def listen_again(self, upstream):
        upstream.listener = self.run(asyncio.start_server(upstream.connection, HOST, upstream.port))
        self.servers.append(upstream.listener)
        self.change(upstream.tell_listening, True)

    def restart(self, upstream, version):
        """Ends an upstream and starts it again at once under its name with another version. Its record still
        names the process before; the test writes the new one."""
        self.change(upstream.crash)
        upstream.install(version)
        upstream.born += 1
        upstream.orders = 0
        self.listen_again(upstream)

    def publish(self, version, keys, routes, adapters=2):
        self.change(self.store.put, "op/config", self.configuration(version, keys, routes, adapters))

    @staticmethod
    def configuration(version, keys, routes, adapters=2):
        """Returns a configuration; each model has that many adapters, named a1, a2 and so on."""
        models = [{"name": m, "weights_mb": 100, "load_time_s": 1, "adapters": adapters, "adapter_size_mb": 1,
                   "warmup_s": 1, "disk_load_s": 1} for m in ("m1", "m2")]
        config = {"version": version, "routes": routes,
                  "services": [{"name": "llm", "health_path": "/h", "max_connections": 100,
                                "runtime": {"slots": 8, "kv_capacity": 100000, "weights_mb": 1000,
                                            "adapter_slots": 4, "loads_per_s": 5, "models": models}},
                               {"name": "desk", "health_path": "/h", "max_connections": 100}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
                             "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
                  "tenants": [{"name": "team", "api_keys": keys, "priority": 1, "unit": "generation",
                               "uncached_tokens": 10, "rate_per_s": 100000, "burst": 100000}]}
        return json.dumps(config).encode()


def route(name, prefix, kind, service, attempts=2, resumable=False):
    return {"name": name, "host": "h.example", "prefix": prefix, "type": kind, "timeout_ms": 4000,
            "target_latency_ms": 1000, "target_gap_ms": 400, "priority": 1, "service": service,
            "attempts": attempts, "public": False, "sticky": False, "resumable": resumable}


ROUTES = [route("once", "/once/", "non_idempotent", "desk", attempts=1),
          route("again", "/again/", "idempotent", "desk"),
          route("chat", "/chat/", "streaming", "llm", resumable=True),
          route("single", "/single/", "streaming", "llm", attempts=1)]
