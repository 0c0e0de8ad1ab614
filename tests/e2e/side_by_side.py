"""Runs the tests of a program side by side, each in a process of its own with ports of its own.

A test program calls main() in place of unittest.main(). With arguments, as the names of tests, it does what unittest
does, one test after the other.
"""

import concurrent.futures
import os
import queue
import re
import subprocess
import sys
import unittest

PORTS = 100  # of each process


def names(suite):
    """Returns the names of all tests of the program, "CLASS.TEST"."""
    found = []
    for item in suite:
        found += names(item) if isinstance(item, unittest.TestSuite) else [item.id().removeprefix("__main__.")]
    return found


def run(name, port):
    """Runs one test; returns whether it passed, and its output. One that ends without a result counts as an error."""
    ran = subprocess.run([sys.executable, sys.argv[0], name], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                         env={**os.environ, "MARIGOLD_TEST_PORT": str(port)}, text=True, errors="replace", check=False)
    output = ran.stdout
    if ran.returncode == 0 and re.search(r"^Ran 1 test in ", output, re.MULTILINE):
        return True, output
    if not re.search(r"^(FAIL|ERROR): ", output, re.MULTILINE):
        output += f"ERROR: {name.rsplit('.', 1)[1]} (__main__.{name})\nended with {ran.returncode} and no result\n"
    return False, output


def main(first_port, jobs):
    """Runs all tests of the program, so many at once. Each has PORTS ports of those from the first one on, which is
    that of a test alone. Prints what each one printed, and exits with 1 if one failed."""
    if len(sys.argv) > 1:
        unittest.main()
    ports = queue.SimpleQueue()
    for number in range(jobs):
        ports.put(first_port + PORTS * number)

    def run_on_free_ports(name):
        port = ports.get()
        try:
            return run(name, port)
        finally:
            ports.put(port)
    tests = names(unittest.defaultTestLoader.loadTestsFromModule(sys.modules["__main__"]))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for name, (passed, output) in zip(tests, pool.map(run_on_free_ports, tests)):
            failed += not passed
            print(f"{'passed' if passed else 'failed'}: {name}\n{output}", flush=True)
    print(f"{len(tests)} tests, {failed} failed")
    sys.exit(int(failed > 0 or not tests))
