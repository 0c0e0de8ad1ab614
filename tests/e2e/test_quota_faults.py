"""Tests that the limits of a team hold beside faults, and that its requests are served again after them (P6)."""

import http.client
import json
import os
import signal
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from peer_links import PeerLinks
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
DATA_CENTRES = ("dc-a", "dc-a", "dc-b")  # of the VMs
VMS = len(DATA_CENTRES)
RATE, BURST = 4000, 4000
COST = 100            # of each request
WINDOW_SECONDS = 8.0  # quota_window of the gateways' settings
OVERSHOOT = 0.1       # as the users allow
TOLERANCE = 1000      # quota_slack of the gateways' settings
FILL_SECONDS = BURST / RATE + 1.0  # buckets start empty
FLOOD_SECONDS = WINDOW_SECONDS + 1.0
FLOOD_PAUSE = 0.02    # of one of the threads that flood a VM
FLOOD_THREADS = 2     # at each VM; together some five times the rate
FAULT_BEGINS, FAULT_SECONDS = 0.7, 2.5  # the second is longer than the time after which a silent peer counts as cut off
SETTLE_SECONDS = 2.0
SHARE_REQUESTS = 10
SHIFT_SECONDS = 3.0
SHIFT_GRACE = 1.0
SHIFT_REFUSALS = 0.01  # part of the requests
STORE_DELAY = 0.8


class QuotaFaults(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        config = json.loads(self.platform.configuration(1, ["k1"], ROUTES))
        config["tenants"][0].update({"rate_per_s": RATE, "burst": BURST})
        self.platform.change(self.platform.store.put, "op/config", json.dumps(config).encode())
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        for desk in self.desks:
            desk.slots = 100
            self.platform.serve_upstream(desk)
        self.store_ports = [BASE_PORT + 90 + number for number in range(VMS)]
        for port in self.store_ports:
            self.platform.serve_store(port)
        self.links = PeerLinks(self.platform, {f"vm{n}": port for n, port in enumerate(self.store_ports)},
                               range(BASE_PORT + 70, BASE_PORT + 80))
        self.gateways = [Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_ports[number], data_centre)
                         for number, data_centre in enumerate(DATA_CENTRES)]
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        time.sleep(FILL_SECONDS)
        self.assertTrue(any(self.links.passed()))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.change(self.links.close)
        self.platform.close()
        self.folder.cleanup()

    def send(self, gateway, cost=COST):
        try:
            return gateway.call("/once/x", headers={"X-Token-Usage": f"{cost},0"})[0]
        except (OSError, http.client.HTTPException):
            return 0  # The VM is dead or frozen.

    def flood(self, gateway):
        while time.monotonic() < self.until:
            self.send(gateway)
            time.sleep(FLOOD_PAUSE)

    def play(self, inject, heal):
        """Floods all VMs beside a fault, then checks the limit, the share of a VM and traffic that shifts to one."""
        self.until = time.monotonic() + FLOOD_SECONDS
        floods = [threading.Thread(target=self.flood, args=(gateway,))
                  for gateway in self.gateways for _ in range(FLOOD_THREADS)]
        for flood in floods:
            flood.start()
        time.sleep(FAULT_BEGINS)
        inject()
        time.sleep(FAULT_SECONDS)
        heal()
        for flood in floods:
            flood.join()
        self.check_bound()
        time.sleep(SETTLE_SECONDS)
        self.check_share()
        self.check_shift()
        self.check_bound()

    def check_bound(self):
        arrivals = sorted(at for desk in self.desks for at in desk.arrivals)
        most = max(COST * sum(start <= at < start + WINDOW_SECONDS for at in arrivals) for start in arrivals)
        self.assertGreater(most, RATE * WINDOW_SECONDS / 2)  # The flood has reached the limit.
        self.assertLessEqual(most, (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + TOLERANCE)

    def check_share(self):
        """Checks that half of a VM's share of the rate is admitted."""
        statuses = []
        for _ in range(SHARE_REQUESTS):
            statuses.append(self.send(self.gateways[0]))
            time.sleep(2 * VMS * COST / RATE)
        self.assertEqual([200] * SHARE_REQUESTS, statuses)

    def check_shift(self):
        """Checks that half of the rate, sent to one VM only, is admitted from one second after the shift."""
        began, statuses = time.monotonic(), []
        while (sent := time.monotonic()) < began + SHIFT_SECONDS:
            status = self.send(self.gateways[-1])
            if sent > began + SHIFT_GRACE:
                statuses.append(status)
            time.sleep(max(0, sent + 2 * COST / RATE - time.monotonic()))
        self.assertGreater(len(statuses), 10)
        self.assertLessEqual(sum(status != 200 for status in statuses), SHIFT_REFUSALS * len(statuses))

    def cut(self, numbers):
        """Cuts VMs from the others and from the store."""
        self.links.cut([self.gateways[number].name for number in numbers])
        self.platform.store.severed_ports.update(self.store_ports[number] for number in numbers)

    def heal_cuts(self):
        self.links.heal()
        self.platform.store.severed_ports.clear()

    def freeze(self, number):
        self.gateways[number].child.send_signal(signal.SIGSTOP)

    def thaw(self, number):
        self.gateways[number].child.send_signal(signal.SIGCONT)

    def test_vm_is_killed_and_restarted(self):
        """Guards against a team that exceeds its limit, or is refused below it, because a VM has lost its counts."""
        self.play(self.gateways[1].stop, self.gateways[1].start)

    def test_vm_is_frozen(self):
        """Guards against a VM that wakes up and admits what it earned while it was frozen."""
        self.play(lambda: self.freeze(1), lambda: self.thaw(1))

    def test_vm_is_cut_off(self):
        """Guards against a VM without reports of the others that admits their shares too."""
        self.play(lambda: self.cut([1]), self.heal_cuts)

    def test_data_centre_is_cut_off(self):
        """Guards against two sides of a cut that admit the whole rate each."""
        self.play(lambda: self.cut([0, 1]), self.heal_cuts)

    def test_vm_is_frozen_while_its_data_centre_is_cut_off(self):
        """Guards against a VM that wakes up with reports from before the cut."""
        def inject():
            self.cut([0, 1])
            self.freeze(1)

        def heal():
            self.thaw(1)
            self.heal_cuts()
        self.play(inject, heal)

    def test_store_is_down(self):
        """Guards against limits that need the store for each request."""
        self.play(lambda: self.platform.store.severed_ports.update(self.store_ports),
                  self.platform.store.severed_ports.clear)

    def test_vm_is_killed_while_the_store_is_down(self):
        """Guards against limits that are exceeded, or shares that stay lost, behind a kill that nobody could record."""
        def inject():
            self.platform.store.severed_ports.update(self.store_ports)
            self.gateways[1].stop()

        def heal():
            self.gateways[1].start()
            self.platform.store.severed_ports.clear()
        self.play(inject, heal)

    def test_store_is_slow(self):
        """Guards against limits that wait for the store."""
        def delay(seconds):
            self.platform.store.answer_delay = seconds
        self.play(lambda: delay(STORE_DELAY), lambda: delay(0))

    def test_answers_of_the_store_are_lost(self):
        """Guards against a VM whose registration is in doubt and that leaves the limits because of it."""
        def lose(answers):
            self.platform.store.lost_answers = answers
        self.play(lambda: lose(VMS), lambda: lose(0))


if __name__ == "__main__":
    unittest.main()
