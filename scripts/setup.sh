#!/usr/bin/env bash
# Installs the tools that the checks need, where they are missing.
set -eu
cd "$(dirname "$0")/.."
bin=$(go env GOPATH)/bin
need() {
  [ -x "$bin/$1" ] || go install "$2"
}
need gofumpt mvdan.cc/gofumpt@v0.12.0
need golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
go mod download
