"""Tests that a gateway whose planned stop ends its notice leaves the fleet for good."""

import os
import signal
import socket
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import HOST, ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
NOTICE_SECONDS = 2.6  # from the signal until the VM leaves the fleet


class LeaveTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store = self.platform.store
        self.platform.serve_store(BASE_PORT + 90)
        self.desk = Upstream("desk0", BASE_PORT + 60, "desk")
        self.platform.publish(1, ["k1"], ROUTES)
        self.platform.serve_upstream(self.desk)
        self.gateway = Gateway(0, self.folder.name, BASE_PORT, BASE_PORT + 90)
        self.key = "marigold/vm/" + self.gateway.name
        wait_for(self.gateway.ready)
        wait_for(lambda: self.key in self.store.items)

    def tearDown(self):
        self.store.hold_grants = False
        self.gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def listens(self):
        try:
            socket.create_connection((HOST, self.gateway.port)).close()
            return True
        except OSError:
            return False

    def end_registration(self):
        self.store.end_lease(self.store.items[self.key]["lease_id"])

    def test_lease_granted_while_the_vm_leaves_does_not_register_it_again(self):
        """Guards against a VM that comes back into the fleet in its planned stop, until its lease
        ends: the answer to a call for a lease arrives after it has left."""
        self.desk.delay = 2.5  # keeps the process running past its leaving
        stopped = time.monotonic()
        self.gateway.child.send_signal(signal.SIGTERM)
        time.sleep(1.4)
        caller = self.gateway.open_call("/once/x", {"X-Deadline-Ms": "4000"})
        time.sleep(0.4)
        self.store.hold_grants = True
        self.platform.change(self.end_registration)
        wait_for(lambda: not self.listens(), 2)
        self.assertIsNone(self.gateway.child.poll())
        revision = self.store.revision
        self.store.hold_grants = False
        self.assertEqual(200, caller.getresponse().status)
        self.assertGreater(time.monotonic() - stopped, NOTICE_SECONDS + 0.5)
        self.assertEqual(0, self.gateway.child.wait(timeout=5))
        self.assertEqual([], [row for row in self.store.history if row["key"] == self.key
                              and row["revision"] > revision])
        self.assertEqual([], [term for _, term in self.store.leases.values() if term == 6000])

    def test_stop_lasts_until_the_registration_has_been_revoked(self):
        """Guards against a VM that stays in the fleet until its lease ends, because the end of the
        process resets the revocation on its way."""
        self.store.revocation_delay = 0.6
        self.gateway.child.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.gateway.child.wait(timeout=9))
        self.assertNotIn(self.key, list(self.store.items))

    def test_silent_store_delays_a_stop_by_the_timeout_of_a_call_only(self):
        """Guards against a stop that waits for a store without answers until the end of its grace."""
        stopped = time.monotonic()
        self.gateway.child.send_signal(signal.SIGTERM)
        time.sleep(2)
        self.store.unanswered_ports.add(BASE_PORT + 90)
        self.assertEqual(0, self.gateway.child.wait(timeout=9))
        self.assertLess(time.monotonic() - stopped, NOTICE_SECONDS + 2)


if __name__ == "__main__":
    unittest.main()
