#!/usr/bin/env bash
# Runs gateway processes under random faults and checks guarantees; keeps the logs of failed runs in build/soak.
# Usage: scripts/soak.sh [--seed N] [--runs N] [--seconds S] [--port P] [--jobs N] [--skip-known]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
scripts/build.sh release
mkdir -p build/soak
exec python3 tests/soak/soak.py --keep build/soak "$@"
