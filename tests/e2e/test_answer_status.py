"""Tests of answers with a status that HTTP doesn't have, or that must not have a body."""

import itertools
import json
import os
import socket
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from stranded_fleet import DEADLINE, StrandedTest, Try
from users_platform import HOST, ROUTES, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
AT_ONCE = 0.4         # seconds; silence counts as a stall after 0.75
AFTER_STALL = 1.6     # seconds until a request has left an upstream that doesn't answer
MOST_CALLS = 60       # until the upstream in trouble has got one
SOUND_ANSWERS = 4     # before the trouble, which make up for an earlier failure
BODY = "Content-Length: 7\r\n\r\nforeign"
CHUNKS = "Transfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
EVENT = "Content-Length: 22\r\n\r\nid: 1\ndata: foreign\n\n\n"
MALFORMED = ("000", "020", "20", "100", "101", "199", "600", "999")
NEW_PARTS = 0x1000    # ids of parts of prompts from here on are in one request each
SIGNED = (True, False)
STAYS_OPEN = (True, False)
ALL_ROUTES = ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)]


def answer(status, rest, signed):
    return f"HTTP/1.1 {status} X\r\n" + ("SIGNATURE\r\n" if signed else "") + rest


class AnswerStatus(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.platform.publish(1, ["k1"], ALL_ROUTES)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1)]
        self.upstreams = self.desks + self.engines
        for upstream in self.upstreams:
            upstream.event_seconds = 0.001
            self.platform.serve_upstream(upstream)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)
        self.numbers = itertools.count(1)

    def tearDown(self):
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def call(self, kind):
        """Returns status, bytes behind the head, outcome and seconds of a call on a connection of its own."""
        number = next(self.numbers)
        path, body = f"/{kind}/x", b"x"
        headers = {"Host": "h.example", "Authorization": "Bearer k1", "X-Deadline-Ms": "3000",
                   "X-Request-Id": f"r{number}", "Connection": "close"}
        if kind in ("chat", "single"):
            prompt = f"{number + NEW_PARTS:x}:50,{number:x}:50"  # its first part might crash upstreams
            headers.update({"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": prompt})
        elif kind == "api":
            path = "/v1/chat/completions"
            body = json.dumps({"model": "m1", "max_tokens": 20,
                               "messages": [{"role": "user", "content": f"Is pod {number} clean?"}]}).encode()
        headers["Content-Length"] = str(len(body))
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items()) + "\r\n"
        begun, received = time.monotonic(), b""
        with socket.create_connection((HOST, self.gateway.port), timeout=6) as connection:
            connection.sendall(head.encode() + body)
            while part := connection.recv(65536):
                received += part
        head, _, rest = received.decode().partition("\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        self.assertNotIn("foreign", rest)
        return int(head.split(" ")[1]), rest, fields.get("Marigold-Outcome"), time.monotonic() - begun

    @staticmethod
    def trouble(upstreams, raw_answer, endless=None):
        for upstream in upstreams:
            upstream.raw_answer, upstream.endless = raw_answer, endless
            upstream.seen = []

    def troubles(self, status, rest=BODY):
        for signed in SIGNED:
            for stays_open in STAYS_OPEN:
                yield answer(status, rest, signed), stays_open

    def check_unknown(self, kind, upstreams, trouble):
        """Checks that a request fails at once, and that one that may run once has reached one upstream."""
        self.trouble(upstreams, trouble)
        status, _, outcome, seconds = self.call(kind)
        with self.subTest(kind=kind, trouble=trouble):
            self.assertEqual((502, "unknown"), (status, outcome))
            self.assertLess(seconds, AT_ONCE)
            sends = sum(len(upstream.seen) for upstream in upstreams)
            self.assertIn(sends, (1,) if kind in ("once", "single") else (1, 2))

    def check_other_serves(self, kind, upstreams, trouble, limit, endless=None):
        """Checks that requests are answered within the limit while the upstream in trouble is the one that got the
        latest of them."""
        self.trouble(upstreams, None)
        for _ in range(SOUND_ANSWERS):
            self.check_served(kind, AT_ONCE)
        latest = max((upstream for upstream in upstreams if upstream.seen), key=lambda one: one.arrivals[-1])
        self.trouble([latest], trouble, endless)
        for _ in range(MOST_CALLS):
            with self.subTest(kind=kind, trouble=trouble, endless=endless):
                self.check_served(kind, limit)
            if latest.seen:
                return
        self.fail(f"no call of {kind} has met the upstream in trouble")

    def check_served(self, kind, limit):
        status, rest, _, seconds = self.call(kind)
        self.assertEqual(200, status, rest)
        self.assertLess(seconds, limit)

    def test_malformed_answer_ends_a_request_that_may_run_once_at_once(self):
        """Guards against answers with a status that HTTP doesn't have, or interim ones with a body, that are passed on
        or for whose final answer a caller waits."""
        for status in MALFORMED:
            for trouble in self.troubles(status):
                self.check_unknown("once", self.desks, trouble)
                self.check_unknown("single", self.engines, trouble)

    def test_malformed_answers_of_all_upstreams_end_a_repeatable_request_at_once(self):
        """Guards against a repeatable request that waits when each upstream has answered so."""
        for status in ("000", "199", "999"):
            for trouble in self.troubles(status):
                for kind in ("again", "chat", "api"):
                    self.check_unknown(kind, self.desks if kind == "again" else self.engines, trouble)

    def test_malformed_answer_is_tried_elsewhere_at_once(self):
        """Guards against a repeatable request that waits or fails beside another upstream."""
        for status in ("000", "199", "999"):
            for trouble in self.troubles(status):
                self.check_other_serves("again", self.desks, trouble, AT_ONCE)
        for status, kind in (("000", "chat"), ("000", "api"), ("199", "chat"), ("999", "api")):
            for trouble in self.troubles(status):
                self.check_other_serves(kind, self.engines, trouble, AT_ONCE)

    def test_interim_answer_without_final_one_is_left_like_silence(self):
        """Guards against interim answers that keep a repeatable request from its other upstreams."""
        for signed in SIGNED:
            trouble = answer("103", "\r\n", signed), True
            self.check_other_serves("again", self.desks, trouble, AFTER_STALL)
            self.check_other_serves("chat", self.engines, trouble, AFTER_STALL)
        interim = answer("103", "\r\n", False)
        self.check_other_serves("again", self.desks, None, AFTER_STALL, (interim, interim.encode(), 0.05))

    def test_sound_interim_answers_precede_the_final_one(self):
        """Guards against a sound interim answer that is taken for a malformed one."""
        final = "Content-Length: 3\r\n\r\nall"
        self.trouble(self.desks, (answer("103", "\r\n", False) + answer("200", final, True), True))
        for kind in ("once", "again"):
            self.assertEqual((200, "all"), self.call(kind)[:2])

    def test_answer_that_has_no_body_is_passed_on_without_one(self):
        """Guards against bytes behind an answer without a body that a caller gets, and against one whose status
        changes."""
        for status in ("204", "304"):
            for rest in (BODY, CHUNKS, "\r\nforeign", "\r\n"):
                for stays_open in STAYS_OPEN:
                    self.trouble(self.desks, (answer(status, rest, True), stays_open))
                    for kind in ("once", "again"):
                        with self.subTest(kind=kind, status=status, rest=rest, stays_open=stays_open):
                            got, behind, _, seconds = self.call(kind)
                            self.assertEqual((int(status), ""), (got, behind))
                            self.assertLess(seconds, AT_ONCE)

    def test_answer_that_has_no_body_is_no_stream(self):
        """Guards against a stream, also a chat, whose status says that it has no events."""
        for rest in (EVENTS + EVENT, EVENTS + CHUNKS, EVENTS + "\r\n", BODY, "\r\n"):
            for stays_open in STAYS_OPEN:
                trouble = answer("204", rest, True), stays_open
                for kind in ("single", "chat", "api"):
                    self.check_unknown(kind, self.engines, trouble)

    def test_stream_whose_status_has_no_body_is_tried_elsewhere_at_once(self):
        """Guards against a repeatable stream that such an answer ends beside another upstream."""
        for rest in (EVENTS + EVENT, EVENTS + CHUNKS):
            for kind in ("chat", "api"):
                self.check_other_serves(kind, self.engines, (answer("204", rest, True), True), AT_ONCE)


class CarriedAnswerStatus(StrandedTest):
    ENGINES = 2

    def check(self, kind, wanted):
        """Checks how a request of the VM without a path ends, and that it ends at once."""
        number = next(self.numbers)
        attempt = Try(self.gateways[0], kind, f"{kind}-{number}")
        attempt.send(f"{number + NEW_PARTS:x}:50,{number:x}:50", DEADLINE)
        self.assertEqual(wanted, attempt.status, attempt)
        self.assertLess(attempt.seconds, AT_ONCE)
        return attempt

    def test_malformed_answer_by_way_of_a_peer(self):
        """Guards against such answers that a peer passes on, or waits for, for a VM without a path of its own."""
        self.strand([0], "silent")
        for status in ("000", "199", "999"):
            for stays_open in STAYS_OPEN:
                for upstream in self.upstreams:
                    upstream.raw_answer = (answer(status, BODY, True), stays_open)
                for kind in ("once", "single", "again", "chat"):
                    with self.subTest(kind=kind, status=status, stays_open=stays_open):
                        attempt = self.check(kind, 502)
                        self.assertEqual("unknown", attempt.headers.get("Marigold-Outcome"))
                        self.assertIn(self.runs(attempt), (1,) if kind in ("once", "single") else (1, 2))

    def test_answer_without_body_by_way_of_a_peer(self):
        """Guards against bytes that a peer sends behind an answer without a body."""
        self.strand([0], "silent")
        for rest in (BODY, CHUNKS, "\r\n"):
            for desk in self.desks:
                desk.raw_answer = (answer("204", rest, True), True)
            for kind in ("once", "again"):
                with self.subTest(kind=kind, rest=rest):
                    self.check(kind, 204)


if __name__ == "__main__":
    unittest.main()
