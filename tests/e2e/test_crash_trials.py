"""Tests that a sound part of prompts that was convicted by chance is cleared soon, through real gateways."""

import os
import tempfile
import time
import unittest

from gateway_process import Gateway, wait_for
from prompt_calls import PromptCalls
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27300))
ENGINES = 6
RUN_SECONDS = 0.8
RESTART_SECONDS = 0.4
CONTACT_SECONDS = 4.0
MOST_AFTERWARDS = 3  # requests with the deadly part that may reach engines
SOUND = "f0:20,5afe:30"
DEADLY = "f0:20,dead:30"


class CrashTrialsTest(PromptCalls):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.serve_store(BASE_PORT + 90)
        self.platform.publish(1, ["k1"], ROUTES)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(ENGINES)]
        for engine in self.engines:
            engine.deadly_part = "dead"
            self.platform.serve_upstream(engine, restart_after=RESTART_SECONDS)
        self.gateways = [Gateway(n, self.folder.name, BASE_PORT + 10 * n, BASE_PORT + 90, data_centre)
                         for n, data_centre in enumerate(("dc-a", "dc-b"))]
        self.calls = []
        self.number = 0
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def test_sound_part_of_six_crashes_at_one_moment_is_served_again(self):
        """Guards against a part that is refused although only requests with it were running when engines crashed."""
        first = []
        for _ in range(4):
            self.send(SOUND, first)
        self.join_calls()
        self.assertEqual([200] * 4, first)
        for engine in self.engines:
            engine.delay = RUN_SECONDS
        time.sleep(0.5)
        for _ in range(4 * ENGINES):
            self.send(SOUND, [])
        time.sleep(0.2)
        for _ in range(ENGINES - 1):
            self.send(DEADLY, [])
        # At least one engine crashes for another reason, with sound requests only.
        time.sleep(RUN_SECONDS - 0.3)
        for engine in self.engines:
            if not engine.deadly_arrivals:
                self.platform.change(engine.crash)
        crashed = time.monotonic()
        time.sleep(2 * RUN_SECONDS)
        for engine in self.engines:
            engine.delay = 0.01
        self.assertEqual(ENGINES, sum(bool(engine.crashes) for engine in self.engines))
        late_sound, deadly_before = [], None
        while time.monotonic() < crashed + 2 * CONTACT_SECONDS + 4:
            now = time.monotonic()
            if deadly_before is None and now > crashed + CONTACT_SECONDS:
                deadly_before = sum(len(engine.deadly_arrivals) for engine in self.engines)
            self.send(SOUND, late_sound if now > crashed + 2 * CONTACT_SECONDS else [])
            self.send(DEADLY, [])
            time.sleep(0.1)
        self.join_calls()
        self.assertGreater(late_sound.count(200), len(late_sound) / 2, late_sound)
        deadly_after = sum(len(engine.deadly_arrivals) for engine in self.engines)
        self.assertLessEqual(deadly_after - deadly_before, MOST_AFTERWARDS)


if __name__ == "__main__":
    unittest.main()
