"""Tests the messages of a relay to the VMs of its data centre."""

import json
import os
import socket
import struct
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import HOST, ROUTES, Platform

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27600))
MEMBERS = 12
UPSTREAMS = 250
LINK_MBPS = 1
PERIOD = 0.1 * MEMBERS / 8  # seconds between two statuses of a VM
MISSED = 5      # periods without a word after which the first VM takes a relay for failed
SUMMARY = 2000  # bytes; the statuses of the relay are smaller
SECONDS = 4


def pack(value):
    """Returns the MessagePack encoding of a value."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        return b"\xda" + struct.pack(">H", len(value)) + value.encode()
    if isinstance(value, dict):
        return b"\xde" + struct.pack(">H", len(value)) + b"".join(pack(k) + pack(v) for k, v in value.items())
    return b"\xdc" + struct.pack(">H", len(value)) + b"".join(map(pack, value))


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.platform.serve_store(BASE_PORT + 90)
        self.sockets, self.threads, self.arrivals = [], [], []
        self.running = self.reporting = True
        for number in range(MEMBERS):
            port = BASE_PORT + 40 + number
            member = {"peer_address": f"{HOST}:{port}", "operator": f"{HOST}:{BASE_PORT + 95}",
                      "data_centre": "dc-a", "capacity": 0.01, "incarnation": number}
            self.platform.change(self.platform.store.put, f"marigold/vm/member{number}", json.dumps(member).encode())
            self.sockets.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            self.sockets[-1].bind((HOST, port))
            self.sockets[-1].settimeout(0.2)
            self.begin(self.receive, number)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90, link_mbps=LINK_MBPS)
        self.begin(self.report)

    def begin(self, action, *arguments):
        self.threads.append(threading.Thread(target=action, args=arguments, daemon=True))
        self.threads[-1].start()

    def tearDown(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        self.gateway.stop()
        self.platform.close()
        for one in self.sockets:
            one.close()
        self.folder.cleanup()

    def receive(self, number):
        while self.running:
            try:
                size = len(self.sockets[number].recv(65536))
                self.arrivals.append((time.monotonic(), number, size))
            except TimeoutError:
                pass

    def report(self):
        """Sends the statuses of a busy member to the relay."""
        sequence = 0
        loads = {f"upstream-{n:010}": [1, 20, 0, 2000] for n in range(UPSTREAMS)}
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            while self.running:
                sequence += 1
                body = ["member0", "dc-a", 1, sequence, 1, False, {}, {}, [], loads, {}, [], {}]
                if self.reporting:
                    sender.sendto(pack([5, 0, body]), (HOST, self.gateway.port + 2))
                time.sleep(PERIOD)

    def test_summaries_of_a_relay_leave_room_on_its_link(self):
        """Guards against requests that reach their upstream seconds after their callers have left, behind summaries."""
        wait_for(lambda: any(size > SUMMARY for _, _, size in list(self.arrivals)))
        time.sleep(1)
        start = time.monotonic()
        time.sleep(SECONDS)
        seen = [one for one in list(self.arrivals) if one[0] >= start]
        rate = sum(size for _, _, size in seen) / SECONDS
        self.assertLess(rate, LINK_MBPS * 1e6 / 8 * 0.7)
        for number in range(MEMBERS):
            times = [start] + [at for at, to, _ in seen if to == number] + [start + SECONDS]
            pauses = [after - before for before, after in zip(times, times[1:])]
            self.assertLess(max(pauses), MISSED * PERIOD, f"member {number} takes the relay for failed")
            self.assertGreaterEqual(sum(to == number and size > SUMMARY for _, to, size in seen), 2)

    def arrivals_at(self, number, start):
        return sum(to == number and at >= start for at, to, _ in list(self.arrivals))

    def test_member_whose_registration_has_lapsed_still_hears_the_relay(self):
        """Guards against VMs that are cut off from the store and act as relays, with summaries of themselves only."""
        wait_for(lambda: any(size > SUMMARY for _, _, size in list(self.arrivals)))
        for member in ("member0", "member1"):
            self.platform.change(self.platform.store.remove, f"marigold/vm/{member}")
        wait_for(lambda: self.gateway.log().count("vm left the fleet") == 2)
        lapsed = time.monotonic()
        time.sleep(2)
        self.assertGreater(self.arrivals_at(0, lapsed + 1), 0)
        self.assertEqual(self.arrivals_at(1, lapsed + 1), 0, "member1 never reported")
        self.reporting = False
        time.sleep(2)
        silent = time.monotonic()
        time.sleep(1)
        self.assertEqual(self.arrivals_at(0, silent), 0, "member0 has gone")


if __name__ == "__main__":
    unittest.main()
