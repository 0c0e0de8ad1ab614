"""Tests which VMs read the platform's store when many start, because calls are charged for."""

import os
import signal
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27900))
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
                                         data_centre))
        for gateway in self.gateways:
            wait_for(gateway.ready)
        wait_for(lambda: all(gateway.log().count("registered") for gateway in self.gateways))
        time.sleep(SETTLE_SECONDS)

    def reads(self, number):
        """Returns the paths of calls of a VM that are charged in full as reads."""
        return [path for path, query in self.store.calls_of.get(self.store_port(number), [])
                if path in ("/-/kv-range", "/-/kv-watch") and "stale_read" not in query]

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


if __name__ == "__main__":
    unittest.main()
