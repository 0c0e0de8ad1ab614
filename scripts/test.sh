#!/usr/bin/env bash
# Builds, checks the boundary and the format, and runs the linter beside the build and all test programs.
# Usage: scripts/test.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi

started=$SECONDS
times=()
# Notes how long the part $1 took, which began at second $2.
note_time() { times+=("$(printf '%6d s  %s' $((SECONDS - $2)) "$1")"); }

print_times() {
  if [ -f build/ctest.log ]; then
    echo "ten longest tests:"
    sed -nE 's/^ *[0-9]+\/[0-9]+ Test +#[0-9]+: (\S+) .* ([0-9.]+) sec.*$/\2 s  \1/p' build/ctest.log |
      sort -rn | sed 10q | sed 's/^/  /'
  fi
  echo "time of each part:"
  printf '%s\n' "${times[@]}" "$(printf '%6d s  in all' $((SECONDS - started)))"
}

begun=$SECONDS
scripts/install.sh
cmake --preset release >/dev/null
rm -f build/ctest.log
scripts/check_boundary.sh
note_time "configuration" "$begun"

set -m # A process group of its own, so that a failed build ends all of it.
scripts/lint.sh >build/lint.log 2>&1 &
lint=$!
set +m
trap 'kill -- "-$lint" 2>/dev/null || true' EXIT
begun=$SECONDS
cmake --build --preset release
note_time "build" "$begun"
begun=$SECONDS
cmake --build --preset release --target all_verify_interface_header_sets
note_time "public headers alone" "$begun"
begun=$SECONDS
if ! wait "$lint"; then
  cat build/lint.log
  exit 1
fi
trap - EXIT
cat build/lint.log
note_time "lint, beyond the build" "$begun"

# Tests measure time, so neither build nor lint runs beside them. Most of them wait, so each core takes two.
begun=$SECONDS
failed=0
if ! ctest --test-dir build --output-on-failure -j $((2 * $(nproc))) 2>&1 | tee build/ctest.log; then
  python3 scripts/known_red.py build/ctest.log KNOWN-RED.txt || failed=1
fi
note_time "tests" "$begun"
print_times
exit "$failed"
