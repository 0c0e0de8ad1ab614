"""Tests that team limits apply to the whole fleet, also after the loss of a VM."""

import time
import unittest

from deployment import Deployment, chat, wait_until

# Rate and burst of a team are 60000; a VM's own share of the burst is 10000.
ABOVE_ONE_SHARE = 15000
REPLACEMENT_LIMIT_S = 2


class TeamLimits(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi")
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.names = sorted(self.fleet.entries)

    def send_chat(self, name, tokens):
        return chat(self.fleet.port(name), self.fleet.crew_key, tokens, timeout=2)

    def time_to_serve(self, data_centre):
        """Starts a new VM and returns the seconds until its first answer."""
        start = time.monotonic()
        name = self.fleet.start_entry(data_centre, 3)
        wait_until(lambda: self.send_chat(name, 3).status == 200, timeout=10, period=0.02)
        return time.monotonic() - start

    def test_one_vm_uses_the_shares_of_others(self):
        """Guards against a request that is refused although other VMs have unused tokens."""
        wait_until(lambda: all(
            self.fleet.dump(name)["limits"]["teams"]["crew"]["tokens"] > 9000
            for name in self.names))
        try:
            self.send_chat(self.names[0], ABOVE_ONE_SHARE)
        except TimeoutError:
            pass  # the answer takes longer than the timeout; only the admission matters
        counts = self.fleet.dump(self.names[0])["limits"]["teams"]["crew"]
        self.assertEqual((counts["admitted"], counts["refused"]), (1, 0))
        refused = self.send_chat(self.names[0], 70000)
        self.assertEqual((refused.code(), refused.outcome), ("cost-above-burst", "not-run"))

    def test_replacement_serves_with_the_platform(self):
        """Guards against a new VM that does not serve until it has a slot of the team limits."""
        lost = self.names[0]
        self.fleet.processes[lost].kill()
        self.fleet.unlist_vm(lost)
        seconds = self.time_to_serve(self.fleet.entries[lost]["data_centre"])
        print("replacement served after %.2f s, platform up" % seconds)
        self.assertLess(seconds, REPLACEMENT_LIMIT_S)
        wait_until(lambda: self.fleet.slot_settled(
            "entry-%s-3" % self.fleet.entries[lost]["data_centre"]), timeout=15)

    def test_replacement_serves_without_the_platform(self):
        """Guards against a new VM that needs the platform before it serves."""
        lost = self.names[0]
        self.fleet.control(mode="down")
        self.fleet.processes[lost].kill()
        seconds = self.time_to_serve(self.fleet.entries[lost]["data_centre"])
        print("replacement served after %.2f s, platform down" % seconds)
        self.assertLess(seconds, REPLACEMENT_LIMIT_S)

    def test_planned_stop_frees_the_slot(self):
        """Guards against a slot that stays occupied until its lease expires after a planned
        stop."""
        leaving = self.names[0]
        data_centre = self.fleet.entries[leaving]["data_centre"]
        self.assertEqual(self.fleet.processes[leaving].terminate(), 0)
        name = self.fleet.start_entry(data_centre, 3)
        seconds = wait_until(lambda: self.fleet.slot_settled(name), timeout=10)
        print("slot of a stopped VM settled at another after %.2f s" % seconds)


if __name__ == "__main__":
    unittest.main()
