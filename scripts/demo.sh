#!/usr/bin/env bash
# Builds, starts the stand-ins and 6 entry VMs in 3 data centres on loopback, sends
# each kind of request, prints the answers and stops all processes.
# Usage: scripts/demo.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,4s/^# //p' "$0"
  exit 0
fi
scripts/build.sh release
exec python3 scripts/demo.py
