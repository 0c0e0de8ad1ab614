#!/usr/bin/env bash
# Runs clang-format and clang-tidy on every source file of the project.
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
echo "clang-tidy on ${#sources[@]} files"
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: clean"
