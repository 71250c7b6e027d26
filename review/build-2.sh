#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
exec go build -tags review -o target/review2/faults ./review/faults
