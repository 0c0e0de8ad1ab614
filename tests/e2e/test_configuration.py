"""Tests that a configuration is in force on every VM within seconds and never replaced by an older one (P12)."""

import time
import unittest

from fleet_case import FleetCase
from gateway_process import wait_for
from users_platform import ROUTES

CUT_OFF = (4, 5)        # the VMs of dc-c
TARGET_SECONDS = 3
REVERSION_SECONDS = 3   # in which VMs that were cut off could bring an older configuration back


class Configuration(FleetCase):
    DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}
    PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")
    DESKS = 1
    LINKED = True

    def keys_in_force(self, numbers):
        """Returns which of the two keys each of these VMs takes."""
        return {tuple(key for key in ("k1", "k2") if self.gateways[number].call("/again/x", key=key)[0] == 200)
                for number in numbers}

    def test_in_force_on_all_vms_in_time(self):
        """Guards against a VM that applies a configuration late or not at all."""
        everywhere = range(len(self.PLACES))
        self.assertEqual({("k1",)}, self.keys_in_force(everywhere))
        published = time.monotonic()
        self.platform.publish(2, ["k2"], ROUTES)
        wait_for(lambda: self.keys_in_force(everywhere) == {("k2",)}, TARGET_SECONDS)
        print(f"in force on {len(self.PLACES)} VMs after {time.monotonic() - published:.2f} s")

    def test_data_centre_returns_with_an_older_configuration(self):
        """Guards against VMs that never get the changes made while they were cut off, and against others that take
        the older configuration back from them."""
        others = [number for number in range(len(self.PLACES)) if number not in CUT_OFF]
        self.cut(CUT_OFF)
        self.platform.publish(2, ["k2"], ROUTES)
        wait_for(lambda: self.keys_in_force(others) == {("k2",)}, TARGET_SECONDS)
        self.assertEqual({("k1",)}, self.keys_in_force(CUT_OFF))
        self.heal_cuts()
        wait_for(lambda: self.keys_in_force(CUT_OFF) == {("k2",)}, TARGET_SECONDS)
        until = time.monotonic() + REVERSION_SECONDS
        while time.monotonic() < until:
            self.assertEqual({("k2",)}, self.keys_in_force(range(len(self.PLACES))))
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
