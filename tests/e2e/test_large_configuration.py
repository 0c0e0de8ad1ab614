"""Tests that a change of a large configuration costs what has changed (decisions/0021)."""

import http.client
import json
import time
import unittest

from fleet_case import FleetCase
from gateway_process import HOST, OPERATOR, wait_for
from users_platform import ROUTES, route

NEW_ROUTES = 1500
TARGET_SECONDS = 3
MAX_CHANGE_BYTES = 2000


def many_routes(count):
    return ROUTES + [route(f"r{number}", f"/new{number}/", "idempotent", "desk") for number in range(count)]


class LargeConfiguration(FleetCase):
    PLACES = ("dc-a", "dc-a", "dc-a")
    DESKS = 1

    def versions(self):
        """Returns the version that each VM has in force."""
        return [int(gateway.log_rows("configuration in force")[-1]["version"]) for gateway in self.gateways]

    def publish(self, version, keys, routes):
        self.platform.publish(version, keys, routes)
        wait_for(lambda: set(self.versions()) == {version}, TARGET_SECONDS)

    def changes_at(self, gateway, after, more=""):
        """Returns what a VM answers to a reader of its data centre: status and body."""
        connection = http.client.HTTPConnection(HOST, gateway.port + OPERATOR, timeout=3)
        era = self.platform.store.era
        try:
            connection.request("GET", f"/v1/watch?prefix=op%2F&era={era}&after={after}&wait_ms=0{more}")
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def test_change_of_a_key_is_all_that_is_sent_and_decoded(self):
        """Guards against VMs that stand still, and links that are full, at each change of a large configuration."""
        self.publish(2, ["k1"], many_routes(NEW_ROUTES))
        before = self.platform.store.revision
        self.publish(3, ["k2"], many_routes(NEW_ROUTES))
        for gateway in self.gateways:
            self.assertEqual(401, gateway.call("/new7/x", key="k1")[0])
            self.assertEqual(200, gateway.call("/new7/x", key="k2")[0])
            rows = gateway.log_rows("configuration in force")
            self.assertGreater(int(rows[-2]["slices"]), 1)
            self.assertEqual("1", rows[-1]["slices"])
        relays = [gateway for gateway in self.gateways if self.changes_at(gateway, before)[0] == 200]
        self.assertTrue(relays)
        status, body = self.changes_at(relays[0], before, "&patches=1")
        self.assertEqual(200, status)
        self.assertLess(len(body), MAX_CHANGE_BYTES)
        self.assertIn("patches", json.loads(body)["items"][0])

    def test_reader_of_an_earlier_version_gets_the_whole_text(self):
        """Guards against VMs of the version before that miss a change while both versions serve."""
        self.publish(2, ["k1"], many_routes(NEW_ROUTES))
        before = self.platform.store.revision
        self.publish(3, ["k2"], many_routes(NEW_ROUTES))
        answers = [self.changes_at(gateway, before) for gateway in self.gateways]
        body = next(body for status, body in answers if status == 200)
        value = json.loads(json.loads(body)["items"][0]["value"])
        self.assertEqual((3, ["k2"]), (value["version"], value["tenants"][0]["api_keys"]))

    def test_frequent_changes_are_skipped_to_the_latest(self):
        """Guards against a version that is never applied because the next one always comes before it is decoded."""
        for version in range(2, 12):
            self.platform.publish(version, ["k1", f"k{version}"], many_routes(NEW_ROUTES + version))
            time.sleep(0.03)
        wait_for(lambda: set(self.versions()) == {11}, TARGET_SECONDS)
        for gateway in self.gateways:
            seen = [int(row["version"]) for row in gateway.log_rows("configuration in force")]
            self.assertEqual(sorted(seen), seen)
            self.assertEqual(200, gateway.call("/new1510/x", key="k11")[0])

    def test_unreadable_version_names_its_item_and_changes_nothing(self):
        """Guards against a wrong item that takes the last version out of force, or that nobody can find."""
        self.publish(2, ["k1"], many_routes(NEW_ROUTES))
        wrong = many_routes(NEW_ROUTES)
        wrong[700]["type"] = "unheard-of"
        self.platform.publish(3, ["k2"], wrong)
        wait_for(lambda: all(gateway.log_rows("configuration rejected") for gateway in self.gateways), TARGET_SECONDS)
        for gateway in self.gateways:
            self.assertIn("routes[700]", gateway.log_rows("configuration rejected")[0]["error"])
            self.assertEqual(200, gateway.call("/new7/x", key="k1")[0])
        self.publish(4, ["k2"], many_routes(NEW_ROUTES))

    def test_version_with_two_items_of_one_name_changes_nothing(self):
        """Guards against two routes of one name, of which nobody knows which one is in force."""
        self.publish(2, ["k1"], many_routes(NEW_ROUTES))
        self.platform.publish(3, ["k2"], many_routes(NEW_ROUTES) + [route("r700", "/else/", "idempotent", "desk")])
        wait_for(lambda: all(gateway.log_rows("configuration rejected") for gateway in self.gateways), TARGET_SECONDS)
        for gateway in self.gateways:
            self.assertIn("routes[1504]: a second item is named r700",
                          gateway.log_rows("configuration rejected")[0]["error"])
            self.assertEqual(200, gateway.call("/new700/x", key="k1")[0])
        self.publish(4, ["k2"], many_routes(NEW_ROUTES))


if __name__ == "__main__":
    unittest.main()
