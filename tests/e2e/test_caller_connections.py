"""Tests of callers' connections around a suspension of the gateway and pauses of callers."""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import HOST, ROUTES, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
STORE, DESK, ENGINE = 90, 80, 81  # port offsets
CALLERS = 4
DEADLINE_MS = 4000  # time-out of the routes
HEADER_TIMEOUT_S = 1.0  # of the platform's configuration
IDLE_TIMEOUT_S = 5.0  # likewise
SUSPENDED_S = 2.0
PAUSE_S = 3.5  # within the deadline and the idle timeout
EVENTS, EVENT_BYTES = 400, 240
SMALL_WINDOW = 4096


def read_answer(connection, limit):
    """Returns the bytes up to the end of a chunked or known answer, a close, a reset or the limit in seconds."""
    data = b""
    until = time.monotonic() + limit
    try:
        while time.monotonic() < until:
            connection.settimeout(max(0.01, until - time.monotonic()))
            part = connection.recv(65536)
            if not part:
                break
            data += part
            head, found, body = data.partition(b"\r\n\r\n")
            if found and (body.endswith(b"0\r\n\r\n") or f"Content-Length: {len(body)}\r".encode() in head + b"\r"):
                break
    except OSError:
        pass
    return data


class LongAnswers(Upstream):
    """Streams answers that exceed the buffers of a caller that doesn't read."""

    finished = 0
    pauses_at = None  # number of an event
    event_bytes = EVENT_BYTES

    async def stream(self, headers, signature, writer, events):
        head = {**signature, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode())
        for number in range(1, EVENTS + 1):
            if number == self.pauses_at:
                await asyncio.sleep(DEADLINE_MS / 1000)
            event = f"id: {number}\ndata: ".encode()
            event += b"t" * (self.event_bytes - len(event) - 2) + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.finished += 1
        return True


class CallerConnections(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)])
        self.engine = LongAnswers("engine", BASE_PORT + ENGINE, "llm", ["m1"])
        self.desk = Upstream("desk", BASE_PORT + DESK, "desk")
        self.platform.serve_upstream(self.desk)
        self.platform.serve_upstream(self.engine)
        self.platform.serve_store(BASE_PORT + STORE)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + STORE)
        wait_for(self.gateway.ready)

    def tearDown(self):
        if self.gateway.child.poll() is None:
            self.gateway.child.send_signal(signal.SIGCONT)
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def connect(self, window=None):
        connection = socket.socket()
        self.addCleanup(connection.close)
        if window:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        connection.connect((HOST, self.gateway.port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    @staticmethod
    def request(path, extra="", request_id=None):
        return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id or os.urandom(8).hex()}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer k1\r\n{extra}"
                "Content-Length: 1\r\n\r\nx").encode()

    def in_parallel(self, run):
        """Runs a function with each number of a caller; returns the results."""
        results = [None] * CALLERS

        def call(number):
            results[number] = run(number)
        threads = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def test_request_on_a_kept_connection_is_answered_after_a_suspension(self):
        """Guards against a request that is never answered, because the gateway was suspended while its head arrived
        on a connection that had already had an answer."""
        connections = [self.connect() for _ in range(CALLERS)]
        for connection in connections:
            connection.sendall(self.request("/again/x"))
            self.assertIn(b"200 OK", read_answer(connection, 3))
        requests = [self.request("/again/x") for _ in connections]
        for connection, data in zip(connections, requests):
            connection.sendall(data[:40])
        time.sleep(0.1)
        self.gateway.child.send_signal(signal.SIGSTOP)
        for connection, data in zip(connections, requests):
            connection.sendall(data[40:])
        time.sleep(HEADER_TIMEOUT_S + SUSPENDED_S)
        self.gateway.child.send_signal(signal.SIGCONT)
        answers = self.in_parallel(lambda number: read_answer(connections[number], 3))
        for answer in answers:
            self.assertIn(b"HTTP/1.1 200", answer)

    def test_incomplete_request_on_a_kept_connection_is_refused(self):
        """Guards against a kept connection that stays open without an answer after the timeout of a head."""
        connection = self.connect()
        connection.sendall(self.request("/again/x"))
        self.assertIn(b"200 OK", read_answer(connection, 3))
        connection.sendall(self.request("/again/x")[:40])
        self.assertIn(b"HTTP/1.1 408", read_answer(connection, HEADER_TIMEOUT_S + 2))

    def test_request_that_crosses_the_idle_close_is_refused_and_counted(self):
        """Guards against refusals of requests that crossed a close which nobody sees in the metrics."""
        connection = self.connect()
        connection.sendall(self.request("/again/x"))
        self.assertIn(b"200 OK", read_answer(connection, 3))
        self.assertIn(b"HTTP/1.1 408", read_answer(connection, IDLE_TIMEOUT_S + 2))
        connection.sendall(self.request("/again/x"))
        wait_for(lambda: "request crossed the close of its idle connection" in self.gateway.log(), 3)
        self.assertEqual(1, self.gateway.metric("marigold_crossing_requests_refused_total"))

    def test_request_that_comes_with_a_half_close_is_refused(self):
        """Guards against a request that is read whole and gets neither an answer nor a refusal, because its caller has
        closed its sending side and is taken for one that has left."""
        connection = self.connect()
        self.gateway.child.send_signal(signal.SIGSTOP)
        connection.sendall(self.request("/again/x"))
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.1)
        self.gateway.child.send_signal(signal.SIGCONT)
        answer = read_answer(connection, 3)
        self.assertIn(b"HTTP/1.1 503", answer)
        self.assertIn(b"Marigold-Outcome: not-run", answer)

    def test_request_that_may_have_run_is_answered_as_unknown_behind_a_half_close(self):
        """Guards against a connection that ends without any answer when a caller closes its sending side while its
        request is at an upstream."""
        self.engine.pauses_at = 1
        self.desk.delay = 2
        for path, extra in (("/once/x", ""), ("/chat/x", "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n")):
            connection = self.connect()
            connection.sendall(self.request(path, extra))
            time.sleep(0.3)
            connection.shutdown(socket.SHUT_WR)
            answer = read_answer(connection, 3)
            self.assertIn(b"HTTP/1.1 504", answer, path)
            self.assertIn(b"Marigold-Outcome: unknown", answer, path)
        self.assertNotIn("request left without a response", self.gateway.log())

    def request_row(self, request_id):
        """Returns the fields of the log line of the end of a request, None if there is none."""
        return next((row for row in self.gateway.log_rows("request") if row.get("id") == request_id), None)

    def test_request_that_goes_on_without_its_caller_and_is_refused_ends_as_left(self):
        """Guards against a request that may run once, whose caller leaves and whose upstream refuses it then, logged
        as one that has found no upstream."""
        self.desk.delay, self.desk.refuse = 0.8, True
        connection = self.connect()
        connection.sendall(self.request("/once/x", request_id="refused"))
        wait_for(lambda: self.desk.seen, 2)
        connection.close()
        wait_for(lambda: self.request_row("refused"), 3)
        self.assertEqual("caller-left", self.request_row("refused")["outcome"])
        self.assertEqual(1, len(self.desk.seen))

    def test_request_line_tells_what_a_half_closed_caller_got(self):
        """Guards against a request that may have run and whose caller has closed its sending side, logged with
        another status than its caller got, or without an id."""
        self.engine.pauses_at = 1
        self.desk.delay = 1
        model = "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n"
        for data in (self.request("/once/x", request_id="once"), self.request("/chat/x", model, "chat"), self.chat()):
            connection = self.connect()
            connection.sendall(data)
            time.sleep(0.3)
            connection.shutdown(socket.SHUT_WR)
            answer = read_answer(connection, 3)
            self.assertIn(b"HTTP/1.1 504", answer, data)
            request_id = re.search(rb"\r\nX-Request-Id: (\w+)\r\n", answer)
            self.assertIsNotNone(request_id, answer)
            request_id = request_id[1].decode()
            wait_for(lambda known=request_id: self.request_row(known), 3)
            row = self.request_row(request_id)
            self.assertEqual(("caller-left", "504"), (row["outcome"], row["status"]), row)

    def test_chat_without_an_id_is_named_when_its_connection_ends(self):
        """Guards against the end of a connection that can't be told from the ends of others."""
        self.engine.pauses_at = 3
        connection = self.connect()
        connection.sendall(self.chat())
        self.assertIn(b"200 OK", connection.recv(1024))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        wait_for(lambda: "caller left before it had its whole response" in self.gateway.log(), 3)
        row = self.gateway.log_rows("caller left before it had its whole response")[0]
        self.assertRegex(row.get("id", ""), r"^\w+$")
        self.assertIsNotNone(self.request_row(row["id"]))

    @staticmethod
    def chat():
        """Returns a streamed chat without an id of its own."""
        body = json.dumps({"model": "m1", "max_tokens": 20, "stream": True,
                           "messages": [{"role": "user", "content": "Is the pod clean?"}]}).encode()
        return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Authorization: Bearer k1\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body

    def test_pausing_callers_get_their_whole_answers_in_a_planned_stop(self):
        """Guards against answers that are reset because their callers stop reading for a few seconds."""
        connections = [self.connect(SMALL_WINDOW) for _ in range(CALLERS)]
        for connection in connections:
            connection.sendall(self.request("/chat/x", "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n"))
        wait_for(lambda: self.engine.finished == CALLERS, 3)
        self.gateway.child.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        for answer in self.in_parallel(lambda number: read_answer(connections[number], 5)):
            self.assertEqual(answer.count(b"id: "), EVENTS)
            self.assertTrue(answer.endswith(b"0\r\n\r\n"))

    def test_caller_that_leaves_during_its_answer_is_told_from_a_lost_answer(self):
        """Guards against a warning of a lost answer that callers cause by leaving."""
        connection = self.connect(SMALL_WINDOW)
        connection.sendall(self.request("/chat/x", "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n"))
        wait_for(lambda: self.engine.finished == 1, 3)
        time.sleep(0.3)
        connection.shutdown(socket.SHUT_WR)
        wait_for(lambda: "caller left before it had its whole response" in self.gateway.log(), 3)
        self.assertNotIn("caller may not have its whole response", self.gateway.log())

    def test_caller_that_resets_its_stream_is_told_from_a_request_without_a_response(self):
        """Guards against a warning of an unanswered request that callers cause by a reset inside their streams."""
        self.engine.pauses_at = 3
        connection = self.connect()
        connection.sendall(self.request("/chat/x", "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n"))
        self.assertIn(b"200 OK", connection.recv(1024))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        wait_for(lambda: "caller left before it had its whole response" in self.gateway.log(), 3)
        self.assertIn('"reset by the caller"', self.gateway.log())
        self.assertNotIn("caller connection ended without a response", self.gateway.log())


if __name__ == "__main__":
    unittest.main()
