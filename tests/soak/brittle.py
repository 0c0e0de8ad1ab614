"""Upstreams that fall over when they turn too many requests away, and bursts of callers at all VMs. Beside the other
faults of a soak, with threads and random numbers of their own, so that those of a seed stay."""

import http.client
import os
import random
import threading
import time

from kind import Kind
from users_platform import Upstream, route

UPSTREAMS = 4
SLOTS = 6
SECONDS = 0.2          # that a request takes
CONTACT = 4.0          # seconds from the first statement until fewer may wait
WAITING, FEWER_WAITING = 12, 1
REJECTIONS = 3, 8      # in a second that an upstream survives
RETURN = 2.0           # seconds until one that fell over is back
USUAL = 24             # requests a second, a fifth of what the upstreams take
BURST = 60
PROBABILITY = 2 / 3    # of a seed that plays this
ROUTE = route("brittle", "/brittle/", "idempotent", "brittle")


class Brittle(Kind):
    """The threads of one soak."""

    def __init__(self, soak, seed, port):
        super().__init__(soak, seed, "brittle")
        self.call_random = random.Random(f"{seed} brittle calls")
        self.played = self.random.random() < PROBABILITY
        self.calls = []
        self.times = []  # (start, end) during which the upstreams said that they are brittle
        self.upstreams = [Upstream(f"brittle{number}", port + number, "brittle") for number in range(UPSTREAMS)]
        for upstream in self.upstreams:
            upstream.slots, upstream.delay, upstream.waiting_room = SLOTS, SECONDS, WAITING
            soak.platform.serve_upstream(upstream, RETURN)
        loops = [self.drive, self.change] if self.played else []
        self.threads = [threading.Thread(target=loop) for loop in loops]

    def end(self):
        super().end()
        for thread in self.calls:
            thread.join()

    def drive(self):
        next_burst = time.monotonic() + 2
        while not self.ending.wait(1 / USUAL):
            count = 1
            if time.monotonic() > next_burst:
                next_burst = time.monotonic() + self.call_random.uniform(2, 4)
                count = BURST
            self.calls = [thread for thread in self.calls if thread.is_alive()]
            for _ in range(count):
                gateway = self.call_random.choice(self.soak.gateways)
                self.calls.append(threading.Thread(target=self.call, args=(gateway,)))
                self.calls[-1].start()

    def call(self, gateway):
        request_id = os.urandom(8).hex()
        self.record.request(request_id, "brittle", "k1", gateway.name)
        status = None
        try:
            status, _, _ = gateway.call(ROUTE["prefix"] + "x", headers={"X-Request-Id": request_id})
        except (OSError, http.client.HTTPException):
            pass  # The VM is away, or the upstream fell over.
        self.record.answer(request_id, status)
        self.soak.count(f"brittle {status}")

    def change(self):
        while not self.ending.wait(self.random.uniform(0.5, 3)):
            began, most = time.monotonic(), self.random.choice(REJECTIONS)
            self.set(most, WAITING, False)
            if not self.ending.wait(CONTACT):
                self.set(most, FEWER_WAITING, True)
                self.ending.wait(self.random.uniform(4, 12))
            self.set(None, WAITING, False)
            self.times.append((began, time.monotonic()))

    def set(self, most, waiting, falls_over):
        def change():
            for upstream in self.upstreams:
                upstream.brittle, upstream.waiting_room, upstream.falls_over = most, waiting, falls_over
        self.soak.platform.change(change)


def check_falls(record, times, upstreams):
    """Checks that brittle upstreams fall over rarely because of requests from VMs in touch."""
    for start, end in times:
        count = 0
        for at, rejected in [fall for upstream in upstreams for fall in upstream.falls]:
            vms = [record.sent[request_id][2] for request_id in rejected]
            in_touch = sum(record.fault_free(vm, at) and record.core_calm(at) for vm in vms)
            count += start <= at <= end and 2 * in_touch > len(vms)
        if count > 2 + len(upstreams) / 10:
            record.violation(f"LIMIT {len(upstreams)} brittle upstreams fell over {count} times")
