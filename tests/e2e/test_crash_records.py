"""Tests that evidence of crashes outlives a kill of all gateways, through the record in the store."""

import json
import os
import signal
import tempfile
import time
import unittest

import side_by_side
from gateway_process import Gateway, wait_for
from prompt_calls import PromptCalls
from users_platform import HOST, ROUTES, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27200))
RECORD_KEY = "marigold/crashes"
ENGINES = 6
RESTART_SECONDS = 0.4
RUN_SECONDS = 0.8  # until an engine crashes, so that a whole batch has reached engines by then
BATCH = 6
CONTACT_SECONDS = 4.0
WRITE_SECONDS = 0.15  # on average, from the second crash with a part to the record in the store
MOST_AFTERWARDS = 3  # requests with the part that may reach engines, sent by VMs in touch
FAR_CENTRES = 24     # data centres of a large fleet, whose relays report to each other seldom
ROUNDS = 5
MAX_AGE_MS = 600000  # longest lifetime of a verdict
ODD_RECORDS = [
    b"", b"no json", b"\xff\xfe", b"null", b"[]", b"7", b"{}", b"[" * 100000,
    b'{"written": 1e999, "crashes": [], "finished": []}',
    b'{"written": -1, "crashes": [], "finished": []}',
    b'{"written": 1, "crashes": {"a": 1}, "finished": []}',
    b'{"written": 1, "crashes": [[1, 2]], "finished": []}',
    b'{"written": 1, "crashes": [[4294967296, 2, [[2]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[-1, 2, [[2]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[1, 18446744073709551615, [[2]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[1, 2, [["2"]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[1, 2, [[2.5]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[1, 2, [[]], []]], "finished": []}',
    b'{"written": 1, "crashes": [[1, 2, [[2]], [true]]], "finished": []}',
    b'{"written": 1, "crashes": [], "finished": "all"}',
    json.dumps({"written": 1, "crashes": [[n, 2, [[2]], []] for n in range(5000)], "finished": []}).encode(),
    json.dumps({"written": 1, "crashes": [], "finished": list(range(0, 200000, 2))}).encode(),
]


class CrashRecordsTest(PromptCalls):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store = self.platform.store
        self.store_ports = [BASE_PORT + 90, BASE_PORT + 91]
        self.platform.publish(1, ["k1"], ROUTES)
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in range(ENGINES)]
        for engine in self.engines:
            engine.deadly_part = "dead"
            engine.delay = RUN_SECONDS
            self.platform.serve_upstream(engine, restart_after=RESTART_SECONDS)
        for port in self.store_ports:
            self.platform.serve_store(port)
        self.gateways = [Gateway(n, self.folder.name, BASE_PORT + 10 * n, port, data_centre)
                         for n, (port, data_centre) in enumerate(zip(self.store_ports, ("dc-a", "dc-b")))]
        self.calls = []
        self.number = 0
        self.wait_ready()

    def wait_ready(self):
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways), 15)

    def send_batch(self, prompt="f0:20,dead:30"):
        """Sends requests that share the parts of the prompt, and returns their statuses."""
        results = []
        for _ in range(BATCH):
            self.send(prompt, results)
            time.sleep(0.05)
        self.join_calls()
        return results

    def crash_engines(self):
        """Sound requests with the first part finish; then requests with the deadly part crash engines."""
        self.assertEqual([200] * BATCH, self.send_batch("f0:20,5afe:30"))
        self.send_batch()
        self.assertGreaterEqual(self.crashes(), 2)

    def crashes(self):
        return sum(len(engine.crashes) for engine in self.engines)

    def arrivals(self):
        return sum(len(engine.deadly_arrivals) for engine in self.engines)

    def kill_all(self):
        for gateway in self.gateways:
            gateway.child.send_signal(signal.SIGKILL)
            gateway.child.wait()

    def start_all(self):
        for gateway in self.gateways:
            gateway.start()

    def check_part_is_known(self):
        """VMs in touch that have just started send no more requests with the part than the rule allows."""
        self.wait_ready()
        time.sleep(CONTACT_SECONDS)
        before = self.arrivals()
        self.send_batch()
        self.assertLessEqual(self.arrivals() - before, MOST_AFTERWARDS)
        sound = self.send_batch("f0:20,5afe:30")
        self.assertGreater(sound.count(200), len(sound) / 2, sound)

    def test_part_is_known_after_a_kill_of_all_vms(self):
        """Guards against evidence that ends with the processes, so that the same part crashes as many engines again."""
        self.crash_engines()
        time.sleep(CONTACT_SECONDS)
        self.kill_all()
        time.sleep(1)
        self.start_all()
        self.check_part_is_known()

    def test_part_is_known_when_the_store_is_away_at_the_start(self):
        """Guards against a VM that takes requests before it has read the record."""
        self.crash_engines()
        time.sleep(CONTACT_SECONDS)
        self.kill_all()
        self.store.severed_ports.update(self.store_ports)
        self.start_all()
        time.sleep(3)
        self.store.severed_ports.clear()
        self.check_part_is_known()

    def test_part_is_known_after_the_store_has_lost_the_record(self):
        """Guards against a record that is not written again after the store came back from a copy without it."""
        self.platform.change(self.store.take_copy)
        self.crash_engines()
        time.sleep(CONTACT_SECONDS)
        self.platform.change(self.store.restore)
        time.sleep(CONTACT_SECONDS)
        self.kill_all()
        self.start_all()
        self.check_part_is_known()

    def test_part_is_known_from_a_record_of_an_older_copy(self):
        """Guards against a record of an earlier era that is thrown away although no VM is left that knows more."""
        self.crash_engines()
        time.sleep(CONTACT_SECONDS)
        self.platform.change(self.store.take_copy)
        time.sleep(1)
        self.kill_all()
        self.platform.change(self.store.restore)
        self.start_all()
        self.check_part_is_known()

    def test_new_verdict_is_recorded_at_once(self):
        """Guards against evidence that is lost with all VMs right after the crashes, because its write waits."""
        self.assertEqual([200] * BATCH, self.send_batch("f0:20,5afe:30"))
        delays = []
        for part in ("dead1", "dead2", "dead3", "dead4"):
            for engine in self.engines:
                engine.deadly_part = part
            before, written = self.crashes(), self.versions()
            for _ in range(BATCH):
                self.send(f"{part}:30", [])
                time.sleep(0.05)
            wait_for(lambda: self.crashes() >= before + 2)
            crashed = time.monotonic()
            wait_for(lambda: self.versions() > written)
            delays.append(time.monotonic() - crashed)
            self.join_calls()
            time.sleep(2)
        # Two VMs may see the crashes, and one of them has to write again then.
        self.assertLess(sum(delays) / len(delays), WRITE_SECONDS, delays)

    def test_crashes_that_different_vms_saw_are_recorded_at_once(self):
        """Guards against evidence that is lost with all VMs, because no VM knows two crashes until the next reports."""
        for number in range(FAR_CENTRES):
            member = {"peer_address": f"{HOST}:{BASE_PORT + 95}", "operator": f"{HOST}:{BASE_PORT + 96}",
                      "data_centre": f"far-{number}", "capacity": 0.01, "incarnation": number}
            self.platform.change(self.store.put, f"marigold/vm/far{number}", json.dumps(member).encode())
        for engine in self.engines:
            engine.delay = 0.1
        time.sleep(2)
        delays = []
        for number in range(ROUNDS):
            for engine in self.engines:
                engine.deadly_part = f"dead{number}"
            written = self.versions()
            for gateway in range(2):
                before = self.crashes()
                self.number += (self.number + 1) % 2 != gateway  # so that this VM gets the request
                self.send(f"dead{number}:30", [])
                wait_for(lambda expected=before + 1: self.crashes() >= expected)
            crashed = time.monotonic()
            wait_for(lambda expected=written: self.versions() > expected)
            delays.append(time.monotonic() - crashed)
            self.join_calls()
            time.sleep(2)
        self.assertLess(sum(delays) / len(delays), WRITE_SECONDS, delays)

    def versions(self):
        return sum(item["key"] == RECORD_KEY for item in self.store.history)

    def test_requests_are_refused_while_the_store_is_away(self):
        """Guards against requests or verdicts that wait for the store."""
        self.store.severed_ports.update(self.store_ports)
        self.crash_engines()
        time.sleep(CONTACT_SECONDS)
        before = self.arrivals()
        self.send_batch()
        self.assertLessEqual(self.arrivals() - before, MOST_AFTERWARDS)

    def test_odd_records_of_other_writers_do_no_harm(self):
        """Guards against a process that ends, or convicts a part, because of a record that another client wrote."""
        for content in ODD_RECORDS:
            self.platform.change(self.store.put, RECORD_KEY, content)
            time.sleep(0.3)
        for gateway in self.gateways:
            self.assertIsNone(gateway.child.poll())
            self.assertTrue("record of crashes rejected" in gateway.log())
        self.assertEqual([200] * BATCH, self.send_batch("f0:20,5afe:30"))
        self.kill_all()
        self.start_all()
        self.wait_ready()
        self.send_batch()
        time.sleep(CONTACT_SECONDS)
        self.kill_all()
        self.start_all()
        self.check_part_is_known()

    def test_record_is_written_seldom_and_stays_small(self):
        """Guards against a write to the store for each crash."""
        self.crash_engines()
        for _ in range(3):
            self.send_batch(f"f0:20,dead:30,{self.number:x}:10")
            time.sleep(0.5)
        time.sleep(CONTACT_SECONDS)
        versions = [item for item in self.store.history if item["key"] == RECORD_KEY]
        self.assertGreater(len(versions), 0)
        self.assertLess(len(versions), self.crashes())
        self.assertLess(len(versions[-1]["value"]), 100000)


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=2)
