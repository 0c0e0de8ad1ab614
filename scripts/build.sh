#!/usr/bin/env bash
# Builds everything. Usage: scripts/build.sh [PRESET]  (release or sanitize)
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/install.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
