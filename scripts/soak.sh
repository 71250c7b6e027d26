#!/usr/bin/env bash
# Runs the property tests with fresh seeds and many more checks, and the fault
# schedules with more seeds.
set -eu
cd "$(dirname "$0")/.."
checks=${SOAK_CHECKS:-20000}
props=$(go list -f '{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}' ./... | awk '/pgregory.net\/rapid/ {print $1}')
echo "soak: $checks checks a property, fresh seeds; a failure prints its seed"
go test -count=1 -timeout 60m $props -rapid.checks="$checks"
CHECKER_SEEDS=${SOAK_SEEDS:-30} go test -count=1 -timeout 60m -run TestFaultSchedules -v ./internal/standin/checker
echo "soak: ok"
