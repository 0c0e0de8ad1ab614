"""Tests what marigoldctl shows of a fleet of gateways."""

import json
import os
import subprocess
import unittest

from fleet_case import FleetCase
from gateway_process import BIN, OPERATOR, wait_for
from users_platform import HOST, ROUTES


class OperatorTool(FleetCase):
    DATA_CENTRES = {"dc-a": "r", "dc-b": "s", "dc-c": "t"}
    PLACES = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")

    def setUp(self):
        super().setUp()
        self.store = f"{HOST}:{self.store_ports[0]}"
        self.operators = [f"{HOST}:{gateway.port + OPERATOR}" for gateway in self.gateways]
        wait_for(lambda: sum("marigold/vm/" in key for key in list(self.platform.store.items)) == len(self.gateways))

    @staticmethod
    def run_tool(*arguments):
        """Returns the exit code and the output."""
        result = subprocess.run([os.path.join(BIN, "marigoldctl"), *arguments], capture_output=True, text=True,
                                timeout=30, check=False)
        return result.returncode, result.stdout + result.stderr

    def test_status_shows_every_vm_and_its_configuration(self):
        """Guards against a status command that fails, leaves out a VM or shows an old configuration."""
        self.platform.publish(7, ["k1"], ROUTES)
        wait_for(lambda: all(int(gateway.log_rows("configuration in force")[-1]["version"]) == 7
                             for gateway in self.gateways))
        for arguments in (["--store", self.store], self.operators):
            code, output = self.run_tool("status", *arguments)
            self.assertEqual(0, code, output)
            lines = output.splitlines()
            self.assertEqual(len(self.gateways), len(lines), output)
            for line, gateway, address in zip(sorted(lines), self.gateways, self.operators):
                self.assertEqual(gateway.name if "--store" in arguments else address, line.split()[0])
                self.assertIn(" ready  configuration 7", line)

    def test_status_tells_of_a_vm_that_does_not_answer(self):
        """Guards against a lost VM that looks fine, and against a tool that needs the store."""
        self.gateways[2].stop()
        for arguments in (["--store", self.store], self.operators):
            code, output = self.run_tool("status", *arguments)
            self.assertNotEqual(0, code, output)
            self.assertEqual(1, output.count("does not answer\n"), output)
            self.assertIn("1 VMs do not answer", output)
        self.platform.store.severed_ports.update(self.store_ports)
        code, output = self.run_tool("status", "--store", self.store)
        self.assertNotEqual(0, code, output)
        code, output = self.run_tool("status", *self.operators)
        self.assertEqual(len(self.gateways) - 1, output.count(" configuration 1"), output)

    def test_dump_shows_one_vm(self):
        """Guards against a dump of another VM, or none for a VM of the list."""
        for arguments in (["--store", self.store, "vm3"], [self.operators[3]]):
            code, output = self.run_tool("dump", *arguments)
            self.assertEqual(0, code, output)
            self.assertEqual({desk.name for desk in self.desks}, set(json.loads(output)["upstreams"]))
        code, output = self.run_tool("dump", "--store", self.store, "vm9")
        self.assertNotEqual(0, code)
        self.assertIn('no VM is named "vm9"', output)


if __name__ == "__main__":
    unittest.main()
