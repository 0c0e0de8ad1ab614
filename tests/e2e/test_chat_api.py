"""Tests callers of the OpenAI chat API: they send only what that API knows."""

import http.client
import json
import os
import tempfile
import unittest

from gateway_process import Gateway, wait_for
from users_platform import HOST, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
ROUTES = [route("chat-api", "/v1/", "streaming", "llm", resumable=True)]
TEXT = "".join(f"token{n} " for n in range(1, 10))


def chat(model="m1", **fields):
    messages = [{"role": "system", "content": "Be brief."}, {"role": "user", "content": "Is pod 7 clean?"}]
    return {"model": model, "max_tokens": 20, "messages": messages, **fields}


class ChatApi(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1)]
        self.platform.publish(1, ["k1"], ROUTES)
        for engine in self.engines:
            self.platform.serve_upstream(engine)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)

    def tearDown(self):
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def call(self, body, key="k1", path="/v1/chat/completions", method="POST", host="h.example"):
        """Returns (status, body, headers); of a broken answer, what arrived of its body."""
        connection = http.client.HTTPConnection(HOST, self.gateway.port, timeout=6)
        headers = {"Host": host, "Content-Type": "application/json"}
        if key:
            headers["Authorization"] = "Bearer " + key
        text = body if isinstance(body, str) else json.dumps(body)
        connection.request(method, path, text, headers)
        answer = connection.getresponse()
        self.broken = False
        try:
            content = answer.read()
        except http.client.IncompleteRead as error:
            content = error.partial
            self.broken = True
        connection.close()
        return answer.status, content.decode(), answer.headers

    def seen(self):
        return [headers for engine in self.engines for headers in engine.seen]

    @staticmethod
    def events(text):
        """Returns the data of the events of a stream."""
        return [line[len("data: "):] for line in text.splitlines() if line.startswith("data: ")]

    def streamed_text(self, text):
        """Returns the text of a streamed chat, which must have its final event."""
        events = self.events(text)
        self.assertEqual("[DONE]", events[-1])
        return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1])

    def error(self, answer, status):
        self.assertEqual(status, answer[0])
        self.assertEqual("application/json", answer[2]["Content-Type"])
        error = json.loads(answer[1])["error"]
        self.assertEqual({"message", "type", "param", "code"}, set(error))
        return error

    def test_streamed_chat(self):
        """Guards against a chat that is lost because its caller sends none of the platform's headers."""
        status, text, headers = self.call(chat(stream=True))
        self.assertEqual(200, status)
        self.assertTrue(headers["Content-Type"].startswith("text/event-stream"))
        self.assertEqual(TEXT, self.streamed_text(text))
        [seen] = self.seen()
        self.assertEqual("m1", seen["x-model-name"])
        self.assertEqual("20", seen["x-token-usage"].split(",")[1])
        self.assertEqual(2, len(seen["x-prompt-prefix"].split(",")))
        self.assertEqual("team", seen["x-tenant-name"])
        self.assertNotIn("authorization", seen)

    def test_whole_chat(self):
        """Guards against a caller that wants one object and gets events, or only a part of the text."""
        status, text, headers = self.call(chat())
        self.assertEqual(200, status)
        self.assertEqual("application/json", headers["Content-Type"])
        answer = json.loads(text)
        self.assertEqual("chat.completion", answer["object"])
        self.assertEqual({"role": "assistant", "content": TEXT}, answer["choices"][0]["message"])
        self.assertEqual("stop", answer["choices"][0]["finish_reason"])

    def test_requests_without_ids_get_different_ones(self):
        """Guards against answers that are taken for those of other requests."""
        for _ in range(5):
            self.assertEqual(200, self.call(chat())[0])
        self.assertEqual(5, len({headers["x-request-id"] for headers in self.seen()}))

    def test_output_is_limited_to_what_the_team_is_charged(self):
        """Guards against an engine that produces more tokens than were counted."""
        body = chat()
        del body["max_tokens"]
        self.assertEqual(200, self.call(body)[0])
        [sent] = [sent for engine in self.engines for sent in engine.chats]
        self.assertEqual(self.seen()[0]["x-token-usage"].split(",")[1], str(sent["max_tokens"]))

    def test_adapter_is_loaded_for_a_chat_that_names_it(self):
        """Guards against an adapter that the API cannot name."""
        wait_for(lambda: any(e.order_log for e in self.engines), 12)  # the order owner loads the absent model m2
        self.assertEqual(200, self.call(chat("m1:a1"))[0])
        self.assertEqual("m1/a1", self.seen()[-1]["x-model-name"])

    def check_resumed(self, **fields):
        """Sends chats until one was resumed; returns their answers."""
        self.engines[0].break_after = 4
        texts = []
        while not any("last-event-id" in headers for headers in self.seen()):
            self.assertLess(len(texts), 20, "no chat was resumed")
            question = {"role": "user", "content": f"Is pod {len(texts)} clean?"}
            status, text, _ = self.call(chat(messages=[question], **fields))
            self.assertEqual(200, status)
            texts.append(text)
        return texts

    def test_broken_stream_is_resumed_without_a_gap_or_a_repeat(self):
        """Guards against streamed answers with events missing or twice after an engine broke off."""
        for text in self.check_resumed(stream=True):
            self.assertEqual(TEXT, self.streamed_text(text))

    def test_broken_whole_chat_is_resumed_without_a_gap_or_a_repeat(self):
        """Guards against whole answers that are joined of pieces missing or twice after an engine broke off."""
        for text in self.check_resumed():
            self.assertEqual(TEXT, json.loads(text)["choices"][0]["message"]["content"])

    def test_stream_without_its_final_event_ends_with_an_error(self):
        """Guards against an answer that broke off between two events and looks complete."""
        for engine in self.engines:
            engine.final_event = False
        status, text, _ = self.call(chat(stream=True))
        self.assertEqual(200, status)
        self.assertTrue(self.broken)
        self.assertEqual("upstream-failed", json.loads(self.events(text)[-1])["error"]["code"])

    def test_whole_chat_without_its_final_event_is_an_error(self):
        """Guards against a whole answer of a stream that broke off between two events."""
        for engine in self.engines:
            engine.final_event = False
        self.assertEqual("upstream-failed", self.error(self.call(chat()), 502)["code"])

    def test_chat_without_event_ids_is_not_joined_of_two_runs(self):
        """Guards against a whole answer with pieces of two runs: without ids nothing says where the second goes on."""
        for engine in self.engines:
            engine.event_ids = False
            engine.break_after = 4
        self.assertEqual("upstream-failed", self.error(self.call(chat()), 502)["code"])
        self.assertEqual(1, len(self.seen()))

    def test_errors_have_the_form_of_the_api(self):
        """Guards against refusals that clients of the API cannot read."""
        self.assertEqual("invalid_api_key", self.error(self.call(chat(), key=None), 401)["code"])
        self.assertEqual("invalid_api_key", self.error(self.call(chat(), key="k9"), 401)["code"])
        self.assertEqual("model_not_found", self.error(self.call(chat("m9")), 404)["code"])
        self.assertEqual("model_not_found", self.error(self.call(chat("m1:a9")), 404)["code"])
        self.assertEqual("model_not_found", self.error(self.call(chat("m1\r\nX-Tenant-Name: other")), 404)["code"])
        self.assertEqual("route-unknown", self.error(self.call(chat(), host="other.example"), 404)["code"])
        for wrong in ("", "{", chat(stream="yes"), chat(messages=[]), chat(max_tokens=0), {"model": "m1"}):
            self.assertEqual("invalid_request_error", self.error(self.call(wrong), 400)["type"])
        for path, method in (("/v1/chat/completions", "PUT"), ("/v1/models", "POST")):
            answer = self.call(chat(), path=path, method=method)
            self.assertEqual("invalid_request_error", self.error(answer, 400)["type"])
        self.assertEqual([], self.seen())

    def test_team_above_its_burst_is_told_when_to_come_back(self):
        """Guards against chats that are not counted, and against a refusal without a time."""
        status, text, headers = self.call(chat(max_tokens=1000, n=40))
        for _ in range(20):
            if status == 429:
                break
            status, text, headers = self.call(chat(max_tokens=1000, n=40))
        self.assertEqual("rate_limit_exceeded", self.error((status, text, headers), 429)["code"])
        self.assertEqual("not-run", headers["Marigold-Outcome"])
        self.assertGreater(float(headers["Retry-After"]), 0)

    def test_models_are_listed_under_the_names_that_requests_use(self):
        """Guards against a list that names models which requests cannot use, or that anyone may read."""
        status, text, _ = self.call("", path="/v1/models", method="GET")
        self.assertEqual(200, status)
        names = [model["id"] for model in json.loads(text)["data"]]
        self.assertEqual(["m1", "m1:a1", "m1:a2", "m2", "m2:a1", "m2:a2"], names)
        self.assertEqual("invalid_api_key", self.error(self.call("", None, "/v1/models", "GET"), 401)["code"])
        self.assertEqual([], self.seen())


if __name__ == "__main__":
    unittest.main()
