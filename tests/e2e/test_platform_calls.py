"""Tests that calls to the store stay below a tenth of its rate limits."""

import time
import unittest

from fleet_case import FleetCase
from gateway_process import wait_for

READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
SHARE = 0.1
SECONDS = 3


class PlatformCalls(FleetCase):
    DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}
    PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")

    def check(self):
        """Checks the calls of a few seconds; watches that wait count as one read a second each."""
        store = self.platform.store
        before = dict(store.asked)
        time.sleep(SECONDS)
        waiting = sum(store.open_watches.values())
        reads = (store.asked["reads"] - before["reads"]) / SECONDS + waiting
        writes = (store.asked["writes"] - before["writes"]) / SECONDS
        print(f"calls to the store per second: {reads:.1f} reads, {waiting} of them waiting, {writes:.1f} writes")
        self.assertGreater(reads, 0)
        self.assertLess(reads, SHARE * READS_PER_SECOND)
        self.assertLess(writes, SHARE * WRITES_PER_SECOND)

    def test_before_the_first_configuration(self):
        """Guards against a busy loop of watch requests that return at once because nothing is published yet."""
        for gateway in self.gateways:
            gateway.stop()
        self.platform.change(self.platform.store.remove, "op/config")
        for gateway in self.gateways:
            gateway.start()
        wait_for(lambda: sum(self.platform.store.open_watches.values()) > 0)
        self.check()
        self.assertFalse(any(gateway.ready() for gateway in self.gateways))

    def test_in_operation_and_during_an_outage(self):
        """Guards against retries without a backoff while the store is away."""
        self.check()
        self.platform.store.severed_ports.update(self.store_ports)
        self.check()


if __name__ == "__main__":
    unittest.main()
