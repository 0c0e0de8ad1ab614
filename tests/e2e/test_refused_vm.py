"""Tests VMs that the store refuses while it serves the others, whose relays answer."""

import time
import unittest

from fleet_case import FleetCase
from gateway_process import wait_for

SECONDS = 5.0
MIN_PAUSE = 0.4  # seconds between calls to a store that goes on failing: half of kMaxBackoff of prefix_watch.cpp
BUSY = 503
OVER_RATE = 429
RESET = None
REGISTRATIONS = "marigold/"  # the only keys that a VM has another reason to list than an answer of its relay


class RefusedVm(FleetCase):
    PLACES = ("dc-a", "dc-a", "dc-a", "dc-b")

    def reader(self):
        """Returns the number of the VM that reads the store for dc-a: it waits there all the time."""
        waits = [0, 0, 0]
        for _ in range(20):
            for number in range(3):
                waits[number] += self.platform.store.open_watches.get(self.store_ports[number], 0)
            time.sleep(0.05)
        return waits.index(max(waits))

    def check_calls(self, status):
        """Counts the refused calls of the other VMs, the deputy of the reader and a plain one, whose relay was away for a moment."""
        reader = self.reader()
        others = [number for number in range(3) if number != reader]
        refused = {number: [] for number in others}
        for number in others:
            self.platform.store.refused_ports[self.store_ports[number]] = (status, refused[number])
        self.gateways[reader].stop()
        for number in others:
            wait_for(lambda: "upstream records lost" in self.gateways[number].log())
        self.gateways[reader].start()
        for number in others:
            wait_for(lambda: self.gateways[number].log().count("upstream records reached") > 1)
        begun = time.monotonic()
        time.sleep(SECONDS)
        for number in others:
            calls = [(path, prefix) for at, path, prefix in refused[number] if at > begun]
            watched = [prefix for path, prefix in calls if prefix]
            print(f"vm{number} refused with {status} in {SECONDS:.0f} s: {len(calls)} calls, of its watches: {watched}")
            for prefix in set(watched):
                self.assertLessEqual(watched.count(prefix), SECONDS / MIN_PAUSE + 1 if prefix == REGISTRATIONS else 1, prefix)
            self.assertEqual(200, self.gateways[number].call("/again/x")[0])

    def test_vm_over_the_rate_backs_off_beside_a_relay(self):
        """Guards against a VM that asks the store again each time its relay answers."""
        self.check_calls(OVER_RATE)

    def test_vm_that_is_turned_away_backs_off_beside_a_relay(self):
        self.check_calls(BUSY)

    def test_vm_that_is_reset_backs_off_beside_a_relay(self):
        self.check_calls(RESET)


class RefusedOwnership(FleetCase):
    OWNER_KEY = "marigold/order-owner"
    SOFTWARE_KEY = "marigold/software"
    MOST_RECORDS = 6  # in SECONDS: pauses of 0.5 s, then of at least 1 s
    RETURN = 2.5  # seconds in which an owner is there again: the longest pause (1.2 s), claims in turn, latency

    def test_refused_claims_back_off(self):
        """Guards against VMs that write their claim of the orders each 150 ms while the store refuses it."""
        store = self.platform.store
        wait_for(lambda: self.OWNER_KEY in store.items)
        self.platform.change(setattr, store, "refused_key", self.OWNER_KEY)
        self.platform.change(store.remove, self.OWNER_KEY)
        time.sleep(SECONDS)
        begun = time.monotonic() - SECONDS
        for port in self.store_ports:
            calls = sum(at > begun and at_port == port for at, at_port in list(store.refused_writes))
            print(f"port {port}: {calls} refused claims in {SECONDS:.0f} s")
            self.assertLessEqual(calls, SECONDS / MIN_PAUSE)
        self.assertTrue(store.refused_writes)
        self.platform.change(setattr, store, "refused_key", None)
        allowed = time.monotonic()
        wait_for(lambda: self.OWNER_KEY in store.items)
        self.assertLess(time.monotonic() - allowed, self.RETURN)

    def test_refused_records_of_software_back_off(self):
        """Guards against a VM that writes the record of software versions each 500 ms while the store refuses it."""
        store = self.platform.store
        wait_for(lambda: self.SOFTWARE_KEY in store.items)
        self.platform.change(setattr, store, "refused_key", self.SOFTWARE_KEY)
        self.platform.change(store.remove, self.SOFTWARE_KEY)
        wait_for(lambda: store.refused_writes)
        time.sleep(SECONDS)
        calls = len(store.refused_writes)
        print(f"{calls} refused records in {SECONDS:.0f} s")
        self.assertLessEqual(calls, self.MOST_RECORDS)
        self.platform.change(setattr, store, "refused_key", None)
        allowed = time.monotonic()
        wait_for(lambda: self.SOFTWARE_KEY in store.items)
        self.assertLess(time.monotonic() - allowed, self.RETURN)


if __name__ == "__main__":
    unittest.main()
