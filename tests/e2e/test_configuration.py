"""Tests that a configuration is in force on every VM within seconds and never replaced by an older one (P12)."""

import os
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from peer_links import PeerLinks
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}  # with their regions
PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")  # of the VMs
CUT_OFF = (4, 5)        # the VMs of dc-c
TARGET_SECONDS = 3
REVERSION_SECONDS = 3   # in which VMs that were cut off could bring an older configuration back


class Configuration(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        desk = Upstream("desk0", BASE_PORT + 60, "desk")
        desk.slots = 100
        self.platform.serve_upstream(desk)
        self.store_ports = [BASE_PORT + 90 + number for number in range(len(PLACES))]
        for port in self.store_ports:
            self.platform.serve_store(port)
        self.links = PeerLinks(self.platform, {f"vm{n}": port for n, port in enumerate(self.store_ports)},
                               [BASE_PORT + 10 * n + offset for n in range(len(PLACES)) for offset in range(4, 10)])
        self.gateways = [Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_ports[number], place,
                                 DATA_CENTRES) for number, place in enumerate(PLACES)]
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.change(self.links.close)
        self.platform.close()
        self.folder.cleanup()

    def keys_in_force(self, numbers):
        """Returns which of the two keys each of these VMs takes."""
        return {tuple(key for key in ("k1", "k2") if self.gateways[number].call("/again/x", key=key)[0] == 200)
                for number in numbers}

    def test_in_force_on_all_vms_in_time(self):
        """Guards against a VM that applies a configuration late or not at all."""
        everywhere = range(len(PLACES))
        self.assertEqual({("k1",)}, self.keys_in_force(everywhere))
        published = time.monotonic()
        self.platform.publish(2, ["k2"], ROUTES)
        wait_for(lambda: self.keys_in_force(everywhere) == {("k2",)}, TARGET_SECONDS)
        print(f"in force on {len(PLACES)} VMs after {time.monotonic() - published:.2f} s")

    def test_data_centre_returns_with_an_older_configuration(self):
        """Guards against VMs that never get the changes made while they were cut off, and against others that take
        the older configuration back from them."""
        others = [number for number in range(len(PLACES)) if number not in CUT_OFF]
        self.links.cut([self.gateways[number].name for number in CUT_OFF])
        self.platform.store.severed_ports.update(self.store_ports[number] for number in CUT_OFF)
        self.platform.publish(2, ["k2"], ROUTES)
        wait_for(lambda: self.keys_in_force(others) == {("k2",)}, TARGET_SECONDS)
        self.assertEqual({("k1",)}, self.keys_in_force(CUT_OFF))
        self.links.heal()
        self.platform.store.severed_ports.clear()
        wait_for(lambda: self.keys_in_force(CUT_OFF) == {("k2",)}, TARGET_SECONDS)
        until = time.monotonic() + REVERSION_SECONDS
        while time.monotonic() < until:
            self.assertEqual({("k2",)}, self.keys_in_force(range(len(PLACES))))
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
