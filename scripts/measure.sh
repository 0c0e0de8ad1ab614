#!/usr/bin/env bash
# Measures attainment, worst-served team, wrongful refusals and moves in comparison
# with the baselines; prints one JSON object per line.
# Usage: scripts/measure.sh [--deployment kochi|hreinsun] [--scenario NAME] [--policy NAME] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,4s/^# //p' "$0"
  exit 0
fi
scripts/build.sh release >/dev/null
exec python3 scripts/measure.py "$@"
