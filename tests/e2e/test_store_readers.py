"""Tests which VMs read the platform's store, because calls are charged for: few when many start, one data
centre for all others where the limits allow it, and others in its place when it fails."""

import os
import signal
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27900))
LIMIT_SECONDS = 4.0   # time for a change; long enough for data centres to follow another one
SETTLE_SECONDS = 3.0  # leases have been renewed, waits at the store have ended
READY_SECONDS = 3.0   # for a start in which nobody answers


class StoreReadersTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store = self.platform.store
        self.desk = Upstream("desk0", BASE_PORT + 60, "desk")
        self.platform.serve_upstream(self.desk)
        self.platform.publish(1, ["k1", "k2"], ROUTES)
        self.gateways = []

    def tearDown(self):
        for gateway in self.gateways:
            if gateway.child.poll() is None:
                gateway.child.send_signal(signal.SIGCONT)
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def store_port(self, number):
        return BASE_PORT + 90 + number

    def start(self, data_centres):
        """Starts a VM in each of the data centres, each with a port of its own at the store."""
        for number, data_centre in enumerate(data_centres):
            self.platform.serve_store(self.store_port(number))
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_port(number),
                                         data_centre, limit_ms=int(LIMIT_SECONDS * 1000)))
        for gateway in self.gateways:
            wait_for(gateway.ready)
        wait_for(lambda: all(gateway.log().count("registered") for gateway in self.gateways))
        time.sleep(SETTLE_SECONDS)

    def reads(self, number):
        """Returns the paths of calls of a VM that are charged in full as reads."""
        return [path for path, query in self.store.calls_of.get(self.store_port(number), [])
                if path in ("/-/kv-range", "/-/kv-watch") and "stale_read" not in query]

    def waits(self, number):
        return self.store.open_watches.get(self.store_port(number), 0)

    def seconds_accepted(self, number, key="k1"):
        """Withdraws the key; returns how long after that the VM accepted it last."""
        self.platform.publish(3, ["k2"], ROUTES)
        changed = time.monotonic()
        accepted = 0.0
        while time.monotonic() < changed + 2 * LIMIT_SECONDS:
            sent = time.monotonic()
            if self.gateways[number].call("/again/x", key=key)[0] == 200:
                accepted = sent - changed
            time.sleep(0.02)
        return accepted

    def test_restarted_vm_reads_its_keys_at_peers(self):
        """Guards against a rolling restart in which each process reads the whole store."""
        self.start(["dc-a", "dc-a", "dc-a"])
        self.gateways[2].stop()
        self.store.calls_of.clear()
        self.gateways[2].start()
        wait_for(self.gateways[2].ready)
        time.sleep(1)
        self.assertEqual([], self.reads(2))
        self.assertEqual(200, self.gateways[2].call("/again/x")[0])

    def test_all_vms_restarted_at_once(self):
        """Guards against a power cut after which all VMs read the whole store, or none does."""
        self.start(["dc-a", "dc-a", "dc-a", "dc-a"])
        for gateway in self.gateways:
            gateway.stop()
        self.store.calls_of.clear()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_for(gateway.ready, READY_SECONDS)
        for number in (2, 3):
            self.assertEqual([], self.reads(number), number)

    def test_start_among_registrations_of_lost_vms(self):
        """Guards against a start that waits for VMs which are registered and gone."""
        self.start(["dc-a", "dc-a", "dc-a"])
        for gateway in self.gateways:
            gateway.stop()
        self.gateways[2].start()
        wait_for(self.gateways[2].ready, READY_SECONDS)

    def test_one_data_centre_reads_for_all(self):
        """Guards against a reader of the store in each data centre where the limits allow fewer."""
        self.start(["dc-a", "dc-b", "dc-b"])
        wait_for(lambda: self.waits(1) == 0 and self.waits(2) == 0)
        self.assertEqual(3, self.waits(0))
        self.assertLess(self.seconds_accepted(2), 0.5)

    def assert_in_time_without_lead(self):
        self.assertLess(self.seconds_accepted(1), LIMIT_SECONDS)
        self.assertEqual(200, self.gateways[1].call("/again/x", key="k2")[0])

    def test_lead_that_is_frozen(self):
        """Guards against a data centre that waits for a VM that reads the store for it and has stopped."""
        self.start(["dc-a", "dc-b"])
        wait_for(lambda: self.waits(1) == 0)
        self.gateways[0].child.send_signal(signal.SIGSTOP)
        self.assert_in_time_without_lead()

    def test_lead_that_is_killed(self):
        """Guards against a data centre that keeps to a VM that is gone."""
        self.start(["dc-a", "dc-b"])
        wait_for(lambda: self.waits(1) == 0)
        self.gateways[0].stop()
        self.assert_in_time_without_lead()

    def test_lead_that_the_store_does_not_answer(self):
        """Guards against a store that refuses the one VM that reads it for all."""
        self.start(["dc-a", "dc-b"])
        wait_for(lambda: self.waits(1) == 0)
        self.platform.change(self.store.unanswered_ports.add, self.store_port(0))
        self.assert_in_time_without_lead()


if __name__ == "__main__":
    unittest.main()
