"""Tests that many long bodies at once fit the memory of a small VM."""

import json
import os
import tempfile
import threading
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
BODY_BYTES = 4_000_000
REQUESTS = 30
SMALL_VM_BYTES = 260 * 10**6  # memory of a VM of the small sites


class LargeBodies(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.desk = Upstream("desk0", BASE_PORT + 60, "desk")
        self.desk.slots = REQUESTS
        self.desk.delay = 2.0  # all requests are open at once
        routes = [{**row, "timeout_ms": 20000, "target_latency_ms": 15000} for row in ROUTES]
        configuration = json.loads(Platform.configuration(1, ["k1"], routes))
        configuration["limits"]["max_body_bytes"] = 4_194_304
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


if __name__ == "__main__":
    unittest.main()
