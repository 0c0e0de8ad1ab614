"""Sends each kind of request through six gateways on loopback and prints the answers."""

import http.client
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests", "e2e"))
from gateway_process import OPERATOR, Gateway, wait_for  # noqa: E402
from users_platform import HOST, Platform, Upstream, route  # noqa: E402

DATA_CENTRES = {"ernakulam-a": "ernakulam", "thrissur-a": "thrissur", "kozhikode-a": "kozhikode"}
VMS_PER_DATA_CENTRE = 2
BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", "21000"))
STORE_PORT, DESK_PORTS, ENGINE_PORTS = (BASE_PORT + offset for offset in (90, 70, 80))
ROUTES = [route("chat-api", "/v1/", "streaming", "llm", resumable=True),
          route("draft", "/draft/", "streaming", "llm", resumable=True),
          route("status", "/pods/", "idempotent", "desk"),
          {**route("open", "/open/", "idempotent", "desk"), "public": True},
          route("booking", "/bookings/", "non_idempotent", "desk", attempts=1)]
CHAT = {"model": "m1", "max_tokens": 20,
        "messages": [{"role": "user", "content": "Draft the checklist of pod 7."}]}
PROMPT = {"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}
CONFIG_LIMIT = 3  # seconds until a configuration is in force everywhere


class Demo:
    """The platform's stand-in, two engines and services a data centre, and the gateways."""

    def __init__(self, folder):
        self.platform = Platform()
        self.platform.serve_store(STORE_PORT)
        self.platform.publish(1, ["key-1", "key-2"], ROUTES)
        self.desks = []
        self.engines = []
        self.gateways = []
        self.failed = 0
        for number, name in enumerate(DATA_CENTRES):
            self.desks.append(Upstream(f"desk{number}", DESK_PORTS + number, "desk"))
            self.engines.append(Upstream(f"engine{number}", ENGINE_PORTS + number, "llm", ["m1"]))
            for upstream in (self.desks[-1], self.engines[-1]):
                upstream.data_centre = name
                self.platform.serve_upstream(upstream)
        for number in range(VMS_PER_DATA_CENTRE * len(DATA_CENTRES)):
            place = list(DATA_CENTRES)[number // VMS_PER_DATA_CENTRE]
            self.gateways.append(Gateway(number, folder, BASE_PORT + 10 * number, STORE_PORT, place, DATA_CENTRES))

    def wait_until_ready(self):
        for gateway in self.gateways:
            wait_for(gateway.ready, 20)

    def wait_until_models_are_loaded(self):
        """One gateway becomes the owner of orders and loads the model that no engine holds."""
        wait_for(lambda: any("m2" in engine.models for engine in self.engines), 20)

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()

    def check(self, title, held, shown):
        """Prints one line and counts a failure."""
        self.failed += not held
        print("%-40s %s  %s" % (title, "ok  " if held else "FAIL", shown))

    def request(self, title, vm, status, text, path, **arguments):
        """Sends a request; its answer must have the status and contain the text."""
        try:
            answer, body, _ = self.gateways[vm].call(path, **arguments)
        except (OSError, http.client.HTTPException) as error:
            answer, body = 0, repr(error)
        shown = " ".join(body.split())
        self.check(title, answer == status and text in body, "%d %s" % (answer, shown[:70]))

    def chat(self, title, vm, status, text, key="key-1", **fields):
        """Sends a request of the chat API, with what its clients send only."""
        self.request(title, vm, status, text, "/v1/chat/completions", key=key,
                     headers={"Content-Type": "application/json"}, body=json.dumps({**CHAT, **fields}))

    def show_requests(self):
        last = "token9 "
        self.chat("chat, whole", 0, 200, last)
        self.chat("chat, streamed", 2, 200, "[DONE]", stream=True)
        self.chat("chat, adapter that has to be loaded", 4, 200, last, model="m1:a1")
        self.chat("chat, unknown model", 1, 404, "model_not_found", model="m9")
        self.chat("chat, wrong key", 3, 401, "invalid_api_key", key="key-9")
        self.request("list of models", 5, 200, "m1:a1", "/v1/models", method="GET", key="key-1", body=b"")
        self.request("stream in the platform's protocol", 1, 200, "id: 10", "/draft/x", key="key-1", headers=PROMPT)
        self.request("status lookup", 4, 200, "done by desk", "/pods/7", key="key-1")
        self.request("open route without key", 0, 200, "done by desk", "/open/1", key=None)
        self.request("booking", 5, 200, "done by desk", "/bookings/7", key="key-1")

    def show_lost_answer(self):
        """A booking whose answer is lost may have run: it is not sent again, nor refused as not run."""
        for desk in self.desks:
            desk.seen.clear()
            desk.drop_requests = True
        self.request("booking whose answer is lost", 0, 502, "", "/bookings/8", key="key-1")
        runs = sum(len(desk.seen) for desk in self.desks)
        self.check("  ran once, not sent again", runs == 1, "%d runs" % runs)
        for desk in self.desks:
            desk.drop_requests = False

    def show_broken_engine(self):
        """A stream goes on at another engine when its own breaks off. Only one does: a new process may send
        one request in its first seconds again, which bounds repeats over the whole fleet."""
        self.engines[1].break_after = 4
        for vm in range(len(self.gateways)):
            self.chat("chat at %s, an engine breaks off" % self.gateways[vm].name, vm, 200, "[DONE]", stream=True)
        resumed = [headers for engine in self.engines for headers in engine.seen if "last-event-id" in headers]
        self.check("  went on at another engine", len(resumed) > 0, "%d chats" % len(resumed))
        self.engines[1].break_after = None

    def show_withdrawal(self):
        self.platform.publish(2, ["key-1"], ROUTES)
        published = time.monotonic()

        def refused_everywhere():
            return all(gateway.call("/pods/7", key="key-2")[0] == 401 for gateway in self.gateways)
        try:
            wait_for(refused_everywhere, CONFIG_LIMIT)
            self.check("withdrawn key", True, "refused by all VMs after %.2f s" % (time.monotonic() - published))
        except AssertionError:
            self.check("withdrawn key", False, "accepted by a VM after %d s" % CONFIG_LIMIT)

    def show_measures(self):
        for gateway in self.gateways:
            connection = http.client.HTTPConnection(HOST, gateway.port + OPERATOR, timeout=2)
            connection.request("GET", "/metrics")
            rows = [line for line in connection.getresponse().read().decode().splitlines()
                    if line.startswith("marigold_requests_total{")]
            served = sum(float(row.split()[-1]) for row in rows if 'outcome="ok"' in row)
            ended = sum(float(row.split()[-1]) for row in rows)
            print("%-40s %d of %d requests served, %.1f MB resident" % (
                "measures of " + gateway.name, served, ended, gateway.memory() / 1e6))


def main():
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(folder)
        try:
            demo.wait_until_ready()
            print("6 gateways in 3 data centres are ready after %.1f s" % (time.monotonic() - started))
            demo.wait_until_models_are_loaded()
            print("each model is held by an engine after %.1f s" % (time.monotonic() - started))
            demo.show_requests()
            demo.show_lost_answer()
            demo.show_broken_engine()
            demo.show_withdrawal()
            demo.show_measures()
        finally:
            demo.stop()
    print("demo: %s after %.1f s" % ("passed" if demo.failed == 0 else "%d checks failed" % demo.failed,
                                     time.monotonic() - started))
    return 1 if demo.failed else 0


if __name__ == "__main__":
    sys.exit(main())
