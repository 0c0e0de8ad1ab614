"""Tests VMs that the store refuses while it serves the others, whose relays answer."""

import time
import unittest

from fleet_case import FleetCase
from gateway_process import wait_for

SECONDS = 5.0
MIN_PAUSE = 0.4  # seconds between calls to a store that goes on failing: half of kMaxBackoff of prefix_watch.cpp
BUSY = 503
OVER_RATE = 429


class RefusedVm(FleetCase):
    PLACES = ("dc-a", "dc-a", "dc-b")

    def reader(self):
        """Returns the number of the VM that reads the store for dc-a: it alone waits there at any time."""
        waits = [0, 0]
        for _ in range(20):
            for number in (0, 1):
                waits[number] += self.platform.store.open_watches.get(self.store_ports[number], 0)
            time.sleep(0.05)
        return 0 if waits[0] > waits[1] else 1

    def check_lists(self, status):
        """Counts the refused lists of a VM whose relay was away for a moment."""
        reader = self.reader()
        other = 1 - reader
        refused = []
        self.platform.store.refused_ports[self.store_ports[other]] = (status, refused)
        self.gateways[reader].stop()
        wait_for(lambda: "upstream records lost" in self.gateways[other].log())
        self.gateways[reader].start()
        wait_for(lambda: self.gateways[other].log().count("upstream records reached") > 1)
        begun = time.monotonic()
        time.sleep(SECONDS)
        lists = [prefix for at, path, prefix in refused if at > begun and path == "/-/kv-range"]
        print(f"refused with {status} in {SECONDS:.0f} s: {sum(at > begun for at, _, _ in refused)} calls, {len(lists)} lists")
        for prefix in ("servers/", "op/"):
            self.assertLessEqual(lists.count(prefix), SECONDS / MIN_PAUSE + 1, prefix)
        self.assertEqual(200, self.gateways[other].call("/again/x")[0])

    def test_vm_over_the_rate_backs_off_beside_a_relay(self):
        """Guards against a VM that asks the store again each time its relay answers."""
        self.check_lists(OVER_RATE)

    def test_vm_that_is_turned_away_backs_off_beside_a_relay(self):
        self.check_lists(BUSY)


if __name__ == "__main__":
    unittest.main()
