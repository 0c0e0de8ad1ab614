"""Tests of upstreams that run none of their requests while their siblings have room."""

import itertools
import os
import tempfile
import time
import unittest

import test_answer_status
from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
CALLS = 60
SOUND_CALLS = 20
MOST_SENDS = 6       # to the upstream in trouble, of CALLS; its share would be 15 or more
AT_ONCE = 0.4        # seconds
BACK_AFTER = 2       # seconds
RETRY_RATIO, LEAST_RETRIES = 0.2, 52  # as in the settings of gateway_process.py
IDLE = {"X-Replica-Load": "0,0,8"}
FORMS = ((503, {}), (429, {}), (503, IDLE), (429, IDLE), (429, {"Retry-After": "0.05"}))


class UpstreamRejections(unittest.TestCase):
    DESKS = 4
    ENGINES = 3
    call = test_answer_status.AnswerStatus.call

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.platform.publish(1, ["k1"], ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)])
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in range(self.DESKS)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(self.ENGINES)]
        for upstream in self.desks + self.engines:
            upstream.event_seconds = 0.001
            self.platform.serve_upstream(upstream)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)
        self.numbers = itertools.count(1)

    tearDown = test_answer_status.AnswerStatus.tearDown

    def statuses(self, kind, count):
        return [self.call(kind)[0] for _ in range(count)]

    def upstreams_of(self, kind):
        return self.desks if kind in ("once", "again") else self.engines

    def begin(self, kind):
        """Lets the gateway see that all serve, and that the upstreams are back after an earlier trouble."""
        upstreams = self.upstreams_of(kind)
        for upstream in upstreams:
            upstream.reject_status, upstream.reject_headers = None, {}
            upstream.seen, upstream.turned_away = [], []
        until = time.monotonic() + 6
        while min(len(upstream.seen) for upstream in upstreams) < 5 and time.monotonic() < until:
            self.assertEqual({200}, set(self.statuses(kind, SOUND_CALLS)))
        self.assertGreaterEqual(min(len(upstream.seen) for upstream in upstreams), 5)

    def check_form(self, kind, status, headers):
        self.begin(kind)
        upstream = self.upstreams_of(kind)[0]
        upstream.reject_status, upstream.reject_headers = status, headers
        refused = sum(got != 200 for got in self.statuses(kind, CALLS))
        with self.subTest(kind=kind, status=status, headers=headers):
            self.assertTrue(upstream.turned_away, "the upstream in trouble got none")
            self.assertLessEqual(len(upstream.turned_away), MOST_SENDS)
            self.assertLessEqual(refused, 0 if kind in ("again", "chat") else MOST_SENDS)

    def test_service_that_rejects_everything_gets_trials_only(self):
        """Guards against an upstream that ends its requests at once, looks idle and gets the next ones."""
        for status, headers in FORMS:
            self.check_form("once", status, headers)

    def test_engine_that_rejects_everything_gets_trials_only(self):
        """Guards against the same at an engine, for streams that may be resumed or not."""
        for status, headers in FORMS:
            self.check_form("chat", status, headers)
        self.check_form("single", 429, {})

    def test_upstream_is_back_soon_after_it_serves(self):
        """Guards against an upstream that is left out for good, or for long, where requests may run once only."""
        for kind in ("once", "chat"):
            self.begin(kind)
            upstream = self.upstreams_of(kind)[0]
            upstream.reject_status = 429
            self.statuses(kind, CALLS)
            upstream.reject_status = None
            upstream.seen = []
            recovered = time.monotonic()
            while len(upstream.seen) < 5 and time.monotonic() < recovered + 6:
                self.statuses(kind, 1)
            with self.subTest(kind=kind):
                self.assertLess(time.monotonic() - recovered, BACK_AFTER)

    def test_all_reject_alike(self):
        """Guards against upstreams that are avoided, callers that wait and sends beyond the budget in a flood."""
        for kind in ("once", "again"):
            self.begin(kind)
            for desk in self.desks:
                desk.reject_status = 429
            got = [self.call(kind) for _ in range(CALLS)]
            sends = sum(len(desk.turned_away) for desk in self.desks)
            for desk in self.desks:
                desk.reject_status = None
                desk.seen = []
            with self.subTest(kind=kind):
                self.assertEqual({503}, {status for status, *_ in got})
                self.assertLess(max(seconds for *_, seconds in got), AT_ONCE)
                self.assertLessEqual(sends, CALLS if kind == "once" else CALLS * (1 + RETRY_RATIO) + LEAST_RETRIES)
                self.assertEqual({200}, set(self.statuses(kind, CALLS)))
                self.assertGreater(min(len(desk.seen) for desk in self.desks), 0)


if __name__ == "__main__":
    unittest.main()
