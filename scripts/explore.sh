#!/usr/bin/env bash
# Plays orders of events on the request path and looks for violated promises; prints a script that replays what it finds.
# Usage: scripts/explore.sh [--depth N] [--seconds S] [--seed N] | --replay SCRIPT
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
scripts/build.sh release
exec build/bin/explore "$@"
