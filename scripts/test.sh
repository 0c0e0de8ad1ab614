#!/usr/bin/env bash
# Builds, checks the boundary and the format, and runs the linter and all test programs.
# Usage: scripts/test.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
scripts/build.sh release
scripts/check_boundary.sh
scripts/lint.sh
if ! ctest --test-dir build --output-on-failure -j 4 2>&1 | tee build/ctest.log; then
  python3 scripts/known_red.py build/ctest.log KNOWN-RED.txt
fi
