"""Tests gateways whose open connections to the store go silent, without a reset, while new ones work."""

import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from silent_proxy import SilentProxy
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27700))
APPLY_SECONDS = 2.5   # the users' bound for a change of the configuration, and for an upstream that leaves
SETTLE_SECONDS = 2.0  # all watches wait, and leases have been renewed
JUST_ASKED_SECONDS = 0.1
STORE_PORT = BASE_PORT + 90
PROXY_PORTS = BASE_PORT + 80


class SilentStoreTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(STORE_PORT)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        for upstream in self.desks:
            self.platform.serve_upstream(upstream)
        self.platform.publish(1, ["k1", "k2"], ROUTES)
        self.gateways = []
        self.proxies = []

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for proxy in self.proxies:
            proxy.close()
        self.platform.close()
        self.folder.cleanup()

    def start(self, data_centres):
        """Starts a VM in each of the data centres, each behind a proxy of its own."""
        for number, data_centre in enumerate(data_centres):
            self.proxies.append(SilentProxy(PROXY_PORTS + number, STORE_PORT))
            self.gateways.append(
                Gateway(number, self.folder.name, BASE_PORT + 10 * number, PROXY_PORTS + number, data_centre))
        for gateway in self.gateways:
            wait_for(gateway.ready)
        wait_for(lambda: all(gateway.log().count("registered") for gateway in self.gateways))
        time.sleep(SETTLE_SECONDS)

    def silence(self, prefix="op", **options):
        """Waits until the first VM has just asked for changes of a prefix, the worst moment for a silence."""
        wait_for(lambda: time.monotonic() - self.proxies[0].watched_at.get(prefix, 0.0) < JUST_ASKED_SECONDS, 20)
        for proxy in self.proxies:
            self.assertGreater(proxy.silence(**options), 0)

    def withdraw_key(self):
        """Withdraws k1; returns for each VM how long after that it accepted the key last."""
        self.platform.publish(3, ["k2"], ROUTES)
        changed = time.monotonic()
        accepted = {gateway.name: 0.0 for gateway in self.gateways}

        def ask(gateway):
            while time.monotonic() < changed + 2 * APPLY_SECONDS:
                sent = time.monotonic()
                if gateway.call("/again/x", key="k1")[0] == 200:
                    accepted[gateway.name] = sent - changed
                time.sleep(0.02)

        threads = [threading.Thread(target=ask, args=(gateway,)) for gateway in self.gateways]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("accepted until:", {name: f"{seconds:.2f} s" for name, seconds in accepted.items()})
        for gateway in self.gateways:
            self.assertEqual(200, gateway.call("/again/x", key="k2")[0])
        return accepted

    def assert_withdrawn_in_time(self):
        for name, seconds in self.withdraw_key().items():
            self.assertLess(seconds, APPLY_SECONDS, name)

    def test_key_withdrawn_after_all_connections_went_silent(self):
        """Guards against a withdrawn key that runs on until a watch times out."""
        self.start(["dc-a"])
        self.silence()
        self.assert_withdrawn_in_time()

    def test_key_withdrawn_after_the_watches_went_silent(self):
        """Guards against renewals on other connections that make silent watches look current."""
        self.start(["dc-a"])
        self.silence(only_watches=True)
        self.assert_withdrawn_in_time()

    def test_key_withdrawn_in_a_fleet_with_readers_of_relays(self):
        """Guards against VMs that wait for a relay whose own connection is silent."""
        self.start(["dc-a", "dc-a", "dc-a", "dc-b"])
        self.platform.publish(2, ["k1", "k2"], ROUTES)  # ends the waits of all VMs at the same moment
        self.silence()
        self.assert_withdrawn_in_time()

    def test_key_withdrawn_after_each_of_two_silences(self):
        """Guards against a call on a new connection that falls back to one from before the silence."""
        self.start(["dc-a"])
        self.silence()
        time.sleep(APPLY_SECONDS)
        self.silence()
        self.assert_withdrawn_in_time()

    def test_upstream_that_leaves_after_the_watches_went_silent_gets_no_new_requests(self):
        """Guards against requests to an upstream whose notice to leave was lost with a connection."""
        self.start(["dc-a"])
        self.silence("servers", only_watches=True)
        leaving = self.desks[0]
        self.platform.change(self.platform.store.put, "servers/" + leaving.name, leaving.record("draining"))
        time.sleep(APPLY_SECONDS)
        before = len(leaving.seen)
        for _ in range(16):
            self.assertEqual(200, self.gateways[0].call("/again/x")[0])
        self.assertEqual(before, len(leaving.seen))


if __name__ == "__main__":
    unittest.main()
