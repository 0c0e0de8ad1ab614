"""Tests that gateways spare upstreams that fall over when they turn too many requests away."""

import contextlib
import http.client
import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
VMS = 4
UPSTREAMS = 4
SLOTS = 6
CONTACT_SECONDS = 4.0  # from the first statement until fewer may wait
WAITING, FEWER_WAITING = 6, 1
REJECTIONS = 3         # in a second that an upstream survives
RETURN_SECONDS = 2.0   # until one that fell over is back
ALLOWED_FALLS = 2 + UPSTREAMS / 10
RECORD_SECONDS = 0.5   # until VMs know a record


class BrittleTest(unittest.TestCase):
    service, path, models, headers = "desk", "/again/x", None, {}

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.upstreams = [Upstream(f"brittle{n}", BASE_PORT + 70 + n, self.service, self.models)
                          for n in range(UPSTREAMS)]
        for upstream in self.upstreams:
            upstream.slots, upstream.waiting_room = SLOTS, WAITING
            upstream.delay, upstream.event_seconds = self.delay, self.event_seconds
            upstream.brittle, upstream.falls_over = REJECTIONS, False
            self.platform.serve_upstream(upstream, RETURN_SECONDS)
        self.gateways = []
        for number in range(VMS):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         ("dc-a", "dc-b")[number % 2]))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        time.sleep(RECORD_SECONDS)
        self.answers = []  # (time sent, status, Retry-After, seconds)

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def call(self, number, tries=2):
        """Sends a request and, if it is refused, once more to another VM after the time that it was told."""
        for attempt in range(tries):
            gateway, sent = self.gateways[(number + attempt) % VMS], time.monotonic()
            prompt = {"X-Prompt-Prefix": f"{number + 1:x}:50"} if self.models else {}
            status, wait = None, None  # The answer breaks off with a fall.
            with contextlib.suppress(OSError, http.client.HTTPException):
                status, _, headers = gateway.call(self.path, headers={**self.headers, **prompt})
                wait = headers.get("Retry-After")
            self.answers.append((sent, status, wait, time.monotonic() - sent))
            if status != 503 or wait is None:
                return
            time.sleep(float(wait))

    def drive(self, seconds, per_second, burst=0):
        """Sends requests to all gateways in turn; with burst, that many more at once in every third second."""
        calls, started, bursts = [], time.monotonic(), 0
        while (passed := time.monotonic() - started) < seconds:
            count = 1
            if burst and passed >= 3 * bursts:
                bursts += 1
                count += burst
            for _ in range(count):
                calls.append(threading.Thread(target=self.call, args=(len(calls),)))
                calls[-1].start()
            time.sleep(1 / per_second)
        for thread in calls:
            thread.join()

    def let_fewer_wait(self):
        def change():
            for upstream in self.upstreams:
                upstream.waiting_room, upstream.falls_over = FEWER_WAITING, True
        self.platform.change(change)

    def falls(self):
        return sum(len(upstream.falls) for upstream in self.upstreams)

    def rejected(self):
        return sum(len(upstream.rejections) for upstream in self.upstreams)

    def check_bursts(self):
        self.drive(CONTACT_SECONDS, self.usual)
        self.answers.clear()
        self.let_fewer_wait()
        self.drive(14, self.usual, burst=3 * UPSTREAMS * SLOTS)
        served = sum(status == 200 for _, status, _, _ in self.answers)
        print(f"{type(self).__name__}: {self.falls()} falls, {self.rejected()} requests turned away, "
              f"{served} of {len(self.answers)} tries served")
        self.assertLessEqual(self.falls(), ALLOWED_FALLS)
        for _, status, wait, _ in self.answers:
            self.assertTrue(status != 503 or float(wait) > 0, "a refusal says when to come back")

    def check_calm(self):
        self.drive(CONTACT_SECONDS, self.usual)
        self.let_fewer_wait()
        self.answers.clear()
        self.drive(4, self.usual)
        refused = [row for row in self.answers if row[1] != 200]
        # Requests that are refused while under half of the places are taken could have been served.
        self.assertEqual([], refused)
        self.assertEqual(0, self.falls())


class BrittleEngines(BrittleTest):
    service, path, models = "llm", "/chat/x", ["m1"]
    headers = {"X-Model-Name": "m1", "X-Token-Usage": "100,20"}
    delay, event_seconds = 0.05, 0.08  # about 0.9 s for a stream
    usual = 8                          # a second, about a third of the places

    def test_bursts_fell_no_more_engines_than_allowed(self):
        """Guards against bursts that fell one engine after the other, since each VM sends what the reports of its
        peers leave room for, and what falls with one goes to the next."""
        self.check_bursts()

    def test_calm_streams_are_served_beside_brittleness(self):
        """Guards against refusals while places are free."""
        self.check_calm()


class BrittleServices(BrittleTest):
    delay, event_seconds = 0.2, 0
    usual = 36  # a second, about a third of the places

    def test_bursts_fell_no_more_services_than_allowed(self):
        """The same with answers that take a fraction of the time that reports of peers take."""
        self.check_bursts()

    def test_calm_requests_are_served_beside_brittleness(self):
        """Guards against refusals while places are free."""
        self.check_calm()


if __name__ == "__main__":
    unittest.main()
