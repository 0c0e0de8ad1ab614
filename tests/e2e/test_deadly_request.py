"""Tests that a request which crashes the engines that run it crashes few of them, and that nobody else pays for it."""

import http.client
import json
import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
ENGINES = 6
RESTART_SECONDS = 0.4
SENDS = 12
MOST_CRASHES = 3      # the users count from the third crash on
CONTACT_SECONDS = 4.0  # within which all VMs know of it
MOST_LATER = 3        # requests that may reach engines from then on
LONGEST_SECONDS = 3.0  # of a sound request meanwhile


class DeadlyRequest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(ENGINES)]
        for engine in self.engines:
            engine.deadly_part = "dead"
            self.platform.serve_upstream(engine, restart_after=RESTART_SECONDS)
        self.gateways = []
        for number, data_centre in enumerate(("dc-a", "dc-a", "dc-b")):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         data_centre))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def chat(self, number, prompt):
        """Returns the status of the answer, or "broken" if it is not whole, and its outcome."""
        try:
            status, body, headers = self.gateways[number % len(self.gateways)].call(
                "/chat/x", headers={"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": prompt},
                body=prompt.encode())
        except (OSError, http.client.HTTPException):
            return "broken", None
        whole = [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")] == list(range(1, 11))
        return (status if whole or status != 200 else "broken"), headers.get("Marigold-Outcome")

    def send_deadly(self, count=1):
        """Sends the same request that crashes engines to the VMs in turn; returns the ends."""
        ends = []
        for number in range(count):
            ends.append(self.chat(number, "f0:20,dead:30"))
            time.sleep(0.2)
        return ends

    def crashes(self):
        return sum(len(engine.crashes) for engine in self.engines)

    def test_few_engines_crash_and_others_are_served_meanwhile(self):
        """Guards against a poison request that is retried on every engine and crashes them all, and against others
        that are refused, cut off or kept waiting because of it."""
        stop = threading.Event()
        others = [[] for _ in self.gateways]

        def load(number):
            while not stop.is_set():
                sent = time.monotonic()
                end = self.chat(number, f"f0:20,{number:x}{len(others[number]):06x}:50")
                others[number].append((end[0], time.monotonic() - sent))
        threads = [threading.Thread(target=load, args=(number,)) for number in range(len(self.gateways))]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        ends = self.send_deadly(SENDS)
        time.sleep(CONTACT_SECONDS)
        crashed = self.crashes()
        late = self.send_deadly(SENDS)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertLessEqual(crashed, MOST_CRASHES, ends)
        self.assertLessEqual(self.crashes() - crashed, MOST_LATER, late)
        self.assertEqual({(503, "not-run")}, set(ends[MOST_CRASHES:] + late))
        self.assertGreater(min(map(len, others)), 20)
        self.assertEqual([], [end for ends in others for end in ends if end[0] != 200])
        self.assertLess(max(seconds for ends in others for _, seconds in ends), LONGEST_SECONDS)

    def test_it_is_refused_as_such_whatever_its_team_has_left(self):
        """Guards against a poison request that is told to come back when its team has tokens."""
        self.send_deadly(MOST_CRASHES)
        poor = json.loads(self.platform.configuration(2, ["k1"], ROUTES))
        poor["tenants"][0].update({"rate_per_s": 1, "burst": 1})
        self.platform.change(self.platform.store.put, "op/config", json.dumps(poor).encode())
        wait_for(lambda: self.chat(0, "beef:20,5afe:30")[0] == 429, 3)
        self.assertEqual([(503, "not-run")] * 3, self.send_deadly(3))

    def test_restarted_vm_knows_it(self):
        """Guards against a restarted process that runs a request that its peers know to be poison."""
        self.send_deadly(MOST_CRASHES)
        time.sleep(CONTACT_SECONDS)
        crashed = self.crashes()
        self.gateways[0].stop()
        self.gateways[0].start()
        wait_for(self.gateways[0].ready)
        self.assertEqual([(503, "not-run")], self.send_deadly())
        self.assertEqual(crashed, self.crashes())

    def test_answers_that_a_live_engine_breaks_off_make_nothing_suspect(self):
        """Guards against a broken answer of a live engine that is counted as a crash: the same request is served
        every time, though one engine breaks it off inside the stream, and later before it."""
        for fault in ({"break_after": 4}, {"break_after": None, "drop_requests": True}):
            vars(self.engines[0]).update(fault)
            self.assertEqual([200] * SENDS, [self.chat(number, "f0:20,5afe:30")[0] for number in range(SENDS)])
        self.assertTrue(self.engines[0].seen)
        self.assertFalse(any("blocked after it crashed" in gateway.log() for gateway in self.gateways))


if __name__ == "__main__":
    unittest.main()
