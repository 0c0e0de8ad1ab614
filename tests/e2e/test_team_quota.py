"""Tests that the limits of a team apply to the whole fleet, wherever its requests arrive and whoever leaves (P6)."""

import http.client
import json
import os
import signal
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from stream_calls import StreamCaller, at_once
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
RATE, BURST = 4000, 16000
COST = 400            # of a request of the floods
WINDOW_SECONDS = 8.0  # quota_window of the gateways' settings
OVERSHOOT = 0.1       # as the users allow
TOLERANCE = 1000      # quota_slack of the gateways' settings
FILL_SECONDS = BURST / RATE + 2.0  # buckets start empty
FLOOD_SECONDS = WINDOW_SECONDS + 3.0
LEAST_SERVED = 0.9    # of the rate, while a team asks for more
REPLACEMENT_SECONDS = 2.0
SHIFT_SECONDS = 4.0
STREAMS = 10          # that are taken up while their team is over its limit
STREAM_COST = 120


class TeamQuota(unittest.TestCase):
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
        self.gateways = []
        for number, data_centre in enumerate(("dc-a", "dc-a", "dc-b")):
            self.start_gateway(number, data_centre)
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def start_gateway(self, number, data_centre):
        self.platform.serve_store(BASE_PORT + 90 + number)
        self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                     data_centre))

    def send(self, gateway, cost):
        try:
            return gateway.call("/once/x", headers={"X-Token-Usage": f"{cost},0"})
        except (OSError, http.client.HTTPException):
            return 0, "", {}

    def flood(self, gateways, threads=3):
        """Sends many times the rate to each of the VMs; returns the times at which upstreams ran requests."""
        until = time.monotonic() + FLOOD_SECONDS

        def load(gateway):
            while time.monotonic() < until:
                self.send(gateway, COST)
                time.sleep(0.02)
        calls = [threading.Thread(target=load, args=(gateway,)) for gateway in gateways for _ in range(threads)]
        for call in calls:
            call.start()
        for call in calls:
            call.join()
        return sorted(at for desk in self.desks for at in desk.arrivals)

    def check_bound(self, arrivals, streams=0):
        """Checks the limit, with the cost of streams that were taken up in one window."""
        most = max(COST * sum(start <= at < start + WINDOW_SECONDS for at in arrivals) for start in arrivals)
        self.assertLessEqual(most + streams * STREAM_COST,
                             (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + TOLERANCE)

    def check_rate_is_served(self, arrivals):
        """Checks that the flood got the rate in its last window, in which the burst is used up."""
        served = COST * sum(at > arrivals[-1] - WINDOW_SECONDS for at in arrivals)
        self.assertGreater(served, LEAST_SERVED * RATE * WINDOW_SECONDS)

    def test_one_vm_uses_the_shares_of_others(self):
        """Guards against a request that is refused although other VMs have unused units, and against one that
        costs more than the burst."""
        time.sleep(FILL_SECONDS)
        self.assertEqual(200, self.send(self.gateways[0], BURST * 15 // 16)[0])
        status, _, headers = self.send(self.gateways[0], BURST * 9 // 8)
        self.assertEqual((429, "not-run"), (status, headers["Marigold-Outcome"]))

    def test_flood_at_all_vms_stays_within_rate_and_burst(self):
        """Guards against a team that exceeds its limits because its requests arrive at several VMs."""
        time.sleep(FILL_SECONDS)
        arrivals = self.flood(self.gateways)
        self.check_bound(arrivals)
        self.check_rate_is_served(arrivals)

    def test_traffic_that_shifts_to_one_vm_is_served(self):
        """Guards against a team that is refused after its traffic has shifted: it floods all VMs, then sends half of
        its rate to one of them, which admits it from one second after the shift."""
        time.sleep(FILL_SECONDS)
        self.flood(self.gateways)
        shifted, statuses = time.monotonic(), []
        while (now := time.monotonic()) < shifted + SHIFT_SECONDS:
            status = self.send(self.gateways[0], COST)[0]
            if now > shifted + 1:
                statuses.append(status)
            time.sleep(max(0, now + 2 * COST / RATE - time.monotonic()))
        self.assertGreater(len(statuses), 10)
        self.assertEqual([], [status for status in statuses if status != 200])

    def test_flood_at_one_vm_gets_the_whole_rate(self):
        """Guards against a VM that serves only its own share of a team's rate."""
        time.sleep(FILL_SECONDS)
        arrivals = self.flood(self.gateways[:1], threads=6)
        self.check_bound(arrivals)
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
                statuses.append(self.send(gateway, BURST)[0])
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
        time.sleep(FILL_SECONDS)
        callers = [StreamCaller(number) for number in range(STREAMS)]
        at_once([lambda caller=caller: caller.attempt(self.gateways[0], leave_after=3) for caller in callers])
        self.assertEqual([[200]] * STREAMS, [caller.statuses for caller in callers])
        taken_up = threading.Timer(FLOOD_SECONDS - 2, lambda: at_once(
            [lambda caller=caller: caller.attempt(self.gateways[0]) for caller in callers], STREAMS))
        taken_up.start()
        arrivals = self.flood(self.gateways)
        taken_up.join()
        self.assertEqual([[200, 200]] * STREAMS, [caller.statuses for caller in callers])
        self.assertEqual([None] * STREAMS, [caller.fault() for caller in callers])
        self.check_bound(arrivals, STREAMS)

    def test_planned_stop_frees_the_share(self):
        """Guards against a share that stays reserved for a VM that has left as planned."""
        stopped = self.gateways[2]
        stopped.child.send_signal(signal.SIGTERM)
        self.assertEqual(0, stopped.child.wait(timeout=9))
        time.sleep(1)
        arrivals = self.flood(self.gateways[:1], threads=6)
        self.check_bound(arrivals)
        self.check_rate_is_served(arrivals)

    def test_replacement_serves_soon(self):
        """Guards against a new VM that does not serve until it has a share of its own."""
        self.gateways[0].stop()
        started = time.monotonic()
        self.start_gateway(3, "dc-a")
        wait_for(lambda: self.send(self.gateways[3], 30)[0] == 200)
        self.assertLess(time.monotonic() - started, REPLACEMENT_SECONDS)


if __name__ == "__main__":
    unittest.main()
