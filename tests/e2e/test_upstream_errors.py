"""Tests of upstreams that answer with errors of their own while their health is good."""

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


class UpstreamErrors(unittest.TestCase):
    DESKS = 4
    call = test_answer_status.AnswerStatus.call

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.platform.publish(1, ["k1"], ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)])
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in range(self.DESKS)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1, 2)]
        for upstream in self.desks + self.engines:
            upstream.event_seconds = 0.001
            self.platform.serve_upstream(upstream)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)
        self.numbers = itertools.count(1)

    tearDown = test_answer_status.AnswerStatus.tearDown

    def statuses(self, kind, count):
        return [self.call(kind)[0] for _ in range(count)]

    def begin(self, kind):
        """Lets the gateway see that errors are unusual."""
        self.assertEqual({200}, set(self.statuses(kind, SOUND_CALLS)))
        for upstream in self.desks + self.engines:
            upstream.seen = []

    def test_repeatable_requests_do_not_fail_beside_sound_upstreams(self):
        """Guards against an upstream's own errors that callers get although another upstream could serve them."""
        for kind, upstreams in (("again", self.desks), ("chat", self.engines), ("api", self.engines)):
            self.begin(kind)
            upstreams[0].error_share = 1
            with self.subTest(kind=kind):
                failed = sum(status != 200 for status in self.statuses(kind, CALLS))
                self.assertTrue(upstreams[0].own_errors, "the upstream in trouble got none")
                self.assertEqual(0, failed)
            upstreams[0].error_share = 0

    def test_upstream_that_errs_gets_trials_only_and_comes_back(self):
        """Guards against an upstream that keeps its share of requests while it errs, or that loses it for good."""
        self.begin("once")
        self.desks[0].error_share = 1
        failed = sum(status != 200 for status in self.statuses("once", CALLS))
        self.assertLessEqual(failed, 6)
        self.desks[0].error_share = 0
        time.sleep(1.5)
        self.desks[0].seen = []
        self.assertEqual({200}, set(self.statuses("once", CALLS)))
        until = time.monotonic() + 4
        while len(self.desks[0].seen) < 10 and time.monotonic() < until:
            self.statuses("once", 5)
        self.assertGreaterEqual(len(self.desks[0].seen), 10)

    def test_request_that_runs_once_is_sent_once(self):
        """Guards against a second run of a request after an error of an upstream."""
        self.begin("once")
        for desk in self.desks:
            desk.error_share = 0.5
        self.statuses("once", CALLS)
        ids = [headers["x-request-id"] for desk in self.desks for headers in desk.seen]
        self.assertEqual(CALLS, len(ids))
        self.assertEqual(CALLS, len(set(ids)))
        self.assertTrue(any(desk.own_errors for desk in self.desks))

    def test_first_answer_is_given_whole_if_the_second_send_brings_none(self):
        """Guards against an error of the gateway in place of the answer that an upstream gave."""
        self.begin("again")
        self.desks[0].error_share = 1
        for desk in self.desks[1:]:
            desk.drop_requests = True
        got = [self.call("again") for _ in range(CALLS)]
        met = [(status, rest, outcome) for status, rest, outcome, _ in got if status == 500]
        self.assertTrue(met)
        for status, rest, outcome in met:
            self.assertEqual((500, "own error", None), (status, rest, outcome))

    def test_all_err_alike(self):
        """Guards against upstreams that are avoided, or requests sent twice, where the errors go with the requests."""
        for desk in self.desks:
            desk.error_share = 0.3
        self.statuses("again", CALLS)
        for desk in self.desks:
            desk.seen = []
        self.statuses("again", CALLS)
        sends = sum(len(desk.seen) for desk in self.desks)
        self.assertLessEqual(sends, CALLS * 1.15)
        self.assertGreater(min(len(desk.seen) for desk in self.desks), 0)


if __name__ == "__main__":
    unittest.main()
