"""Tests that upstreams get no more requests than the limit that they name, through real gateways."""

import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
ENGINES = 3
CONTACT_SECONDS = 4.0  # after the first naming
WINDOW_SECONDS = 4.0
FACTOR, EXTRA = 1.5, 5  # of the limit in a window, as the users allow


class NamedLimit(unittest.TestCase):
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

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def drive(self, seconds, pause):
        """Sends requests to all gateways in turn."""
        calls = []

        def call(number):
            status, _, headers = self.gateways[number % len(self.gateways)].call(
                "/chat/x", headers={"X-Model-Name": "m1", "X-Token-Usage": "100,20",
                                    "X-Prompt-Prefix": f"a:50,{number:x}:50"})
            self.statuses.append((status, headers.get("Retry-After")))
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            calls.append(threading.Thread(target=call, args=(len(calls),)))
            calls[-1].start()
            time.sleep(pause)
        for thread in calls:
            thread.join()

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
        for number in (1, 2):
            self.platform.change(self.platform.store.remove, f"servers/engine{number}")
        time.sleep(0.5)
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
        for number in (1, 2):
            self.platform.change(self.platform.store.remove, f"servers/engine{number}")
        time.sleep(0.5)
        self.engines[0].limit = 0.5
        self.drive(2, pause=0.1)
        self.engines[0].limit = None
        self.drive(5, pause=0.1)  # the next request that the limit allows shows that it is gone
        self.statuses.clear()
        self.drive(2, pause=0.1)
        self.assertTrue(all(status == 200 for status, _ in self.statuses), self.statuses)


if __name__ == "__main__":
    unittest.main()
