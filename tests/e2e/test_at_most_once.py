"""Tests that a request which may run once reaches one upstream once, whatever happens to its caller, its VM
or the store. Each attempt of a caller is a request of its own."""

import os
import signal
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
RUN_SECONDS = 0.8  # of a booking


class AtMostOnce(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store_ports = [BASE_PORT + 90, BASE_PORT + 91]
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.platform.publish(1, ["k1"], ROUTES)
        for desk in self.desks:
            desk.delay = RUN_SECONDS
            self.platform.serve_upstream(desk)
        self.gateways = []
        for number, port in enumerate(self.store_ports):
            self.platform.serve_store(port)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, port))
        for gateway in self.gateways:
            wait_for(gateway.ready)

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def runs(self):
        return [headers["x-request-id"] for desk in self.desks for headers in desk.seen]

    def begin_booking(self):
        """Sends a booking to the first VM and returns its connection once it runs."""
        connection = self.gateways[0].open_call("/once/x", {})
        wait_for(self.runs)
        return connection

    def check_one_run(self):
        """Waits longer than a second send could take."""
        time.sleep(2 * RUN_SECONDS + 0.5)
        self.assertEqual(1, len(self.runs()))

    def test_caller_that_disconnects(self):
        """Guards against a booking that is sent again, or cancelled half done, because its caller has left."""
        self.begin_booking().close()
        self.check_one_run()
        self.assertIn("the call continues", self.gateways[0].log())

    def test_vm_killed_while_it_waits_for_the_answer(self):
        """Guards against a booking that another VM sends again after the one that sent it was killed."""
        connection = self.begin_booking()
        self.gateways[0].stop()
        self.check_one_run()
        connection.close()
        self.assertEqual(200, self.gateways[1].call("/once/y")[0])
        self.assertEqual(2, len(self.runs()))

    def test_restarted_vm_sends_nothing_again(self):
        """Guards against a booking that the next process of a killed VM sends again."""
        connection = self.begin_booking()
        self.gateways[0].stop()
        self.gateways[0].start()
        wait_for(self.gateways[0].ready)
        self.check_one_run()
        connection.close()

    def test_vm_paused_while_the_booking_runs(self):
        """Guards against a booking that is sent again, or refused as not run, because its VM was paused beyond
        the end of its run."""
        connection = self.begin_booking()
        self.gateways[0].child.send_signal(signal.SIGSTOP)
        time.sleep(RUN_SECONDS + 1)
        self.gateways[0].child.send_signal(signal.SIGCONT)
        answer = connection.getresponse()
        self.assertEqual(200, answer.status)
        answer.read()
        self.check_one_run()

    def test_bookings_need_no_store(self):
        """Guards against bookings that are refused while the store is away, though nothing of them is kept there."""
        for port in self.store_ports:
            self.platform.store.severed_ports.add(port)
        time.sleep(1.5)
        for gateway in self.gateways:
            self.assertEqual(200, gateway.call("/once/x")[0])
        self.assertEqual(2, len(self.runs()))

    def test_bookings_at_all_vms_at_once_run_once_each(self):
        """Guards against a booking that runs at two upstreams while many are under way."""
        statuses = []
        threads = [threading.Thread(target=lambda g=gateway: statuses.append(g.call("/once/x")[0]))
                   for gateway in self.gateways * 6]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(self.runs()), len(set(self.runs())))
        self.assertEqual(statuses.count(200), len(self.runs()))


if __name__ == "__main__":
    unittest.main()
