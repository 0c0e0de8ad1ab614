"""Tests that requests which share a part that crashes upstreams are recognised, through real gateways."""

import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
ENGINES = 6
RESTART_SECONDS = 0.4
SPREAD_SECONDS = 4.0    # after the fifth crash all VMs know the part
MOST_AFTERWARDS = 3     # requests with the part that may reach engines from then on
FIFTH = 5
ANSWER_DELAY = 0.8      # seconds until an engine crashes, so that a burst arrives before the first crash
BURST = 12              # requests with the part
VERDICT_LAPSES = 21.0   # seconds after which a verdict that rests on two crashes is dropped


class Fleet(unittest.TestCase):
    restart_seconds = RESTART_SECONDS

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(ENGINES)]
        for engine in self.engines:
            engine.deadly_part = "dead"
            self.platform.serve_upstream(engine, restart_after=self.restart_seconds)
        self.gateways = []
        for number, data_centre in enumerate(("dc-a", "dc-b")):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         data_centre))
        deadline = time.monotonic() + 10
        while not all(gateway.ready() for gateway in self.gateways):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)
        self.calls = []

    def tearDown(self):
        for call in self.calls:
            call.join()
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def chat(self, number, prompt, results=None):
        def call():
            try:
                status = self.gateways[number % 2].call(
                    "/chat/x", headers={"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": prompt},
                    body=prompt.encode())[0]
            except OSError:
                status = 0
            if results is not None:
                results.append(status)
        self.calls.append(threading.Thread(target=call))
        self.calls[-1].start()

    def crashes(self):
        return sorted(at for engine in self.engines for at in engine.crashes)


class DeadlyPart(Fleet):
    def test_requests_that_share_only_the_part_stop_reaching_engines(self):
        """Guards against requests that crash one engine after another because no two of them are alike."""
        self.check_that_crashes_end()

    def test_answers_that_end_in_order_before_the_first_event_count_as_broken(self):
        """Guards against crashes that stay unseen because the engine's answer had neither length nor chunks
        and its connection was closed in order."""
        for engine in self.engines:
            engine.deadly_head = True
        # Requests far apart, so that a crash has no other requests that show it.
        self.check_that_crashes_end(pause=0.5, seconds=SPREAD_SECONDS + 8)

    def check_that_crashes_end(self, pause=0.1, seconds=SPREAD_SECONDS + 4):
        sound = []
        started = time.monotonic()
        number = 0
        while time.monotonic() - started < seconds:
            number += 1
            self.chat(number, f"f0:20,dead:30,{number:x}:50")
            if time.monotonic() - started > SPREAD_SECONDS:
                self.chat(number, f"f0:20,5afe:30,{number:x}:50", sound)
            time.sleep(pause)
        for call in self.calls:
            call.join()
        crashes = self.crashes()
        arrivals = [at for engine in self.engines for at in engine.deadly_arrivals]
        if len(crashes) >= FIFTH:
            late = [at for at in arrivals if at > crashes[FIFTH - 1] + SPREAD_SECONDS]
            self.assertLessEqual(len(late), MOST_AFTERWARDS, f"{len(crashes)} crashes")
        served = sum(status == 200 for status in sound)
        self.assertGreater(served, 0.9 * len(sound), f"{len(crashes)} crashes; sound requests: {sound}")


class Bursts(Fleet):
    # Longer than an engine works on a request, so that none ends the next process.
    restart_seconds = 2.0

    def test_crashes_of_requests_that_were_withdrawn_count(self):
        """Guards against a part that is let through again after 20 s although it ended many engines, because most
        crashes came after the verdict had withdrawn the requests that caused them."""
        self.check_second_burst("dead:30")

    def test_part_behind_a_shared_one_stays_blocked(self):
        """Guards against a part that is let through again after 20 s, because the part before it was at the same
        crashes and nobody could tell which of the two had caused them."""
        self.check_second_burst("f0:20,dead:30")

    def check_second_burst(self, parts):
        for engine in self.engines:
            engine.delay = ANSWER_DELAY
        self.burst(parts)
        self.assertGreaterEqual(sum(bool(engine.crashes) for engine in self.engines), FIFTH)
        time.sleep(VERDICT_LAPSES)
        before = sum(len(engine.deadly_arrivals) for engine in self.engines)
        self.burst(parts)
        arrived = sum(len(engine.deadly_arrivals) for engine in self.engines) - before
        self.assertLessEqual(arrived, MOST_AFTERWARDS, f"{len(self.crashes())} crashes")

    def burst(self, parts):
        for number in range(BURST):
            self.chat(number, f"{parts},{os.urandom(4).hex()}:50")
            time.sleep(0.04)
        for call in self.calls:
            call.join()
        time.sleep(ANSWER_DELAY + self.restart_seconds)


if __name__ == "__main__":
    unittest.main()
