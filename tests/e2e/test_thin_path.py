"""Tests that every kind of valid request is served and that invalid ones are refused."""

import unittest

from deployment import Deployment, bearer, call, chat


class ThinPath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Deployment("hreinsun").start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def test_every_vm_serves(self):
        """Guards against a VM that lacks configuration or upstreams."""
        for name in self.fleet.entries:
            answer = chat(self.fleet.port(name), self.fleet.crew_key, 3)
            self.assertEqual((answer.status, answer.outcome), (200, "ran"), name)

    def test_stream_is_whole(self):
        """Guards against a stream that lacks events or its end."""
        answer = chat(self.fleet.port("entry-hofud-a-1"), self.fleet.crew_key, 20, True)
        events = answer.body.strip().split("\n\n")
        self.assertEqual(len(events), 21)
        self.assertEqual(events[-1], "data: [DONE]")

    def test_upstreams_never_see_the_key(self):
        """Guards against a key that is forwarded to an upstream, in any header that may hold it."""
        port = self.fleet.port("entry-nordur-a-1")
        key = self.fleet.desk_key
        attempts = [
            ("/pods/1", bearer(key)),
            ("/pods/2", {"X-Api-Key": key}),
            ("/pods/3?api_key=" + key + "&x=1", {}),
            ("/pods/4?x=1&api%5Fkey=" + key, {"X-Api-Key": key}),
            ("/pods/5", {"Cookie": "a=b; marigold_key=" + key + "; c=d"}),
            ("/pods/6", {**bearer(key), "X-Copy": "my key is " + key}),
        ]
        for path, headers in attempts:
            answer = call(port, "GET", path, None, headers)
            self.assertEqual(answer.status, 200, path)
        records = str(self.fleet.run_records(self.fleet.services))
        self.assertIn("/pods/5", records)
        self.assertIn("a=b; c=d", records)
        self.assertNotIn(key, records)

    def test_open_route_needs_no_key(self):
        """Guards against an open route that asks for a key."""
        self.assertEqual(call(self.fleet.port("entry-nordur-a-2"), "GET", "/open").status, 200)

    def test_operators_see_the_status_of_every_vm(self):
        """Guards against a status command that fails or leaves out a VM."""
        code, output, errors = self.fleet.ctl("status")
        self.assertEqual(code, 0, output + errors)
        for name in self.fleet.entries:
            self.assertIn(name, output)

    def test_refusals_say_not_run(self):
        """Guards against refusals without a result code or with a wrong outcome."""
        port = self.fleet.port("entry-austur-a-2")
        key = self.fleet.crew_key
        cases = [
            (call(port, "GET", "/pods/1"), 401, "key-missing"),
            (chat(port, "mt_1_2"), 401, "key-unknown"),
            (chat(port, key, model="no-such"), 404, "model-unknown"),
            (call(port, "GET", "/nowhere", None, bearer(key)), 404, "route-unknown"),
            (call(port, "POST", "/v1/chat/completions", "{", bearer(key)), 400,
             "bad-request"),
        ]
        for answer, status, code in cases:
            self.assertEqual((answer.status, answer.code(), answer.outcome),
                             (status, code, "not-run"))


if __name__ == "__main__":
    unittest.main()
