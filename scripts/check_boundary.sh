#!/usr/bin/env bash
# Fails if code outside platform/ contains a name of the users' platform protocol.
# Usage: scripts/check_boundary.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --help ]; then
  sed -n '2,3s/^# //p' "$0"
  exit 0
fi
names='X-Tenant-Name|X-Expected-Replica|X-Deadline-Ms|X-Server-Signature|X-Not-Executed|X-Replica-Load|X-Replica-Id'
names+='|X-Model-Name|X-Token-Usage|X-Prompt-Prefix|X-Request-Priority|X-Length-Hint|/-/|op/config|servers/'
names+='|fencing_token|lease_id|api_keys|rate_per_s|uncached_tokens|cold_remaining_ms|kv_capacity|traffic_split'
found=$(git ls-files 'libs/*.cpp' 'libs/*.h' 'apps/*.cpp' 'apps/*.h' | xargs grep -nE "\"[^\"]*($names)" || true)
if [ -n "$found" ]; then
  echo "names of the users' platform outside platform/:"
  echo "$found"
  exit 1
fi
echo "boundary: clean"
