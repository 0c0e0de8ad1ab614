#!/usr/bin/env bash
# Builds the gateway, starts 6 of them in 3 data centres on loopback beside a stand-in for the
# platform, sends each kind of request, prints the answers and stops all processes.
# Usage: scripts/demo.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,4s/^# //p' "$0"
  exit 0
fi
scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release --target marigold-gateway
exec python3 scripts/demo.py
