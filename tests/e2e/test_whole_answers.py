"""Tests that a caller gets the whole answer to its own request, or sees that it has not (P7)."""

import http.client
import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
CALLS = 8  # enough that each of two upstreams gets some
CHAT = {"X-Model-Name": "m1", "X-Token-Usage": "100,20"}
FOREIGN = "HTTP/1.1 200 OK\r\nX-Server-Signature: sig\r\nX-Request-Id: of-another\r\n"
OWN = "HTTP/1.1 200 OK\r\nSIGNATURE\r\n"


class WholeAnswers(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.platform.publish(1, ["k1"], ROUTES)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1)]
        for upstream in self.desks + self.engines:
            self.platform.serve_upstream(upstream)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)

    def tearDown(self):
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def answer_with(self, upstreams, head, body):
        """Makes upstreams send these bytes in place of their answers and close the connection."""
        for upstream in upstreams:
            upstream.endless = (head, body, 0)
            upstream.endless_limit, upstream.endless_sent = len(body), 0

    def call(self, path, **options):
        """Returns status, body and outcome; status 0 for an answer that is not whole."""
        try:
            status, body, headers = self.gateway.call(path, **options)
        except (OSError, http.client.HTTPException):
            return 0, "", None
        return status, body, headers.get("Marigold-Outcome")

    def check_other_desk_answers(self):
        """Checks that repeatable requests get their answers from the second desk, whatever the first one sends."""
        for number in range(CALLS):
            self.desks[0].endless_sent = 0
            answer = self.call("/again/x", method="GET", body=None, headers={"X-Request-Id": f"r{number}"})
            self.assertEqual((200, f"done by desk1 for r{number}"), answer[:2])
        self.assertTrue(self.desks[0].seen)

    def test_answer_to_another_request_reaches_nobody(self):
        """Guards against an answer to another request that is passed on, and against a missing retry after it is
        discarded."""
        self.answer_with(self.desks[:1], FOREIGN + "Content-Length: 7\r\n\r\n", b"foreign")
        self.check_other_desk_answers()
        self.answer_with(self.desks, FOREIGN + "Content-Length: 7\r\n\r\n", b"foreign")
        self.assertEqual((502, "unknown"), self.call("/once/x")[::2])

    def test_stream_for_another_request_reaches_nobody(self):
        """Guards against events for another request that are passed on."""
        self.answer_with(self.engines[:1], FOREIGN + "Content-Type: text/event-stream\r\n\r\n",
                         b"id: 1\ndata: foreign\n\n")
        for number in range(CALLS):
            self.engines[0].endless_sent = 0
            status, body, _ = self.call("/chat/x", headers={**CHAT, "X-Prompt-Prefix": f"{number:x}:50"})
            self.assertEqual(200, status)
            self.assertNotIn("foreign", body)
            self.assertEqual(10, body.count("id: "))
        self.assertTrue(self.engines[0].seen)

    def test_short_answer_is_never_passed_as_whole(self):
        """Guards against a truncated body that looks complete."""
        self.answer_with(self.desks[:1], OWN + "Content-Length: 10\r\n\r\n", b"short")
        self.check_other_desk_answers()
        self.answer_with(self.desks, OWN + "Content-Length: 10\r\n\r\n", b"short")
        status, _, outcome = self.call("/once/x")
        self.assertIn((status, outcome), ((502, "unknown"), (0, None)))

    def test_surplus_bytes_reach_nobody(self):
        """Guards against surplus bytes after one answer that are read as the next answer."""
        for desk in self.desks:
            desk.surplus = True
        for path in ("/once/x", "/again/x"):
            for number in range(CALLS):
                status, body, _ = self.call(path, headers={"X-Request-Id": f"r{number}"})
                self.assertEqual(200, status)
                self.assertRegex(body, f"^done by desk. for r{number}$")

    def test_dead_upstream_costs_no_request(self):
        """Guards against failed requests while a dead upstream is still listed."""
        for upstream in (self.desks[0], self.engines[0]):
            self.platform.change(upstream.crash)
        for number in range(30):
            self.assertEqual(200, self.call("/once/x")[0])
            self.assertEqual(200, self.call("/chat/x", headers={**CHAT, "X-Prompt-Prefix": f"{number:x}:50"})[0])

    def test_stream_of_a_killed_engine_is_continued_on_another(self):
        """Guards against a stream that ends or repeats events when its engine dies."""
        for engine in self.engines:
            engine.pauses = {6: 1.5}
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            self.call("/chat/x", headers={**CHAT, "X-Prompt-Prefix": "a:50"})))
        caller.start()
        wait_for(lambda: any(engine.seen for engine in self.engines), 2)
        time.sleep(0.4)
        dying = next(engine for engine in self.engines if engine.seen)
        self.platform.change(dying.crash)
        caller.join()
        status, body, _ = answers[0]
        self.assertEqual(200, status)
        self.assertEqual(list(range(1, 11)), [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")])
        other = next(engine for engine in self.engines if engine is not dying)
        self.assertEqual(["5"], [headers.get("last-event-id") for headers in other.seen])


if __name__ == "__main__":
    unittest.main()
