"""Tests that the checks of the soak detect violations and accept valid records."""

import time
import unittest

from checks import (IN_FLIGHT, KEY_LIMIT, LEAVING_LIMIT, MOST_WHILE_TURNED_AWAY, Record, check_orders, check_runs,
                    check_statements, check_stream)


class UpstreamRecord:
    def __init__(self, *headers, orders=(), statements=(), arrivals=()):
        self.name, self.seen, self.order_log = "u", list(headers), list(orders)
        self.statements, self.arrival_log = list(statements), list(arrivals)


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

    def check_arrivals(self, statement, seconds_after, count, process=1, vm="vm0"):
        """Checks requests of a VM some time after it was told something by process 1."""
        now = time.monotonic()
        self.record.request("told", "again", "k1", "vm0")
        arrivals = []
        for number in range(count):
            self.record.sent[f"r{number}"] = ("again", "k1", vm, now + seconds_after)
            arrivals.append((now + seconds_after, f"r{number}", process))
        check_statements(self.record, [UpstreamRecord(statements=[(now, "told", 1, statement)], arrivals=arrivals)])

    def test_requests_to_an_upstream_that_turns_them_away(self):
        self.check_arrivals("3", IN_FLIGHT / 2, 9)
        self.check_arrivals("3", 1, MOST_WHILE_TURNED_AWAY)
        self.check_arrivals("3", 4, 9)
        self.check_arrivals("3", 1, 9, vm="vm1")
        self.assertEqual([], self.found())
        self.check_arrivals("3", 1, MOST_WHILE_TURNED_AWAY + 1)
        self.assertEqual(["BUDGET"], self.found())

    def test_requests_to_an_upstream_that_leaves(self):
        self.check_arrivals(None, LEAVING_LIMIT / 2, 9)
        self.check_arrivals(None, LEAVING_LIMIT + 1, 9, process=2)
        self.assertEqual([], self.found())
        self.check_arrivals(None, LEAVING_LIMIT + 1, 1)
        self.assertEqual(["DRAIN"], self.found())

    def test_statements_count_without_faults_only(self):
        self.record.fault("u", time.monotonic(), time.monotonic() + 1)
        self.check_arrivals("3", 1, 9)
        self.assertEqual([], self.found())

    def test_orders_of_two_owners(self):
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (2, "vm1", 6)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 4)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 6)])])
        self.assertEqual(["ONE", "ONE"], self.found())


if __name__ == "__main__":
    unittest.main()
