"""Tests that many long bodies at once fit the memory of a small VM."""

import json
import os
import tempfile
import socket
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import HOST, ROUTES, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
BODY_BYTES = 4_000_000
REQUESTS = 30
SMALL_VM_BYTES = 260 * 10**6  # memory of a VM of the small sites
SMALLEST_VM_BYTES = 160 * 10**6


class LargeBodies(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.desk = Upstream("desk0", BASE_PORT + 60, "desk")
        self.desk.slots = REQUESTS
        self.desk.delay = 2.0  # all requests are open at once
        chat = route("chat-api", "/v1/", "streaming", "llm")
        routes = [{**row, "timeout_ms": 20000, "target_latency_ms": 15000} for row in ROUTES + [chat]]
        configuration = json.loads(Platform.configuration(1, ["k1"], routes))
        configuration["limits"]["max_body_bytes"] = 4_194_304
        for service in configuration["services"]:
            service["max_connections"] = 500
        self.platform.change(self.platform.store.put, "op/config", json.dumps(configuration).encode())
        self.platform.serve_upstream(self.desk)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        wait_for(self.gateway.ready)

    def tearDown(self):
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def test_long_bodies_at_once_fit_the_memory_of_a_small_vm(self):
        """Guards against a process that takes all memory of its VM, because each body is held in several
        copies, and ends with all its requests."""
        body = bytes(BODY_BYTES)
        statuses = []

        def call():
            statuses.append(self.gateway.call("/once/x", headers={"X-Deadline-Ms": "18000"}, body=body, timeout=20)[0])

        callers = [threading.Thread(target=call) for _ in range(REQUESTS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        peak = self.gateway.memory("VmHWM")
        self.assertEqual([200] * REQUESTS, statuses)
        self.assertLess(peak, SMALL_VM_BYTES)

    def ask_then_send(self, deadline_ms):
        """Sends a long body once the gateway has asked for it; returns status, headers and when they came."""
        with socket.create_connection((HOST, self.gateway.port), timeout=20) as caller:
            caller.sendall(f"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                           f"X-Request-Id: {os.urandom(8).hex()}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                           f"Expect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode())
            began = time.monotonic()
            answer = caller.recv(65536)
            if answer.startswith(b"HTTP/1.1 100"):
                caller.sendall(bytes(BODY_BYTES))
                answer = answer.partition(b"\r\n\r\n")[2]
            while b"\r\n\r\n" not in answer:
                answer += caller.recv(65536)
            return int(answer.split()[1]), answer.decode(), time.monotonic() - began

    def call_at_once(self, count, deadline_ms):
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(self.ask_then_send(deadline_ms)))
                   for _ in range(count)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return answers

    def test_bodies_beyond_the_memory_are_refused_at_once(self):
        """Guards against bodies that together take more than the memory of the VM, so that the process ends with
        all its requests."""
        self.desk.slots = 80
        self.platform.change(self.platform.store.put, "servers/desk0", self.desk.record())
        time.sleep(0.5)
        answers = self.call_at_once(80, 18000)
        self.assertLess(self.gateway.memory("VmHWM"), SMALL_VM_BYTES)
        refused = [(answer, seconds) for status, answer, seconds in answers if status == 503]
        self.assertEqual(80, len(answers))
        self.assertEqual(len(answers) - len(refused), sum(status == 200 for status, *_ in answers))
        self.assertEqual(len(answers) - len(refused), len(self.desk.seen))
        self.assertGreaterEqual(len(self.desk.seen), REQUESTS)
        for answer, seconds in refused:
            self.assertIn("Retry-After:", answer)
            self.assertIn("Marigold-Outcome: not-run", answer)
            self.assertLess(seconds, 1)

    def test_bodies_that_no_upstream_reads_fit_the_memory(self):
        """Guards against a second copy of each body for an upstream that does not read."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((HOST, BASE_PORT + 80))
            listener.listen(100)
            self.desk.public_port = BASE_PORT + 80
            self.desk.slots = 80
            self.platform.change(self.platform.store.put, "servers/desk0", self.desk.record())
            time.sleep(0.5)
            answers = self.call_at_once(80, 3000)
            self.assertLess(self.gateway.memory("VmHWM"), SMALL_VM_BYTES)
            self.assertEqual(80, len(answers))
            self.assertLessEqual({status for status, *_ in answers}, {502, 503, 504})

    def test_answers_that_no_caller_reads_fit_the_memory(self):
        """Guards against unsent answers of many callers that together take the memory of the VM."""
        self.gateway.stop()
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90, memory=SMALLEST_VM_BYTES)
        wait_for(self.gateway.ready)
        self.desk.slots = 500
        self.desk.delay = 0
        self.desk.endless_limit = 4 << 30
        self.desk.endless = ("HTTP/1.1 200 OK\r\nSIGNATURE\r\n\r\n", b"x" * 65536, 0)
        self.platform.change(self.platform.store.put, "servers/desk0", self.desk.record())
        time.sleep(0.5)
        callers = [self.gateway.open_call("/once/x", {"X-Deadline-Ms": "6000"}) for _ in range(400)]
        until = time.monotonic() + 4
        while time.monotonic() < until:
            self.assertIsNone(self.gateway.child.poll())
            time.sleep(0.1)
        peak = self.gateway.memory("VmHWM")
        for caller in callers:
            caller.close()
        self.assertLess(peak, SMALLEST_VM_BYTES)

    def chat(self, content):
        body = b'{"model":"m1","max_tokens":1,"messages":[{"role":"user","content":' + content + b"}]}"
        return self.gateway.call("/v1/chat/completions", headers={"X-Deadline-Ms": "6000"}, body=body, timeout=10)[0]

    def test_chat_bodies_of_many_elements_fit_the_memory(self):
        """Guards against the tree of a chat body, which takes many times the bytes of the body and was not counted."""
        self.gateway.stop()
        engine = Upstream("engine0", BASE_PORT + 61, "llm", ["m1"])
        self.platform.serve_upstream(engine)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90, memory=SMALLEST_VM_BYTES)
        wait_for(self.gateway.ready)
        for element in (b"{},", b"[],", b'{"":0},', b"0,"):
            with self.subTest(element):
                status = self.chat(b"[" + element * (BODY_BYTES // len(element)) + b"0]")
                self.assertIn(status, (200, 400, 429, 503))
                self.assertLess(self.gateway.memory("VmHWM"), SMALLEST_VM_BYTES)
        self.assertEqual(200, self.chat(b'"word"'))
        self.assertEqual(200, self.chat(b"[" + b'{"type":"text","text":"word"},' * 10000 + b'{"type":"text"}]'))
        self.assertLess(self.gateway.memory("VmHWM"), SMALLEST_VM_BYTES)


if __name__ == "__main__":
    unittest.main()
