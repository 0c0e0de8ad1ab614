#!/usr/bin/env bash
# Runs clang-format and clang-tidy on every source file of the project; scripts/tidy.py skips unchanged ones.
# Usage: scripts/lint.sh [FILE...]  (default: all files; needs a configured build/)
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
fi
echo "format check of ${#files[@]} files"
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
  case "$file" in *.cpp) sources+=("$file") ;; esac
done
python3 scripts/tidy.py "${sources[@]}"
echo "lint: clean"
