"""Tests that a team which sends more than the engines can serve doesn't starve another one."""

import json
import threading
import time
import unittest

from fleet_case import BASE_PORT, FleetCase
from gateway_process import wait_for
from users_platform import Upstream, route

ENGINES = 2
SLOTS = 6              # of each
EVENT_SECONDS = 0.05   # of the ten of a stream
FLOOD = 36             # requests of the team at once
FLOOD_SECONDS = 3      # until the team has used up its burst
CALM_REQUESTS = 4
ROUTE_SECONDS = 20
REFUSALS = {"rate-exceeded", "overloaded", "deadline-unreachable"}


class Overload(FleetCase):
    DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}
    PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")

    def setUp(self):
        super().setUp()
        self.engines = []
        for number in range(ENGINES):
            engine = Upstream(f"engine{number}", BASE_PORT + 70 + number, "llm", ["m1"])
            engine.slots, engine.waiting_room, engine.event_seconds = SLOTS, FLOOD, EVENT_SECONDS
            self.platform.serve_upstream(engine)
            self.engines.append(engine)

    def publish(self, **limits):
        """Adds a team with the lowest priority; the one that floods has the highest, and these limits."""
        chat = {**route("chat", "/chat/", "streaming", "llm", resumable=True), "timeout_ms": ROUTE_SECONDS * 1000,
                "target_latency_ms": ROUTE_SECONDS * 1000}
        config = json.loads(self.platform.configuration(2, ["k1"], [chat]))
        [team] = config["tenants"]
        calm = {**team, "name": "calm", "api_keys": ["k2"], "priority": 3}
        config["tenants"] = [{**team, "priority": 0, **limits}, calm]
        self.platform.change(self.platform.store.put, "op/config", json.dumps(config).encode())
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.stream(gateway, "k2", "warm")[0] == 200)

    @staticmethod
    def stream(gateway, key, part):
        return gateway.call("/chat/x", key=key, timeout=ROUTE_SECONDS + 5, headers={
            "X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": f"{part}:100",
            "X-Deadline-Ms": str(ROUTE_SECONDS * 1000)})

    def check_calm_team(self, limit):
        """Floods with one team while the other sends few requests, each of which must end within the limit."""
        stop, flood = threading.Event(), []

        def send(number):
            while not stop.is_set():
                flood.append(self.stream(self.gateways[number % len(self.gateways)], "k1", f"f{number}-{len(flood)}"))
                time.sleep(0.02)

        threads = [threading.Thread(target=send, args=(number,)) for number in range(FLOOD)]
        for thread in threads:
            thread.start()
        time.sleep(FLOOD_SECONDS)
        times, statuses = [], []
        for number in range(CALM_REQUESTS):
            started = time.monotonic()
            statuses.append(self.stream(self.gateways[number % len(self.gateways)], "k2", f"c{number}")[0])
            times.append(time.monotonic() - started)
        stop.set()
        for thread in threads:
            thread.join()
        refused = {answer[2]["Marigold-Code"] for answer in flood if answer[0] != 200}
        served = sum(answer[0] == 200 for answer in flood)
        print(f"calm requests took {[round(seconds, 2) for seconds in times]} s beside {len(flood)} of the flood, "
              f"{served} served; others: {sorted(refused)}")
        self.assertEqual([200] * CALM_REQUESTS, statuses)
        self.assertLess(max(times), limit)
        self.assertEqual(set(), refused - REFUSALS)

    def test_urgent_team_does_not_starve_the_other(self):
        """Guards against starvation of a team by another one with a higher priority."""
        self.publish()
        self.check_calm_team(ROUTE_SECONDS / 2)
        ranks = {headers["x-tenant-name"]: int(headers["x-request-priority"])
                 for engine in self.engines for headers in engine.seen}
        self.assertLess(ranks["team"], ranks["calm"])  # engines order by it

    def test_team_above_its_rate_does_not_delay_the_other(self):
        """Guards against a team that sends a multiple of its rate and occupies all capacity."""
        self.publish(rate_per_s=1500, burst=3000)
        self.check_calm_team(3)


if __name__ == "__main__":
    unittest.main()
