"""Tests that the limits of a team apply to the whole fleet, wherever its requests arrive and whoever leaves (P6)."""

import signal
import threading
import time

import side_by_side
from fleet_case import BASE_PORT, QuotaCase
from gateway_process import wait_for
from stream_calls import StreamCaller, at_once
from users_platform import ROUTES, Upstream

LEAST_SERVED = 0.9    # of the rate, while a team asks for more
REPLACEMENT_SECONDS = 2.0
SHIFT_SECONDS = 4.0
STREAMS = 10          # that are taken up while their team is over its limit
STREAM_COST = 120


class TeamQuota(QuotaCase):
    BURST = 16000
    COST = 400
    FILL_SECONDS = BURST / QuotaCase.RATE + 2.0  # buckets start empty
    FLOOD_SECONDS = QuotaCase.WINDOW_SECONDS + 3.0

    def flood(self, gateways, threads=3):
        """Sends many times the rate to each of the VMs; returns the times at which upstreams ran requests."""
        until = time.monotonic() + self.FLOOD_SECONDS

        def load(gateway):
            while time.monotonic() < until:
                self.send(gateway, self.COST)
                time.sleep(0.02)
        calls = [threading.Thread(target=load, args=(gateway,)) for gateway in gateways for _ in range(threads)]
        for call in calls:
            call.start()
        for call in calls:
            call.join()
        return self.arrivals()

    def check_bound(self, streams=0):
        """Checks the limit, with the cost of streams that were taken up in one window."""
        self.check_limit(self.most_used() + streams * STREAM_COST)

    def check_rate_is_served(self, arrivals):
        """Checks that the flood got the rate in its last window, in which the burst is used up."""
        served = self.COST * sum(at > arrivals[-1] - self.WINDOW_SECONDS for at in arrivals)
        self.assertGreater(served, LEAST_SERVED * self.RATE * self.WINDOW_SECONDS)

    def test_one_vm_uses_the_shares_of_others(self):
        """Guards against a request that is refused although other VMs have unused units, and against one that
        costs more than the burst."""
        time.sleep(self.FILL_SECONDS)
        self.assertEqual(200, self.send(self.gateways[0], self.BURST * 15 // 16)[0])
        status, _, headers = self.send(self.gateways[0], self.BURST * 9 // 8)
        self.assertEqual((429, "not-run"), (status, headers["Marigold-Outcome"]))

    def test_flood_at_all_vms_stays_within_rate_and_burst(self):
        """Guards against a team that exceeds its limits because its requests arrive at several VMs."""
        time.sleep(self.FILL_SECONDS)
        arrivals = self.flood(self.gateways)
        self.check_bound()
        self.check_rate_is_served(arrivals)

    def test_traffic_that_shifts_to_one_vm_is_served(self):
        """Guards against a team that is refused after its traffic has shifted: it floods all VMs, then sends half of
        its rate to one of them, which admits it from one second after the shift."""
        time.sleep(self.FILL_SECONDS)
        self.flood(self.gateways)
        shifted, statuses = time.monotonic(), []
        while (now := time.monotonic()) < shifted + SHIFT_SECONDS:
            status = self.send(self.gateways[0], self.COST)[0]
            if now > shifted + 1:
                statuses.append(status)
            time.sleep(max(0, now + 2 * self.COST / self.RATE - time.monotonic()))
        self.assertGreater(len(statuses), 10)
        self.assertEqual([], [status for status in statuses if status != 200])

    def test_flood_at_one_vm_gets_the_whole_rate(self):
        """Guards against a VM that serves only its own share of a team's rate."""
        time.sleep(self.FILL_SECONDS)
        arrivals = self.flood(self.gateways[:1], threads=6)
        self.check_bound()
        self.check_rate_is_served(arrivals)

    def test_team_that_leaves_while_its_request_is_held_is_refused(self):
        """Guards against a request that is admitted without a limit, because a new process holds it for its quota
        while a new configuration drops its team."""
        gateway, statuses = self.gateways[0], []
        configured = gateway.log().count("configuration in force")
        gateway.stop()
        gateway.start()

        def call():
            while not any(statuses):  # The process is not listening yet.
                statuses.append(self.send(gateway, self.BURST)[0])
        caller = threading.Thread(target=call)
        caller.start()
        wait_for(lambda: gateway.log().count("configuration in force") > configured, 1)
        self.platform.publish(2, ["k2"], ROUTES)
        caller.join()
        self.assertIn("held by a new process", gateway.log())
        self.assertEqual(401, statuses[-1])

    def test_streams_are_taken_up_while_new_requests_use_up_the_quota(self):
        """Guards against streams that are lost because their callers come back beside more new requests than the limit
        of their team allows."""
        engine = Upstream("engine", BASE_PORT + 62, "llm", ["m1"])
        engine.install("v1")
        engine.slots, engine.event_seconds = 2 * STREAMS, 0.04
        self.platform.serve_upstream(engine)
        time.sleep(self.FILL_SECONDS)
        callers = [StreamCaller(number) for number in range(STREAMS)]
        at_once([lambda caller=caller: caller.attempt(self.gateways[0], leave_after=3) for caller in callers])
        self.assertEqual([[200]] * STREAMS, [caller.statuses for caller in callers])
        taken_up = threading.Timer(self.FLOOD_SECONDS - 2, lambda: at_once(
            [lambda caller=caller: caller.attempt(self.gateways[0]) for caller in callers], STREAMS))
        taken_up.start()
        arrivals = self.flood(self.gateways)
        taken_up.join()
        self.assertEqual([[200, 200]] * STREAMS, [caller.statuses for caller in callers])
        self.assertEqual([None] * STREAMS, [caller.fault() for caller in callers])
        self.check_bound(STREAMS)

    def test_planned_stop_frees_the_share(self):
        """Guards against a share that stays reserved for a VM that has left as planned."""
        stopped = self.gateways[2]
        stopped.child.send_signal(signal.SIGTERM)
        self.assertEqual(0, stopped.child.wait(timeout=9))
        time.sleep(1)
        arrivals = self.flood(self.gateways[:1], threads=6)
        self.check_bound()
        self.check_rate_is_served(arrivals)

    def test_replacement_serves_soon(self):
        """Guards against a new VM that does not serve until it has a share of its own."""
        self.gateways[0].stop()
        started = time.monotonic()
        self.start_gateway("dc-a")
        wait_for(lambda: self.send(self.gateways[3], 30)[0] == 200)
        self.assertLess(time.monotonic() - started, REPLACEMENT_SECONDS)


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=3)
