#!/usr/bin/env bash
# Plays orders of events on the request path, there while upstreams of two versions restart, on a watch of the store, or on the loader of configurations, and looks for violated promises; prints a script that replays what it finds.
# Usage: scripts/explore.sh [--watches | --versions | --configurations] [--depth N] [--seconds S] [--seed N] | [--watches | --versions | --configurations] --replay SCRIPT
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
program=explore
case "${1:-}" in
  --watches | --versions | --configurations)
    program=explore-${1#--}
    shift
    ;;
esac
scripts/build.sh release
exec "build/bin/$program" "$@"
