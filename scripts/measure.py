"""Runs the measure programs in virtual time and prints their JSON lines.

Usage: measure.sh [--deployment kochi|hreinsun] [--scenario NAME] [--policy NAME] [--seed N]
"""

import argparse
import json
import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAMS = ["measure-limits", "measure-routing", "measure-placement"]


def wanted(line, options):
    """True if a line matches every filter for which it has a field."""
    for field in ("deployment", "scenario"):
        choice = getattr(options, field)
        if choice and line.get(field, choice) != choice:
            return False
    policy = line.get("policy", line.get("strategy", options.policy))
    return not options.policy or policy == options.policy


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=["kochi", "hreinsun"])
    parser.add_argument("--scenario")
    parser.add_argument("--policy")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for program in PROGRAMS:
        path = os.path.join(ROOT, "build", "bin", program)
        if not os.path.exists(path):
            print("%s is not built" % program, file=sys.stderr)
            failed += 1
            continue
        print("== %s --seed %d" % (program, options.seed), file=sys.stderr, flush=True)
        run = subprocess.run([path, "--seed", str(options.seed)], capture_output=True,
                             text=True, check=False)
        for text in run.stdout.splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if wanted(line, options):
                print(json.dumps({"program": program, **line}))
        if run.returncode != 0:
            print("%s missed a target: %s" % (program, run.stderr.strip()[-500:]),
                  file=sys.stderr)
            failed += 1
    print("measured with %d programs, %d fell short" % (len(PROGRAMS), failed),
          file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
