"""Tests that the limits of a team hold beside faults, and that its requests are served again after them (P6)."""

import signal
import threading
import time

import side_by_side
from fleet_case import BASE_PORT, QuotaCase

FILL_SECONDS = QuotaCase.BURST / QuotaCase.RATE + 1.0  # buckets start empty
FLOOD_SECONDS = QuotaCase.WINDOW_SECONDS + 1.0
FLOOD_PAUSE = 0.02    # of one of the threads that flood a VM
FLOOD_THREADS = 2     # at each VM; together some five times the rate
FAULT_BEGINS, FAULT_SECONDS = 0.7, 2.5  # the second is longer than the time after which a silent peer counts as cut off
SETTLE_SECONDS = 2.0
SHARE_REQUESTS = 10
SHIFT_SECONDS = 3.0
SHIFT_GRACE = 1.0
SHIFT_REFUSALS = 0.01  # part of the requests
STORE_DELAY = 0.8


class QuotaFaults(QuotaCase):
    LINKED = True

    def setUp(self):
        super().setUp()
        time.sleep(FILL_SECONDS)
        self.assertTrue(any(self.links.passed()))

    def status(self, gateway):
        return self.send(gateway, self.COST)[0]

    def flood(self, gateway):
        while time.monotonic() < self.until:
            self.status(gateway)
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
        most = self.most_used()
        self.assertGreater(most, self.RATE * self.WINDOW_SECONDS / 2)  # The flood has reached the limit.
        self.check_limit(most)

    def check_share(self):
        """Checks that half of a VM's share of the rate is admitted."""
        statuses = []
        for _ in range(SHARE_REQUESTS):
            statuses.append(self.status(self.gateways[0]))
            time.sleep(2 * len(self.gateways) * self.COST / self.RATE)
        self.assertEqual([200] * SHARE_REQUESTS, statuses)

    def check_shift(self):
        """Checks that half of the rate, sent to one VM only, is admitted from one second after the shift."""
        began, statuses = time.monotonic(), []
        while (sent := time.monotonic()) < began + SHIFT_SECONDS:
            status = self.status(self.gateways[-1])
            if sent > began + SHIFT_GRACE:
                statuses.append(status)
            time.sleep(max(0, sent + 2 * self.COST / self.RATE - time.monotonic()))
        self.assertGreater(len(statuses), 10)
        self.assertLessEqual(sum(status != 200 for status in statuses), SHIFT_REFUSALS * len(statuses))

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
        self.play(lambda: lose(len(self.gateways)), lambda: lose(0))


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=5)
