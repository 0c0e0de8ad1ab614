"""A fleet whose engines count the memory of their models and crash above it."""

import base64
import json
import os
import tempfile
import time
import unittest

from gateway_process import DATA_CENTRES, Gateway, wait_for
from peer_links import PeerLinks
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
MODEL_MB = 100
MEMORY_MB = 250          # of an engine: two models
COLD = ("cold", "late")  # models that no engine has at first
RELOAD_SECONDS = 20      # with the pause between the orders of two owners


def chat(gateway, model):
    """Returns the status of a chat and whether its answer is whole."""
    headers = {"X-Model-Name": model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}
    status, body, _ = gateway.call("/chat/x", headers=headers)
    return status, "id: 10" in body


class PlacementFleet(unittest.TestCase):
    vms = ("dc-a", "dc-a")  # data centre of each VM
    data_centres = DATA_CENTRES  # with their regions
    engine_places = ("dc-a", "dc-a")  # data centre of each engine
    routes = ROUTES
    linked = False  # whether the paths between the VMs can be cut, by self.links

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        config = json.loads(self.platform.configuration(1, ["k1"], self.routes))
        runtime = config["services"][0]["runtime"]
        runtime["weights_mb"] = MEMORY_MB
        models = runtime["models"]
        models += [{**models[0], "name": name} for name in COLD]
        self.platform.change(self.platform.store.put, "op/config", json.dumps(config).encode())
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1", "m2"])
                        for n in range(len(self.engine_places))]
        for engine, place in zip(self.engines, self.engine_places):
            engine.data_centre = place
            engine.memory_mb, engine.adapter_slots = MEMORY_MB, runtime["adapter_slots"]
            engine.weights_mb = {model["name"]: MODEL_MB for model in models}
            engine.load_seconds, engine.event_seconds, engine.slots = 0.5, 0.03, 50
            engine.after_order = lambda engine=engine: self.write_record(engine)
            self.platform.serve_upstream(engine)
        self.store_ports = [BASE_PORT + 90 + number for number in range(len(self.vms))]
        self.links = None
        if self.linked:
            vms = range(len(self.vms))
            self.links = PeerLinks(self.platform, {f"vm{number}": self.store_ports[number] for number in vms},
                                   [BASE_PORT + 10 * number + offset for number in vms for offset in range(4, 10)])
        self.gateways = []
        for number, data_centre in enumerate(self.vms):
            self.platform.serve_store(self.store_ports[number])
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_ports[number],
                                         data_centre, self.data_centres))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        if self.links:
            self.platform.change(self.links.close)
        self.platform.close()
        self.folder.cleanup()

    def write_record(self, engine):
        """Runs on the thread of the platform."""
        self.platform.store.put("servers/" + engine.name, engine.record())

    def owner(self):
        """Returns the VM that owns the orders, as the store has it, or None."""
        item = self.platform.change(self.platform.store.items.get, "marigold/order-owner")
        name = json.loads(base64.b64decode(item["value"]))["vm"] if item else None
        return next((gateway for gateway in self.gateways if gateway.name == name), None)

    def wait_for_owner(self, *former):
        """Waits until a VM owns the orders that did not before; returns how long that took."""
        started = time.monotonic()
        wait_for(lambda: self.owner() not in (None, *former), 10)
        return time.monotonic() - started

    def holders(self, model):
        return [engine for engine in self.engines if engine.serves(model)]

    def orders(self):
        return sum(len(engine.order_log) for engine in self.engines)

    def wait_until_served(self, model, gateways=None):
        """Calls a model at VMs until each has served it, each time with a new caller."""
        for gateway in gateways or self.gateways:
            wait_for(lambda: chat(gateway, model) == (200, True), RELOAD_SECONDS)

    def check_memory(self):
        """Checks that no load has crashed an engine, and that their memory was used (P1)."""
        self.assertEqual([[]] * len(self.engines), [engine.overcommits for engine in self.engines])
        self.assertEqual(2 * MODEL_MB, max(engine.peak_mb for engine in self.engines))
