"""Tests of the connections of peers to a VM that passes their requests on to upstreams."""

import os
import signal
import socket
import struct
import tempfile
import time
import unittest

from gateway_process import PEERS, Gateway, wait_for
from test_caller_connections import EVENTS, PAUSE_S, SMALL_WINDOW, LongAnswers, read_answer
from users_platform import HOST, ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
SMALL_SEGMENT = 536   # bytes; the kernel of the sender holds little for a peer that announces it
LONG_EVENT = 700      # bytes; the answer exceeds what that kernel holds and not what the process may
DEADLINE_MS = 10000   # beyond the grace period
SHORT_DEADLINE_MS = 300
STOP_SECONDS = 9      # beyond the grace period
LAPSE_SECONDS = 0.6   # until a VM knows which registrations are gone
SILENCE_SECONDS = 2.0  # after which a VM that doesn't report any more is none of the fleet
UNANSWERED = "request left without a response"


def join_chunks(answer):
    """Returns the body of an answer in chunks, and whether it is complete."""
    rest, body = answer.partition(b"\r\n\r\n")[2], b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if size == b"0":
            return body, True
        body, rest = body + rest[:int(size, 16)], rest[int(size, 16) + 2:]
    return body, False


class CarrierConnections(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.engine = LongAnswers("engine", BASE_PORT + 71, "llm", ["m1"])
        self.desk = Upstream("desk", BASE_PORT + 61, "desk")
        self.gateways = []
        for upstream in (self.engine, self.desk):
            self.platform.serve_upstream(upstream)
        for number in range(2):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        self.carrier = self.gateways[0]

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def carry(self, upstream, request_id, deadline_ms=DEADLINE_MS, small=False):
        """Asks the VM to pass a request on, as a peer does. Returns the connection."""
        connection = socket.socket()
        self.addCleanup(connection.close)
        if small:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT)
        connection.connect((HOST, self.carrier.port + PEERS))
        model = "X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\n" if upstream is self.engine else ""
        path = "/chat/x" if upstream is self.engine else "/once/x"
        connection.sendall((f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                            f"X-Deadline-Ms: {deadline_ms}\r\n{model}Marigold-Carry-To: {upstream.name}\r\n"
                            f"Marigold-Carry-Process: {upstream.born}\r\nContent-Length: 1\r\n\r\nx").encode())
        return connection

    def test_planned_stop_waits_until_a_peer_has_its_whole_answer(self):
        """Guards against a complete answer that is cut at the end of a planned stop, because the VM waits for the
        connections of callers only."""
        self.engine.event_bytes = LONG_EVENT
        connection = self.carry(self.engine, "paused", small=True)
        wait_for(lambda: self.engine.finished == 1, 3)
        begun = time.monotonic()
        self.carrier.child.send_signal(signal.SIGTERM)
        time.sleep(PAUSE_S)
        body, whole = join_chunks(read_answer(connection, 3))
        self.assertEqual(EVENTS, body.count(b"id: "))
        self.assertTrue(whole)
        self.assertEqual(0, self.carrier.child.wait(timeout=STOP_SECONDS - (time.monotonic() - begun)))

    def test_vm_whose_registration_has_lapsed_is_carried(self):
        """Guards against a VM that can reach neither the upstreams nor the store, and that its peers take for none of
        theirs once the store has dropped its registration."""
        lapsed = self.gateways[1]
        self.platform.store.severed_ports.add(BASE_PORT + 91)
        self.platform.change(self.platform.store.remove, "marigold/vm/" + lapsed.name)
        time.sleep(LAPSE_SECONDS)
        self.assertIn(b"HTTP/1.1 200", read_answer(self.carry(self.desk, "lapsed"), 3))
        lapsed.child.kill()
        time.sleep(SILENCE_SECONDS)
        self.assertIn(b"\r\nMarigold-Carry-Declined: not-asked\r\n", read_answer(self.carry(self.desk, "gone"), 3))

    def test_peer_that_resets_its_stream_is_logged(self):
        """Guards against connections of peers whose end leaves no trace."""
        self.engine.pauses_at = 3
        connection = self.carry(self.engine, "reset")
        self.assertIn(b"200 OK", connection.recv(1024))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        wait_for(lambda: self.carrier.log_rows("peer left before it had its whole response"), 3)
        row = self.carrier.log_rows("peer left before it had its whole response")[0]
        self.assertEqual(("reset", "reset by the caller"), (row["id"], row["reason"]))

    def test_request_that_the_carrier_leaves_unanswered_is_logged(self):
        """Guards against a request of a peer without an answer in time that leaves no trace, and against an answer
        to it that blames the upstream."""
        self.desk.delay = 4
        answer = read_answer(self.carry(self.desk, "overdue", SHORT_DEADLINE_MS), 3)
        self.assertIn(b"HTTP/1.1 503", answer)
        self.assertIn(b"\r\nMarigold-Carry-Declined: unanswered\r\n", answer)
        self.assertEqual([("overdue", "peer", "overdue")],
                         [(row["id"], row["sender"], row["reason"]) for row in self.carrier.log_rows(UNANSWERED)])

    def test_request_that_a_planned_stop_ends_is_not_left_unanswered(self):
        """Guards against a warning of an unanswered request that each planned stop beside slow upstreams causes."""
        self.desk.delay = STOP_SECONDS
        connection = self.carry(self.desk, "stopped")
        wait_for(lambda: self.desk.seen, 3)
        self.carrier.child.send_signal(signal.SIGTERM)
        answer = read_answer(connection, STOP_SECONDS)
        self.assertIn(b"\r\nMarigold-Carry-Declined: broken\r\n", answer)
        self.assertEqual([], self.carrier.log_rows(UNANSWERED))
        self.assertEqual(0, self.carrier.child.wait(timeout=STOP_SECONDS))


if __name__ == "__main__":
    unittest.main()
