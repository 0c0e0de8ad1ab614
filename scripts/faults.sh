#!/usr/bin/env bash
# Builds and runs the fault matrix: each step under each fault, on processes on loopback.
# Usage: scripts/faults.sh [--seed N] [--row R] [--column C] [--jobs N]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --help ]; then
  scripts/build.sh release >/dev/null
fi
exec python3 scripts/faults.py "$@"
