#!/usr/bin/env bash
# Runs every check. Tests listed in KNOWN-RED.txt run separately, and their
# failures do not fail the run.
set -u
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
export PATH="$(go env GOPATH)/bin:$PATH"
seed=${RAPID_SEED:-20261204}

failed() {
  echo "test: failed $*"
  exit 1
}

scripts/setup.sh || failed set-up
unformatted=$(gofumpt -l .) || failed formatter
[ -z "$unformatted" ] || failed "formatter: $unformatted"
# Uses a cache for this checkout only: a shared cache can refer to files of
# checkouts that were removed.
export GOLANGCI_LINT_CACHE="$PWD/bin/lint-cache"
golangci-lint run ./... || failed linter
make -s build || failed build
ldd bin/hawthornrail | grep -q 'libc\.so' || failed "hawthornrail is not linked to libc"

scripts/boundary.sh || failed boundary

known=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
echo "test: property tests run with -rapid.seed=$seed"
skip=()
[ -z "$known" ] || skip=(-skip "^($known)$")
# Only the test binaries of packages that import rapid accept -rapid.seed.
props=$(go list -f '{{if or .TestGoFiles .XTestGoFiles}}{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}{{end}}' ./... | awk '/pgregory.net\/rapid/ {print $1}')
# The crowds measure the memory of processes and run after all others, alone.
crowd=hawthornrail.example/hawthornrail/internal/standin/crowd
rest=$(go list ./... | grep -vxF -e "$props" -e "$crowd")
go test -race -count=1 -timeout 8m -p 4 "${skip[@]}" $rest || failed tests
[ -z "$props" ] || go test -race -count=1 -timeout 8m -p 4 "${skip[@]}" $props -rapid.seed="$seed" || failed "property tests"
go test -race -count=1 -timeout 8m "${skip[@]}" "$crowd" || failed crowds
if [ -n "$known" ]; then
  echo "test: known red, not counted:"
  cat KNOWN-RED.txt
  go test -count=1 -run "^($known)$" ./... 2>&1 | grep -v 'no test files' | sed 's/^/known-red: /'
fi
echo "test: ok"
