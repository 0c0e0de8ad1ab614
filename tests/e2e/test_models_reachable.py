"""Tests that every declared model stays reachable (P2)."""

import json
import os
import tempfile
import unittest

from gateway_process import Gateway, wait_for
from users_platform import ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
COLD = "cold"        # a model that no engine has at first
RELOAD_SECONDS = 20  # with the pause that a first owner of orders waits for


class ModelsReachable(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1", "m2"]) for n in (0, 1)]
        self.platform.publish(1, ["k1"], ROUTES)
        for engine in self.engines:
            engine.after_order = lambda engine=engine: self.write_record(engine)
            self.platform.serve_upstream(engine)
        self.gateways = []
        for number in (0, 1):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        self.declare_cold_model()

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def write_record(self, engine):
        """Runs on the thread of the platform."""
        self.platform.store.put("servers/" + engine.name, engine.record())

    def declare_cold_model(self):
        config = json.loads(self.platform.configuration(2, ["k1"], ROUTES))
        models = config["services"][0]["runtime"]["models"]
        models.append({**models[0], "name": COLD})
        self.platform.change(self.platform.store.put, "op/config", json.dumps(config).encode())

    def chat(self, gateway):
        """Returns status and body of a chat with the cold model."""
        headers = {"X-Model-Name": COLD, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}
        return gateway.call("/chat/x", headers=headers)[:2]

    def served(self):
        """Returns whether all VMs serve the cold model with whole answers."""
        answers = [self.chat(gateway) for gateway in self.gateways]
        return all(status == 200 and "id: 10" in body for status, body in answers)

    def holders(self):
        return [engine for engine in self.engines if engine.serves(COLD)]

    def test_cold_model_is_loaded_on_demand(self):
        """Guards against a declared model that is never loaded although callers request it."""
        wait_for(self.served, RELOAD_SECONDS)
        self.assertNotEqual([], self.holders())

    def test_model_whose_only_replica_was_killed_comes_back(self):
        """Guards against a model that is not loaded again after its only replica was killed and came back without."""
        wait_for(self.served, RELOAD_SECONDS)
        lost = self.holders()
        for engine in lost:
            self.platform.change(engine.crash)
            engine.models = {}
            engine.born += 1
            engine.orders = 0
            self.platform.listen_again(engine)
            self.platform.change(self.write_record, engine)
        self.assertEqual([], self.holders())
        wait_for(self.served, RELOAD_SECONDS)

    def test_model_whose_replica_is_gone_is_loaded_elsewhere(self):
        """Guards against a model that is gone with the engine that held it."""
        wait_for(self.served, RELOAD_SECONDS)
        gone = self.holders()[0]
        for engine in self.holders()[1:]:
            engine.models.pop(COLD)
            self.platform.change(self.write_record, engine)
        self.platform.change(gone.crash)
        self.platform.change(self.platform.store.remove, "servers/" + gone.name)
        wait_for(self.served, RELOAD_SECONDS)
        self.assertIn(self.engines[1 - self.engines.index(gone)], self.holders())


if __name__ == "__main__":
    unittest.main()
