#!/usr/bin/env bash
# Checks that Go files use the platform's names only in platform/ and in the
# stand-ins, and that the build command that the platform runs, in
# deploy/system.toml, builds the process linked to libc.
set -u
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Server-Seal|X-Program-Deadline-Ms|X-Not-Executed|X-Expect-Instance|X-Server-Load|X-Token-Budget|X-Token-Count|X-Prefix-Hash|"Api-Key"|HAWTHORNRAIL_NODE_FILE|store_revision|slo_ms|api_keys'
found=$(git grep -lE "$names" -- '*.go' ':!platform' ':!internal/standin')
if [ -n "$found" ]; then
  echo "boundary: names of the platform outside platform/: $found"
  exit 1
fi
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build" || exit 1
ldd target/hawthornrail | grep -q 'libc\.so' || { echo "boundary: target/hawthornrail is not linked to libc"; exit 1; }
