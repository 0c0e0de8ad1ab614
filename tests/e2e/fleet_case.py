"""Bases of the tests that run gateways in two and more data centres, each with a port of the store of its own."""

import http.client
import json
import os
import tempfile
import unittest

import gateway_process
from gateway_process import Gateway, wait_for
from peer_links import PeerLinks
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))


class FleetCase(unittest.TestCase):
    """Starts a gateway in each of PLACES, and plain services. self.links are the paths between the VMs if LINKED."""

    DATA_CENTRES = gateway_process.DATA_CENTRES  # with their regions
    PLACES = ("dc-a", "dc-a", "dc-b")            # of the VMs
    DESKS = 2
    DESK_SLOTS = 100
    LINKED = False
    LIMITS = {}  # fields of the only team, as in the configuration

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        config = json.loads(self.platform.configuration(1, ["k1"], ROUTES))
        config["tenants"][0].update(self.LIMITS)
        self.platform.change(self.platform.store.put, "op/config", json.dumps(config).encode())
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in range(self.DESKS)]
        for desk in self.desks:
            desk.slots = self.DESK_SLOTS
            self.platform.serve_upstream(desk)
        self.store_ports, self.gateways, self.links = [], [], None
        if self.LINKED:
            stores = {f"vm{number}": BASE_PORT + 90 + number for number in range(len(self.PLACES))}
            self.links = PeerLinks(self.platform, stores, [BASE_PORT + 10 * number + offset
                                                           for number in range(len(self.PLACES)) for offset in range(4, 10)])
        for place in self.PLACES:
            self.start_gateway(place)
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        if self.links:
            self.platform.change(self.links.close)
        self.platform.close()
        self.folder.cleanup()

    def start_gateway(self, data_centre):
        """Starts the gateway of the next VM; doesn't wait until it is ready."""
        number = len(self.gateways)
        self.store_ports.append(BASE_PORT + 90 + number)
        self.platform.serve_store(self.store_ports[number])
        self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_ports[number],
                                     data_centre, self.DATA_CENTRES))

    def cut(self, numbers):
        """Cuts VMs from the others and from the store."""
        self.links.cut([self.gateways[number].name for number in numbers])
        self.platform.store.severed_ports.update(self.store_ports[number] for number in numbers)

    def heal_cuts(self):
        self.links.heal()
        self.platform.store.severed_ports.clear()


class QuotaCase(FleetCase):
    """Floods such a fleet with requests of a team that has a limit."""

    RATE, BURST = 4000, 4000
    COST = 100            # of a request of the floods
    WINDOW_SECONDS = 8.0  # quota_window of the gateways' settings
    OVERSHOOT = 0.1       # as the users allow
    TOLERANCE = 1000      # quota_slack of the gateways' settings

    def setUp(self):
        self.LIMITS = {"rate_per_s": self.RATE, "burst": self.BURST}
        super().setUp()

    def send(self, gateway, cost):
        """Returns status, body and headers of the answer; the status is 0 if the VM is dead or frozen."""
        try:
            return gateway.call("/once/x", headers={"X-Token-Usage": f"{cost},0"})
        except (OSError, http.client.HTTPException):
            return 0, "", {}

    def arrivals(self):
        """Returns the times at which upstreams ran requests."""
        return sorted(at for desk in self.desks for at in desk.arrivals)

    def most_used(self):
        """Returns what ran in the window with the most requests."""
        arrivals = self.arrivals()
        return max(self.COST * sum(start <= at < start + self.WINDOW_SECONDS for at in arrivals) for start in arrivals)

    def check_limit(self, used):
        """Checks what was used in one window."""
        self.assertLessEqual(used, (self.RATE * self.WINDOW_SECONDS + self.BURST) * (1 + self.OVERSHOOT) + self.TOLERANCE)
