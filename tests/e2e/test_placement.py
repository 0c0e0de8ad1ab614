"""Tests that placers load, move and replace models while callers are served."""

import threading
import time
import unittest

from deployment import HOST, Deployment, call, chat, wait_until

DATA_CENTRE = "ernakulam-a"
ENTRY = "entry-ernakulam-a-1"

COLD_MODEL = """  - name: %s
    version: %s
    memory_mb: %d
    deadline: 20s
    adapters:
      - {name: seals, memory_mb: 200}
services:
"""


class Placement(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi").start(resident="drafting-assistant=v1=16000")
        self.placers = [self.fleet.start_placer(DATA_CENTRE, 1),
                        self.fleet.start_placer(DATA_CENTRE, 2)]
        wait_until(lambda: self.owner() is not None, 10)

    def tearDown(self):
        self.fleet.stop()

    def owner(self):
        for name in self.placers:
            if self.fleet.processes[name].running() and \
                    self.fleet.placer_role(name) == "owner":
                return name
        return None

    def publish(self, version="v1", extra=()):
        text = self.fleet.manifest(version=version)
        for name, memory in extra:
            text = text.replace("services:\n", COLD_MODEL % (name, version, memory), 1)
        code, output, errors = self.fleet.publish(text)
        self.assertEqual(code, 0, output + errors)

    def report(self, engine):
        return call(self.fleet.engines[engine]["port"], "GET", "/v1/report").json()

    def resident(self, model, version=None):
        """Returns the engines of the data centre that hold a model."""
        names = []
        for name, engine in self.fleet.engines.items():
            if engine["data_centre"] != DATA_CENTRE or not self.fleet.processes[name].running():
                continue
            for item in self.report(name)["resident"]:
                if item["model"] == model and version in (None, item["version"]):
                    names.append(name)
        return names

    def send_chat(self, model="drafting-assistant", tokens=4):
        return chat(self.fleet.port(ENTRY), self.fleet.crew_key, tokens, model=model)

    def chat_when_declared(self, model):
        """Requests a new model until the entry process knows it, which takes up to 3 s."""
        wait_until(lambda: self.send_chat(model).code() != "model-unknown", 5)
        return self.send_chat(model)

    def test_cold_model_is_loaded_on_demand(self):
        """Guards against a declared model that is never loaded although callers request it."""
        self.publish(extra=[("cold", 16000)])
        self.assertEqual(self.chat_when_declared("cold").status, 200)
        self.assertEqual(self.chat_when_declared("cold:seals").status, 200)
        self.assertEqual(len(self.resident("cold")), 1)

    def test_only_replica_is_killed_and_comes_back(self):
        """Guards against a model that is not reloaded after its only replica was killed."""
        self.publish(extra=[("cold", 16000)])
        self.assertEqual(self.chat_when_declared("cold").status, 200)
        engine = self.resident("cold")[0]
        self.fleet.processes[engine].kill()
        number = int(engine.rsplit("-", 1)[1])
        self.fleet.start_engine(DATA_CENTRE, number, "")
        wait_until(lambda: self.resident("cold"), 20)
        self.assertEqual(self.send_chat("cold").status, 200)

    def test_another_placer_takes_over(self):
        """Guards against a data centre without an active placer after one was killed, and
        against a stopped placer that does not release its lease."""
        first = self.owner()
        self.fleet.processes[first].kill()
        wait_until(lambda: self.owner() not in (None, first), 10)
        self.publish(extra=[("cold", 16000)])
        self.assertEqual(self.chat_when_declared("cold").status, 200)
        second = self.owner()
        self.fleet.start_placer(DATA_CENTRE, int(first.rsplit("-", 1)[1]))
        self.assertEqual(self.fleet.processes[second].terminate(), 0)
        self.assertLess(wait_until(lambda: self.owner() == first, 10), 2.5)

    def test_platform_down(self):
        """Guards against models that become unavailable while the platform is down."""
        self.fleet.control(mode="down")
        time.sleep(5)
        self.assertIsNone(self.owner())
        self.assertEqual(self.send_chat().status, 200)
        self.fleet.control(mode="up")
        wait_until(lambda: self.owner() is not None, 10)
        self.publish(extra=[("cold", 16000)])
        self.assertEqual(self.chat_when_declared("cold").status, 200)

    def change_version(self):
        """Publishes a new model version while requests run; returns their answers."""
        answers = []
        stop = threading.Event()

        def callers():
            while not stop.is_set():
                answers.append(self.send_chat(tokens=40))

        threads = [threading.Thread(target=callers) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.publish(version="v2")
        try:
            wait_until(lambda: self.resident("drafting-assistant", "v2") and
                       not self.resident("drafting-assistant", "v1"), 30)
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        return answers

    def test_change_of_version_cuts_and_refuses_nothing(self):
        """Guards against requests that are cut or refused during a change of the model version."""
        answers = self.change_version()
        self.assertGreater(len(answers), 20)
        wrong = [(answer.status, answer.code()) for answer in answers
                 if answer.status != 200]
        self.assertEqual(wrong, [])

    def test_engine_that_ignores_fencing(self):
        """Guards against an engine that is never used because it does not support fencing,
        and against a version change that overcommits its memory."""
        self.fleet.start_engine(DATA_CENTRE, 2, "", ["--ignore-fencing", "--memory", "40000"])
        self.fleet.list_vm({"name": "engine-%s-2" % DATA_CENTRE, "role": "engine",
                            "data_centre": DATA_CENTRE, "state": "live",
                            "address": "%s:%d" % (
                                HOST, self.fleet.engines["engine-%s-2" % DATA_CENTRE]["port"]),
                            "memory_mb": 40000, "fencing": False})
        self.publish(extra=[("cold", 70000)])
        self.fleet.processes[self.owner()].kill()
        wait_until(lambda: self.owner() is not None, 10)
        wait_until(lambda: "engine-%s-2" % DATA_CENTRE in
                   self.resident("drafting-assistant") + self.resident("cold"), 30)
        report = self.report("engine-%s-2" % DATA_CENTRE)
        self.assertLessEqual(report["used_mb"], 40000)
        self.assertEqual(self.send_chat().status, 200)


if __name__ == "__main__":
    unittest.main()
