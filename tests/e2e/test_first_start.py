"""Tests VMs that start for the first time while the store is away: they refuse until they know their configuration
(P6, P12)."""

import http.client
import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
STORE_PORTS = BASE_PORT + 90
NEW_VMS = 5             # their calls to the store are at different points of their backoff
HOLD_SECONDS = 1.0      # a new process holds requests for so long, as its configuration usually comes within it
AT_ONCE_SECONDS = 0.25  # for an answer on loopback
OUTAGE_SECONDS = 4.0
RETURN_SECONDS = 1.0    # from the return of the store until such a VM serves


class NewVm:
    """A VM that starts first, and what callers and the load balancer see of it."""

    def __init__(self, number, folder):
        self.started = time.monotonic()
        self.gateway = Gateway(number, folder, BASE_PORT + 10 * number, STORE_PORTS + number)
        self.answers = []  # (sent at, ended at, status, outcome)
        self.ready_at = []
        self.unknown_when_ready = 0  # times that it was ready before it had logged a configuration
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=run) for run in (self.ask, self.call)]
        for thread in self.threads:
            thread.start()

    def ask(self):
        """Asks whether it is ready, as the load balancer does but more often."""
        while not self.ended.wait(0.02):
            if self.gateway.ready():
                self.ready_at.append(time.monotonic())
                self.unknown_when_ready += "configuration in force" not in self.gateway.log()

    def call(self):
        while not self.ended.wait(0.02):
            sent = time.monotonic()
            try:
                status, _, headers = self.gateway.call("/once/x")
            except ConnectionRefusedError:
                continue  # The process is not listening yet.
            except (OSError, http.client.HTTPException) as error:
                status, headers = repr(error), {}
            self.answers.append((sent, time.monotonic(), status, headers.get("Marigold-Outcome")))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.gateway.stop()

    def served_after(self, moment):
        return min((end - moment for _, end, status, _ in self.answers if status == 200), default=None)

    def ready_after(self, moment):
        return min((at - moment for at in self.ready_at), default=None)


class FirstStart(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.desk = Upstream("desk", BASE_PORT + 60, "desk")
        self.platform.serve_upstream(self.desk)
        self.ports = set(range(STORE_PORTS, STORE_PORTS + NEW_VMS + 1))
        for port in self.ports:
            self.platform.serve_store(port)
        self.serving = Gateway(0, self.folder.name, BASE_PORT, STORE_PORTS)
        wait_for(self.serving.ready)
        self.new = []

    def tearDown(self):
        for vm in self.new:
            vm.stop()
        self.serving.stop()
        self.platform.close()
        self.folder.cleanup()

    def start_without_the_store(self, away):
        """Starts VMs while the store is away; returns when it came back.
        @param away the ports that are away, of which the stand-in knows two kinds"""
        away.update(self.ports)
        for number in range(1, NEW_VMS + 1):
            self.new.append(NewVm(number, self.folder.name))
            time.sleep(0.13)
        time.sleep(OUTAGE_SECONDS)
        away.clear()
        returned = time.monotonic()
        time.sleep(RETURN_SECONDS + 1.5)
        for vm in self.new:
            vm.stop()
            print("%s: served %s, ready %s s after the return" %
                  (vm.gateway.name, vm.served_after(returned), vm.ready_after(returned)))
        return returned

    def check(self, away):
        returned = self.start_without_the_store(away)
        for vm in self.new:
            early = [answer for answer in vm.answers if answer[1] < returned]
            self.assertGreater(len(early), 20)
            self.assertEqual({(503, "not-run")}, {answer[2:] for answer in early})
            late = [end - max(sent, vm.started + HOLD_SECONDS) for sent, end, _, _ in early]
            self.assertLess(max(late), AT_ONCE_SECONDS)
            self.assertEqual([], [at for at in vm.ready_at if at < returned])
            self.assertEqual(0, vm.unknown_when_ready)
            self.assertLess(vm.served_after(returned), RETURN_SECONDS)
            self.assertLess(vm.ready_after(returned), RETURN_SECONDS)

    def test_store_that_closes_connections(self):
        """Guards against a VM that is ready without a configuration, that keeps callers waiting for one, or that
        serves late once the store is back."""
        self.check(self.platform.store.severed_ports)

    def test_store_that_answers_nothing(self):
        """Guards against the same behind a store that accepts calls and is silent."""
        self.check(self.platform.store.unanswered_ports)

    def test_store_that_is_back_without_a_configuration(self):
        """Guards against a VM that is ready because it has reached the store, which has no configuration yet, nor has
        any peer."""
        self.serving.stop()
        self.platform.change(self.platform.store.remove, "op/config")
        self.new.append(NewVm(1, self.folder.name))
        time.sleep(HOLD_SECONDS + 1)
        published = time.monotonic()
        self.platform.publish(2, ["k1"], ROUTES)
        time.sleep(RETURN_SECONDS + 0.5)
        vm = self.new[0]
        vm.stop()
        self.assertEqual([], [at for at in vm.ready_at if at < published])
        self.assertEqual({(503, "not-run")}, {answer[2:] for answer in vm.answers if answer[1] < published})
        self.assertLess(vm.ready_after(published), RETURN_SECONDS)


if __name__ == "__main__":
    unittest.main()
