#!/usr/bin/env bash
# Builds, checks the format, runs the linter and all test programs.
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
ctest --test-dir build --output-on-failure -j 4
