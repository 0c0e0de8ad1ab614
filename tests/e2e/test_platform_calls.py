"""Tests that calls to the platform stay below a tenth of its rate limits."""

import time
import unittest

from deployment import Deployment, call

READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
SHARE = 0.1
SECONDS = 3


class PlatformCalls(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi")
        self.addCleanup(self.fleet.stop)

    def calls_per_second(self):
        before = call(self.fleet.platform_port, "GET", "/stats").json()
        time.sleep(SECONDS)
        after = call(self.fleet.platform_port, "GET", "/stats").json()
        reads = (after.get("reads", 0) - before.get("reads", 0)) / SECONDS
        writes = (after.get("writes", 0) - before.get("writes", 0)) / SECONDS
        return reads + after["watchers"], writes

    def check(self):
        reads, writes = self.calls_per_second()
        print("platform calls per second: %.1f reads, %.1f writes" % (reads, writes))
        self.assertLess(reads, SHARE * READS_PER_SECOND)
        self.assertLess(writes, SHARE * WRITES_PER_SECOND)

    def test_before_the_first_manifest(self):
        """Guards against a busy loop of watch requests that return at once because nothing is
        published yet."""
        self.fleet.start_platform()
        for data_centre in self.fleet.data_centres:
            self.fleet.start_entry(data_centre, 1)
        self.check()

    def test_in_operation_and_during_an_outage(self):
        """Guards against retries without a backoff while the platform is down."""
        self.fleet.start()
        self.check()
        self.fleet.control(mode="down")
        self.check()


if __name__ == "__main__":
    unittest.main()
