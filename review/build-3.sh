#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -tags review -o target/review3/bed ./review/standin3
