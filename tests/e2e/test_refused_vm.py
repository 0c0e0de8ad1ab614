"""Tests VMs that the store refuses while it serves the others, whose relays answer."""

import base64
import http.server
import json
import threading
import time
import unittest

from fleet_case import BASE_PORT, FleetCase
from gateway_process import wait_for
from users_platform import HOST, ROUTES

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


class RejectedConfiguration(FleetCase):
    PLACES = ("dc-a", "dc-b")
    CONFIG_KEY = "op/config"
    PEER_KEY = "marigold/vm/vm0"
    PEER_PORT = BASE_PORT + 97  # answers in place of vm0 what no VM accepts
    MOST_CALLS = 10  # in SECONDS: pauses that double from 0.1 s, later of at least 0.5 s
    APPLY_SECONDS = 2.5  # as the users demand

    def test_configuration_that_is_rejected_is_not_asked_for_at_once(self):
        """Guards against a VM that asks a peer for its newer configuration at each message, though it can't read it."""
        asked = []

        class Peer(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                asked.append(self.path)
                self.send_response(200)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            def log_message(self, *_):
                pass

        peer = http.server.ThreadingHTTPServer((HOST, self.PEER_PORT), Peer)
        threading.Thread(target=peer.serve_forever, daemon=True).start()
        self.addCleanup(peer.server_close)
        self.addCleanup(peer.shutdown)
        store = self.platform.store
        first = store.items[self.CONFIG_KEY]["value"]

        def outdated(item):
            if item["key"] == self.CONFIG_KEY:
                return {**item, "value": first}
            if item["key"] == self.PEER_KEY and "value" in item:
                content = {**json.loads(base64.b64decode(item["value"])), "operator": f"{HOST}:{self.PEER_PORT}"}
                return {**item, "value": base64.b64encode(json.dumps(content).encode()).decode()}
            return item

        self.platform.change(store.views.__setitem__, self.store_ports[1], outdated)
        self.gateways[1].stop()
        self.gateways[1].start()
        wait_for(self.gateways[1].ready)
        self.platform.publish(2, ["k1"], ROUTES)
        wait_for(lambda: asked)
        time.sleep(SECONDS)
        calls = len(asked)
        print(f"{calls} calls for the configuration in {SECONDS:.0f} s")
        self.assertIn("configuration rejected", self.gateways[1].log())
        self.assertLessEqual(calls, self.MOST_CALLS)
        self.platform.change(store.views.pop, self.store_ports[1])
        self.platform.publish(3, ["k1", "k3"], ROUTES)
        published = time.monotonic()
        wait_for(lambda: self.gateways[1].log_rows("configuration in force")[-1]["version"] == "3")
        self.assertLess(time.monotonic() - published, self.APPLY_SECONDS)


if __name__ == "__main__":
    unittest.main()
