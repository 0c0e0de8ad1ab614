#!/usr/bin/env bash
# Runs every fuzzer and checks it against its reference model. A failure prints seed and steps.
# Usage: scripts/fuzz.sh [--seed N] [--runs N]   (defaults: seed 1, runs 10000)
set -uo pipefail
cd "$(dirname "$0")/.."
seed=1
runs=10000
while [ "$#" -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    --runs) runs=$2; shift 2 ;;
    --help) sed -n '2,3s/^# //p' "$0"; exit 0 ;;
    *) echo "unknown option $1; see --help" >&2; exit 2 ;;
  esac
done
scripts/build.sh release >/dev/null || exit 1
passed=0
failed=0
for fuzzer in build/bin/fuzz-*; do
  echo "== $(basename "$fuzzer") --seed $seed --runs $runs"
  if "$fuzzer" --seed "$seed" --runs "$runs"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
  fi
done
echo "fuzzers: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
