#!/usr/bin/env bash
# Plays orders of events on the request path, or on a watch of the store, and looks for violated promises; prints a script that replays what it finds.
# Usage: scripts/explore.sh [--watches] [--depth N] [--seconds S] [--seed N] | [--watches] --replay SCRIPT
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
program=explore
if [ "${1:-}" = --watches ]; then
  program=explore-watches
  shift
fi
scripts/build.sh release
exec "build/bin/$program" "$@"
