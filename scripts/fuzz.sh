#!/usr/bin/env bash
# Runs every fuzz target of the repository for FUZZ_TIME.
set -eu
cd "$(dirname "$0")/.."
time=${FUZZ_TIME:-30s}
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
  grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | cut -d' ' -f2 | while read -r target; do
    echo "fuzz: $target in $(dirname "$file")"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" "./$(dirname "$file")"
  done
done
echo "fuzz: ok"
