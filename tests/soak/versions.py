"""Callers of streams and faults of upstreams that run several versions of their software. Beside the other faults of a
soak, with threads and random numbers of their own, so that those of a seed stay."""

import os
import random
import threading
import time

from kind import Kind
from stream_calls import StreamCaller
from users_platform import TOKENS, Upstream, route

SOFTWARE = "v1", "v2", "v3"
SKEWED = 5             # upstreams
CALLERS = 4
MOST_TRIES = 4
EVENT_SECONDS = 0.05
SWAP_PAUSE = (1.0, 4.0)  # seconds between two changes of an upstream
RECORD_DELAY = 0.2     # seconds that the record of a restarted upstream is late at most
DRAIN_SECONDS = 2.5    # that an upstream serves after its record says that it leaves
ROUTE = route("skew", "/skew/", "streaming", "skew", resumable=True)
MODEL = "m6"


class Versions(Kind):
    """The threads of one soak."""

    def __init__(self, soak, seed, port):
        super().__init__(soak, seed, "versions")
        self.callers = []
        self.number = 0
        self.lock = threading.Lock()
        self.upstreams = [Upstream(f"skew{number}", port + number, "skew", [MODEL]) for number in range(SKEWED)]
        self.sound = set(self.upstreams)  # that serve, as their records say
        for number, upstream in enumerate(self.upstreams):
            upstream.event_seconds = EVENT_SECONDS
            upstream.install(SOFTWARE[number % 2])
            soak.platform.serve_upstream(upstream)
        self.threads = [threading.Thread(target=self.call, args=(random.Random(f"{seed} versions {number}"),))
                        for number in range(CALLERS)] + [threading.Thread(target=self.swap)]

    def serving(self, version):
        return sum(upstream.version == version for upstream in list(self.sound))

    def call(self, numbers):
        """Begins streams and takes them up until they are complete; some callers lose their connections."""
        while not self.ending.is_set():
            with self.lock:
                self.number += 1
                caller = StreamCaller(self.number, ROUTE["prefix"] + "x", MODEL)
                self.callers.append(caller)
            for _ in range(MOST_TRIES):
                lost = numbers.random() < 0.5
                self.attempt(caller, numbers.choice(self.soak.gateways), numbers.randrange(1, 6) if lost else None)
                if len(caller.events) >= len(TOKENS):
                    break
                self.ending.wait(numbers.uniform(0, 0.3))
            self.ending.wait(0.05)

    def attempt(self, caller, gateway, leave_after):
        request_id = os.urandom(8).hex()
        version = caller.events[-1][1] if caller.events else None
        ready = version is None or self.serving(version) >= 2
        self.record.request(request_id, "skew", "k1", gateway.name)
        more = caller.attempt(gateway, leave_after, request_id=request_id) > 0
        self.record.answer(request_id, caller.statuses[-1])
        if version is None:
            self.record.new_streams.append((gateway.name, time.monotonic(), more))
        elif ready and self.serving(version) >= 2:
            self.record.take_ups.append((gateway.name, time.monotonic(), more))
        self.soak.count("new" if version is None else "taken up")

    # Faults.

    def swap(self):
        """Upstreams break streams off, restart with another version or are replaced by one of another version."""
        while not self.ending.wait(self.random.uniform(*SWAP_PAUSE)):
            upstream, version = self.random.choice(self.upstreams), self.random.choice(SOFTWARE)
            self.random.choice([self.break_off, self.restart, self.replace])(upstream, version)

    def break_off(self, upstream, _):
        upstream.break_after = self.random.randrange(0, 9)
        self.ending.wait(0.5)
        upstream.break_after = None

    def restart(self, upstream, version):
        self.sound.discard(upstream)
        self.soak.platform.restart(upstream, version)
        time.sleep(self.random.uniform(0, RECORD_DELAY))
        self.tell(upstream)

    def replace(self, upstream, version):
        """It leaves in order; one of another name takes its address."""
        self.sound.discard(upstream)
        self.soak.platform.change(self.soak.platform.store.put, "servers/" + upstream.name, upstream.record("draining"))
        time.sleep(DRAIN_SECONDS)
        self.soak.platform.change(self.soak.platform.store.remove, "servers/" + upstream.name)
        with self.lock:
            self.number += 1
            upstream.name = f"skew-{self.number}"
        self.soak.platform.restart(upstream, version)
        self.tell(upstream)

    def tell(self, upstream):
        self.soak.platform.change(self.soak.platform.store.put, "servers/" + upstream.name, upstream.record())
        self.sound.add(upstream)
