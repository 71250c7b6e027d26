#!/usr/bin/env bash
# Regenerates docs/capacity/own_interface.md; with --measure it runs the
# benchmarks first.
set -eu
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--measure" ]; then
  packages="./internal/standin/capacity ./internal/policy/endpoint ./internal/policy/fair"
  go test -run xxx -bench . -benchtime 300ms -p 1 $packages | grep -E '^(cpu|Benchmark)' > docs/capacity/bench.txt
fi
go test -count=1 -run TestPageIsCurrent ./internal/standin/capacity -update
