#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
exec go build -tags review -o target/review-standin ./review/standin
