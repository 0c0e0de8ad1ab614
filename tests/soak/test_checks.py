"""Tests that the checks of the soak detect violations and accept valid records."""

import time
import unittest

from checks import KEY_LIMIT, Record, check_orders, check_runs, check_stream


class UpstreamRecord:
    def __init__(self, *headers, orders=()):
        self.name, self.seen, self.order_log = "u", list(headers), list(orders)


def request_headers(request_id, **more):
    return {"x-request-id": request_id, "x-tenant-name": "team", **more}


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.record = Record()

    def found(self):
        return [text.split()[0] for _, text in self.record.violations]

    def test_second_run_of_a_booking(self):
        self.record.request("a", "once", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("a")), UpstreamRecord(request_headers("a"))])
        self.assertEqual(["TWICE"], self.found())

    def test_lookup_may_run_twice(self):
        self.record.request("a", "again", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("a")), UpstreamRecord(request_headers("a"))])
        self.assertEqual([], self.found())

    def test_refusal_of_a_request_that_ran(self):
        self.record.request("a", "once", "k1", "vm0")
        self.record.answer("a", 503)
        check_runs(self.record, [UpstreamRecord(request_headers("a"))])
        self.assertEqual(["REFUSED"], self.found())

    def test_request_that_nobody_sent_and_a_key_that_was_passed_on(self):
        self.record.request("a", "again", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("b"), request_headers("a", authorization="Bearer k1"))])
        self.assertEqual(["UNASKED", "UNASKED"], self.found())

    def test_withdrawn_key_counts_only_at_vms_without_faults(self):
        now = time.monotonic()
        self.record.withdrawn["k3"] = now - KEY_LIMIT - 1
        for vm in ("vm0", "vm1"):
            self.record.request(vm, "again", "k3", vm)
        self.record.fault("vm1", now - 1, now)
        check_runs(self.record, [UpstreamRecord(request_headers("vm0"), request_headers("vm1"))])
        self.assertEqual(["CONFIG"], self.found())

    def test_streams(self):
        check_stream(self.record, "a", "id: 1\nid: 3\n", False)
        check_stream(self.record, "b", "id: 1\nid: 2\n", True)
        check_stream(self.record, "c", "id: 1\nid: 2\n", False)
        self.assertEqual(["ORDER", "ORDER"], self.found())

    def test_orders_of_two_owners(self):
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (2, "vm1", 6)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 4)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 6)])])
        self.assertEqual(["ONE", "ONE"], self.found())


if __name__ == "__main__":
    unittest.main()
