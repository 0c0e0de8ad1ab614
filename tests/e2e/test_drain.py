"""Tests that a planned stop of an entry VM interrupts no request (P11)."""

import signal
import threading
import time
import unittest

from deployment import Deployment, chat, wait_until

VM = "entry-ernakulam-a-1"


class Drain(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi").start()
        self.addCleanup(self.fleet.stop)
        self.answers = []
        # Far above the load of the test, so that no limit refuses a request.
        code, output, errors = self.fleet.publish(
            self.fleet.manifest(rate=6_000_000, burst=6_000_000))
        self.assertEqual(code, 0, output + errors)

    def chat(self, label, tokens, stream):
        try:
            answer = chat(self.fleet.port(VM), self.fleet.crew_key, tokens, stream)
            self.answers.append((label, answer.status, answer.body))
        except OSError as error:
            self.answers.append((label, 0, repr(error)))

    def start(self, count, label, tokens, stream):
        threads = [threading.Thread(target=self.chat, args=(label, tokens, stream))
                   for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def test_open_requests_end_whole_and_new_ones_are_served_during_the_notice(self):
        """Guards against streams that are cut by a stop, and against resets of connections in
        the accept queue while the load balancer still sends new ones."""
        threads = self.start(8, "stream", 300, True) + self.start(8, "chat", 300, False)
        time.sleep(0.4)
        process = self.fleet.processes[VM]
        process.signal(signal.SIGTERM)
        wait_until(lambda: not self.fleet.ready(VM), 1, 0.01)
        # The drain notice of the deployment's settings is 300 ms.
        threads += self.start(4, "notice", 3, False)
        threads += self.start(4, "notice", 100, True)
        for thread in threads:
            thread.join(20)
        self.assertEqual(process.child.wait(10), 0)
        self.assertEqual(len(self.answers), 24)
        for label, status, body in self.answers:
            self.assertEqual(status, 200, (label, body))
            if label == "stream":
                self.assertEqual(body.count("data: "), 301)
                self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_others_serve_without_a_gap(self):
        """Guards against failed or refused requests at other VMs when one stops as planned."""
        stop = time.monotonic() + 2.5
        failures = []

        def load():
            others = [name for name in self.fleet.entries if name != VM]
            number = 0
            while time.monotonic() < stop:
                name = others[number % len(others)]
                answer = chat(self.fleet.port(name), self.fleet.crew_key, 2)
                if answer.status != 200:
                    failures.append((name, answer.body))
                number += 1

        threads = [threading.Thread(target=load) for _ in range(3)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.assertEqual(self.fleet.processes[VM].terminate(), 0)
        for thread in threads:
            thread.join(20)
        self.assertEqual(failures, [])


if __name__ == "__main__":
    unittest.main()
