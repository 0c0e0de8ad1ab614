#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start: all are Python files, the project's own among them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - tests/e2e/users_platform.py review/common/*.py review/[1-5]/*.py <<'PYTHON'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("ready:", name)
PYTHON
