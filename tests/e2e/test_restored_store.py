"""Tests gateways whose store comes back from an older copy: what it had acknowledged since the copy is
gone, leases too, and its revisions are given out again."""

import base64
import json
import os
import tempfile
import time
import unittest

from gateway_process import ORDER_PAUSE, Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27100))
CHAT = {"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}
WATCH_SECONDS = 4.5  # a watch has returned, and goes on from the present revision
OWNER_KEY = "marigold/order-owner"
RECORD_RETURN_SECONDS = 2.5  # upstreams have written their records again by then
LEASE_SECONDS = 2.0  # term of an ownership
APPLY_SECONDS = 2.5  # the users' bound for a change of the configuration, and for an upstream that leaves


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store = self.platform.store
        self.store_ports = [BASE_PORT + 90 + n for n in range(3)]
        for port in self.store_ports:
            self.platform.serve_store(port)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1)]
        self.platform.publish(1, ["k1", "k2"], ROUTES)
        for upstream in self.desks + self.engines:
            self.platform.serve_upstream(upstream)
        # Three VMs of one data centre: at least one of them follows the store through another one.
        self.gateways = [Gateway(n, self.folder.name, BASE_PORT + 10 * n, port)
                         for n, port in enumerate(self.store_ports)]
        for gateway in self.gateways:
            wait_for(gateway.ready)
        wait_for(lambda: all(gateway.log().count("registered") for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def write_much(self):
        """Raises the revision, so that the watches are ahead of what the copy will have."""
        self.platform.change(self.fill, self.store.revision + 40)
        time.sleep(WATCH_SECONDS)

    def fill(self, revision):
        while self.store.revision < revision:
            self.store.put("other/key", b"")

    def restore(self, **options):
        self.platform.change(lambda: self.store.restore(**options))

    def restore_and_write(self, key, value):
        """Restores the store and writes a key under a revision that was given out before the restoration."""
        def change():
            lost = self.store.revision
            self.store.restore()
            self.store.put(key, value)
            self.assertLess(self.store.revision, lost)
            self.fill(lost + 5)
        self.platform.change(change)

    def test_change_under_a_revision_given_out_again_is_in_force(self):
        """Guards against a watch that goes on after a revision of the lost history and misses changes."""
        self.platform.change(self.store.take_copy)
        self.write_much()
        self.restore_and_write("op/config", self.platform.configuration(2, ["k2"], ROUTES))
        time.sleep(APPLY_SECONDS)
        for gateway in self.gateways:
            self.assertEqual(401, gateway.call("/again/x", key="k1")[0])
            self.assertEqual(200, gateway.call("/again/x", key="k2")[0])

    def test_upstream_that_leaves_after_the_restoration_gets_no_new_requests(self):
        """Guards against readers of a relay that wait for revisions which the relay has left behind."""
        self.platform.change(self.store.take_copy)
        self.write_much()
        leaving = self.desks[0]
        self.restore_and_write("servers/" + leaving.name, leaving.record("draining"))
        time.sleep(APPLY_SECONDS)
        before = len(leaving.seen)
        for gateway in self.gateways:
            for _ in range(8):
                self.assertEqual(200, gateway.call("/again/x")[0])
        self.assertEqual(before, len(leaving.seen))

    def test_vm_that_the_store_turns_away_after_the_restoration_learns_of_upstreams(self):
        """Guards against a VM without changes of upstreams, because its relay has not the history that it knows and
        the store does not serve it."""
        self.platform.change(self.store.take_copy)
        self.write_much()
        number = next(n for n, port in enumerate(self.store_ports) if not self.store.open_watches.get(port))
        self.store.severed_ports.add(self.store_ports[number])
        self.restore()
        added = Upstream("desk2", BASE_PORT + 62, "desk")
        self.platform.serve_upstream(added)
        time.sleep(APPLY_SECONDS)
        for _ in range(30):
            self.assertEqual(200, self.gateways[number].call("/again/x")[0])
        self.assertTrue(added.seen)

    def test_upstream_that_has_left_does_not_come_back_with_the_copy(self):
        """Guards against requests to an address of the copy that nobody or somebody else has now."""
        left = self.lose_the_end_of_an_upstream()
        self.assert_no_requests(left, 1.5)

    def test_upstream_of_the_copy_stays_gone_when_it_is_listed_again(self):
        """Guards against a list that brings back an upstream of the copy whose record has not expired yet."""
        left = self.lose_the_end_of_an_upstream()
        time.sleep(RECORD_RETURN_SECONDS + 0.5)
        self.store.severed_ports.update(self.store_ports)
        time.sleep(0.3)
        self.store.severed_ports.clear()
        self.assert_no_requests(left, 1.5)

    def lose_the_end_of_an_upstream(self):
        """Restores the store from a copy that lists an upstream which has left since, and returns it."""
        left = self.desks[0]
        left.heartbeats = 7
        self.platform.change(self.store.put, "servers/" + left.name, left.record())
        time.sleep(0.3)
        self.platform.change(self.store.take_copy)
        self.platform.change(self.store.remove, "servers/" + left.name)
        time.sleep(1)
        self.restore(rewritten=("op/",))
        return left

    def assert_no_requests(self, upstream, seconds):
        before = len(upstream.seen)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for gateway in self.gateways:
                self.assertEqual(200, gateway.call("/again/x")[0])
        self.assertEqual(before, len(upstream.seen))

    def test_orders_keep_the_pause_and_rising_fences(self):
        """Guards against an owner of the copy that orders beside the present one, and against fences that
        go back with the revisions."""
        self.want_adapters_until(self.orders, 15)
        self.platform.change(self.store.take_copy)
        self.write_much()
        first = self.orders()[0][1]
        self.gateways[int(first[2:])].stop()
        self.want_adapters_until(lambda: {row[1] for row in self.orders()} - {first}, 20)
        self.restore()
        restored = time.monotonic()
        for engine in self.engines:
            self.platform.change(engine.restart_empty, self.store)
        self.want_adapters_until(lambda: time.monotonic() > restored + 9, 20)
        self.assertTrue(any(row[0] > restored + ORDER_PAUSE for row in self.orders()))
        for engine in self.engines:
            log = engine.order_log
            for (at, vm, fence, *_), (later, next_vm, next_fence, *_) in zip(log, log[1:]):
                self.assertGreaterEqual(next_fence, fence)
                if vm != next_vm:
                    self.assertGreater(next_fence, fence)
                    self.assertGreaterEqual(later - at, ORDER_PAUSE)

    def test_owner_of_the_copy_sends_no_orders_before_its_new_claim(self):
        """Guards against an owner that takes its record in the copy for the one that it has yet to write."""
        self.want_adapters_until(self.orders, 15)
        self.platform.change(self.copy_with_lasting_leases)
        self.store.refused_key = OWNER_KEY
        self.restore()
        restored = time.monotonic()
        for engine in self.engines:
            self.platform.change(engine.restart_empty, self.store)
        self.want_adapters_until(lambda: time.monotonic() > restored + 6, 10)
        self.assertEqual([], [row for row in self.orders() if row[0] > restored + LEASE_SECONDS])

    def test_process_that_starts_after_the_restoration_waits_before_it_claims(self):
        """Guards against a claim beside an owner that does not know yet that the store was restored."""
        wait_for(self.owner)
        self.platform.change(self.copy_with_lasting_leases)
        for gateway in self.gateways:
            gateway.stop()
        self.restore()
        started = time.monotonic()
        self.gateways.append(Gateway(3, self.folder.name, BASE_PORT + 30, BASE_PORT + 90))
        wait_for(lambda: self.owner() == self.gateways[-1].name)
        self.assertGreater(time.monotonic() - started, LEASE_SECONDS)

    def owner(self):
        item = self.store.items.get(OWNER_KEY)
        return json.loads(base64.b64decode(item["value"]))["vm"] if item else None

    def copy_with_lasting_leases(self):
        """Takes a copy whose keys outlast the owner's claim, as they may if leases pause."""
        self.store.take_copy()
        leases = self.store.copy[1]
        for lease, (until, ttl) in leases.items():
            leases[lease] = (until + 60, ttl)

    def orders(self):
        return [row for engine in self.engines for row in engine.order_log]

    def want_adapters_until(self, condition, seconds):
        """Asks for adapters in turn, so that the owner has something to order."""
        deadline = time.monotonic() + seconds
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            for gateway in self.gateways:
                for adapter in ("a1", "a2"):
                    try:
                        gateway.call("/chat/x", headers={**CHAT, "X-Model-Name": f"m1/{adapter}"}, timeout=0.3)
                    except OSError:
                        pass  # The VM is down, or the request waits for an adapter; only the orders count.


if __name__ == "__main__":
    unittest.main()
