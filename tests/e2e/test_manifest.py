"""Tests that a manifest is in force on every VM within seconds and never replaced by an
older one (P12)."""

import json
import os
import subprocess
import threading
import time
import unittest

from deployment import BIN, HOST, Deployment, call, chat, wait_until

TARGET_SECONDS = 3
REPLACEMENT_LIMIT_S = 2


class Manifest(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi").start()
        self.addCleanup(self.fleet.stop)

    def version(self, name):
        return self.fleet.status(name)["versions"].get("config/manifest", 0)

    def partition(self, names):
        """Partitions VMs from all others and from the platform."""
        others = set(self.fleet.entries) - set(names)
        for name in self.fleet.entries:
            peers = others if name in names else names
            call(self.fleet.entries[name]["operator"], "POST", "/fault",
                 {"peers": sorted(peers), "platform": name in names})

    def heal(self):
        for name in self.fleet.entries:
            call(self.fleet.entries[name]["operator"], "POST", "/fault", {})

    def publish(self, rate):
        code, output, errors = self.fleet.publish(self.fleet.manifest(rate=rate))
        self.assertIn("accepted as version", output, errors)
        return int(output.split("version ")[1].split()[0]), code

    def test_in_force_on_all_vms_in_time(self):
        """Guards against a VM that applies a manifest late or not at all."""
        start = time.monotonic()
        version, code = self.publish(61000)
        self.assertEqual(code, 0)
        for name in self.fleet.entries:
            self.assertEqual(self.version(name), version)
        self.assertLess(time.monotonic() - start, TARGET_SECONDS)

    def test_two_operators_at_once(self):
        """Guards against a lost update when two operators publish concurrently: one must
        succeed and the other must get a conflict error."""
        results = []

        def publish(number):
            settings = self.fleet.write("ctl-%d.yaml" % number, "platform: %s:%d\n"
                                        "operator_key: none-is-needed-here\n" %
                                        (HOST, self.fleet.platform_port))
            text = self.fleet.write("manifest-%d.yaml" % number,
                                    self.fleet.manifest(rate=61000 + number))
            results.append((number, self.run_ctl(settings, "manifest", "publish", text)))

        # Slow reads let both operators see the same version before either writes.
        self.fleet.control(delay_ms=200)
        threads = [threading.Thread(target=publish, args=(number,)) for number in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.fleet.control(delay_ms=0)
        winners = [number for number, (code, _, _) in results if code == 0]
        losers = [errors for _, (code, _, errors) in results if code != 0]
        self.assertEqual((len(winners), len(losers)), (1, 1), results)
        self.assertIn("another operator published version 2 first", losers[0])
        stored = self.fleet.ctl("manifest", "show")[1]
        self.assertIn("rate: %d," % (61000 + winners[0]), stored)

    def run_ctl(self, settings, *arguments):
        result = subprocess.run(
            [os.path.join(BIN, "marigoldctl"), "--settings", settings] + list(arguments),
            capture_output=True, text=True, timeout=30, check=False)
        return result.returncode, result.stdout, result.stderr

    def test_lost_answer_to_the_write(self):
        """Guards against a publication that is reported as failed although it took effect."""
        self.fleet.control(lose_answers=1, lose_prefix="config/")
        version, code = self.publish(62000)
        self.assertEqual((version, code), (2, 0))
        self.assertEqual(call(self.fleet.platform_port, "GET", "/stats").json()
                         ["answers_lost"], 1)

    def test_restart_while_the_platform_is_down(self):
        """Guards against a restarted VM that stays without a manifest or takes an
        older one."""
        version, _ = self.publish(63000)
        self.fleet.control(mode="down")
        name = "entry-thrissur-a-1"
        self.fleet.processes[name].kill()
        self.fleet.processes[name].start()
        seen = []

        def ready():
            status = self.fleet.status(name)
            seen.append((status["ready"], status["versions"].get("config/manifest", 0)))
            return status["ready"]

        wait_until(ready, TARGET_SECONDS * 2)
        self.assertEqual({seen_version for is_ready, seen_version in seen if is_ready}, {version})

    def test_replacement_serves_without_the_platform(self):
        """Guards against a new VM that needs the platform before it serves."""
        lost = sorted(self.fleet.entries)[0]
        self.fleet.control(mode="down")
        self.fleet.processes[lost].kill()
        start = time.monotonic()
        name = self.fleet.start_entry(self.fleet.entries[lost]["data_centre"], 3)
        wait_until(lambda: chat(self.fleet.port(name), self.fleet.crew_key, 3, timeout=2).status == 200,
                   timeout=10, period=0.02)
        seconds = time.monotonic() - start
        print("replacement served after %.2f s, platform down" % seconds)
        self.assertLess(seconds, REPLACEMENT_LIMIT_S)

    def test_data_centre_returns_with_an_older_manifest(self):
        """Guards against VMs that never get the changes made during their partition, and
        against other VMs that adopt the older manifest from them."""
        inside = ["entry-kozhikode-a-1", "entry-kozhikode-a-2"]
        self.partition(inside)
        version, code = self.publish(64000)
        self.assertNotEqual(code, 0)
        self.assertEqual(self.version(inside[0]), version - 1)
        start = time.monotonic()
        self.heal()
        while any(self.version(name) < version for name in inside):
            self.assertLess(time.monotonic() - start, TARGET_SECONDS)
            for name in set(self.fleet.entries) - set(inside):
                self.assertEqual(self.version(name), version)
            time.sleep(0.05)

    def test_wrong_manifest_is_refused_whole(self):
        """Guards against an invalid manifest whose valid part is applied."""
        wrong = self.fleet.manifest(rate=65000).replace("memory_mb: 200", "memory_mb: much")
        code, output, errors = self.fleet.publish(wrong)
        self.assertNotEqual(code, 0)
        self.assertIn("memory_mb", errors)
        # The VMs also reject an invalid manifest that was written to the platform directly.
        stored = call(self.fleet.platform_port, "GET", "/v1/kv/config/manifest").json()
        document = json.loads(stored["value"])
        document.update(version=document["version"] + 1, body=wrong)
        call(self.fleet.platform_port, "PUT", "/v1/kv/config/manifest?revision=%d" %
             stored["revision"], document)
        time.sleep(TARGET_SECONDS)
        for name in self.fleet.entries:
            self.assertEqual(self.version(name), 1)
            self.assertTrue(self.fleet.ready(name))


if __name__ == "__main__":
    unittest.main()
