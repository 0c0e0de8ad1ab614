"""Tests of tests/e2e/side_by_side.py: every test of a program runs once, and none that fails is overlooked."""

import os
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = """
import os
import time
import unittest
import side_by_side


class Base(unittest.TestCase):
    def setUp(self):
        with open("ran", "a", encoding="utf-8") as file:
            file.write(f"{self.id()} {os.environ['MARIGOLD_TEST_PORT']}\\n")


class First(Base):
    def test_a(self):
        time.sleep(0.5)

    def test_b(self):
        time.sleep(0.5)

    def test_c(self):
        FIRST


class Second(Base):
    def test_a(self):
        SECOND


if __name__ == "__main__":
    side_by_side.main(int(os.environ["MARIGOLD_TEST_PORT"]), jobs=2)
"""


class SideBySide(unittest.TestCase):
    def play(self, first, second="pass", names=(), log=None):
        """Runs the program with these statements; returns its exit code, its output and the tests that ran."""
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "test_program.py"), "w", encoding="utf-8") as file:
                file.write(PROGRAM.replace("FIRST", first).replace("SECOND", second))
            environment = {**os.environ, "MARIGOLD_TEST_PORT": "6000",
                           "PYTHONPATH": os.path.join(ROOT, "tests", "e2e")}
            ran = subprocess.run([sys.executable, "test_program.py", *names], cwd=folder, env=environment,
                                 stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            with open(os.path.join(folder, "ran"), encoding="utf-8") as file:
                return ran.returncode, ran.stdout, sorted(line.split() for line in file)

    def known_red(self, output, listed):
        """Returns what scripts/known_red.py makes of a log of ctest with the output of a failed program."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (("log", "1/1 Test #1: e2e ....***Failed 3 sec\n" + output), ("red", listed)):
                with open(os.path.join(folder, name), "w", encoding="utf-8") as file:
                    file.write(text)
            return subprocess.run([sys.executable, os.path.join(ROOT, "scripts", "known_red.py"),
                                   os.path.join(folder, "log"), os.path.join(folder, "red")],
                                  capture_output=True).returncode

    ALL = ["__main__.First.test_a", "__main__.First.test_b", "__main__.First.test_c", "__main__.Second.test_a"]

    def test_all_tests_run_once_on_ports_of_their_own(self):
        """Guards against tests that are left out, and against two at once on the same ports."""
        code, output, ran = self.play("pass")
        self.assertEqual((0, self.ALL), (code, [name for name, _ in ran]), output)
        self.assertEqual({"6000", "6100"}, {port for _, port in ran})
        self.assertEqual({"6000", "6100"}, {port for name, port in ran if name in self.ALL[:2]})

    def test_failures_are_named_as_unittest_names_them(self):
        """Guards against failures that KNOWN-RED.txt passes over because their names got lost."""
        for statement in ("self.fail()", "raise OSError"):
            code, output, ran = self.play(statement)
            self.assertEqual((1, self.ALL), (code, [name for name, _ in ran]), output)
            self.assertEqual(0, self.known_red(output, "pass over: First.test_c"), output)
            self.assertEqual(1, self.known_red(output, "pass over: Second.test_a"), output)

    def test_process_that_ends_without_a_result_is_a_failure(self):
        """Guards against a crash that is taken for a pass, or passed over beside the failure of a listed test."""
        for statement in ("os._exit(0)", "os.abort()"):
            code, output, _ = self.play(statement, "self.fail()")
            self.assertEqual(1, code, output)
            self.assertTrue(re.search(r"^ERROR: test_c \(__main__\.First\.test_c\)$", output, re.MULTILINE), output)
            self.assertEqual(1, self.known_red(output, "pass over: Second.test_a"), output)

    def test_named_tests_run_as_with_unittest(self):
        code, output, ran = self.play("self.fail()", names=["Second.test_a"])
        self.assertEqual((0, [["__main__.Second.test_a", "6000"]]), (code, ran), output)


if __name__ == "__main__":
    unittest.main()
