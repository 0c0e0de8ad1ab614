"""Tests that gateways act on what upstreams say of themselves in their answers."""

import os
import tempfile
import threading
import time
import unittest

import side_by_side
from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
ENGINES = 3
CONTACT_SECONDS = 4.0  # after the first naming
WINDOW_SECONDS = 4.0
FACTOR, EXTRA = 1.5, 5  # of the limit in a window, as the users allow
RECORD_SECONDS = 0.5  # until VMs know a record


class NoticeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(ENGINES)]
        for engine in self.engines:
            self.platform.serve_upstream(engine)
        self.gateways = []
        for number, data_centre in enumerate(("dc-a", "dc-a", "dc-b")):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         data_centre))
        deadline = time.monotonic() + 10
        while not all(gateway.ready() for gateway in self.gateways):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
        self.statuses = []
        self.sent = {}  # by request id: (VM, time)

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def drive(self, seconds, pause, beginning="a:50,"):
        """Sends requests to all gateways in turn; their prompts share the beginning."""
        calls = []

        def call(number):
            gateway, request_id = self.gateways[number % len(self.gateways)], os.urandom(8).hex()
            self.sent[request_id] = gateway.name, time.monotonic()
            status, _, headers = gateway.call(
                "/chat/x", headers={"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Request-Id": request_id,
                                    "X-Prompt-Prefix": f"{beginning}{number:x}:50"})
            self.statuses.append((status, headers.get("Retry-After")))
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            calls.append(threading.Thread(target=call, args=(len(calls),)))
            calls[-1].start()
            time.sleep(pause)
        for thread in calls:
            thread.join()

    def keep_one_engine(self):
        for number in range(1, ENGINES):
            self.platform.change(self.platform.store.remove, f"servers/engine{number}")
        time.sleep(RECORD_SECONDS)


class NamedLimit(NoticeTest):
    def most_in_a_window(self, engine, since):
        times = [at for at in engine.arrivals if at >= since]
        return max((sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times), default=0)

    def check_limit(self, engine, since):
        self.assertLessEqual(self.most_in_a_window(engine, since + CONTACT_SECONDS),
                             FACTOR * engine.limit * WINDOW_SECONDS + EXTRA)

    def test_sum_over_the_fleet_stays_within_the_limit(self):
        """Guards against an upstream in need that gets as many requests as its load admits."""
        self.engines[0].limit = 1.2
        started = time.monotonic()
        self.drive(CONTACT_SECONDS + 2 * WINDOW_SECONDS, pause=0.07)
        self.check_limit(self.engines[0], started)
        self.assertTrue(all(status == 200 for status, _ in self.statuses), "the other engines have room")

    def test_only_holder_is_used_up_to_its_limit(self):
        """Guards against a model that is not served any more because its only holder names a limit."""
        self.keep_one_engine()
        self.engines[0].limit = 2
        started = time.monotonic()
        seconds = CONTACT_SECONDS + 2 * WINDOW_SECONDS
        self.drive(seconds, pause=0.1)
        self.check_limit(self.engines[0], started)
        served = sum(status == 200 for status, _ in self.statuses)
        self.assertGreater(served, 0.75 * self.engines[0].limit * seconds)
        for status, retry_after in self.statuses:
            self.assertIn(status, (200, 503))
            self.assertTrue(status == 200 or retry_after)

    def test_limit_ends_when_answers_name_none(self):
        """Guards against an upstream that stays limited after it has recovered."""
        self.keep_one_engine()
        self.engines[0].limit = 0.5
        self.drive(2, pause=0.1)
        self.engines[0].limit = None
        self.drive(5, pause=0.1)  # the next request that the limit allows shows that it is gone
        self.statuses.clear()
        self.drive(2, pause=0.1)
        self.assertTrue(all(status == 200 for status, _ in self.statuses), self.statuses)


class Leaving(NoticeTest):
    def test_upstream_that_says_it_leaves_gets_no_new_requests(self):
        """Guards against requests to an upstream whose record still says that it is ready, also when that record
        has been away."""
        self.engines[0].leaving = True
        self.drive(2, pause=0.03)
        self.assertTrue(self.engines[0].arrivals)
        told = time.monotonic()
        record = self.engines[0].record()
        self.platform.change(self.platform.store.remove, "servers/engine0")
        self.drive(1, pause=0.05)
        self.platform.change(self.platform.store.put, "servers/engine0", record)
        self.drive(2, pause=0.05)
        self.assertEqual([], [at for at in self.engines[0].arrivals if at > told])
        self.assertTrue(all(status == 200 for status, _ in self.statuses), self.statuses)

    def leave(self):
        """An upstream is the only one and tells all VMs that it leaves."""
        self.keep_one_engine()
        self.engines[0].leaving = True
        self.drive(1, pause=0.03)
        for gateway in self.gateways:  # by an answer of its own, or by the report of a VM that had one before
            self.assertRegex(gateway.log(), "upstream (says it leaves|leaves, as a peer reports)")

    def start_next_process(self):
        """Traffic goes on while the next process of that upstream writes its record."""
        self.engines[0].leaving = False
        self.engines[0].born += 1
        self.platform.change(self.platform.store.put, "servers/engine0", self.engines[0].record())
        self.engines[0].arrival_log.clear()
        self.sent.clear()
        self.statuses.clear()
        return time.monotonic() + RECORD_SECONDS

    def test_next_process_of_the_only_upstream_serves_all_callers(self):
        """Guards against an upstream that stays shut out after a restart under its old name and address, at any VM."""
        self.leave()
        known = self.start_next_process()
        self.drive(2 + RECORD_SECONDS, pause=0.03)
        served = {request_id for _, request_id, _ in self.engines[0].arrival_log}
        late = [request_id for request_id, (_, at) in self.sent.items() if at > known]
        self.assertGreater(len(late), 2 * len(self.gateways))
        self.assertEqual([], [request_id for request_id in late if request_id not in served])
        for status, retry_after in self.statuses:
            self.assertTrue(status == 200 or (status == 503 and retry_after), (status, retry_after))
        self.assertEqual(len(served), sum(status == 200 for status, _ in self.statuses))

    def test_next_process_of_the_upstream_is_used_beside_others(self):
        """Guards against an upstream that gets nothing after a restart while others have its models. The prompts share
        nothing: others may rightly get all that share a beginning, because its cache is empty."""
        self.leave()
        for engine in self.engines[1:]:
            self.platform.change(self.platform.store.put, "servers/" + engine.name, engine.record())
        time.sleep(RECORD_SECONDS)
        self.drive(1, pause=0.03)  # fills their caches
        self.start_next_process()
        self.drive(3, pause=0.03, beginning="")
        self.assertEqual({200}, {status for status, _ in self.statuses})
        self.assertEqual({gateway.name for gateway in self.gateways},
                         {self.sent[request_id][0] for _, request_id, _ in self.engines[0].arrival_log})
        self.assertTrue(all(engine.arrivals for engine in self.engines[1:]), "the others have room too")


class TurnedAway(NoticeTest):
    MOST = 2          # requests from one VM in the time that an upstream asks for
    IN_FLIGHT = 0.5   # seconds in which requests may still arrive

    def check_quiet_time(self, seconds):
        """No gateway sends more than the allowed requests from half a second after the first 503 on."""
        first = self.engines[0].arrivals[0]
        late = [at for at in self.engines[0].arrivals if first + self.IN_FLIGHT < at < first + seconds]
        self.assertLessEqual(len(late), self.MOST * len(self.gateways))

    def test_upstream_is_left_alone_for_the_time_that_it_asks_for(self):
        """Guards against an upstream that is asked again and again while it turns requests away."""
        self.engines[0].turn_away = "2.5"
        self.drive(2.5, pause=0.03)
        self.check_quiet_time(2.5)
        self.assertTrue(all(status == 200 for status, _ in self.statuses), self.statuses)
        self.engines[0].turn_away = None
        self.engines[0].arrivals.clear()
        self.drive(3, pause=0.03)
        self.assertTrue(self.engines[0].arrivals, "it is used again afterwards")

    def test_only_holder_is_not_asked_meanwhile_and_callers_are_told_when(self):
        """Guards against requests that wait for their deadlines at an upstream that wants none."""
        self.keep_one_engine()
        self.engines[0].turn_away = "6"
        started = time.monotonic()
        self.drive(1.5, pause=0.05)
        self.assertLess(time.monotonic() - started, 3)
        self.check_quiet_time(6)
        for status, retry_after in self.statuses[len(self.gateways):]:
            self.assertEqual(503, status)
            self.assertGreater(float(retry_after), 1)

    def test_orders_and_reports_wait_for_the_end_of_the_quiet_time(self):
        """Guards against a quiet time that the owner of orders keeps for requests only."""
        self.keep_one_engine()
        engine = self.engines[0]
        engine.turn_away = "6"
        self.drive(0.4, pause=0.05)
        engine.turn_away = None
        first, last = engine.statements[0][0], engine.statements[-1][0]
        wait_for(lambda: engine.order_log, 16)  # the owner loads the absent model m2
        self.assertEqual([], [(at - first, path) for at, path in engine.control_arrivals
                              if last + self.IN_FLIGHT < at < first + 6])

    def test_orders_go_to_another_engine_meanwhile(self):
        """Guards against a model that stays absent because one of several engines wants quiet."""
        self.platform.change(self.platform.store.remove, "servers/engine2")
        self.engines[0].turn_away = "20"
        self.drive(0.9, pause=0.03)
        self.assertTrue(self.engines[0].statements)
        wait_for(lambda: self.engines[1].order_log, 12)

    def test_report_that_is_turned_away_is_not_asked_for_meanwhile(self):
        """Guards against a quiet time that is heeded only when a request was turned away."""
        engine = self.engines[0]
        engine.turn_control_away = "3"
        wait_for(lambda: engine.control_arrivals, 12)
        time.sleep(3)
        engine.turn_control_away = None
        first = engine.control_arrivals[0][0]
        early = [at - first for at, _ in engine.control_arrivals if first + self.IN_FLIGHT < at < first + 2.9]
        self.assertLessEqual(len(early), self.MOST)

    def test_unreadable_times_are_ignored(self):
        """Guards against an upstream that is shut out by a time that means nothing."""
        self.keep_one_engine()
        for text in ("-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9", "nan"):
            self.engines[0].turn_away = text
            self.drive(0.2, pause=0.1)
        self.engines[0].turn_away = None
        time.sleep(0.5)
        self.statuses.clear()
        self.drive(0.5, pause=0.1)
        self.assertTrue(all(status == 200 for status, _ in self.statuses), self.statuses)


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=2)
