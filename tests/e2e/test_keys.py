"""Tests that no key is written where it need not be, and that a withdrawn one stops working (P4, P5)."""

import base64
import http.client
import json
import unittest

from fleet_case import BASE_PORT, FleetCase
from gateway_process import OPERATOR, wait_for
from users_platform import HOST, ROUTES, Upstream, route

KEYS = ("crew-5f2d9c01b7", "desk-83ae44d60c")
TARGET_SECONDS = 3
CHAT = {"model": "m1", "max_tokens": 20, "messages": [{"role": "user", "content": "hello"}]}


class Keys(FleetCase):
    DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}
    PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")

    def setUp(self):
        super().setUp()
        self.engine = Upstream("engine0", BASE_PORT + 70, "llm", ["m1"])
        self.platform.serve_upstream(self.engine)
        self.platform.publish(2, list(KEYS), ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)])
        for key in KEYS:
            wait_for(lambda key=key: all(self.status(gateway, key) == 200 for gateway in self.gateways))

    @staticmethod
    def status(gateway, key):
        return gateway.call("/again/x", key=key)[0]

    @staticmethod
    def operator_page(gateway, path):
        connection = http.client.HTTPConnection(HOST, gateway.port + OPERATOR, timeout=2)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def test_key_is_in_no_log_page_record_or_upstream(self):
        """Guards against a key in plain text in a log, a dump, what VMs write to the store, or an upstream. The
        operator's own configuration has the keys, and relays pass it on."""
        headers = {"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}
        for gateway in self.gateways:
            for key in KEYS:
                self.assertEqual(200, gateway.call("/chat/x", key=key, headers=headers)[0])
                self.assertEqual(200, gateway.call("/v1/chat/completions", key=key, body=json.dumps(CHAT))[0])
                self.assertEqual(401, gateway.call("/again/x", key=key + "x")[0])
                self.assertEqual(404, gateway.call("/none/x", key=key)[0])
        self.platform.publish(3, [KEYS[0]], ROUTES)
        wait_for(lambda: all(self.status(gateway, KEYS[1]) == 401 for gateway in self.gateways))
        texts = {upstream.name: str(upstream.seen) + str(upstream.chats) for upstream in self.desks + [self.engine]}
        for gateway in self.gateways:
            texts[gateway.name + " log"] = gateway.log()
            for path in ("/dump", "/status", "/metrics"):
                status, texts[gateway.name + path] = self.operator_page(gateway, path)
                self.assertEqual(200, status)
        written = [item for item in self.platform.store.history if "value" in item and not item["key"].startswith("op/")]
        self.assertTrue(written)
        for item in written:
            texts[item["key"]] = texts.get(item["key"], "") + base64.b64decode(item["value"]).decode()
        for where, text in texts.items():
            self.assertTrue(text, where)
            for key in KEYS:
                self.assertNotIn(key, text, where)
                self.assertNotIn(base64.b64encode(key.encode()).decode().rstrip("="), text, where)

    def test_withdrawn_key_stops_at_each_vm_and_the_other_is_served(self):
        """Guards against a VM that still accepts a withdrawn key, or refuses others beside it."""
        self.platform.publish(3, [KEYS[0]], ROUTES)
        wait_for(lambda: all(self.status(gateway, KEYS[1]) == 401 for gateway in self.gateways), TARGET_SECONDS)
        for gateway in self.gateways:
            self.assertEqual(200, self.status(gateway, KEYS[0]))
            answer = gateway.call("/again/x", key=KEYS[1])
            self.assertEqual((401, "not-run"), (answer[0], answer[2]["Marigold-Outcome"]))

    def test_public_route_needs_no_key(self):
        """Guards against a public route that asks for a key."""
        public = {**route("public", "/public/", "idempotent", "desk"), "public": True}
        self.platform.publish(3, list(KEYS), ROUTES + [public])
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: gateway.call("/public/x", key=None)[0] == 200, TARGET_SECONDS)
            self.assertEqual(401, gateway.call("/again/x", key=None)[0])

    def test_refusals_say_not_run(self):
        """Guards against refusals without a result code, with a wrong outcome, or of requests that ran."""
        gateway, chats = self.gateways[0], "/v1/chat/completions"
        seen = [len(upstream.seen) for upstream in self.desks + [self.engine]]
        cases = [(gateway.call("/again/x", key=None), 401, "key-missing"),
                 (gateway.call("/again/x", key="mt_1_2"), 401, "key-unknown"),
                 (gateway.call(chats, key=KEYS[0], body=json.dumps({**CHAT, "model": "no-such"})), 404, "model-unknown"),
                 (gateway.call("/nowhere", key=KEYS[0]), 404, "route-unknown"),
                 (gateway.call(chats, key=KEYS[0], body="{"), 400, "bad-request")]
        for (status, _, headers), expected, code in cases:
            self.assertEqual((expected, code, "not-run"), (status, headers["Marigold-Code"], headers["Marigold-Outcome"]))
        self.assertEqual(seen, [len(upstream.seen) for upstream in self.desks + [self.engine]])


if __name__ == "__main__":
    unittest.main()
