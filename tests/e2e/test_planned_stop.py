"""Tests that a planned stop of a VM interrupts no request, there and at the other VMs (P11)."""

import http.client
import itertools
import os
import signal
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
CHAT = {"X-Model-Name": "m1", "X-Token-Usage": "100,20"}
PLAIN_SECONDS = 1.5  # of a request to a plain service
EVENT_SECONDS = 0.25  # between the ten events of a stream
LOAD_SECONDS = 12  # beyond the grace period of the VM that stops


class PlannedStop(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(3)]
        for upstream in self.desks + self.engines:
            upstream.slots = 24
            self.platform.serve_upstream(upstream)
        self.gateways = []
        for number, data_centre in enumerate(("dc-a", "dc-a", "dc-b")):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         data_centre))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        self.numbers = itertools.count()

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def send(self, gateway, path):
        """Sends a request and returns "whole", or what is wrong with its answer."""
        request_id = f"{path.split('/')[1]}-{next(self.numbers)}"
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "3900"}
        if path == "/chat/x":
            headers.update({**CHAT, "X-Prompt-Prefix": f"{request_id[5:]}:50"})
        try:
            status, body, _ = gateway.call(path, headers=headers)
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        if status != 200:
            return status
        if path == "/chat/x":
            whole = [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")] == list(range(1, 11))
        else:
            whole = body.endswith(f" for {request_id}")
        return "whole" if whole else body

    def send_at_once(self, gateway, paths, ends):
        """Sends requests at the same time; returns their threads."""
        threads = [threading.Thread(target=lambda p=path: ends.append((p, self.send(gateway, p)))) for path in paths]
        for thread in threads:
            thread.start()
        return threads

    def test_open_requests_end_whole_and_new_ones_are_served_during_the_notice(self):
        """Guards against streams that are cut by a stop, and against resets of connections in
        the accept queue while the load balancer still sends new ones."""
        for desk in self.desks:
            desk.delay = PLAIN_SECONDS
        for engine in self.engines:
            engine.event_seconds = EVENT_SECONDS
        gateway, ends = self.gateways[0], []
        threads = self.send_at_once(gateway, ["/chat/x"] * 8 + ["/once/x"] * 8 + ["/again/x"] * 8, ends)
        time.sleep(0.4)
        gateway.child.send_signal(signal.SIGTERM)
        wait_for(lambda: not gateway.ready(), 1)
        threads += self.send_at_once(gateway, ["/chat/x"] * 4 + ["/once/x"] * 4 + ["/again/x"] * 4, ends)
        for thread in threads:
            thread.join()
        self.assertEqual(0, gateway.child.wait(timeout=9))
        self.assertEqual(36, len(ends))
        self.assertEqual([], [end for end in ends if end[1] != "whole"])
        once = [headers["x-request-id"] for desk in self.desks for headers in desk.seen
                if headers["x-request-id"].startswith("once-")]
        self.assertEqual(12, len(once))
        self.assertEqual(12, len(set(once)))

    def owner(self):
        return next((gateway for gateway in self.gateways if '"orders taken over"' in gateway.log()), None)

    def test_others_serve_without_a_gap(self):
        """Guards against failed or refused requests at other VMs when one stops as planned, here the one that owns
        the orders to engines."""
        wait_for(self.owner, 12)
        stopped = self.owner()
        others = [gateway for gateway in self.gateways if gateway is not stopped]
        until = time.monotonic() + LOAD_SECONDS
        failures, counts = [], [0, 0, 0]

        def load(index, path):
            while time.monotonic() < until:
                gateway = others[counts[index] % len(others)]
                if (end := self.send(gateway, path)) != "whole":
                    failures.append((gateway.name, path, end))
                counts[index] += 1

        threads = [threading.Thread(target=load, args=(index, path))
                   for index, path in enumerate(("/chat/x", "/once/x", "/again/x"))]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        stopped.child.send_signal(signal.SIGTERM)
        self.assertEqual(0, stopped.child.wait(timeout=9))
        self.assertLess(time.monotonic(), until - 1)
        for thread in threads:
            thread.join()
        self.assertEqual([], failures)
        self.assertGreater(min(counts), 20)


if __name__ == "__main__":
    unittest.main()
